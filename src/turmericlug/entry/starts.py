"""
Which start of a replica is the latest one, where replicas start again under their name.

The order of two entries is the one in which the source holds them. The start times that they state
don't order them: they come from clocks that differ between machines and may be set back between two
starts. One case needs more than the source's order: a write that got no answer may take effect
seconds later, after the first write of the next start. An entry of a start that has been replaced
before, or that states an earlier time than the latest one, may be such a write, so it is held back
for a while. A replica that is alive writes its entry again within a heartbeat and so keeps its
place; otherwise the entry that was held back is the latest one. Clocks thus delay an entry at most.
"""

from __future__ import annotations

import collections
from collections import abc

import attrs

from turmericlug.direct import routes
from turmericlug.entry import source

MAX_REMEMBERED_STARTS = 4096
"""Replicas whose earlier starts are kept: some minutes' worth in a large deployment, 200 bytes
each."""
MAX_REPLACED_STARTS = 4
"""Earlier starts kept of one replica. A write takes effect some seconds late, and a replica takes
longer than a second to start."""


@attrs.frozen
class _HeldBack:
    """An entry that may be of a start that has ended."""

    written: source.Written
    since_s: float
    """When the first entry of this start was held back."""
    writes: int = 1
    """Entries of this start since then, which the known start has not overwritten."""


class Starts:
    """The starts of each replica, in the source's order, and the entries that are held back."""

    def __init__(self, now_s: abc.Callable[[], float]) -> None:
        self._now_s = now_s
        self._held_back: dict[str, _HeldBack] = {}
        self._removed: collections.OrderedDict[str, int] = collections.OrderedDict()
        """The latest start time of removed replicas, by key."""
        self._replaced: collections.OrderedDict[str, tuple[int, ...]] = collections.OrderedDict()
        """The start times that later ones have replaced, by key."""

    def held_back(self) -> list[source.Written]:
        """Return the entries that are held back."""
        return [held_back.written for held_back in self._held_back.values()]

    def may_have_ended(
        self,
        written: source.Written | source.Unreadable,
        known: source.Written | source.Unreadable | None,
    ) -> bool:
        """
        Whether an entry may be a late write of a start that has ended.

        :param known: the latest known entry of the key
        """
        start_ms, latest_ms = _start_ms(written), self._latest_ms(written.key, known)
        if start_ms is None or latest_ms is None or start_ms == latest_ms:
            return False
        return start_ms < latest_ms or self.was_replaced(written)

    def was_replaced(self, written: source.Written | source.Unreadable) -> bool:
        """Whether another start has been known after the one of an entry."""
        return _start_ms(written) in self._replaced.get(written.key, ())

    def hold_back(self, written: source.Written) -> bool:
        """
        Hold an entry back until it is the latest for certain.

        :returns: whether it is the first entry of its start that is held back
        """
        earlier = self._held_back.get(written.key)
        if earlier is None or _start_ms(earlier.written) != _start_ms(written):
            self._held_back[written.key] = _HeldBack(written, self._now_s())
            return True
        if written.position > earlier.written.position:
            self._held_back[written.key] = attrs.evolve(
                earlier, written=written, writes=earlier.writes + 1
            )
        return False

    def record(
        self,
        written: source.Written | source.Unreadable,
        known: source.Written | source.Unreadable | None,
    ) -> None:
        """Record that an entry is the latest of its key; drops what was held back of the key."""
        self._held_back.pop(written.key, None)
        start_ms, latest_ms = _start_ms(written), self._latest_ms(written.key, known)
        if start_ms is None or latest_ms is None or start_ms == latest_ms:
            return
        replaced = (*self._replaced.get(written.key, ()), latest_ms)
        _remember(
            self._replaced,
            written.key,
            tuple(start for start in replaced if start != start_ms)[-MAX_REPLACED_STARTS:],
        )

    def record_removal(self, removed: source.Removed) -> None:
        """Drop what is held back of a key that the source has removed since."""
        held_back = self._held_back.get(removed.key)
        if held_back is not None and removed.position > held_back.written.position:
            del self._held_back[removed.key]

    def keep_only(self, keys: abc.Container[str]) -> None:
        """Drop what is held back of any other keys, as the source doesn't hold them."""
        self._held_back = {
            key: held_back for key, held_back in self._held_back.items() if key in keys
        }

    def remember(self, key: str, entry: routes.ReplicaEntry) -> None:
        """Remember the start of a replica that is removed."""
        if entry.born_ms is not None:
            _remember(self._removed, key, entry.born_ms)

    def is_held_back(self, key: str) -> bool:
        """Whether an entry of a key is held back."""
        return key in self._held_back

    def take_confirmed(self, held_before_s: float, min_writes: int = 1) -> list[source.Written]:
        """
        Return the entries that have been held back since a time or longer, and release them.

        :param min_writes: how often their start has to have written its entry
        """
        confirmed = [
            held_back.written
            for held_back in self._held_back.values()
            if held_back.since_s <= held_before_s and held_back.writes >= min_writes
        ]
        for written in confirmed:
            del self._held_back[written.key]
        return confirmed

    def _latest_ms(self, key: str, known: source.Written | source.Unreadable | None) -> int | None:
        return _start_ms(known) if is_replica(known) else self._removed.get(key)


def is_replica(written: source.Written | source.Unreadable | None) -> bool:
    """Whether an entry is that of a replica."""
    return isinstance(written, source.Written) and isinstance(written.value, routes.ReplicaEntry)


def _start_ms(written: source.Written | source.Unreadable | None) -> int | None:
    if isinstance(written, source.Written) and isinstance(written.value, routes.ReplicaEntry):
        return written.value.born_ms
    return None


def _remember(remembered: collections.OrderedDict, key: str, value: object) -> None:
    remembered[key] = value
    remembered.move_to_end(key)
    if len(remembered) > MAX_REMEMBERED_STARTS:
        remembered.popitem(last=False)
