"""Overload control of an instance: observes its parts, decides on its queries, tells its peers."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import math
import statistics
from collections import abc

from turmericlug.direct import answering
from turmericlug.direct import handover_codec
from turmericlug.direct import overload
from turmericlug.direct import replica as replica_module
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.entry import view as view_module
from turmericlug.kernel import failures
from turmericlug.policy import admission as policy
from turmericlug.policy import concurrency
from turmericlug.telemetry import decisions

OVERLOADED = "overloaded"
"""Reason for refusing a query: all shards are overloaded."""
TOO_LONG_A_WAIT = "no_time_to_wait"
"""Reason for refusing a request: so many wait that it would miss its deadline."""
MAX_TIMER_LATENESS_S = 0.03
"""Lateness of a timer from which this process was stalled: a response may have arrived meanwhile,
so that its part says nothing about the replica."""
MAX_SILENCE_S = 1.0
"""A replica that has answered nothing for longer is lost, cut off or unused, not overloaded: one
with a full queue still answers several times a second."""
REMEMBERED_TIMES = 31
"""Remaining times of recent requests of a route, whose median is the usual one."""


def is_active(view: view_module.View, overload_control: bool) -> bool:
    """Whether overload is controlled: organisations are configured, or a setting asks for it."""
    configuration = view.configuration
    return overload_control or (
        configuration is not None and configuration.organisations is not None
    )


class Admission:
    """Admits or refuses the queries of one instance."""

    def __init__(self, sender: sender_module.Sender, active: abc.Callable[[], bool]) -> None:
        """
        Begin without any sign of overload.

        :param active: whether overload is controlled, under the current configuration and settings
        """
        self._sender = sender
        self.active = active
        self._loop = asyncio.get_running_loop()
        self._shedding = policy.Shedding(self._loop.time())
        self._times_left_s: collections.defaultdict[str, collections.deque[float]] = (
            collections.defaultdict(lambda: collections.deque(maxlen=REMEMBERED_TIMES))
        )
        self._queries = concurrency.ConcurrencyLimit(self._loop.time())
        self._requests = concurrency.ConcurrencyLimit(self._loop.time())
        """Requests that go to one replica each."""
        sender.overload = overload.Hooks(
            self._observe_part, self._on_batch, self._on_peer_load, self.load
        )

    async def run(
        self, call: sending.Call, work: abc.Callable[[], abc.Awaitable[answering.Result]]
    ) -> answering.Result:
        """Run the work for a request, or refuse the request at once."""
        decision = await self.acquire(call)
        if isinstance(decision, policy.Refused):
            return self._refuse(call, decision)
        began_s = self._loop.time()
        answered = False
        try:
            result = await work()
            answered = result.outcome in ("answered", "partial")
            return result
        finally:
            failures.try_record("admission", self.release, call, began_s, answered)

    async def acquire(self, call: sending.Call) -> policy.Decision:
        """Decide whether a request is sent, perhaps later; every admitted one must be released."""
        if call.route.shards and not self._admits(call):
            return self._refused(call, OVERLOADED)
        if self._limit(call).try_acquire(self._loop.time()) or await self._wait(call):
            return policy.ADMITTED
        return self._refused(call, TOO_LONG_A_WAIT)

    def release(self, call: sending.Call, began_s: float, answered: bool) -> None:
        """
        Record the end of an admitted request.

        :param began_s: when it was admitted
        :param answered: whether there was an answer, whose duration says something about the load
        """
        answer = failures.try_record("duration", _answer, call, began_s) if answered else None
        self._limit(call).release(self._loop.time(), answer)

    def _limit(self, call: sending.Call) -> concurrency.ConcurrencyLimit:
        return self._queries if call.route.shards else self._requests

    def _refused(self, call: sending.Call, reason: str) -> policy.Refused:
        left_s = call.deadline_s - self._loop.time()
        return policy.Refused(reason, policy.retry_after_s(left_s, self._sender.rng))

    async def _wait(self, call: sending.Call) -> bool:
        """Wait until the limit allows the request; false when that would be too late."""
        limit = self._limit(call)
        slot: asyncio.Future[bool] = self._loop.create_future()
        waiting = concurrency.Waiting(
            call.rank,
            call.organisation_name,
            max(len(call.route.shards), 1),
            call.goal_at_s,
            call.deadline_s,
            slot.set_result,
            slot.cancelled,
        )
        began_s = self._loop.time()
        if not limit.wait(waiting, began_s):
            return False
        try:
            with self._refusing_in_time(limit, waiting, slot):
                if not await slot:
                    return False
        except asyncio.CancelledError:
            limit.leave(waiting)
            if slot.done() and not slot.cancelled() and slot.result():
                # The slot was granted while the caller disconnected: pass it on.
                self.release(call, began_s, answered=False)
            failures.try_record("wait", self._log_wait, "admission.left", call, began_s)
            raise
        failures.try_record("wait", self._log_wait, "admission.waited", call, began_s)
        return True

    @contextlib.contextmanager
    def _refusing_in_time(
        self,
        limit: concurrency.ConcurrencyLimit,
        waiting: concurrency.Waiting,
        slot: asyncio.Future[bool],
    ) -> abc.Iterator[None]:
        """Refuse a waiting request once it is too late to start it, whatever others do."""

        def decide() -> None:
            nonlocal timer
            if slot.done():
                return
            if self._loop.time() < limit.latest_start_s(waiting):
                # Requests have become shorter meanwhile.
                timer = self._loop.call_at(limit.latest_start_s(waiting), decide)
                return
            limit.leave(waiting)
            slot.set_result(False)

        timer = self._loop.call_at(limit.latest_start_s(waiting), decide)
        try:
            yield
        finally:
            timer.cancel()

    def _log_wait(self, event: str, call: sending.Call, began_s: float) -> None:
        limit, now_s = self._limit(call), self._loop.time()
        allowed = limit.limit(now_s)
        self._sender.counters.add(event)
        decisions.log(
            event,
            request=call.request_id,
            rank=call.rank,
            organisation=call.organisation_name or None,
            waited_ms=round((now_s - began_s) * 1000, 1),
            others=limit.queue_length,
            active=limit.active,
            limit=round(allowed, 1) if math.isfinite(allowed) else None,
        )

    def load(self) -> handover_codec.Load:
        """Return the load to tell other instances."""
        if not self.active():
            return handover_codec.Load()
        lag_ms = self._sender.loop_lag_ms()
        return handover_codec.Load(
            level=self._shedding.congestion.update(self._loop.time()),
            lag_ms=round(lag_ms or 0.0),
            active=self._queries.active + self._requests.active,
            queued=self._queries.queue_length + self._requests.queue_length,
        )

    def _admits(self, call: sending.Call) -> bool:
        now_s = self._loop.time()
        left_s = call.deadline_s - now_s
        times_left_s = self._times_left_s[call.route.name]
        times_left_s.append(left_s)
        level = self._shedding.level(now_s)
        is_retry = level < 1.0 and left_s < policy.RETRY_LEFT_SHARE * statistics.median(
            times_left_s
        )
        return self._shedding.admits(
            call.rank, call.organisation_name, call.request_id, is_retry, now_s
        )

    def _refuse(self, call: sending.Call, refused: policy.Refused) -> answering.Result:
        failures.try_record("refusal", self._log_refusal, call, refused)
        return answering.refusal(self._sender, refused.reason, lambda rng: refused.retry_after_s)

    def _log_refusal(self, call: sending.Call, refused: policy.Refused) -> None:
        self._sender.counters.add(f"admission.refused.{refused.reason}")
        decisions.log(
            "admission.refused",
            request=call.request_id,
            reason=refused.reason,
            rank=call.rank,
            organisation=call.organisation_name or None,
            level=round(self._shedding.level(self._loop.time()), 3),
            retry_after_s=round(refused.retry_after_s, 3),
        )

    def _on_batch(self, call: sending.Call) -> None:
        if self.active():
            self._shedding.order.record(call.rank, call.organisation_name, self._loop.time())

    def _on_peer_load(self, peer: str, load: handover_codec.Load) -> None:
        if self.active():
            self._shedding.peers.record(peer, load.level, self._loop.time())

    def _observe_part(
        self, call: sending.Call, replica: replica_module.Replica
    ) -> overload.OnPartEnded:
        if not call.route.shards or not self.active():
            return lambda outcome: None
        sent_s = self._loop.time()
        congestion, shard = self._shedding.congestion, replica.entry.service
        goal_ms = call.query_goal_ms or call.route.goal_ms
        late_at_s = sent_s + policy.LATE_GOAL_SHARE * goal_ms / 1000
        kind = f"{call.route.name}/{replica.entry.data_centre}"

        def record(is_congested: bool) -> None:
            congestion.record_part(
                policy.Part(shard, call.route.name, call.request_id, sent_s),
                is_congested,
                self._loop.time(),
            )

        def on_late() -> None:
            now_s = self._loop.time()
            was_stalled = now_s - late_at_s > MAX_TIMER_LATENESS_S
            is_silent = now_s - replica.relative_latency_at_s > MAX_SILENCE_S
            if not was_stalled and not is_silent:
                record(is_congested=True)

        timer = self._loop.call_at(late_at_s, on_late)

        def on_ended(outcome: sending.Outcome) -> None:
            timer.cancel()
            now_s = self._loop.time()
            if isinstance(outcome, sending.Answered):
                congestion.record_duration(kind, now_s - sent_s)
                if now_s < late_at_s:
                    record(is_congested=False)
            elif sending.was_shed(outcome):
                record(is_congested=True)

        return on_ended


def _answer(call: sending.Call, began_s: float) -> concurrency.Answer:
    now_s = asyncio.get_running_loop().time()
    in_time = now_s + call.response_latency_s <= call.goal_at_s
    return concurrency.Answer(now_s - began_s, call.route.goal_ms / 1000, in_time)
