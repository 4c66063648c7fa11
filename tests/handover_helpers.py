"""Helpers for tests of the handover of batches between instances, with scripted replicas."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import scripted

from turmericlug.direct import budget
from turmericlug.direct import handover
from turmericlug.direct import handover_codec
from turmericlug.direct import peers as peers_module
from turmericlug.direct import placement
from turmericlug.direct import pool as pool_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.entry import batches
from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.http1 import server

REGIONS = {"near": "here", "far": "there", "further": "elsewhere"}
PLACE = placement.Place("e-1", "near", REGIONS)
BATCH = handover_codec.Batch(
    request_id=b"q1",
    method=b"GET",
    target=b"/a?b",
    headers=[(b"host", b"h")],
    body=b"x",
    route="r",
    goal_ms=100.0,
    priority=1,
    max_attempts=2,
    top_records=3,
    shards=("x", "y"),
    answer_in_ms=50.0,
    time_left_ms=500.0,
    data_centre="far",
    maybe_sent_before=True,
)


def part(number):
    return scripted.response(body=number.to_bytes(16, "big"), signed=b"sig%d" % number)


async def silent(request):
    await asyncio.sleep(30)


INTERIM_RESPONSE = b"HTTP/1.1 102 Processing\r\n\r\n"


@contextlib.asynccontextmanager
async def peer(handler, interim=INTERIM_RESPONSE, others=(), weighting=None):
    """
    Run peers in the data centre ``far`` and yield a ``Handover`` that sends batches to them.

    :param handler: handler of the first peer
    :param interim: interim response that the first peer sends; empty for none
    :param others: handlers of further peers, which send an interim response
    :param weighting: the capacities of the peers; ``None``: all are alike
    """
    loop = asyncio.get_running_loop()

    def make_pool(entry):
        return pool_module.Pool(
            lambda: client.connect(entry.host, entry.port), lambda: 3, loop.time
        )

    peers = replicas_module.Replicas(make_pool, PLACE, budget.Allowance())
    async with contextlib.AsyncExitStack() as stack:
        handlers = [(handler, interim), *((other, INTERIM_RESPONSE) for other in others)]
        for number, (each_handler, each_interim) in enumerate(handlers, 2):
            peer_server = server.Server(each_handler, messages.Limits, 10, interim=each_interim)
            listener = await server.listen(peer_server, "127.0.0.1", 0)
            stack.callback(peer_server.close)
            stack.callback(listener.close)
            host, port = listener.sockets[0].getsockname()
            peers.put(routes.ReplicaEntry(f"e-{number}", "far", host, port, "far", 1, False, 0))
        yield handover.Handover(peers_module.Peers(peers, PLACE, weighting))


def make_sender(scripts):
    """Create a sender; the prefix of each replica's name is its data centre."""
    sender = scripted.make_sender(scripts)
    replica_table = replicas_module.Replicas(
        sender.replicas._make_pool, PLACE, budget.Allowance(0.2, 100.0, 10.0)
    )
    for service, replicas in scripts.items():
        for name in replicas:
            replica_table.put(scripted.entry(name, service, data_centre=name.partition("-")[0]))
    sender.replicas = replica_table
    return sender


REPLICAS_BY_SERVICE = {"x": ["far-1"], "y": ["far-2", "further-2"], "z": ["near-3", "far-3"]}


def scripts(number_of=None):
    return {
        service: {name: scripted.ScriptedReplica(part(ord(service))) for name in names}
        for service, names in REPLICAS_BY_SERVICE.items()
    }


def state_shared(batch, sender):
    """Return a batch that states the shared replicas in the view of a sender."""
    route = scripted.make_call(max_attempts=batch.max_attempts).route
    shared = [
        sender.replicas.shared(shard, route, batch.request_id, batch.data_centre)
        for shard in batch.shards
    ]
    return attrs.evolve(
        batch, shared=tuple(frozenset(map(placement.replica_id, names)) for names in shared)
    )


def query_call(**changes):
    values = {"shards": ("x", "y", "z"), "top_records": 2, "min_coverage": 0.3, "services": ()}
    return scripted.make_call(**(values | changes))


def peer_handler(replicas, load=handover_codec.Load()):
    """
    Return a peer's handler, which creates its sender to the replicas at the first batch.

    :param load: the load that it reports
    """
    created = {}

    async def handle(request):
        if "handler" not in created:
            sender = make_sender(replicas)
            sender.own_load = lambda: load
            created["handler"] = batches.handler(sender)
        return await created["handler"](request)

    return handle
