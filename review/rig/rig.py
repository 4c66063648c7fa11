"""
Stand-ins for the scripts of this review: the platform's store, replicas, callers and instances.

They follow the users' pages and use nothing but the standard library. Everything listens on
loopback addresses: replicas and the store on 127.0.0.1, and each instance on an address of its own,
as the platform gives every machine the same ports.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import itertools
import json
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
ZONES = {"zone-a": "region-1", "zone-b": "region-2", "zone-c": "region-3"}


def now_s() -> float:
    """Return a steady time, in seconds."""
    return time.monotonic()


class Record:
    """The record of one run: what was sent, answered and run, and what the platform did."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began_s = now_s()
        self.write(f"trouble={'yes' if TROUBLE else 'no'}")

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{now_s() - self.began_s:9.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line, and print it."""
        self.write(text)
        print(text, flush=True)


class Request:
    """A request as received."""

    def __init__(self, method: str, target: str, headers: list[tuple[str, str]], body: bytes):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def header(self, name: str) -> str:
        """Return the first value of a header by its lower-case name; empty if there is none."""
        return next((value for key, value in self.headers if key == name), "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]]]:
    """Read a start line and the headers."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = raw[:-4].split("\r\n")
    headers = []
    for line in lines:
        key, _, value = line.partition(":")
        headers.append((key.strip().lower(), value.strip()))
    return first, headers


def encode(first: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Encode a message with a length."""
    lines = [first, *(f"{key}: {value}" for key, value in headers), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class HttpServer:
    """An HTTP/1.1 server; cancels the work on a request when its connection closes."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen, on a free port unless one is given."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=512)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def handle(self, request: Request) -> tuple[int, list[tuple[str, str]], bytes] | None:
        """Answer one request; ``None`` breaks the connection off."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                length = int(dict(headers).get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                work = asyncio.ensure_future(self.handle(Request(method, target, headers, body)))
                gone = asyncio.ensure_future(reader.read(1))
                await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    return
                answer = work.result()
                if answer is None:
                    writer.transport.abort()
                    return
                status, answer_headers, answer_body = answer
                writer.write(encode(f"HTTP/1.1 {status} X", answer_headers, answer_body))
                await writer.drain()
                # The peek for a closed connection has to be undone before the next request.
                if not gone.done():
                    gone.cancel()
                    await asyncio.gather(gone, return_exceptions=True)
                elif gone.result():
                    reader._buffer[:0] = gone.result()
                else:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(HttpServer):
    """The platform's key-value store: revisions, watches, transactions and leases that expire."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.is_down = False
        """Whether it refuses all calls."""
        self.revision = 100
        self._leases: dict[int, list[float]] = {}
        self._lease_ids = itertools.count(7000)
        self._changed = asyncio.Event()

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write a key as the operator, a replica or an instance does; this acknowledges it."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["Created"] if key in self.items else self.revision
        self.items[key] = {
            "Key": key,
            "Value": base64.b64encode(raw).decode(),
            "Revision": self.revision,
            "Created": created,
            "Lease": lease,
        }
        self._publish(self.items[key])

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"Key": key, "Revision": self.revision, "Tombstone": True})

    def _publish(self, event: dict) -> None:
        self.history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def expire_leases(self) -> None:
        """End leases when their time is over, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            for lease, (ends_s, _) in list(self._leases.items()):
                if now_s() >= ends_s:
                    self._end(lease)

    def _end(self, lease: int) -> bool:
        known = self._leases.pop(lease, None) is not None
        for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
            self.remove(key)
        return known

    async def handle(self, request: Request) -> tuple[int, list[tuple[str, str]], bytes]:
        """Serve one call."""
        await asyncio.sleep(0.004)
        if self.is_down:
            return 503, [], b""
        path, _, query = request.target.partition("?")
        name, _, argument = path.removeprefix("/turmericlug/").partition("/")
        parameters = {key: values[0] for key, values in urllib.parse.parse_qs(query).items()}
        body = json.loads(request.body or b"{}")
        status, answer = await getattr(self, "_" + name.replace("-", "_"))(
            parameters, body, argument
        )
        return status, [("Content-Type", "application/json")], json.dumps(answer).encode()

    async def _kv_key(self, parameters, body, argument):
        item = self.items.get(parameters["Key"])
        return (200, item | {"AsOf": self.revision}) if item else (404, {"AsOf": self.revision})

    async def _kv_range(self, parameters, body, argument):
        prefix, after = parameters.get("Prefix", ""), parameters.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:500]]
        return 200, {"items": items, "HasMore": len(keys) > 500, "AsOf": self.revision}

    async def _kv_watch(self, parameters, body, argument):
        after = int(parameters["after"])
        until_s = now_s() + int(parameters["WaitMs"]) / 1000
        while True:
            changed = self._changed
            events = [event for event in self.history if event["Revision"] > after]
            if events or now_s() >= until_s:
                return 200, {"events": events, "AsOf": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), until_s - now_s())
            except asyncio.TimeoutError:
                pass

    async def _kv_txn(self, parameters, body, argument):
        expected = {row["Key"]: row["Revision"] for row in body.get("ExpectedRev", [])}
        for key, revision in expected.items():
            if (self.items[key]["Revision"] if key in self.items else 0) != revision:
                known = [self.items[key] for key in expected if key in self.items]
                return 412, {"items": known}
        if any(put.get("Lease") and put["Lease"] not in self._leases for put in body["Puts"]):
            return 404, {}
        for key in body.get("Remove", []):
            self.remove(key)
        for put in body["Puts"]:
            self.put(put["Key"], base64.b64decode(put["Value"]), put.get("Lease", 0))
        return 200, {"Revision": self.revision}

    async def _kv_lease(self, parameters, body, argument):
        lease, ttl_s = next(self._lease_ids), max(body["TtlMs"], 1000) / 1000
        self._leases[lease] = [now_s() + ttl_s, ttl_s]
        return 200, {"Lease": lease, "TtlMs": int(ttl_s * 1000)}

    async def _kv_keep(self, parameters, body, argument):
        lease = int(argument)
        if lease not in self._leases:
            return 404, {}
        self._leases[lease][0] = now_s() + self._leases[lease][1]
        return 200, {"TtlMs": int(self._leases[lease][1] * 1000)}

    async def _kv_lease_end(self, parameters, body, argument):
        return (200, {}) if self._end(int(argument)) else (404, {})


class Proxy:
    """A TCP proxy that can be cut: then it passes nothing on, and closes nothing."""

    def __init__(self, target: str) -> None:
        self.address = ""
        self._target = target
        self._passes = asyncio.Event()
        self._passes.set()

    async def listen(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def cut(self) -> None:
        """Pass nothing on from now on."""
        self._passes.clear()

    def heal(self) -> None:
        """Pass everything on again, also what was held up."""
        self._passes.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._passes.wait()
        host, port = self._target.split(":")
        try:
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._pass_on(reader, to_writer), self._pass_on(to_reader, writer))

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self._passes.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Replica(HttpServer):
    """A replica with slots, a short queue and signed answers, registered in the store."""

    def __init__(
        self,
        store: Store,
        instance: str,
        service: str,
        zone: str,
        slots: int,
        queue: int,
        work_s: float,
        keep_alive_s: int = 10,
    ) -> None:
        super().__init__()
        self.store, self.record = store, store.record
        self.instance, self.service, self.zone = instance, service, zone
        self.slots, self.queue, self.work_s, self.keep_alive_s = slots, queue, work_s, keep_alive_s
        self.slow_x = 1.0
        self.hangs = False
        """Whether it takes requests and never answers them."""
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_up = True
        self.arrivals: list[tuple[float, str, int]] = []
        """Time, request id and status of each request; 0 stands for one that has no answer."""
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._runs = itertools.count(1)

    def entry(self) -> dict:
        """Return the next entry to register."""
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "WarmupLeftMs": 0,
            "Sequence": self.sequence,
            "born": self.born_ms,
        }

    def register(self) -> None:
        """Write the entry; the store has accepted it when this returns."""
        self.store.put(f"servers/{self.instance}", self.entry())

    async def beat(self, interval_s: float = 1.2) -> None:
        """Write the entry again and again, until cancelled."""
        while True:
            await asyncio.sleep(interval_s)
            if self.is_up and not self.store.is_down:
                self.register()

    async def handle(self, request: Request):
        """Run one request, or say that it isn't run."""
        at_s, request_id = now_s(), request.header("x-request-id")
        status = 0
        try:
            status, headers, body = await self._answer(request, request_id)
            return status, headers, body
        finally:
            self.arrivals.append((at_s, request_id, status))
            self.record.write(f"replica {self.instance} got {request_id} -> {status or 'nothing'}")

    async def _answer(self, request: Request, request_id: str):
        keep_alive = ("Keep-Alive", f"timeout={self.keep_alive_s}")
        refused = [("X-Not-Executed", "1"), keep_alive]
        if request.header("x-expect-instance") not in ("", self.instance):
            return 421, refused, b""
        if self._waiting >= self.queue:
            return 503, refused, b""
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            if self.hangs:
                await asyncio.sleep(3600)
            await asyncio.sleep(self.work_s * self.slow_x)
        finally:
            self._free.release()
        stamp = f"{self.instance}.{next(self._runs)}.{request_id}"
        body = b"".join(random.randbytes(16) for _ in range(6))
        return 200, [("X-Request-Id", request_id), ("X-Server-Stamp", stamp), keep_alive], body


class Answer:
    """What a caller got for one request."""

    def __init__(self, route: str, request_id: str, sent_s: float) -> None:
        self.route, self.request_id, self.sent_s = route, request_id, sent_s
        self.answered_s: float | None = None
        self.status: int | None = None
        self.left_s: float | None = None
        self.transport: asyncio.BaseTransport | None = None
        self.lost = False
        """Whether the connection ended without an answer, also when the caller has left."""
        self.headers: dict[str, str] = {}
        self.body = b""

    @property
    def open(self) -> bool:
        """Whether the request is in flight."""
        return self.answered_s is None and self.left_s is None and not self.lost

    @property
    def took_s(self) -> float | None:
        """How long the answer took; ``None`` if there was none."""
        return None if self.answered_s is None else self.answered_s - self.sent_s


class Caller:
    """Sends requests on kept connections."""

    def __init__(self, record: Record, host: str) -> None:
        self.record, self.host = record, host
        self._idle: dict[str, list] = collections.defaultdict(list)
        self.answers: list[Answer] = []

    async def ask(
        self,
        address: str,
        route: str,
        path: str,
        deadline_s: float,
        leave_after_s: float | None = None,
        wait_s: float | None = None,
        method: str = "GET",
        key: str = "",
        body: bytes = b"",
    ) -> Answer:
        """
        Send one request.

        :param deadline_s: how long the caller will wait, as it says in the request
        :param leave_after_s: when it closes its connection instead; ``None``: it stays
        :param wait_s: how long the connection is watched for the answer; by default the deadline
        """
        answer = Answer(route, random.randbytes(8).hex(), now_s())
        self.answers.append(answer)
        headers = [
            ("Host", self.host),
            ("X-Request-Id", answer.request_id),
            ("X-Deadline-Ms", str(int(deadline_s * 1000))),
        ]
        if key:
            headers.append(("X-Key", key))
        self.record.write(f"caller sends {answer.request_id} {route} to {address}")
        limit_s = wait_s or deadline_s
        if leave_after_s is not None:
            limit_s = min(limit_s, leave_after_s)
        connection = None
        try:
            async with asyncio.timeout(limit_s):
                idle = self._idle[address]
                while idle and connection is None:
                    reader, writer = idle.pop()
                    if not reader.at_eof() and not writer.is_closing():
                        connection = reader, writer
                if connection is None:
                    host, _, port = address.rpartition(":")
                    connection = await asyncio.open_connection(host, int(port))
                reader, writer = connection
                answer.transport = writer.transport
                writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
                await self._read(reader, answer)
            if "close" in answer.headers.get("connection", ""):
                writer.close()
            else:
                self._idle[address].append(connection)
        except TimeoutError:
            answer.left_s = now_s()
            self.record.write(f"caller leaves {answer.request_id} {route}")
            if connection is not None:
                connection[1].transport.abort()
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.lost = True
            self.record.write(f"caller lost {answer.request_id} {route}: {type(error).__name__}")
            if connection is not None:
                connection[1].transport.abort()
        else:
            self.record.write(
                f"caller got {answer.request_id} {route} -> {answer.status}"
                f" after {answer.took_s * 1000:.0f} ms"
            )
        return answer

    def leave(self, answers: list[Answer]) -> None:
        """Close the connections of requests in flight together, as when the caller's host ends."""
        for answer in answers:
            if answer.transport is not None:
                answer.left_s = now_s()
                answer.transport.abort()

    async def _read(self, reader: asyncio.StreamReader, answer: Answer) -> None:
        first, headers = await read_head(reader)
        answer.headers = dict(headers)
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.status, answer.answered_s = int(first.split(" ")[1]), now_s()


def render(template: str, fields: dict) -> str:
    """Fill in a template of settings, as the platform does."""

    def find(name: str, scopes: list) -> object:
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    break
            else:
                return value
        return None

    def fill(text: str, scopes: list, key: str, last: bool) -> str:
        def section(match: re.Match) -> str:
            value = find(match[1], scopes)
            if isinstance(value, dict):
                entries = list(value.items())
            elif isinstance(value, list):
                entries = list(enumerate(value))
            else:
                return fill(match[2], scopes, key, last) if value else ""
            return "".join(
                fill(match[2], [*scopes, entry], str(name), index == len(entries) - 1)
                for index, (name, entry) in enumerate(entries)
            )

        def value(match: re.Match) -> str:
            if match[1] == "@":
                return key
            if match[1] == ",":
                return "" if last else ","
            found = find(match[1], scopes)
            return "" if found is None else str(found)

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.DOTALL)
        return re.sub(r"\{\{([\w.@,]+)\}\}", value, text)

    return fill(template, [fields], "", True)


BOUNDS = {
    "RetryBudgetRatio": 0.2,
    "RetrySlack": 54,
    "RetryWindowS": 10,
    "GraceS": 6,
}


class Instance:
    """One process of the deploy file's role, with its settings."""

    def __init__(self, folder, store, name, zone, ip, ports, bounds) -> None:
        self.name, self.ip, self.ports = name, ip, ports
        self.front = f"{ip}:{ports['Front']}"
        self.settings = folder / f"{name}.ini"
        self.log_path = folder / f"{name}.log"
        self.fields = {
            "NodeName": name,
            "Zone": zone,
            "Region": ZONES[zone],
            "Zones": ZONES,
            "Ip": ip,
            "InternalPorts": [ports["peers"], ports["peers"] + 10],
            "ListenAddrs": {
                kind: f"{ip}:{ports[kind]}" for kind in ("Front", "Ready", "directory")
            },
            "Limits": {
                "MaxFds": 4100,
                "CpuShare": 0.537,
                "CpuCores": 2,
                "MemoryMb": 300,
                "LinkMbps": 1000.0,
            },
            "Bounds": bounds,
            "platform": {"Address": store.address},
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["entry"]
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        # The metrics address has a fixed port in the template; every instance has its own IP.
        self.settings.write_text(render(template, self.fields), encoding="utf-8")
        words = [render(word, self.fields) for word in shlex.split(role["run"])]
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {
            "TURMERICLUG_NODE_FILE": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def ready(self, within_s: float = 15.0) -> bool:
        """Ask for readiness until it is there."""
        until_s = now_s() + within_s
        while now_s() < until_s:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ports["Ready"])
                writer.write(encode("GET /turmericlug/ready HTTP/1.1", [("Host", "x")], b""))
                first, _ = await read_head(reader)
                writer.close()
                if " 200 " in first:
                    return True
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        return False

    def signal(self, number: int) -> None:
        """Send a signal to the process that this object started."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def log_lines(self, event: str) -> list[dict]:
        """Return the lines of the instance's log with an event."""
        found = []
        for line in self.log_path.read_text(encoding="utf-8", errors="replace").splitlines():
            if f'"{event}"' in line:
                try:
                    found.append(json.loads(line))
                except ValueError:
                    continue
        return found


class Testbed:
    """A small deployment: a store, replicas and instances, all ended with the block."""

    def __init__(self, script: str) -> None:
        self.folder = pathlib.Path(script).resolve().parent
        self.record = Record(self.folder)
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="turmericlug-review-"))
        self.store = Store(self.record)
        self.replicas: list[Replica] = []
        self.instances: list[Instance] = []
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> Testbed:
        await self.store.listen()
        self.background(self.store.expire_leases())
        return self

    def background(self, coroutine) -> asyncio.Task:
        """Run a coroutine until the end of the block."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.append(task)
        return task

    async def __aexit__(self, *error) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
            instance.signal(signal.SIGKILL)
        for instance in self.instances:
            if instance.process is not None:
                await instance.process.wait()
        for server in [*self.replicas, self.store]:
            await server.stop()
        shutil.rmtree(self.temporary, ignore_errors=True)

    async def add_replica(self, instance, service, zone, slots, queue, work_s) -> Replica:
        """Start a replica and register it."""
        replica = Replica(self.store, instance, service, zone, slots, queue, work_s)
        await replica.listen()
        replica.register()
        self.background(replica.beat())
        self.replicas.append(replica)
        return replica

    def add_instances(self, zones: list[str], bounds: dict | None = None) -> None:
        """Prepare instances, one in each of the given zones."""
        network = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        ports = dict(zip(("Front", "Ready", "directory", "peers"), _free_ports(4), strict=True))
        for index, zone in enumerate(zones):
            self.instances.append(
                Instance(
                    self.temporary,
                    self.store,
                    f"front-{index + 1}",
                    zone,
                    f"{network}.{index + 1}",
                    ports,
                    BOUNDS | (bounds or {}),
                )
            )

    async def start_instances(self) -> bool:
        """Start all instances and wait until they are ready."""
        for instance in self.instances:
            await instance.start()
        ready = await asyncio.gather(*(instance.ready() for instance in self.instances))
        self.record.write(f"instances ready: {ready}")
        for instance, is_ready in zip(self.instances, ready, strict=True):
            if not is_ready:
                self.record.say(
                    f"{instance.name} is not ready: {instance.log_path.read_text()[-600:]}"
                )
        return all(ready)


def _free_ports(count: int) -> list[int]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [server.getsockname()[1] for server in sockets]
    for server in sockets:
        server.close()
    # The peers' port has ten more after it.
    return [*ports[:-1], min(ports[-1], 65000)]


LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 262144,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


def run(main, limit_s: float = 115.0) -> None:
    """Run a script's main coroutine and exit with its result."""

    async def limited() -> int:
        async with asyncio.timeout(limit_s):
            return await main()

    try:
        result = asyncio.run(limited())
    except Exception as error:
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        result = COULD_NOT_RUN
    sys.exit(result)
