"""Callers' requests: checked, matched to a route, answered, logged."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import math
import random
from collections import abc

import attrs

from turmericlug.direct import answering
from turmericlug.direct import content
from turmericlug.direct import routes
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.direct import trial
from turmericlug.entry import view as view_module
from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.policy import patience
from turmericlug.policy import slow_start
from turmericlug.telemetry import decisions

STALE_S = 2.5
"""Without the source for longer than this, an unknown path may be a new route: the caller is sent
elsewhere instead of being told that there is none. News that another instance passes on are up to
2.4 s old; the shortest time in which a route has to be in force is 3 s."""
STARTING = "starting"
"""Reason of a query that was refused because an instance that has just started takes only few."""
FIRST_READING_S = 0.3
"""Age until which an instance expects its first reading of the source, which takes 20 to 100 ms."""
MOST_SPENT_SHARE = 0.5
"""Part of a goal that may be gone before the first attempt, for looking up addresses and
connecting."""
LEAST_LEFT_S = 0.003
"""Less time than this can't reach a replica and come back."""


@attrs.define
class WeightedRoundRobin:
    """Spreads the requests of a route over its services so that each gets its weight's share."""

    _counts: dict[tuple[routes.Share, ...], list[float]] = attrs.field(factory=dict)

    def pick(self, route: routes.Route, rng: random.Random) -> str:
        """
        Return the service that is furthest behind its share.

        Drawing at random leaves shares of a few hundred requests several points off.
        """
        shares = route.services
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        debts = self._counts.get(shares)
        if debts is None:
            # A random start keeps instances from all beginning with the same service.
            debts = self._counts[shares] = [rng.random() * each.weight / total for each in shares]
        for index, share in enumerate(shares):
            debts[index] += share.weight / total
        chosen = max(range(len(shares)), key=lambda index: debts[index])
        debts[chosen] -= 1.0
        return shares[chosen].service


class Callers:
    """The handler of callers' requests."""

    def __init__(
        self,
        view: view_module.View,
        sender: sender_module.Sender,
        source_age_s: abc.Callable[[], float],
    ) -> None:
        self.view = view
        self.sender = sender
        self._refuse_from_s = math.inf
        self._ends_at_s = math.inf
        self._source_age_s = source_age_s
        self._spread = WeightedRoundRobin()
        self._stated: collections.defaultdict[str, patience.StatedTimes] = collections.defaultdict(
            patience.StatedTimes
        )
        """What callers have stated, by route."""
        self._began_s = asyncio.get_running_loop().time()
        self._slow_start = slow_start.SlowStart(self._began_s)
        self._configured = asyncio.Event()

    async def handle(self, request: messages.Request) -> messages.Answer:
        """Answer one request."""
        configuration = self.view.configuration or await self._first_configuration()
        if configuration is None:
            return self._refused(request, "no_configuration")
        hosts = [value for key, value in request.headers if key == b"host"]
        request_id = request.header(self.sender.names.request_id)
        if len(hosts) != 1 or not request_id:
            return self._bad_request(request, "host" if len(hosts) != 1 else "request_id")
        host = hosts[0].decode("latin-1").partition(":")[0]
        target = _origin_form(request.target)
        path = target.partition(b"?")[0].decode("latin-1")
        route = configuration.match(host, path)
        if route is None:
            return self._no_route(request, configuration, host, path)
        route = route.bound_to(self._key_regions(request, configuration))
        call = self._call(request, request_id, target, route, configuration.version)
        if self._may_be_cut_off(call):
            return attrs.evolve(self._refused(request, "leaving"), close=True)
        return await self._answered(call, request.caller_host)

    def _key_regions(
        self, request: messages.Request, configuration: routes.Configuration
    ) -> frozenset[str] | None:
        """Return the regions that the caller's organisation is bound to, if it is."""
        if not configuration.key_regions:
            return None
        return configuration.key_regions.get(request.header(self.sender.names.organisation) or b"")

    def leave(self, refuse_from_s: float, ends_at_s: float) -> None:
        """
        Take only what will be answered before the end.

        :param refuse_from_s: until then everything is taken
        :param ends_at_s: when the process ends
        """
        self._refuse_from_s, self._ends_at_s = refuse_from_s, ends_at_s

    def _may_be_cut_off(self, call: sending.Call) -> bool:
        """
        Whether the end of this process may come before the end of the caller's time.

        Refused without a look at their time, requests that would have been answered long before the
        end come back late.
        """
        now_s = asyncio.get_running_loop().time()
        return now_s >= self._refuse_from_s and call.deadline_s > self._ends_at_s

    def configured(self) -> None:
        """Take note that there is a configuration."""
        self._configured.set()

    async def _first_configuration(self) -> routes.Configuration | None:
        """
        Wait for the first reading of an instance that has just started.

        Callers whose requests have waited for the program to be loaded would be refused together
        some 30 ms before they can be served, and most of them come back once only.
        """
        left_s = self._began_s + FIRST_READING_S - asyncio.get_running_loop().time()
        if left_s > 0 and not self.view.source_away:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._configured.wait()
        return self.view.configuration

    def _call(
        self,
        request: messages.Request,
        request_id: bytes,
        target: bytes,
        route: routes.Route,
        version: int,
    ) -> sending.Call:
        names = self.sender.names
        dropped = (names.time_left, names.expected_instance, b"expect")
        headers = [each for each in client.end_to_end(request.headers) if each[0] not in dropped]
        left_ms = _time_left_ms(request.header(names.time_left))
        stated = self._stated[route.name]
        stated.add(left_ms)
        # A route's timeout is meant for its callers, so that most wait for as long.
        spent_ms = stated.spent_ms(left_ms, MOST_SPENT_SHARE * route.goal_ms, route.timeout_ms)
        sent_s = request.arrived_s - request.way_back_s
        return sending.Call(
            request_id=request_id,
            method=request.method,
            target=target,
            headers=headers,
            body=request.body,
            route=route,
            version=version,
            began_s=min(request.began_s, sent_s - spent_ms / 1000),
            deadline_s=min(sent_s + left_ms / 1000, request.began_s + route.timeout_ms / 1000),
            way_back_s=request.way_back_s,
            fingerprint=content.fingerprint(
                request.method, target, headers, request.body, self.sender.names
            ),
        )

    async def _answered(self, call: sending.Call, caller_host: str) -> messages.Answer:
        loop = asyncio.get_running_loop()
        decisions.log(
            "query.routed",
            request=call.request_id,
            content=call.fingerprint.hex(),
            caller=caller_host,
            route=call.route.name,
            version=call.version,
            source_age_s=view_module.told_age_s(self._source_age_s()),
            left_ms=round((call.deadline_s - loop.time()) * 1000),
            gone_ms=round((loop.time() - call.began_s) * 1000, 1),
        )
        try:
            with self.sender.quarantine.under_way(call):
                ending = await self._ending(call, loop.time())
        except asyncio.CancelledError:
            self._left(call, loop.time())
            raise
        self._log(call, ending, loop.time())
        return ending.answer

    async def _ending(self, call: sending.Call, now_s: float) -> answering.Ending:
        if call.deadline_s - now_s < LEAST_LEFT_S:
            return answering.refusal(self.sender, "no_time_left")
        if call.route.shards:
            return await self._all_shards(call)
        if not call.route.services:
            return answering.refusal(self.sender, "no_service")
        service = self._spread.pick(call.route, self.sender.rng)
        ending = await trial.instead(self.sender, call, service)
        return ending or await answering.single(self.sender, call, service)

    async def _all_shards(self, call: sending.Call) -> answering.Ending:
        loop = asyncio.get_running_loop()
        held = await trial.before(self.sender, call)
        if held is not None:
            return held
        if not self._slow_start.begin(loop.time()) and not await self._turn(call):
            return answering.refusal(self.sender, STARTING, answering.storm_come_back_s)
        in_time = False
        began_s = loop.time()
        try:
            ending = await answering.all_shards(self.sender, call)
            told_s = loop.time() + call.way_back_s
            in_time = ending.answer.status == 200 and told_s <= call.goal_at_s
            return ending
        finally:
            self._slow_start.end(loop.time(), loop.time() - began_s, in_time)

    async def _turn(self, call: sending.Call) -> bool:
        """Wait until a query may begin; false when that would be too late."""
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[None] = loop.create_future()
        waiting = slow_start.Waiting(
            call.route.priority, call.goal_at_s, call.deadline_s, lambda: turn.set_result(None)
        )
        if not self._slow_start.wait(waiting, loop.time()):
            return False
        began_s = loop.time()
        try:
            await turn
        except asyncio.CancelledError:
            self._slow_start.give_up(waiting)
            if turn.done() and not turn.cancelled():
                # The turn came as the caller left: the next one takes it.
                self._slow_start.end(loop.time(), 0.0, in_time=False)
            raise
        self.sender.counters.add("entry.waited")
        decisions.log(
            "query.waited",
            request=call.request_id,
            waited_ms=round((loop.time() - began_s) * 1000, 1),
            others=self._slow_start.waiting,
        )
        return True

    def _left(self, call: sending.Call, now_s: float) -> None:
        """
        Stop the work for a caller that has left.

        But for a request that must not run twice and was written: breaking it off half done would
        leave its effect unknown, and nobody could be told.
        """
        if call.route.idempotent:
            call.abandon()
        self.sender.counters.add("entry.caller_left")
        decisions.log(
            "query.caller_left",
            request=call.request_id,
            route=call.route.name,
            age_ms=round((now_s - call.began_s) * 1000, 1),
        )

    def _log(self, call: sending.Call, ending: answering.Ending, now_s: float) -> None:
        counters = self.sender.counters
        counters.add(f"entry.{ending.outcome}")
        if ending.outcome == "refused":
            counters.add(f"entry.refused.{ending.reason.partition(',')[0]}")
        duration_ms = (now_s - call.began_s) * 1000
        counters.time_ms("entry.total_ms", duration_ms)
        decisions.log(
            f"query.{ending.outcome}",
            request=call.request_id,
            route=call.route.name,
            version=call.version,
            status=ending.answer.status,
            reason=ending.reason or None,
            duration_ms=round(duration_ms, 1),
            goal_ms=call.route.goal_ms,
            hedges=call.hedges,
            repeats=call.retries,
        )

    def _refused(self, request: messages.Request, reason: str) -> messages.Answer:
        self.sender.counters.add(f"entry.refused.{reason}")
        decisions.log(
            "query.refused",
            request=request.header(self.sender.names.request_id),
            reason=reason,
            source_age_s=view_module.told_age_s(self._source_age_s()),
        )
        return answering.refusal(self.sender, reason).answer

    def _bad_request(self, request: messages.Request, lacking: str) -> messages.Answer:
        self.sender.counters.add(f"entry.bad_request.{lacking}")
        decisions.log("query.bad_request", lacking=lacking)
        return messages.Answer(400, body=f"{lacking} is missing or stands twice".encode())

    def _no_route(
        self,
        request: messages.Request,
        configuration: routes.Configuration,
        host: str,
        path: str,
    ) -> messages.Answer:
        if self._source_age_s() > STALE_S:
            return self._refused(request, "route_perhaps_new")
        self.sender.counters.add("entry.no_route")
        decisions.log(
            "query.no_route",
            request=request.header(self.sender.names.request_id),
            host=host,
            path=path[:100],
            version=configuration.version,
        )
        return messages.Answer(404, body=b"no route")


def _origin_form(target: bytes) -> bytes:
    """Return path and query of a target that names scheme and host as well."""
    if target.startswith(b"/"):
        return target
    _, found, rest = target.partition(b"://")
    return b"/" + rest.partition(b"/")[2] if found else target


def _time_left_ms(value: bytes | None) -> float:
    """Return the stated time; one that is missing or no number leaves the route's timeout."""
    try:
        stated_ms = float(value or b"inf")
    except ValueError:
        return math.inf
    return math.inf if math.isnan(stated_ms) else max(stated_ms, 0.0)
