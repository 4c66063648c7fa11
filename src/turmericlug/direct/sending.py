"""One send to one replica, and what its end says about whether the request ran."""

from __future__ import annotations

import asyncio
import dataclasses
import typing
from collections import abc

import attrs

from turmericlug.direct import dialect as dialect_module
from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.http1 import client

_PROMISE_STATUSES = (408, 421, 429, 503)
_MISDIRECTED_STATUS = 421
MISDIRECTED = "misdirected"
"""Reason of a request that another replica got, which has the address by now."""
SILENT = "silent"
"""Reason of a request that a replica got and did not answer in time."""
HELD = "ends_replicas"
"""Reason of a request that is not sent on, since replicas ended under it."""


@attrs.define(eq=False)
class Call:
    """A caller's request on its way through this instance."""

    request_id: bytes
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    """End-to-end headers, without those that a send adds."""
    body: bytes
    route: routes.Route
    version: int
    """Of the configuration that it is handled by from start to end."""
    began_s: float
    """When the caller began; its goal counts from there."""
    deadline_s: float
    """The caller's deadline or the route's timeout, whichever is sooner; the loop's clock."""
    sends: set[asyncio.Task[typing.Any]] = attrs.field(factory=set)
    way_back_s: float = 0.0
    """What an answer takes to the caller."""
    answer_at_s: float | None = None
    """When a query over shards answers with what it has."""
    asked: dict[str, list[replica_module.Send]] = attrs.field(factory=dict)
    """The sends of each service, in order."""
    handed_over: dict[str, str] = attrs.field(factory=dict)
    """The instance that was last asked to send to a shard, for each that one was."""
    hedges: int = 0
    repeats: int = 0
    fingerprint: bytes = b""
    """The same for each attempt at the same request, at every instance."""
    is_answered: bool = False
    """Whether it is known that a replica answered it."""
    on_trial: bool = False
    """Whether it goes to one replica only, to find out whether that ends under it."""

    @property
    def goal_at_s(self) -> float:
        """Until when an answer is worth most to the caller."""
        return self.began_s + self.route.goal_ms / 1000

    def told(self, service: str, now_s: float) -> str:
        """Describe what was sent to a service, for the log."""
        told = [send.told(now_s) for send in self.asked.get(service, ())]
        if service in self.handed_over:
            told.insert(0, f"handed to {self.handed_over[service]}")
        return ", ".join(told) or "not sent"

    def may_have_run(self, service: str) -> bool:
        """Whether a replica of a service may have run the request, or may still."""
        if service in self.handed_over:
            return True
        return any(send.ran for send in self.asked.get(service, ()))

    def answered(self, stuck_after_s: float) -> None:
        """
        Leave the sends under way a little time only: the caller has its answer.

        Those that end by themselves keep their connections usable. One that is silent for much
        longer than a pause has a dead connection, which would swallow the next part as well.
        """
        for sends in self.asked.values():
            for send in sends:
                send.end_by(send.began_s + stuck_after_s)

    def drop_unwritten(self, service: str) -> None:
        """
        Never write what has no connection to a service yet: nobody waits for it any more.

        It would run for nobody, and perhaps on more replicas than are allowed. Its connection may
        still open, and is kept.
        """
        for send in self.asked.get(service, ()):
            send.unwanted = send.written_s is None

    def abandon(self) -> None:
        """
        Close the connections of all sends: nobody waits for them, replicas can drop the work.

        But not that of the send whose end is the reason: it would take its outcome along.
        """
        current = asyncio.current_task()
        for send in self.sends:
            if send is not current:
                send.cancel()


@dataclasses.dataclass(frozen=True)
class Answered:
    """A replica's own whole answer."""

    response: client.Response
    signature: bytes
    replica: replica_module.Replica


@dataclasses.dataclass(frozen=True)
class AnsweredInBatch:
    """A replica's answer, merged with others by the instance that sent to it."""

    signature: bytes
    records: bytes
    """The greatest of all shards of the batch; one object for all of them."""


@dataclasses.dataclass(frozen=True)
class Failed:
    """A replica's own answer that says it failed; the request ran."""

    response: client.Response
    replica: replica_module.Replica


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The request certainly did not run."""

    reason: str
    sent: bool
    """Whether it reached the replica, which then refused it."""


@dataclasses.dataclass(frozen=True)
class Unknown:
    """No usable answer; the request may have run."""

    reason: str
    broken_off: bool = False
    """Whether the replica's connection ended while it had the request."""


ABANDONED = Unknown("abandoned")
"""Its connection was closed from here: says nothing of the replica."""
UNWANTED = NotRun("unwanted", sent=False)
"""The query was answered before the part had a connection."""

Outcome = Answered | AnsweredInBatch | Failed | NotRun | Unknown


def request_for(
    call: Call, replica: replica_module.Replica, names: dialect_module.Dialect, left_ms: int
) -> bytes:
    """Write the request for one replica, with the time that is left and the instance it is for."""
    headers = [
        *call.headers,
        (names.time_left, b"%d" % left_ms),
        (names.expected_instance, replica.entry.instance.encode()),
    ]
    return client.request_bytes(call.method, call.target, headers, call.body)


def classify(
    response: client.Response,
    call: Call,
    replica: replica_module.Replica,
    names: dialect_module.Dialect,
) -> Outcome:
    """
    Tell what a response says.

    A response that names another request belongs to that one: it was late or doubled, and what the
    connection carries next can't be told apart either. Replicas name the request in every answer
    but a refusal.
    """
    echoed = response.header(names.request_id)
    if echoed is not None and echoed != call.request_id:
        return Unknown("response_of_another_request")
    if response.header(names.not_run) is not None or response.status == _MISDIRECTED_STATUS:
        misdirected = response.status == _MISDIRECTED_STATUS
        return NotRun(MISDIRECTED if misdirected else "shed", sent=True)
    if echoed is None:
        return Unknown("response_without_request")
    signature = response.header(names.signature)
    if not signature:
        return Unknown(f"unsigned_status_{response.status}")
    if response.header(b"content-encoding") is not None:
        return Unknown("encoded_body")
    if 200 <= response.status < 300:
        return Answered(response, signature, replica)
    return Failed(response, replica)


def reason(outcome: Outcome) -> str:
    """Return why there is no answer, as a short text; empty for an answer."""
    match outcome:
        case Answered() | AnsweredInBatch():
            return ""
        case Failed():
            return f"replica_status_{outcome.response.status}"
        case NotRun() | Unknown():
            return outcome.reason


def is_late(outcome: Outcome) -> bool:
    """Whether there is no answer because its time was over."""
    return isinstance(outcome, Unknown) and outcome.reason in ("deadline", SILENT)


def was_withheld(outcome: Outcome) -> bool:
    """Whether a send was not written by this instance's own decision: says nothing of a replica."""
    return isinstance(outcome, NotRun) and outcome.reason in (
        UNWANTED.reason,
        HELD,
        replicas_module.EVACUATED,
    )


def promises_not_run(status: int) -> bool:
    """Whether callers take a status for the promise that their request did not run."""
    return status in _PROMISE_STATUSES


def _timed_out(progress: replica_module.Send) -> Outcome:
    if progress.written_s is None:
        return NotRun("no_connection_in_time", sent=False)
    return Unknown(SILENT)


async def send(
    call: Call,
    replica: replica_module.Replica,
    names: dialect_module.Dialect,
    progress: replica_module.Send,
    withheld: abc.Callable[[], str],
) -> Outcome:
    """
    Send a request to a replica and wait for what it says.

    :param progress: told when the request is written; may bring its limit forward
    :param withheld: asked just before the request is written; tells why it must not be, if so
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout_at(call.deadline_s) as progress.limit:
            fresh = not call.route.idempotent
            async with replica.pool.connection(call.route.priority, fresh) as connection:
                if progress.unwanted:
                    return UNWANTED
                if held := withheld():
                    return NotRun(held, sent=False)
                now_s = loop.time()
                left_ms = int((call.deadline_s - now_s) * 1000)
                if left_ms < 1:
                    return NotRun("no_time_left", sent=False)
                progress.written_s = now_s
                response = await connection.exchange(request_for(call, replica, names, left_ms))
                outcome = classify(response, call, replica, names)
                if isinstance(outcome, Unknown):
                    connection.close()
                return outcome
    except client.ConnectError as error:
        return NotRun(f"connect: {error}", sent=False)
    except client.ExchangeError as error:
        return Unknown(str(error), isinstance(error, client.ConnectionLostError))
    except TimeoutError:
        return _timed_out(progress)
