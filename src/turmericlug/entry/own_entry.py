"""What an instance knows of itself from its settings: its place, its capacity and its entry."""

from __future__ import annotations

from turmericlug.direct import placement
from turmericlug.entry import settings as settings_module
from turmericlug.entry import source
from turmericlug.policy import capacity as capacity_module


def place(settings: settings_module.Settings) -> placement.Place:
    """Return where the instance runs."""
    entry = settings.entry
    return placement.Place(entry.name, entry.data_centre, entry.data_centres)


def capacity(settings: settings_module.Settings) -> float:
    """Return the capacity of the machine."""
    available = settings.capacity
    return capacity_module.measure(
        capacity_module.Resources(
            available.cores, available.memory_mb, available.link_mbps, settings.limits.descriptors
        )
    )


def make(settings: settings_module.Settings) -> source.EntryInstance:
    """Return the entry to register."""
    entry = settings.entry
    host, port = entry.callers_address
    peers_host, peers_port = entry.peers_address
    return source.EntryInstance(
        entry.name,
        f"{host}:{port}",
        entry.data_centre,
        entry.region,
        f"{peers_host}:{peers_port}",
        capacity(settings),
    )
