"""An odd value or answer of the store ends no task of an instance that has to run all day."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import os

import entry_process
import pytest
from integration import test_entry

NEW_VERSION = 9
INSTANCES = int(os.environ.get("ODD_VALUE_INSTANCES", "3"))
"""How many instances meet all odd values at once; most of them through a relay."""
REGIONS = {"dc-1": "r-1", "dc-2": "r-2"}
MANY_DIGITS = 10**400
DEEP_JSON = b"[" * 200_000
ROUTE = {"Name": "odd", "Host": "h.example", "Prefix": "/odd/", "Service": "one"}


def configuration(*routes, **fields):
    """Return a configuration with some fields replaced."""
    value = {"Version": 5, "Services": [{"Name": "one"}], "Routes": [*routes]} | fields
    return "op/config", json.dumps(value).encode()


def replica(key="servers/odd", **fields):
    """Return an entry of a replica with some fields replaced."""
    entry = {
        "Service": "one",
        "Address": "127.0.0.1:9",
        "Zone": "dc-1",
        "Version": "v1",
        "Slots": 2,
        "State": "ready",
        "WarmupLeftMs": 0,
        "Sequence": 1,
    }
    return key, json.dumps(entry | fields).encode()


def instance(name="odd", **fields):
    """Return the entry of another instance with some fields replaced."""
    entry = {
        "address": "127.0.0.1:9",
        "peers_address": "127.0.0.1:9",
        "data_centre": "dc-1",
        "region": "r-1",
    }
    return f"turmericlug/instances/{name}", json.dumps(entry | fields).encode()


VALUES = {
    "configuration, deeply nested": ("op/config", DEEP_JSON),
    "configuration, weight of 400 digits": configuration(
        ROUTE | {"TrafficSplit": [{"Service": "one", "Weight": MANY_DIGITS}]}
    ),
    "configuration, version a text": configuration(Version="5"),
    "configuration, version of 400 digits": configuration(Version=MANY_DIGITS),
    "configuration, time-out a text": configuration(ROUTE | {"TimeoutMs": "soon"}),
    "configuration, priority a list": configuration(ROUTE | {"Priority": [1]}),
    "configuration, attempts of 400 digits": configuration(ROUTE | {"MaxAttempts": MANY_DIGITS}),
    "configuration, header limit a text": configuration(Limits={"MaxHeaderBytes": "many"}),
    "configuration, connections of 400 digits": configuration(
        Services=[{"Name": "one", "MaxConns": MANY_DIGITS}]
    ),
    "configuration, prefix a number": configuration(ROUTE | {"Prefix": 3}),
    "configuration, shard a list": configuration(
        {"Name": "odd", "Host": "h.example", "Prefix": "/odd/", "Gather": [["s0"]]}
    ),
    "configuration, service a lone surrogate": configuration(ROUTE | {"Service": "\ud800"}),
    "replica, deeply nested": ("servers/odd", DEEP_JSON),
    "replica, slots of 400 digits": replica(Slots=MANY_DIGITS),
    "replica, sequence of 400 digits": replica(Sequence=MANY_DIGITS),
    "replica, start of 400 digits": replica(born=MANY_DIGITS),
    "replica, port 65536": replica(Address="127.0.0.1:65536"),
    "replica, service a lone surrogate": replica(Service="\ud800"),
    "replica, zone a lone surrogate": replica(Zone="\ud800"),
    "replica, key a lone surrogate": replica("servers/\ud800"),
    "instance, deeply nested": ("turmericlug/instances/odd", DEEP_JSON),
    "instance, name a lone surrogate": instance("\ud800"),
    "instance, data centre a lone surrogate": instance(data_centre="\ud800"),
    "instance, port of 400 digits": instance(peers_address=f"127.0.0.1:{MANY_DIGITS}"),
    "instance, capacity of 400 digits": instance(capacity=MANY_DIGITS),
    "evacuation, key a lone surrogate": ("op/evacuate/\ud800", b"{}"),
}
ANSWERS = {
    f"{call} {body}": (call, body)
    for call, body in (
        ("kv-range", {}),
        ("kv-range", []),
        ("kv-range", {"items": {}, "AsOf": 1, "HasMore": False}),
        ("kv-range", {"items": [3], "AsOf": 1, "HasMore": False}),
        ("kv-range", {"items": [], "AsOf": "1", "HasMore": False}),
        ("kv-range", {"items": [], "AsOf": -1, "HasMore": True}),
        ("kv-watch", {}),
        ("kv-watch", []),
        ("kv-watch", {"events": None, "AsOf": 1}),
        ("kv-watch", {"events": [None], "AsOf": 1}),
        ("kv-watch", {"events": [{"Key": 3, "Revision": 7, "Tombstone": True}], "AsOf": 1}),
        ("kv-watch", {"events": [{"Key": "op/config", "Value": 3, "Revision": 7}], "AsOf": 1}),
        ("kv-watch", {"events": [], "AsOf": "x"}),
        ("kv-watch", {"events": [], "AsOf": float("inf")}),
        ("kv-watch", {"events": [], "AsOf": 2**70}),
        ("kv-lease", {}),
        ("kv-lease", {"Lease": None}),
        ("kv-lease", {"Lease": "7/../8"}),
        ("kv-lease", {"Lease": 2**70}),
    )
}


async def version_in_force(entry_instance):
    """Return the version of the configuration that an instance applies."""
    page = await entry_process.ask(entry_instance.ports[3], b"/status", b"s")
    return json.loads(page.body)["configuration_version"]


async def assert_follows(store, entry_instance):
    """A new configuration comes into force, and the instance is registered."""
    test_entry.configure(store, NEW_VERSION)
    with contextlib.suppress(TimeoutError):
        await entry_process.until(lambda: _applies_new_version(entry_instance), timeout_s=10)
    assert await version_in_force(entry_instance) == NEW_VERSION
    await entry_process.until(lambda: f"turmericlug/instances/{entry_instance.name}" in store.items)
    assert entry_instance.process.returncode is None
    assert entry_instance.lines("task.failed") == []


async def _applies_new_version(entry_instance):
    return await version_in_force(entry_instance) == NEW_VERSION


@pytest.mark.parametrize("while_running", [True, False], ids=["running", "starting"])
@pytest.mark.parametrize("key, content", VALUES.values(), ids=VALUES)
def test_odd_value_ends_no_task(tmp_path, key, content, while_running):
    """One odd value made an instance stop following the store, for good and at each start."""

    async def scenario():
        async with test_entry.platform() as (store, _, store_port):
            if not while_running:
                store.put(key, content)
            async with test_entry.running_instance(tmp_path, store_port) as entry_instance:
                if while_running:
                    await entry_process.until(lambda: entry_process.ready(entry_instance))
                    store.put(key, content)
                await entry_process.until(lambda: _has_status(entry_instance))
                await asyncio.sleep(0.6)
                await assert_follows(store, entry_instance)

    asyncio.run(scenario())


def test_routes_of_a_refused_configuration_are_not_denied(tmp_path):
    """An instance that can't read the newest configuration answered its new routes with 404."""

    async def scenario():
        async with test_entry.platform() as (store, _, store_port):
            async with test_entry.running_instance(tmp_path, store_port) as entry_instance:
                await entry_process.until(lambda: entry_process.ready(entry_instance))

                async def status(expected):
                    response = await entry_process.ask(entry_instance.ports[0], b"/new/", b"q")
                    return response.status == expected

                assert await status(404)
                store.put(*configuration(ROUTE | {"Prefix": "/new/", "TimeoutMs": "soon"}))
                await entry_process.until(lambda: status(503))
                test_entry.configure(store, NEW_VERSION)
                await entry_process.until(lambda: status(404))

    asyncio.run(scenario())


@pytest.mark.parametrize("call, body", ANSWERS.values(), ids=ANSWERS)
def test_odd_answer_of_the_store_ends_no_task(tmp_path, call, body):
    """One answer of the store with a missing or odd field ended the task that had asked."""

    async def scenario():
        async with test_entry.platform() as (store, _, store_port):
            dispatch, answers = store._dispatch, [(200, body)]

            async def answer_oddly_once(asked, parameters, content):
                if asked.startswith(call) and answers:
                    return answers.pop()
                return await dispatch(asked, parameters, content)

            store._dispatch = answer_oddly_once
            async with test_entry.running_instance(tmp_path, store_port) as entry_instance:
                await entry_process.until(lambda: _has_status(entry_instance))
                await entry_process.until(lambda: not answers)
                await assert_follows(store, entry_instance)

    asyncio.run(scenario())


async def _has_status(entry_instance):
    assert entry_instance.process.returncode is None
    try:
        return await version_in_force(entry_instance) is not False
    except (ConnectionError, entry_process.client.ConnectError):
        return False


def _all_values(address):
    """Return every odd value under a key of its own; odd replicas answer where they can."""
    host, port = address
    host_and_port = f"{host}:{port}"
    for number, (key, content) in enumerate(VALUES.values()):
        if key.startswith("op/config"):
            continue
        if key.endswith("/odd"):
            key = f"{key}-{number}"
        yield key, content.replace(b'127.0.0.1:9"', host_and_port.encode() + b'"')


def _odd_configurations():
    return [content for key, content in VALUES.values() if key == "op/config"]


@contextlib.asynccontextmanager
async def _running_instances(tmp_path, store_port):
    """Run instances in two data centres, all but one of them in the first."""
    instances = []
    async with contextlib.AsyncExitStack() as stack:
        for number in range(INSTANCES):
            data_centre = "dc-2" if number == 1 else "dc-1"
            name = f"e-{number + 1}"
            instance = entry_process.make(tmp_path, name, store_port, REGIONS, data_centre)
            await instance.start()
            stack.push_async_callback(test_entry.kill, instance)
            instances.append(instance)
        yield instances


async def _answer_of(entry_instance):
    try:
        return await entry_process.ask(entry_instance.ports[0], b"/one/1", b"q")
    except (ConnectionError, entry_process.client.ConnectError):
        return None


async def _serves(entry_instance):
    answer = await _answer_of(entry_instance)
    return answer is not None and answer.status == 200


async def _refuses_without_configuration(entry_instance):
    answer = await _answer_of(entry_instance)
    return answer is not None and (answer.status, answer.body) == (503, b"no_configuration")


async def _replicas_in_use(entry_instance):
    page = await entry_process.ask(entry_instance.ports[3], b"/status", b"s")
    return sum(json.loads(page.body)["replicas"].values())


@pytest.mark.parametrize("while_running", [True, False], ids=["running", "starting"])
def test_all_odd_values_at_once_end_no_task_of_any_instance(tmp_path, while_running):
    """
    All instances that read one odd entry stopped following the store at the same moment, also those
    behind a relay, and again at each start; a replica that answered there had its name sent on.
    """

    async def scenario():
        async with test_entry.platform() as (store, replicas, store_port):
            address = replicas["i-one-0"].address
            if not while_running:
                store.remove("op/config")
                _put_odd_values(store, address)
            async with _running_instances(tmp_path, store_port) as instances:
                for entry_instance in instances:
                    expected = _serves if while_running else _refuses_without_configuration
                    await entry_process.until(functools.partial(expected, entry_instance))
                if while_running:
                    _put_odd_values(store, address)
                    await asyncio.sleep(1.0)
                for content in _odd_configurations():
                    store.put("op/config", content)
                    await asyncio.sleep(0.05)
                for entry_instance in instances:
                    await assert_follows(store, entry_instance)
                    await entry_process.until(functools.partial(_serves, entry_instance))
                    assert await _replicas_in_use(entry_instance) == len(replicas)
                    refused = entry_instance.lines("source.unreadable")
                    assert all(line["reason"] and line["problem"] for line in refused)
                    assert {"servers/\ud800", "op/config"} & {line["key"] for line in refused}

    asyncio.run(scenario())


def _put_odd_values(store, address):
    for key, content in _all_values(address):
        store.put(key, content)
    for content in _odd_configurations():
        store.put("op/config", content)
