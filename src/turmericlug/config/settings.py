"""Settings of one daemon: read from INI, checked as a whole, every error in one report."""

from __future__ import annotations

import pathlib
import typing

import attrs

from turmericlug.config import ini

SettingsError = ini.SettingsError

_PORT = ini.integer(1, 65535)


@attrs.frozen
class Instance:
    """Section ``[instance]``: who this daemon is and where it listens."""

    name: str = ini.key(ini.non_empty_text, None, "unique name of this instance")
    data_centre: str = ini.key(ini.non_empty_text, None, "data centre of this instance")
    region: str = ini.key(ini.non_empty_text, None, "region of the data centre")
    host: str = ini.key(ini.non_empty_text, "127.0.0.1", "IP number that all three ports listen on")
    advertised_host: str = ini.key(
        ini.non_empty_text, "", "IP number told to peers and callers; default: host"
    )
    callers_port: int = ini.key(_PORT, None, "port of the callers' HTTP")
    peers_port: int = ini.key(_PORT, None, "port of the protocol between daemons")
    advertised_peers_port: int = ini.key(
        ini.integer(0, 65535), 0, "port told to peers; 0: peers_port"
    )
    operators_port: int = ini.key(_PORT, None, "port of the operators' HTTP")
    cluster_key: str = ini.key(ini.secret, None, "shared secret of all daemons of one cluster")
    operators_token: str = ini.key(ini.secret, None, "bearer token that operators present")


@attrs.frozen
class Platform:
    """Section ``[platform]``: where the platform's services answer."""

    store_url: str = ini.key(ini.base_url, None, "base address of the key-value store")
    store_prefix: str = ini.key(
        ini.non_empty_text, "turmericlug/", "prefix of every key in the store"
    )
    store_timeout_ms: int = ini.key(ini.integer(10, 60000), 1000, "limit of one call to the store")
    instances_url: str = ini.key(ini.base_url, None, "base address of the instance list")
    instances_poll_ms: int = ini.key(ini.integer(50, 60000), 1000, "time between reads of the list")


@attrs.frozen
class Membership:
    """Section ``[membership]``: failure detection between daemons."""

    probe_interval_ms: int = ini.key(ini.integer(20, 10000), 200, "time between two probes")
    probe_timeout_ms: int = ini.key(ini.integer(10, 10000), 150, "wait for a probe's answer")
    suspicion_ms: int = ini.key(ini.integer(50, 60000), 800, "time a suspect has to refute")
    freshness_ms: int = ini.key(
        ini.integer(200, 60000), 3000, "an instance without news for this long steps aside"
    )
    silence_ms: int = ini.key(
        ini.integer(5, 10000), 150, "silence of an owner with open work before its parts move on"
    )


@attrs.frozen
class Limits:
    """Section ``[limits]``: bounds on what callers may ask."""

    max_body_bytes: int = ini.key(ini.integer(256, 1 << 22), 65536, "largest request body")
    max_deadline_ms: int = ini.key(ini.integer(10, 600000), 30000, "longest deadline")
    default_deadline_ms: int = ini.key(ini.integer(10, 600000), 1000, "deadline when none is given")
    max_queries: int = ini.key(ini.integer(1, 100000), 2000, "queries at once on this instance")
    queue_parts: int = ini.key(ini.integer(1, 1000000), 2000, "queued parts per service")


@attrs.frozen
class Policy:
    """Section ``[policy]``: how an owner treats its targets."""

    hedge_budget: float = ini.key(
        ini.number_up_to(1.0), 0.05, "hedges allowed per part, 0 turns them off"
    )
    hedge_percentile: float = ini.key(ini.number_up_to(100.0), 95.0, "age of a part that is hedged")
    retry_budget: float = ini.key(ini.number_up_to(1.0), 0.1, "retries allowed per part")
    caller_share: float = ini.key(
        ini.number_up_to(1.0), 0.5, "largest share of a queue for one caller"
    )
    address_lifetime_ms: int = ini.key(
        ini.integer(100, 3600000), 10000, "lifetime of entry addresses"
    )
    record_retention_s: int = ini.key(
        ini.integer(60, 30 * 86400), 86400, "life of idempotency records"
    )
    record_buckets: int = ini.key(
        ini.integer(1, 1024), 16, "buckets of records; the same everywhere"
    )
    record_write_interval_ms: int = ini.key(
        ini.integer(0, 10000), 40, "time between a bucket's writes"
    )


@attrs.frozen
class Metrics:
    """Section ``[metrics]``: where counters and timers go."""

    statsd_host: str = ini.key(ini.non_empty_text, "127.0.0.1", "IP number of the statsd server")
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
    Read and check a settings file.

    :param path: the INI file
    :raises SettingsError: with every problem found, not only the first
    """
    values = ini.read(path, SECTIONS)
    problems = _cross_checks(values)
    if problems:
        raise SettingsError(problems)
    return Settings(**values)


def _cross_checks(values: dict[str, typing.Any]) -> list[str]:
    problems = []
    instance = values["instance"]
    ports = [instance.callers_port, instance.peers_port, instance.operators_port]
    if len(set(ports)) != len(ports):
        problems.append("[instance]: callers_port, peers_port and operators_port must differ")
    limits = values["limits"]
    if limits.default_deadline_ms > limits.max_deadline_ms:
        problems.append("[limits] default_deadline_ms: is above max_deadline_ms")
    membership = values["membership"]
    if membership.probe_timeout_ms >= membership.freshness_ms:
        problems.append("[membership] probe_timeout_ms: must be below freshness_ms")
    return problems
