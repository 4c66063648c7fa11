"""
What an instance believes now, told to an operator on the metrics address.

``GET /status`` tells configuration, source, instances and replicas; ``GET /explain?host=H&path=P``
tells which route a request would take, and how its replicas stand. Nothing here changes anything.
"""

from __future__ import annotations

import asyncio
import json
import typing
import urllib.parse
from collections import abc

import attrs

from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.entry import view as view_module
from turmericlug.http1 import messages

STATUS_PATH = b"/status"
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
    """``in use``, ``leaving``, ``set aside`` or ``late``."""
    sends: int
    """Sends under way to it from here."""
    expected_ms: float
    """What one more request is expected to take, all reasons against it included."""


def handler(name: str, view: view_module.View, ready: abc.Callable[[], bool]) -> messages.Handler:
    """Return the handler of both questions; 404 for any other."""

    async def handle(request: messages.Request) -> messages.Answer:
        path, _, query = request.target.partition(b"?")
        if path == STATUS_PATH:
            return _answer(status(name, view, ready()))
        if path != EXPLAIN_PATH:
            return messages.Answer(404)
        asked = urllib.parse.parse_qs(query.decode("latin-1"))
        host, target = (asked.get(key, [""])[0] for key in ("host", "path"))
        if not host or not target.startswith("/"):
            return messages.Answer(400, body=b"host and path (from /) have to be given")
        return _answer(explain(view, host, target))

    return handle


def _answer(plain: Plain) -> messages.Answer:
    return messages.Answer(200, _JSON, json.dumps(plain).encode())


def status(name: str, view: view_module.View, ready: bool) -> Plain:
    """Tell what the instance believes as a whole."""
    now_s = asyncio.get_running_loop().time()
    states = [_state(each, now_s) for each in view.replicas.all()]
    return {
        "instance": name,
        "ready": ready,
        "configuration_version": _version(view),
        "source_age_s": view_module.told_age_s(view.source_age_s()),
        "instances": sorted(view.instances),
        "instances_counted": view.instances_count(),
        "replicas": {state: states.count(state) for state in sorted(set(states))},
        "connections": view.replicas.connections(),
    }


def explain(view: view_module.View, host: str, path: str) -> Plain:
    """Tell the route of a request, and the replicas that could take it, best first."""
    configuration = view.configuration
    route = configuration.match(host, path) if configuration is not None else None
    plain = {
        "configuration_version": _version(view),
        "source_age_s": view_module.told_age_s(view.source_age_s()),
        "route": None,
    }
    if route is None:
        return plain
    services = route.shards or tuple(each.service for each in route.services)
    return plain | {
        "route": attrs.asdict(route),
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


def _state(replica: replicas_module.Replica, now_s: float) -> str:
    if replica.leaving:
        return "leaving"
    if replica.set_aside(now_s):
        return "set aside"
    return "late" if replica.overdue(now_s) else "in use"


def _version(view: view_module.View) -> int | None:
    return view.configuration.version if view.configuration is not None else None
