"""
The most frequent keys of a stream in bounded memory, by the space-saving algorithm.

Metwally, Agrawal, El Abbadi: Efficient computation of frequent and top-k elements in data streams
(ICDT 2005). Every key that makes up more than one part in ``capacity`` of the stream is among the
monitored ones.
"""

from __future__ import annotations

import heapq
import typing

import attrs

Key = typing.TypeVar("Key")


@attrs.define
class HeavyHitters(typing.Generic[Key]):
    """The keys that are monitored, with an upper bound of how often each has occurred."""

    capacity: int
    _counts: dict[Key, int] = attrs.field(factory=dict)

    def add(self, key: Key) -> Key | None:
        """Count an occurrence; return the key that is no longer monitored, if any."""
        counts = self._counts
        if key in counts or len(counts) < self.capacity:
            counts[key] = counts.get(key, 0) + 1
            return None
        rarest = min(counts, key=counts.__getitem__)
        # The new key may have occurred as often before it was monitored.
        counts[key] = counts.pop(rarest) + 1
        return rarest

    def most_frequent(self, count: int) -> list[Key]:
        """Return the most frequent keys, in order."""
        return heapq.nlargest(count, self._counts, key=self._counts.__getitem__)
