"""A fleet of instances that share quotas: real messages on a clock that jumps between timers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import types

from turmericlug.direct import organisations
from turmericlug.direct import routes
from turmericlug.entry import quota_peers
from turmericlug.entry import quota_service
from turmericlug.entry import quotas
from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.policy import quota
from turmericlug.policy import quota_share
from turmericlug.telemetry import counters

HEADER_BYTES = 60
"""Of a response to a message."""
RULE = quota.Rule(window_s=5.0, overage=0.1, slack=20.0)


class JumpingLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer instead of waiting for it."""

    _now_s = 1000.0

    def time(self):
        return self._now_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0]._when)
        super()._run_once()


def organisation(rate_per_s=5.0, burst=10.0, name="org"):
    return organisations.Organisation(name, None, rate_per_s, burst)


async def _run(instance_quotas):
    """Run the quotas of an instance until cancelled."""
    try:
        await instance_quotas.run()
    finally:
        await instance_quotas.close()


class _Peer:
    """Another instance as the replica object that messages are sent through."""

    def __init__(self, fleet, sender, receiver):
        self.fleet, self.sender, self.receiver = fleet, sender, receiver
        self.entry = types.SimpleNamespace(instance=receiver)
        self.pool = self

    @contextlib.asynccontextmanager
    async def connection(self, priority):
        pair = frozenset((self.sender, self.receiver))
        if pair not in self.fleet.connected:
            await self._travel(self.sender, self.receiver)
            await self._travel(self.receiver, self.sender)
            self.fleet.connected.add(pair)
        yield self

    async def exchange(self, request):
        await self._travel(self.sender, self.receiver)
        self.fleet.messages += 1
        body = request.partition(b"\r\n\r\n")[2]
        handler = quota_service.handler(self.fleet.quotas[self.receiver])
        answer = await handler(messages.Request(b"POST", quota_peers.PATH, (), body, 0.0))
        self.fleet.bytes += len(request) + HEADER_BYTES + len(answer.body)
        await self._travel(self.receiver, self.sender)
        return answer

    async def _travel(self, sender, receiver):
        await asyncio.sleep(self.fleet.latency_s)
        while sender in self.fleet.frozen or receiver in self.fleet.frozen:
            await asyncio.sleep(0.01)
        if receiver not in self.fleet.quotas or sender not in self.fleet.quotas:
            raise client.ConnectError("refused")
        if frozenset((sender, receiver)) in self.fleet.cut:
            await asyncio.sleep(3600)


class _Peers(dict):
    def find(self, name):
        return self.get(name)

    def all(self):
        return self.values()


class Fleet:
    """Instances by name, links between them, and the times at which requests were admitted."""

    def __init__(self, size, organisation, latency_s=0.025, seed=1):
        self.names = [f"e{number}" for number in range(size)]
        self.latency_s = latency_s
        self.rng = random.Random(seed)
        self.quotas, self.views, self.runs = {}, {}, {}
        self.connected, self.cut, self.frozen = set(), set(), set()
        self.listed = list(self.names)
        self.messages = self.bytes = 0
        self.admitted_s, self.refused, self.waited_s = [], [], []
        self.owed = self.owed_refused = 0
        self._owed_tokens, self._owed_s = organisation.burst, 1000.0
        self.configure(organisation)

    def configure(self, organisation):
        """Put a configuration with one organisation in force everywhere."""
        self.organisation = organisation
        by_key = organisations.Organisations({b"key": organisation})
        self.configuration = routes.Configuration(
            1, (), {}, messages.Limits(), organisations=by_key
        )
        for view in self.views.values():
            view.configuration = self.configuration

    def start(self, name, is_young=False):
        """Start an instance, which knows nothing."""
        view = types.SimpleNamespace(
            configuration=self.configuration,
            instances={},
            peers=_Peers(),
            own_entry_removed=False,
            instance_count=lambda: len(self.listed),
        )
        loop = asyncio.get_running_loop()
        self.views[name] = view
        self.quotas[name] = quotas.Quotas(
            RULE, name, view, counters.Counters(), self.rng, loop.time
        )
        if not is_young:
            self.quotas[name]._holder._started_s -= 60
        self.list_at(name)
        self.runs[name] = loop.create_task(_run(self.quotas[name]))

    def start_all(self, is_young=False):
        for name in self.names:
            self.start(name, is_young)

    def list_at(self, name):
        """Give an instance the current list of instances."""
        view = self.views[name]
        view.instances = dict.fromkeys(self.listed)
        view.peers = _Peers({n: _Peer(self, name, n) for n in self.listed if n != name})
        self.quotas[name].on_instances_changed()

    def set_listed(self, names):
        """Change the list of instances everywhere."""
        self.listed = list(names)
        for name in self.quotas:
            self.list_at(name)

    def stop(self, name):
        """End an instance at once."""
        self.runs.pop(name).cancel()
        del self.quotas[name], self.views[name]

    def holders(self):
        return quota.holders(self.organisation.name, self.listed)

    def cut_off(self, names):
        """Cut all links between some instances and the others."""
        self.cut |= {frozenset((one, other)) for one in names for other in self.names}
        self.cut -= {frozenset((one, other)) for one in names for other in names}

    def _is_owed(self, now_s):
        """Whether a request is within the organisation's rate and burst."""
        limit, since_s = self.organisation, now_s - self._owed_s
        largest = max(limit.burst, 1.0)
        self._owed_tokens = min(self._owed_tokens + limit.rate_per_s * since_s, largest)
        self._owed_s = now_s
        is_owed = self._owed_tokens >= 1
        self._owed_tokens -= is_owed
        self.owed += is_owed
        return is_owed

    async def request(self, name, rank=0):
        """Handle one request at an instance."""
        loop, own = asyncio.get_running_loop(), self.quotas[name]
        began_s = loop.time()
        is_owed = self._is_owed(began_s)
        decision = own.try_admit(self.organisation, loop.time())
        if isinstance(decision, quota_share.MustAsk):
            decision = await own.ask(self.organisation, loop.time() + 1.0, rank)
            if self.quotas.get(name) is not own:
                return None
            self.waited_s.append(loop.time() - began_s)
        if isinstance(decision, quota_share.Admitted):
            self.admitted_s.append(loop.time())
        else:
            self.refused.append((loop.time(), rank))
            self.owed_refused += is_owed
        return decision

    async def load(self, rate_per_s, duration_s, names=None, rank=lambda rng: 0, evenly=False):
        """Send requests at random instances for a time."""
        loop = asyncio.get_running_loop()
        tasks, next_s = [], loop.time()
        until_s = loop.time() + duration_s
        while True:
            next_s += 1 / rate_per_s if evenly else self.rng.expovariate(rate_per_s)
            if next_s >= until_s:
                break
            await asyncio.sleep(next_s - loop.time())
            eligible = [n for n in names or self.quotas if n in self.quotas]
            name = self.rng.choice([n for n in eligible if n not in self.frozen])
            tasks.append(asyncio.create_task(self.request(name, rank(self.rng))))
        await asyncio.sleep(max(until_s - loop.time(), 0))
        await asyncio.gather(*tasks)

    def most_in_a_window(self):
        """Return the largest number of requests admitted in any window."""
        times, start, most = sorted(self.admitted_s), 0, 0
        for end, at_s in enumerate(times):
            while times[start] <= at_s - RULE.window_s:
                start += 1
            most = max(most, end - start + 1)
        return most

    def bound(self):
        limit = self.organisation
        quota_of_window = limit.rate_per_s * RULE.window_s + limit.burst
        return quota_of_window * (1 + RULE.overage) + RULE.slack


def run(scenario):
    """Run a coroutine function on a jumping clock."""
    with asyncio.Runner(loop_factory=JumpingLoop) as runner:
        return runner.run(scenario())
