"""Replicas that send a response a second time, late, where the next response is expected."""

from __future__ import annotations

import asyncio

import pytest
import scripted

from turmericlug.direct import attempts
from turmericlug.direct import pool as pool_module
from turmericlug.direct import sending
from turmericlug.direct import trial
from turmericlug.http1 import client

GOOD = scripted.response(body=b"good")
FAILED = scripted.response(500, body=b"failed")
RAN = (GOOD, FAILED)
SHED = scripted.SHED
SHED_UNNAMED = client.Response(503, b"", ((b"not-run", b"1"),), b"", True)
"""A refusal that does not name its request."""


class CopyingConnection(scripted.Connection):
    """Returns the copy of an earlier response in place of a later one."""

    def __init__(self, replica):
        super().__init__(replica)
        self.responses = []

    async def exchange(self, request):
        response = await super().exchange(request)
        self.replica.runs += response in RAN
        self.responses.append(response)
        if len(self.responses) > self.replica.copies_after:
            return self.responses[-1 - self.replica.copies_after]
        return response


class CopyingReplica(scripted.ScriptedReplica):
    """Sends each response again on its connection, after a number of further requests."""

    def __init__(self, *script, copies_after=1):
        super().__init__(*script)
        self.copies_after = copies_after
        self.runs = 0

    async def connect(self):
        return CopyingConnection(self)


async def get_answer(sender, **changes):
    return await attempts.get_answer(sender, scripted.make_call(**changes), "s")


@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize(
    "script",
    [[SHED, GOOD], [SHED, SHED, GOOD], [SHED_UNNAMED, GOOD], [SHED, SHED, SHED, SHED, GOOD]],
    ids=["refused once", "twice", "without identifier", "until the last retry"],
)
def test_a_copied_refusal_is_not_taken_for_the_answer_to_a_retry(script, idempotent):
    """Guards against a request that runs and is refused as not run, or runs twice."""

    async def main():
        replica = CopyingReplica(*script)
        sender = scripted.make_sender({"s": {"a": replica}})
        outcome = await get_answer(sender, idempotent=idempotent, max_attempts=1)
        await sender.tasks.close()
        return outcome, replica.runs

    outcome, runs = asyncio.run(main())
    assert isinstance(outcome, sending.Answered)
    assert runs == 1


def test_a_copied_failure_is_not_taken_for_the_answer_to_a_retry():
    """Guards against a failure of a request whose retry has succeeded."""

    async def main():
        replicas = {"a": CopyingReplica(FAILED, GOOD), "b": CopyingReplica(FAILED, GOOD)}
        sender = scripted.make_sender({"s": replicas})
        outcome = await get_answer(sender, idempotent=True)
        await sender.tasks.close()
        return outcome

    assert isinstance(asyncio.run(main()), sending.Answered)


def test_a_copied_answer_to_a_trial_is_not_taken_for_that_of_the_query(monkeypatch):
    """Guards against a part that fails because the trial before it failed at the replica."""

    async def begin_trial(*_):
        return True

    async def main():
        sender = scripted.make_sender({"s": {"a": CopyingReplica(FAILED, GOOD)}})
        call = scripted.make_call(shards=("s",))
        monkeypatch.setattr(trial, "_begin_trial", begin_trial)
        assert await trial.try_query(sender, call) is None
        outcome = await attempts.get_answer(sender, call, "s")
        await sender.tasks.close()
        return outcome, call.may_have_been_sent()

    outcome, may_have_been_sent = asyncio.run(main())
    assert isinstance(outcome, sending.Answered)
    assert may_have_been_sent


@pytest.mark.parametrize(
    ("first", "second", "opened"),
    [(False, False, 2), (True, False, 2), (True, True, 1), (False, True, 1)],
)
def test_a_refusal_without_identifier_is_not_taken_for_that_of_another_request(
    first, second, opened
):
    """
    Guards against a request that runs and is refused as not run: a copy of a refusal that does not
    name its request arrives in place of the response to the next one.
    """

    async def main():
        replica = CopyingReplica(SHED_UNNAMED, GOOD)
        sender = scripted.make_sender({"s": {"a": replica}}, slack=0.0)
        await get_answer(sender, idempotent=first, max_attempts=1)
        sender.replicas.of("s")[0].shed_until_s = 0.0
        outcome = await get_answer(sender, idempotent=second, max_attempts=1)
        await sender.tasks.close()
        return outcome, sender.replicas.of("s")[0].pool.opened

    outcome, connections = asyncio.run(main())
    assert second or isinstance(outcome, sending.Answered)
    assert connections == opened


@pytest.mark.parametrize(
    ("avoided", "held", "opened", "open_count"),
    [
        pytest.param([], [], 3, 3, id="none avoided"),
        pytest.param([2], [], 3, 3, id="another one is idle"),
        pytest.param([0, 1, 2], [], 4, 3, id="all avoided, at the limit"),
        pytest.param([1, 2], [0], 4, 3, id="the other one is in use"),
    ],
)
def test_connections_that_carried_the_request_are_avoided(avoided, held, opened, open_count):
    """Guards against a new connection where an idle one can be used, and beyond the limit."""

    async def main():
        replica = scripted.ScriptedReplica(GOOD)
        pool = pool_module.Pool(replica.connect, lambda: 3, asyncio.get_running_loop().time)
        async with pool.connection(0) as a, pool.connection(0) as b, pool.connection(0) as c:
            connections = [a, b, c]
        avoid = [connections[index] for index in avoided]
        while held and pool._idle[-1] is not connections[held[0]]:
            pool._idle.rotate()
        in_use = pool._idle.pop() if held else None
        async with asyncio.timeout(0.1), pool.connection(0, avoid=avoid) as connection:
            assert connection not in avoid and connection is not in_use
        return pool.opened, pool.open_count

    assert asyncio.run(main()) == (opened, open_count)
