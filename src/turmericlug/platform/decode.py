"""
Decode the values of the platform's keys into this project's types.

Programs other than replicas can write to the replicas' keys. An entry with a field that deviates
from the published format is rejected as a whole: its address may not be a replica's, and requests
would be sent to whatever listens there.
"""

from __future__ import annotations

import binascii
import json
import socket
import typing

from turmericlug.direct import routes
from turmericlug.entry import source
from turmericlug.http1 import messages
from turmericlug.platform import fields
from turmericlug.platform import names
from turmericlug.platform import organisations
from turmericlug.policy import capacity

_ROUTE_TYPE_IDEMPOTENT = "idempotent"
_STATE_READY = "ready"
_STATE_DRAINING = "draining"
_DEFAULT_TIMEOUT_MS = 60_000.0
_DEFAULT_MAX_ATTEMPTS = 1
_MAX_REASON_LENGTH = 100
"""Error messages are truncated to this length: they may quote the value, up to a megabyte."""
_MAX_IGNORED_FIELDS = 5
"""Ignored fields reported per value; a value may have thousands of them."""
_MAX_PORT = 65535
_MAX_DURATION_MS = 1e9
"""Eleven days; JSON numbers may be too large for a float."""

JsonObject = dict[str, typing.Any]


def decode_change(
    key: str, content: bytes | str, revision: int
) -> source.Written | source.Unreadable | None:
    """
    Decode a key's new value; return ``None`` for a key that this project does not use.

    :param content: the value as bytes, or as the base64 text that the store sends
    """
    raw_value = b""
    ignored: list[str] = []
    try:
        raw_value = (
            binascii.a2b_base64(content, strict_mode=True) if _is_base64_text(content) else content
        )
        value = decode_value(key, raw_value, ignored)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        return _refuse(key, revision, raw_value, error)
    if value is None:
        return None
    reported = tuple(problem[:_MAX_REASON_LENGTH] for problem in ignored[:_MAX_IGNORED_FIELDS])
    return source.Written(key, value, revision, raw_value, ignored=reported)


def _refuse(key: str, revision: int, content: bytes, error: Exception) -> source.Unreadable:
    problem = f"{type(error).__name__}: {error}"[:_MAX_REASON_LENGTH]
    reason, field = "type", ""
    match error:
        case fields.FieldError():
            reason, field, problem = error.reason, error.field, str(error)[:_MAX_REASON_LENGTH]
        case KeyError():
            reason, field = "missing", str(error.args[0])[:_MAX_REASON_LENGTH]
        case RecursionError():
            reason = "depth"
        case ValueError():
            reason = "syntax"
    return source.Unreadable(key, revision, reason, content, field=field, problem=problem)


def _is_base64_text(content: bytes | str) -> typing.TypeGuard[str]:
    return isinstance(content, str)


def decode_value(key: str, content: bytes, ignored: list[str]) -> source.Value | None:
    """
    Decode a key's value; return ``None`` for a key that this project does not use.

    :param ignored: receives the malformed optional fields, each with its error
    :raises ValueError, KeyError, TypeError, AttributeError, RecursionError: the value does not have
        the published format
    """
    if key == names.CONFIGURATION_KEY:
        return decode_configuration(json.loads(content), ignored)
    if key.startswith(names.EVACUATIONS_PREFIX):
        # The key's existence alone marks the evacuation; its value is not read.
        return source.Evacuation(key.removeprefix(names.EVACUATIONS_PREFIX))
    if key.startswith(names.REPLICAS_PREFIX):
        return _decode_replica(key.removeprefix(names.REPLICAS_PREFIX), json.loads(content))
    if key.startswith(names.INSTANCES_PREFIX):
        return _decode_instance(
            key.removeprefix(names.INSTANCES_PREFIX), json.loads(content), ignored
        )
    return None


def decode_configuration(data: JsonObject, ignored: list[str]) -> routes.Configuration:
    """
    Decode the operators' configuration.

    :param ignored: receives the malformed optional fields, each with its error
    """
    services = {
        item["Name"]: routes.Service(
            name=item["Name"],
            health_path=item.get("HealthPath", "/health"),
            # Connections to one replica, over all callers.
            max_connections=item.get("MaxConns") or 16,
            cold_rate_per_s=fields.read_optional(
                item, "WarmupPerS", fields.read_rate_per_s, 0.0, ignored
            ),
        )
        for item in data["Services"]
    }
    return routes.Configuration(
        version=data["Version"],
        routes=tuple(_decode_route(item, ignored) for item in data["Routes"]),
        services=services,
        limits=_decode_limits(data.get("Limits") or {}),
        organisations=organisations.decode(data.get("Tenants"), ignored),
    )


def _decode_route(item: JsonObject, ignored: list[str]) -> routes.Route:
    timeout_ms = item.get("TimeoutMs") or _DEFAULT_TIMEOUT_MS
    return routes.Route(
        name=item["Name"],
        host=item["Host"],
        prefix=item["Prefix"],
        # A route with any other route type, or none, is treated as not idempotent.
        idempotent=item.get("RouteType") == _ROUTE_TYPE_IDEMPOTENT,
        timeout_ms=timeout_ms,
        goal_ms=item.get("GoalMs") or timeout_ms,
        priority=item.get("Priority") or 0,
        # Replicas that a request (or a query's shard) may be sent to, including the first one.
        max_attempts=item.get("MaxAttempts") or _DEFAULT_MAX_ATTEMPTS,
        services=_decode_services(item),
        shards=tuple(item.get("Gather") or ()),
        top_records=item.get("TopK") or 0,
        min_coverage=item.get("MinCoverage") or 0.0,
        regions=fields.read_allowed_regions(item, ignored),
        is_public=item.get("Public") is True,
    )


def _decode_services(item: JsonObject) -> tuple[routes.WeightedService, ...]:
    if item.get("TrafficSplit"):
        return tuple(
            routes.WeightedService(share["Service"], float(share["Weight"]))
            for share in item["TrafficSplit"]
        )
    return (routes.WeightedService(item["Service"], 1.0),) if item.get("Service") else ()


def _decode_limits(item: JsonObject) -> messages.Limits:
    default = messages.Limits()
    header_ms, idle_ms = item.get("HeaderTimeoutMs"), item.get("IdleTimeoutMs")
    return messages.Limits(
        header_bytes=item.get("MaxHeaderBytes") or default.header_bytes,
        body_bytes=item.get("MaxBodyBytes") or default.body_bytes,
        header_timeout_s=header_ms / 1000 if header_ms else default.header_timeout_s,
        idle_timeout_s=idle_ms / 1000 if idle_ms else default.idle_timeout_s,
    )


def _decode_replica(instance: str, item: JsonObject) -> routes.ReplicaEntry:
    """Decode a replica's entry; every field but ``born`` is required and type-checked."""
    if not (instance.isascii() and instance.isprintable()) or " " in instance or not instance:
        # The name is sent as a header value; a line break in it would start another header.
        raise ValueError("instance name is empty or not printable ASCII without spaces")
    host, port = _parse_address(item["Address"])
    state = item["State"]
    if state not in (_STATE_READY, _STATE_DRAINING):
        raise ValueError("state is neither ready nor draining")
    _require_text(item["Version"])
    return routes.ReplicaEntry(
        instance=instance,
        service=_require_text(item["Service"]),
        host=host,
        port=port,
        data_centre=_require_text(item["Zone"]),
        slots=_require_integer(item["Slots"], minimum=1),
        draining=state == _STATE_DRAINING,
        warmup_left_ms=_require_duration_ms(item["WarmupLeftMs"]),
        born_ms=_require_integer(item["born"]) if "born" in item else None,
        sequence=_require_integer(item["Sequence"]),
    )


def _require_text(value: typing.Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("not a non-empty string")
    return value


def _require_integer(value: typing.Any, minimum: int = 0) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise ValueError("not an integer, or below the minimum")
    return value


def _require_duration_ms(value: typing.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("duration is not a number")
    if not 0 <= value <= _MAX_DURATION_MS:
        raise ValueError("duration is negative or too long")
    return float(value)


def _parse_address(value: typing.Any) -> tuple[str, int]:
    host, _, port = _require_text(value).rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        raise ValueError("host is not an IPv4 address") from None
    if not (port.isascii() and port.isdigit()) or not 0 < int(port) <= _MAX_PORT:
        raise ValueError("port is not an integer from 1 to 65535")
    return host, int(port)


def _decode_instance(name: str, item: JsonObject, ignored: list[str]) -> source.EntryInstance:
    _parse_address(item["address"])
    if item["peers_address"] != "":
        _parse_address(item["peers_address"])
    return source.EntryInstance(
        name,
        item["address"],
        _require_text(item["data_centre"]),
        _require_text(item["region"]),
        item["peers_address"],
        fields.read_optional(item, "capacity", fields.read_capacity, capacity.DEFAULT, ignored),
    )


def encode_instance(instance: source.EntryInstance) -> bytes:
    """Encode the value of an entry instance's key; its field names are this project's own."""
    item = {
        "address": instance.address,
        "data_centre": instance.data_centre,
        "region": instance.region,
        "peers_address": instance.peers_address,
        "capacity": instance.capacity,
    }
    return json.dumps(item).encode()
