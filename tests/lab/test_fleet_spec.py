"""Ports for the processes of a fleet."""

from __future__ import annotations

import asyncio
import socket

import pytest

from turmericlug_lab import fleet_spec


def test_no_port_is_given_out_twice(monkeypatch):
    """
    A fleet asks for the ports of its instances one instance at a time. Drawn anew each time, two of
    them had the same port in one start of some thirty: the second instance could not listen, and
    the fleet never became ready.
    """
    monkeypatch.setattr(fleet_spec, "_PORTS", (18000, 18100))
    given = [port for _ in range(6) for port in fleet_spec.reserve_ports(10)]
    assert len(set(given)) == 60


def test_a_port_given_out_is_kept_from_others_until_it_is_used():
    """Another suite that looks for free ports at the same time must not find this one."""
    (port,) = fleet_spec.reserve_ports(1)
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("", port))

    async def listen():
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", port)
        server.close()

    asyncio.run(listen())
