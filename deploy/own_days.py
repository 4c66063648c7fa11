"""
Write a random day of any kinds of trouble for a deployment, for the users' bench.

``python deploy/own_days.py SITE.toml SEED > day.toml``, then ``fleetbench run SITE.toml day.toml``.
The own random days of the bench draw from the troubles that a site lists; these from all kinds that
its contracts allow, twice where chance has it, at any moment, with or without a final fault.
"""

from __future__ import annotations

import pathlib
import random
import sys
import tomllib
import typing
from collections import abc

Entry = dict[str, typing.Any]
Draw = abc.Callable[[random.Random], Entry]

LEAST, MOST = 5, 9
"""Troubles of one day: enough to overlap in 26 s, few enough that something is left to serve."""
AGAIN_SHARE = 0.4
CLOSING_SHARE = 0.4
EARLIEST_S, BEFORE_END_S = 0.5, 8.0
CLOSINGS = (
    {"kind": "power_off_all", "down_s": 0.5},
    {"kind": "kill_all", "down_s": 0.3},
    {"kind": "kill_all", "how": "timed", "down_s": 0.3},
)
NEEDS = {
    "health": ("srv_flap", "srv_lying_health", "idle_race", "srv_cut"),
    "places": ("evacuate", "zone_loss", "zone_cut", "cold_return"),
}
"""Kinds that a deployment has only with one of its contracts."""


def _one(kind: str, hows: tuple[str, ...] = (), **fields: typing.Any) -> Draw:
    """Return the drawing of one kind; a pair of numbers stands for any value between them."""

    def draw(rng: random.Random) -> Entry:
        entry: Entry = {"kind": kind}
        for key, value in fields.items():
            pair = isinstance(value, tuple)
            entry[key] = round(rng.uniform(*value), 2) if pair else value
        if hows and (how := rng.choice(hows)):
            entry["how"] = how
        return entry

    return draw


PLANNED: tuple[Draw, ...] = (
    _one("replace_with_reuse", ("", "drain", "dark"), share=0.18),
    _one("scale_in", ("", "", "spot"), share=0.13),
    _one("roll_term", ("", "busy"), share=1, gap_s=(0.6, 1.5), x=1),
    _one("roll_term", ("", "remove"), share=0.4, gap_s=(0.6, 1.5), x=2),
    _one("config_change", ("route", "weights", "timeout", "idle", "skew")),
    _one("config_storm", gap_s=(0.3, 1.0), for_s=5.0),
    _one("big_config", count=400),
    _one("reshard", x=3.2),
    _one("release", share=0.5, x=1.0, gap_s=1.0),
    _one("scale_out", share=0.3, gap_s=1.0),
    _one("hup", share=0.4, gap_s=0.5),
    _one("add_nodes", share=0.75),
    _one("evacuate", ("", "warm"), for_s=(0.5, 9)),
)
FAULTS: tuple[Draw, ...] = (
    _one("burst", x=(1.3, 2.0), for_s=3.0),
    _one("retry_abuse", share=(0.1, 0.4), x=2, for_s=5.0),
    _one("give_up", share=(0.1, 0.4), for_s=5.5),
    _one("give_up", share=(0.1, 0.4), x=(20, 150), for_s=5.5),
    _one("shift", share=0.5, for_s=6.0),
    _one("srv_crash", ("", "across", "dark", "dark across", "gone"), share=0.14, for_s=4.5),
    _one("srv_slow", ("", "across"), share=0.15, x=(3, 11), for_s=6.0),
    _one(
        "srv_grey",
        ("errors", "shed", "busy", "hang", "reset", "mute", "slow", "hang across", "mute across"),
        share=0.15,
        x=0.4,
        for_s=6.0,
    ),
    _one("srv_flap", share=0.15, for_s=6.0),
    _one("srv_lying_health", ("", "errors", "hang", "reset", "bad"), share=0.2, for_s=6.0),
    _one("srv_cut", ("", "fronts", "some", "one_way", "reset", "reborn"), share=0.2, for_s=5.0),
    _one("idle_race", share=0.5, for_s=6.0),
    _one("answer_lost", ("", "reset"), share=0.5, x=0.04, for_s=5.0),
    _one("garble", ("", "extra", "extra late", "unframed", "early"), share=0.5, x=0.03, for_s=5.0),
    _one("node_kill", ("", "power"), share=0.2, for_s=3.0),
    _one("node_kill", ("leader", "leader race drain", "meet drain"), on="core", count=1, for_s=3.0),
    _one("node_slow", share=0.2, x=(3, 6), for_s=5.0),
    _one("node_freeze", ("", "renewed"), share=0.2, for_s=(0.5, 5)),
    _one("node_cut", ("", "all", "servers"), share=0.2, for_s=5.0),
    _one("herd_kill", ("", "power"), share=(0.5, 1.0), for_s=2.0),
    _one("herd_kill", ("", "off", "taken"), on="core", for_s=2.0),
    _one("after_ack_kill", ("", "kill", "timed"), count=2),
    _one("reset_conns", share=0.5, x=0.6),
    _one("clock_step", ("ahead", "back"), share=0.4, x=(2000, 8000), for_s=6.0),
    _one("core_cut", ("", "reset", "leader race", "all", "one_way", "split"), count=1, for_s=5.0),
    _one("platform_down", ("silent", "busy", "reset", "silent lapse", "busy lapse"), for_s=4.5),
    _one(
        "platform_down", ("nodes busy", "nodes reset revoke meet", "nodes"), share=0.35, for_s=8.0
    ),
    _one("platform_slow", x=(30, 80), for_s=4.5),
    _one("platform_lost", ("", "late"), x=0.35, for_s=4.5),
    _one("platform_compact", ("", "drain"), x=(1, 8), for_s=12.0),
    _one("zone_loss", for_s=(1, 5)),
    _one("zone_cut", for_s=(1, 5)),
    _one("cold_return", ("", "dark"), for_s=(1, 4)),
)


def day(site: Entry, seed: int) -> Entry:
    """Draw a day, over the traffic of one of the site's days with trouble."""
    rng = random.Random(seed)
    slot = rng.choice(("scale", "trouble"))
    model = next(each for each in site["day"] if each["slot"] == slot)
    kept = ("slot", "one", "zero", "goal", "floor_classes", "floor_zones", "classes", "traffic")
    found: Entry = {key: model[key] for key in kept if key in model}
    found |= {"name": f"own-{seed}", "seed": rng.randrange(10**8), "labels": []}
    kinds = [("plan", each) for each in PLANNED] + [("faults", each) for each in FAULTS]
    chosen = rng.sample(kinds, rng.randint(LEAST, MOST))
    if rng.random() < AGAIN_SHARE:
        chosen.append(rng.choice(chosen))
    found |= {"plan": [], "faults": []}
    for where, draw in chosen:
        entry = draw(rng)
        entry["at"] = round(rng.uniform(EARLIEST_S, site["length_s"] - BEFORE_END_S), 2)
        lacking = [each for each in NEEDS if each not in site["contracts"]]
        if not any(entry["kind"] in NEEDS[each] for each in lacking):
            found[where].append(entry)
    if rng.random() < CLOSING_SHARE:
        found["closing"] = rng.choice(CLOSINGS)
    return found


def written(value: typing.Any) -> str:
    """Write a value as TOML, tables inline."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return f"[{', '.join(map(written, value))}]"
    if isinstance(value, dict):
        return f"{{ {', '.join(f'{key} = {written(each)}' for key, each in value.items())} }}"
    return repr(value)


def main() -> None:
    """Write the day of a seed to standard output."""
    path, seed = sys.argv[1:]
    site = tomllib.loads(pathlib.Path(path).read_text())
    for key, value in day(site, int(seed)).items():
        print(f"{key} = {written(value)}")


if __name__ == "__main__":
    main()
