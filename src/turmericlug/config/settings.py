"""Settings of one daemon, from an INI file, validated as a whole."""

from __future__ import annotations

import pathlib
import typing

import attrs

from turmericlug.config import ini

SettingsError = ini.SettingsError

_PORT = ini.integer(1, 65535)


@attrs.frozen
class Instance:
    """Section ``[instance]``: identity and listening addresses of this daemon."""

    name: str = ini.key(ini.non_empty_text, None, "unique name of this instance")
    data_centre: str = ini.key(ini.non_empty_text, None, "data centre of this instance")
    region: str = ini.key(ini.non_empty_text, None, "region of the data centre")
    host: str = ini.key(
        ini.non_empty_text, "127.0.0.1", "IP address that all three ports listen on"
    )
    advertised_host: str = ini.key(
        ini.non_empty_text, "", "IP address advertised to peers and callers; default: host"
    )
    callers_port: int = ini.key(_PORT, None, "port of the HTTP interface for callers")
    peers_port: int = ini.key(_PORT, None, "port of the protocol between daemons")
    advertised_peers_port: int = ini.key(
        ini.integer(0, 65535), 0, "port advertised to peers; 0: peers_port"
    )
    operators_port: int = ini.key(_PORT, None, "port of the HTTP interface for operators")
    cluster_key: str = ini.key(ini.secret, None, "shared secret of all daemons of one cluster")
    operators_token: str = ini.key(ini.secret, None, "bearer token of operators")


@attrs.frozen
class Platform:
    """Section ``[platform]``: addresses and timeouts of the platform's services."""

    store_url: str = ini.key(ini.base_url, None, "base URL of the key-value store")
    store_prefix: str = ini.key(
        ini.non_empty_text, "turmericlug/", "prefix of every key in the store"
    )
    store_timeout_ms: int = ini.key(ini.integer(10, 60000), 1000, "timeout of a call to the store")
    instances_url: str = ini.key(ini.base_url, None, "base URL of the instance list")
    instances_poll_ms: int = ini.key(
        ini.integer(50, 60000), 1000, "interval between reads of the list"
    )


@attrs.frozen
class Membership:
    """Section ``[membership]``: failure detection between daemons."""

    probe_interval_ms: int = ini.key(ini.integer(20, 10000), 200, "interval between probes")
    probe_timeout_ms: int = ini.key(ini.integer(10, 10000), 150, "timeout of a probe")
    suspicion_ms: int = ini.key(
        ini.integer(50, 60000), 800, "time for a suspected instance to refute the suspicion"
    )
    freshness_ms: int = ini.key(
        ini.integer(200, 60000),
        3000,
        "an instance stops serving when its configuration is unconfirmed for this long",
    )
    silence_ms: int = ini.key(
        ini.integer(5, 10000),
        150,
        "silence of an owner after which its pending parts move to another",
    )


@attrs.frozen
class Limits:
    """Section ``[limits]``: limits on requests of callers."""

    max_body_bytes: int = ini.key(ini.integer(256, 1 << 22), 65536, "largest request body")
    max_deadline_ms: int = ini.key(ini.integer(10, 600000), 30000, "longest deadline")
    default_deadline_ms: int = ini.key(
        ini.integer(10, 600000), 1000, "deadline of requests that give none"
    )
    max_queries: int = ini.key(ini.integer(1, 100000), 2000, "concurrent queries on this instance")
    queue_parts: int = ini.key(
        ini.integer(1, 1000000), 2000, "largest number of queued parts per service"
    )
    requests_mb: int = ini.key(
        ini.integer(4, 1 << 20), 32, "memory for request bodies until their answers"
    )
    replies_mb: int = ini.key(
        ini.integer(16, 1 << 20), 96, "memory for replies of targets until their callers have them"
    )


@attrs.frozen
class Policy:
    """Section ``[policy]``: hedges, retries, queue shares, address lifetime and records."""

    hedge_budget: float = ini.key(
        ini.number_up_to(1.0), 0.05, "hedges allowed per part; 0 disables them"
    )
    hedge_percentile: float = ini.key(
        ini.number_up_to(100.0), 95.0, "percentile of latency after which a part is hedged"
    )
    retry_budget: float = ini.key(ini.number_up_to(1.0), 0.1, "retries allowed per part")
    caller_share: float = ini.key(
        ini.number_up_to(1.0), 0.5, "largest share of a queue for one caller"
    )
    address_lifetime_ms: int = ini.key(
        ini.integer(100, 3600000), 10000, "lifetime of entry addresses"
    )
    record_retention_s: int = ini.key(
        ini.integer(60, 30 * 86400), 86400, "retention of idempotency records"
    )
    record_buckets: int = ini.key(
        ini.integer(1, 1024), 16, "buckets of records; equal on all instances"
    )
    record_write_interval_ms: int = ini.key(
        ini.integer(0, 10000), 40, "interval between writes of a bucket"
    )


@attrs.frozen
class Metrics:
    """Section ``[metrics]``: destination of counters and timers."""

    statsd_host: str = ini.key(ini.non_empty_text, "127.0.0.1", "IP address of the statsd server")
    statsd_port: int = ini.key(ini.integer(0, 65535), 0, "UDP port of the statsd server; 0: none")
    prefix: str = ini.key(ini.non_empty_text, "turmericlug", "prefix of every metric")


@attrs.frozen
class Settings:
    """All settings of a daemon, by section."""

    instance: Instance
    platform: Platform
    membership: Membership
    limits: Limits
    policy: Policy
    metrics: Metrics


SECTIONS: dict[str, type] = {
    "instance": Instance,
    "platform": Platform,
    "membership": Membership,
    "limits": Limits,
    "policy": Policy,
    "metrics": Metrics,
}


def load(path: pathlib.Path) -> Settings:
    """
    Read and validate a settings file.

    :param path: the INI file
    :raises SettingsError: with every problem found
    """
    sections = ini.read(path, SECTIONS)
    problems = _check_combinations(sections)
    if problems:
        raise SettingsError(problems)
    return Settings(**sections)


def _check_combinations(sections: dict[str, typing.Any]) -> list[str]:
    problems = []
    instance = sections["instance"]
    ports = [instance.callers_port, instance.peers_port, instance.operators_port]
    if len(set(ports)) != len(ports):
        problems.append("[instance]: callers_port, peers_port and operators_port must differ")
    limits = sections["limits"]
    if limits.default_deadline_ms > limits.max_deadline_ms:
        problems.append("[limits] default_deadline_ms: must not be above max_deadline_ms")
    membership = sections["membership"]
    if membership.probe_timeout_ms >= membership.freshness_ms:
        problems.append("[membership] probe_timeout_ms: must be below freshness_ms")
    return problems
