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
from turmericlug.platform import configuration
from turmericlug.platform import names
from turmericlug.platform import optional_fields
from turmericlug.policy import capacity

_STATE_READY = "ready"
_STATE_DRAINING = "draining"
_MAX_PROBLEM_LENGTH = 200
"""Error messages are truncated to this length: they may quote names from the value."""
_MAX_IGNORED_FIELDS = 5
"""Ignored fields reported per value; a value may have thousands of them."""
MAX_ENTRY_BYTES = 64 * 1024
"""Size of the entry of a replica or an instance, which is some 200 bytes."""
_MAX_PORT = 65535
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
        return configuration.decode(json_values.parse(content), ignored)
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


def _decode_replica(instance: str, item: typing.Any) -> routes.ReplicaEntry:
    """Decode a replica's entry; every field but ``born`` is required and type-checked."""
    configuration.require_object(item)
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
    return float(fields.read_number(value, 0, configuration.MAX_DURATION_MS))


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
    configuration.require_object(item)
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
