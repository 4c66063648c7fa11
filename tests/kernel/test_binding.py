"""Listening at addresses that can't be bound at first."""

from __future__ import annotations

import asyncio
import random

import pytest
from integration import test_start

from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.http1 import server
from turmericlug.kernel import binding as binding_module
from turmericlug.telemetry import counters as counters_module
from turmericlug_lab import fleet_spec


async def answer(request):
    return messages.Response(200, body=b"good")


def make_binding(host, port, logged):
    http_server = server.Server(answer, messages.Limits, 10)
    return binding_module.Binding(
        "peers",
        (host, port),
        lambda: server.listen(http_server, host, port),
        counters_module.Counters(),
        lambda event, **fields: logged.append((event, fields)),
    )


async def until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


def test_a_port_that_becomes_free_is_bound():
    """A port that another process held at the start was never tried again."""
    logged = []
    (port,) = fleet_spec.reserve_ports(1)

    async def main():
        binding = make_binding("127.0.0.1", port, logged)
        with test_start.holding_port(port):
            listening = binding_module.listening(binding, lambda: True)
            await listening.__aenter__()
            assert not binding.is_bound
            await until(lambda: binding.failures >= 3)
        await until(lambda: binding.is_bound)
        connection = await client.connect("127.0.0.1", port)
        request = client.request_bytes(b"GET", b"/", [(b"host", b"h")], b"")
        assert (await connection.exchange(request)).body == b"good"
        connection.close()
        await listening.__aexit__(None, None, None)
        binding.listener.close()
        assert binding.counters.totals["listener.bind_failed.peers"] == binding.failures

    asyncio.run(main())
    *failed, bound = logged
    assert [fields["attempt"] for _, fields in failed] == list(range(1, len(failed) + 1))
    assert {(event, fields["listener"], fields["address"]) for event, fields in failed} == {
        ("listener.not_bound", "peers", f"127.0.0.1:{port}")
    }
    assert all("in use" in fields["error"] for _, fields in failed)
    assert bound[0] == "listener.bound"
    assert bound[1]["after_ms"] > 0


def test_a_port_that_is_no_longer_wanted_is_not_bound():
    """Guards against a draining process that takes the ports of the next one."""
    (port,) = fleet_spec.reserve_ports(1)

    async def main():
        binding = make_binding("127.0.0.1", port, [])
        with test_start.holding_port(port):
            await binding.bind()
        await binding.bind_later(lambda: False)
        assert not binding.is_bound

    asyncio.run(main())


@pytest.mark.parametrize("host", ["192.0.2.1", "h" * 64 + ".example", "no such host"])
def test_an_address_that_is_not_of_this_machine_ends_nothing(host):
    """Any error other than a port in use ended the process."""
    logged = []

    async def main():
        binding = make_binding(host, 8080, logged)
        async with binding_module.listening(binding, lambda: True):
            assert not binding.is_bound

    asyncio.run(main())
    assert [event for event, _ in logged] == ["listener.not_bound"]


@pytest.mark.parametrize(("failures", "delay_s"), [(1, 0.05), (2, 0.1), (4, 0.4), (5, 0.5)])
def test_delays_grow_to_a_limit(failures, delay_s):
    """Guards against a tight loop, which costs processor time and floods the log."""
    rng = random.Random(1)
    delays_s = [binding_module.retry_delay_s(failures, rng) for _ in range(100)]
    assert 0.8 * delay_s <= min(delays_s) < delay_s < max(delays_s) <= 1.2 * delay_s
    assert binding_module.retry_delay_s(10**6, rng) <= 1.2 * binding_module.MAX_RETRY_S
