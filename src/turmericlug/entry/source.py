"""What an entry instance learns from where the configuration and the replicas are kept."""

from __future__ import annotations

import typing
from collections import abc

import attrs

from turmericlug.direct import routes


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


@attrs.frozen
class Evacuation:
    """The replicas of a data centre are to get nothing more, for as long as its key is there."""

    data_centre: str


@attrs.frozen(order=True)
class Position:
    """
    A place in the source's history.

    A source that returns from a copy loses its latest changes and gives their revisions out again
    for others. It counts its returns: a revision says something only beside the era it is of.
    """

    era: int
    revision: int


Value = routes.Configuration | routes.ReplicaEntry | EntryInstance | Evacuation


@attrs.frozen
class Written:
    """A key has a new value."""

    key: str
    value: Value
    revision: int
    content: bytes = attrs.field(default=b"", repr=False)
    """The value as the source holds it, for passing on."""
    lease: int = 0
    """The lease that the key ends with, where the source itself told; 0: none, or not known."""
    ignored: tuple[str, ...] = ()
    """Optional fields that could not be read and count as absent."""
    era: int = 0
    """In which the source told it; the write itself may be older."""

    @property
    def position(self) -> Position:
        """Where in the source's history it is."""
        return Position(self.era, self.revision)


@attrs.frozen
class Removed:
    """A key is gone."""

    key: str
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Where in the source's history it is."""
        return Position(self.era, self.revision)


@attrs.frozen
class Unreadable:
    """A key has a value that is not of the published form: it names nothing to use."""

    key: str
    revision: int
    reason: str
    content: bytes = attrs.field(default=b"", repr=False)
    """The value as the source holds it, for passing on."""
    era: int = 0

    @property
    def position(self) -> Position:
        """Where in the source's history it is."""
        return Position(self.era, self.revision)


Change = Written | Removed | Unreadable


@attrs.frozen
class Snapshot:
    """Everything, and the revision from which changes have to be followed."""

    written: tuple[Written | Unreadable, ...]
    revision: int
    """Of the oldest page; single entries may be newer."""
    era: int = 0

    @property
    def position(self) -> Position:
        """From where changes have to be followed."""
        return Position(self.era, self.revision)


@attrs.frozen
class Changes:
    """What has changed up to a revision."""

    changes: tuple[Change, ...]
    revision: int
    age_s: float = 0.0
    """How long ago whoever tells them heard from the source."""
    era: int = 0

    @property
    def position(self) -> Position:
        """Up to where they tell what has changed."""
        return Position(self.era, self.revision)


class SourceError(Exception):
    """The source gave no usable answer; the reason is a short word."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class HistoryLostError(Exception):
    """The changes since the given position are not known: read everything anew."""


class LeaseEndedError(Exception):
    """The lease is no longer in force, and its keys are gone."""


class Source(typing.Protocol):
    """Where configuration, replicas and the other instances are kept."""

    era: int
    """The latest that an answer was of; all that was acknowledged in an earlier one may be lost."""

    async def read_all(self, may_be_stale: bool) -> Snapshot:
        """
        Read everything.

        :param may_be_stale: whether seconds old will do, which costs the source less
        """

    async def changes(self, after: Position, wait_s: float) -> Changes:
        """Wait for changes after a position; none when the time is over."""

    async def lease(self, ttl_s: float) -> int:
        """Open a lease."""

    async def keep(self, lease: int) -> None:
        """Renew a lease."""

    async def end(self, lease: int) -> None:
        """End a lease, which removes its keys."""

    async def register(self, instance: EntryInstance, lease: int) -> None:
        """Write the entry of an instance under its lease."""

    async def remove(self, written: abc.Sequence[Written]) -> bool:
        """Remove keys, all or none; false when one has been written since."""
