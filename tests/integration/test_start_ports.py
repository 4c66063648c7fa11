"""What instances do while one of their ports is held by another process."""

from __future__ import annotations

import asyncio
import signal

import entry_process
import pytest
from integration import test_entry
from integration import test_start


@pytest.mark.parametrize(
    ("name", "ready_status"), [("callers", 503), ("peers", 200), ("metrics", 200)]
)
def test_an_instance_registers_once_its_advertised_ports_listen(tmp_path, name, ready_status):
    """Callers and other instances were given the address of an instance that refused them."""
    index = test_start.PORT_NAMES.index(name)

    async def scenario():
        async with test_entry.platform() as (store, _, store_port):
            instance = entry_process.make(tmp_path, "e-1", store_port)

            def is_registered():
                return any(key.endswith("/e-1") for key in store.items)

            try:
                with test_start.holding_port(instance.ports[index]):
                    await instance.start()
                    await entry_process.until(lambda: instance.log.read_text().count("_bound") >= 4)
                    await entry_process.until(lambda: instance.lines("source.read"))
                    if ready_status == 200:
                        await entry_process.until(lambda: entry_process.ready(instance))
                    response = await entry_process.ask(
                        instance.ports[1], b"/turmericlug/ready", b"r"
                    )
                    assert response.status == ready_status
                    if name == "metrics":
                        await entry_process.until(is_registered)
                    assert is_registered() == (name == "metrics")
                await entry_process.until(is_registered)
                await entry_process.until(lambda: instance.lines("listener.bound"))
                (line,) = instance.lines("listener.bound")
                assert line["listener"] == name
                await test_start.assert_serves(instance)
            finally:
                instance.signal(signal.SIGKILL)
                await instance.process.wait()

    asyncio.run(scenario())


def test_a_stop_while_ports_are_held_ends_the_instance(tmp_path):
    """Guards against a drain that waits for a port."""

    async def scenario():
        async with test_start.stopped_instance(tmp_path) as instance:
            with test_start.holding_port(instance.ports[test_start.CALLERS]):
                await instance.start()
                await entry_process.until(lambda: instance.lines("instance.started"))
                instance.signal(signal.SIGTERM)
                async with asyncio.timeout(10):
                    assert await instance.process.wait() == 0
            assert instance.lines("instance.stopped")
            assert not instance.lines("listener.bound")

    asyncio.run(scenario())
