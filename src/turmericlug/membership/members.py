"""Membership view of one instance and the merge of gossiped states (after SWIM)."""

from __future__ import annotations

import heapq
import math
import typing

import attrs
import xxhash

from turmericlug.wire import codec

ALIVE, SUSPECT, LEAVING, DEAD = "alive", "suspect", "leaving", "dead"
_PRECEDENCE = {ALIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}
_UPDATES_PER_MESSAGE = 12
_MAX_UPDATES_PER_MESSAGE = 48
MAX_RANKED_OWNERS = 8
"""Maximum number of instances in a ranking of owners."""
MIN_GOSSIP_ROUNDS = 2
MAX_INCARNATION = (1 << 63) - 1
"""Milliseconds since 1970 are far below. The highest number of 64 bits, once raised, would fit into
no message."""
PROBED_PEERS = 16
"""Number of peers that one instance probes, in turn."""


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
    """Whether it has the newest configuration; callers must not reach an instance without rules."""

    @property
    def serving(self) -> bool:
        """Whether it takes new work."""
        return self.ready and self.state in (ALIVE, SUSPECT)


class Members:
    """The state of each known instance, and the updates still to be gossiped."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.by_instance: dict[str, Member] = {own.instance: own}
        self.version = 0
        self.refuted = 0
        self._pending_updates: dict[str, int] = {}
        self._enqueue_update(own.instance)

    def serving(self) -> list[Member]:
        """Return the instances that take new work, including this one."""
        return [member for member in self.by_instance.values() if member.serving]

    def peers(self) -> list[Member]:
        """Return the other instances that are not dead."""
        return [
            member
            for member in self.by_instance.values()
            if member.state != DEAD and member.instance != self.own.instance
        ]

    def merge(self, member: Member) -> bool:
        """
        Merge the gossiped state of one instance.

        Refutes a suspicion or death of this instance with a higher incarnation: an instance that
        resumes after a freeze would otherwise stay dead in every view. The incarnation of an
        earlier run is exceeded as well: it is higher if the clock was set back meanwhile, and the
        others would drop all that this run announces.

        :returns: whether the state of another instance changed
        """
        if member.instance == self.own.instance:
            is_wrong = member.state != self.own.state and member.incarnation == self.own.incarnation
            if is_wrong or member.incarnation > self.own.incarnation:
                self.refuted += 1
                self._set(attrs.evolve(self.own, incarnation=member.incarnation + 1))
            return False
        known = self.by_instance.get(member.instance)
        if known is not None and _merge_precedence(member) <= _merge_precedence(known):
            return False
        self._set(member)
        return True

    def refresh_load(self, member: Member) -> None:
        """Update the load of a known member without queueing a gossip update."""
        known = self.by_instance.get(member.instance)
        if known is not None and known.incarnation == member.incarnation:
            self.by_instance[member.instance] = attrs.evolve(
                known, load_permille=member.load_permille
            )

    def mark(self, instance: str, state: str) -> bool:
        """Set the state of another instance as observed here, if it overrides the known state."""
        known = self.by_instance.get(instance)
        if known is None or _PRECEDENCE[state] <= _PRECEDENCE[known.state]:
            return False
        self._set(attrs.evolve(known, state=state))
        return True

    def announce(self, **changes: typing.Any) -> None:
        """Change this instance's own entry and gossip it."""
        self._set(attrs.evolve(self.own, incarnation=self.own.incarnation + 1, **changes))

    def set_own_load(self, load_permille: int) -> None:
        """Set this instance's load; every probe carries it, so no update is queued."""
        self.own = attrs.evolve(self.own, load_permille=load_permille)
        self.by_instance[self.own.instance] = self.own

    def remove(self, instance: str) -> None:
        """Remove a dead instance that the platform no longer lists."""
        self.by_instance.pop(instance, None)
        self._pending_updates.pop(instance, None)

    def take_updates(self) -> list[Member]:
        """
        Return the updates for the next message: this instance, then those sent least often.

        Their number grows with the backlog, for example when a whole data centre fails.
        """
        count = min(
            max(_UPDATES_PER_MESSAGE, len(self._pending_updates) // 4), _MAX_UPDATES_PER_MESSAGE
        )
        selected = sorted(
            self._pending_updates, key=self._pending_updates.__getitem__, reverse=True
        )[:count]
        updates = [self.own]
        for instance in selected:
            self._pending_updates[instance] -= 1
            if not self._pending_updates[instance]:
                del self._pending_updates[instance]
            if instance != self.own.instance and instance in self.by_instance:
                updates.append(self.by_instance[instance])
        return updates

    def _set(self, member: Member) -> None:
        self.by_instance[member.instance] = member
        if member.instance == self.own.instance:
            self.own = member
        self.version += 1
        self._enqueue_update(member.instance)

    def _enqueue_update(self, instance: str) -> None:
        # Each message reaches one peer; 3 log2(n) messages reach all with high probability.
        self._pending_updates[instance] = 3 * math.ceil(math.log2(len(self.by_instance) + 1)) + 1


def _merge_precedence(member: Member) -> tuple[int, int]:
    return member.incarnation, _PRECEDENCE[member.state]


def rank_owners(service: str, data_centre: str, members: list[Member]) -> list[Member]:
    """
    Return the highest-ranked instances for a service by rendezvous hashing; the first owns it.

    Instances in the replicas' data centre rank first, which keeps the latency from the owner to
    its targets low. Adding or removing one instance moves only that instance's services.

    :param service: the service's name
    :param data_centre: where most of its replicas are; empty when unknown
    :param members: the candidate instances
    """

    def rank_key(member: Member) -> tuple[bool, int]:
        score = xxhash.xxh3_64_intdigest(f"{service}\0{member.instance}".encode())
        return member.data_centre == data_centre, score

    local = [member for member in members if member.data_centre == data_centre]
    # Only the first few are used; with enough local candidates, the remote instances of a large
    # fleet need no score.
    candidates = local if len(local) >= MAX_RANKED_OWNERS else members
    return heapq.nlargest(MAX_RANKED_OWNERS, candidates, key=rank_key)


def probe_set(own_instance: str, peers: list[Member]) -> list[str]:
    """
    Choose the peers that an instance probes: a fixed few, whatever the size of the fleet.

    A probed peer's link stays open, and 4,700 open links would take more memory than the rest of a
    daemon. Rendezvous hashing gives each instance about as many probers as it probes. The
    probability that one of 4,700 has no prober is exp(-PROBED_PEERS); gossip still reaches it.
    """

    def rank_key(member: Member) -> int:
        return xxhash.xxh3_64_intdigest(f"probe\0{own_instance}\0{member.instance}".encode())

    return [member.instance for member in heapq.nlargest(PROBED_PEERS, peers, key=rank_key)]


def gossip_rounds(instances: int, informed: int) -> int:
    """
    Return the number of probe intervals after which an update should have reached every instance.

    :param informed: how many instances know it already
    """
    return MIN_GOSSIP_ROUNDS + 2 * math.ceil(math.log2(max(instances / informed, 1.0)))


def to_wire(members: list[Member]) -> list[dict[str, typing.Any]]:
    """Encode members for an envelope's list."""
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
    Decode members from an envelope's list.

    :raises codec.FrameError: the list has a state that this version does not know
    """
    members = []
    for item in items:
        state = str(item.state)
        if state not in _PRECEDENCE:
            raise codec.FrameError(f"unknown member state {state}")
        members.append(
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
    return members
