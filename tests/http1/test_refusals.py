"""Requests that the server refuses by itself are counted and logged, once each, with the reason."""

from __future__ import annotations

import asyncio

import pytest
from http1 import test_server

from turmericlug.http1 import messages
from turmericlug.http1 import request_budget
from turmericlug.http1 import server
from turmericlug.telemetry import decisions

HEAD = b"POST /a HTTP/1.1\r\nhost: h\r\n"
LIMITS = messages.Limits(
    header_bytes=2000, body_bytes=5000, header_timeout_s=0.1, idle_timeout_s=0.2
)
REFUSED = {
    "long header": ([HEAD + b"x: " + b"v" * 3000 + b"\r\n\r\n"], 431, "head_too_large"),
    "long target": ([b"GET /" + b"v" * 3000 + b" HTTP/1.1\r\n"], 431, "head_too_large"),
    "announced body": ([HEAD + b"content-length: 9999\r\n\r\n"], 413, "body_too_large"),
    "chunked body": (
        [HEAD + b"transfer-encoding: chunked\r\n\r\n1770\r\n" + b"b" * 6000],
        413,
        "body_too_large",
    ),
    "chunk extensions": (
        [HEAD + b"transfer-encoding: chunked\r\n\r\n", *[b"1;" + b"e" * 2000 for _ in range(5)]],
        413,
        "framing_too_large",
    ),
    "stalled head": ([HEAD], 408, "head_too_slow"),
    "stalled body": ([HEAD + b"content-length: 9\r\n\r\n"], 408, "body_too_slow"),
    "no HTTP": ([b"\x16\x03\x01\r\n\r\n"], 400, "unreadable"),
    "unclear framing": ([HEAD + b"transfer-encoding: gzip\r\n\r\n"], 400, "unreadable"),
    "memory": ([HEAD + b"content-length: 4000\r\n\r\n"], 503, "memory"),
}


@pytest.mark.parametrize(("pieces", "status", "reason"), REFUSED.values(), ids=REFUSED)
def test_a_refusal_is_counted_and_logged(pieces, status, reason, monkeypatch):
    """Most refusals had neither counter nor line: callers saw them, operators did not."""
    logged, counted = [], []
    monkeypatch.setattr(decisions, "log", lambda event, **fields: logged.append((event, fields)))

    async def main():
        http_server = server.Server(
            test_server.echo,
            lambda: LIMITS,
            100,
            budget=request_budget.RequestBudget(3000 if reason == "memory" else 10_000),
            on_refused=counted.append,
        )
        listener = await server.listen(http_server, "127.0.0.1", 0)
        received = await test_server.send_and_receive(listener.sockets[0].getsockname(), *pieces)
        listener.close()
        http_server.close()
        return received

    received = asyncio.run(main())
    assert received.split(b" ")[1] == b"%d" % status
    assert counted == [reason]
    ((event, fields),) = logged
    assert (event, fields["reason"], fields["status"]) == ("caller.refused", reason, status)
