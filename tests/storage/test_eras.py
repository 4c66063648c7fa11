"""The eras of the store and who is told of a restore."""

from __future__ import annotations

import asyncio

from turmericlug.storage import eras as eras_module


def test_a_restore_is_reported_to_all_although_one_fails():
    """Guards against records that are never written again because another callback raised."""

    async def main():
        found, told = [], []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: found.append(context))

        def fail():
            raise KeyError("bug")

        eras = eras_module.Eras()
        eras.on_restore += [fail, lambda: told.append(eras.latest)]
        eras.observe(1)
        eras.observe(2)
        assert (told, len(found)) == ([2], 1)

    asyncio.run(main())
