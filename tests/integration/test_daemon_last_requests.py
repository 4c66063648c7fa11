"""The last requests that a ``turmericlugd`` receives before a planned stop ends it."""

from __future__ import annotations

import asyncio
import signal
import time

import aiohttp
import pytest
from integration import conftest

SERVICE_MS = 1500.0
"""How long a request takes; longer than any margin of the stop."""
INTERVAL_S = 0.4
"""Between two requests, so that one is always running."""
ANSWERS = {"complete", "partial", "failed"}
MAX_STOP_S = 10.0
"""Several times the lifetime of an address and the duration of a request together."""


async def press_until_exit(fleet, daemon_name, fields, is_kept):
    """Send requests until a daemon has ended; return by mark how each of them ended."""
    daemon = fleet.daemons[daemon_name]
    url = f"http://{daemon.host}:{daemon.callers_port}/v1/query"
    ended = {}

    async def ask(session, mark):
        body = {"caller": "tests", "body": {"mark": mark}, "deadline_ms": 8000, **fields(mark)}
        try:
            async with session.post(url, json=body) as response:
                answer = await response.json()
                ended[mark] = (answer["outcome"], answer.get("reason", ""))
        except aiohttp.ClientConnectorError:
            ended[mark] = ("not connected", "")
        except aiohttp.ClientError as error:
            ended[mark] = ("cut", str(error))

    connector = aiohttp.TCPConnector(limit=0, force_close=not is_kept)
    async with aiohttp.ClientSession(connector=connector) as session:
        began_s = time.monotonic()
        tasks = []
        while fleet.processes[daemon_name].poll() is None:
            assert time.monotonic() < began_s + MAX_STOP_S, "has not ended"
            mark = f"m{len(tasks)}."
            tasks.append(asyncio.create_task(ask(session, mark)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
    return ended


@pytest.mark.parametrize("is_kept", [False, True], ids=["new connections", "kept connections"])
@pytest.mark.parametrize("service", ["devis", "billing"])
def test_requests_until_the_end_are_answered_or_have_not_run(run_scenario, service, is_kept):
    """
    Guards against requests that an instance takes at the end of its planned stop and cuts off after
    they have run, and against callers that keep an instance from ending.
    """

    def fields(mark):
        if service == "billing":
            key = conftest.new_idempotency_key(f"k{mark}")
            return {"service": service, "idempotency_key": key}
        return {"service": service}

    async def scenario(fleet):
        for target_name in fleet.targets:
            await fleet.control(target_name, service_ms=SERVICE_MS, spread=0.0)
        fleet.signal("e2", signal.SIGTERM)
        ended = await press_until_exit(fleet, "e2", fields, is_kept)
        assert fleet.processes["e2"].returncode == 0
        assert ended["m0."] == ("complete", "")
        ran = {mark for mark in ended if conftest.runs(fleet, f'"{mark}"')}
        unanswered = {mark for mark, (outcome, _) in ended.items() if outcome not in ANSWERS}
        assert not unanswered & ran, ended

    run_scenario(scenario)
