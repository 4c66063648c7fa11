"""
Inspection of an instance's state by operators, served on the metrics address.

``GET /status`` returns the state of the configuration, source, instances and replicas;
``GET /organisations`` returns the quotas and counts of the busiest organisations, and with
``?name=N`` those of one; ``GET /explain?host=H&path=P`` returns the route that a request would take
and the status of its replicas; ``GET /quarantine`` returns the requests that are withheld because
replicas crashed while running them. ``POST /quarantine/CONTENT`` allows such a request again at all
instances; it is the only request here that changes any state.
"""

from __future__ import annotations

import asyncio
import json
import typing
import urllib.parse
from collections import abc

import attrs

from turmericlug.direct import organisations as organisations_module
from turmericlug.direct import quarantine as quarantine_module
from turmericlug.direct import replica as replica_module
from turmericlug.direct import routes
from turmericlug.entry import organisation_counts
from turmericlug.entry import quota_status
from turmericlug.entry import view as view_module
from turmericlug.http1 import messages
from turmericlug.kernel import supervisor

STATUS_PATH = b"/status"
QUARANTINE_PATH = b"/quarantine"
ORGANISATIONS_PATH = b"/organisations"
EXPLAIN_PATH = b"/explain"
_JSON = ((b"content-type", b"application/json"),)

Json = dict[str, typing.Any]


@attrs.frozen
class ReplicaStatus:
    """Status of one replica as seen by this instance."""

    replica: str
    service: str
    data_centre: str
    state: str
    """``in use``, ``leaving``, ``oversized``, ``set aside``, ``cold`` or ``late``."""
    sends: int
    """Attempts in flight to it from this instance."""
    expected_ms: float
    """Expected latency of one more request, including the penalties that apply to the replica."""


@attrs.frozen
class WithheldRequest:
    """A request that is suspected or quarantined."""

    content: str
    verdict: str
    ends: dict[str, float]
    """Replicas that crashed while running it, with the age of each crash in seconds."""
    quarantined_age_s: float | None


def handler(
    name: str,
    view: view_module.View,
    ready: abc.Callable[[], bool],
    quarantine: quarantine_module.Quarantine,
    counts: organisation_counts.OrganisationCounts,
    quotas: abc.Callable[[], abc.Iterable[quota_status.Status]] = tuple,
    tasks: abc.Callable[[], abc.Mapping[str, supervisor.Status]] = dict,
) -> messages.Handler:
    """
    Return the handler of the inspection endpoints; any other path is answered with 404.

    :param tasks: returns the states of the long-running tasks by name
    """

    async def handle(request: messages.Request) -> messages.Response:
        path, _, query = request.target.partition(b"?")
        if path == STATUS_PATH:
            return _answer(status(name, view, ready(), tasks()))
        if path == QUARANTINE_PATH:
            return _answer(
                {"requests": [attrs.asdict(withheld) for withheld in list_withheld(quarantine)]}
            )
        if path.startswith(QUARANTINE_PATH + b"/") and request.method == b"POST":
            return _lift(quarantine, path.removeprefix(QUARANTINE_PATH + b"/"))
        parameters = urllib.parse.parse_qs(query.decode("latin-1"))
        if path == ORGANISATIONS_PATH:
            return _answer(organisations(view, counts, quotas(), parameters.get("name", [])))
        if path != EXPLAIN_PATH:
            return messages.Response(404)
        host, target = (parameters.get(key, [""])[0] for key in ("host", "path"))
        if not host or not target.startswith("/"):
            return messages.Response(400, body=b"host and path are required; path starts with /")
        return _answer(explain(view, host, target))

    return handle


def _answer(result: Json, status: int = 200) -> messages.Response:
    return messages.Response(status, _JSON, json.dumps(result).encode())


def list_withheld(quarantine: quarantine_module.Quarantine) -> list[WithheldRequest]:
    """Return the withheld requests, the one with the latest crash first."""
    now_s = asyncio.get_running_loop().time()
    requests = [
        WithheldRequest(
            fingerprint.hex(),
            record.verdict(now_s).value,
            {
                replica: round(now_s - at_s, 1)
                for replica, at_s in record.recent_crashes(now_s).items()
            },
            view_module.rounded_age_s(now_s - record.quarantined_s),
        )
        for fingerprint, record in quarantine.table.withheld(now_s)
    ]
    return sorted(requests, key=lambda request: min(request.ends.values(), default=0.0))


def _lift(quarantine: quarantine_module.Quarantine, content: bytes) -> messages.Response:
    try:
        fingerprint = bytes.fromhex(content.decode("latin-1"))
    except ValueError:
        return _answer({"problems": ["the content is not a hexadecimal number"]}, 400)
    if not quarantine.lift(fingerprint):
        return _answer({"problems": ["no request with this content is withheld"]}, 404)
    return _answer({"lifted": fingerprint.hex()})


def status(
    name: str,
    view: view_module.View,
    ready: bool,
    tasks: abc.Mapping[str, supervisor.Status],
) -> Json:
    """Return the state of the instance as a whole."""
    now_s = asyncio.get_running_loop().time()
    states = [_state(replica, now_s) for replica in view.replicas.all()]
    return {
        "instance": name,
        "ready": ready,
        "configuration_version": _version(view),
        "source_age_s": view_module.rounded_age_s(view.source_age_s()),
        "source_unreachable": view.source_unreachable,
        "tasks": {task: _task_status(task_status) for task, task_status in tasks.items()},
        "instances": sorted(view.instances),
        "instances_counted": view.instance_count(),
        "replicas": {state: states.count(state) for state in sorted(set(states))},
        "connections": view.replicas.connections(),
        "capacity": {
            "own": view.capacities.of(name),
            "share": view.capacities.own_share(),
            "weighted": view.capacities.are_uneven,
        },
        "evacuated_age_s": {
            data_centre: round(now_s - since_s, 3)
            for data_centre, since_s in sorted(view.replicas.evacuated.items())
        },
        "cold_left_s": {
            replica.entry.instance: round(replica.cold_until_s - now_s, 1)
            for replica in view.replicas.all()
            if replica.is_cold(now_s)
        },
    }


def _task_status(status: supervisor.Status) -> Json:
    failure = status.last_failure
    return {
        "state": status.state,
        "restarts": status.restarts,
        "failures_in_a_row": status.failures_in_a_row,
        "effect": status.effect,
        "reason": failure.reason if failure else None,
        "place": failure.place if failure else None,
    }


def organisations(
    view: view_module.View,
    counts: organisation_counts.OrganisationCounts,
    quotas: abc.Iterable[quota_status.Status],
    names: abc.Collection[str],
) -> Json:
    """
    Return the configuration, quotas and counts of organisations.

    :param names: the organisations to return; if empty, the busiest ones
    """
    configured = view.configuration.organisations if view.configuration is not None else None
    by_name = configured.by_name if configured is not None else {}
    quotas_by_name = {quota.organisation: quota for quota in quotas}
    return {
        "configuration_version": _version(view),
        "source_age_s": view_module.rounded_age_s(view.source_age_s()),
        "configured": None if configured is None else len(by_name),
        "is_complete": configured is None or configured.is_complete,
        "organisations": [
            _organisation_status(name, by_name.get(name), counts, quotas_by_name.get(name))
            for name in names or counts.busiest()
        ],
        "others": counts.others(),
    }


def _organisation_status(
    name: str,
    organisation: organisations_module.Organisation | None,
    counts: organisation_counts.OrganisationCounts,
    quota: quota_status.Status | None,
) -> Json:
    regions = organisation.regions if organisation is not None else None
    return {
        "organisation": name,
        "has_keys": organisation is not None,
        "priority": organisation.priority if organisation is not None else None,
        "rate_per_s": organisation.rate_per_s if organisation is not None else None,
        "burst": organisation.burst if organisation is not None else None,
        "regions": None if regions is None else sorted(regions),
        "counts": counts.of(name),
        "quota": None if quota is None else attrs.asdict(quota),
    }


def explain(view: view_module.View, host: str, path: str) -> Json:
    """Return the route of a request and the status of its possible replicas, best first."""
    configuration = view.configuration
    route = configuration.match(host, path) if configuration is not None else None
    result = {
        "configuration_version": _version(view),
        "source_age_s": view_module.rounded_age_s(view.source_age_s()),
        "route": None,
    }
    if route is None:
        return result
    services = route.shards or tuple(weighted.service for weighted in route.services)
    return result | {
        "route": attrs.asdict(route)
        | {"regions": None if route.regions is None else sorted(route.regions)},
        "replicas": [
            attrs.asdict(replica_status)
            for service in services
            for replica_status in _replica_statuses(view, route, service)
        ],
    }


def _replica_statuses(
    view: view_module.View, route: routes.Route, service: str
) -> list[ReplicaStatus]:
    now_s = asyncio.get_running_loop().time()
    statuses = [
        ReplicaStatus(
            replica.entry.instance,
            service,
            replica.entry.data_centre,
            _state(replica, now_s),
            len(replica.attempts),
            round(view.replicas.expected_ms(replica, route, now_s), 1),
        )
        for replica in view.replicas.of(service)
    ]
    return sorted(statuses, key=lambda status: (status.state != "in use", status.expected_ms))


def _state(replica: replica_module.Replica, now_s: float) -> str:
    if replica.leaving:
        return "leaving"
    if replica.oversized.is_active:
        return "oversized"
    if replica.is_set_aside(now_s):
        return "set aside"
    if replica.is_cold(now_s):
        return "cold"
    return "late" if replica.has_late_attempt(now_s) else "in use"


def _version(view: view_module.View) -> int | None:
    return view.configuration.version if view.configuration is not None else None
