"""Decode the operators' configuration: routes, services and limits."""

from __future__ import annotations

import functools
import typing
from collections import abc

from turmericlug.decoding import fields
from turmericlug.direct import routes
from turmericlug.http1 import messages
from turmericlug.platform import optional_fields
from turmericlug.platform import organisations

_ROUTE_TYPE_IDEMPOTENT = "idempotent"
_DEFAULT_TIMEOUT_MS = 60_000.0
_DEFAULT_MAX_ATTEMPTS = 1
_DEFAULT_MAX_CONNECTIONS = 16
_DEFAULT_HEALTH_PATH = "/health"
MAX_VERSION = (1 << 63) - 1
"""A version is never replaced by a lower one; nanoseconds since 1970 are below this."""
MAX_SHARDS = (1 << 16) - 1
"""Instances refer to the shards of a query by 16-bit numbers."""
_NUMBER_TYPES = (int, float)
_MAX_WEIGHT = 1e9
_MAX_COUNT = (1 << 32) - 1
_MAX_BYTES = (1 << 63) - 1
MAX_DURATION_MS = 1e9
"""Eleven days; JSON numbers may be too large for a float."""

JsonObject = dict[str, typing.Any]


def decode(data: typing.Any, ignored: list[str]) -> routes.Configuration:
    """
    Decode the operators' configuration.

    A malformed field of a route, a service or the limits refuses the configuration as a whole. A
    route that is left out would have its requests answered with 404, and a limit or a time-out with
    another value than the one written is a configuration that nobody has written.

    :param ignored: receives the malformed optional fields, each with its error
    :raises FieldError: a field does not have the published format
    """
    require_object(data)
    version = fields.read_field(data, "Version", _read_version)
    services = _decode_each(data, "Services", _decode_service, ignored)
    decode_route = functools.partial(_decode_route, targets=_Targets())
    return routes.Configuration(
        version=version,
        routes=tuple(_decode_each(data, "Routes", decode_route, ignored)),
        services={service.name: service for service in services},
        limits=_decode_limits(data.get("Limits") or {}),
        organisations=organisations.decode(data.get("Tenants"), ignored),
    )


def _read_version(value: typing.Any) -> int:
    return fields.read_whole_number(value, 0, MAX_VERSION)


def _decode_each(
    data: JsonObject,
    name: str,
    read: abc.Callable[[JsonObject, list[str]], fields.T],
    ignored: list[str],
) -> list[fields.T]:
    """Decode each object of a list; an error names the index."""
    values = _read_list(data, name)
    decoded: list[fields.T] = []
    try:
        for value in values:
            if type(value) is not dict:
                raise fields.FieldError("not an object")
            decoded.append(read(value, ignored))
    except fields.FieldError as error:
        raise error.within(f"{name}[{len(decoded)}]") from None
    return decoded


def _read_list(item: JsonObject, name: str) -> list[typing.Any]:
    value = item.get(name)
    return value if type(value) is list else fields.read_field(item, name, fields.read_list)


def require_object(value: typing.Any) -> None:
    """
    Check that a value is an object.

    :raises FieldError: it is not
    """
    if not isinstance(value, dict):
        raise fields.FieldError("not an object")


def _decode_service(item: JsonObject, ignored: list[str]) -> routes.Service:
    name, health_path = item.get("Name"), item.get("HealthPath", _DEFAULT_HEALTH_PATH)
    if not (
        type(name) is type(health_path) is str
        and len(texts := name + health_path) <= fields.MAX_TEXT_LENGTH
        and texts.isascii()
    ):
        name = fields.read_text_field(item, "Name")
        health_path = optional_fields.read_optional(
            item, "HealthPath", fields.read_any_text, _DEFAULT_HEALTH_PATH, ignored
        )
    # Connections to one replica, over all callers.
    max_connections = item.get("MaxConns")
    if type(max_connections) is not int or not 0 < max_connections <= _MAX_COUNT:
        max_connections = _read_count(item, "MaxConns") or _DEFAULT_MAX_CONNECTIONS
    cold_rate_per_s = 0.0
    if "WarmupPerS" in item:
        cold_rate_per_s = optional_fields.read_optional(
            item, "WarmupPerS", optional_fields.read_rate_per_s, 0.0, ignored
        )
    return routes.Service(name, health_path, max_connections, cold_rate_per_s)


def _read_count(item: JsonObject, name: str, maximum: int = _MAX_COUNT) -> int:
    """Read a whole number; an absent one counts as 0."""
    value = item.get(name)
    if not value:
        return 0
    if type(value) is int and 0 < value <= maximum:
        return value
    try:
        return fields.read_whole_number(value, 0, maximum)
    except fields.FieldError as error:
        raise error.within(name) from None


def _read_amount(item: JsonObject, name: str, maximum: float) -> float:
    """Read a number; an absent one counts as 0."""
    value = item.get(name)
    if not value:
        return 0
    if type(value) in _NUMBER_TYPES and 0 < value <= maximum:
        return value
    try:
        return fields.read_number(value, 0, maximum)
    except fields.FieldError as error:
        raise error.within(name) from None


class _Targets:
    """The services and shards of routes. Many routes have the same ones, which are read once."""

    def __init__(self) -> None:
        self._shards_by_length: dict[int, tuple[list[typing.Any], tuple[str, ...]]] = {}
        self._services_by_name: dict[str, tuple[routes.WeightedService, ...]] = {}

    def read_service(self, item: JsonObject) -> tuple[routes.WeightedService, ...]:
        """
        Read the only service of a route.

        :raises FieldError: not a name
        """
        name = item.get("Service")
        if not name:
            return ()
        if type(name) is not str or name not in self._services_by_name:
            name = fields.read_text_field(item, "Service")
            self._services_by_name[name] = (routes.WeightedService(name, 1.0),)
        return self._services_by_name[name]

    def read_shards(self, item: JsonObject) -> tuple[str, ...]:
        """
        Read the shards of a route.

        :raises FieldError: not a list of names, or too many
        """
        if not item.get("Gather"):
            return ()
        names = _read_list(item, "Gather")
        known_names, known_shards = self._shards_by_length.get(len(names), ((), ()))
        if names == known_names:
            return known_shards
        if len(names) > MAX_SHARDS:
            raise fields.FieldError(f"more than {MAX_SHARDS} services", "length", "Gather")
        try:
            fields.check_texts(names)
        except fields.FieldError as error:
            raise error.within("Gather") from None
        shards = tuple(names)
        self._shards_by_length[len(names)] = names, shards
        return shards


def _decode_route(item: JsonObject, ignored: list[str], targets: _Targets) -> routes.Route:
    # Each value has a fast path for its usual type, since a configuration has thousands of them.
    get = item.get
    name, host, prefix = get("Name"), get("Host"), get("Prefix")
    if not (
        type(name) is type(host) is type(prefix) is str
        and len(texts := name + host + prefix) <= fields.MAX_TEXT_LENGTH
        and texts.isascii()
    ):
        name, host, prefix = (
            fields.read_text_field(item, field) for field in ("Name", "Host", "Prefix")
        )
    timeout_ms, goal_ms = get("TimeoutMs"), get("GoalMs")
    if type(timeout_ms) is not int or not 0 < timeout_ms <= MAX_DURATION_MS:
        timeout_ms = _read_amount(item, "TimeoutMs", MAX_DURATION_MS) or _DEFAULT_TIMEOUT_MS
    if type(goal_ms) not in _NUMBER_TYPES or not 0 < goal_ms <= MAX_DURATION_MS:
        goal_ms = _read_amount(item, "GoalMs", MAX_DURATION_MS) or timeout_ms
    priority, max_attempts = get("Priority", 0), get("MaxAttempts")
    if type(priority) is not int or not 0 <= priority <= _MAX_COUNT:
        priority = _read_count(item, "Priority")
    # Replicas that a request (or a query's shard) may be sent to, including the first one.
    if type(max_attempts) is not int or not 0 < max_attempts <= _MAX_COUNT:
        max_attempts = _read_count(item, "MaxAttempts") or _DEFAULT_MAX_ATTEMPTS
    return routes.Route(
        name,
        host,
        prefix,
        # A route with any other route type, or none, is treated as not idempotent.
        get("RouteType") == _ROUTE_TYPE_IDEMPOTENT,
        timeout_ms,
        goal_ms,
        priority,
        max_attempts,
        _decode_services(item, ignored, targets),
        targets.read_shards(item) if "Gather" in item else (),
        _read_count(item, "TopK") if "TopK" in item else 0,
        _read_amount(item, "MinCoverage", 1.0) if "MinCoverage" in item else 0.0,
        optional_fields.read_allowed_regions(item, ignored) if "AllowedRegions" in item else None,
        get("Public") is True,
    )


def _decode_services(
    item: JsonObject, ignored: list[str], targets: _Targets
) -> tuple[routes.WeightedService, ...]:
    split = item.get("TrafficSplit")
    if split:
        shares = _usual_shares(split) or tuple(
            _decode_each(item, "TrafficSplit", _decode_share, ignored)
        )
        if not any([share.weight for share in shares]):
            raise fields.FieldError("all weights are 0", "range", "TrafficSplit")
        return shares
    return targets.read_service(item)


def _usual_shares(split: typing.Any) -> tuple[routes.WeightedService, ...]:
    """Return the shares of a list with values of the usual types, else none."""
    if type(split) is not list:
        return ()
    shares = []
    for item in split:
        if type(item) is not dict:
            return ()
        service, weight = item.get("Service"), item.get("Weight")
        if type(weight) is not int or not 0 <= weight <= _MAX_WEIGHT:
            return ()
        if type(service) is not str or not service.isascii():
            return ()
        if len(service) > fields.MAX_TEXT_LENGTH:
            return ()
        shares.append(routes.WeightedService(service, float(weight)))
    return tuple(shares)


def _decode_share(item: JsonObject, ignored: list[str]) -> routes.WeightedService:
    weight = fields.read_field(item, "Weight", _read_weight)
    return routes.WeightedService(fields.read_text_field(item, "Service"), float(weight))


def _read_weight(value: typing.Any) -> float:
    return fields.read_number(value, 0, _MAX_WEIGHT)


def _decode_limits(item: typing.Any) -> messages.Limits:
    default = messages.Limits()
    try:
        require_object(item)
        header_ms = _read_amount(item, "HeaderTimeoutMs", MAX_DURATION_MS)
        idle_ms = _read_amount(item, "IdleTimeoutMs", MAX_DURATION_MS)
        return messages.Limits(
            header_bytes=_read_count(item, "MaxHeaderBytes", _MAX_BYTES) or default.header_bytes,
            body_bytes=_read_count(item, "MaxBodyBytes", _MAX_BYTES) or default.body_bytes,
            header_timeout_s=header_ms / 1000 if header_ms else default.header_timeout_s,
            idle_timeout_s=idle_ms / 1000 if idle_ms else default.idle_timeout_s,
        )
    except fields.FieldError as error:
        raise error.within("Limits") from None
