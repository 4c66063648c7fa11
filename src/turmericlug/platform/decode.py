"""
Values of the platform's keys, decoded once into the product's types.

Others can write under the replicas' keys as well. What is not of the published form in every field
names no replica: sent to, an address that somebody else made up is another one's.
"""

from __future__ import annotations

import binascii
import json
import math
import socket
import typing

from turmericlug.direct import routes
from turmericlug.entry import source
from turmericlug.http1 import messages
from turmericlug.platform import fields
from turmericlug.platform import names

_IDEMPOTENT = "idempotent"
_READY = "ready"
_DRAINING = "draining"
_NO_TIMEOUT_MS = 60_000.0
_DEFAULT_ATTEMPTS = 1
_REASON_LENGTH = 100
"""Characters of an error that are kept: it may quote the value, which may be a megabyte."""
_MOST_IGNORED = 5
"""Fields of one value that are told to be ignored; a value may have thousands."""
_MOST_PORT = 65535

Plain = dict[str, typing.Any]


def change(
    key: str, content: bytes | str, revision: int
) -> source.Written | source.Unreadable | None:
    """
    Return what a key's new value says; ``None`` for keys that nothing here reads.

    :param content: the value, or its base64 text as the store sends it
    """
    plain = b""
    ignored: list[str] = []
    try:
        plain = binascii.a2b_base64(content, strict_mode=True) if _is_text(content) else content
        found = value(key, plain, ignored)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        reason = f"{type(error).__name__}: {error}"[:_REASON_LENGTH]
        return source.Unreadable(key, revision, reason, plain)
    if found is None:
        return None
    told = tuple(each[:_REASON_LENGTH] for each in ignored[:_MOST_IGNORED])
    return source.Written(key, found, revision, plain, ignored=told)


def _is_text(content: bytes | str) -> typing.TypeGuard[str]:
    return isinstance(content, str)


def value(key: str, content: bytes, ignored: list[str]) -> source.Value | None:
    """
    Return what a key's value says; ``None`` for keys that nothing here reads.

    :param ignored: gets the optional fields that can't be read
    :raises ValueError, KeyError, TypeError: the value is not of the published form
    """
    if key == names.CONFIGURATION_KEY:
        return configuration(json.loads(content), ignored)
    if key.startswith(names.EVACUATIONS_PREFIX):
        # That the key is there says all: what its value holds does not matter.
        return source.Evacuation(key.removeprefix(names.EVACUATIONS_PREFIX))
    if key.startswith(names.REPLICAS_PREFIX):
        return _replica(key.removeprefix(names.REPLICAS_PREFIX), json.loads(content))
    if key.startswith(names.INSTANCES_PREFIX):
        return _instance(key.removeprefix(names.INSTANCES_PREFIX), json.loads(content))
    return None


def configuration(plain: Plain, ignored: list[str]) -> routes.Configuration:
    """
    Decode the operator's configuration.

    :param ignored: gets the optional fields that can't be read
    """
    services = {
        item["Name"]: routes.Service(
            name=item["Name"],
            health_path=item.get("HealthPath", "/health"),
            # Of one replica, from all callers together.
            max_connections=item.get("MaxConns") or 16,
            cold_rate_per_s=fields.optional(item, "WarmupPerS", fields.rate_per_s, 0.0, ignored),
        )
        for item in plain["Services"]
    }
    return routes.Configuration(
        version=plain["Version"],
        routes=tuple(_route(item, ignored) for item in plain["Routes"]),
        services=services,
        limits=_limits(plain.get("Limits") or {}),
        key_regions=_key_regions(plain, ignored),
    )


def _key_regions(plain: Plain, ignored: list[str]) -> dict[bytes, frozenset[str]]:
    """Return the regions that organisations are bound to, by each of their keys."""
    found: dict[bytes, frozenset[str]] = {}
    for item in fields.optional(plain, "Tenants", fields.tables, [], ignored):
        regions = _regions(item, ignored)
        if regions is not None:
            keys = fields.optional(item, "ApiKeys", fields.keys, [], ignored)
            found |= dict.fromkeys(keys, regions)
    return found


def _regions(item: Plain, ignored: list[str]) -> frozenset[str] | None:
    """Return the regions that something is bound to; no region at all where they can't be read."""
    before = len(ignored)
    found = fields.optional(item, "AllowedRegions", fields.regions, None, ignored)
    return found if len(ignored) == before else frozenset()


def _route(item: Plain, ignored: list[str]) -> routes.Route:
    timeout_ms = item.get("TimeoutMs") or _NO_TIMEOUT_MS
    return routes.Route(
        name=item["Name"],
        host=item["Host"],
        prefix=item["Prefix"],
        # Whatever is not said to be repeatable is taken not to be.
        idempotent=item.get("RouteType") == _IDEMPOTENT,
        timeout_ms=timeout_ms,
        goal_ms=item.get("GoalMs") or timeout_ms,
        priority=item.get("Priority") or 0,
        # Replicas that one request may be sent to (of a query, for each shard), not repeats.
        max_attempts=item.get("MaxAttempts") or _DEFAULT_ATTEMPTS,
        services=_shares(item),
        shards=tuple(item.get("Gather") or ()),
        top_records=item.get("TopK") or 0,
        min_coverage=item.get("MinCoverage") or 0.0,
        regions=_regions(item, ignored),
    )


def _shares(item: Plain) -> tuple[routes.WeightedService, ...]:
    if item.get("TrafficSplit"):
        return tuple(
            routes.WeightedService(part["Service"], float(part["Weight"]))
            for part in item["TrafficSplit"]
        )
    return (routes.WeightedService(item["Service"], 1.0),) if item.get("Service") else ()


def _limits(item: Plain) -> messages.Limits:
    default = messages.Limits()
    header_ms, idle_ms = item.get("HeaderTimeoutMs"), item.get("IdleTimeoutMs")
    return messages.Limits(
        header_bytes=item.get("MaxHeaderBytes") or default.header_bytes,
        body_bytes=item.get("MaxBodyBytes") or default.body_bytes,
        header_timeout_s=header_ms / 1000 if header_ms else default.header_timeout_s,
        idle_timeout_s=idle_ms / 1000 if idle_ms else default.idle_timeout_s,
    )


def _replica(instance: str, item: Plain) -> routes.ReplicaEntry:
    """Decode a replica's entry; every field has to be there and of its type."""
    if not (instance.isascii() and instance.isprintable()) or " " in instance or not instance:
        # It is sent as a header: a line break in it would begin another one.
        raise ValueError("the name of the instance can't be sent")
    host, port = _address(item["Address"])
    state = item["State"]
    if state not in (_READY, _DRAINING):
        raise ValueError("unknown state")
    _text(item["Version"])
    return routes.ReplicaEntry(
        instance=instance,
        service=_text(item["Service"]),
        host=host,
        port=port,
        data_centre=_text(item["Zone"]),
        slots=_whole(item["Slots"], least=1),
        draining=state == _DRAINING,
        warmup_left_ms=_duration_ms(item["WarmupLeftMs"]),
        born_ms=_whole(item["born"]) if "born" in item else None,
        sequence=_whole(item["Sequence"]),
    )


def _text(plain: typing.Any) -> str:
    if not isinstance(plain, str) or not plain:
        raise ValueError("not a text")
    return plain


def _whole(plain: typing.Any, least: int = 0) -> int:
    if not isinstance(plain, int) or isinstance(plain, bool) or plain < least:
        raise ValueError("not a whole number")
    return plain


def _duration_ms(plain: typing.Any) -> float:
    if isinstance(plain, bool) or not isinstance(plain, int | float):
        raise ValueError("not a duration")
    if not (math.isfinite(plain) and plain >= 0):
        raise ValueError("not a duration")
    return plain


def _address(plain: typing.Any) -> tuple[str, int]:
    host, _, port = _text(plain).rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        raise ValueError("not an IP address") from None
    if not (port.isascii() and port.isdigit()) or not 0 < int(port) <= _MOST_PORT:
        raise ValueError("not a port")
    return host, int(port)


def _instance(name: str, item: Plain) -> source.EntryInstance:
    _address(item["address"])
    if item["peers_address"] != "":
        _address(item["peers_address"])
    return source.EntryInstance(
        name,
        item["address"],
        _text(item["data_centre"]),
        _text(item["region"]),
        item["peers_address"],
    )


def instance_value(instance: source.EntryInstance) -> bytes:
    """Encode an entry instance's own key, in this project's names."""
    plain = {
        "address": instance.address,
        "data_centre": instance.data_centre,
        "region": instance.region,
        "peers_address": instance.peers_address,
    }
    return json.dumps(plain).encode()
