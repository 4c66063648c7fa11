"""
Targets whose replies have no end, and callers of ``turmericlugd`` that press on them.

By hand, ``python tests/faulty_targets.py CALLERS SECONDS`` plays each kind with real processes and
prints the largest memory of the instance, the outcomes, and the latency of callers of another
service.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import pathlib
import sys
import tempfile

import attrs
import faulty_replicas

from turmericlug.owner import target
from turmericlug_lab import fleet as fleet_module
from turmericlug_lab import fleet_spec

_PIECE = b"1" * 65536
_ALMOST_MAX_PIECES = target.MAX_REPLY_BYTES // len(_PIECE) - 1
_DEADLINE_MS = 1500
_OTHER_CALLERS = 4
FAULTY, SOUND = "faulty", "sound"
HEADERS = (target.ATTEMPT_HEADER, target.SNAPSHOT_HEADER)


def head(attempt_id, fields=b""):
    """Return the head of a reply that the target signs."""
    start = b"HTTP/1.1 200 OK\r\nQuery-Attempt: %s\r\nQuery-Snapshot: s1\r\n" % attempt_id
    return start + fields


def _whole_reply(attempt_id, size_bytes=2):
    body = b'"' + b"a" * (size_bytes - 2) + b'"'
    return head(attempt_id, b"Content-Length: %d\r\n\r\n" % len(body)) + body


def _chunk(piece):
    return b"%x\r\n%s\r\n" % (len(piece), piece)


def _with_head(fields):
    return lambda attempt_id: head(attempt_id, fields)


def _bare(attempt_id):
    return b""


_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_LENGTH = b"Content-Length: %d\r\n\r\n" % target.MAX_REPLY_BYTES
# The first bytes of a reply, those that are repeated, and how often; ``None`` is without end.
KINDS = {
    "body without end": (_with_head(b"\r\n"), _PIECE, None),
    "body without length, then silent": (_with_head(b"\r\n"), _PIECE, _ALMOST_MAX_PIECES),
    "body with length, then silent": (_with_head(_LENGTH), _PIECE, _ALMOST_MAX_PIECES),
    "chunked body, then silent": (_with_head(_CHUNKED), _chunk(_PIECE), _ALMOST_MAX_PIECES),
    "chunks of one byte": (_with_head(_CHUNKED), _chunk(b"1") * 8192, None),
    "header lines": (_with_head(b""), b"x-a: b\r\n" * 8192, None),
    "one header line": (_with_head(b"x-a: "), _PIECE, None),
    "replies after a whole one": (_whole_reply, _whole_reply(b"a") * 1024, None),
    "interim replies": (_bare, b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2048, None),
    "no HTTP": (_bare, b"garbage " * 8192, None),
    "trailers": (_with_head(_CHUNKED + b"0\r\n"), b"x-a: b\r\n" * 8192, None),
    "empty lines": (_bare, b"\r\n" * 32768, None),
}


@attrs.define(eq=False)
class RawTarget:
    """A target that replies soundly, or in one of the kinds above."""

    kind: str | None = None
    size_bytes: int = 2
    """Length of a sound reply's body."""

    async def serve(self, reader, writer):
        """Serve one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._reply(reader, writer):
                pass
        writer.close()

    async def _reply(self, reader, writer):
        lines = (await reader.readuntil(b"\r\n\r\n")).lower().split(b"\r\n")
        fields = dict(line.split(b": ", 1) for line in lines[1:] if line)
        await reader.readexactly(int(fields.get(b"content-length", b"0")))
        attempt_id = fields.get(b"query-attempt", b"")
        if lines[0].startswith(b"get"):
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{"state": "ok"}')
            return True
        if self.kind is None or b"/v1/run" not in lines[0]:
            writer.write(_whole_reply(attempt_id, self.size_bytes))
            await writer.drain()
            return True
        first, again, count = KINDS[self.kind]
        writer.write(first(attempt_id))
        for piece in itertools.repeat(again) if count is None else itertools.repeat(again, count):
            writer.write(piece)
            await writer.drain()
        await reader.read()
        return False


@contextlib.asynccontextmanager
async def listening(raw_target):
    """Listen until the block ends; yields the port."""
    server = await asyncio.start_server(raw_target.serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


@contextlib.asynccontextmanager
async def world(folder, slots=64, settings=None, daemons=1):
    """Run instances with one raw target of a service; yields the fleet and the target."""
    services = (
        fleet_spec.ServiceSpec(FAULTY, 1, slots, 4 * slots, 0.0, {"service_ms": 1.0}),
        fleet_spec.ServiceSpec(SOUND, 2, 16, 64, 0.0, {"service_ms": 1.0}),
    )
    spec = fleet_spec.FleetSpec(
        services=services, groups={}, daemons=daemons, settings=settings or {}, journal=False
    )
    raw_target = RawTarget()
    async with listening(raw_target) as port, fleet_module.running(spec, folder) as fleet:
        name = f"{FAULTY}-r0"
        fleet.targets[name] = attrs.evolve(fleet.targets[name], port=port)
        await fleet.unregister(name)
        await fleet.register(name)
        async with asyncio.timeout(20):
            while True:
                status, answer = await fleet.query("e1", service=FAULTY, body={})
                if status == 200 and answer["results"][0]["result"] == "":
                    break
                await asyncio.sleep(0.1)
        yield fleet, raw_target


@attrs.define
class Seen:
    """What callers have seen."""

    pressing: collections.Counter = attrs.field(factory=collections.Counter)
    others: collections.Counter = attrs.field(factory=collections.Counter)
    other_latencies_ms: list[float] = attrs.field(factory=list)

    def p99_ms(self):
        """Return the 99th percentile of the other callers' latency."""
        ordered = sorted(self.other_latencies_ms)
        return ordered[int(0.99 * (len(ordered) - 1))] if ordered else 0.0


async def press(fleet, callers, duration_s):
    """Press on the faulty target with a number of callers, beside some callers of a sound one."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    seen = Seen()

    async def ask(service, number):
        status, answer = await fleet.query(
            "e1", service=service, body={}, caller=f"c{number}", deadline_ms=_DEADLINE_MS
        )
        return f"{status} {answer.get('reason', '')}".strip()

    async def press_on(number):
        while loop.time() < end_s:
            seen.pressing[await ask(FAULTY, number)] += 1
            await asyncio.sleep(0.01)

    async def call_other(number):
        while loop.time() < end_s:
            began_s = loop.time()
            seen.others[await ask(SOUND, number)] += 1
            seen.other_latencies_ms.append((loop.time() - began_s) * 1000)
            await asyncio.sleep(0.02)

    tasks = [press_on(number) for number in range(callers)]
    tasks += [call_other(callers + number) for number in range(_OTHER_CALLERS)]
    await asyncio.gather(*tasks)
    return seen


async def hold_answers(fleet, callers, duration_s):
    """Let callers ask the faulty service and read nothing; return when they have waited."""
    daemon = fleet.daemons["e1"]
    writers = []
    for number in range(callers):
        _, writer = await asyncio.open_connection(daemon.host, daemon.callers_port, limit=1)
        writer.transport.pause_reading()
        body = b'{"service": "%s", "caller": "h%d"}' % (FAULTY.encode(), number)
        head_lines = b"POST /v1/query HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        writer.write(head_lines % len(body) + body)
        writers.append(writer)
    await asyncio.sleep(duration_s)
    for writer in writers:
        writer.transport.abort()


async def send_beginnings(fleet, callers, size_bytes, duration_s):
    """Let callers send all of a body but its last byte; return when they have waited."""
    daemon = fleet.daemons["e1"]
    writers = []
    head_lines = b"POST /v1/query HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    for _ in range(callers):
        _, writer = await asyncio.open_connection(daemon.host, daemon.callers_port)
        writer.write(head_lines % size_bytes + bytes(size_bytes - 1))
        writers.append(writer)
    await asyncio.sleep(duration_s)
    for writer in writers:
        writer.transport.abort()


async def _play_held(callers, size_bytes, duration_s):
    with tempfile.TemporaryDirectory() as folder:
        async with world(pathlib.Path(folder)) as (fleet, raw_target):
            raw_target.size_bytes = size_bytes
            pid = fleet.processes["e1"].pid
            await hold_answers(fleet, callers, duration_s)
            peak_mb = faulty_replicas.memory_mb(pid, "VmHWM")
    print(f"{callers} callers don't read {size_bytes} bytes: {peak_mb:6.0f} MB", flush=True)


async def _play_sound(callers, size_bytes, duration_s):
    with tempfile.TemporaryDirectory() as folder:
        async with world(pathlib.Path(folder)) as (fleet, raw_target):
            raw_target.size_bytes = size_bytes
            pid = fleet.processes["e1"].pid
            seen = await press(fleet, callers, duration_s)
            peak_mb = faulty_replicas.memory_mb(pid, "VmHWM")
    print(
        f"sound replies of {size_bytes} bytes, {callers} callers: {peak_mb:6.0f} MB, "
        f"others {dict(seen.others)} p99 {seen.p99_ms():5.0f} ms, pressing {dict(seen.pressing)}",
        flush=True,
    )


async def _play_beginnings(callers, size_bytes, duration_s):
    with tempfile.TemporaryDirectory() as folder:
        settings = {"limits": {"max_body_bytes": str(size_bytes)}}
        async with world(pathlib.Path(folder), settings=settings) as (fleet, _):
            pid = fleet.processes["e1"].pid
            await send_beginnings(fleet, callers, size_bytes, duration_s)
            peak_mb = faulty_replicas.memory_mb(pid, "VmHWM")
    print(f"{callers} callers send {size_bytes} bytes but one: {peak_mb:6.0f} MB", flush=True)


async def _play(kind, callers, duration_s):
    with tempfile.TemporaryDirectory() as folder:
        async with world(pathlib.Path(folder)) as (fleet, raw_target):
            raw_target.kind = kind
            pid = fleet.processes["e1"].pid
            rest_mb = faulty_replicas.memory_mb(pid, "VmRSS")
            seen = await press(fleet, callers, duration_s)
            peak_mb = faulty_replicas.memory_mb(pid, "VmHWM")
    print(
        f"{kind or 'sound':34} {callers:4}: {rest_mb:4.0f} to {peak_mb:6.0f} MB, "
        f"others {dict(seen.others)} p99 {seen.p99_ms():5.0f} ms, "
        f"pressing {seen.pressing.most_common(4)}",
        flush=True,
    )


async def _play_all(callers, duration_s):
    for size_bytes in (100_000, 1_000_000, 4_000_000):
        await _play_sound(callers, size_bytes, duration_s)
    for held_callers, size_bytes in ((400, 100_000), (400, 1_000_000), (40, 4_000_000)):
        await _play_held(held_callers, size_bytes, duration_s)
    for held_callers, size_bytes in ((1000, 65536), (200, 1 << 22)):
        await _play_beginnings(held_callers, size_bytes, duration_s)
    for kind in [None, *KINDS]:
        await _play(kind, callers, duration_s)


if __name__ == "__main__":
    asyncio.run(_play_all(int(sys.argv[1]), float(sys.argv[2])))
