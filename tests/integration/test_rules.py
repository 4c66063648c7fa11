"""Accepted rules are in force on every instance and never revert."""

from __future__ import annotations

import asyncio
import contextlib
import json
import select
import signal
import time
from http import client

import pytest
from integration import conftest


def rule(name, reason="shut", caller=""):
    condition = f"when_caller = {caller or name}\n"
    return f"[rule {name}]\n{condition}then_refuse = {reason}\n"


async def send_edit(fleet, daemon_name, operation, **fields):
    return await fleet.call_operators_api(
        daemon_name, "POST", "/v1/rules/edit", {"operation": operation, **fields}
    )


async def query_reason(fleet, daemon_name, caller):
    _, answer = await fleet.query(daemon_name, service="devis", caller=caller, body={"mark": "r"})
    return answer.get("reason", answer["outcome"]), answer["rules_revision"]


def test_operators_race(run_scenario):
    """
    Four operators add rules while two others replace the same rule, all at once through different
    instances. Each must get accepted, stored, or a conflict that names the other; every accepted
    edit must be there in the end, in one order that all instances share.
    """

    async def scenario(fleet):
        status, shared_edit = await send_edit(fleet, "e1", "add", text=rule("shared"))
        base_revision = shared_edit["revision"]

        async def add_rules(number):
            daemon_name = f"e{number % 3 + 1}"
            own_rules = []
            for rule_count in range(5):
                name = f"o{number}-{rule_count}"
                status, answer = await send_edit(
                    fleet, daemon_name, "add", text=rule(name), operator=name
                )
                assert answer["outcome"] in ("accepted", "stored"), answer
                own_rules.append((name, answer["revision"]))
            return own_rules

        async def replace(daemon_name, reason):
            return await send_edit(
                fleet,
                daemon_name,
                "replace",
                text=rule("shared", reason),
                base=base_revision,
                operator=reason,
            )

        results = await asyncio.gather(
            *(add_rules(number) for number in range(4)), replace("e1", "ann"), replace("e3", "bob")
        )
        added_rules = [added_rule for own_rules in results[:4] for added_rule in own_rules]
        revisions = [revision for _, revision in added_rules]
        assert len(set(revisions)) == len(revisions)
        replacements = [answer for _, answer in results[4:]]
        outcomes = sorted(answer["outcome"] for answer in replacements)
        assert (
            outcomes[0] in ("accepted", "stored")
            and outcomes[-1] == "conflict"
            or ("conflict" in outcomes)
        ), replacements
        conflict = next(answer for answer in replacements if answer["outcome"] == "conflict")
        assert conflict["with"]["operator"] in ("ann", "bob")
        rule_lists = [
            (await fleet.call_operators_api(name, "GET", "/v1/rules"))[1] for name in fleet.daemons
        ]
        assert rule_lists[0] == rule_lists[1] == rule_lists[2]
        names = [listed_rule["name"] for listed_rule in rule_lists[0]["rules"]]
        assert sorted(names) == sorted(["shared", *(name for name, _ in added_rules)])

    run_scenario(scenario)


@pytest.mark.parametrize(
    "trouble",
    [
        {"lose_answers": 1},
        {"lose_answers": 3},
        {"store_delay_ms": 300.0},
    ],
)
def test_edit_with_troubled_store(run_scenario, trouble):
    """
    The store is slow, or applies an edit and loses the answer. The edit must be reported as
    accepted, be in force everywhere and stand once; it must never be reported as failed while it
    took effect.
    """

    async def scenario(fleet):
        await fleet.control("platform", **trouble)
        status, answer = await send_edit(fleet, "e1", "add", text=rule("once"), edit="edit-1")
        assert (status, answer["outcome"]) == (200, "accepted")
        for daemon_name in fleet.daemons:
            assert await query_reason(fleet, daemon_name, "once") == (
                "rule_shut",
                answer["revision"],
            )
        await fleet.control("platform", lose_answers=0, store_delay_ms=1.0)
        status, repeated = await send_edit(fleet, "e2", "add", text=rule("once"), edit="edit-1")
        assert repeated["revision"] == answer["revision"]
        _, history = await fleet.call_operators_api("e3", "GET", "/v1/rules/history")
        assert [change["rule"] for change in history["edits"]].count("once") == 1

    run_scenario(scenario)


def test_edit_in_store_outage(run_scenario):
    """
    The store is down during an edit: the answer must say that the outcome is unknown and how to
    repeat the edit. Callers must be served by the old rules throughout. Repeated after the outage,
    the edit must be accepted and stand once.
    """

    async def scenario(fleet):
        await fleet.control("platform", store_down=True)
        status, answer = await send_edit(fleet, "e1", "add", text=rule("late"), edit="late-1")
        assert (status, answer["outcome"]) == (503, "unknown")
        assert "--edit late-1" in answer["problems"][0]
        await asyncio.sleep(4)
        assert (await query_reason(fleet, "e2", "late"))[0] == "complete"
        await fleet.control("platform", store_down=False)
        status, answer = await send_edit(fleet, "e3", "add", text=rule("late"), edit="late-1")
        assert (status, answer["outcome"]) == (200, "accepted")
        assert (await query_reason(fleet, "e1", "late"))[0] == "rule_shut"

    run_scenario(scenario)


def test_started_with_store_down(run_scenario):
    """
    An instance is replaced while the store is down. The new one must not answer callers without the
    rules: it gets them from its peers, or stays not ready.
    """

    async def scenario(fleet):
        await send_edit(fleet, "e1", "add", text=rule("kept"))
        await fleet.control("platform", store_down=True)
        fleet.signal("e3", signal.SIGKILL)
        await fleet.wait_exit("e3")
        fleet.start_daemon("e3")
        await fleet.wait_ready("e3")
        assert (await query_reason(fleet, "e3", "kept"))[0] == "rule_shut"

    run_scenario(scenario)


def test_frozen_instance_does_not_answer_by_old_rules(run_scenario):
    """
    Rules are edited while an instance is frozen: the edit is stored and waits for it. Resumed, its
    first answers must not follow the old rules. Once the instance has confirmed, the edit must be
    accepted.
    """

    async def scenario(fleet):
        fleet.signal("e2", signal.SIGSTOP)
        status, answer = await send_edit(fleet, "e1", "add", text=rule("newer"))
        assert (status, answer["outcome"], answer["waiting_for"]) == (202, "stored", ["e2"])
        queries = [asyncio.create_task(query_reason(fleet, "e2", "newer")) for _ in range(5)]
        await asyncio.sleep(0.5)
        fleet.signal("e2", signal.SIGCONT)
        for reason, _ in await asyncio.gather(*queries):
            assert reason in ("rule_shut", "not_current")

        async def confirmed():
            _, confirmation = await fleet.call_operators_api("e1", "POST", "/v1/rules/confirm", {})
            return confirmation["outcome"] == "accepted"

        await conftest.eventually(confirmed)
        assert (await query_reason(fleet, "e2", "newer"))[0] == "rule_shut"

    run_scenario(scenario)


async def cut_off(fleet, store=False, peers=False):
    """Cut the second of three instances off from the store, from its peers, or from both."""
    if store:
        await fleet.control("proxy/platform-e2", mode="hang")
    if peers:
        other_hosts = [fleet.daemons[daemon_name].host for daemon_name in ("e1", "e3")]
        await fleet.control("proxy/peers-e2", blocked_sources=other_hosts)
        for daemon_name in ("e1", "e3"):
            await fleet.control(
                f"proxy/peers-{daemon_name}", blocked_sources=[fleet.daemons["e2"].host]
            )


async def query_frozen_instance(fleet, deadline_ms):
    """Return the answers to queries that the second instance gets while it is frozen for 1.5 s."""
    fleet.signal("e2", signal.SIGSTOP)
    queries = [
        asyncio.create_task(
            fleet.query("e2", service="devis", body={"mark": str(number)}, deadline_ms=deadline_ms)
        )
        for number in range(8)
    ]
    await asyncio.sleep(1.5)
    fleet.signal("e2", signal.SIGCONT)
    return [answer for _, answer in await asyncio.gather(*queries)]


@pytest.mark.parametrize("lost", ["nothing", "store", "peers"])
def test_resumed_instance_serves_the_queries_that_it_can(run_scenario, lost):
    """
    An instance is frozen for longer than its evidence may be renewed. Queries that it reads before
    the store or a peer has confirmed its rules again were refused, although that takes some ms.
    """

    async def scenario(fleet):
        if lost != "nothing":
            await cut_off(fleet, **{lost: True})
        answers = await query_frozen_instance(fleet, deadline_ms=5000)
        assert [answer["outcome"] for answer in answers] == ["complete"] * len(answers), answers

    run_scenario(scenario, proxied=True)


def test_resumed_instance_without_store_and_peers_refuses_early(run_scenario):
    """
    An instance that nobody confirms after a freeze must refuse queries within the time-outs of its
    renewal, a second for the store, and not hold them until their deadlines.
    """

    async def scenario(fleet):
        await cut_off(fleet, store=True, peers=True)
        answers = asyncio.create_task(query_frozen_instance(fleet, deadline_ms=20000))
        await asyncio.sleep(1.5)
        resumed_at_s = time.monotonic()
        reasons = {answer.get("reason") for answer in await answers}
        assert reasons == {"not_current"}
        assert time.monotonic() - resumed_at_s < 4

    run_scenario(scenario, proxied=True)


def test_cut_from_store_only(run_scenario):
    """
    One instance loses the store but not its peers: an edit is accepted and in force there too.
    """

    async def scenario(fleet):
        await fleet.control("proxy/platform-e2", mode="hang")
        status, answer = await send_edit(fleet, "e1", "add", text=rule("via-peers"))
        assert (status, answer["outcome"]) == (200, "accepted")
        assert (await query_reason(fleet, "e2", "via-peers"))[0] == "rule_shut"
        await asyncio.sleep(4)
        assert (await query_reason(fleet, "e2", "other"))[0] == "complete"

    run_scenario(scenario, proxied=True)


def test_cut_from_both(run_scenario):
    """
    One instance loses both store and peers, and an edit waits for it. Within the freshness limit it
    must step aside: callers that still reach it are refused as not run, and told when to come back,
    instead of being served by rules that may be outdated. Once healed, it must catch up.
    """

    async def scenario(fleet):
        other_hosts = [fleet.daemons[daemon_name].host for daemon_name in ("e1", "e3")]
        await fleet.control("proxy/peers-e2", blocked_sources=other_hosts)
        for daemon_name in ("e1", "e3"):
            await fleet.control(
                f"proxy/peers-{daemon_name}", blocked_sources=[fleet.daemons["e2"].host]
            )
        await fleet.control("proxy/platform-e2", mode="hang")
        status, answer = await send_edit(fleet, "e1", "add", text=rule("apart"))
        assert (status, answer["waiting_for"]) == (202, ["e2"])

        async def stepped_aside():
            reason, _ = await query_reason(fleet, "e2", "apart")
            return reason == "not_current"

        await conftest.eventually(stepped_aside)
        for daemon_name in ("e1", "e2", "e3"):
            await fleet.control(f"proxy/peers-{daemon_name}", blocked_sources=[])
        await fleet.control("proxy/platform-e2", mode="pass")

        async def caught_up():
            reason, _ = await query_reason(fleet, "e2", "apart")
            assert reason in ("not_current", "rule_shut")
            return reason == "rule_shut"

        await conftest.eventually(caught_up)

    run_scenario(scenario, proxied=True)


def test_store_restored_from_backup(run_scenario):
    """
    The platform restores the store from an older backup. Accepted rules must not revert anywhere.
    """

    async def scenario(fleet):
        await send_edit(fleet, "e1", "add", text=rule("accepted"))
        _, history = await fleet.call_operators_api("e1", "GET", "/v1/rules/history")
        assert history["edits"]
        await fleet.control("platform", lose_writes=1)
        await asyncio.sleep(1.5)
        for daemon_name in fleet.daemons:
            assert (await query_reason(fleet, daemon_name, "accepted"))[0] == "rule_shut"

    run_scenario(scenario)


def test_rules_accepted_after_the_store_returned_from_a_copy_are_in_force(run_scenario):
    """Guards against an edit accepted under a revision by which instances already know another."""

    async def scenario(fleet):
        for name in ("first", "second"):
            await send_edit(fleet, "e1", "add", text=rule(name))
        for restore_number, writes in enumerate((1, 2)):
            await fleet.control("platform", lose_writes=writes)
            _, answer = await send_edit(fleet, "e2", "add", text=rule(f"later{restore_number}"))
            assert answer["outcome"] == "accepted"
            for daemon_name in fleet.daemons:
                for rule_name in ("first", "second", f"later{restore_number}"):
                    assert (await query_reason(fleet, daemon_name, rule_name))[0] == "rule_shut"

    run_scenario(scenario)


def test_running_query_delays_acceptance(run_scenario):
    """
    A long query starts under the old rules and an edit follows. The query must not be answered
    after the edit was reported as accepted: the answer to the edit waits for the query, or names
    the instance.
    """

    async def scenario(fleet):
        for target_name in fleet.targets:
            await fleet.control(target_name, service_ms=1200.0, spread=0.0)
        daemon = fleet.daemons["e2"]
        query = {"caller": "tests", "service": "devis", "body": {"mark": "1"}, "deadline_ms": 4000}
        connection = client.HTTPConnection(daemon.host, daemon.callers_port, timeout=5)
        with contextlib.closing(connection):
            connection.request("POST", "/v1/query", json.dumps(query))
            await asyncio.sleep(0.3)
            _, answer = await send_edit(fleet, "e1", "add", text=rule("other"))
            # An instance sends the answer of a query before it tells its peers that the query has
            # ended. The order in which the event loop gets two answers proves nothing.
            poll = select.poll()
            poll.register(connection.sock, select.POLLIN)
            answered = poll.poll(0)
            query_answer = json.load(connection.getresponse())
        assert answer["outcome"] == "accepted"
        assert answered
        assert query_answer["outcome"] == "complete"

    run_scenario(scenario)


def test_few_read_the_store(run_scenario):
    """
    Of six instances in one data centre, two read the store and the others get changes from peers.
    All must accept an edit. When both readers die, others must replace them, and later edits must
    still arrive.
    """

    async def scenario(fleet):
        _, status = await fleet.call_operators_api("e1", "GET", "/v1/status")
        readers = [
            instance["instance"] for instance in status["instances"] if instance["reads_store"]
        ]
        assert len(readers) == 2
        reads_before = (await fleet.stats("platform"))["range"]
        await asyncio.sleep(3)
        assert (await fleet.stats("platform"))["range"] - reads_before <= 12
        status, answer = await send_edit(fleet, "e1", "add", text=rule("one"))
        assert (status, answer["outcome"]) == (200, "accepted")
        for daemon_name in fleet.daemons:
            assert (await query_reason(fleet, daemon_name, "one"))[0] == "rule_shut"
        for daemon_name in readers:
            fleet.signal(daemon_name, signal.SIGKILL)
            await fleet.wait_exit(daemon_name)
            await fleet.unregister(daemon_name)
        remaining = [daemon_name for daemon_name in fleet.daemons if daemon_name not in readers]

        async def accepted():
            _, confirmation = await fleet.call_operators_api(
                remaining[0], "POST", "/v1/rules/confirm", {}
            )
            return confirmation.get("outcome") == "accepted"

        await send_edit(fleet, remaining[0], "add", text=rule("two"))
        await conftest.eventually(accepted)
        for daemon_name in remaining:
            assert (await query_reason(fleet, daemon_name, "two"))[0] == "rule_shut"

    run_scenario(scenario, daemons=6, data_centres=("dc1",))
