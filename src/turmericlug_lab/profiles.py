"""The users' systems at the sizes of the brief, as fleets of stand-ins."""

from __future__ import annotations

import attrs

from turmericlug_lab import fleet_spec

MEDIAN_SERVICE_MS = 25.0
SERVICE_TIME_SIGMA = 0.3


@attrs.frozen
class Profile:
    """Services and delays of one user."""

    services: tuple[fleet_spec.ServiceSpec, ...]
    groups: dict[str, list[str]]
    data_centres: tuple[str, ...]
    delay_ms: float
    """One-way delay between two data centres."""


def _fan(name: str, count: int) -> tuple[fleet_spec.ServiceSpec, ...]:
    return tuple(_service(f"{name}-{number:02d}", 2, 2, 25, 6.0) for number in range(count))


def _service(
    name: str, replicas: int, slots: int, connections: int, connect_ms: float
) -> fleet_spec.ServiceSpec:
    behaviour = {"service_ms": MEDIAN_SERVICE_MS, "spread": SERVICE_TIME_SIGMA}
    return fleet_spec.ServiceSpec(name, replicas, slots, connections, connect_ms, behaviour)


def _profile(
    fans: dict[str, int],
    singles: tuple[fleet_spec.ServiceSpec, ...],
    data_centres: tuple[str, ...],
    delay_ms: float,
) -> Profile:
    services = tuple(service for name, count in fans.items() for service in _fan(name, count))
    groups = {
        name: [f"{name}-{number:02d}" for number in range(count)] for name, count in fans.items()
    }
    return Profile(services + singles, groups, data_centres, delay_ms)


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
    """Return how many queries a second keep every slot of a group's busiest service at work."""
    names = profile.groups.get(group, [group])
    services = [service for service in profile.services if service.name in names]
    # The log-normal's mean lies above its median, which is what service_ms sets.
    mean_s = MEDIAN_SERVICE_MS / 1000 * 2.718281828 ** (SERVICE_TIME_SIGMA**2 / 2)
    return min(service.replicas * service.slots for service in services) / mean_s
