"""Settings of an entry instance: INI, checked as a whole before the start."""

from __future__ import annotations

import pathlib
import typing

import attrs

from turmericlug.config import ini


def _address(raw: str) -> tuple[str, int]:
    host, colon, port = raw.rpartition(":")
    if not (host and colon and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"{raw!r} is not HOST:PORT")
    return host, int(port)


def _regions(raw: str) -> dict[str, str]:
    pairs = [item.strip().partition("=") for item in raw.split(",") if item.strip()]
    if not pairs or not all(name and region for name, _, region in pairs):
        raise ValueError("must list DATA_CENTRE=REGION, separated by commas")
    return {name: region for name, _, region in pairs}


@attrs.frozen
class Entry:
    """Section ``[entry]``: who this instance is and where it listens."""

    name: str = ini.key(ini.non_empty_text, None, "unique name of this instance")
    data_centre: str = ini.key(ini.non_empty_text, None, "data centre of this instance")
    region: str = ini.key(ini.non_empty_text, None, "region of the data centre")
    data_centres: dict[str, str] = ini.key(_regions, None, "region of each data centre")
    callers_address: tuple[str, int] = ini.key(_address, None, "where callers connect")
    ready_address: tuple[str, int] = ini.key(_address, None, "where readiness is asked")
    directory_address: tuple[str, int] = ini.key(_address, None, "where addresses are asked")
    peers_address: tuple[str, int] = ini.key(_address, None, "where other instances connect")
    metrics_address: tuple[str, int] = ini.key(_address, None, "where metrics are read")


@attrs.frozen
class Source:
    """Section ``[source]``: where configuration and replicas are kept."""

    address: tuple[str, int] = ini.key(_address, None, "the store's address")


@attrs.frozen
class Limits:
    """Section ``[limits]``: what the process may use."""

    descriptors: int = ini.key(ini.integer(256, 1 << 20), 4096, "file descriptors")


@attrs.frozen
class Policy:
    """Section ``[policy]``: bounds that all instances share."""

    extra_ratio: float = ini.key(ini.number_up_to(10.0), 0.2, "extra sends for each request")
    extra_slack: float = ini.key(ini.number_up_to(1e6), 50.0, "extra sends in a window besides")
    extra_window_s: float = ini.key(ini.number_up_to(3600.0), 10.0, "length of the window")
    grace_s: float = ini.key(ini.number_up_to(3600.0), 6.0, "time from SIGTERM to the forced end")
    quarantine: int = ini.key(
        ini.integer(0, 1), 1, "1: requests under which replicas ended are held back"
    )


@attrs.frozen
class Settings:
    """All settings of an entry instance, by section."""

    entry: Entry
    source: Source
    limits: Limits
    policy: Policy


SECTIONS: dict[str, type] = {
    "entry": Entry,
    "source": Source,
    "limits": Limits,
    "policy": Policy,
}


def load(path: pathlib.Path) -> Settings:
    """
    Read and check a settings file.

    :raises SettingsError: with every problem found, not only the first
    """
    values: dict[str, typing.Any] = ini.read(path, SECTIONS)
    return Settings(**values)
