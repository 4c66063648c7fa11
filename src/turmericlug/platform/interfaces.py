"""HTTP handlers that the platform calls: addresses for callers, and the readiness check."""

from __future__ import annotations

import json
import urllib.parse
from collections import abc

from turmericlug.entry import directory as directory_module
from turmericlug.http1 import messages
from turmericlug.platform import names

_RESOLVE_PARAMETERS = ("Region", "Zone", "Name")


def resolve_handler(directory: directory_module.Directory) -> messages.Handler:
    """Return the handler that tells a caller the addresses it may connect to."""

    async def handle(request: messages.Request) -> messages.Response:
        path, _, query = request.target.partition(b"?")
        if path != names.RESOLVE_PATH:
            return messages.Response(404)
        parameters = urllib.parse.parse_qs(query.decode("latin-1"))
        region, data_centre, host = (
            (parameters.get(name) or [""])[0] for name in _RESOLVE_PARAMETERS
        )
        addresses = directory.addresses(region, data_centre, host)
        if not addresses:
            return messages.Response(503)
        body = json.dumps({"addrs": addresses, "ttl_s": directory.lifetime_s}).encode()
        return messages.Response(200, ((b"content-type", b"application/json"),), body)

    return handle


def ready_handler(ready: abc.Callable[[], bool]) -> messages.Handler:
    """Return the handler of the readiness check: whether this instance may receive callers."""

    async def handle(request: messages.Request) -> messages.Response:
        if request.target.partition(b"?")[0] != names.READY_PATH:
            return messages.Response(404)
        return messages.Response(200 if ready() else 503)

    return handle
