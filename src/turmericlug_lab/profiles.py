"""The users' systems at their specified sizes, as fleets of stand-ins."""

from __future__ import annotations

import attrs

from turmericlug_lab import fleet_spec

MEDIAN_SERVICE_MS = 25.0
SERVICE_TIME_SIGMA = 0.3


@attrs.frozen
class Profile:
    """Services, data centres and network delay of one user's system."""

    services: tuple[fleet_spec.ServiceSpec, ...]
    groups: dict[str, list[str]]
    data_centres: tuple[str, ...]
    delay_ms: float
    """One-way delay between two data centres."""


def _group_services(group: str, size: int) -> tuple[fleet_spec.ServiceSpec, ...]:
    return tuple(_service(f"{group}-{index:02d}", 2, 2, 25, 6.0) for index in range(size))


def _service(
    name: str, replicas: int, slots: int, connections: int, connect_ms: float
) -> fleet_spec.ServiceSpec:
    behaviour = {"service_ms": MEDIAN_SERVICE_MS, "spread": SERVICE_TIME_SIGMA}
    return fleet_spec.ServiceSpec(name, replicas, slots, connections, connect_ms, behaviour)


def _profile(
    group_sizes: dict[str, int],
    ungrouped_services: tuple[fleet_spec.ServiceSpec, ...],
    data_centres: tuple[str, ...],
    delay_ms: float,
) -> Profile:
    services = tuple(
        service for group, size in group_sizes.items() for service in _group_services(group, size)
    )
    groups = {
        group: [f"{group}-{index:02d}" for index in range(size)]
        for group, size in group_sizes.items()
    }
    return Profile(services + ungrouped_services, groups, data_centres, delay_ms)


PROFILES = {
    "pluvia": _profile(
        {"devis": 20, "chantier": 30},
        (_service("permis", 4, 6, 100, 1.0), _service("entretien", 3, 6, 100, 1.0)),
        ("montreal", "quebec", "saguenay"),
        0.5,
    ),
    "regie": _profile(
        {"fitting-room": 20, "nurse-portal": 30},
        (_service("parents-desk", 3, 4, 45, 1.0), _service("workshop", 3, 4, 45, 1.0)),
        ("finistere", "morbihan", "ille-et-vilaine"),
        1.0,
    ),
}


def saturation_rate_per_s(profile: Profile, group: str) -> float:
    """Return the query rate that saturates the smallest service of a group, or a single service."""
    service_names = profile.groups.get(group, [group])
    services = [service for service in profile.services if service.name in service_names]
    # service_ms sets the median of the log-normal distribution; its mean is higher.
    mean_s = MEDIAN_SERVICE_MS / 1000 * 2.718281828 ** (SERVICE_TIME_SIGMA**2 / 2)
    return min(service.replicas * service.slots for service in services) / mean_s
