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
from collections import abc

from turmericlug.decoding import fields
from turmericlug.decoding import json_values
from turmericlug.direct import routes
from turmericlug.entry import source
from turmericlug.http1 import messages
from turmericlug.platform import names
from turmericlug.platform import optional_fields
from turmericlug.platform import organisations
from turmericlug.policy import capacity

_ROUTE_TYPE_IDEMPOTENT = "idempotent"
_STATE_READY = "ready"
_STATE_DRAINING = "draining"
_DEFAULT_TIMEOUT_MS = 60_000.0
_DEFAULT_MAX_ATTEMPTS = 1
_DEFAULT_MAX_CONNECTIONS = 16
_DEFAULT_HEALTH_PATH = "/health"
_MAX_PROBLEM_LENGTH = 200
"""Error messages are truncated to this length: they may quote names from the value."""
_MAX_IGNORED_FIELDS = 5
"""Ignored fields reported per value; a value may have thousands of them."""
MAX_ENTRY_BYTES = 64 * 1024
"""Size of the entry of a replica or an instance, which is some 200 bytes."""
MAX_VERSION = (1 << 63) - 1
"""A version is never replaced by a lower one; nanoseconds since 1970 are below this."""
MAX_SHARDS = (1 << 16) - 1
"""Instances refer to the shards of a query by 16-bit numbers."""
_MAX_PORT = 65535
_MAX_DURATION_MS = 1e9
"""Eleven days; JSON numbers may be too large for a float."""
_MAX_WEIGHT = 1e9
_MAX_COUNT = (1 << 32) - 1
_MAX_BYTES = (1 << 63) - 1
_MAX_SEQUENCE = (1 << 63) - 1
_MAX_TIME_MS = 253_402_300_799_999
"""The end of the year 9999."""

JsonObject = dict[str, typing.Any]


def decode_change(
    key: str, content: bytes | str, revision: int
) -> source.Written | source.Unreadable | None:
    """
    Decode a key's new value; return ``None`` for a key that this project does not use.

    :param content: the value as bytes, or as the base64 text that the store sends
    """
    ignored: list[str] = []
    try:
        raw_value = _decode_base64(content) if _is_base64_text(content) else content
        value = decode_value(key, raw_value, ignored)
    except fields.FieldError as error:
        return source.Unreadable(
            key,
            revision,
            error.reason,
            field=error.field[:_MAX_PROBLEM_LENGTH],
            problem=str(error)[:_MAX_PROBLEM_LENGTH],
        )
    if value is None:
        return None
    reported = tuple(problem[:_MAX_PROBLEM_LENGTH] for problem in ignored[:_MAX_IGNORED_FIELDS])
    return source.Written(key, value, revision, raw_value, ignored=reported)


def _is_base64_text(content: bytes | str) -> typing.TypeGuard[str]:
    return isinstance(content, str)


def _decode_base64(text: str) -> bytes:
    try:
        return binascii.a2b_base64(text, strict_mode=True)
    except ValueError as error:
        raise fields.FieldError(str(error), "base64") from None


def decode_value(key: str, content: bytes, ignored: list[str]) -> source.Value | None:
    """
    Decode a key's value; return ``None`` for a key that this project does not use.

    :param ignored: receives the malformed optional fields, each with its error
    :raises FieldError: the key or the value does not have the published format
    """
    if key == names.CONFIGURATION_KEY:
        return decode_configuration(json_values.parse(content), ignored)
    if key.startswith(names.EVACUATIONS_PREFIX):
        # The key's existence alone marks the evacuation; its value is not read.
        return source.Evacuation(_read_name(key, names.EVACUATIONS_PREFIX, fields.read_text))
    if key.startswith(names.REPLICAS_PREFIX):
        replica = _read_name(key, names.REPLICAS_PREFIX, _read_header_value)
        return _decode_replica(replica, json_values.parse(content, MAX_ENTRY_BYTES))
    if key.startswith(names.INSTANCES_PREFIX):
        instance = _read_name(key, names.INSTANCES_PREFIX, _read_printable)
        return _decode_instance(instance, json_values.parse(content, MAX_ENTRY_BYTES), ignored)
    return None


def _read_name(key: str, prefix: str, read: abc.Callable[[typing.Any], str]) -> str:
    try:
        return read(key.removeprefix(prefix))
    except fields.FieldError as error:
        raise error.within("Key") from None


def _read_printable(value: typing.Any) -> str:
    if not fields.read_text(value).isprintable():
        raise fields.FieldError("not printable", "text")
    return value


def _read_header_value(value: typing.Any) -> str:
    """Read a name that is sent as a header; a line break in it would start another header."""
    if not _read_printable(value).isascii() or " " in value:
        raise fields.FieldError("not printable ASCII without spaces", "text")
    return value


def decode_configuration(data: typing.Any, ignored: list[str]) -> routes.Configuration:
    """
    Decode the operators' configuration.

    A malformed field of a route, a service or the limits refuses the configuration as a whole. A
    route that is left out would have its requests answered with 404, and a limit or a time-out with
    another value than the one written is a configuration that nobody has written.

    :param ignored: receives the malformed optional fields, each with its error
    :raises FieldError: a field does not have the published format
    """
    _require_object(data)
    version = fields.read_field(data, "Version", _read_version)
    services = _decode_each(data, "Services", _decode_service, ignored)
    return routes.Configuration(
        version=version,
        routes=tuple(_decode_each(data, "Routes", _decode_route, ignored)),
        services={service.name: service for service in services},
        limits=_decode_limits(data.get("Limits") or {}),
        organisations=organisations.decode(data.get("Tenants"), ignored),
    )


def _read_version(value: typing.Any) -> int:
    return fields.read_whole_number(value, 0, MAX_VERSION)


def _decode_each(
    data: JsonObject,
    name: str,
    decode: abc.Callable[[JsonObject, list[str]], fields.T],
    ignored: list[str],
) -> list[fields.T]:
    """Decode each object of a list; an error names the index."""
    values = _read_list(data, name)
    decoded: list[fields.T] = []
    try:
        for value in values:
            if type(value) is not dict:
                raise fields.FieldError("not an object")
            decoded.append(decode(value, ignored))
    except fields.FieldError as error:
        raise error.within(f"{name}[{len(decoded)}]") from None
    return decoded


def _read_list(item: JsonObject, name: str) -> list[typing.Any]:
    value = item.get(name)
    return value if type(value) is list else fields.read_field(item, name, fields.read_list)


def _require_object(value: typing.Any) -> None:
    if not isinstance(value, dict):
        raise fields.FieldError("not an object")


def _decode_service(item: JsonObject, ignored: list[str]) -> routes.Service:
    return routes.Service(
        name=fields.read_text_field(item, "Name"),
        health_path=(
            optional_fields.read_optional(
                item, "HealthPath", fields.read_any_text, _DEFAULT_HEALTH_PATH, ignored
            )
            if "HealthPath" in item
            else _DEFAULT_HEALTH_PATH
        ),
        # Connections to one replica, over all callers.
        max_connections=_read_count(item, "MaxConns") or _DEFAULT_MAX_CONNECTIONS,
        cold_rate_per_s=(
            optional_fields.read_optional(
                item, "WarmupPerS", optional_fields.read_rate_per_s, 0.0, ignored
            )
            if "WarmupPerS" in item
            else 0.0
        ),
    )


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
    if type(value) is int and 0 < value <= maximum:
        return value
    try:
        return fields.read_number(value, 0, maximum)
    except fields.FieldError as error:
        raise error.within(name) from None


def _decode_route(item: JsonObject, ignored: list[str]) -> routes.Route:
    timeout_ms = _read_amount(item, "TimeoutMs", _MAX_DURATION_MS) or _DEFAULT_TIMEOUT_MS
    return routes.Route(
        name=fields.read_text_field(item, "Name"),
        host=fields.read_text_field(item, "Host"),
        prefix=fields.read_text_field(item, "Prefix"),
        # A route with any other route type, or none, is treated as not idempotent.
        idempotent=item.get("RouteType") == _ROUTE_TYPE_IDEMPOTENT,
        timeout_ms=timeout_ms,
        goal_ms=_read_amount(item, "GoalMs", _MAX_DURATION_MS) or timeout_ms,
        priority=_read_count(item, "Priority") if "Priority" in item else 0,
        # Replicas that a request (or a query's shard) may be sent to, including the first one.
        max_attempts=_read_count(item, "MaxAttempts") or _DEFAULT_MAX_ATTEMPTS,
        services=_decode_services(item, ignored),
        shards=_decode_shards(item) if "Gather" in item else (),
        top_records=_read_count(item, "TopK") if "TopK" in item else 0,
        min_coverage=_read_amount(item, "MinCoverage", 1.0) if "MinCoverage" in item else 0.0,
        regions=(
            optional_fields.read_allowed_regions(item, ignored)
            if "AllowedRegions" in item
            else None
        ),
        is_public=item.get("Public") is True,
    )


def _decode_services(item: JsonObject, ignored: list[str]) -> tuple[routes.WeightedService, ...]:
    if item.get("TrafficSplit"):
        shares = tuple(_decode_each(item, "TrafficSplit", _decode_share, ignored))
        if not any([share.weight for share in shares]):
            raise fields.FieldError("all weights are 0", "range", "TrafficSplit")
        return shares
    if not item.get("Service"):
        return ()
    return (routes.WeightedService(fields.read_text_field(item, "Service"), 1.0),)


def _decode_share(item: JsonObject, ignored: list[str]) -> routes.WeightedService:
    weight = item.get("Weight")
    if type(weight) is not int or not 0 <= weight <= _MAX_WEIGHT:
        weight = fields.read_field(item, "Weight", _read_weight)
    return routes.WeightedService(fields.read_text_field(item, "Service"), float(weight))


def _read_weight(value: typing.Any) -> float:
    return fields.read_number(value, 0, _MAX_WEIGHT)


def _decode_shards(item: JsonObject) -> tuple[str, ...]:
    if not item.get("Gather"):
        return ()
    shards = _read_list(item, "Gather")
    if len(shards) > MAX_SHARDS:
        raise fields.FieldError(f"more than {MAX_SHARDS} services", "length", "Gather")
    try:
        fields.check_texts(shards)
    except fields.FieldError as error:
        raise error.within("Gather") from None
    return tuple(shards)


def _decode_limits(item: typing.Any) -> messages.Limits:
    default = messages.Limits()
    try:
        _require_object(item)
        header_ms = _read_amount(item, "HeaderTimeoutMs", _MAX_DURATION_MS)
        idle_ms = _read_amount(item, "IdleTimeoutMs", _MAX_DURATION_MS)
        return messages.Limits(
            header_bytes=_read_count(item, "MaxHeaderBytes", _MAX_BYTES) or default.header_bytes,
            body_bytes=_read_count(item, "MaxBodyBytes", _MAX_BYTES) or default.body_bytes,
            header_timeout_s=header_ms / 1000 if header_ms else default.header_timeout_s,
            idle_timeout_s=idle_ms / 1000 if idle_ms else default.idle_timeout_s,
        )
    except fields.FieldError as error:
        raise error.within("Limits") from None


def _decode_replica(instance: str, item: typing.Any) -> routes.ReplicaEntry:
    """Decode a replica's entry; every field but ``born`` is required and type-checked."""
    _require_object(item)
    host, port = fields.read_field(item, "Address", _read_address)
    state = fields.read_field(item, "State", _read_state)
    fields.read_name_field(item, "Version")
    return routes.ReplicaEntry(
        instance=instance,
        service=fields.read_name_field(item, "Service"),
        host=host,
        port=port,
        data_centre=fields.read_name_field(item, "Zone"),
        slots=fields.read_integer_field(item, "Slots", 1, optional_fields.MAX_LOAD),
        draining=state == _STATE_DRAINING,
        warmup_left_ms=fields.read_field(item, "WarmupLeftMs", _read_duration_ms),
        born_ms=(
            fields.read_integer_field(item, "born", 0, _MAX_TIME_MS) if "born" in item else None
        ),
        sequence=fields.read_integer_field(item, "Sequence", 0, _MAX_SEQUENCE),
    )


def _read_state(value: typing.Any) -> str:
    if fields.read_string(value) not in (_STATE_READY, _STATE_DRAINING):
        raise fields.FieldError("neither ready nor draining", "range")
    return value


def _read_duration_ms(value: typing.Any) -> float:
    return float(fields.read_number(value, 0, _MAX_DURATION_MS))


def _read_address(value: typing.Any) -> tuple[str, int]:
    host, _, port = fields.read_text(value).rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        raise fields.FieldError("host is not an IPv4 address", "address") from None
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(_MAX_PORT))
    if not is_number or not 0 < int(port) <= _MAX_PORT:
        raise fields.FieldError(f"port is not an integer from 1 to {_MAX_PORT}", "address")
    return host, int(port)


def _decode_instance(name: str, item: typing.Any, ignored: list[str]) -> source.EntryInstance:
    _require_object(item)
    fields.read_field(item, "address", _read_address)
    if fields.read_field(item, "peers_address", fields.read_string) != "":
        fields.read_field(item, "peers_address", _read_address)
    return source.EntryInstance(
        name,
        item["address"],
        fields.read_field(item, "data_centre", fields.read_text),
        fields.read_field(item, "region", fields.read_text),
        item["peers_address"],
        optional_fields.read_optional(
            item, "capacity", optional_fields.read_capacity, capacity.DEFAULT, ignored
        ),
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
