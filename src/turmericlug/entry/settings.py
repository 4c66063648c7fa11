"""Settings of an entry instance: an INI file, validated as a whole before the start."""

from __future__ import annotations

import pathlib
import typing

import attrs

from turmericlug.config import ini


def _parse_address(raw: str) -> tuple[str, int]:
    host, colon, port = raw.rpartition(":")
    if not (host and colon and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"{raw!r} is not HOST:PORT")
    return host, int(port)


_parse_amount = ini.number_up_to(1e12)


def _parse_regions(raw: str) -> dict[str, str]:
    pairs = [item.strip().partition("=") for item in raw.split(",") if item.strip()]
    if not pairs or not all(name and region for name, _, region in pairs):
        raise ValueError("must list DATA_CENTRE=REGION, separated by commas")
    return {name: region for name, _, region in pairs}


def _optional(parse: ini.Parser, default: typing.Any, doc: str) -> typing.Any:
    """Declare a key whose default applies where the platform has no value and renders nothing."""
    return ini.key(parse, default, doc, empty_is_default=True)


MAX_DESCRIPTORS = 1 << 20
"""More are not used; platforms state an unlimited number by numbers of up to 64 bits."""
_UNLIMITED = ("unlimited", "infinity", "-1")
_parse_descriptor_count = ini.integer(256, (1 << 64) - 1)


def _parse_descriptors(raw: str) -> int:
    if raw.lower() in _UNLIMITED:
        return MAX_DESCRIPTORS
    return min(_parse_descriptor_count(raw), MAX_DESCRIPTORS)


@attrs.frozen
class Entry:
    """Section ``[entry]``: the instance's identity and the addresses it listens at."""

    has_end: int = ini.key(
        ini.integer(0, 1),
        0,
        "1: the section [end] follows all others, and a file without it is cut",
    )
    name: str = ini.key(ini.non_empty_text, None, "unique name of this instance")
    data_centre: str = ini.key(ini.non_empty_text, None, "data centre of this instance")
    region: str = ini.key(ini.non_empty_text, None, "region of the data centre")
    data_centres: dict[str, str] = ini.key(_parse_regions, None, "region of each data centre")
    callers_address: tuple[str, int] = ini.key(_parse_address, None, "where callers connect")
    ready_address: tuple[str, int] = ini.key(
        _parse_address, None, "where the readiness check is served"
    )
    directory_address: tuple[str, int] = ini.key(
        _parse_address, None, "where the directory of addresses is served"
    )
    peers_address: tuple[str, int] = ini.key(_parse_address, None, "where other instances connect")
    metrics_address: tuple[str, int] = ini.key(
        _parse_address, None, "where metrics and status are served"
    )


@attrs.frozen
class Source:
    """Section ``[source]``: the store of the configuration and the replicas."""

    address: tuple[str, int] = ini.key(_parse_address, None, "the store's address")


@attrs.frozen
class Limits:
    """Section ``[limits]``: resource limits of the process."""

    descriptors: int = _optional(_parse_descriptors, 4096, "file descriptors")


@attrs.frozen
class Capacity:
    """Section ``[capacity]``: resources of the machine; 0: unknown."""

    cpu_share: float = _optional(_parse_amount, 0.0, "share of a core")
    cpu_cores: float = _optional(_parse_amount, 0.0, "relative speed of the core")
    memory_mb: float = _optional(_parse_amount, 0.0, "memory")
    link_mbps: float = _optional(_parse_amount, 0.0, "bandwidth of the link")

    @property
    def cores(self) -> float:
        """The usable part of a core of the usual speed."""
        return self.cpu_share * self.cpu_cores


@attrs.frozen
class Policy:
    """Section ``[policy]``: limits that apply to all instances together."""

    extra_ratio: float = _optional(ini.number_up_to(10.0), 0.2, "hedges and retries per request")
    extra_slack: float = _optional(
        ini.number_up_to(1e6), 50.0, "further hedges and retries in each window"
    )
    extra_window_s: float = _optional(ini.number_up_to(3600.0), 10.0, "length of a window")
    grace_s: float = _optional(
        ini.number_up_to(3600.0), 6.0, "time from SIGTERM to forced termination"
    )
    quarantine: int = _optional(ini.integer(0, 1), 1, "1: withhold requests that crash replicas")
    overload_control: int = _optional(
        ini.integer(0, 1), 0, "1: control overload also where no organisations are configured"
    )


@attrs.frozen
class Quota:
    """
    Section ``[quota]``: how far organisations may exceed their rates and bursts.

    In any window, no more than (rate x window + burst) x (1 + overage) + slack requests of one
    organisation run.
    """

    window_s: float = _optional(ini.number_up_to(3600.0), 0.0, "length of a window; 0: no quotas")
    overage: float = _optional(ini.number_up_to(10.0), 0.0, "share of a window's quota")
    slack: float = _optional(ini.number_up_to(1e6), 0.0, "further requests in a window")


@attrs.frozen
class End:
    """Section ``[end]``: the last of a file that is written by a program."""

    complete: int = ini.key(ini.integer(0, 1), 0, "1: the whole file has been written")


@attrs.frozen
class Settings:
    """All settings of an entry instance, by section."""

    entry: Entry
    source: Source
    limits: Limits
    capacity: Capacity
    policy: Policy
    quota: Quota = attrs.field(factory=Quota)
    end: End = attrs.field(factory=End)


SECTIONS: dict[str, type] = {
    "entry": Entry,
    "source": Source,
    "limits": Limits,
    "capacity": Capacity,
    "policy": Policy,
    "quota": Quota,
    "end": End,
}


def load(path: pathlib.Path) -> Settings:
    """
    Load and validate a settings file.

    :raises SettingsError: with every problem found, not only the first
    """
    values: dict[str, typing.Any] = ini.read(path, SECTIONS)
    settings = Settings(**values)
    if settings.entry.has_end and not settings.end.complete:
        raise ini.SettingsError(["[end] complete: missing (the file is cut off)"])
    return settings
