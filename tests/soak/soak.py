"""
A randomised soak: real entry instances under faults from outside, checked from both ends.

``python tests/soak/soak.py --seeds 50 --first 1`` plays seeds one after the other and prints each
promise that was broken. The stand-in store and replicas and the proxies before them live in this
process; the instances are processes of their own, ended by id. Load and addresses are loopback only
and bounded.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import pathlib
import random
import sys
import tempfile

ROOT = pathlib.Path(__file__).parents[2]
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

import callers as callers_module  # noqa: E402
import faults as faults_module  # noqa: E402
import world as world_module  # noqa: E402

from turmericlug.http1 import client  # noqa: E402

INSTANCES = 3
CALLERS = 6
SETTLE_S = 3.0
"""Entries have their time to come back (2.2 s), and set-aside replicas their next trial."""
CALM_S = 1.5
ENDS_KNOWN = 3
KNOWN_S = 1.0
"""Time in which every instance is to know under which request replicas ended."""
MOST_AFTER = 3
"""Attempts at it that may reach replicas from then on, at all instances together."""
IN_FORCE_S = 3.0
"""The tighter of the two bounds on a new configuration and on a draining replica."""


async def _played(seed, length_s, folder, instances):
    world = world_module.World(random.Random(seed), folder, instances)
    callers = callers_module.Callers(world)
    async with world.running():
        calling = [asyncio.create_task(callers.call()) for _ in range(CALLERS)]
        try:
            await faults_module.Faults(world).play(length_s)
            await _recover(world, callers)
            await _leave_calmly(world, callers)
            await _all_in_force(world, callers)
            await _return_calmly(world, callers)
            await _hold_back_what_ends_replicas(world, callers)
            await _evacuate_calmly(world, callers)
        finally:
            for task in calling:
                task.cancel()
            await asyncio.gather(*calling, return_exceptions=True)
    callers.check_runs()
    return callers.broken


async def _recover(world, callers):
    """After the last fault every instance must be ready and answer in full again."""
    world.write_replicas()
    await world.all_ready()
    await asyncio.sleep(SETTLE_S)
    since = len(callers.outcomes)
    await asyncio.sleep(CALM_S)
    share = callers.served_share(since)
    if share < 0.9:
        callers.broken.append(f"RECOVER {share:.2f} served after the last fault")


async def _leave_calmly(world, callers):
    """A replica that drains gets nothing new once the news had their time."""
    replica = world.rng.choice(world.replicas)
    world.write_replicas([replica], "draining")
    await asyncio.sleep(IN_FORCE_S)
    before = len(replica.runs)
    await asyncio.sleep(CALM_S)
    if len(replica.runs) > before:
        late = replica.runs[before:][:3]
        callers.broken.append(f"DRAIN {replica.instance} got {late} {IN_FORCE_S} s after the news")
    world.write_replicas([replica])


async def _all_in_force(world, callers):
    """Every instance goes by the newest configuration, and by no older one."""
    old = world.version
    world.configure()
    await asyncio.sleep(IN_FORCE_S)
    for instance in world.instances:
        for version, right in ((world.version, {200}), (old, {404})):
            path = f"/v{version}/".encode()
            answer = await world_module.ask(instance.ports[0], path)
            if answer.status not in right:
                callers.broken.append(f"CONFIG {instance.name} answers {path} {answer.status}")


async def _return_calmly(world, callers):
    """What is confirmed after the store has returned from a copy comes into force as before."""
    for _ in range(world.rng.randint(2, 6)):
        world.configure()
    await asyncio.sleep(IN_FORCE_S)
    for _ in range(world.rng.randint(1, 2)):
        lost = world.store.restore_backup(world.rng.randint(2, 8))
        await asyncio.sleep(world.rng.uniform(0.0, 0.5))
        world.write_again(lost)
    await _all_in_force(world, callers)


async def _hold_back_what_ends_replicas(world, callers):
    """A request that ended three replicas reaches some more at most, at whichever instance."""
    while len(world.lethal_reached) < ENDS_KNOWN:
        await _ask_lethal(world.rng.choice(world.instances))
    await asyncio.sleep(KNOWN_S + world_module.REPLICA_AWAY_S)
    before = {attempt for _, attempt in world.lethal_reached}
    for number in range(2 * len(world.instances)):
        await _ask_lethal(world.instances[number % len(world.instances)])
        await asyncio.sleep(0.2)
    after = {attempt for _, attempt in world.lethal_reached} - before
    if len(after) > MOST_AFTER:
        callers.broken.append(f"ENDS {len(after)} attempts of what ends replicas reached some")


async def _evacuate_calmly(world, callers):
    """The replicas of an evacuated data centre get nothing new; the others take what comes."""
    data_centre = world.rng.choice(sorted(world_module.REGIONS))
    inside = [each for each in world.replicas if each.zone == data_centre]
    world.store.put(f"op/evacuate/{data_centre}", {})
    await asyncio.sleep(IN_FORCE_S)
    before = {each.instance: len(each.runs) for each in inside}
    await asyncio.sleep(CALM_S)
    late = [each.instance for each in inside if len(each.runs) > before[each.instance]]
    if late:
        callers.broken.append(
            f"EVACUATE {data_centre}: {late[:3]} got requests after {IN_FORCE_S} s"
        )
    for instance in world.instances:
        # Each service of the soak is in one data centre, and half of the shards will do.
        answer = await world_module.ask(instance.ports[0], b"/all/1")
        if answer.status != 200:
            callers.broken.append(f"EVACUATE {instance.name} answers a query {answer.status}")
    world.store.remove(f"op/evacuate/{data_centre}")
    await asyncio.sleep(IN_FORCE_S)
    if all(len(each.runs) == before[each.instance] for each in inside):
        callers.broken.append(f"EVACUATE {data_centre} is not used {IN_FORCE_S} s after its end")


async def _ask_lethal(instance):
    with contextlib.suppress(client.ConnectError, client.ExchangeError, TimeoutError):
        async with asyncio.timeout(2.5):
            await world_module.ask(instance.ports[0], b"/all/lethal")


def play(seed, length_s, instances=INSTANCES):
    """Play one seed; its logs stay only when it fails."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    broken = asyncio.run(_played(seed, length_s, folder, instances))
    if broken:
        return [*broken, f"logs: {folder}"]
    with contextlib.suppress(OSError):
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    return []


def main() -> None:
    """Play seeds from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--length-s", type=float, default=8.0)
    parser.add_argument("--instances", type=int, default=INSTANCES)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        broken = play(seed, options.length_s, options.instances)
        failed += bool(broken)
        print(f"seed {seed}: {'; '.join(broken[:6]) or 'kept every promise'}", flush=True)
    print(f"{options.seeds - failed} passed, {failed} failed")
    raise SystemExit(bool(failed))


if __name__ == "__main__":
    main()
