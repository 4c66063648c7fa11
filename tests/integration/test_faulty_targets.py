"""Memory of ``turmericlugd`` beside endless targets and callers that don't read, as processes."""

from __future__ import annotations

import asyncio

import faulty_replicas
import faulty_targets
import pytest

MAX_MB = 256
"""Memory that one instance may take."""
CALLERS = 40


@pytest.mark.parametrize(
    ("kind", "size_bytes"),
    [("replies after a whole one", 2), ("interim replies", 2), (None, 4_000_000)],
    ids=["replies after a whole one", "interim replies", "sound replies of 4 MB"],
)
def test_callers_press_on_a_target(kind, size_bytes, tmp_path):
    """Guards against one target whose replies take the memory or the time of all others."""

    async def main():
        async with faulty_targets.world(tmp_path) as (fleet, raw_target):
            raw_target.kind, raw_target.size_bytes = kind, size_bytes
            seen = await faulty_targets.press(fleet, CALLERS, 2.0)
            return seen, faulty_replicas.memory_mb(fleet.processes["e1"].pid, "VmHWM")

    seen, peak_mb = asyncio.run(main())
    assert peak_mb < MAX_MB, seen
    assert set(seen.others) == {"200"}, seen
    assert not any(status.startswith("500") for status in seen.pressing), seen


@pytest.mark.parametrize(
    ("callers", "size_bytes"), [(400, 1_000_000), (40, 4_000_000)], ids=["1 MB", "4 MB"]
)
def test_callers_do_not_read(callers, size_bytes, tmp_path):
    """Guards against answers of the allowed size whose sum exceeds the memory."""

    async def main():
        async with faulty_targets.world(tmp_path) as (fleet, raw_target):
            raw_target.size_bytes = size_bytes
            await faulty_targets.hold_answers(fleet, callers, 3.0)
            peak_mb = faulty_replicas.memory_mb(fleet.processes["e1"].pid, "VmHWM")
            # The other service has its share.
            status, _ = await fleet.query("e1", service=faulty_targets.SOUND, body={})
            return peak_mb, status

    peak_mb, status = asyncio.run(main())
    assert peak_mb < MAX_MB
    assert status == 200


@pytest.mark.parametrize(
    ("callers", "size_bytes"), [(1000, 65_536), (200, 1 << 22)], ids=["64 kB", "4 MB"]
)
def test_callers_send_all_but_the_end_of_their_bodies(callers, size_bytes, tmp_path):
    """Guards against bodies of the allowed size whose sum exceeds the memory."""
    settings = {"limits": {"max_body_bytes": str(size_bytes)}}

    async def main():
        async with faulty_targets.world(tmp_path, settings=settings) as (fleet, _):
            pid = fleet.processes["e1"].pid
            await faulty_targets.send_beginnings(fleet, callers, size_bytes, 3.0)
            return faulty_replicas.memory_mb(pid, "VmHWM")

    assert asyncio.run(main()) < MAX_MB
