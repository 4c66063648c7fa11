"""What an instance tells an operator of its beliefs."""

from __future__ import annotations

import asyncio
import json

import attrs
import pytest
import scripted

from turmericlug.direct import budget
from turmericlug.direct import quarantine as quarantine_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.entry import beliefs
from turmericlug.entry import source
from turmericlug.entry import view as view_module
from turmericlug.http1 import messages
from turmericlug.telemetry import counters

ROUTE = routes.Route("r", "h", "/a/", True, 2000.0, 100.0, 1, 2, shards=("x", "y"))
CONFIGURATION = routes.Configuration(7, (ROUTE,), {}, messages.Limits())


class NoPool:
    waiting = open_count = opened = opened_ahead = 0
    has_idle = True

    def trim(self):
        pass


def written(key, value):
    return source.Written(key, value, 1)


def ask(target, snapshot=(), method=b"GET", held=()):
    """Ask an instance that has read a snapshot; returns the status and the told beliefs."""

    async def main():
        loop = asyncio.get_running_loop()
        replicas, peers = (
            replicas_module.Replicas(lambda entry: NoPool(), scripted.PLACE, budget.Allowance())
            for _ in range(2)
        )
        view = view_module.View("e-1", replicas, peers, loop.time)
        if snapshot:
            view.source_regained()
            view.apply_snapshot(source.Snapshot(tuple(snapshot), 1))
            replicas.of("x")[1].ejected_until_s = loop.time() + 60
        quarantine = quarantine_module.Quarantine(counters.Counters(), loop.time)
        for number, request in enumerate(held):
            for replica in ("r1", "r2", "r3"):
                quarantine.table.record_crash(request, replica, loop.time(), on_trial=bool(number))
        handle = beliefs.handler("e-1", view, lambda: view.ready, quarantine)
        answer = await handle(messages.Request(method, target, (), b"", 0.0))
        return answer.status, json.loads(answer.body) if answer.status == 200 else None

    return asyncio.run(main())


SNAPSHOT = [
    written("config", CONFIGURATION),
    written("r/x1", scripted.entry("x1", "x")),
    written("r/x2", scripted.entry("x2", "x")),
    written("r/y1", scripted.entry("y1", "y", draining=True)),
    written("e/e-2", source.EntryInstance("e-2", "h:1", "dc", "r", "h:2")),
]


def test_status():
    status, told = ask(b"/status", SNAPSHOT)
    assert status == 200
    assert (told["ready"], told["configuration_version"]) == (True, 7)
    assert told["replicas"] == {"in use": 1, "leaving": 1, "set aside": 1}
    assert told["instances"] == ["e-2"]


def test_status_tells_what_is_evacuated_and_what_is_cold():
    cold = attrs.evolve(scripted.entry("x1", "x"), warmup_left_ms=60_000.0)
    evacuated = source.Written("v/dc-2", source.Evacuation("dc-2"), 1)
    _, told = ask(b"/status", [written("r/x1", cold), *SNAPSHOT[2:], evacuated])
    assert told["evacuated_age_s"].keys() == {"dc-2"}
    assert told["cold_left_s"].keys() == {"x1"}


@pytest.mark.parametrize("regions", [None, [], ["q", "r"]], ids=str)
def test_explain_tells_the_regions_of_a_route(regions):
    bound = regions if regions is None else frozenset(regions)
    route = attrs.evolve(CONFIGURATION.routes[0], regions=bound)
    configuration = attrs.evolve(CONFIGURATION, routes=(route,))
    snapshot = [written("config", configuration), *SNAPSHOT[1:]]
    assert ask(b"/explain?host=h&path=/a/1", snapshot)[1]["route"]["regions"] == regions


def test_status_before_the_first_reading():
    _, told = ask(b"/status")
    assert (told["ready"], told["configuration_version"], told["source_age_s"]) == (False,) + (
        None,
    ) * 2


def test_explain_names_the_route_and_its_replicas_best_first():
    _, told = ask(b"/explain?host=h&path=/a/1", SNAPSHOT)
    assert told["route"]["name"] == "r"
    assert [(each["replica"], each["state"]) for each in told["replicas"]] == [
        ("x1", "in use"),
        ("x2", "set aside"),
        ("y1", "leaving"),
    ]


@pytest.mark.parametrize(
    ("target", "status"),
    [(b"/explain?host=h&path=/b/", 200), (b"/explain?host=h", 400), (b"/other", 404)],
)
def test_questions_without_an_answer(target, status):
    found, told = ask(target, SNAPSHOT)
    assert found == status
    assert told is None or told["route"] is None


def test_the_requests_that_are_held_back():
    status, told = ask(b"/quarantine", held=[b"a", b"b"])
    assert status == 200
    found = {each["content"]: each for each in told["requests"]}
    assert {each: found[each]["verdict"] for each in found} == {
        b"a".hex(): "suspected",
        b"b".hex(): "quarantined",
    }
    assert found[b"a".hex()]["ends"].keys() == {"r1", "r2", "r3"}
    assert found[b"a".hex()]["quarantined_age_s"] is None


@pytest.mark.parametrize(
    ("method", "content", "status"),
    [(b"POST", b"61", 200), (b"POST", b"62", 404), (b"POST", b"zz", 400), (b"GET", b"61", 404)],
    ids=["held back", "not held back", "no content", "only asked"],
)
def test_an_operator_allows_a_request(method, content, status):
    assert ask(b"/quarantine/" + content, method=method, held=[b"a"])[0] == status
