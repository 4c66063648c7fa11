"""One query's parts on their way to the owners and back, merged under one snapshot."""

from __future__ import annotations

import asyncio
import time
import typing
from collections import abc

import attrs

from turmericlug.catalog import catalog as catalog_module
from turmericlug.membership import mesh as mesh_module
from turmericlug.owner import owner as owner_module
from turmericlug.owner import part as part_module
from turmericlug.owner import submission
from turmericlug.query import outcome as outcome_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.wire import link as link_module

_MOVE_ON = ("owner_leaving", "resumed_after_gap", "no_replica")
"""Refusals that speak of the owner, not of the service: the next owner may do better."""
MOST_SENDS = 6
_SEND_AGAIN_S = 0.025
ABSENT = "snapshot_absent"


@attrs.frozen
class Plan:
    """What a query asks of the owners."""

    terms: submission.Terms
    snapshot: catalog_module.Snapshot
    parts: tuple[tuple[str, str], ...]
    """Service and shard of each part."""
    min_coverage: float
    deadline_s: float
    """On the monotonic clock."""


@attrs.define
class _Part:
    service: str
    shard: str
    tried: set[str] = attrs.field(factory=set)
    sends: int = 0
    answered: bytes | None = None
    reason: str = ""
    holders: int = 0
    """Owners that got the part and have not said that they did not run it."""


OnWait = abc.Callable[[str, float], None]


class FanOut:
    """The state of one query's parts."""

    def __init__(
        self,
        plan: Plan,
        owner: owner_module.Owner,
        mesh: mesh_module.Mesh,
        counters: counters_module.Counters,
        on_wait: OnWait,
    ) -> None:
        self._plan = plan
        self._owner = owner
        self._mesh = mesh
        self._counters = counters
        self._on_wait = on_wait
        self._parts = [_Part(service, shard) for service, shard in plan.parts]
        self._open = set(range(len(self._parts)))
        # Counted as replies come: adding up 500 parts at each of 500 replies took most of a
        # coordinator's time.
        self._answered = 0
        self._some_absent = False
        self._cancels: list[abc.Callable[[], None]] = []
        self._changed = asyncio.Event()
        self._stopped = False
        self.come_back_ms = 0

    def start(self) -> None:
        """Send every part to the owner of its service: one message per owner."""
        self._send(sorted(self._open))

    def _send(self, numbers: list[int]) -> None:
        by_owner: dict[str, list[int]] = {}
        for number in numbers:
            owner = self._next_owner(self._parts[number])
            if owner is not None:
                by_owner.setdefault(owner, []).append(number)
            elif self._parts[number].sends < MOST_SENDS:
                asyncio.get_running_loop().call_later(_SEND_AGAIN_S, self._send_again, number)
            else:
                self._close(number, self._parts[number].reason or "no_owner")
        for instance, theirs in by_owner.items():
            if instance == self._mesh.members.own.instance:
                self._send_own(theirs)
            else:
                self._send_peer(instance, theirs)
        self._changed.set()

    def _next_owner(self, part: _Part) -> str | None:
        """
        Return the first in rank that has not had this part.

        Told apart by name, not by place: the ranking itself changes when an instance leaves, and
        a place counted in the old one would skip the new owner.
        """
        if part.sends >= MOST_SENDS:
            return None
        for member in self._owner.ranking(part.service):
            if member.instance not in part.tried:
                part.tried.add(member.instance)
                part.sends += 1
                return member.instance
        return None

    def _send_again(self, number: int) -> None:
        """Begin with the first owner again, as when links are being made anew."""
        if number in self._open and not self._stopped:
            self._parts[number].tried.clear()
            self._parts[number].sends += 1
            self._send([number])

    def _send_own(self, numbers: list[int]) -> None:
        for number in numbers:
            self._parts[number].holders += 1
        cancel = self._owner.submit(self._parts_in(numbers), self._on_replies)
        self._cancels.append(cancel)

    def _parts_in(self, numbers: list[int]) -> submission.PartsIn:
        plan = self._plan
        return submission.PartsIn(
            plan.terms,
            plan.snapshot.name,
            plan.deadline_s - time.monotonic(),
            tuple((number, *plan.parts[number]) for number in numbers),
        )

    def _send_peer(self, instance: str, numbers: list[int]) -> None:
        link = self._mesh.link(instance)
        # A silent owner may be frozen: new parts go to the next one until it speaks again.
        if link is None or not link.is_up or (link.silent and self._plan.terms.repeatable):
            self._move_on(numbers, "owner_unreachable")
            return
        waiting = set(numbers)

        def on_reply(message: typing.Any) -> bool:
            if isinstance(message, link_module.PeerSilent | link_module.ConnectionLost):
                self._on_note(message, waiting)
                return isinstance(message, link_module.ConnectionLost)
            self._on_message(message, waiting)
            return not waiting

        try:
            request_id = link.send(
                lambda envelope: submission.fill(envelope, self._parts_in(numbers)), on_reply
            )
        except link_module.LinkError:
            self._move_on(numbers, "owner_unreachable")
            return
        for number in numbers:
            self._parts[number].holders += 1
        self._cancels.append(lambda: link.cancel(request_id))

    def _on_note(self, note: link_module.LinkEvent, waiting: set[int]) -> None:
        """
        Move what a frozen or lost owner still has to the next one, where repeating is safe.

        A part that may run only once stays: it may be running there, and its outcome is unknown.
        """
        open_numbers = sorted(waiting & self._open)
        if self._plan.terms.repeatable:
            waiting.clear()
            if open_numbers:
                self._counters.add("query.moved_parts", len(open_numbers))
                self._move_on(open_numbers, "owner_lost")
        elif isinstance(note, link_module.ConnectionLost):
            for number in open_numbers:
                self._close(number, "owner_lost")
        self._changed.set()

    def _move_on(self, numbers: list[int], reason: str) -> None:
        for number in numbers:
            self._parts[number].reason = reason
        self._send(numbers)

    def _on_message(self, message: typing.Any, waiting: set[int]) -> None:
        if (
            message.which() != "partsReply"
            or message.partsReply.queryId != self._plan.terms.query_id
        ):
            self._counters.add("query.mismatched_reply")
            return
        replies = []
        for item in message.partsReply.replies:
            if item.number in waiting:
                waiting.discard(item.number)
                replies.append(
                    part_module.PartReply(
                        item.number,
                        str(item.outcome),
                        item.reason,
                        item.snapshot,
                        item.comeBackMs,
                        item.body,
                        item.attempts,
                        item.waitMs,
                    )
                )
        self._on_replies(replies)

    def _on_replies(self, replies: list[part_module.PartReply]) -> None:
        moving = []
        for reply in replies:
            if reply.number not in self._open:
                continue
            part = self._parts[reply.number]
            self._on_wait(part.service, reply.wait_ms)
            if reply.outcome == part_module.ANSWERED:
                self._take_answer(reply, part)
            elif reply.outcome == part_module.FAILED:
                self._close(reply.number, reply.reason)
            else:
                part.holders -= 1
                if reply.reason in _MOVE_ON:
                    moving.append(reply.number)
                else:
                    self.come_back_ms = max(self.come_back_ms, reply.come_back_ms)
                    self._close(reply.number, reply.reason)
        if moving:
            self._move_on(moving, "no_owner")
        self._changed.set()

    def _take_answer(self, reply: part_module.PartReply, part: _Part) -> None:
        # An owner that mixes up snapshots would make an answer of two versions of the indexes.
        if reply.snapshot != self._plan.snapshot.name:
            self._counters.add("query.mismatched_reply")
            self._close(reply.number, "wrong_snapshot")
            return
        part.answered = reply.body
        self._answered += 1
        self._open.discard(reply.number)

    def _close(self, number: int, reason: str) -> None:
        self._open.discard(number)
        self._parts[number].reason = reason
        self._some_absent = self._some_absent or reason == ABSENT

    @property
    def hopeless(self) -> bool:
        """Whether the least coverage can't be reached any more."""
        possible = self._answered + len(self._open)
        return not possible or possible < self._plan.min_coverage * len(self._parts) - 1e-9

    @property
    def enough(self) -> bool:
        """Whether what has answered satisfies the least coverage."""
        return self._answered >= self._plan.min_coverage * len(self._parts) - 1e-9

    @property
    def snapshot_absent(self) -> bool:
        """Whether some part found that no replica holds the pinned snapshot."""
        return self._some_absent

    @property
    def nothing_ran(self) -> bool:
        """Whether it is certain that no target ran any part."""
        return not self._open and all(
            not part.holders and part.answered is None for part in self._parts
        )

    async def wait(self, until_s: float) -> None:
        """Wait until all parts have ended, the query is hopeless, or a time has come."""
        while self._open and not self.hopeless and not self.snapshot_absent:
            self._changed.clear()
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                return
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                return

    def stop(self) -> None:
        """Cancel what is still open, at the owners and through them at the targets."""
        self._stopped = True
        for cancel in self._cancels:
            cancel()

    def coverage(self) -> outcome_module.Coverage:
        """State what answered, and why the rest did not."""
        missing = tuple(
            outcome_module.Missing(part.shard, part.reason if not_open else "late")
            for number, part in enumerate(self._parts)
            if part.answered is None
            for not_open in [number not in self._open]
        )
        total = len(self._parts)
        return outcome_module.Coverage(total - len(missing), total, missing)

    def results(self) -> list[tuple[str, bytes]]:
        """Return the answers by shard, in the order of the plan."""
        return [(part.shard, part.answered) for part in self._parts if part.answered is not None]

    def first_reason(self) -> str:
        """Return why the first of the missing parts is missing."""
        missing = self.coverage().missing
        return missing[0].reason if missing else ""
