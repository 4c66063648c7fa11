"""Fan-out of one query's parts to the owners; all answers are of one snapshot."""

from __future__ import annotations

import asyncio
import time
import typing
from collections import abc

import attrs

from turmericlug.catalog import catalog as catalog_module
from turmericlug.kernel import failures
from turmericlug.membership import mesh as mesh_module
from turmericlug.owner import owner as owner_module
from turmericlug.owner import part as part_module
from turmericlug.owner import reply_budget
from turmericlug.owner import submission
from turmericlug.query import outcome as outcome_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.wire import link as link_module

_NEXT_OWNER_REASONS = ("owner_leaving", "resumed_after_gap", "no_replica")
"""Refusal reasons that concern the owner, not the service: the next owner may accept."""
MAX_SUBMISSIONS = 6
_RESUBMIT_DELAY_S = 0.025
SNAPSHOT_ABSENT = "snapshot_absent"
NO_MEMORY = "memory"
"""Reason of a part whose answer isn't kept, as the answers held take all the memory."""


@attrs.frozen
class Plan:
    """The parts of a query, and the conditions for its answer."""

    parameters: submission.QueryParameters
    snapshot: catalog_module.Snapshot
    parts: tuple[tuple[str, str], ...]
    """Service and shard of each part."""
    min_coverage: float
    deadline_s: float
    """On the monotonic clock."""
    held: reply_budget.Held
    """What is held of the answers."""


@attrs.define
class _PartState:
    service: str
    shard: str
    tried_owners: set[str] = attrs.field(factory=set)
    submissions: int = 0
    answer: bytes | None = None
    reason: str = ""
    unresolved_owners: int = 0
    """Number of owners that got the part and have not reported that it did not run."""


OnWaitPredicted = abc.Callable[[str, float], None]


class FanOut:
    """State of the parts of one query."""

    def __init__(
        self,
        plan: Plan,
        owner: owner_module.Owner,
        mesh: mesh_module.Mesh,
        counters: counters_module.Counters,
        on_wait_predicted: OnWaitPredicted,
    ) -> None:
        self._plan = plan
        self._owner = owner
        self._mesh = mesh
        self._counters = counters
        self._on_wait_predicted = on_wait_predicted
        self._parts = [_PartState(service, shard) for service, shard in plan.parts]
        self._open_numbers = set(range(len(self._parts)))
        # Counted per reply: to count over 500 parts at each of 500 replies took most of a
        # coordinator's time.
        self._answered_count = 0
        self._snapshot_absent = False
        self._cancel_callbacks: list[abc.Callable[[], None]] = []
        self._changed = asyncio.Event()
        self._stopped = False
        self.retry_after_ms = 0

    def start(self) -> None:
        """Submit every part to the owner of its service, with one message per owner."""
        self._submit(sorted(self._open_numbers))

    def _submit(self, numbers: list[int]) -> None:
        by_owner: dict[str, list[int]] = {}
        for number in numbers:
            owner = self._next_owner(self._parts[number])
            if owner is not None:
                by_owner.setdefault(owner, []).append(number)
            elif self._parts[number].submissions < MAX_SUBMISSIONS:
                asyncio.get_running_loop().call_later(_RESUBMIT_DELAY_S, self._resubmit, number)
            else:
                self._close_part(number, self._parts[number].reason or "no_owner")
        for instance, owner_numbers in by_owner.items():
            if instance == self._mesh.members.own.instance:
                self._submit_locally(owner_numbers)
            else:
                self._submit_to_peer(instance, owner_numbers)
        self._changed.set()

    def _next_owner(self, part: _PartState) -> str | None:
        """
        Return the first owner in the ranking that has not had this part.

        Owners are identified by name, not by position: the ranking changes when an instance leaves,
        and a position in the old ranking would skip the new owner.
        """
        if part.submissions >= MAX_SUBMISSIONS:
            return None
        for member in self._owner.ranking(part.service):
            if member.instance not in part.tried_owners:
                part.tried_owners.add(member.instance)
                part.submissions += 1
                return member.instance
        return None

    def _resubmit(self, number: int) -> None:
        """Start again with the first owner: links to owners may have been re-established."""
        if number in self._open_numbers and not self._stopped:
            self._parts[number].tried_owners.clear()
            self._parts[number].submissions += 1
            self._submit([number])

    def _submit_locally(self, numbers: list[int]) -> None:
        for number in numbers:
            self._parts[number].unresolved_owners += 1
        cancel = self._owner.submit(self._parts_request(numbers), self._on_replies)
        self._cancel_callbacks.append(cancel)

    def _parts_request(self, numbers: list[int]) -> submission.PartsRequest:
        plan = self._plan
        return submission.PartsRequest(
            plan.parameters,
            plan.snapshot.name,
            plan.deadline_s - time.monotonic(),
            tuple((number, *plan.parts[number]) for number in numbers),
        )

    def _submit_to_peer(self, instance: str, numbers: list[int]) -> None:
        link = self._mesh.link(instance)
        # A silent owner may be suspended: until it answers, new parts go to the next owner.
        if (
            link is None
            or not link.is_connected
            or (link.silent and self._plan.parameters.repeatable)
        ):
            self._submit_to_next_owner(numbers, "owner_unreachable")
            return
        unanswered = set(numbers)

        def on_reply(message: typing.Any) -> bool:
            if isinstance(message, link_module.PeerSilent | link_module.ConnectionLost):
                self._on_link_event(message, unanswered)
                return isinstance(message, link_module.ConnectionLost)
            self._on_message(message, unanswered)
            return not unanswered

        try:
            request_id = link.send(
                lambda envelope: submission.encode_parts(envelope, self._parts_request(numbers)),
                on_reply,
            )
        except link_module.LinkError:
            self._submit_to_next_owner(numbers, "owner_unreachable")
            return
        for number in numbers:
            self._parts[number].unresolved_owners += 1
        self._cancel_callbacks.append(lambda: link.cancel(request_id))

    def _on_link_event(self, event: link_module.LinkEvent, unanswered: set[int]) -> None:
        """
        Submit the open parts of a silent or lost owner to the next one, if they are repeatable.

        A part that is not repeatable is not moved: it may be running, and its outcome is unknown.
        """
        open_numbers = sorted(unanswered & self._open_numbers)
        if self._plan.parameters.repeatable:
            unanswered.clear()
            if open_numbers:
                self._counters.add("query.moved_parts", len(open_numbers))
                self._submit_to_next_owner(open_numbers, "owner_lost")
        elif isinstance(event, link_module.ConnectionLost):
            for number in open_numbers:
                self._close_part(number, "owner_lost")
        self._changed.set()

    def _submit_to_next_owner(self, numbers: list[int], reason: str) -> None:
        for number in numbers:
            self._parts[number].reason = reason
        self._submit(numbers)

    def _on_message(self, message: typing.Any, unanswered: set[int]) -> None:
        if (
            message.which() != "partsReply"
            or message.partsReply.queryId != self._plan.parameters.query_id
        ):
            self._counters.add("query.mismatched_reply")
            return
        replies = []
        for reply_message in message.partsReply.replies:
            if reply_message.number in unanswered:
                unanswered.discard(reply_message.number)
                replies.append(
                    part_module.PartReply(
                        reply_message.number,
                        str(reply_message.outcome),
                        reply_message.reason,
                        reply_message.snapshot,
                        reply_message.comeBackMs,
                        reply_message.body,
                        reply_message.attempts,
                        reply_message.waitMs,
                    )
                )
        self._on_replies(replies)

    def _on_replies(self, replies: list[part_module.PartReply]) -> None:
        numbers_for_next_owner = []
        for reply in replies:
            if reply.number not in self._open_numbers:
                continue
            part = self._parts[reply.number]
            failures.try_record("wait", self._on_wait_predicted, part.service, reply.wait_ms)
            if reply.outcome == part_module.ANSWERED:
                self._accept_answer(reply, part)
            elif reply.outcome == part_module.FAILED:
                self._close_part(reply.number, reply.reason)
            else:
                part.unresolved_owners -= 1
                if reply.reason in _NEXT_OWNER_REASONS:
                    numbers_for_next_owner.append(reply.number)
                else:
                    self.retry_after_ms = max(self.retry_after_ms, reply.retry_after_ms)
                    self._close_part(reply.number, reply.reason)
        if numbers_for_next_owner:
            self._submit_to_next_owner(numbers_for_next_owner, "no_owner")
        self._changed.set()

    def _accept_answer(self, reply: part_module.PartReply, part: _PartState) -> None:
        # An answer of another snapshot would mix two versions of the indexes in one result.
        if reply.snapshot != self._plan.snapshot.name:
            self._counters.add("query.mismatched_reply")
            self._close_part(reply.number, "wrong_snapshot")
            return
        if not self._plan.held.reserve(part.service, len(reply.body)):
            self._counters.add("query.answer_dropped.memory")
            self._close_part(reply.number, NO_MEMORY)
            return
        part.answer = reply.body
        self._answered_count += 1
        self._open_numbers.discard(reply.number)

    def _close_part(self, number: int, reason: str) -> None:
        self._open_numbers.discard(number)
        self._parts[number].reason = reason
        self._snapshot_absent = self._snapshot_absent or reason == SNAPSHOT_ABSENT

    @property
    def min_coverage_unreachable(self) -> bool:
        """Whether the minimum coverage can no longer be reached."""
        max_answered = self._answered_count + len(self._open_numbers)
        return not max_answered or max_answered < self._plan.min_coverage * len(self._parts) - 1e-9

    @property
    def min_coverage_reached(self) -> bool:
        """Whether the answered parts reach the minimum coverage."""
        return self._answered_count >= self._plan.min_coverage * len(self._parts) - 1e-9

    @property
    def snapshot_absent(self) -> bool:
        """Whether a part was closed because no replica holds the pinned snapshot."""
        return self._snapshot_absent

    @property
    def nothing_ran(self) -> bool:
        """Whether it is certain that no part ran at any target."""
        return not self._open_numbers and all(
            not part.unresolved_owners and part.answer is None for part in self._parts
        )

    async def wait(self, until_s: float) -> None:
        """Wait until no part is open, the query can't succeed on its snapshot, or ``until_s``."""
        while self._open_numbers and not self.min_coverage_unreachable and not self.snapshot_absent:
            self._changed.clear()
            remaining_s = until_s - time.monotonic()
            if remaining_s <= 0:
                return
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                return

    def stop(self) -> None:
        """Cancel the open parts at the owners and, through them, at the targets."""
        self._stopped = True
        # Emptied, as the callbacks refer to this object: answers would stay until the next full
        # garbage collection, which is rare.
        while self._cancel_callbacks:
            self._cancel_callbacks.pop()()

    def coverage(self) -> outcome_module.Coverage:
        """Return how many parts are answered, and why each other one is missing."""
        missing = tuple(
            outcome_module.Missing(part.shard, part.reason if closed else "late")
            for number, part in enumerate(self._parts)
            if part.answer is None
            for closed in [number not in self._open_numbers]
        )
        total = len(self._parts)
        return outcome_module.Coverage(total - len(missing), total, missing)

    def results(self) -> list[tuple[str, bytes]]:
        """Return the answers with their shards, in the order of the plan."""
        return [(part.shard, part.answer) for part in self._parts if part.answer is not None]

    def first_reason(self) -> str:
        """Return the reason of the first missing part."""
        missing = self.coverage().missing
        return missing[0].reason if missing else ""
