"""Specification of a fleet of stand-ins and daemons, and reservation of ports for it."""

from __future__ import annotations

import pathlib
import random
import socket
import typing

import attrs

_PORT_RANGE = (10000, 32000)


@attrs.frozen
class ServiceSpec:
    """A service of the fleet and the limits of each of its replicas."""

    name: str
    replicas: int
    slots: int
    connections: int
    connect_ms: float
    behaviour: dict[str, typing.Any] = attrs.field(factory=dict)


@attrs.frozen
class FleetSpec:
    """The services and daemons of a fleet, and how they are connected and configured."""

    services: tuple[ServiceSpec, ...]
    groups: dict[str, list[str]]
    daemons: int = 3
    data_centres: tuple[str, ...] = ("dc1", "dc2", "dc3")
    delay_ms: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """One-way delay by source and destination data centre; any entry implies ``proxied``."""
    proxied: bool = False
    """Route the daemons' traffic to peers and to the platform through the proxy."""
    target_processes: int = 1
    journal: bool = True
    seed: int = 1
    settings: dict[str, dict[str, str]] = attrs.field(factory=dict)
    """Additional settings of every daemon, by section."""


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
    """A daemon, its listening ports and its settings file."""

    name: str
    host: str
    data_centre: str
    callers_port: int
    peers_port: int
    operators_port: int
    advertised_peers_port: int
    settings_file: pathlib.Path


class FleetError(Exception):
    """A process did not start or stop in time, or a call to it failed."""


_reserved_sockets: list[socket.socket] = []
"""Bound sockets that hold the reserved ports until this process ends."""


def reserve_ports(count: int) -> list[int]:
    """
    Reserve free loopback ports for the fleets of this process.

    The ports lie below the ephemeral range: a port from it could become the source port of another
    connection before the intended process listens on it. Each port stays bound here without
    listening, so that no other search for a free port finds it, while a server that sets
    ``SO_REUSEADDR``, as asyncio does by default, can still listen on it.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(*_PORT_RANGE)
        reserved_socket = socket.socket()
        try:
            reserved_socket.bind(("", port))
        except OSError:
            reserved_socket.close()
            continue
        reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reserved_sockets.append(reserved_socket)
        ports.append(port)
    return ports


def release_ports() -> None:
    """Release all ports that this process has reserved, once their fleets have ended."""
    while _reserved_sockets:
        _reserved_sockets.pop().close()
