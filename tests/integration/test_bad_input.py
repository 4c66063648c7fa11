"""Malformed input on every port; the daemon keeps serving."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import resource

import pytest
from integration import conftest

from turmericlug.wire import codec
from turmericlug_lab import fleet as fleet_module

BAD_QUERIES = [
    ({}, "malformed"),
    ({"service": "nowhere"}, "unknown_service"),
    ({"service": "devis", "deadline_ms": 0}, "deadline_passed"),
    ({"service": "devis", "deadline_ms": -5}, "deadline_passed"),
    ({"service": "devis", "deadline_ms": 10**7}, "deadline_too_long"),
    ({"service": "devis", "deadline_ms": "soon"}, "malformed"),
    ({"service": "devis", "priority": 11}, "malformed"),
    ({"service": "devis", "caller": "a b"}, "caller_missing"),
    ({"service": "devis", "surprise": 1}, "malformed"),
    ({"service": "billing", "repeatable": False}, "idempotency_key_missing"),
    ({"service": "billing", "idempotency_key": "no-time"}, "idempotency_key_malformed"),
    ({"service": "billing", "idempotency_key": "1000000000-old"}, "idempotency_key_too_old"),
    ({"service": "billing", "idempotency_key": "9999999999-x"}, "idempotency_key_from_the_future"),
    ({"service": "devis", "idempotency_key": "now"}, "several_shards"),
    ({"service": "devis", "body": {"x": "y" * 70000}}, "too_large"),
]


def test_callers_port(run_scenario):
    """Each invalid request gets a 4xx status with its reason, and nothing runs."""

    async def scenario(fleet):
        for fields, reason in BAD_QUERIES:
            if fields.get("idempotency_key") == "now":
                fields = fields | {"idempotency_key": conftest.new_idempotency_key("now")}
            status, answer = await fleet.query("e1", **fields)
            assert 400 <= status < 500, (fields, status)
            assert (answer["outcome"], answer["reason"]) == ("rejected", reason), fields
        daemon = fleet.daemons["e1"]
        url = f"http://{daemon.host}:{daemon.callers_port}/v1/query"
        for body in (b"", b"{", b"[]", b"\xff\xfe", b"[" * 5000):
            async with fleet.http.post(url, data=body) as response:
                assert response.status == 400
        assert not conftest.runs(fleet)

    run_scenario(scenario)


def test_operators_port(run_scenario):
    """Without the token nothing is done; each invalid edit is rejected with its line and reason."""
    bad_edits = [
        ({"operation": "add", "text": "[rule a]\nthen_wrong = 1\n"}, "line 2: then_wrong"),
        ({"operation": "add", "text": "[rule a]\nwhen_x = 1\nthen_hedge = no"}, "line 2: when_x"),
        ({"operation": "add", "text": "[rule a]\nthen_deadline_ms = 0\n"}, "line 2: then_deadline"),
        ({"operation": "add", "text": "nonsense"}, "line 1"),
        ({"operation": "add", "text": "[rule a]\nwhen_service = x\nthen_hedge = no"}, "line 1: a"),
        ({"operation": "retire", "name": "none"}, "there is no rule"),
        ({"operation": "paint"}, "operation must be"),
        ({"operation": "move", "name": "none"}, "there is no rule"),
    ]

    async def scenario(fleet):
        for payload, problem in bad_edits:
            status, answer = await fleet.call_operators_api("e1", "POST", "/v1/rules/edit", payload)
            assert 400 <= status < 500
            assert answer["problems"][0].startswith(problem), answer
        for method, path, payload in (
            ("POST", "/v1/rules/explain", {"priority": "x"}),
            ("POST", "/v1/rules/explain", {"headers": 3}),
            ("POST", "/v1/rules/explain", []),
            ("GET", "/v1/rules/history?limit=x", None),
            ("PUT", "/v1/catalog", {"services": 3}),
            ("GET", "/v1/nowhere", None),
        ):
            status, answer = await fleet.call_operators_api("e1", method, path, payload)
            assert 400 <= status < 500 and answer["problems"], (path, status)
        text = "[rule all]\nthen_hedge = no\n"
        await fleet.call_operators_api(
            "e1", "POST", "/v1/rules/edit", {"operation": "add", "text": text}
        )
        shadowed_rule = "# why\n[rule hidden]\nwhen_caller = x\nthen_hedge = no\n"
        payload = {"operation": "add", "text": shadowed_rule}
        status, answer = await fleet.call_operators_api("e1", "POST", "/v1/rules/edit", payload)
        assert answer["problems"] == [
            "line 2: hidden: can never match, all before it takes all of it"
        ]
        daemon = fleet.daemons["e1"]
        url = f"http://{daemon.host}:{daemon.operators_port}/v1/drain"
        async with fleet.http.post(url, headers={"Authorization": "Bearer wrong"}) as response:
            assert response.status == 401
        assert (await fleet.call_operators_api("e1", "GET", "/v1/rules"))[1]["revision"] == 2

    run_scenario(scenario)


def hostile_payloads(rng):
    """Return hostile byte strings: random, truncated, oversized, or of another protocol."""
    wrong_protocol = codec.envelope(0)
    codec.fill(wrong_protocol, "hello", protocol=99, proof=b"x" * 32, instance="spy")
    wrong_key = codec.envelope(0)
    codec.fill(wrong_key, "hello", protocol=1, proof=b"x" * 32, instance="spy")
    ping = codec.envelope(5)
    ping.init("ping")
    wrong_key_frame = codec.encode(wrong_key)
    return [
        b"",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xff\xff\xff\xff",
        b"\x08\x00\x00\x00" + b"\0" * 8,
        codec.encode(wrong_protocol),
        wrong_key_frame,
        wrong_key_frame[:-5],
        codec.encode(ping),
        *(rng.randbytes(rng.randrange(1, 4000)) for _ in range(60)),
    ]


def resident_bytes(pid):
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize()


@pytest.mark.parametrize("port", ["peers_port", "callers_port", "operators_port"])
def test_random_bytes(run_scenario, port):
    """
    A port scan sends random bytes, truncated frames, huge lengths, and hellos with the wrong
    cluster key or another protocol version. Each connection must end, the log must say why, queries
    must go on and memory must stay bounded.
    """

    async def scenario(fleet):
        daemon = fleet.daemons["e2"]
        rng = random.Random(7)
        for payload in hostile_payloads(rng):
            reader, writer = await asyncio.open_connection(daemon.host, getattr(daemon, port))
            writer.write(payload)
            writer.write_eof()
            try:
                async with asyncio.timeout(5):
                    await reader.read()
            except ConnectionError:
                pass
            writer.transport.abort()
        status, answer = await fleet.query("e2", service="devis", body={"mark": "1"})
        assert (status, answer["outcome"]) == (200, "complete")
        if port == "peers_port":
            reasons = {record.get("reason") for record in fleet.log("e2")}
            assert {"wrong_key", "wrong_protocol", "malformed"} <= reasons
        pid = fleet.processes["e2"].pid
        assert resident_bytes(pid) < 200e6

    run_scenario(scenario)


def test_replayed_frame_ends_connection(run_scenario):
    """
    A frame of an accepted peer arrives twice, as through a faulty middlebox. Run twice, it would
    double the work; the connection must end instead, and queries must go on over the next one.
    """

    async def scenario(fleet):
        answers = []
        async with conftest.traffic(fleet, answers, clients=4, deadline_ms=1500):
            await fleet.control("proxy/peers-e2", duplicate=True)
            await asyncio.sleep(1)
            await fleet.control("proxy/peers-e2", duplicate=False)
            await asyncio.sleep(0.5)
        conftest.check_answers(fleet, answers)
        _, status = await fleet.call_operators_api("e2", "GET", "/v1/status")
        assert status["instances"][0]["counters"].get("peer.rejected.bad_frame", 0) > 0
        for mark in {mark for mark, _, _ in answers}:
            mark_runs = conftest.runs(fleet, f'{{"mark":"{mark}"}}')
            attempts = [entry["attempt"] for entry in mark_runs]
            assert len(set(attempts)) == len(attempts)

    run_scenario(scenario, proxied=True)


def test_settings_are_checked_as_a_whole(tmp_path):
    """All errors of a settings file are reported at once, with exit code 2."""
    import subprocess
    import sys

    path = tmp_path / "bad.ini"
    path.write_text("[instance]\nname = a\nport = 1\n[limits]\nmax_body_bytes = huge\n[odd]\n")
    command = [sys.executable, "-P", "-c", fleet_module._LAUNCHER["daemon"], str(path)]
    completed = subprocess.run([*command, "--check-settings"], capture_output=True, text=True)
    assert completed.returncode == 2
    for problem in ("[odd]: unknown section", "port: unknown key", "max_body_bytes: 'huge'"):
        assert problem in completed.stderr
    assert json.dumps(completed.stderr).count("missing") >= 6
