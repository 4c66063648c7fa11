"""Inspection of an instance's state by operators."""

from __future__ import annotations

import asyncio
import json

import attrs
import pytest
import scripted

from turmericlug.direct import budget
from turmericlug.direct import organisations
from turmericlug.direct import quarantine as quarantine_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.entry import inspection
from turmericlug.entry import metrics
from turmericlug.entry import organisation_counts
from turmericlug.entry import quota_status
from turmericlug.entry import source
from turmericlug.entry import view as view_module
from turmericlug.http1 import messages
from turmericlug.kernel import failures
from turmericlug.kernel import supervisor
from turmericlug.operators import entry_commands
from turmericlug.telemetry import counters

ROUTE = routes.Route("r", "h", "/a/", True, 2000.0, 100.0, 1, 2, shards=("x", "y"))
CONFIGURATION = routes.Configuration(7, (ROUTE,), {}, messages.Limits())


class IdlePool:
    waiting = open_count = opened = prewarmed = 0
    has_idle = True

    def trim(self):
        pass


def written(key, value):
    return source.Written(key, value, 1)


def ask(target, snapshot=(), method=b"GET", withheld=(), counted=(), quotas=(), tasks=()):
    """Send a request to an instance that has read a snapshot; return the status and the reply."""

    async def main():
        loop = asyncio.get_running_loop()
        replicas, peers = (
            replicas_module.Replicas(lambda entry: IdlePool(), scripted.PLACE, budget.Allowance())
            for _ in range(2)
        )
        view = view_module.View("e-1", replicas, peers, loop.time)
        if snapshot:
            view.record_source_answer()
            view.apply_snapshot(source.Snapshot(tuple(snapshot), 1))
            replicas.of("x")[1].ejected_until_s = loop.time() + 60
        quarantine = quarantine_module.Quarantine(counters.Counters(), loop.time)
        for number, request in enumerate(withheld):
            for replica in ("r1", "r2", "r3"):
                quarantine.table.record_crash(request, replica, loop.time(), on_trial=bool(number))
        counts = organisation_counts.OrganisationCounts()
        for row in counted:
            counts.add(*row)
        handle = inspection.handler(
            "e-1",
            view,
            lambda: view.ready,
            quarantine,
            counts,
            lambda: quotas,
            lambda: dict(tasks),
        )
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
    status, reply = ask(b"/status", SNAPSHOT)
    assert status == 200
    assert (reply["ready"], reply["configuration_version"]) == (True, 7)
    assert reply["replicas"] == {"in use": 1, "leaving": 1, "set aside": 1}
    assert reply["instances"] == ["e-2"]


def test_status_lists_evacuated_data_centres_and_cold_replicas():
    cold = attrs.evolve(scripted.entry("x1", "x"), warmup_left_ms=60_000.0)
    evacuated = source.Written("v/dc-2", source.Evacuation("dc-2"), 1)
    _, reply = ask(b"/status", [written("r/x1", cold), *SNAPSHOT[2:], evacuated])
    assert reply["evacuated_age_s"].keys() == {"dc-2"}
    assert reply["cold_left_s"].keys() == {"x1"}


@pytest.mark.parametrize("regions", [None, [], ["q", "r"]], ids=str)
def test_explain_lists_the_regions_of_a_route(regions):
    restricted = regions if regions is None else frozenset(regions)
    route = attrs.evolve(CONFIGURATION.routes[0], regions=restricted)
    configuration = attrs.evolve(CONFIGURATION, routes=(route,))
    snapshot = [written("config", configuration), *SNAPSHOT[1:]]
    assert ask(b"/explain?host=h&path=/a/1", snapshot)[1]["route"]["regions"] == regions


def test_status_before_the_first_snapshot():
    _, reply = ask(b"/status")
    assert (reply["ready"], reply["configuration_version"], reply["source_age_s"]) == (False,) + (
        None,
    ) * 2


def test_explain_lists_the_replicas_of_the_route_best_first():
    _, reply = ask(b"/explain?host=h&path=/a/1", SNAPSHOT)
    assert reply["route"]["name"] == "r"
    assert [(replica["replica"], replica["state"]) for replica in reply["replicas"]] == [
        ("x1", "in use"),
        ("x2", "set aside"),
        ("y1", "leaving"),
    ]


@pytest.mark.parametrize(
    ("target", "status"),
    [(b"/explain?host=h&path=/b/", 200), (b"/explain?host=h", 400), (b"/other", 404)],
)
def test_requests_without_a_result(target, status):
    found_status, reply = ask(target, SNAPSHOT)
    assert found_status == status
    assert reply is None or reply["route"] is None


def test_withheld_requests():
    status, reply = ask(b"/quarantine", withheld=[b"a", b"b"])
    assert status == 200
    by_content = {request["content"]: request for request in reply["requests"]}
    assert {content: by_content[content]["verdict"] for content in by_content} == {
        b"a".hex(): "suspected",
        b"b".hex(): "quarantined",
    }
    assert by_content[b"a".hex()]["ends"].keys() == {"r1", "r2", "r3"}
    assert by_content[b"a".hex()]["quarantined_age_s"] is None


@pytest.mark.parametrize(
    ("method", "content", "status"),
    [(b"POST", b"61", 200), (b"POST", b"62", 404), (b"POST", b"zz", 400), (b"GET", b"61", 404)],
    ids=["withheld", "not withheld", "malformed content", "wrong method"],
)
def test_lifting_a_withheld_request(method, content, status):
    assert ask(b"/quarantine/" + content, method=method, withheld=[b"a"])[0] == status


ALPHA = organisations.Organisation("alpha", 2, 10.0, 3.0, frozenset({"r"}))
BETA = organisations.Organisation("beta")
QUOTA = quota_status.Status(
    "alpha", 2.0, 9.5, 10.0, 3.0, 4, "limited", "e-2", 0.2, 1.5, admitted=5, refused=2
)


@pytest.mark.parametrize(
    ("target", "names"),
    [
        (b"/organisations", ["alpha", "gone"]),
        (b"/organisations?name=beta", ["beta"]),
        (b"/organisations?name=alpha&name=unknown", ["alpha", "unknown"]),
    ],
)
def test_organisations(target, names):
    """Guards against a refused customer whose quota, state and refusals nobody can look up."""
    listed = organisations.Organisations({b"secret-a": ALPHA, b"secret-b": BETA})
    configuration = attrs.evolve(CONFIGURATION, organisations=listed)
    _, reply = ask(
        target,
        [written("config", configuration), *SNAPSHOT[1:]],
        counted=[
            ("alpha", "answered"),
            ("alpha", "refused", "over_quota"),
            ("alpha", "refused", "over_quota"),
            ("gone", "answered"),
        ],
        quotas=[QUOTA],
    )
    assert [each["organisation"] for each in reply["organisations"]] == names
    assert reply["configured"] == 2
    by_name = {each["organisation"]: each for each in reply["organisations"]}
    if "alpha" in by_name:
        alpha = by_name["alpha"]
        assert (alpha["priority"], alpha["rate_per_s"], alpha["burst"]) == (2, 10.0, 3.0)
        assert alpha["counts"] == {"served": 1, "refused.over_quota": 2}
        assert alpha["quota"] == attrs.asdict(QUOTA)
    assert all(each["has_keys"] == (name in ("alpha", "beta")) for name, each in by_name.items())
    assert "secret" not in json.dumps(reply)


@pytest.mark.parametrize("snapshot", [SNAPSHOT, []], ids=["no organisations", "no configuration"])
def test_organisations_of_a_deployment_without_any(snapshot):
    _, reply = ask(b"/organisations", snapshot)
    assert (reply["configured"], reply["organisations"]) == (None, [])


FAILED = supervisor.Status(
    "no change is applied",
    supervisor.WAITING,
    restarts=3,
    failures_in_a_row=2,
    last_failure=failures.Failure("follower", "ValueError: odd", "entry/view.py:1"),
)
TASKS = {"follower": FAILED, "quotas": supervisor.Status("leases are kept")}


def test_tasks_that_do_not_run_are_shown(capsys):
    """Guards against an instance whose follower has ended and that looks well to its operators."""
    _, reply = ask(b"/status", SNAPSHOT, tasks=TASKS)
    assert reply["tasks"]["follower"] == {
        "state": "waiting",
        "restarts": 3,
        "failures_in_a_row": 2,
        "effect": "no change is applied",
        "reason": "ValueError: odd",
        "place": "entry/view.py:1",
    }
    assert reply["tasks"]["quotas"]["state"] == "running"
    entry_commands._print_status(reply)
    shown = capsys.readouterr().out
    assert "task follower: waiting, failed 2 times in a row: ValueError: odd (entry/view.py:1)" in (
        shown
    )
    assert "no change is applied" in shown
    assert "quotas" not in shown


def test_metrics_of_tasks():
    lines = metrics.tasks_text(TASKS).splitlines()
    assert lines == [
        'turmericlug_task_running{task="follower"} 0',
        'turmericlug_task_restarts{task="follower"} 3',
        'turmericlug_task_running{task="quotas"} 1',
        'turmericlug_task_restarts{task="quotas"} 0',
    ]
