"""What this instance believes of every instance, and how beliefs merge (after SWIM)."""

from __future__ import annotations

import heapq
import math
import typing

import attrs
import xxhash

from turmericlug.wire import codec

ALIVE, SUSPECT, LEAVING, DEAD = "alive", "suspect", "leaving", "dead"
_PRECEDENCE = {ALIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}
_NEWS_PER_MESSAGE = 12
_MOST_NEWS_PER_MESSAGE = 48
RANKED = 8
"""Instances that a ranking of owners names."""
PROBED_PEERS = 16
"""Peers that one instance probes in turn."""


@attrs.frozen
class Member:
    """One instance as gossiped; ``incarnation`` is raised only by the instance itself."""

    instance: str
    state: str
    incarnation: int
    host: str
    peers_port: int
    callers_port: int
    data_centre: str
    load_permille: int = 0
    ready: bool = True
    """Whether it has the newest configuration: one without rules must get no caller."""

    @property
    def serving(self) -> bool:
        """Whether it takes new work."""
        return self.ready and self.state in (ALIVE, SUSPECT)


class Members:
    """The view: beliefs by instance, and the news still to be told."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.by_instance: dict[str, Member] = {own.instance: own}
        self.version = 0
        self.refuted = 0
        self._news: dict[str, int] = {}
        self._tell(own.instance)

    def serving(self) -> list[Member]:
        """Return the instances that take new work, ourselves included."""
        return [member for member in self.by_instance.values() if member.serving]

    def peers(self) -> list[Member]:
        """Return the other instances that are not dead."""
        return [
            member
            for member in self.by_instance.values()
            if member.state != DEAD and member.instance != self.own.instance
        ]

    def learn(self, member: Member) -> bool:
        """
        Merge one belief.

        A suspicion or a death told about ourselves is contradicted with a higher incarnation: a
        frozen instance that resumes would otherwise stay dead in every view.

        :returns: whether it changed the view
        """
        if member.instance == self.own.instance:
            if member.state != self.own.state and member.incarnation >= self.own.incarnation:
                self.refuted += 1
                self._set(attrs.evolve(self.own, incarnation=member.incarnation + 1))
            return False
        known = self.by_instance.get(member.instance)
        if known is not None and _rank(member) <= _rank(known):
            return False
        self._set(member)
        return True

    def refresh_load(self, member: Member) -> None:
        """Take a newer load report of a member already known, without making news of it."""
        known = self.by_instance.get(member.instance)
        if known is not None and known.incarnation == member.incarnation:
            self.by_instance[member.instance] = attrs.evolve(
                known, load_permille=member.load_permille
            )

    def mark(self, instance: str, state: str) -> bool:
        """Set another instance's state as we see it; ignored when a newer belief came in."""
        known = self.by_instance.get(instance)
        if known is None or _PRECEDENCE[state] <= _PRECEDENCE[known.state]:
            return False
        self._set(attrs.evolve(known, state=state))
        return True

    def announce(self, **changes: typing.Any) -> None:
        """Change our own entry and tell everyone."""
        self._set(attrs.evolve(self.own, incarnation=self.own.incarnation + 1, **changes))

    def set_own_load(self, load_permille: int) -> None:
        """Change our load, which rides on every probe and so needs no news."""
        self.own = attrs.evolve(self.own, load_permille=load_permille)
        self.by_instance[self.own.instance] = self.own

    def forget(self, instance: str) -> None:
        """Drop a dead instance that the platform no longer lists."""
        self.by_instance.pop(instance, None)
        self._news.pop(instance, None)

    def take_news(self) -> list[Member]:
        """
        Return what is to ride on the next message: ourselves, then the least told.

        More of it when much is waiting, as when a whole data centre goes.
        """
        room = min(max(_NEWS_PER_MESSAGE, len(self._news) // 4), _MOST_NEWS_PER_MESSAGE)
        told = sorted(self._news, key=self._news.__getitem__, reverse=True)[:room]
        news = [self.own]
        for instance in told:
            self._news[instance] -= 1
            if not self._news[instance]:
                del self._news[instance]
            if instance != self.own.instance and instance in self.by_instance:
                news.append(self.by_instance[instance])
        return news

    def _set(self, member: Member) -> None:
        self.by_instance[member.instance] = member
        if member.instance == self.own.instance:
            self.own = member
        self.version += 1
        self._tell(member.instance)

    def _tell(self, instance: str) -> None:
        # Each message reaches one peer; 3 log2(n) of them reach all with high probability.
        self._news[instance] = 3 * math.ceil(math.log2(len(self.by_instance) + 1)) + 1


def _rank(member: Member) -> tuple[int, int]:
    return member.incarnation, _PRECEDENCE[member.state]


def rank_owners(service: str, data_centre: str, members: list[Member]) -> list[Member]:
    """
    Rank the first instances for a service by rendezvous hashing; the first one owns it.

    Instances in the replicas' data centre come first, so that the owner's hop to its targets is
    short. A change of one instance moves only that instance's services.

    :param service: the service's name
    :param data_centre: where most of its replicas are; empty when unknown
    :param members: the candidates
    """

    def weight(member: Member) -> tuple[bool, int]:
        score = xxhash.xxh3_64_intdigest(f"{service}\0{member.instance}".encode())
        return member.data_centre == data_centre, score

    local = [each for each in members if each.data_centre == data_centre]
    # Nobody asks for more than the first few: with enough of them near by, the others of a large
    # fleet need not be weighed.
    candidates = local if len(local) >= RANKED else members
    return heapq.nlargest(RANKED, candidates, key=weight)


def probe_set(own: str, peers: list[Member]) -> list[str]:
    """
    Choose the peers that an instance probes: a fixed few, whatever the size of the fleet.

    Each keeps its links open, and 4,700 open links would take more memory than the rest of a
    daemon. Rendezvous hashing gives each instance about as many probers as it probes; that one of
    4,700 has none has the probability exp(-PROBED_PEERS), and gossip comes to it all the same.
    """

    def weight(member: Member) -> int:
        return xxhash.xxh3_64_intdigest(f"probe\0{own}\0{member.instance}".encode())

    return [each.instance for each in heapq.nlargest(PROBED_PEERS, peers, key=weight)]


def to_wire(members: list[Member]) -> list[dict[str, typing.Any]]:
    """Turn members into what an envelope's list takes."""
    return [
        {
            "instance": member.instance,
            "state": member.state,
            "incarnation": member.incarnation,
            "host": member.host,
            "peersPort": member.peers_port,
            "callersPort": member.callers_port,
            "dataCentre": member.data_centre,
            "loadPermille": member.load_permille,
            "ready": member.ready,
        }
        for member in members
    ]


def from_wire(items: typing.Any) -> list[Member]:
    """
    Read members from an envelope's list.

    :raises codec.FrameError: a state this version does not know
    """
    found = []
    for item in items:
        state = str(item.state)
        if state not in _PRECEDENCE:
            raise codec.FrameError(f"member state {state}")
        found.append(
            Member(
                item.instance,
                state,
                item.incarnation,
                item.host,
                item.peersPort,
                item.callersPort,
                item.dataCentre,
                item.loadPermille,
                item.ready,
            )
        )
    return found
