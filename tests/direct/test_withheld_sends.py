"""Requests that wait for a connection while the choice of their replica ceases to be right."""

from __future__ import annotations

import asyncio

import attrs
import handover_helpers
import pytest
import scripted

from turmericlug.direct import attempts
from turmericlug.direct import sending

GOOD = scripted.response(body=bytes(16))
BUSY_S = 0.6
"""How long the requests before take at the replica, and so all others wait for its connections."""
ANSWERED_S = 0.3
"""Enough for an answer of another replica, and too little for a wait until a connection is free."""
CONNECTIONS = 3
"""Connections of a pool of ``scripted.make_sender``."""
HERE = frozenset({"here"})


def entry(**changes):
    return scripted.entry("near-1", data_centre="near", **changes)


def drain(sender, near):
    sender.replicas.put(entry(draining=True))


def remove(sender, near):
    sender.replicas.remove("near-1")


def restart(sender, near):
    sender.replicas.put(entry(born_ms=2, port=9, draining=True))


def evacuate(sender, near):
    sender.replicas.evacuate("near", 0.0)


def misdirect(sender, near):
    near.record_misdirected(asyncio.get_running_loop().time())


def move(sender, near):
    sender.replicas.put(attrs.evolve(entry(), data_centre="far"))


EVENTS = [drain, remove, restart, evacuate]


class SlowConnect(scripted.ScriptedReplica):
    """A replica whose connections open only after ``may_connect`` is set."""

    def __init__(self, *script):
        super().__init__(*script)
        self.may_connect = asyncio.Event()

    async def connect(self):
        await self.may_connect.wait()
        return await super().connect()


def make_sender(near):
    """Return a sender with a replica that is chosen first, and another in the same region."""
    replicas = {"near-1": near, "far-1": scripted.ScriptedReplica(GOOD)}
    sender = handover_helpers.make_sender({"s": replicas})
    return sender, sender.replicas.find("near-1"), replicas["far-1"]


@pytest.mark.parametrize("event", [*EVENTS, misdirect])
@pytest.mark.parametrize("idempotent", [True, False])
def test_request_that_waits_for_a_connection_to_open(event, idempotent):
    """
    Guards against a request that reaches a replica long after it has reported that it drains, or is
    gone: it was chosen before, and the request waited for a connection.
    """

    async def main():
        scripted_near = SlowConnect(GOOD)
        sender, near, far = make_sender(scripted_near)
        call = scripted.make_call(idempotent=idempotent, goal_ms=1000.0)
        task = asyncio.create_task(attempts.get_answer(sender, call, "s"))
        await asyncio.sleep(0.01)
        event(sender, near)
        scripted_near.may_connect.set()
        outcome = await task
        assert isinstance(outcome, sending.Answered)
        assert (len(scripted_near.requests), len(far.requests)) == (0, 1)
        assert near.failures == 0, "a decision of this instance is no evidence about a replica"
        assert call.attempts_by_service["s"][0].ran is False
        await sender.tasks.close()

    asyncio.run(main())


def test_restricted_request_that_waits_while_its_replica_moves():
    """Guards against a request that reaches another region than its route allows."""

    async def main():
        scripted_near = SlowConnect(GOOD)
        sender, near, far = make_sender(scripted_near)
        call = scripted.make_call(regions=HERE)
        task = asyncio.create_task(attempts.get_answer(sender, call, "s"))
        await asyncio.sleep(0.01)
        move(sender, near)
        scripted_near.may_connect.set()
        outcome = await task
        assert isinstance(outcome, sending.NotRun)
        assert not scripted_near.requests and not far.requests
        await sender.tasks.close()

    asyncio.run(main())


@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize("waiting", [1, 24])
def test_requests_that_wait_for_a_busy_replica(event, waiting):
    """
    Guards against requests that wait for a connection of a replica that drains until the ones
    before have ended, and reach it seconds late: they are sent to another replica at once.
    """

    async def main():
        loop = asyncio.get_running_loop()
        scripted_near = scripted.ScriptedReplica(*(CONNECTIONS * [BUSY_S]), GOOD)
        sender, near, far = make_sender(scripted_near)
        first = [
            asyncio.create_task(
                attempts.get_answer(
                    sender, scripted.make_call(idempotent=False), "s", first_replica=near
                )
            )
            for _ in range(CONNECTIONS)
        ]
        await asyncio.sleep(0.01)
        tasks = [
            asyncio.create_task(
                attempts.get_answer(
                    sender, scripted.make_call(idempotent=False), "s", first_replica=near
                )
            )
            for _ in range(waiting)
        ]
        await asyncio.sleep(0.01)
        assert len(scripted_near.requests) == CONNECTIONS
        began_s = loop.time()
        event(sender, near)
        outcomes = await asyncio.gather(*tasks)
        assert loop.time() - began_s < ANSWERED_S
        assert all(isinstance(outcome, sending.Answered) for outcome in outcomes)
        assert len(scripted_near.requests) == CONNECTIONS
        assert len(far.requests) == waiting
        assert near.pool.waiting == near.pool.all_waiting.count == 0
        assert near.failures == 0
        outcomes = await asyncio.gather(*first)
        assert all(isinstance(outcome, sending.Answered) for outcome in outcomes)
        await sender.tasks.close()

    asyncio.run(main())


def test_waiting_requests_keep_their_order():
    """
    Guards against a request that goes behind all others of its rank each time that it is woken and
    finds no connection: the idle connections are looked through every few seconds.
    """

    async def main():
        scripted_near = scripted.ScriptedReplica(*(CONNECTIONS * [0.05]), GOOD)
        sender, near, _ = make_sender(scripted_near)
        order = []

        async def use(number):
            async with near.pool.connection(0) as connection:
                order.append(number)
                await connection.exchange(b"")

        tasks = [asyncio.create_task(use(number)) for number in range(CONNECTIONS + 4)]
        await asyncio.sleep(0.01)
        near.pool.trim()
        await asyncio.gather(*tasks)
        assert order == sorted(order)
        await sender.tasks.close()

    asyncio.run(main())
