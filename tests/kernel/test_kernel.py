from __future__ import annotations

import asyncio
import contextlib

import pytest

from turmericlug.kernel import kernel as kernel_module
from turmericlug.kernel import tasks


def test_services_are_found_by_name_and_closed_in_reverse():
    closed = []

    def service(name, needs=None):
        @contextlib.asynccontextmanager
        async def run_service(kernel):
            if needs:
                kernel.find(needs)
            yield name
            closed.append(name)

        return run_service

    async def main():
        kernel = kernel_module.Kernel()
        await kernel.open("a", service("a"))
        await kernel.open("b", service("b", "a"))
        assert kernel.find("b") == "b"
        with pytest.raises(kernel_module.UnknownServiceError):
            kernel.find("c")
        await kernel.close()

    asyncio.run(main())
    assert closed == ["b", "a"]


def test_background_tasks_are_cancelled_at_end_of_block():
    ended = []

    async def forever():
        try:
            await asyncio.Event().wait()
        finally:
            ended.append(True)

    async def fails():
        raise ValueError("reported, not raised")

    async def main():
        async with tasks.background(forever(), fails()) as running:
            await asyncio.sleep(0.01)
            assert len(running) == 1

    asyncio.run(main())
    assert ended == [True]
