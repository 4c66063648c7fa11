from __future__ import annotations

import asyncio
import contextlib

import pytest

from turmericlug.kernel import kernel as kernel_module
from turmericlug.kernel import tasks


def test_services_find_each_other_and_close_in_reverse():
    closed = []

    def service(name, needs=None):
        @contextlib.asynccontextmanager
        async def open_it(kernel):
            if needs:
                kernel.find(needs)
            yield name
            closed.append(name)

        return open_it

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


def test_background_tasks_end_with_the_block():
    ended = []

    async def forever():
        try:
            await asyncio.Event().wait()
        finally:
            ended.append(True)

    async def fails():
        raise ValueError("told, not raised")

    async def main():
        async with tasks.background(forever(), fails()) as running:
            await asyncio.sleep(0.01)
            assert len(running) == 1

    asyncio.run(main())
    assert ended == [True]
