"""What the soak counts against the quarantine of requests that crash replicas."""

from __future__ import annotations

import asyncio
import functools
import json
import random
import time
import types

import organisations
import processes
import pytest
import standin_platform
import testbed as testbed_module

from turmericlug.http1 import messages


def _request(target, request_id):
    return messages.Request(b"GET", target, ((b"x-request-id", request_id),), b"", 0.0)


def test_the_attempt_that_crashes_a_replica_is_counted(tmp_path):
    """
    Guards against harmless requests that are counted as attempts of the lethal one, as they began
    at the same replica in the moments before it crashed.
    """

    async def main():
        testbed = testbed_module.Testbed(
            random.Random(1), tmp_path, 1, organisations.Organisations(random.Random(1))
        )
        testbed.proxy = types.SimpleNamespace(update_route=lambda name, changes: None)
        replica = standin_platform.Replica("i-1", "s0", b"", 0.004)
        replica.address = ("127.0.0.1", 1)
        replica.on_crash = testbed._handle_crash
        lethal = asyncio.create_task(replica.handle(_request(b"/all/lethal", b"lethal")))
        await asyncio.sleep(0.001)
        harmless = asyncio.create_task(replica.handle(_request(b"/all/1", b"harmless")))
        await asyncio.gather(lethal, harmless, return_exceptions=True)
        return [request_id for _, request_id in testbed.crashes]

    assert asyncio.run(main()) == [b"lethal"]


@pytest.mark.parametrize(
    ("lives", "lost_s"),
    [
        ([[(0.0, None)], [(1.0, None)]], 0.0),
        ([[(0.0, 10.0), (11.0, None)], [(1.0, 12.0), (13.0, None)]], 0.0),
        ([[(0.0, 10.0), (11.0, None)], [(1.0, 10.5), (13.0, None)]], 11.0),
        ([[(0.0, 10.0), (11.0, 12.0), (14.0, None)], [(1.0, 10.5), (13.0, None)]], 13.0),
        ([[(0.0, 10.0), (11.0, None)], [(1.0, 11.0), (13.0, None)]], 0.0),
    ],
    ids=["no end", "one after the other", "all at once", "twice", "just enough"],
)
def test_what_all_instances_lose_at_once(lives, lost_s, tmp_path):
    """
    Guards against a bound on requests that crash replicas that asks for what was lost with the last
    instance that knew it, and against one that excuses more.
    """
    base_s = time.monotonic() - 100.0
    to_wall_s = time.time() - time.monotonic()
    instances = []
    for number, spans in enumerate(lives):
        log = tmp_path / f"e-{number}.log"
        log.write_text(
            "not JSON\n"
            + "".join(
                json.dumps({"time_s": base_s + at_s + to_wall_s, "event": "instance.started"})
                + "\n"
                for at_s, _ in spans
            )
        )
        runs = [
            processes.Run(None, base_s + at_s - 0.5, 0, ended_s=end_s and base_s + end_s)
            for at_s, end_s in spans
        ]
        instance = types.SimpleNamespace(log=log, runs=runs)
        started_s = functools.partial(processes.Instance.started_times_s, instance)
        instances.append(types.SimpleNamespace(runs=runs, started_times_s=started_s))
    assert processes.last_common_loss_s(instances) - base_s == pytest.approx(lost_s, abs=0.05)
