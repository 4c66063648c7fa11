"""
What an instance believes now, told to an operator on the metrics address.

``GET /status`` tells configuration, source, instances and replicas; ``GET /explain?host=H&path=P``
tells which route a request would take, and how its replicas stand; ``GET /quarantine`` tells which
requests are held back, as replicas ended under them. ``POST /quarantine/CONTENT`` allows such a
request again, at all instances; nothing else here changes anything.
"""

from __future__ import annotations

import asyncio
import json
import typing
import urllib.parse
from collections import abc

import attrs

from turmericlug.direct import quarantine as quarantine_module
from turmericlug.direct import replica as replica_module
from turmericlug.direct import routes
from turmericlug.entry import view as view_module
from turmericlug.http1 import messages

STATUS_PATH = b"/status"
QUARANTINE_PATH = b"/quarantine"
EXPLAIN_PATH = b"/explain"
_JSON = ((b"content-type", b"application/json"),)

Plain = dict[str, typing.Any]


@attrs.frozen
class Standing:
    """How one replica stands with this instance."""

    replica: str
    service: str
    data_centre: str
    state: str
    """``in use``, ``leaving``, ``set aside``, ``cold`` or ``late``."""
    sends: int
    """Sends under way to it from here."""
    expected_ms: float
    """What one more request is expected to take, all reasons against it included."""


@attrs.frozen
class Held:
    """A request that is held back."""

    content: str
    verdict: str
    ends: dict[str, float]
    """Replicas that ended under it, with the age of the end in seconds."""
    quarantined_age_s: float | None


def handler(
    name: str,
    view: view_module.View,
    ready: abc.Callable[[], bool],
    quarantine: quarantine_module.Quarantine,
) -> messages.Handler:
    """Return the handler of all questions; 404 for any other."""

    async def handle(request: messages.Request) -> messages.Answer:
        path, _, query = request.target.partition(b"?")
        if path == STATUS_PATH:
            return _answer(status(name, view, ready()))
        if path == QUARANTINE_PATH:
            return _answer({"requests": [attrs.asdict(each) for each in held(quarantine)]})
        if path.startswith(QUARANTINE_PATH + b"/") and request.method == b"POST":
            return _lifted(quarantine, path.removeprefix(QUARANTINE_PATH + b"/"))
        if path != EXPLAIN_PATH:
            return messages.Answer(404)
        asked = urllib.parse.parse_qs(query.decode("latin-1"))
        host, target = (asked.get(key, [""])[0] for key in ("host", "path"))
        if not host or not target.startswith("/"):
            return messages.Answer(400, body=b"host and path (from /) have to be given")
        return _answer(explain(view, host, target))

    return handle


def _answer(plain: Plain, status: int = 200) -> messages.Answer:
    return messages.Answer(status, _JSON, json.dumps(plain).encode())


def held(quarantine: quarantine_module.Quarantine) -> list[Held]:
    """Return the requests that are held back, the latest end first."""
    now_s = asyncio.get_running_loop().time()
    found = [
        Held(
            request.hex(),
            record.verdict(now_s).value,
            {
                replica: round(now_s - at_s, 1)
                for replica, at_s in record.recent_crashes(now_s).items()
            },
            view_module.rounded_age_s(now_s - record.quarantined_s),
        )
        for request, record in quarantine.table.withheld(now_s)
    ]
    return sorted(found, key=lambda each: min(each.ends.values(), default=0.0))


def _lifted(quarantine: quarantine_module.Quarantine, content: bytes) -> messages.Answer:
    try:
        request = bytes.fromhex(content.decode("latin-1"))
    except ValueError:
        return _answer({"problems": ["the content is no hexadecimal number"]}, 400)
    if not quarantine.lift(request):
        return _answer({"problems": ["nothing is held against this content"]}, 404)
    return _answer({"lifted": request.hex()})


def status(name: str, view: view_module.View, ready: bool) -> Plain:
    """Tell what the instance believes as a whole."""
    now_s = asyncio.get_running_loop().time()
    states = [_state(each, now_s) for each in view.replicas.all()]
    return {
        "instance": name,
        "ready": ready,
        "configuration_version": _version(view),
        "source_age_s": view_module.rounded_age_s(view.source_age_s()),
        "instances": sorted(view.instances),
        "instances_counted": view.instances_count(),
        "replicas": {state: states.count(state) for state in sorted(set(states))},
        "connections": view.replicas.connections(),
        "evacuated_age_s": {
            data_centre: round(now_s - since_s, 3)
            for data_centre, since_s in sorted(view.replicas.evacuated.items())
        },
        "cold_left_s": {
            each.entry.instance: round(each.cold_until_s - now_s, 1)
            for each in view.replicas.all()
            if each.is_cold(now_s)
        },
    }


def explain(view: view_module.View, host: str, path: str) -> Plain:
    """Tell the route of a request, and the replicas that could take it, best first."""
    configuration = view.configuration
    route = configuration.match(host, path) if configuration is not None else None
    plain = {
        "configuration_version": _version(view),
        "source_age_s": view_module.rounded_age_s(view.source_age_s()),
        "route": None,
    }
    if route is None:
        return plain
    services = route.shards or tuple(each.service for each in route.services)
    return plain | {
        "route": attrs.asdict(route)
        | {"regions": None if route.regions is None else sorted(route.regions)},
        "replicas": [
            attrs.asdict(each) for service in services for each in _standings(view, route, service)
        ],
    }


def _standings(view: view_module.View, route: routes.Route, service: str) -> list[Standing]:
    now_s = asyncio.get_running_loop().time()
    found = [
        Standing(
            each.entry.instance,
            service,
            each.entry.data_centre,
            _state(each, now_s),
            len(each.sends),
            round(view.replicas.expected_ms(each, route, now_s), 1),
        )
        for each in view.replicas.of(service)
    ]
    return sorted(found, key=lambda each: (each.state != "in use", each.expected_ms))


def _state(replica: replica_module.Replica, now_s: float) -> str:
    if replica.leaving:
        return "leaving"
    if replica.set_aside(now_s):
        return "set aside"
    if replica.is_cold(now_s):
        return "cold"
    return "late" if replica.overdue(now_s) else "in use"


def _version(view: view_module.View) -> int | None:
    return view.configuration.version if view.configuration is not None else None
