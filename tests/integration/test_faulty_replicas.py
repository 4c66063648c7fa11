"""A faulty replica, or callers that don't read, cost an instance a bounded part of itself."""

from __future__ import annotations

import asyncio

import faulty_replicas
import pytest
from integration import test_machine_limits

MAX_GROWTH_MB = 64
"""Resident memory beyond that of the idle instance."""
PRESSING_CALLERS, PRESSED_S = 40, 2.0
FAILED = {502, 503, 504}
"""Failures that promise no more than is known, and refusals of what has not run."""
TARGETS = {"plain": b"/faulty/1", "gathered": b"/all/1"}


def run_scenario(folder, scenario, **options):
    """Run a scenario with one instance."""

    async def main():
        async with faulty_replicas.world(folder, **options) as playing:
            async with asyncio.timeout(100):
                await scenario(playing)
            assert playing.instance.process.returncode is None

    asyncio.run(main())


def growth_mb(playing, rest_mb):
    """Return how much the largest resident memory exceeds that at rest."""
    return faulty_replicas.memory_mb(playing.pid, "VmHWM") - rest_mb


@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("kind", faulty_replicas.KINDS)
def test_a_replica_whose_answers_have_no_end_takes_a_bounded_part(tmp_path, kind, target):
    """
    Guards against an instance that outgrows its machine, fails other callers or answers 500 while
    many callers ask for a service whose only replica sends what never becomes an answer.
    """

    async def scenario(playing):
        rest_mb = faulty_replicas.memory_mb(playing.pid, "VmRSS")
        faulty_replicas.make_faulty(playing.replicas, kind)
        seen = await faulty_replicas.press(playing, TARGETS[target], PRESSING_CALLERS, PRESSED_S)
        assert set(seen.others) == {200}
        assert set(seen.pressing) <= FAILED | {200}
        assert growth_mb(playing, rest_mb) <= MAX_GROWTH_MB

    run_scenario(tmp_path, scenario)


def test_answers_that_are_too_large_one_after_the_other_leave_no_memory(tmp_path):
    """Guards against answers that stay in memory after their exchange has failed."""

    async def scenario(playing):
        rest_mb = faulty_replicas.memory_mb(playing.pid, "VmRSS")
        faulty_replicas.make_faulty(playing.replicas, "body without end")
        for number in range(30):
            await playing.ask(TARGETS["plain"], b"q%d" % number)
        assert growth_mb(playing, rest_mb) <= MAX_GROWTH_MB

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    ("callers", "size_bytes"),
    [(400, 100_000), (400, 1_000_000), (40, 7_000_000)],
    ids=["400 of 100 kB", "400 of 1 MB", "40 of 7 MB"],
)
def test_callers_that_do_not_read_take_a_bounded_part(tmp_path, callers, size_bytes):
    """Guards against sound answers that together outgrow the machine while callers don't read."""

    async def scenario(playing):
        await faulty_replicas.hold_answers(playing, callers, 3.0)
        peak_mb = faulty_replicas.memory_mb(playing.pid, "VmHWM")
        assert peak_mb <= test_machine_limits.MAX_MEMORY_MB
        assert await playing.ask(b"/sound/1", b"after") == 200

    run_scenario(tmp_path, scenario, size_bytes=size_bytes)
