"""Stand-ins for the platform's store and for replicas, with fault injection."""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
import itertools
import json
import urllib.parse

import attrs

from turmericlug.http1 import messages
from turmericlug.http1 import server

OK = 200
FIRST_LEASE_ID = 7000
MAX_BACKUPS = 200
"""Number of latest changes that a restore of the store can revert."""
ERA_HEADER = b"store-era"


@attrs.frozen
class Backup:
    """The store's state at one revision."""

    revision: int
    items: dict
    leases: dict


class Store:
    """A key-value store with revisions, leases and watches, as the platform documents it."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.compacted_revision = 0
        self.leases = {}
        self.calls = []
        self.fault = None
        """``busy``: refuse calls; ``silent``: hang; ``lost``: apply calls, but send no response."""
        self.page_size = 500
        self.lags = []
        """For each of the next stale reads, by how many revisions the reported one is behind."""
        self.stale_reads = 0
        self.stale_state = None
        """State that stale reads return instead of the current one."""
        self.era = 1
        """Incremented with each restore from a backup; sent with every response."""
        self.era_header = None
        """Value of the era header; ``None``: the era."""
        self.cut_on_restore = True
        """Whether a restore from a backup fails pending watches; otherwise they hang."""
        self.on_page = lambda: None
        """Called before each page of a read is returned."""
        self.backups = collections.deque(maxlen=MAX_BACKUPS)
        """The state before each of the latest changes, newest last."""
        self.rewrite_value = lambda key, content: content
        """Rewrites an instance's entry, for example to route its peers through a proxy."""
        self._changed = asyncio.Event()
        self._lease_ids = itertools.count(FIRST_LEASE_ID)

    def put(self, key, value, lease=0):
        """Write a key as the operator or a replica would."""
        self._add_backup()
        self.revision += 1
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {
            "Key": key,
            "Value": base64.b64encode(content).decode(),
            "Revision": self.revision,
            "Created": created,
            "Lease": lease,
        }
        self.items[key] = item
        self._publish(item)

    def remove(self, key):
        """Remove a key."""
        if key in self.items:
            self._add_backup()
            del self.items[key]
            self.revision += 1
            self._publish({"Key": key, "Revision": self.revision, "Tombstone": True})

    def _publish(self, event):
        self.history.append(event)
        self._wake()

    def _add_backup(self):
        self.backups.append(self.backup())

    def backup(self):
        """Return a backup of the current state."""
        return Backup(self.revision, dict(self.items), dict(self.leases))

    def restore_backup(self, changes):
        """
        Revert the latest changes; later writes reuse their revisions.

        :returns: the lost values by key, for keys of the operator and of replicas; ``None`` for a
            lost removal
        """
        lost = {}
        changes = min(changes, len(self.backups))
        if changes:
            restored = self.backups[-changes]
            for event in self.history:
                if event["Revision"] > restored.revision and is_external_key(event["Key"]):
                    item = self.items.get(event["Key"])
                    lost[event["Key"]] = base64.b64decode(item["Value"]) if item else None
            for _ in range(changes):
                self.backups.pop()
            self.items, self.revision = dict(restored.items), restored.revision
            self.leases = dict(restored.leases)
            self.history = [event for event in self.history if event["Revision"] <= self.revision]
            self.compacted_revision = min(self.compacted_revision, self.revision)
            self._lease_ids = itertools.count(max(self.leases, default=FIRST_LEASE_ID - 1) + 1)
        self.era += 1
        self._wake()
        return lost

    def rewrite_lost(self, lost):
        """Repeat lost writes, as the operator and the replicas do."""
        for key, content in lost.items():
            if content is None:
                self.remove(key)
            else:
                self.put(key, content)

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def forget_history(self):
        """Compact the history; watches from an earlier revision get status 410."""
        self.compacted_revision = self.revision
        self._wake()

    def end_lease(self, lease):
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
            self.remove(key)

    async def handle(self, request):
        """Serve one call to the store."""
        path, _, query = request.target.decode().partition("?")
        call = path.removeprefix("/turmericlug/")
        parameters = {key: values[0] for key, values in urllib.parse.parse_qs(query).items()}
        self.calls.append(call)
        if self.fault == "busy":
            return messages.Response(503, self._headers())
        if self.fault == "silent":
            await asyncio.sleep(60)
        headers = self._headers()
        status, body = await self._dispatch(call, parameters, json.loads(request.body or b"{}"))
        if self.fault == "lost":
            await asyncio.sleep(60)
        return messages.Response(status, headers, json.dumps(body).encode())

    def _headers(self):
        value = b"%d" % self.era if self.era_header is None else self.era_header
        return ((ERA_HEADER, value),)

    async def _dispatch(self, call, parameters, body):
        name, _, argument = call.partition("/")
        return await getattr(self, "_" + name.replace("-", "_"))(parameters, body, argument)

    async def _kv_range(self, parameters, body, argument):
        stale = parameters.get("Serializable") == "1"
        state = self.stale_state if stale and self.stale_state else self
        keys = sorted(
            key
            for key in state.items
            if key.startswith(parameters.get("Prefix", "")) and key > parameters.get("after", "")
        )
        items = [state.items[key] for key in keys[: self.page_size]]
        has_more = len(keys) > self.page_size
        self.stale_reads += stale
        lag = self.lags.pop(0) if stale and self.lags else 0
        answer = {"items": items, "HasMore": has_more, "AsOf": state.revision - lag}
        self.on_page()
        return OK, answer

    async def _kv_watch(self, parameters, body, argument):
        after, era = int(parameters["after"]), self.era
        deadline_s = asyncio.get_running_loop().time() + int(parameters["WaitMs"]) / 1000
        while True:
            if self.era != era and not self.cut_on_restore:
                await asyncio.sleep(60)
            if self.era != era:
                return 503, {}
            if after < self.compacted_revision or after > self.revision:
                return 410, {}
            events = [event for event in self.history if event["Revision"] > after]
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return OK, {"events": events, "AsOf": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()

    async def _kv_lease(self, parameters, body, argument):
        lease = next(self._lease_ids)
        self.leases[lease] = body["TtlMs"]
        return OK, {"Lease": lease, "TtlMs": body["TtlMs"]}

    async def _kv_keep(self, parameters, body, argument):
        return (OK, {"TtlMs": 3000}) if int(argument) in self.leases else (404, {})

    async def _kv_lease_end(self, parameters, body, argument):
        self.end_lease(int(argument))
        return OK, {}

    async def _kv_txn(self, parameters, body, argument):
        expected = {row["Key"]: row["Revision"] for row in body["ExpectedRev"]}
        if any(
            (self.items[key]["Revision"] if key in self.items else 0) != revision
            for key, revision in expected.items()
        ):
            return 412, {"items": [self.items[key] for key in expected if key in self.items]}
        for key in body["Remove"]:
            self.remove(key)
        for put in body["Puts"]:
            if put["Lease"] and put["Lease"] not in self.leases:
                return 404, {}
            content = self.rewrite_value(put["Key"], base64.b64decode(put["Value"]))
            self.put(put["Key"], content, put["Lease"])
        return OK, {"Revision": self.revision}


def advertise_proxy(proxy, key, content):
    """Replace an instance's address for peers, in its entry, by that of its proxy."""
    if not key.startswith("turmericlug/instances/"):
        return content
    port = proxy.routes[f"peer/{key.rpartition('/')[2]}"].listen
    return json.dumps(json.loads(content) | {"peers_address": f"127.0.0.1:{port}"}).encode()


def is_external_key(key):
    """Whether a key is written by the operator or by a replica."""
    return key.startswith(("op/", "servers/"))


@attrs.frozen
class Received:
    """A request that reached a replica, whether or not it ran there."""

    at_s: float
    request_id: bytes
    headers: tuple[tuple[bytes, bytes], ...]

    def values(self, name):
        """Return all values of a header."""
        return tuple(value for header_name, value in self.headers if header_name == name)


class Replica:
    """A replica that signs each response; ``script`` may answer requests instead."""

    def __init__(self, instance, service, body=b"", delay_s=0.0, data_centre="dc-1"):
        self.instance = instance
        self.service = service
        self.body = body
        self.delay_s = delay_s
        self.data_centre = data_centre
        self.runs = []
        self.received = []
        self.address = None
        self.script = None
        self.on_crash = None
        """Called with the replica and the request's id to crash the replica while it runs a request
        with ``lethal`` in its path."""
        self.born_ms = 1_790_000_000_000
        self.restarts = 0
        self.sequence = 0

    def restart(self):
        """
        Restart under the same name and without earlier state, as another incarnation.

        The clock of its machine is set back before every other start.
        """
        self.born_ms += 1500 if self.restarts % 2 == 0 else -2500
        self.restarts += 1
        self.sequence = 0

    async def handle(self, request):
        """Handle one request as the platform documents it."""
        expected = request.header(b"x-expect-instance")
        request_id = request.header(b"x-request-id") or b""
        now_s = asyncio.get_running_loop().time()
        self.received.append(Received(now_s, request_id, request.headers))
        if expected and expected != self.instance.encode():
            return messages.Response(421, ((b"x-instance-id", self.instance.encode()),))
        if self.script is not None:
            answer = await self.script(request)
            if answer is not None:
                return answer
        self.runs.append(request_id)
        await asyncio.sleep(self.delay_s)
        if self.on_crash is not None and b"lethal" in request.target:
            self.on_crash(self, request_id)
            raise ConnectionResetError("the replica has crashed")
        stamp = b"%s.%d.%s" % (self.instance.encode(), len(self.runs), request_id)
        headers = ((b"x-request-id", request_id), (b"x-server-stamp", stamp))
        return messages.Response(200, headers, self.body)

    def entry(self, state="ready"):
        """Return the entry that the replica publishes, with the next sequence number."""
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": "{}:{}".format(*self.address),
            "Zone": self.data_centre,
            "Version": "v1",
            "Slots": 2,
            "State": state,
            "WarmupLeftMs": 0,
            "Sequence": self.sequence,
            "born": self.born_ms,
        }


@contextlib.asynccontextmanager
async def listening(handler, port=0):
    """Serve a handler on the loopback interface; yield its address."""
    http_server = server.Server(handler, messages.Limits, 1000)
    listener = await server.listen(http_server, "127.0.0.1", port)
    try:
        yield listener.sockets[0].getsockname()
    finally:
        listener.close()
        http_server.close()


def route(name, prefix, **changes):
    """Return a route in the operator's format."""
    return {
        "Name": name,
        "Host": "h.example",
        "Prefix": prefix,
        "RouteType": "idempotent",
        "TimeoutMs": 2000,
        "GoalMs": 200,
        "Priority": 1,
        "MaxAttempts": 2,
    } | changes


def configuration(version, routes, services, organisations=None):
    """Return a configuration in the operator's format, without organisations by default."""
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 262144,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": name, "HealthPath": "/health", "MaxConns": 26, "Protocol": "h1", "Tls": False}
            for name in services
        ],
        "Limits": limits,
    } | ({} if organisations is None else {"Tenants": [each.entry() for each in organisations]})
