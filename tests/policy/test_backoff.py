"""Tests of exponential backoff, and of everything that backs off after any number of failures."""

import asyncio
import itertools
import math
import random
import time
import types

import hypothesis
import pytest
import scripted
from hypothesis import strategies

from turmericlug.direct import attempts
from turmericlug.direct import pool as pool_module
from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import sending
from turmericlug.entry import relay
from turmericlug.entry import source as source_module
from turmericlug.http1 import client
from turmericlug.kernel import binding
from turmericlug.kernel import failures as failures_module
from turmericlug.kernel import supervisor
from turmericlug.owner import policy
from turmericlug.owner import replica as owner_replica
from turmericlug.policy import backoff
from turmericlug.policy import liveness
from turmericlug.policy import poison
from turmericlug.telemetry import counters
from turmericlug.wire import link

MANY = 100_000
RNG = random.Random(1)

amounts = strategies.floats(0.0, 1e300)


@hypothesis.given(amounts, amounts, strategies.integers(-(10**30), 10**30))
def test_delay_is_bounded_for_any_number_of_failures(base, maximum, failures):
    delay = backoff.delay(base, maximum, failures)
    assert 0.0 <= delay <= maximum
    assert delay >= min(base, maximum)
    assert backoff.delay(base, maximum, failures + 1) >= delay


@pytest.mark.parametrize(
    ("failures", "expected"), [(-1, 0.5), (0, 0.5), (1, 0.5), (2, 1.0), (3, 2.0), (4, 3.0)]
)
def test_delay_doubles_up_to_its_maximum(failures, expected):
    assert backoff.delay(0.5, 3.0, failures) == expected


@pytest.mark.parametrize(
    ("delay_after", "maximum"),
    [
        (policy.ejection_ms, policy.EJECTION_MAX_MS),
        (lambda count: policy.backoff_ms(count, RNG), policy.BACKOFF_MAX_MS),
        (poison.quarantine_duration_s, poison.MAX_QUARANTINE_S),
        (
            lambda count: binding.retry_delay_s(count, RNG),
            binding.MAX_RETRY_S * (1 + binding.RETRY_JITTER),
        ),
    ],
    ids=["ejection", "retry of a part", "quarantine", "listener"],
)
def test_users_have_a_delay_after_any_number_of_failures(delay_after, maximum):
    """Guards against an exponent that grows with each failure and overflows after a thousand."""
    counts = [*range(1, 2000), MANY]
    assert all(0.0 <= delay_after(count) <= maximum for count in counts)


def test_replica_that_fails_for_long_is_ejected_and_returns():
    pool = pool_module.Pool(None, lambda: 1, lambda: 0.0)
    replica = replica_module.Replica(scripted.entry("r"), pool)
    for now_s in range(MANY):
        replica.record_failure(float(now_s))
    assert replica.ejected_until_s - now_s == policy.EJECTION_MAX_MS / 1000
    assert 0.0 <= replica.failure_rate <= 1.0
    replica.record_success(10.0, 10.0, float(MANY))
    for _ in range(replica_module.FAILURES_TO_EJECT):
        replica.record_failure(float(MANY))
    assert replica.ejected_until_s - MANY == policy.EJECTION_BASE_MS / 1000


def test_target_that_fails_for_long_is_ejected_and_returns():
    target = owner_replica.Replica("r", "h:1", "dc", 4.0)
    for _ in range(MANY):
        target.record_failure(may_eject=True)
    now_s = time.monotonic()
    assert 0.0 < target.ejected_until_s - now_s <= policy.EJECTION_MAX_MS / 1000
    target.record_success(10.0)
    for _ in range(policy.EJECT_AFTER_FAILURES):
        target.record_failure(may_eject=True)
    assert target.ejected_until_s <= time.monotonic() + policy.EJECTION_BASE_MS / 1000


def test_requests_to_a_replica_that_fails_for_long_have_an_outcome():
    """
    Guards against an error instead of an outcome for all requests after 1,025 failures in a row.
    """

    async def main():
        failing = client.ConnectError("refused")
        replica = scripted.ScriptedReplica(failing)
        sender = scripted.make_sender({"s": {"r": replica}})
        for _ in range(1100):
            outcome = await attempts.get_answer(sender, scripted.make_call(), "s")
            assert outcome == sending.NotRun("connect: refused", sent=False)
        replica.script = [scripted.response()]
        answer = await attempts.get_answer(sender, scripted.make_call(), "s")
        assert isinstance(answer, sending.Answered)
        (known,) = sender.replicas.of("s")
        assert known.failures == known.ejections == 0

    asyncio.run(main())


class _AwayStore:
    def __init__(self):
        self.is_away = True

    async def changes(self, after, wait_s):
        if self.is_away:
            raise source_module.SourceError("unreachable")
        return source_module.Changes((), after.revision, era=after.era)


def test_store_that_is_away_for_long_is_asked_when_it_is_back():
    """Guards against an error that ends the task that follows the store after a long outage."""

    async def main():
        store = _AwayStore()
        peers = replicas_module.Replicas(None, scripted.PLACE, None)
        relayed = relay.RelayedSource(
            store,
            lambda key, content, revision: None,
            scripted.PLACE,
            peers,
            counters.Counters(),
            liveness.PeerLiveness(),
            random.Random(1),
        )
        at = source_module.Position(0, 5)
        for _ in range(MANY):
            with pytest.raises(source_module.SourceError):
                await relayed.changes(at, 0.0)
        loop = asyncio.get_running_loop()
        latest_s = loop.time() + relay.BACKOFF_MAX_S * 1.25
        assert loop.time() < relayed._source_retry_at_s <= latest_s
        store.is_away = False
        assert (await relayed.changes(at, 0.0)).revision == 5
        store.is_away = True
        with pytest.raises(source_module.SourceError):
            await relayed.changes(at, 0.0)
        assert relayed._source_retry_at_s <= loop.time() + relay.BACKOFF_MIN_S * 1.25

    asyncio.run(main())


def test_failures_of_relays_that_are_gone_are_forgotten():
    """Guards against memory that grows with each instance that ends while it is a relay."""
    peers = replicas_module.Replicas(
        lambda entry: pool_module.Pool(None, lambda: 1, lambda: 0.0), scripted.PLACE, None
    )

    async def main():
        relayed = relay.RelayedSource(
            None, None, scripted.PLACE, peers, counters.Counters(), liveness.PeerLiveness()
        )
        for number in range(1000):
            peers.put(scripted.entry(f"e-{number}", "dc"))
            relayed._record_failure(peers.find(f"e-{number}"), "silent")
            peers.remove(f"e-{number}")
        assert len(relayed._failures) == 1

    asyncio.run(main())


def test_job_that_fails_for_long_is_restarted():
    delays_s = []

    async def main():
        failed = asyncio.Event()
        attempts_made = itertools.count()

        async def run():
            if next(attempts_made) == MANY:
                failed.set()
                await asyncio.Event().wait()
            raise ValueError("fails")

        def on_failure(failure, restarts, delay_s):
            assert isinstance(failure, failures_module.Failure)
            delays_s.append(delay_s)

        supervised = supervisor.Supervisor(
            {"job": "nothing"}, on_failure, random.Random(1), lambda delay_s: asyncio.sleep(0)
        )
        async with supervised.background(supervisor.Job("job", run)):
            await failed.wait()

    asyncio.run(main())
    assert len(delays_s) == MANY
    assert all(0.0 < delay_s <= supervisor.RESTART_MAX_S for delay_s in delays_s)
    assert math.isclose(max(delays_s), supervisor.RESTART_MAX_S, rel_tol=0.01)


def test_link_to_a_peer_that_is_away_for_long_is_opened_again(monkeypatch):
    now_s, delays_s = [0.0], []

    class Peer(link.Link):
        async def _connect_and_read(self):
            if len(delays_s) == MANY:
                now_s[0] += 60.0
            raise OSError("connection lost")

    async def sleep(delay_s):
        delays_s.append(delay_s)
        if len(delays_s) > MANY:
            raise asyncio.CancelledError

    async def main():
        monkeypatch.setattr(link.asyncio, "sleep", sleep)
        monkeypatch.setattr(link, "time", types.SimpleNamespace(monotonic=lambda: now_s[0]))
        peer = Peer(("h", 1), "key", "own", counters.Counters())
        with pytest.raises(asyncio.CancelledError):
            await peer.run()

    asyncio.run(main())
    first_s, last_s = link._BACKOFF_S
    assert all(0.0 <= delay_s <= 1.5 * last_s for delay_s in delays_s)
    assert min(delays_s[10:MANY]) >= 0.5 * last_s
    assert delays_s[MANY] <= 1.5 * first_s
