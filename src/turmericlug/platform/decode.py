"""Values of the platform's keys, decoded once into the product's types."""

from __future__ import annotations

import json
import typing

from turmericlug.direct import routes
from turmericlug.entry import news
from turmericlug.http1 import messages
from turmericlug.platform import names

_IDEMPOTENT = "idempotent"
_DRAINING = "draining"
_NO_TIMEOUT_MS = 60_000.0
_DEFAULT_ATTEMPTS = 1

Plain = dict[str, typing.Any]


def value(key: str, content: bytes) -> news.Value | None:
    """
    Return what a key's value says; ``None`` for keys that nothing here reads.

    :raises ValueError, KeyError, TypeError: the value is not of the published form
    """
    if key == names.CONFIGURATION_KEY:
        return configuration(json.loads(content))
    if key.startswith(names.REPLICAS_PREFIX):
        return _replica(key.removeprefix(names.REPLICAS_PREFIX), json.loads(content))
    if key.startswith(names.INSTANCES_PREFIX):
        return _instance(key.removeprefix(names.INSTANCES_PREFIX), json.loads(content))
    return None


def configuration(plain: Plain) -> routes.Configuration:
    """Decode the operator's configuration."""
    services = {
        item["Name"]: routes.Service(
            name=item["Name"],
            health_path=item.get("HealthPath", "/health"),
            # Of one replica, from all callers together.
            max_connections=item.get("MaxConns") or 16,
        )
        for item in plain["Services"]
    }
    return routes.Configuration(
        version=plain["Version"],
        routes=tuple(_route(item) for item in plain["Routes"]),
        services=services,
        limits=_limits(plain.get("Limits") or {}),
    )


def _route(item: Plain) -> routes.Route:
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
    )


def _shares(item: Plain) -> tuple[routes.Share, ...]:
    if item.get("TrafficSplit"):
        return tuple(
            routes.Share(part["Service"], float(part["Weight"])) for part in item["TrafficSplit"]
        )
    return (routes.Share(item["Service"], 1.0),) if item.get("Service") else ()


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
    host, _, port = item["Address"].rpartition(":")
    return routes.ReplicaEntry(
        instance=instance,
        service=item["Service"],
        host=host,
        port=int(port),
        data_centre=item.get("Zone") or "",
        slots=item.get("Slots") or 1,
        draining=item.get("State") == _DRAINING,
        warmup_left_ms=item.get("WarmupLeftMs") or 0,
    )


def _instance(name: str, item: Plain) -> news.EntryInstance:
    return news.EntryInstance(
        name, item["address"], item["data_centre"], item["region"], item["peers_address"]
    )


def instance_value(instance: news.EntryInstance) -> bytes:
    """Encode an entry instance's own key, in this project's names."""
    plain = {
        "address": instance.address,
        "data_centre": instance.data_centre,
        "region": instance.region,
        "peers_address": instance.peers_address,
    }
    return json.dumps(plain).encode()
