"""One attempt at one replica, and whether its outcome shows that the request ran."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import typing
from collections import abc

import attrs

from turmericlug.direct import header_names as header_names_module
from turmericlug.direct import organisations as organisations_module
from turmericlug.direct import pool as pool_module
from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.http1 import client
from turmericlug.kernel import failures

_NOT_RUN_STATUSES = (408, 421, 429, 503)
_MISDIRECTED_STATUS = 421
SHED = "shed"
"""Reason if a replica's queue was full."""
MISDIRECTED = replicas_module.MISDIRECTED
"""Reason if the request reached another replica that has taken over the address."""
NO_RESPONSE = "silent"
"""Reason if a replica got the request and did not respond in time."""
NO_MEMORY = "no_memory"
"""Reason if the response waited for memory until the time ran out."""
CRASHES_REPLICAS = "ends_replicas"
"""Reason if the request is not forwarded because replicas crashed while they ran it."""


@attrs.define(eq=False)
class Call:
    """A caller's request that this instance is handling."""

    request_id: bytes
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    """End-to-end headers, without those that are added for each replica."""
    body: bytes
    route: routes.Route
    version: int
    """Version of the configuration that applies to the request from start to end."""
    began_s: float
    """When the caller started the request; its goal counts from this time."""
    deadline_s: float
    """The caller's deadline or the route's timeout, whichever is sooner; event loop time."""
    tasks: set[asyncio.Task[typing.Any]] = attrs.field(factory=set)
    """Tasks of its attempts and batches in flight."""
    response_latency_s: float = 0.0
    """Latency of a response to the caller."""
    answer_at_s: float | None = None
    """When a query over shards answers with the parts it has."""
    attempts_by_service: dict[str, list[replica_module.Attempt]] = attrs.field(factory=dict)
    """Attempts at each service, in the order of sending."""
    handed_over: dict[str, str] = attrs.field(factory=dict)
    """The instance to which each shard was last handed over."""
    hedges: int = 0
    retries: int = 0
    organisation: organisations_module.Organisation | None = None
    """The caller's organisation; ``None`` if it needs none."""
    fingerprint: bytes = b""
    """Identical for every attempt at the same request, on every instance."""
    is_answered: bool = False
    """Whether a replica is known to have answered the request."""
    query_goal_ms: float | None = None
    """Goal of the whole query if the call is a batch of its parts, whose own goal is shorter."""
    on_trial: bool = False
    """Whether it is sent to a single replica, to find out whether it crashes that replica."""

    @property
    def goal_at_s(self) -> float:
        """The time by which a response has its full value for the caller."""
        return self.began_s + self.route.goal_ms / 1000

    @property
    def rank(self) -> int:
        """Its position among requests that wait for the same resource; lower ranks go first."""
        return organisations_module.rank(self.organisation, self.route.priority)

    @property
    def organisation_name(self) -> str:
        """Name of the caller's organisation; empty if it needs none."""
        return self.organisation.name if self.organisation else ""

    def describe(self, service: str, now_s: float) -> str:
        """Describe the attempts at a service, for the log."""
        descriptions = [
            attempt.describe(now_s) for attempt in self.attempts_by_service.get(service, ())
        ]
        if service in self.handed_over:
            descriptions.insert(0, f"handed to {self.handed_over[service]}")
        return ", ".join(descriptions) or "not sent"

    def may_have_run(self, service: str) -> bool:
        """Whether a replica of a service may have run the request or may still run it."""
        if service in self.handed_over:
            return True
        return any(attempt.ran for attempt in self.attempts_by_service.get(service, ()))

    def reached(self, service: str) -> frozenset[str]:
        """Return the replicas of a service that may have run the request."""
        attempts = self.attempts_by_service.get(service, ())
        return frozenset(attempt.instance for attempt in attempts if attempt.ran)

    def connections_used(self, service: str) -> list[client.Connection]:
        """
        Return the connections on which the request was sent to replicas of a service.

        No other attempt may use them: all attempts have the same identifier, so that a late copy of
        the response to one can't be told from the response to another.
        """
        attempts = self.attempts_by_service.get(service, ())
        return [attempt.connection for attempt in attempts if attempt.connection is not None]

    def may_have_been_sent(self) -> bool:
        """Whether a replica may have run the request; false if it was not written to any."""
        attempts = itertools.chain.from_iterable(self.attempts_by_service.values())
        may_run = any(attempt.ran and attempt.written_s is not None for attempt in attempts)
        return may_run or bool(self.handed_over)

    def shorten_timeouts(self, stuck_after_s: float) -> None:
        """
        Shorten the timeouts of pending attempts, as the caller has its response.

        The connection of an attempt that completes can be reused. An attempt that gets no response
        for much longer than a replica's pause has a dead connection, on which the next part would
        be lost as well.

        :param stuck_after_s: age at which an attempt counts as stuck
        """
        for attempts in self.attempts_by_service.values():
            for attempt in attempts:
                attempt.end_by(attempt.began_s + stuck_after_s)

    def drop_unwritten(self, service: str) -> None:
        """
        Drop the attempts at a service that still wait for a connection.

        Their result is no longer needed, and writing them could reach more replicas than the route
        allows. A connection that opens later is kept in the pool.
        """
        for attempt in self.attempts_by_service.get(service, ()):
            attempt.unwanted = attempt.written_s is None

    def abandon(self) -> None:
        """
        Close the connections of all pending attempts, so that replicas can drop the work.

        The attempt that calls this is left to finish: cancelling it would lose its outcome.
        """
        current = asyncio.current_task()
        for task in self.tasks:
            if task is not current:
                task.cancel()


@dataclasses.dataclass(frozen=True)
class Answered:
    """A complete response of the replica itself."""

    response: client.Response
    signature: bytes
    replica: replica_module.Replica


@dataclasses.dataclass(frozen=True)
class AnsweredInBatch:
    """A replica's response, merged with others by the peer that sent the request."""

    signature: bytes
    records: bytes
    """The top records of all shards in the batch; every shard shares this object."""


@dataclasses.dataclass(frozen=True)
class Failed:
    """An error response of the replica itself; the request ran."""

    response: client.Response
    replica: replica_module.Replica


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The request certainly did not run."""

    reason: str
    sent: bool
    """Whether it reached a replica, which then refused it."""


@dataclasses.dataclass(frozen=True)
class Unknown:
    """No usable response; the request may have run."""

    reason: str
    connection_lost: bool = False
    """Whether the connection was lost after the request was written."""
    exceeded_limit: bool = False
    """Whether the response exceeded a limit on its size."""


INTERNAL_ERROR = Unknown("internal_error")
"""An unexpected error in this instance; the request may have run."""
ABANDONED = Unknown("abandoned")
"""This instance closed the connection: no evidence about the replica."""
UNWANTED = NotRun("unwanted", sent=False)
"""The query was answered before the part got a connection."""

_WITHHOLD_REASONS = (
    UNWANTED.reason,
    CRASHES_REPLICAS,
    replicas_module.EVACUATED,
    replicas_module.LEAVING,
    replicas_module.MISDIRECTED,
    replicas_module.OUT_OF_REGION,
    replicas_module.OVERSIZED,
)

Outcome = Answered | AnsweredInBatch | Failed | NotRun | Unknown


async def part_outcome(part: abc.Awaitable[Outcome]) -> Outcome:
    """Return the outcome of one part of a query; an error in it must not fail the other parts."""
    try:
        return await part
    except Exception as error:
        failures.report(error)
        return INTERNAL_ERROR


def build_request(
    call: Call,
    replica: replica_module.Replica,
    names: header_names_module.HeaderNames,
    left_ms: int,
) -> bytes:
    """Encode the request for one replica, with the remaining time and the expected instance."""
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
    names: header_names_module.HeaderNames,
) -> Outcome:
    """
    Return the outcome that a response stands for.

    A response with another request's identifier belongs to that request: it was late or duplicated,
    and further responses on the connection can't be attributed either. Replicas echo the identifier
    in every response except a refusal. A response that belongs to another attempt, or to another
    request without its identifier, can't be recognized here: ``send`` chooses the connection so
    that none can arrive.
    """
    echoed = response.header(names.request_id)
    if echoed is not None and echoed != call.request_id:
        return Unknown("response_of_another_request")
    if response.header(names.not_run) is not None or response.status == _MISDIRECTED_STATUS:
        misdirected = response.status == _MISDIRECTED_STATUS
        return NotRun(MISDIRECTED if misdirected else SHED, sent=True)
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
    """Return why there is no successful response, as a short text; empty if there is one."""
    match outcome:
        case Answered() | AnsweredInBatch():
            return ""
        case Failed():
            return f"replica_status_{outcome.response.status}"
        case NotRun() | Unknown():
            return outcome.reason


def timed_out(outcome: Outcome) -> bool:
    """Whether there is no response because the time ran out."""
    return isinstance(outcome, Unknown) and outcome.reason in ("deadline", NO_RESPONSE, NO_MEMORY)


def was_shed(outcome: Outcome) -> bool:
    """Whether a replica refused the request because its queue was full."""
    return isinstance(outcome, NotRun) and outcome.sent and outcome.reason == SHED


def was_withheld(outcome: Outcome) -> bool:
    """Whether this instance decided not to write the request: no evidence about a replica."""
    if not isinstance(outcome, NotRun) or outcome.sent:
        return False
    return outcome.reason in _WITHHOLD_REASONS


def guarantees_not_run(status: int) -> bool:
    """Whether callers take a status as a guarantee that their request did not run."""
    return status in _NOT_RUN_STATUSES


def internal_error(attempt: replica_module.Attempt) -> Outcome:
    """Return the outcome of an attempt that ended by an unexpected error in this instance."""
    if attempt.written_s is None:
        return NotRun(INTERNAL_ERROR.reason, sent=False)
    return INTERNAL_ERROR


def _timeout_outcome(attempt: replica_module.Attempt) -> Outcome:
    if attempt.written_s is None:
        return NotRun("no_connection_in_time", sent=False)
    waits = attempt.connection is not None and attempt.connection.waits_for_memory
    return Unknown(NO_MEMORY if waits else NO_RESPONSE)


async def send(
    call: Call,
    replica: replica_module.Replica,
    names: header_names_module.HeaderNames,
    attempt: replica_module.Attempt,
    get_withhold_reason: abc.Callable[[], str],
) -> Outcome:
    """
    Attempt a request to a replica and wait for its response.

    :param attempt: records when the request is written; can shorten the timeout
    :param get_withhold_reason: called while the request waits for a connection and just before it
        is written; returns why it must not be, or an empty text
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout_at(call.deadline_s) as attempt.timeout:
            runs_once = not call.route.idempotent
            used = call.connections_used(replica.entry.service)
            async with replica.pool.connection(
                call.rank, runs_once, used, get_withhold_reason
            ) as connection:
                if attempt.unwanted:
                    return UNWANTED
                if withhold_reason := get_withhold_reason():
                    return NotRun(withhold_reason, sent=False)
                now_s = loop.time()
                left_ms = int((call.deadline_s - now_s) * 1000)
                if left_ms < 1:
                    return NotRun("no_time_left", sent=False)
                attempt.written_s, attempt.connection = now_s, connection
                response = await connection.exchange(build_request(call, replica, names, left_ms))
                outcome = classify(response, call, replica, names)
                connection.had_unnamed_response |= response.header(names.request_id) is None
                if isinstance(outcome, Unknown):
                    connection.close()
                return outcome
    except pool_module.WithheldError as error:
        return NotRun(error.reason, sent=False)
    except client.ConnectError as error:
        return NotRun(f"connect: {error}", sent=False)
    except client.ExchangeError as error:
        return Unknown(
            str(error),
            connection_lost=isinstance(error, client.ConnectionLostError),
            exceeded_limit=isinstance(error, client.ResponseLimitError),
        )
    except TimeoutError:
        return _timeout_outcome(attempt)
