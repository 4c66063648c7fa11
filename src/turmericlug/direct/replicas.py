"""The replicas of all services as this instance sees them: who is there, how fast, how reliable."""

from __future__ import annotations

import asyncio
import collections
from collections import abc

from turmericlug.direct import budget
from turmericlug.direct import placement
from turmericlug.direct import pool as pool_module
from turmericlug.direct import replica as replica_module
from turmericlug.direct import routes
from turmericlug.direct import timing
from turmericlug.http1 import client
from turmericlug.owner import policy
from turmericlug.policy import warm_up
from turmericlug.telemetry import decisions

LOAD_FACTOR = 0.3
"""Slow-down that each send under way to a replica adds to the next one, as a share of its usual
time: with two slots and other instances' sends a third of it is felt on average."""
DISTANCE_FACTORS = (1.0, 1.1, 1.25)
"""A replica of another data centre or region is taken only where it is clearly faster: bytes
between them are what the platform charges most for."""
CONNECT_SHARE = 0.5
"""Time to open a connection, as a share of a usual send: a round trip and a handshake."""
OVERDUE_FACTOR = 6.0
"""A replica with an overdue send is taken only where the other is six times as slow: a pause lasts
200 to 300 ms, several times a usual part."""
TROUBLE_FACTOR = 3.0
"""A replica that fails all its requests counts as four times as slow before it is set aside."""
SHED_FACTOR = 10.0
"""A replica that sheds six of ten counts as seven times as slow then: more than one in another
region, which takes four times as long. Sent to again after each pause, it uses up the extra sends
of every instance, and queries fail for want of them."""
REMOTE_GUESS_MS = 60.0
LOCAL_GUESS_MS = 30.0
"""Before there are measured times, replicas of the own region go first."""
WARM_AT_ONCE = 8
"""Connections opened ahead in one round: a handshake holds a slot of the replica for 6 ms."""


class Times:
    """Recent times of one route's sends to the replicas of one data centre."""

    def __init__(self, guess_ms: float) -> None:
        self._recent = policy.DurationWindow()
        self._guess_ms = guess_ms

    def add(self, duration_ms: float) -> None:
        """Record the duration of one send."""
        self._recent.add(duration_ms)

    @property
    def usual_ms(self) -> float:
        """The usual duration, or a guess before there are enough."""
        return self._recent.percentile_ms(50) or self._guess_ms

    @property
    def slow_ms(self) -> float | None:
        """The 85th percentile, or ``None`` before there are enough."""
        return self._recent.percentile_ms(85)


def _is_another(known: routes.ReplicaEntry, entry: routes.ReplicaEntry) -> bool:
    """Whether an entry is of another start than the one before, or of another place altogether."""
    places = [(each.service, each.host, each.port) for each in (known, entry)]
    return known.born_ms != entry.born_ms or places[0] != places[1]


NO_REPLICA = "no_replica"
"""Reason of what was not sent because no replica is known to take it."""
EVACUATED = "evacuated"
"""Reason of what was not sent because the replicas are in evacuated data centres."""
OUT_OF_REGION = "out_of_region"
"""Reason of what was not sent because no replica is in a region that the route allows."""
COLD = "cold"
"""Reason of what was not sent because all replicas have had their share while they are cold."""

ColdLimit = abc.Callable[[routes.ReplicaEntry], warm_up.Share]
MakePool = abc.Callable[[routes.ReplicaEntry], pool_module.Pool]


class Replicas:
    """All replicas by service, with the shared times of routes and budgets of services."""

    def __init__(
        self,
        make_pool: MakePool,
        place: placement.Place,
        allowance: budget.Allowance,
    ) -> None:
        self._make_pool = make_pool
        self._place = place
        self._allowance = allowance
        self._by_service: dict[str, dict[str, replica_module.Replica]] = collections.defaultdict(
            dict
        )
        self._by_instance: dict[str, replica_module.Replica] = {}
        self._times: dict[tuple[str, str], Times] = {}
        self._budgets: dict[str, budget.ExtraSends] = {}
        self.evacuated: dict[str, float] = {}
        """Data centres whose replicas get nothing, with the time since when."""
        self.cold_limit: ColdLimit = lambda entry: warm_up.UNLIMITED
        """Tells what this instance may send to a cold replica."""
        self.on_lost: abc.Callable[[replica_module.Replica], None] = lambda replica: None
        """Called when a replica is gone that had not said it would leave."""

    def __len__(self) -> int:
        return len(self._by_instance)

    def connections(self) -> dict[str, int]:
        """Count the connections that are open, and those opened to the replicas there are."""
        pools = [(each.pool, self.is_near(each.entry.data_centre)) for each in self.all()]
        return {
            "open": sum(pool.open_count for pool, _ in pools),
            "opened_near": sum(pool.opened for pool, near in pools if near),
            "opened_far": sum(pool.opened for pool, near in pools if not near),
            "opened_ahead": sum(pool.opened_ahead for pool, _ in pools),
        }

    def all(self) -> abc.Iterable[replica_module.Replica]:
        """Return every replica."""
        return self._by_instance.values()

    def of(self, service: str) -> list[replica_module.Replica]:
        """Return the replicas of a service."""
        return list(self._by_service.get(service, {}).values())

    def put(self, entry: routes.ReplicaEntry, now_s: float = 0.0) -> bool:
        """
        Add a replica or take over its new entry.

        One that was started again under its name is another replica: the pace, the failures and the
        connections of its former self say nothing of it, and what is under way to that may have run
        or not.

        :param now_s: when the entry was learned; what a replica has left of being cold counts on
        :returns: whether anything that matters has changed
        """
        known = self._by_instance.get(entry.instance)
        if known is not None and _is_another(known.entry, entry):
            decisions.log("replica.restarted", replica=entry.instance, service=entry.service)
            self.remove(entry.instance)
            known = None
        if known is not None and entry.sequence < known.entry.sequence:
            # Said before what is known, by a copy of the source or a write carried out late.
            return False
        if known is None:
            replica = replica_module.Replica(entry, self._make_pool(entry), leaving=entry.draining)
            replica.turns_cold(entry.warmup_left_ms, now_s)
            self._by_instance[entry.instance] = replica
            self._by_service[entry.service][entry.instance] = replica
            return True
        changed = known.leaving != entry.draining
        if entry.warmup_left_ms != known.entry.warmup_left_ms:
            known.turns_cold(entry.warmup_left_ms, now_s)
        known.entry = entry
        known.leaving = entry.draining
        if entry.draining:
            known.pool.trim()
        return changed

    async def warm(self, now_s: float, wanted: abc.Callable[[str], bool], far: bool) -> None:
        """
        Open a first connection to replicas that have none.

        A hedge goes to the replica that is not used otherwise. A new connection takes a round trip
        and a handshake, a large part of an urgent query's goal between regions.

        Far replicas are left cold where instances are many: replicas close idle connections, so
        that an owner opens them again and again and hardly uses any. The same goes for a service
        without a replica near, whose parts are handed to an instance there.

        :param wanted: whether this instance is to send to a service's replicas
        :param far: whether replicas of other regions get one as well
        """
        cold = [
            each
            for service, replicas in self._by_service.items()
            if wanted(service)
            for each in self._worth_warming(replicas.values(), far)
            if each.pool.open_count == 0 and self._is_open(each) and not each.set_aside(now_s)
        ]
        await asyncio.gather(*(self._warm(each, now_s) for each in cold[:WARM_AT_ONCE]))

    def _worth_warming(
        self, replicas: abc.Collection[replica_module.Replica], far: bool
    ) -> list[replica_module.Replica]:
        near = [each for each in replicas if self.is_near(each.entry.data_centre)]
        if not (near and far):
            return near
        return [each for each in replicas if each in near or each.pool.limit() > 1]

    async def _warm(self, replica: replica_module.Replica, now_s: float) -> None:
        try:
            await replica.pool.warm()
        except client.ConnectError as error:
            replica.failed(now_s)
            decisions.log(
                "replica.not_connected",
                replica=replica.entry.instance,
                service=replica.entry.service,
                reason=str(error),
            )

    def evacuate(self, data_centre: str, now_s: float) -> None:
        """Send nothing more to the replicas of a data centre; what is under way may finish."""
        self.evacuated.setdefault(data_centre, now_s)

    def end_evacuation(self, data_centre: str, now_s: float) -> float:
        """
        Let the replicas of a data centre get requests again.

        :returns: how long it was evacuated, in seconds
        """
        return now_s - self.evacuated.pop(data_centre, now_s)

    def _is_open(self, replica: replica_module.Replica) -> bool:
        return not replica.leaving and replica.entry.data_centre not in self.evacuated

    def open_to(self, service: str, route: routes.Route) -> list[replica_module.Replica]:
        """Return the replicas of a service that may get a request of a route."""
        return [
            each
            for each in self._by_service.get(service, {}).values()
            if self._is_open(each) and self._place.allows(route.regions, each.entry.data_centre)
        ]

    def common(self, service: str, route: routes.Route, request_id: bytes, data_centre: str) -> str:
        """
        Return the replica that all instances of a data centre may send a handed part to.

        Empty where replicas are so few that no send can reach too many.
        """
        replicas = self.open_to(service, route)
        if len(replicas) <= route.max_attempts:
            return ""
        places = {each.entry.instance: each.entry.data_centre for each in replicas}
        return placement.common_replica(request_id, places, data_centre)

    def why_none(self, service: str, route: routes.Route, now_s: float) -> str:
        """Return why a request can be sent to no replica of a service, as a reason."""
        known = self._by_service.get(service, {}).values()
        allowed = [
            each for each in known if self._place.allows(route.regions, each.entry.data_centre)
        ]
        if known and not allowed:
            return OUT_OF_REGION
        staying = [each for each in allowed if not each.leaving]
        if staying and not any(map(self._is_open, staying)):
            return EVACUATED
        if any(not self.may_take(each, now_s) for each in self.open_to(service, route)):
            return COLD
        return NO_REPLICA

    def may_take(self, replica: replica_module.Replica, now_s: float) -> bool:
        """Whether a replica bears one more request from this instance, should it be cold."""
        if not replica.is_cold(now_s):
            return True
        share = self.cold_limit(replica.entry)
        return share.allows(replica.cold_since_s, replica.cold_sent_s, now_s)

    def remove(self, instance: str) -> bool:
        """Forget a replica; what is under way to it may finish."""
        replica = self._by_instance.pop(instance, None)
        if replica is None:
            return False
        self._by_service[replica.entry.service].pop(instance, None)
        replica.pool.close()
        if not replica.leaving:
            self.on_lost(replica)
        return True

    def instances(self) -> set[str]:
        """Return the instances of all replicas."""
        return set(self._by_instance)

    def times(self, route: str, data_centre: str) -> Times:
        """Return the recent times of a route's sends to a data centre."""
        key = (route, data_centre)
        if key not in self._times:
            near = self.is_near(data_centre)
            self._times[key] = Times(LOCAL_GUESS_MS if near else REMOTE_GUESS_MS)
        return self._times[key]

    def is_near(self, data_centre: str) -> bool:
        """Whether a data centre is in this instance's region."""
        return self._place.distance(data_centre) < placement.ELSEWHERE

    def allow(self, allowance: budget.Allowance) -> None:
        """Go by another allowance of extra sends, for all services."""
        self._allowance = allowance
        for each in self._budgets.values():
            each.allow(allowance)

    def extra_sends(self, service: str) -> budget.ExtraSends:
        """Return the budget of a service."""
        if service not in self._budgets:
            self._budgets[service] = budget.ExtraSends(self._allowance)
        return self._budgets[service]

    def choose(
        self,
        service: str,
        route: routes.Route,
        tried: abc.Collection[replica_module.Replica],
        now_s: float,
    ) -> replica_module.Replica | None:
        """
        Pick the replica that will probably answer first.

        Replicas set aside are taken only when there is no other: an answer of an unreliable one is
        worth more than none. One whose address is another's by now is never taken.

        :param tried: those that this request has been sent to
        """
        candidates = [
            each
            for each in self.open_to(service, route)
            if not each.elsewhere(now_s) and each not in tried and self.may_take(each, now_s)
        ]
        sound = [each for each in candidates if not each.set_aside(now_s)]
        return min(
            sound or candidates,
            key=lambda each: self.expected_ms(each, route, now_s),
            default=None,
        )

    def expected_ms(
        self, replica: replica_module.Replica, route: routes.Route, now_s: float
    ) -> float:
        """Estimate how long a replica takes for one more request."""
        usual_ms = self.times(route.name, replica.entry.data_centre).usual_ms
        load = 1 + LOAD_FACTOR * (len(replica.sends) + replica.pool.waiting)
        expected_ms = usual_ms * replica.current_pace(now_s) * load
        expected_ms *= DISTANCE_FACTORS[self._place.distance(replica.entry.data_centre)]
        expected_ms *= 1 + TROUBLE_FACTOR * replica.trouble
        expected_ms *= 1 + SHED_FACTOR * replica.current_shed_share(now_s)
        if not replica.pool.has_idle:
            expected_ms += CONNECT_SHARE * usual_ms
        if replica.overdue(now_s):
            expected_ms *= OVERDUE_FACTOR
        return expected_ms

    def slowest_usual_ms(self, service: str, route: routes.Route) -> float:
        """Return the usual time of the farthest replica of a service."""
        return max(
            (
                self.times(route.name, each.entry.data_centre).usual_ms
                for each in self.open_to(service, route)
            ),
            default=0.0,
        )

    def hedge_after_ms(self, replica: replica_module.Replica, route: routes.Route) -> float:
        """Return the age at which a send to this replica counts as late."""
        slow_ms = self.times(route.name, replica.entry.data_centre).slow_ms
        return timing.hedge_after_ms(slow_ms, route.goal_ms)
