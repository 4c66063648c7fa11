"""Draining of an entry instance: it leaves the directory, finishes its requests and exits."""

from __future__ import annotations

import asyncio
import contextlib
import time

from turmericlug.entry import follower
from turmericlug.entry import long_running
from turmericlug.entry import quota_service
from turmericlug.http1 import server
from turmericlug.kernel import failures
from turmericlug.kernel import kernel as kernel_module
from turmericlug.kernel import supervisor
from turmericlug.telemetry import decisions

REFUSE_AFTER_SHARE = 0.6
"""Share of the grace period after which a draining instance refuses requests that may outlast the
process."""
REFUSE_UNREPEATABLE_AFTER_S = 3.0
"""The same for requests that aren't idempotent, if this is sooner: callers take into account that
one of these which was sent earlier may be interrupted."""
EXIT_MARGIN_S = 0.7
"""Time between the end of the last requests and the forced termination, so that a slow instance can
still send its last answers."""
LAST_ANSWERS_S = 0.2
"""Time to write these answers; with the margin above, the process ends before it is forced to
(``stop_signal.FORCED_EXIT_MARGIN_S``)."""
POLL_S = 0.01
MIN_DRAIN_S = 2.5
"""A draining instance without connections exits after this time, which is longer than callers cache
its address (2 s)."""
READ_LAST_S = 0.1
"""Time to read and refuse the requests that are on their way on open connections when the process
exits."""
ACCEPT_S = 0.1
"""Time to accept and read what waited at the listener while the program was loaded, where the stop
was asked for long before that."""


async def drain(kernel: kernel_module.Kernel, stop_requested_s: float) -> None:
    """
    Drain the instance, and answer every request that it has read.

    Its registration is removed first, so that new callers connect elsewhere. Callers that still
    have the address are served, and each answer asks them to connect elsewhere. Late in the grace
    period, new requests that could be interrupted are refused. Requests that are still in flight at
    its end are refused or fail, since a connection that ends without an answer leaves open whether
    the request was read at all.

    :param stop_requested_s: when the grace period began, by ``time.monotonic``
    """
    loop = asyncio.get_running_loop()
    accepted_by_s = loop.time() + ACCEPT_S
    noticed_after_s = time.monotonic() - stop_requested_s
    began_s = loop.time() - noticed_after_s
    grace_s = kernel.find("live settings").policy.grace_s
    caller_server, handler = kernel.find("caller server"), kernel.find("request handler")
    decisions.log(
        "instance.leaving",
        connections=len(caller_server.connections),
        grace_s=grace_s,
        noticed_after_ms=round(noticed_after_s * 1000),
    )
    # An error that ended the drain would end the process, and with it the requests in flight.
    with failures.reported():
        caller_server.drain()
    refuse_after_s = REFUSE_AFTER_SHARE * grace_s
    refuse_unrepeatable_after_s = min(refuse_after_s, REFUSE_UNREPEATABLE_AFTER_S)
    exit_at_s = began_s + grace_s - EXIT_MARGIN_S
    with failures.reported():
        handler.start_draining(
            began_s + refuse_unrepeatable_after_s, began_s + refuse_after_s, exit_at_s
        )
    taken_batches = kernel.find("taken batches")
    with failures.reported():
        taken_batches.start_draining(began_s + refuse_after_s, exit_at_s)
    with failures.reported():
        quota_service.leave(kernel)
    with failures.reported():
        await kernel.find("registration tasks").close()
    source = kernel.find("source")
    ended_era = source.era
    deregistered = supervisor.Job(
        long_running.STAY_DEREGISTERED,
        lambda: follower.stay_deregistered(
            source, kernel.find("view"), kernel.find("settings").entry.name, ended_era
        ),
    )
    async with kernel.find("supervisor").background(deregistered):
        while loop.time() < exit_at_s:
            may_exit_s = max(began_s + MIN_DRAIN_S, accepted_by_s)
            is_idle = not (_are_open(caller_server) or taken_batches.count)
            if loop.time() >= may_exit_s and is_idle:
                break
            await asyncio.sleep(0.05)
        decisions.log(
            "instance.exiting",
            in_flight=caller_server.busy_count(),
            batches=taken_batches.count,
        )
        with failures.reported():
            handler.end_requests()
        with failures.reported():
            taken_batches.refuse_all()
        await _answer_last_requests(kernel, accepted_by_s)


async def _answer_last_requests(kernel: kernel_module.Kernel, accepted_by_s: float) -> None:
    """
    Stop listening, and wait until every request that has been read is answered.

    Requests that waited at the listener, and those that arrive on open connections meanwhile, are
    refused. Otherwise one that comes as the process exits could be run without an answer.
    """
    loop = asyncio.get_running_loop()
    caller_server, binding = kernel.find("caller server"), kernel.find("callers listener")
    read_by_s = loop.time() + READ_LAST_S
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LAST_ANSWERS_S):
            # In the meantime, what waits at the listener is accepted.
            await asyncio.sleep(max(accepted_by_s - loop.time(), POLL_S))
            if binding.is_bound:
                binding.listener.close()
            while caller_server.busy_count() or (
                loop.time() < read_by_s and _are_open(caller_server)
            ):
                await asyncio.sleep(POLL_S)


def _are_open(caller_server: server.Server) -> bool:
    return bool(caller_server.connections or caller_server.opening)
