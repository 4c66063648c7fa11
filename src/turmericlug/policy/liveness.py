"""
Which of the instances that ask this one for news have fallen silent.

The load pattern: each renewal of a lease is a call to the source, and short leases make them a
large part of all calls. With a longer lease an entry outlives its instance, and callers are told
addresses where nobody answers. But one instance of a data centre is asked for news by all others at
least each 1.7 s. It misses one that has ended about as soon as a lease of 3 s would lapse, and
takes out its entry.
"""

from __future__ import annotations

from collections import abc

import attrs

SILENT_S = 3.0
"""An instance that runs asks again 1.7 s after it has asked, and half a second or so later where
its machine is slow. One that has ended is told to callers as long as with a lease of 3 s."""
MOST_SHARE = 0.5
"""Of the instances that asked, a larger part silent at once is no loss of them: this one stood
still, or is cut off from the others. One alone may always be missed."""
FORGOTTEN_S = 30.0
"""Whoever is silent for longer has no entry any more: leases are shorter."""


@attrs.define
class PeerLiveness:
    """When each instance was last heard."""

    _heard_s: dict[str, float] = attrs.field(factory=dict)

    def record_contact(self, name: str, now_s: float) -> None:
        """Take note that an instance has asked, or answered."""
        self._heard_s[name] = now_s

    def find_missing(self, names: abc.Collection[str], now_s: float) -> list[str]:
        """
        Return those that have spoken before and are missed now.

        :param names: the instances to look at
        """
        for name in [each for each, at_s in self._heard_s.items() if now_s - at_s > FORGOTTEN_S]:
            del self._heard_s[name]
        known = [name for name in names if name in self._heard_s]
        missed = [name for name in known if now_s - self._heard_s[name] > SILENT_S]
        return missed if len(missed) <= max(1, MOST_SHARE * len(known)) else []

    def has_recent_contact(self, now_s: float, but: str) -> bool:
        """Whether any other instance than one has been heard lately."""
        return any(name != but and now_s - at_s <= SILENT_S for name, at_s in self._heard_s.items())

    def forget(self, name: str) -> None:
        """Expect nothing of an instance until it is heard again."""
        self._heard_s.pop(name, None)
