"""The source of configuration, replicas and instances: its protocol and the data it delivers."""

from __future__ import annotations

import typing
from collections import abc

import attrs

from turmericlug.direct import routes
from turmericlug.policy import capacity as capacity_module

MAX_CHANGES = 1_000_000_000
"""No source makes as many changes between two positions that an instance hears of: that is more
than a day of 10,000 changes a second."""

MAX_NUMBER = (1 << 64) - 1
"""Eras, revisions and leases are 64-bit numbers in the messages between instances."""
MAX_REVISIONS_AHEAD = 1_000_000
"""How much newer than its answer a change may be: an answer that may be stale is some seconds old,
in which a large deployment makes fewer changes."""


@attrs.frozen
class EntryInstance:
    """An instance that callers may connect to."""

    name: str
    address: str
    """``host:port`` for callers."""
    data_centre: str
    region: str
    peers_address: str = ""
    """``host:port`` for other instances."""
    capacity: float = capacity_module.DEFAULT
    """How much work it can do, compared with other instances."""

    def as_replica(self) -> routes.ReplicaEntry:
        """Return it as a replica of a service that is named after its data centre."""
        host, _, port = self.peers_address.rpartition(":")
        return routes.ReplicaEntry(
            instance=self.name,
            service=self.data_centre,
            host=host,
            port=int(port or 0),
            data_centre=self.data_centre,
            slots=1,
            draining=False,
            warmup_left_ms=0,
        )


@attrs.frozen
class Evacuation:
    """Excludes the replicas of a data centre from requests for as long as its key exists."""

    data_centre: str


@attrs.frozen(order=True)
class Position:
    """
    A position in the source's history.

    A source that is restored from a copy loses its latest changes and assigns their revisions again
    to other changes. Each restore starts a new era, so that a revision is meaningful only together
    with its era.
    """

    era: int
    revision: int

    def can_follow(self, earlier: Position) -> bool:
        """Whether a source that was at an earlier position can be at this one."""
        if self.era != earlier.era:
            return self.era > earlier.era
        return 0 <= self.revision - earlier.revision <= MAX_CHANGES


Value = routes.Configuration | routes.ReplicaEntry | EntryInstance | Evacuation


@attrs.frozen
class Written:
    """A key with its new value."""

    key: str
    value: Value
    revision: int
    content: bytes = attrs.field(default=b"", repr=False)
    """The raw value as the source holds it, to be relayed to other instances."""
    lease: int = 0
    """The lease to which the key is attached, if the source reported it; 0: none or unknown."""
    ignored: tuple[str, ...] = ()
    """Optional fields that could not be decoded and count as absent."""
    era: int = 0
    """The era in which the source reported the value; the write itself may be older."""

    @property
    def position(self) -> Position:
        """Where in the source's history it is."""
        return Position(self.era, self.revision)


@attrs.frozen
class Removed:
    """A removed key."""

    key: str
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Where in the source's history it is."""
        return Position(self.era, self.revision)


@attrs.frozen
class Unreadable:
    """A key whose value does not follow the published format and is not used."""

    key: str
    revision: int
    """0 if it is malformed: it precedes any other, so that what is known of the key stays."""
    reason: str
    """A short keyword, which is also the name of a counter."""
    era: int = 0
    field: str = ""
    """Path of the field that caused the refusal; empty if it concerns the value as a whole."""
    problem: str = ""
    """What is wrong, with the limit."""

    @property
    def content(self) -> bytes:
        """Nothing: a value that is refused here is not handed on."""
        return b""

    @property
    def position(self) -> Position:
        """Where in the source's history it is."""
        return Position(self.era, self.revision)


Change = Written | Removed | Unreadable


@attrs.frozen
class Snapshot:
    """All entries, and the revision from which to request changes."""

    entries: tuple[Written | Unreadable, ...]
    revision: int
    """The revision of the oldest page; single entries may be newer."""
    era: int = 0

    @property
    def position(self) -> Position:
        """The position from which to request changes."""
        return Position(self.era, self.revision)


@attrs.frozen
class Changes:
    """The changes up to a revision."""

    changes: tuple[Change, ...]
    revision: int
    age_s: float = 0.0
    """Time since whoever delivers the changes last got an answer from the source."""
    era: int = 0

    @property
    def position(self) -> Position:
        """The position up to which the changes are complete."""
        return Position(self.era, self.revision)


class SourceError(Exception):
    """The source gave no usable answer; the reason is a short keyword."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class HistoryLostError(Exception):
    """The changes since the given position are no longer available; a new snapshot is needed."""


class LeaseEndedError(Exception):
    """The lease has expired or was ended, and its keys are removed."""


class Source(typing.Protocol):
    """Where the configuration, the replicas and the other instances are registered."""

    era: int
    """The latest era seen in an answer; writes acknowledged in an earlier one may be lost."""

    async def read_all(self, may_be_stale: bool) -> Snapshot:
        """
        Read all entries.

        :param may_be_stale: whether a result some seconds old is acceptable, which costs the source
            less
        """

    async def changes(self, after: Position, wait_s: float) -> Changes:
        """Wait for changes after a position; return none if the wait time elapses."""

    async def open_lease(self, ttl_s: float) -> int:
        """Open a lease."""

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""

    async def end_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""

    async def register(self, instance: EntryInstance, lease: int) -> None:
        """Write the entry of an instance under its lease."""

    async def remove(self, written: abc.Sequence[Written]) -> bool:
        """Remove keys, all or none; false if one has been written since."""
