"""Tests of the client of the general key-value store, against the stand-in."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest
import standin_platform as http_standin

from turmericlug.http1 import messages
from turmericlug.storage import instances
from turmericlug.storage import store as store_module
from turmericlug.telemetry import counters
from turmericlug_lab import fleet_spec
from turmericlug_lab import standin_platform


@contextlib.asynccontextmanager
async def connected():
    """Run the stand-in; yield a client of it, and a coroutine that sets the stand-in's faults."""
    (port,) = fleet_spec.reserve_ports(1)
    url = f"http://127.0.0.1:{port}"
    serving = asyncio.create_task(standin_platform.serve("127.0.0.1", port))
    try:
        async with (
            store_module.connected(url, 1000, counters.Counters()) as store,
            aiohttp.ClientSession() as session,
        ):

            async def control(**behaviour):
                async with session.post(f"{url}/control", json=behaviour) as response:
                    assert response.status == 200

            async with asyncio.timeout(10):
                while True:
                    with contextlib.suppress(store_module.StoreError):
                        await store.read("probe")
                        break
                    await asyncio.sleep(0.02)
            yield store, control
    finally:
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)


def absent(key):
    return store_module.Value(key, "", 0)


@pytest.mark.parametrize(
    ("expected", "written"),
    [
        (store_module.Value("k", "a", 1), True),
        (store_module.Value("k", "a", 9), False),
        (store_module.Value("k", "b", 1), False),
        (absent("k"), False),
        (absent("other"), True),
    ],
    ids=["as read", "other revision", "other value", "expected absent", "absent"],
)
def test_swap_requires_the_key_as_it_was_read(expected, written):
    async def main():
        async with connected() as (store, _):
            assert await store.swap([absent("k")], {"k": "a"}) == 1
            assert bool(await store.swap([expected], {"k": "c"})) is written
            assert (await store.read("k")).text == ("c" if written else "a")

    asyncio.run(main())


def test_swap_fails_for_another_value_with_the_same_revision():
    """Guards against a swap of a key rewritten with a reused revision after a restore."""

    async def main():
        async with connected() as (store, control):
            await store.swap([absent("k")], {"k": "a"})
            known = await store.read("k")
            await control(lose_writes=1)
            assert (await store.read("k")).revision == 0
            await store.swap([absent("k")], {"k": "b"})
            assert (await store.read("k")).revision == known.revision
            assert not await store.swap([known], {"k": "c"})
            assert (await store.read("k")).text == "b"

    asyncio.run(main())


@pytest.mark.parametrize("expected", [absent("k/d"), absent("k/a")], ids=["as read", "changed"])
def test_swap_deletes_a_range_only_with_its_writes(expected):
    """Guards against a deletion that takes effect although another instance has written since."""

    async def main():
        async with connected() as (store, _):
            before = ["k/a", "k/b", "k/c"]
            await store.swap([absent(key) for key in before], dict.fromkeys(before, "x"))
            swapped = await store.swap([expected], {"k/d": "y"}, ("k/a", "k/c"))
            left = [value.key for value in await store.read_prefix("k/")]
            assert bool(swapped) == (expected.key == "k/d")
            assert left == (["k/c", "k/d"] if swapped else before)

    asyncio.run(main())


ODD_BODIES = [
    b"",
    b"no json",
    b"[]",
    b"3",
    b'"x"',
    b"null",
    b"[" * 200_000,
    b"\xff",
    b'{"kvs":3,"succeeded":true,"header":3}',
    b'{"kvs":[3],"succeeded":true}',
    b'{"kvs":[{"key":3}],"succeeded":true,"header":{"revision":"x"}}',
    b'{"kvs":[{"key":"a","value":"?"}],"succeeded":true,"header":{"revision":[1]}}',
    b'{"kvs":[{"key":"aw==","mod_revision":' + b"9" * 5000 + b"}]}",
]
CALLS = {
    "read": lambda store: store.read("k"),
    "read_prefix": lambda store: store.read_prefix("k/"),
    "swap": lambda store: store.swap([], {"k": "a"}),
    "watch": lambda store: anext(store.watch("k/")),
}


@contextlib.asynccontextmanager
async def answering(body):
    """Serve one body in answer to every request; yield the server's URL."""

    async def handle(request):
        return messages.Response(200, ((b"content-type", b"application/json"),), body)

    async with http_standin.listening(handle) as (host, port):
        yield f"http://{host}:{port}"


@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
@pytest.mark.parametrize("body", ODD_BODIES, ids=lambda body: str(body[:30]))
def test_malformed_answer_is_a_store_error(call, body):
    """Guards against an answer with a malformed field that ends the task which has asked."""

    async def main():
        async with (
            answering(body) as url,
            store_module.connected(url, 1000, counters.Counters()) as store,
        ):
            with pytest.raises(store_module.StoreError):
                await call(store)

    asyncio.run(main())


@pytest.mark.parametrize(
    "body",
    [b"3", b"{}", b"[3]", b'[{"Service":3}]', b'[{"Service":{"ID":"a"}}]', b"[" * 200_000, b"\xff"],
    ids=lambda body: str(body[:30]),
)
def test_malformed_instance_list_is_an_instances_error(body):
    """Guards against a list of instances that ends the task which refreshes it."""

    async def main():
        async with answering(body) as url, aiohttp.ClientSession() as session:
            if body == b"{}":
                assert await instances.read(session, url, "s", 1.0) == []
                return
            with pytest.raises(instances.InstancesError):
                await instances.read(session, url, "s", 1.0)

    asyncio.run(main())
