"""Scenarios: INI files that say which fleet, which load and which faults."""

from __future__ import annotations

import configparser
import pathlib
import shlex
import typing

import attrs

from turmericlug_lab import profiles

ACTIONS = ("set", "platform", "freeze", "resume", "kill", "start", "roll", "cut", "heal")


class ScenarioError(Exception):
    """A scenario file that can't be used."""


@attrs.frozen
class Load:
    """One class of callers, open loop."""

    name: str
    service: str
    utilisation: float
    """Share of the service's slots that the load would keep busy; above 1 is overload."""
    deadline_ms: int
    callers: int
    caller: str
    retries: int
    """How often a caller without an answer asks again."""
    retry_after_ms: float
    """Pause before asking again; negative: as long as the refusal says."""
    once: bool
    """Whether each request carries an idempotency key."""
    priority: int | None


@attrs.frozen
class Event:
    """A fault or a change at a moment after the warm-up."""

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
    """Whether peers' traffic has the delays between data centres."""
    loads: tuple[Load, ...]
    events: tuple[Event, ...]
    targets: dict[str, typing.Any]
    """Behaviour of all targets, over the profile's."""
    rules: str
    settings: dict[str, dict[str, str]]


def read(path: pathlib.Path) -> Scenario:
    """
    Read a scenario.

    :raises ScenarioError: with the first thing that is wrong
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as stream:
            parser.read_file(stream)
        return _scenario(path.stem, parser)
    except (OSError, configparser.Error, ValueError, KeyError) as error:
        raise ScenarioError(f"{path}: {error}") from error


def _scenario(name: str, parser: configparser.ConfigParser) -> Scenario:
    head = parser["scenario"]
    profile = head["profile"]
    if profile not in profiles.PROFILES:
        raise ValueError(f"profile {profile!r} is none of {', '.join(profiles.PROFILES)}")
    loads = tuple(
        _load(section.removeprefix("load "), parser[section])
        for section in parser.sections()
        if section.startswith("load ")
    )
    if not loads:
        raise ValueError("no section [load NAME]")
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
        daemons=head.getint("daemons", 9),
        duration_s=head.getfloat("duration_s", 8.0),
        warm_up_s=head.getfloat("warm_up_s", 3.0),
        seed=head.getint("seed", 1),
        repeats=head.getint("repeats", 1),
        delayed=head.getboolean("delayed", True),
        loads=loads,
        events=tuple(sorted((_event(raw) for _, raw in events), key=lambda each: each.at_s)),
        targets={key: value_of(raw) for key, raw in targets},
        rules=head.get("rules", ""),
        settings=settings,
    )


def _load(name: str, section: configparser.SectionProxy) -> Load:
    return Load(
        name=name,
        service=section.get("service", name),
        utilisation=section.getfloat("utilisation"),
        deadline_ms=section.getint("deadline_ms", 1000),
        callers=section.getint("callers", 30),
        caller=section.get("caller", name),
        retries=section.getint("retries", 0),
        retry_after_ms=section.getfloat("retry_after_ms", -1.0),
        once=section.getboolean("once", False),
        priority=section.getint("priority", None),
    )


def _event(raw: str) -> Event:
    at_s, action, *arguments = shlex.split(raw)
    if action not in ACTIONS:
        raise ValueError(f"action {action!r} is none of {', '.join(ACTIONS)}")
    return Event(float(at_s), action, tuple(arguments))


def value_of(raw: str) -> typing.Any:
    """Read a plain value: a number, true or false, else the text."""
    if raw in ("true", "false"):
        return raw == "true"
    for kind in (int, float):
        try:
            return kind(raw)
        except ValueError:
            continue
    return raw
