from __future__ import annotations

import collections
import random

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from turmericlug.membership import members


def make_member(name, state=members.ALIVE, incarnation=1, data_centre="dc"):
    return members.Member(name, state, incarnation, "127.0.0.1", 1, 2, data_centre)


@pytest.mark.parametrize(
    ("known", "received", "state"),
    [
        (("alive", 1), ("suspect", 1), "suspect"),
        (("suspect", 1), ("alive", 1), "suspect"),
        (("suspect", 1), ("alive", 2), "alive"),
        (("dead", 1), ("suspect", 1), "dead"),
        (("dead", 1), ("alive", 2), "alive"),
        (("leaving", 1), ("suspect", 1), "leaving"),
        (("alive", 3), ("dead", 2), "alive"),
    ],
)
def test_merge(known, received, state):
    view = members.Members(make_member("me"))
    view.merge(make_member("peer", *known))
    view.merge(make_member("peer", *received))
    assert view.by_instance["peer"].state == state


@pytest.mark.parametrize("state", [members.SUSPECT, members.DEAD])
def test_own_death_is_refuted(state):
    view = members.Members(make_member("me"))
    view.merge(make_member("me", state, 5))
    assert (view.own.state, view.own.incarnation) == (members.ALIVE, 6)
    assert view.take_updates()[0] == view.own


@pytest.mark.parametrize("known_state", [members.ALIVE, members.SUSPECT, members.LEAVING])
@pytest.mark.parametrize("known_ready", [True, False])
def test_instance_that_starts_again_after_its_clock_was_set_back(known_state, known_ready):
    """
    Guards against an instance whose notices the others drop for as long as it lives: that it has
    the rules, that it leaves. Its incarnation begins with its clock, and was higher before.
    """
    other = members.Members(make_member("peer"))
    other.merge(attrs.evolve(make_member("me", known_state, 5000), ready=known_ready))
    view = members.Members(attrs.evolve(make_member("me", incarnation=4000), ready=False))
    for member in other.by_instance.values():
        view.merge(member)  # the reply to an instance that has just started has the whole list
    for changes in ({"ready": True}, {"state": members.LEAVING}):
        view.announce(**changes)
        for member in view.take_updates():
            other.merge(member)
        assert other.by_instance["me"] == view.own


def test_refuting_a_death_keeps_the_leaving_state():
    view = members.Members(make_member("me"))
    view.announce(state=members.LEAVING)
    view.merge(make_member("me", members.DEAD, view.own.incarnation))
    assert view.own.state == members.LEAVING


def test_an_update_is_sent_a_bounded_number_of_times():
    view = members.Members(make_member("me"))
    view.merge(make_member("peer"))
    sent = sum(len(view.take_updates()) > 1 for _ in range(100))
    assert 3 <= sent <= 15


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["alive", "suspect", "leaving", "dead"]),
            strategies.integers(1, 4),
        ),
        min_size=1,
    ),
    strategies.randoms(use_true_random=False),
)
@hypothesis.settings(derandomize=True)
def test_views_converge_in_any_order(updates, rng):
    final_members = set()
    for _ in range(3):
        view = members.Members(make_member("me"))
        rng.shuffle(updates)
        for update in updates:
            view.merge(make_member("peer", *update))
        final_members.add(view.by_instance["peer"])
    assert len(final_members) == 1


def test_losing_one_owner_moves_only_its_services():
    fleet = [make_member(f"e{number}") for number in range(9)]
    services = [f"s{number}" for number in range(900)]
    before = {name: members.rank_owners(name, "", fleet)[0].instance for name in services}
    after = {name: members.rank_owners(name, "", fleet[1:])[0].instance for name in services}
    assert all(after[name] == before[name] for name in services if before[name] != "e0")
    counts = collections.Counter(before.values())
    assert min(counts.values()) > 60 and max(counts.values()) < 150


def test_owner_is_in_the_replicas_data_centre():
    fleet = [make_member("a", data_centre="x"), make_member("b", data_centre="y")]
    assert members.rank_owners("s", "y", fleet)[0].instance == "b"
    assert len(members.rank_owners("s", "y", fleet)) == 2


@pytest.mark.parametrize(
    ("state", "ready", "serving"),
    [("alive", True, True), ("suspect", True, True), ("alive", False, False)]
    + [("leaving", True, False), ("dead", True, False)],
)
def test_serving_depends_on_state_and_readiness(state, ready, serving):
    """Neither a new instance without rules nor a leaving instance may get callers."""
    instance = attrs.evolve(make_member("a", state), ready=ready)
    assert instance.serving is serving


def test_wire_round_trip():
    from turmericlug.wire import codec

    fleet = [attrs.evolve(make_member("a", "leaving", 7), load_permille=300), make_member("b")]
    envelope = codec.envelope(1)
    codec.fill(envelope, "probeReply", news=members.to_wire(fleet))
    decoded = codec.decode(codec.encode(envelope)[4:])
    assert members.from_wire(decoded.probeReply.news) == fleet


def make_view(own, names):
    """Return the view of an instance that knows all others and has nothing to gossip."""
    view = members.Members(make_member(own))
    for name in names:
        if name != own:
            view.merge(make_member(name))
    view._pending_updates.clear()
    return view


@pytest.mark.parametrize("instances", [2, 14, 30, 76, 300])
def test_gossip_reaches_all_instances_in_time(instances):
    """
    An instance that leaves closes its port when its address has expired for whoever may still name
    it. In larger fleets the gossip took longer than the fixed time that it waited.
    """
    rng = random.Random(instances)
    names = [f"e{number}" for number in range(instances)]
    fleet = {name: make_view(name, names) for name in names}
    probe_sets = {name: members.probe_set(name, fleet[name].peers()) for name in names}

    def exchange(name, peer):
        for sender, receiver in ((name, peer), (peer, name)):
            for update in fleet[sender].take_updates():
                fleet[receiver].merge(update)

    fleet["e0"].announce(state=members.LEAVING)
    for peer in probe_sets["e0"]:
        exchange("e0", peer)
    for number in range(members.gossip_rounds(instances, len(probe_sets["e0"]) + 1)):
        for name in rng.sample(names, instances):
            exchange(name, probe_sets[name][number % len(probe_sets[name])])
    assert all(view.by_instance["e0"].state == members.LEAVING for view in fleet.values())
