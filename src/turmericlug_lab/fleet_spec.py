"""What a fleet of stand-ins and daemons consists of, and free ports for it."""

from __future__ import annotations

import pathlib
import random
import socket
import typing

import attrs

_PORTS = (10000, 32000)


@attrs.frozen
class ServiceSpec:
    """A service of the stand-in fleet, with the limits of each replica."""

    name: str
    replicas: int
    slots: int
    connections: int
    connect_ms: float
    behaviour: dict[str, typing.Any] = attrs.field(factory=dict)


@attrs.frozen
class FleetSpec:
    """What to start."""

    services: tuple[ServiceSpec, ...]
    groups: dict[str, list[str]]
    daemons: int = 3
    data_centres: tuple[str, ...] = ("dc1", "dc2", "dc3")
    delay_ms: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """One-way delay between data centres; peers' traffic then goes through the proxy."""
    proxied: bool = False
    target_processes: int = 1
    journal: bool = True
    seed: int = 1
    settings: dict[str, dict[str, str]] = attrs.field(factory=dict)
    """Further settings of every daemon, by section."""


@attrs.frozen
class Target:
    """A running stand-in replica."""

    name: str
    service: str
    port: int
    data_centre: str
    process: str


@attrs.define
class Daemon:
    """A daemon and where it listens."""

    name: str
    host: str
    data_centre: str
    callers_port: int
    peers_port: int
    operators_port: int
    advertised_peers_port: int
    settings_file: pathlib.Path


class FleetError(Exception):
    """A process did not come up, or a call to it failed."""


_reserved: list[socket.socket] = []
"""Sockets that keep the ports given out, until this process ends."""


def reserve_ports(count: int) -> list[int]:
    """
    Find ports that are free on loopback and keep them for processes of this one's fleets.

    Below the range that the system takes source ports from: one of those may become the source of
    somebody's connection before the process that it was meant for listens there. Each port stays
    bound here, not listening: nobody who looks for a free one is given it as well, while a server
    that allows addresses to be used again, as the event loops do by default, can listen on it.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(*_PORTS)
        probe = socket.socket()
        try:
            probe.bind(("", port))
        except OSError:
            probe.close()
            continue
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reserved.append(probe)
        ports.append(port)
    return ports
