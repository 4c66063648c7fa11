"""
Write a random test day with events of any kind for a deployment, for the users' benchmark.

``python deploy/own_days.py SITE.toml SEED > day.toml``, then ``fleetbench run SITE.toml day.toml``.
The random days that fleetbench itself draws use only the events that a site lists. These days use
all kinds that the site's contracts allow, sometimes one of them twice, at any time, with or without
a final fault.
"""

from __future__ import annotations

import pathlib
import random
import sys
import tomllib
import typing
from collections import abc

TomlTable = dict[str, typing.Any]
DrawEvent = abc.Callable[[random.Random], TomlTable]

MIN_EVENTS, MAX_EVENTS = 5, 9
"""Events of a day: enough to overlap within 26 s, few enough that the deployment still serves."""
REPEAT_PROBABILITY = 0.4
FINAL_FAULT_PROBABILITY = 0.4
EARLIEST_START_S, LATEST_START_BEFORE_END_S = 0.5, 8.0
FINAL_FAULTS = (
    {"kind": "power_off_all", "down_s": 0.5},
    {"kind": "kill_all", "down_s": 0.3},
    {"kind": "kill_all", "how": "timed", "down_s": 0.3},
)
KINDS_BY_CONTRACT = {
    "health": ("srv_flap", "srv_lying_health", "idle_race", "srv_cut"),
    "places": ("evacuate", "zone_loss", "zone_cut", "cold_return"),
}
"""Event kinds that need a contract: a deployment without it can't run them."""


def _kind(kind: str, variants: tuple[str, ...] = (), **fields: typing.Any) -> DrawEvent:
    """Return a function that draws an event of a kind; a pair of numbers is a range."""

    def draw(rng: random.Random) -> TomlTable:
        event: TomlTable = {"kind": kind}
        for key, value in fields.items():
            is_range = isinstance(value, tuple)
            event[key] = round(rng.uniform(*value), 2) if is_range else value
        if variants and (variant := rng.choice(variants)):
            event["how"] = variant
        return event

    return draw


PLANNED_EVENTS: tuple[DrawEvent, ...] = (
    _kind("replace_with_reuse", ("", "drain", "dark"), share=0.18),
    _kind("scale_in", ("", "", "spot"), share=0.13),
    _kind("roll_term", ("", "busy"), share=1, gap_s=(0.6, 1.5), x=1),
    _kind("roll_term", ("", "remove"), share=0.4, gap_s=(0.6, 1.5), x=2),
    _kind("config_change", ("route", "weights", "timeout", "idle", "skew")),
    _kind("config_storm", gap_s=(0.3, 1.0), for_s=5.0),
    _kind("big_config", count=400),
    _kind("reshard", x=3.2),
    _kind("release", share=0.5, x=1.0, gap_s=1.0),
    _kind("scale_out", share=0.3, gap_s=1.0),
    _kind("hup", share=0.4, gap_s=0.5),
    _kind("add_nodes", share=0.75),
    _kind("evacuate", ("", "warm"), for_s=(0.5, 9)),
)
FAULTS: tuple[DrawEvent, ...] = (
    _kind("burst", x=(1.3, 2.0), for_s=3.0),
    _kind("retry_abuse", share=(0.1, 0.4), x=2, for_s=5.0),
    _kind("give_up", share=(0.1, 0.4), for_s=5.5),
    _kind("give_up", share=(0.1, 0.4), x=(20, 150), for_s=5.5),
    _kind("shift", share=0.5, for_s=6.0),
    _kind("srv_crash", ("", "across", "dark", "dark across", "gone"), share=0.14, for_s=4.5),
    _kind("srv_slow", ("", "across"), share=0.15, x=(3, 11), for_s=6.0),
    _kind(
        "srv_grey",
        ("errors", "shed", "busy", "hang", "reset", "mute", "slow", "hang across", "mute across"),
        share=0.15,
        x=0.4,
        for_s=6.0,
    ),
    _kind("srv_flap", share=0.15, for_s=6.0),
    _kind("srv_lying_health", ("", "errors", "hang", "reset", "bad"), share=0.2, for_s=6.0),
    _kind("srv_cut", ("", "fronts", "some", "one_way", "reset", "reborn"), share=0.2, for_s=5.0),
    _kind("idle_race", share=0.5, for_s=6.0),
    _kind("answer_lost", ("", "reset"), share=0.5, x=0.04, for_s=5.0),
    _kind("garble", ("", "extra", "extra late", "unframed", "early"), share=0.5, x=0.03, for_s=5.0),
    _kind("node_kill", ("", "power"), share=0.2, for_s=3.0),
    _kind(
        "node_kill", ("leader", "leader race drain", "meet drain"), on="core", count=1, for_s=3.0
    ),
    _kind("node_slow", share=0.2, x=(3, 6), for_s=5.0),
    _kind("node_freeze", ("", "renewed"), share=0.2, for_s=(0.5, 5)),
    _kind("node_cut", ("", "all", "servers"), share=0.2, for_s=5.0),
    _kind("herd_kill", ("", "power"), share=(0.5, 1.0), for_s=2.0),
    _kind("herd_kill", ("", "off", "taken"), on="core", for_s=2.0),
    _kind("after_ack_kill", ("", "kill", "timed"), count=2),
    _kind("reset_conns", share=0.5, x=0.6),
    _kind("clock_step", ("ahead", "back"), share=0.4, x=(2000, 8000), for_s=6.0),
    _kind("core_cut", ("", "reset", "leader race", "all", "one_way", "split"), count=1, for_s=5.0),
    _kind("platform_down", ("silent", "busy", "reset", "silent lapse", "busy lapse"), for_s=4.5),
    _kind(
        "platform_down", ("nodes busy", "nodes reset revoke meet", "nodes"), share=0.35, for_s=8.0
    ),
    _kind("platform_slow", x=(30, 80), for_s=4.5),
    _kind("platform_lost", ("", "late"), x=0.35, for_s=4.5),
    _kind("platform_compact", ("", "drain"), x=(1, 8), for_s=12.0),
    _kind("zone_loss", for_s=(1, 5)),
    _kind("zone_cut", for_s=(1, 5)),
    _kind("cold_return", ("", "dark"), for_s=(1, 4)),
)


def draw_day(site: TomlTable, seed: int) -> TomlTable:
    """Draw a day's events; its traffic comes from one of the site's scale or trouble days."""
    rng = random.Random(seed)
    slot = rng.choice(("scale", "trouble"))
    template_day = next(site_day for site_day in site["day"] if site_day["slot"] == slot)
    copied = ("slot", "one", "zero", "goal", "floor_classes", "floor_zones", "classes", "traffic")
    day: TomlTable = {key: template_day[key] for key in copied if key in template_day}
    day |= {"name": f"own-{seed}", "seed": rng.randrange(10**8), "labels": []}
    all_kinds = [("plan", draw_event) for draw_event in PLANNED_EVENTS] + [
        ("faults", draw_event) for draw_event in FAULTS
    ]
    chosen = rng.sample(all_kinds, rng.randint(MIN_EVENTS, MAX_EVENTS))
    if rng.random() < REPEAT_PROBABILITY:
        chosen.append(rng.choice(chosen))
    day |= {"plan": [], "faults": []}
    for section, draw_event in chosen:
        event = draw_event(rng)
        event["at"] = round(
            rng.uniform(EARLIEST_START_S, site["length_s"] - LATEST_START_BEFORE_END_S), 2
        )
        missing_contracts = [
            contract for contract in KINDS_BY_CONTRACT if contract not in site["contracts"]
        ]
        if not any(event["kind"] in KINDS_BY_CONTRACT[contract] for contract in missing_contracts):
            day[section].append(event)
    if rng.random() < FINAL_FAULT_PROBABILITY:
        day["closing"] = rng.choice(FINAL_FAULTS)
    return day


def to_toml(value: typing.Any) -> str:
    """Format a value as TOML, with inline tables."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return f"[{', '.join(map(to_toml, value))}]"
    if isinstance(value, dict):
        return f"{{ {', '.join(f'{key} = {to_toml(item)}' for key, item in value.items())} }}"
    return repr(value)


def main() -> None:
    """Write the day that a seed gives to standard output."""
    path, seed = sys.argv[1:]
    site = tomllib.loads(pathlib.Path(path).read_text())
    for key, value in draw_day(site, int(seed)).items():
        print(f"{key} = {to_toml(value)}")


if __name__ == "__main__":
    main()
