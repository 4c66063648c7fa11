"""Handling of callers' requests: validation, route matching, answering and logging."""

from __future__ import annotations

import asyncio
import collections
import contextlib
from collections import abc

import attrs

from turmericlug.direct import answering
from turmericlug.direct import content
from turmericlug.direct import organisations as organisations_module
from turmericlug.direct import routes
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.direct import trial
from turmericlug.direct import weighted_round_robin
from turmericlug.entry import admission as admission_module
from turmericlug.entry import identity
from turmericlug.entry import in_flight
from turmericlug.entry import leaving
from turmericlug.entry import organisation_counts
from turmericlug.entry import quota_check
from turmericlug.entry import quotas as quotas_module
from turmericlug.entry import view as view_module
from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.kernel import failures
from turmericlug.policy import caller_timeout
from turmericlug.policy import slow_start
from turmericlug.telemetry import decisions

STALE_AGE_S = 2.5
"""Age of the source's data beyond which a path without a route may belong to a new route: the
request is refused, so that the caller tries another instance, instead of being answered with 404.
Updates relayed by another instance are up to 2.4 s old; the shortest time allowed until a new route
is in force is 3 s."""
STARTING = "starting"
"""Reason for refusing a query during slow start, when an instance accepts only a few queries."""
FIRST_SNAPSHOT_TIMEOUT_S = 0.3
"""Time after the start within which the first snapshot of the source is expected; reading it takes
20 to 100 ms."""
MAX_SPENT_SHARE = 0.5
"""Largest share of a goal that may count as spent before the request was sent, on the caller's
address lookup and connection setup."""
LEAVING = "leaving"
"""Reason for refusing or failing a request because the process exits."""
MIN_TIME_LEFT_S = 0.003
"""A request with less time left is refused: a round trip to a replica takes longer."""


class RequestHandler:
    """Handles callers' requests."""

    def __init__(
        self,
        view: view_module.View,
        sender: sender_module.Sender,
        source_age_s: abc.Callable[[], float],
        quotas: quotas_module.Quotas | None = None,
        admission: admission_module.Admission | None = None,
    ) -> None:
        self.view = view
        self.sender = sender
        self.organisation_counts = organisation_counts.OrganisationCounts()
        self._quota_check = quota_check.QuotaCheck(quotas, sender, self.organisation_counts)
        self._in_flight = in_flight.InFlight()
        self._leaving = leaving.Leaving(sender.replicas)
        self._source_age_s = source_age_s
        self._admission = admission
        self._balancer = weighted_round_robin.WeightedRoundRobin()
        self._stated_times: collections.defaultdict[str, caller_timeout.RemainingTimes] = (
            collections.defaultdict(caller_timeout.RemainingTimes)
        )
        """Remaining times that callers have stated, by route."""
        self._started_s = asyncio.get_running_loop().time()
        self._slow_start = slow_start.SlowStart(self._started_s)
        self._configured = asyncio.Event()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answer one request."""
        configuration = self.view.configuration or await self._wait_for_configuration()
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
        identified = self._identify(request, route, configuration)
        if isinstance(identified, messages.Response):
            return identified
        organisation = identified.organisation
        if organisation is not None:
            try:
                async with self._in_flight.until_exit():
                    refusal = await self._quota_check.refusal(request, route, organisation)
            except in_flight.ExitingError:
                return self._refused_leaving(request, organisation)
            if refusal is not None:
                return refusal
            route = route.restricted_to(organisation.regions)
        call = self._make_call(request, request_id, target, route, configuration, organisation)
        interruption = self._leaving.expected_interruption(call)
        if interruption is not None:
            self._quota_check.refund(call)
            return self._refused_leaving(request, organisation, **interruption)
        return await self._answer_call(call, request.caller_host)

    def _identify(
        self, request: messages.Request, route: routes.Route, configuration: routes.Configuration
    ) -> identity.Identified | messages.Response:
        """Identify the caller's organisation, or return the response that rejects the request."""
        result = identity.identify(
            request,
            route,
            configuration.organisations,
            self.sender.names.api_key,
            is_current=self._knows_newest_configuration(),
        )
        match result:
            case identity.Identified():
                return result
            case identity.Undecided():
                return self._refused(request, "key_perhaps_new")
            case identity.Rejected():
                return self._unauthorised(request, route, configuration, result.reason)

    def _knows_newest_configuration(self) -> bool:
        """Whether what the configuration doesn't name is unknown to the operators, too."""
        return self._source_age_s() <= STALE_AGE_S and not self.view.has_refused_configuration

    def start_draining(
        self, refuse_unrepeatable_from_s: float, refuse_from_s: float, exits_at_s: float
    ) -> None:
        """Begin draining; see ``leaving.Leaving.start``."""
        self._leaving.start(refuse_unrepeatable_from_s, refuse_from_s, exits_at_s)

    def end_requests(self) -> None:
        """
        Answer all requests in flight now, as the process exits, and refuse those that still come.

        One that no replica has received is refused; the others fail, as they may have run.
        """
        self._in_flight.end()

    def on_configured(self) -> None:
        """Wake requests that wait for the first configuration."""
        self._configured.set()

    async def _wait_for_configuration(self) -> routes.Configuration | None:
        """
        Wait for the first snapshot of an instance that has just started.

        Connections accepted while the program was loading all deliver their requests about 30 ms
        before they can be served. If refused, most of their callers would retry only once.
        """
        timeout_s = self._started_s + FIRST_SNAPSHOT_TIMEOUT_S - asyncio.get_running_loop().time()
        if timeout_s > 0 and not self.view.source_unreachable:
            with contextlib.suppress(TimeoutError, in_flight.ExitingError):
                async with self._in_flight.until_exit(), asyncio.timeout(timeout_s):
                    await self._configured.wait()
        return self.view.configuration

    def _make_call(
        self,
        request: messages.Request,
        request_id: bytes,
        target: bytes,
        route: routes.Route,
        configuration: routes.Configuration,
        organisation: organisations_module.Organisation | None,
    ) -> sending.Call:
        names = self.sender.names
        headers = self._forwarded_headers(request, configuration, organisation)
        remaining_ms = caller_timeout.parse_remaining_ms(request.header(names.time_left))
        remaining_times = self._stated_times[route.name]
        remaining_times.add(remaining_ms)
        # Most callers of a route use the route's timeout as their own.
        spent_ms = remaining_times.spent_ms(
            remaining_ms, MAX_SPENT_SHARE * route.goal_ms, route.timeout_ms
        )
        sent_s = request.arrived_s - request.response_latency_s
        return sending.Call(
            request_id=request_id,
            method=request.method,
            target=target,
            headers=headers,
            body=request.body,
            route=route,
            version=configuration.version,
            began_s=min(request.began_s, sent_s - spent_ms / 1000),
            deadline_s=min(sent_s + remaining_ms / 1000, request.began_s + route.timeout_ms / 1000),
            response_latency_s=request.response_latency_s,
            organisation=organisation,
            fingerprint=content.fingerprint(
                request.method, target, headers, request.body, self.sender.names
            ),
        )

    def _forwarded_headers(
        self,
        request: messages.Request,
        configuration: routes.Configuration,
        organisation: organisations_module.Organisation | None,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers for replicas; only this instance states the organisation."""
        names = self.sender.names
        dropped = {names.time_left, names.expected_instance, b"expect"}
        if configuration.organisations is not None:
            dropped |= {names.api_key, names.organisation}
        headers = [
            header for header in client.end_to_end(request.headers) if header[0] not in dropped
        ]
        if organisation is not None:
            headers.append((names.organisation, organisation.name.encode()))
        return headers

    async def _answer_call(self, call: sending.Call, caller_host: str) -> messages.Response:
        loop = asyncio.get_running_loop()
        decisions.log(
            "query.routed",
            request=call.request_id,
            content=call.fingerprint.hex(),
            caller=caller_host,
            route=call.route.name,
            organisation=call.organisation.name if call.organisation else None,
            version=call.version,
            source_age_s=view_module.rounded_age_s(self._source_age_s()),
            left_ms=round((call.deadline_s - loop.time()) * 1000),
            gone_ms=round((loop.time() - call.began_s) * 1000, 1),
        )
        try:
            with self.sender.quarantine.in_flight(call):
                async with self._in_flight.until_exit():
                    result = await self._get_result(call, loop.time())
        except in_flight.ExitingError:
            result = self._interrupt(call)
        except asyncio.CancelledError:
            if call.route.idempotent:
                # Another one that has been written is left to finish: cancelled halfway, its effect
                # would be unknown, and there is no caller to report that to.
                call.abandon()
            failures.try_record("caller left", self._log_caller_left, call, loop.time())
            failures.try_record("refund", self._quota_check.refund_unsent, call)
            raise
        if result.outcome == "refused":
            failures.try_record("refund", self._quota_check.refund, call)
        failures.try_record("result", self._log_result, call, result, loop.time())
        return result.answer

    async def _get_result(self, call: sending.Call, now_s: float) -> answering.Result:
        if call.deadline_s - now_s < MIN_TIME_LEFT_S:
            return answering.refusal(self.sender, "no_time_left")
        if call.route.shards:
            return await self._query_shards(call)
        if not call.route.services:
            return answering.refusal(self.sender, "no_service")
        service = self._balancer.pick(call.route, self.sender.rng)
        result = await trial.try_request(self.sender, call, service)
        if result is not None:
            return result
        if self._admission is not None and self._admission.active():
            return await self._admission.run(
                call, lambda: answering.request_service(self.sender, call, service)
            )
        return await answering.request_service(self.sender, call, service)

    def _interrupt(self, call: sending.Call) -> answering.Result:
        """End a request that the process can't wait for; it may have run if it was sent."""
        call.abandon()
        if call.may_have_been_sent():
            return answering.failure(502, LEAVING)
        return answering.refusal(self.sender, LEAVING)

    async def _query_shards(self, call: sending.Call) -> answering.Result:
        loop = asyncio.get_running_loop()
        trial_result = await trial.try_query(self.sender, call)
        if trial_result is not None:
            return trial_result
        if self._admission is not None and self._admission.active():
            return await self._admission.run(
                call, lambda: answering.query_shards(self.sender, call)
            )
        if not self._slow_start.try_acquire(loop.time()) and not await self._wait_for_slot(call):
            return answering.refusal(self.sender, STARTING, answering.overload_retry_after_s)
        in_time = False
        began_s = loop.time()
        try:
            result = await answering.query_shards(self.sender, call)
            received_s = loop.time() + call.response_latency_s
            in_time = result.answer.status == 200 and received_s <= call.goal_at_s
            return result
        finally:
            duration_s = loop.time() - began_s
            failures.try_record(
                "slow start", self._slow_start.release, loop.time(), duration_s, in_time
            )

    async def _wait_for_slot(self, call: sending.Call) -> bool:
        """Wait until slow start admits the query; false when that would be too late."""
        loop = asyncio.get_running_loop()
        admitted = asyncio.Event()
        waiting = slow_start.WaitingQuery(call.rank, call.goal_at_s, call.deadline_s, admitted.set)
        if not self._slow_start.wait(waiting, loop.time()):
            return False
        began_s = loop.time()
        try:
            async with asyncio.timeout_at(self._slow_start.latest_start_s(waiting)):
                await admitted.wait()
        except (asyncio.CancelledError, TimeoutError) as error:
            self._slow_start.cancel(waiting)
            if admitted.is_set():
                # It was admitted in the same moment: the next query gets its slot.
                self._slow_start.release(loop.time(), 0.0, in_time=False)
            if isinstance(error, TimeoutError):
                return False
            raise
        failures.try_record("wait", self._log_wait, call, loop.time() - began_s)
        return True

    def _log_wait(self, call: sending.Call, waited_s: float) -> None:
        self.sender.counters.add("entry.waited")
        decisions.log(
            "query.waited",
            request=call.request_id,
            waited_ms=round(waited_s * 1000, 1),
            others=self._slow_start.queue_length,
        )

    def _log_caller_left(self, call: sending.Call, now_s: float) -> None:
        self.sender.counters.add("entry.caller_left")
        decisions.log(
            "query.caller_left",
            request=call.request_id,
            route=call.route.name,
            age_ms=round((now_s - call.began_s) * 1000, 1),
        )

    def _log_result(self, call: sending.Call, result: answering.Result, now_s: float) -> None:
        counters = self.sender.counters
        counters.add(f"entry.{result.outcome}")
        if result.outcome == "refused":
            counters.add(f"entry.refused.{result.reason.partition(',')[0]}")
        if call.organisation is not None:
            self.organisation_counts.add(call.organisation.name, result.outcome, result.reason)
        duration_ms = (now_s - call.began_s) * 1000
        counters.time_ms("entry.total_ms", duration_ms)
        decisions.log(
            f"query.{result.outcome}",
            request=call.request_id,
            route=call.route.name,
            version=call.version,
            status=result.answer.status,
            reason=result.reason or None,
            duration_ms=round(duration_ms, 1),
            goal_ms=call.route.goal_ms,
            hedges=call.hedges,
            repeats=call.retries,
        )

    def _refused_leaving(
        self,
        request: messages.Request,
        organisation: organisations_module.Organisation | None,
        **details: object,
    ) -> messages.Response:
        if organisation is not None:
            self.organisation_counts.add(organisation.name, "refused", LEAVING)
        return attrs.evolve(self._refused(request, LEAVING, **details), close=True)

    def _refused(
        self, request: messages.Request, reason: str, **details: object
    ) -> messages.Response:
        self.sender.counters.add(f"entry.refused.{reason}")
        decisions.log(
            "query.refused",
            request=request.header(self.sender.names.request_id),
            reason=reason,
            source_age_s=view_module.rounded_age_s(self._source_age_s()),
            **details,
        )
        return answering.refusal(self.sender, reason).answer

    def _bad_request(self, request: messages.Request, field: str) -> messages.Response:
        self.sender.counters.add(f"entry.bad_request.{field}")
        decisions.log("query.bad_request", lacking=field)
        return messages.Response(400, body=f"{field} is missing or repeated".encode())

    def _unauthorised(
        self,
        request: messages.Request,
        route: routes.Route,
        configuration: routes.Configuration,
        reason: str,
    ) -> messages.Response:
        self.sender.counters.add(f"entry.unauthorised.{reason}")
        decisions.log(
            "query.unauthorised",
            request=request.header(self.sender.names.request_id),
            route=route.name,
            version=configuration.version,
            reason=reason,
        )
        return messages.Response(401, body=b"API key is missing, repeated or unknown")

    def _no_route(
        self,
        request: messages.Request,
        configuration: routes.Configuration,
        host: str,
        path: str,
    ) -> messages.Response:
        if not self._knows_newest_configuration():
            return self._refused(request, "route_perhaps_new")
        self.sender.counters.add("entry.no_route")
        decisions.log(
            "query.no_route",
            request=request.header(self.sender.names.request_id),
            host=host,
            path=path[:100],
            version=configuration.version,
        )
        return messages.Response(404, body=b"no route")


def _origin_form(target: bytes) -> bytes:
    """Return the path and query of a request target, which may be in absolute form."""
    if target.startswith(b"/"):
        return target
    _, separator, rest = target.partition(b"://")
    return b"/" + rest.partition(b"/")[2] if separator else target
