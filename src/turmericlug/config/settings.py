"""Settings of one daemon: read from INI, checked as a whole, every error in one report."""

from __future__ import annotations

import configparser
import pathlib
import typing
from collections import abc

import attrs

Parse = abc.Callable[[str], typing.Any]


class SettingsError(Exception):
    """The settings file can't be used; ``problems`` lists every reason."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


def _text(raw: str) -> str:
    if not raw:
        raise ValueError("must not be empty")
    return raw


def _whole(low: int, high: int) -> Parse:
    def parse(raw: str) -> int:
        try:
            value = int(raw)
        except ValueError:
            raise ValueError(f"{raw!r} is not a whole number") from None
        if not low <= value <= high:
            raise ValueError(f"{value} is outside {low}..{high}")
        return value

    return parse


def _ratio(high: float) -> Parse:
    def parse(raw: str) -> float:
        try:
            value = float(raw)
        except ValueError:
            raise ValueError(f"{raw!r} is not a number") from None
        if not 0.0 <= value <= high:
            raise ValueError(f"{value} is outside 0..{high}")
        return value

    return parse


def _secret(raw: str) -> str:
    if len(raw) < 16:
        raise ValueError("must have at least 16 characters")
    return raw


def _url(raw: str) -> str:
    if not raw.startswith(("http://", "https://")):
        raise ValueError(f"{raw!r} is not an http:// or https:// address")
    return raw.rstrip("/")


def _key(parse: Parse, default: typing.Any, doc: str) -> typing.Any:
    """Declare one key: how it is parsed, its default (``None``: required), what it is for."""
    return attrs.field(default=default, metadata={"parse": parse, "doc": doc})


_PORT = _whole(1, 65535)


@attrs.frozen
class Instance:
    """Section ``[instance]``: who this daemon is and where it listens."""

    name: str = _key(_text, None, "unique name of this instance")
    data_centre: str = _key(_text, None, "data centre of this instance")
    region: str = _key(_text, None, "region of the data centre")
    host: str = _key(_text, "127.0.0.1", "IP number that all three ports listen on")
    advertised_host: str = _key(_text, "", "IP number told to peers and callers; default: host")
    callers_port: int = _key(_PORT, None, "port of the callers' HTTP")
    peers_port: int = _key(_PORT, None, "port of the protocol between daemons")
    advertised_peers_port: int = _key(_whole(0, 65535), 0, "port told to peers; 0: peers_port")
    operators_port: int = _key(_PORT, None, "port of the operators' HTTP")
    cluster_key: str = _key(_secret, None, "shared secret of all daemons of one cluster")
    operators_token: str = _key(_secret, None, "bearer token that operators present")


@attrs.frozen
class Platform:
    """Section ``[platform]``: where the platform's services answer."""

    store_url: str = _key(_url, None, "base address of the key-value store")
    store_prefix: str = _key(_text, "turmericlug/", "prefix of every key in the store")
    store_timeout_ms: int = _key(_whole(10, 60000), 1000, "limit of one call to the store")
    instances_url: str = _key(_url, None, "base address of the instance list")
    instances_poll_ms: int = _key(_whole(50, 60000), 1000, "time between reads of the list")


@attrs.frozen
class Membership:
    """Section ``[membership]``: failure detection between daemons."""

    probe_interval_ms: int = _key(_whole(20, 10000), 200, "time between two probes")
    probe_timeout_ms: int = _key(_whole(10, 10000), 150, "wait for a probe's answer")
    suspicion_ms: int = _key(_whole(50, 60000), 800, "time a suspect has to refute")
    freshness_ms: int = _key(
        _whole(200, 60000), 3000, "an instance without news for this long steps aside"
    )
    silence_ms: int = _key(
        _whole(5, 10000), 150, "silence of an owner with open work before its parts move on"
    )


@attrs.frozen
class Limits:
    """Section ``[limits]``: bounds on what callers may ask."""

    max_body_bytes: int = _key(_whole(256, 1 << 22), 65536, "largest request body")
    max_deadline_ms: int = _key(_whole(10, 600000), 30000, "longest deadline")
    default_deadline_ms: int = _key(_whole(10, 600000), 1000, "deadline when none is given")
    max_queries: int = _key(_whole(1, 100000), 2000, "queries at once on this instance")
    queue_parts: int = _key(_whole(1, 1000000), 2000, "queued parts per service")


@attrs.frozen
class Policy:
    """Section ``[policy]``: how an owner treats its targets."""

    hedge_budget: float = _key(_ratio(1.0), 0.05, "hedges allowed per part, 0 turns them off")
    hedge_percentile: float = _key(_ratio(100.0), 95.0, "age of a part that is hedged")
    retry_budget: float = _key(_ratio(1.0), 0.1, "retries allowed per part")
    caller_share: float = _key(_ratio(1.0), 0.5, "largest share of a queue for one caller")
    address_lifetime_ms: int = _key(_whole(100, 3600000), 10000, "lifetime of entry addresses")
    record_retention_s: int = _key(_whole(60, 30 * 86400), 86400, "life of idempotency records")
    record_buckets: int = _key(_whole(1, 1024), 16, "buckets of records; the same everywhere")
    record_write_interval_ms: int = _key(_whole(0, 10000), 40, "time between a bucket's writes")


@attrs.frozen
class Metrics:
    """Section ``[metrics]``: where counters and timers go."""

    statsd_host: str = _key(_text, "127.0.0.1", "IP number of the statsd server")
    statsd_port: int = _key(_whole(0, 65535), 0, "UDP port of the statsd server; 0: none")
    prefix: str = _key(_text, "turmericlug", "prefix of every metric")


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
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as stream:
            parser.read_file(stream)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    problems = [f"[{name}]: unknown section" for name in parser.sections() if name not in SECTIONS]
    values = {name: _section(parser, name, cls, problems) for name, cls in SECTIONS.items()}
    if not problems:
        problems += _cross_checks(values)
    if problems:
        raise SettingsError(problems)
    return Settings(**values)


def _section(
    parser: configparser.ConfigParser, name: str, cls: type, problems: list[str]
) -> typing.Any:
    given = dict(parser[name]) if parser.has_section(name) else {}
    fields = {field.name: field for field in attrs.fields(cls)}
    problems += [f"[{name}] {key}: unknown key" for key in given if key not in fields]
    values = {}
    for key, field in fields.items():
        if key not in given:
            if field.default is None:
                problems.append(f"[{name}] {key}: missing ({field.metadata['doc']})")
            continue
        try:
            values[key] = field.metadata["parse"](given[key])
        except ValueError as error:
            problems.append(f"[{name}] {key}: {error}")
    return cls(**values) if not problems else None


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
