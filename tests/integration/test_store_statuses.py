"""A status or a body of the store that doesn't fit the call ends no task of an instance."""

from __future__ import annotations

import asyncio
import itertools

import entry_process
import pytest
import standin_platform
from integration import test_entry
from integration import test_outside_values

from turmericlug.http1 import client
from turmericlug.http1 import messages

CALLS = ("kv-range", "kv-watch", "kv-lease", "kv-keep", "kv-txn")
STATUSES = (404, 410, 412)
"""Statuses with a meaning for some calls: an ended lease, lost history, another revision."""
BODIES = {"empty": b"", "null": b"null", "deeply nested": test_outside_values.DEEP_JSON}


async def serves_status(instance):
    """Whether the instance answers operators."""
    try:
        return await test_outside_values.version_in_force(instance) is not False
    except (client.ConnectError, client.ExchangeError):
        return False


async def assert_follows_after(tmp_path, call, response):
    """An instance that got one odd response to a call follows the store, and is registered."""
    async with test_entry.platform() as (store, _, _):
        answers = [response]

        async def answer_oddly_once(request):
            is_asked = request.target.decode().removeprefix("/turmericlug/").startswith(call)
            return answers.pop() if is_asked and answers else await store.handle(request)

        async with standin_platform.listening(answer_oddly_once) as (_, odd_port):
            async with test_entry.running_instance(tmp_path, odd_port) as instance:
                await entry_process.until(lambda: not answers)
                await entry_process.until(lambda: serves_status(instance))
                await test_outside_values.assert_follows(store, instance)


@pytest.mark.parametrize("call, status", [*itertools.product(CALLS, STATUSES)])
def test_odd_status_of_the_store_ends_no_task(tmp_path, call, status):
    """A status that means an ended lease or lost history, to another call, ended the task."""
    response = messages.Response(status, (), b"{}")
    asyncio.run(assert_follows_after(tmp_path, call, response))


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES)
def test_odd_body_of_the_store_ends_no_task(tmp_path, call, body):
    """A body that can't be decoded, or has no fields, ended the task that had asked."""
    response = messages.Response(200, (), body)
    asyncio.run(assert_follows_after(tmp_path, call, response))
