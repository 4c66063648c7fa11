"""Odd requests of operators, and odd status reports of peers."""

from __future__ import annotations

import asyncio
import json
import types

import pytest
from aiohttp import test_utils

from turmericlug.operators import http
from turmericlug.rules import model
from turmericlug.telemetry import counters

TOKEN = "a-token-of-sixteen-characters"
NESTED = "[" * 100_000


def handlers():
    """Return the operators' interface of an instance without rules or peers."""
    made = http.OperatorsHttp.__new__(http.OperatorsHttp)
    made._settings = types.SimpleNamespace(instance=types.SimpleNamespace(operators_token=TOKEN))
    made._config = types.SimpleNamespace(rules=model.EMPTY)
    made._counters = counters.Counters()
    return made


def ask(method, path, body=None):
    """Send a request; return status and problems."""

    async def main():
        async with test_utils.TestClient(test_utils.TestServer(handlers().application())) as client:
            headers = {"Authorization": f"Bearer {TOKEN}"}
            async with client.request(method, path, data=body, headers=headers) as response:
                return response.status, (await response.json(content_type=None))["problems"][0]

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("path", "body", "named"),
    [
        ("explain", '{"priority": Infinity}', "priority"),
        ("explain", '{"priority": 1e400}', "priority"),
        ("explain", '{"priority": "5"}', "priority"),
        ("explain", '{"priority": []}', "priority"),
        ("explain", '{"priority": %s}' % ("9" * 400), "priority"),
        ("explain", '{"headers": [["a", "b"]]}', "headers"),
        ("explain", '{"headers": {"a": 1}}', "headers"),
        ("explain", '{"service": {}}', "service"),
        ("explain", NESTED, "nested"),
        ("check", NESTED, "nested"),
        ("edit", NESTED, "nested"),
        ("edit", '{"operation": "add", "base": true}', "base"),
    ],
)
def test_odd_fields_are_named(path, body, named):
    """Numbers without bounds and deep nesting were answered 500, others without the name."""
    status, problem = ask("POST", f"/v1/rules/{path}", body)
    assert status == 400
    assert named in problem


@pytest.mark.parametrize("limit", ["x", "-1", "", "1" * 5000])
def test_odd_limits_are_refused(limit):
    """A negative limit left out the oldest edits instead of being refused."""
    status, problem = ask("GET", f"/v1/rules/history?limit={limit}")
    assert (status, problem.split()[0]) == (400, "limit")


@pytest.mark.parametrize(
    "text", ["", "{", "[]", "{}", '{"instance": 1}', NESTED, json.dumps({"instance": "\ud800"})]
)
def test_an_odd_status_of_a_peer_hides_no_other(text):
    """One odd report ended the status of all instances with an error."""
    made = handlers()
    reply = types.SimpleNamespace(which=lambda: "statusReply", statusReply=text)

    async def answer(fill, timeout_s):
        return reply

    mesh = types.SimpleNamespace(link=lambda name: types.SimpleNamespace(ask=answer))
    made._detector = types.SimpleNamespace(mesh=mesh)
    peer = types.SimpleNamespace(instance="e-2", state="alive")
    status = asyncio.run(made._fetch_status(peer))
    assert (status["instance"], status["reached"]) == ("e-2", False)
    assert made._counters.totals["peer.unreadable_status"] == 1
