"""
A randomised soak test: real entry instances under external faults, checked by callers and replicas.

``python tests/soak/soak.py --seeds 50 --first 1`` runs seeds one after the other and prints each
violated guarantee. The stand-in store, the stand-in replicas and the proxies run in this process.
The instances are separate processes, which are killed by id. Traffic is bounded and uses the
loopback interface only.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import functools
import pathlib
import random
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).parents[2]
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

import callers as callers_module  # noqa: E402
import endless_faults as endless_faults_module  # noqa: E402
import entry_process  # noqa: E402
import faults as faults_module  # noqa: E402
import faulty_replicas  # noqa: E402
import organisations as organisations_module  # noqa: E402
import pauses as pauses_module  # noqa: E402
import process_faults as process_faults_module  # noqa: E402
import processes as processes_module  # noqa: E402
import standin_organisations  # noqa: E402
import testbed as testbed_module  # noqa: E402

from turmericlug.http1 import client  # noqa: E402

INSTANCE_COUNT = 3
INJECTORS = {
    "network": faults_module.FaultInjector,
    "processes": process_faults_module.ProcessFaultInjector,
    "endless": endless_faults_module.EndlessFaultInjector,
}
"""Profiles of faults; the faults that a seed injects depend on the profile."""
MAX_MEMORY_MB = 256
CALLER_COUNT = 6
SETTLE_S = 3.0
"""Time for held entries to be written again (2.2 s) and ejected replicas to be tried again."""
OBSERVE_S = 1.5
CRASHES_TO_QUARANTINE = 3
QUARANTINE_SPREAD_S = 1.0
"""Time within which every instance learns which request crashed replicas."""
MAX_LATER_ATTEMPTS = 3
"""Limit for later attempts of that request that reach replicas, over all instances together."""
PAUSES_SHOWN_S = 2.0
"""Before a check that got no answer, the harness's own pauses in this time are shown."""
PROPAGATION_S = 3.0
"""The tighter of the two bounds for a new configuration and for a draining replica."""


async def _run(seed, duration_s, folder, instance_count, profile):
    # A generator of their own: changes of organisations don't change which faults a seed injects.
    organisations = organisations_module.Organisations(random.Random(f"organisations-{seed}"))
    testbed = testbed_module.Testbed(random.Random(seed), folder, instance_count, organisations)
    testbed.listens_early = profile == "processes"
    callers = callers_module.Callers(testbed)
    async with pauses_module.recording() as pauses:
        try:
            async with testbed.running():
                await _inject_and_check(testbed, callers, duration_s, INJECTORS[profile](testbed))
        except (TimeoutError, client.ConnectError, client.ExchangeError) as error:
            callers.violations.append(
                f"UNREACHABLE: a check got no answer: {error!r}; "
                f"{pauses.describe(time.monotonic() - PAUSES_SHOWN_S)}"
            )
    callers.check_runs()
    callers.violations.extend(testbed.organisations.find_violations(testbed))
    return [*processes_module.find_violations(testbed.instances), *callers.violations]


async def _inject_and_check(testbed, callers, duration_s, injector):
    caller_tasks = [asyncio.create_task(callers.run()) for _ in range(CALLER_COUNT)]
    try:
        publish = functools.partial(testbed.publish_configuration, testbed.organisations.rng)
        await asyncio.gather(
            injector.run(duration_s),
            testbed.organisations.keep_changing(duration_s, publish),
        )
        await _check_recovery(testbed, callers)
        await _check_drain(testbed, callers)
        await _check_configuration(testbed, callers)
        await _check_restore(testbed, callers)
        await _check_quarantine(testbed, callers)
        await _check_evacuation(testbed, callers)
        await _check_keys(testbed, callers)
        _check_memory(testbed, callers)
    finally:
        for task in caller_tasks:
            task.cancel()
        await asyncio.gather(*caller_tasks, return_exceptions=True)


def _check_memory(testbed, callers):
    """No instance has outgrown the memory that it may use."""
    for instance in testbed.instances:
        peak_mb = faulty_replicas.memory_mb(instance.process.pid, "VmHWM")
        if peak_mb > MAX_MEMORY_MB:
            callers.violations.append(f"MEMORY {instance.name}: {peak_mb:.0f} MB resident")


async def _check_recovery(testbed, callers):
    """After the last fault every instance becomes ready and serves complete responses again."""
    testbed.publish_replicas()
    await testbed.wait_until_ready()
    await asyncio.sleep(SETTLE_S)
    first = len(callers.outcomes)
    await asyncio.sleep(OBSERVE_S)
    share = callers.served_share(first)
    if share < 0.9:
        callers.violations.append(
            f"RECOVER: only {share:.2f} of the requests were served after the last fault"
        )


async def _check_drain(testbed, callers):
    """A draining replica gets no new requests once its state has had time to propagate."""
    replica = testbed.rng.choice(testbed.replicas)
    testbed.publish_replicas([replica], "draining")
    await asyncio.sleep(PROPAGATION_S)
    run_count = len(replica.runs)
    await asyncio.sleep(OBSERVE_S)
    if len(replica.runs) > run_count:
        late = replica.runs[run_count:][:3]
        callers.violations.append(
            f"DRAIN {replica.instance}: got {late} more than {PROPAGATION_S} s after it started "
            "to drain"
        )
    testbed.publish_replicas([replica])


async def _check_configuration(testbed, callers):
    """Every instance applies the newest configuration and no older one."""
    old_version = testbed.version
    testbed.publish_configuration()
    await asyncio.sleep(PROPAGATION_S)
    for instance in testbed.instances:
        for version, expected in ((testbed.version, {200}), (old_version, {404})):
            path = f"/v{version}/".encode()
            response = await testbed.ask(instance, path)
            if response.status not in expected:
                callers.violations.append(
                    f"CONFIG {instance.name}: wrong response to {path}, status {response.status}"
                )


async def _check_restore(testbed, callers):
    """Configurations written after a restore of the store are applied as before."""
    for _ in range(testbed.rng.randint(2, 6)):
        testbed.publish_configuration()
    await asyncio.sleep(PROPAGATION_S)
    for _ in range(testbed.rng.randint(1, 2)):
        lost = testbed.restore_store(testbed.rng.randint(2, 8))
        await asyncio.sleep(testbed.rng.uniform(0.0, 0.5))
        testbed.rewrite_lost(lost)
    await _check_configuration(testbed, callers)


async def _check_quarantine(testbed, callers):
    """A request that crashed three replicas reaches few more, whichever instances receive it."""
    while len(testbed.known_crashes()) < CRASHES_TO_QUARANTINE:
        await _send_lethal_request(testbed, testbed.rng.choice(testbed.instances))
    await asyncio.sleep(QUARANTINE_SPREAD_S + testbed_module.REPLICA_RESTART_S)
    before = {request_id for _, request_id in testbed.crashes}
    for number in range(2 * len(testbed.instances)):
        await _send_lethal_request(testbed, testbed.instances[number % len(testbed.instances)])
        await asyncio.sleep(0.2)
    after = {request_id for _, request_id in testbed.crashes} - before
    if len(after) > MAX_LATER_ATTEMPTS:
        callers.violations.append(
            f"QUARANTINE: {len(after)} more attempts of a request that crashes replicas reached "
            "replicas"
        )


async def _check_evacuation(testbed, callers):
    """Replicas of an evacuated data centre get no new requests; the other replicas serve them."""
    data_centre = testbed.rng.choice(sorted(testbed_module.REGIONS))
    evacuated = [replica for replica in testbed.replicas if replica.zone == data_centre]
    testbed.store.put(f"op/evacuate/{data_centre}", {})
    await asyncio.sleep(PROPAGATION_S)
    run_counts = {replica.instance: len(replica.runs) for replica in evacuated}
    await asyncio.sleep(OBSERVE_S)
    late = [
        replica.instance
        for replica in evacuated
        if len(replica.runs) > run_counts[replica.instance]
    ]
    if late:
        callers.violations.append(
            f"EVACUATE {data_centre}: {late[:3]} got requests more than {PROPAGATION_S} s after "
            "the evacuation started"
        )
    for instance in testbed.instances:
        # Each service runs in one data centre only, and half of the shards are enough coverage.
        response = await testbed.ask(instance, b"/all/1")
        if response.status != 200:
            callers.violations.append(
                f"EVACUATE {instance.name}: a query that the other data centre can serve got "
                f"status {response.status}"
            )
    testbed.store.remove(f"op/evacuate/{data_centre}")
    await asyncio.sleep(PROPAGATION_S)
    if all(len(replica.runs) == run_counts[replica.instance] for replica in evacuated):
        callers.violations.append(
            f"EVACUATE {data_centre}: no requests within {PROPAGATION_S} s after the evacuation "
            "ended"
        )


async def _check_keys(testbed, callers):
    """Added, removed and moved keys are in force everywhere; no page for operators shows a key."""
    organisations = testbed.organisations
    kept, moved, removed = organisations.add_keys(asyncio.get_running_loop().time(), 3)
    await _check_key_statuses(testbed, callers, {kept: 200, moved: 200, removed: 200})
    organisations.remove_and_move_last()
    await _check_key_statuses(testbed, callers, {kept: 200, moved: 200, removed: 401})
    for instance in testbed.instances:
        for path in (b"/metrics", b"/status", b"/organisations"):
            page = await entry_process.ask(instance.ports[3], path, b"page")
            if standin_organisations.holds_key(page.body, organisations.holders):
                callers.violations.append(f"KEYS {instance.name}: a key in {path}")


async def _check_key_statuses(testbed, callers, statuses):
    testbed.publish_configuration(testbed.organisations.rng)
    await asyncio.sleep(PROPAGATION_S)
    testbed.organisations.forget_earlier_holders()
    for instance in testbed.instances:
        for key, status in statuses.items():
            response = await testbed.ask(instance, b"/all/1", key)
            if response.status != status:
                callers.violations.append(
                    f"KEYS {instance.name}: status {response.status} instead of {status} more "
                    f"than {PROPAGATION_S} s after a change"
                )


async def _send_lethal_request(testbed, instance):
    with contextlib.suppress(client.ConnectError, client.ExchangeError, TimeoutError):
        async with asyncio.timeout(2.5):
            await testbed.ask(instance, b"/all/lethal")


def run_seed(seed, duration_s, instance_count=INSTANCE_COUNT, profile="network"):
    """Run one seed and return the violations; logs are kept only if there are any."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    violations = asyncio.run(_run(seed, duration_s, folder, instance_count, profile))
    if violations:
        return [*violations, f"logs: {folder}"]
    with contextlib.suppress(OSError):
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    return []


def main() -> None:
    """Run seeds from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--length-s", type=float, default=8.0)
    parser.add_argument("--instances", type=int, default=INSTANCE_COUNT)
    parser.add_argument("--profile", choices=INJECTORS, default="network")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        violations = run_seed(seed, options.length_s, options.instances, options.profile)
        failed += bool(violations)
        print(f"seed {seed}: {'; '.join(violations[:6]) or 'no violations'}", flush=True)
    print(f"{options.seeds - failed} passed, {failed} failed")
    raise SystemExit(bool(failed))


if __name__ == "__main__":
    main()
