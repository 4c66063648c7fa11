"""Accepted rules are in force everywhere and never revert."""

from __future__ import annotations

import asyncio
import signal

import pytest
from integration import conftest


def rule(name, reason="shut", caller=""):
    when = f"when_caller = {caller or name}\n"
    return f"[rule {name}]\n{when}then_refuse = {reason}\n"


async def edit(fleet, through, operation, **fields):
    return await fleet.call_operators_api(
        through, "POST", "/v1/rules/edit", {"operation": operation, **fields}
    )


async def reason_of(fleet, through, caller):
    _, answer = await fleet.query(through, service="devis", caller=caller, body={"mark": "r"})
    return answer.get("reason", answer["outcome"]), answer["rules_revision"]


def test_operators_race(play):
    """
    Four operators add, replace and retire rules at once through different instances, two of them
    the same rule. Each hears accepted or a conflict that names the other; whatever was accepted
    is there in the end, in one order that all instances share, and none is lost.
    """

    async def scenario(fleet):
        status, first = await edit(fleet, "e1", "add", text=rule("shared"))
        base = first["revision"]

        async def operator(number):
            through = f"e{number % 3 + 1}"
            mine = []
            for count in range(5):
                name = f"o{number}-{count}"
                status, answer = await edit(fleet, through, "add", text=rule(name), operator=name)
                assert answer["outcome"] in ("accepted", "stored"), answer
                mine.append((name, answer["revision"]))
            return mine

        async def replace(through, reason):
            return await edit(
                fleet, through, "replace", text=rule("shared", reason), base=base, operator=reason
            )

        found = await asyncio.gather(
            *(operator(number) for number in range(4)), replace("e1", "ann"), replace("e3", "bob")
        )
        added = [entry for mine in found[:4] for entry in mine]
        revisions = [revision for _, revision in added]
        assert len(set(revisions)) == len(revisions)
        shared = [answer for _, answer in found[4:]]
        kinds = sorted(answer["outcome"] for answer in shared)
        assert (
            kinds[0] in ("accepted", "stored") and kinds[-1] == "conflict" or ("conflict" in kinds)
        ), shared
        conflict = next(answer for answer in shared if answer["outcome"] == "conflict")
        assert conflict["with"]["operator"] in ("ann", "bob")
        lists = [
            (await fleet.call_operators_api(name, "GET", "/v1/rules"))[1] for name in fleet.daemons
        ]
        assert lists[0] == lists[1] == lists[2]
        names = [each["name"] for each in lists[0]["rules"]]
        assert sorted(names) == sorted(["shared", *(name for name, _ in added)])

    play(scenario)


@pytest.mark.parametrize(
    "trouble",
    [
        {"lose_answers": 1},
        {"lose_answers": 3},
        {"store_delay_ms": 300.0},
    ],
)
def test_edit_with_troubled_store(play, trouble):
    """
    The store is slow, or applies an edit and its answer is lost. The operator hears accepted for
    an edit that is in force everywhere, once, and never that it failed while it took effect.
    """

    async def scenario(fleet):
        await fleet.control("platform", **trouble)
        status, answer = await edit(fleet, "e1", "add", text=rule("once"), edit="edit-1")
        assert (status, answer["outcome"]) == (200, "accepted")
        for name in fleet.daemons:
            assert await reason_of(fleet, name, "once") == ("rule_shut", answer["revision"])
        await fleet.control("platform", lose_answers=0, store_delay_ms=1.0)
        status, again = await edit(fleet, "e2", "add", text=rule("once"), edit="edit-1")
        assert again["revision"] == answer["revision"]
        _, history = await fleet.call_operators_api("e3", "GET", "/v1/rules/history")
        assert [each["rule"] for each in history["edits"]].count("once") == 1

    play(scenario)


def test_edit_in_store_outage(play):
    """
    The store is down when the operator edits: the answer says that it is unknown, and how to
    repeat. Callers are served by the old rules all along. The same edit after the outage is
    accepted and stands once.
    """

    async def scenario(fleet):
        await fleet.control("platform", store_down=True)
        status, answer = await edit(fleet, "e1", "add", text=rule("late"), edit="late-1")
        assert (status, answer["outcome"]) == (503, "unknown")
        assert "--edit late-1" in answer["problems"][0]
        await asyncio.sleep(4)
        assert (await reason_of(fleet, "e2", "late"))[0] == "complete"
        await fleet.control("platform", store_down=False)
        status, answer = await edit(fleet, "e3", "add", text=rule("late"), edit="late-1")
        assert (status, answer["outcome"]) == (200, "accepted")
        assert (await reason_of(fleet, "e1", "late"))[0] == "rule_shut"

    play(scenario)


def test_started_with_store_down(play):
    """
    An instance is replaced while the store is down. The new one must not answer callers without
    the rules: it takes them from its peers, or stays not ready.
    """

    async def scenario(fleet):
        await edit(fleet, "e1", "add", text=rule("kept"))
        await fleet.control("platform", store_down=True)
        fleet.signal("e3", signal.SIGKILL)
        await fleet.wait_exit("e3")
        fleet.start_daemon("e3")
        await fleet.wait_ready("e3")
        assert (await reason_of(fleet, "e3", "kept"))[0] == "rule_shut"

    play(scenario)


def test_frozen_instance_does_not_answer_by_old_rules(play):
    """
    An instance is frozen; rules are edited meanwhile: "stored, waiting for" it. Thawed, its first
    answers to callers must not follow the old rules. Once it confirmed, the edit is accepted.
    """

    async def scenario(fleet):
        fleet.signal("e2", signal.SIGSTOP)
        status, answer = await edit(fleet, "e1", "add", text=rule("newer"))
        assert (status, answer["outcome"], answer["waiting_for"]) == (202, "stored", ["e2"])
        asked = [asyncio.create_task(reason_of(fleet, "e2", "newer")) for _ in range(5)]
        await asyncio.sleep(0.5)
        fleet.signal("e2", signal.SIGCONT)
        for reason, _ in await asyncio.gather(*asked):
            assert reason in ("rule_shut", "not_current")

        async def confirmed():
            _, found = await fleet.call_operators_api("e1", "POST", "/v1/rules/confirm", {})
            return found["outcome"] == "accepted"

        await conftest.eventually(confirmed)
        assert (await reason_of(fleet, "e2", "newer"))[0] == "rule_shut"

    play(scenario)


def test_cut_from_store_only(play):
    """
    One instance loses the store, but not its peers: an edit is accepted, and in force there too.
    """

    async def scenario(fleet):
        await fleet.control("proxy/platform-e2", mode="hang")
        status, answer = await edit(fleet, "e1", "add", text=rule("via-peers"))
        assert (status, answer["outcome"]) == (200, "accepted")
        assert (await reason_of(fleet, "e2", "via-peers"))[0] == "rule_shut"
        await asyncio.sleep(4)
        assert (await reason_of(fleet, "e2", "other"))[0] == "complete"

    play(scenario, proxied=True)


def test_cut_from_both(play):
    """
    One instance loses store and peers. The edit made meanwhile waits for it. Within the freshness
    limit it steps aside: callers that still reach it are refused, "not run", and told when to come
    back, instead of being served by rules that may be outdated. Healed, it catches up.
    """

    async def scenario(fleet):
        others = [fleet.daemons[name].host for name in ("e1", "e3")]
        await fleet.control("proxy/peers-e2", blocked_sources=others)
        for name in ("e1", "e3"):
            await fleet.control(f"proxy/peers-{name}", blocked_sources=[fleet.daemons["e2"].host])
        await fleet.control("proxy/platform-e2", mode="hang")
        status, answer = await edit(fleet, "e1", "add", text=rule("apart"))
        assert (status, answer["waiting_for"]) == (202, ["e2"])

        async def aside():
            reason, _ = await reason_of(fleet, "e2", "apart")
            return reason == "not_current"

        await conftest.eventually(aside)
        for name in ("e1", "e2", "e3"):
            await fleet.control(f"proxy/peers-{name}", blocked_sources=[])
        await fleet.control("proxy/platform-e2", mode="pass")

        async def caught_up():
            reason, _ = await reason_of(fleet, "e2", "apart")
            assert reason in ("not_current", "rule_shut")
            return reason == "rule_shut"

        await conftest.eventually(caught_up)

    play(scenario, proxied=True)


def test_store_restored_from_backup(play):
    """
    The platform brings back an older state of the store. Rules that were accepted must not revert
    anywhere.
    """

    async def scenario(fleet):
        await edit(fleet, "e1", "add", text=rule("accepted"))
        _, history = await fleet.call_operators_api("e1", "GET", "/v1/rules/history")
        assert history["edits"]
        await fleet.control("platform", lose_writes=1)
        await asyncio.sleep(1.5)
        for name in fleet.daemons:
            assert (await reason_of(fleet, name, "accepted"))[0] == "rule_shut"

    play(scenario)


def test_rules_accepted_after_the_store_returned_from_a_copy_are_in_force(play):
    """Guards against an edit that is accepted under a revision that instances know for another."""

    async def scenario(fleet):
        for name in ("first", "second"):
            await edit(fleet, "e1", "add", text=rule(name))
        for number, writes in enumerate((1, 2)):
            await fleet.control("platform", lose_writes=writes)
            _, answer = await edit(fleet, "e2", "add", text=rule(f"later{number}"))
            assert answer["outcome"] == "accepted"
            for name in fleet.daemons:
                for each in ("first", "second", f"later{number}"):
                    assert (await reason_of(fleet, name, each))[0] == "rule_shut"

    play(scenario)


def test_running_query_delays_acceptance(play):
    """
    A long query began under the old rules when the operator edits. Its answer must not come after
    the edit was called accepted: the operator's answer waits for it, or names the instance.
    """

    async def scenario(fleet):
        for name in fleet.targets:
            await fleet.control(name, service_ms=1200.0, spread=0.0)
        loop = asyncio.get_running_loop()
        asked = asyncio.create_task(
            fleet.query("e2", service="devis", body={"mark": "1"}, deadline_ms=4000)
        )
        ended = []
        asked.add_done_callback(lambda _: ended.append(loop.time()))
        await asyncio.sleep(0.3)
        _, answer = await edit(fleet, "e1", "add", text=rule("other"))
        edited_at_s = loop.time()
        await asked
        assert answer["outcome"] == "accepted"
        assert ended[0] <= edited_at_s

    play(scenario)


def test_few_read_the_store(play):
    """
    Six instances of one data centre: two read the store, the others hear of changes from peers.
    An edit is accepted by all of them. When both readers die, others stand in, and later edits
    still arrive.
    """

    async def scenario(fleet):
        _, status = await fleet.call_operators_api("e1", "GET", "/v1/status")
        readers = [each["instance"] for each in status["instances"] if each["reads_store"]]
        assert len(readers) == 2
        before = (await fleet.stats("platform"))["range"]
        await asyncio.sleep(3)
        assert (await fleet.stats("platform"))["range"] - before <= 12
        status, answer = await edit(fleet, "e1", "add", text=rule("one"))
        assert (status, answer["outcome"]) == (200, "accepted")
        for name in fleet.daemons:
            assert (await reason_of(fleet, name, "one"))[0] == "rule_shut"
        for name in readers:
            fleet.signal(name, signal.SIGKILL)
            await fleet.wait_exit(name)
            await fleet.unregister(name)
        left = [name for name in fleet.daemons if name not in readers]

        async def accepted():
            _, found = await fleet.call_operators_api(left[0], "POST", "/v1/rules/confirm", {})
            return found.get("outcome") == "accepted"

        await edit(fleet, left[0], "add", text=rule("two"))
        await conftest.eventually(accepted)
        for name in left:
            assert (await reason_of(fleet, name, "two"))[0] == "rule_shut"

    play(scenario, daemons=6, data_centres=("dc1",))
