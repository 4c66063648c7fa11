"""
Detection of instances that have stopped polling this one for updates.

The load pattern: each renewal of a lease is a call to the source, and short leases account for a
large part of all calls. A longer lease outlives its instance, and callers are then given addresses
at which nothing answers. One instance of each data centre, however, is polled by all the others at
least every 1.7 s. It detects an instance that has ended about as soon as a lease of 3 s would
expire, and removes its entry.
"""

from __future__ import annotations

from collections import abc

import attrs

SILENCE_TIMEOUT_S = 3.0
"""A running instance polls again 1.7 s after its last poll, or half a second or so later on a slow
machine. The entry of one that has ended is handed out for as long as with a lease of 3 s."""
MAX_SILENT_SHARE = 0.5
"""If a larger share of the known instances falls silent at once, they have not failed: this
instance was frozen or is cut off from the others. A single instance may always be silent."""
CONTACT_TTL_S = 30.0
"""An instance that has been silent for longer has no entry any more, since leases are shorter."""


@attrs.define
class PeerLiveness:
    """The time of the last contact with each instance."""

    _last_contact_s: dict[str, float] = attrs.field(factory=dict)

    def record_contact(self, name: str, now_s: float) -> None:
        """Record that an instance has polled this one or answered it."""
        self._last_contact_s[name] = now_s

    def find_silent(self, names: abc.Collection[str], now_s: float) -> list[str]:
        """
        Return the instances that were in contact before and are silent now.

        :param names: the instances to check
        """
        for name in [
            name for name, at_s in self._last_contact_s.items() if now_s - at_s > CONTACT_TTL_S
        ]:
            del self._last_contact_s[name]
        known = [name for name in names if name in self._last_contact_s]
        silent = [name for name in known if now_s - self._last_contact_s[name] > SILENCE_TIMEOUT_S]
        return silent if len(silent) <= max(1, MAX_SILENT_SHARE * len(known)) else []

    def has_recent_contact(self, now_s: float, excluding: str) -> bool:
        """
        Whether any instance has been in contact within the silence timeout.

        :param excluding: an instance that is left out
        """
        return any(
            name != excluding and now_s - at_s <= SILENCE_TIMEOUT_S
            for name, at_s in self._last_contact_s.items()
        )

    def forget(self, name: str) -> None:
        """Stop monitoring an instance until its next contact."""
        self._last_contact_s.pop(name, None)
