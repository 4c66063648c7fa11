"""Scenarios: INI files that describe a fleet, its load and the faults to inject."""

from __future__ import annotations

import configparser
import pathlib
import shlex
import typing

import attrs

from turmericlug_lab import profiles

EVENT_ACTIONS = ("set", "platform", "freeze", "resume", "kill", "start", "roll", "cut", "heal")


class ScenarioError(Exception):
    """A scenario file that can't be used."""


@attrs.frozen
class Load:
    """The requests of one group of callers, in an open loop."""

    name: str
    service: str
    utilisation: float
    """Share of the service's slots that the load keeps busy; above 1 is overload."""
    deadline_ms: int
    callers: int
    caller: str
    retries: int
    """How often a caller retries a request that was refused or failed."""
    retry_after_ms: float
    """Delay before a retry; negative: the delay that the refusal asks for."""
    has_idempotency_key: bool
    """Whether each request carries an idempotency key."""
    priority: int | None


@attrs.frozen
class Event:
    """A fault or change, ``at_s`` seconds after the warm-up."""

    at_s: float
    action: str
    arguments: tuple[str, ...]


@attrs.frozen
class Scenario:
    """One experiment."""

    name: str
    profile: str
    daemons: int
    duration_s: float
    warm_up_s: float
    seed: int
    repeats: int
    delayed: bool
    """Whether traffic between peers has the profile's delay between data centres."""
    loads: tuple[Load, ...]
    events: tuple[Event, ...]
    targets: dict[str, typing.Any]
    """Behaviour of all targets; overrides the profile's."""
    rules: str
    settings: dict[str, dict[str, str]]


def read(path: pathlib.Path) -> Scenario:
    """
    Read a scenario.

    :raises ScenarioError: the file can't be read or isn't a valid scenario; names the first fault
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as stream:
            parser.read_file(stream)
        return _parse_scenario(path.stem, parser)
    except (OSError, configparser.Error, ValueError, KeyError) as error:
        raise ScenarioError(f"{path}: {error}") from error


def _parse_scenario(name: str, parser: configparser.ConfigParser) -> Scenario:
    scenario_section = parser["scenario"]
    profile = scenario_section["profile"]
    if profile not in profiles.PROFILES:
        raise ValueError(
            f"unknown profile {profile!r}, expected one of {', '.join(profiles.PROFILES)}"
        )
    loads = tuple(
        load
        for section in parser.sections()
        if section.startswith("load ")
        for load in _by_organisation(
            _parse_load(section.removeprefix("load "), parser[section]), parser[section]
        )
    )
    if not loads:
        raise ValueError("a scenario needs at least one section [load NAME]")
    settings = {
        section.removeprefix("settings "): dict(parser[section])
        for section in parser.sections()
        if section.startswith("settings ")
    }
    events = parser["events"].items() if parser.has_section("events") else ()
    targets = parser["targets"].items() if parser.has_section("targets") else ()
    return Scenario(
        name=name,
        profile=profile,
        daemons=scenario_section.getint("daemons", 9),
        duration_s=scenario_section.getfloat("duration_s", 8.0),
        warm_up_s=scenario_section.getfloat("warm_up_s", 3.0),
        seed=scenario_section.getint("seed", 1),
        repeats=scenario_section.getint("repeats", 1),
        delayed=scenario_section.getboolean("delayed", True),
        loads=loads,
        events=tuple(
            sorted((_parse_event(raw) for _, raw in events), key=lambda event: event.at_s)
        ),
        targets={key: parse_value(raw) for key, raw in targets},
        rules=scenario_section.get("rules", ""),
        settings=settings,
    )


def _parse_load(name: str, section: configparser.SectionProxy) -> Load:
    return Load(
        name=name,
        service=section.get("service", name),
        utilisation=section.getfloat("utilisation"),
        deadline_ms=section.getint("deadline_ms", 1000),
        callers=section.getint("callers", 30),
        caller=section.get("caller", name),
        retries=section.getint("retries", 0),
        retry_after_ms=section.getfloat("retry_after_ms", -1.0),
        has_idempotency_key=section.getboolean("once", False),
        priority=section.getint("priority", None),
    )


def _by_organisation(load: Load, section: configparser.SectionProxy) -> list[Load]:
    """
    Divide a load among organisations whose shares follow Zipf's law; the first has the largest.

    Each is a load of its own with its own caller, so that the report tells them apart. The
    organisation ``surge``, if given, sends ``surge_factor`` times its share on top of the others.
    """
    count = section.getint("organisations", 0)
    if not count:
        return [load]
    weights = [1 / number ** section.getfloat("skew", 1.0) for number in range(1, count + 1)]
    surge, surge_factor = section.getint("surge", 0), section.getfloat("surge_factor", 12.0)
    if not 0 <= surge <= count:
        raise ValueError(f"surge must be an organisation from 1 to {count}")
    return [
        attrs.evolve(
            load,
            name=f"{load.name}-{number}",
            caller=f"{load.caller}-{number}",
            utilisation=load.utilisation
            * weight
            / sum(weights)
            * (surge_factor if number == surge else 1.0),
        )
        for number, weight in enumerate(weights, 1)
    ]


def _parse_event(raw: str) -> Event:
    at_s, action, *arguments = shlex.split(raw)
    if action not in EVENT_ACTIONS:
        raise ValueError(
            f"unknown event action {action!r}, expected one of {', '.join(EVENT_ACTIONS)}"
        )
    return Event(float(at_s), action, tuple(arguments))


def parse_value(raw: str) -> typing.Any:
    """Parse a value as a boolean (true or false) or a number; other values stay text."""
    if raw in ("true", "false"):
        return raw == "true"
    for number_type in (int, float):
        try:
            return number_type(raw)
        except ValueError:
            continue
    return raw
