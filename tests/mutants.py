"""Takes one mechanism away at a time, in a scratch copy, and shows that its test fails then.

Run by hand: ``python tests/mutants.py [NAME...]``; docs/PROOFS.md holds what a run printed.
"""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import attrs

ROOT = pathlib.Path(__file__).parents[1]
LIMIT_S = 120
"""Some tests wait for what the mechanism brings about, and never end without it."""


@attrs.frozen
class Mutant:
    """A mechanism taken away, and the test that has to notice."""

    name: str
    path: str
    edits: tuple[tuple[str, str], ...]
    test: str


def one(name, path, old, new, test):
    return Mutant(name, f"src/turmericlug/{path}", ((old, new),), f"tests/{test}")


I = "integration/"  # noqa: E741 - a prefix, used in each line below
MUTANTS = (
    Mutant(
        "take-any-snapshot",
        "src/turmericlug/owner/service_queue.py",
        (
            (
                "case target.SnapshotAbsent():\n                self._again(part)",
                "case target.SnapshotAbsent():\n                part.snapshot = "
                '"s2" if part.snapshot == "s1" else "s1"\n                self._again(part)',
            ),
            ("snapshot=outcome.snapshot,", 'snapshot="s1",'),
        ),
        f"tests/{I}test_snapshots.py::test_version_switch_under_queries",
    ),
    one(
        "no-attempt-check",
        "owner/target.py",
        "if response.headers.get(ATTEMPT) != attempt:",
        "if not attempt:",
        f"{I}test_own_answer.py::test_replies_go_wrong[crossed]",
    ),
    one(
        "no-body-check",
        "owner/target.py",
        "or not _is_json(body)",
        "",
        f"{I}test_own_answer.py::test_replies_go_wrong[garbage]",
    ),
    one(
        "lost-owner-not-replaced",
        "query/fan_out.py",
        "        if self._plan.repeatable:\n            waiting.clear()",
        "        if not self._plan.query_id:\n            waiting.clear()",
        f"{I}test_own_answer.py::test_owner_dies_and_comes_back",
    ),
    one(
        "no-silence-check",
        "wire/link.py",
        "if now_s - since_s > limit_s:",
        "if now_s - since_s > 3600:",
        f"{I}test_own_answer.py::test_owner_frozen",
    ),
    one(
        "unknown-called-not-run",
        "owner/service_queue.py",
        "        if part.may_have_run:\n            self._fail(part, reason)",
        "        if part.done:\n            self._fail(part, reason)",
        f"{I}test_at_most_once.py::test_key_runs_once[dying_targets]",
    ),
    one(
        "run-without-claim",
        "query/coordinator.py",
        "if verdict.outcome != ledger.GRANTED:",
        "if verdict.outcome in (ledger.MISMATCH, ledger.EXPIRED):",
        f"{I}test_at_most_once.py::test_key_runs_once[store_outage]",
    ),
    one(
        "records-without-swap",
        "records/ledger.py",
        "expected = {self._head_key: self._head_revision}",
        "expected = {}",
        "records/test_ledger.py::TestWriters",
    ),
    one(
        "late-claim-revives",
        "records/ledger.py",
        "if entry is not None and entry.attempt == wanted.attempt:",
        "if entry is not None and not wanted.attempt:",
        "records/test_ledger.py::test_late_claim_of_a_released_attempt_does_not_revive_it",
    ),
    one(
        "drain-reply-ignored",
        "owner/service_queue.py",
        'case target.NotRun(reason="draining"):',
        'case target.NotRun(reason="never"):',
        f"{I}test_leaving_target.py::test_drain_with_lagging_list_and_lying_health",
    ),
    one(
        "no-ejection",
        "owner/replica.py",
        "if self.failures < enough or not may_eject:",
        "if self.failures >= 0:",
        f"{I}test_leaving_target.py::test_crashed_target",
    ),
    one(
        "stop-without-lifetime",
        "daemon.py",
        "await asyncio.sleep(settings.policy.address_lifetime_ms / 1000)",
        "await asyncio.sleep(0)",
        f"{I}test_planned_stop.py::test_rolling_replacement[False]",
    ),
    one(
        "ready-without-rules",
        "membership/members.py",
        "return self.ready and self.state in (ALIVE, SUSPECT)",
        "return self.state in (ALIVE, SUSPECT)",
        "membership/test_members.py::test_who_takes_new_work",
    ),
    one(
        "always-current",
        "membership/freshness.py",
        "return self._now_s() - newest_at_s <= self._limit_s",
        "return True",
        f"{I}test_rules.py::test_cut_from_both",
    ),
    one(
        "no-gap-check",
        "membership/freshness.py",
        "gap = now_s - self._ticked_at_s > self._limit_s / 3",
        "gap = False",
        "membership/test_freshness.py::test_a_gap_voids_everything",
    ),
    one(
        "revisions-may-fall",
        "rules/configuration.py",
        "if document.revision <= current:",
        "if document.revision == current:",
        "rules/test_configuration.py",
    ),
    one(
        "accept-before-old-queries-end",
        "query/coordinator.py",
        "while any(each < revision for each in self._running.values()):",
        "while False:",
        f"{I}test_rules.py::test_running_query_delays_acceptance",
    ),
    one(
        "edit-not-found-again",
        "rules/edits.py",
        "if edit.edit == change.edit:",
        "if not change.edit:",
        f"{I}test_rules.py::test_edit_with_troubled_store",
    ),
    one(
        "death-not-refuted",
        "membership/members.py",
        "if member.state != self.own.state and member.incarnation >= self.own.incarnation:",
        "if not member.instance:",
        "membership/test_members.py::test_own_death_is_refuted",
    ),
    one(
        "replayed-frames-run",
        "wire/server.py",
        "if message.requestId and message.requestId <= newest:",
        "if message.requestId < 0:",
        f"{I}test_bad_input.py::test_replayed_frame_ends_connection",
    ),
    one(
        "any-key-will-do",
        "wire/handshake.py",
        'reason = "wrong_key"',
        'reason = ""',
        f"{I}test_bad_input.py::test_random_bytes[peers_port]",
    ),
    one(
        "no-admission",
        "owner/service_queue.py",
        "elif not policy.admits((part.deadline_s - now_s) * 1000, wait_ms, self.times.mean_ms):",
        "elif not part.shard:",
        "owner/test_service_queue.py::test_refused_at_once_when_it_cannot_finish",
    ),
    one(
        "hedge-behind-new-parts",
        "owner/service_queue.py",
        "        self._start_late(now_s)\n        while len(self._queue):",
        "        while len(self._queue):",
        "owner/test_service_queue.py::test_waiting_hedge_goes_before_new_parts",
    ),
)

ENTRY_MUTANTS = (
    one(
        "take-surplus-bytes",
        "http1/client.py",
        "        if self._waiting is None:\n            if self._on_unasked",
        "        if self._waiting is None and not data:\n            if self._on_unasked",
        "http1/test_client.py::test_bytes_that_come_while_idle_close_the_connection",
    ),
    one(
        "keep-a-spoilt-connection",
        "http1/client.py",
        "            self._complete = attrs.evolve(self._complete, reusable=False)\n"
        "        self.closed = True",
        "            pass",
        "http1/test_client.py::test_whole_answers[doubled]",
    ),
    one(
        "reset-ends-an-unframed-answer",
        "http1/client.py",
        '        self._fail("connection reset" if error else "connection closed")',
        "        if self._part.head_done and self._waiting:\n"
        "            self._finish(reusable=False)\n            self._deliver()\n"
        '        self._fail("closed")',
        "http1/test_client.py::test_broken_answers",
    ),
    one(
        "any-answer-is-ours",
        "direct/sending.py",
        "if echoed is not None and echoed != call.request_id:",
        "if echoed is None:",
        "direct/test_obtaining.py::test_what_is_sent_again",
    ),
    one(
        "repeat-what-may-have-run",
        "direct/obtaining.py",
        "    if not call.route.idempotent and not isinstance(failure, sending.NotRun):\n"
        "        return\n",
        "",
        "direct/test_obtaining.py::test_what_is_sent_again",
    ),
    one(
        "refuse-what-may-have-run",
        "direct/obtaining.py",
        "    if isinstance(effort.failure, sending.NotRun):\n        effort.failure = outcome",
        "    effort.failure = outcome",
        "direct/test_obtaining.py::test_after_a_run_that_may_have_begun_nothing_is_promised",
    ),
    one(
        "pass-on-a-false-promise",
        "direct/answering.py",
        "    if sending.promises_not_run(status):\n",
        "    if not status:\n",
        "direct/test_answering.py::test_single",
    ),
    one(
        "budget-for-each-instance",
        "direct/budget.py",
        "allowance.slack / max(instances, 1)",
        "allowance.slack",
        "direct/test_budget.py::test_no_window_exceeds_the_allowance_of_all_instances",
    ),
    one(
        "hedge-without-limit",
        "direct/obtaining.py",
        "        and effort.attempts < call.route.max_attempts\n",
        "",
        "direct/test_obtaining.py::test_a_late_send_is_not_hedged_beyond_the_routes_attempts",
    ),
    one(
        "hedge-into-load",
        "direct/obtaining.py",
        "    if other.overdue(now_s):",
        "    if not other.entry:",
        "direct/test_obtaining.py::test_no_hedge_where_every_replica_is_late",
    ),
    one(
        "no-expected-instance",
        "direct/sending.py",
        "        (names.expected_instance, replica.entry.instance.encode()),\n",
        "",
        f"{I}test_entry.py::test_an_address_that_was_taken_over_gets_nothing",
    ),
    one(
        "configuration-goes-back",
        "entry/view.py",
        "if current is not None and configuration.version <= current.version:",
        "if current is not None and configuration.version == current.version:",
        "entry/test_view.py::test_a_configuration_never_goes_back",
    ),
    one(
        "gone-at-once",
        "entry/view.py",
        "            if hold:\n",
        "            if not key:\n",
        "entry/test_view.py::test_entries_that_lapse_with_the_store_are_kept_for_their_return",
    ),
    one(
        "history-lost-for-good",
        "entry/follower.py",
        "            revision = None\n        except news.SourceError",
        "            revision = revision or 0\n        except news.SourceError",
        "entry/test_follower.py::test_following",
    ),
    one(
        "drain-ignored",
        "direct/replicas.py",
        "            if not each.leaving and each not in tried\n",
        "            if each not in tried\n",
        "entry/test_view.py::test_a_draining_replica_gets_nothing_new",
    ),
    one(
        "leave-without-asking-to-close",
        "http1/server.py",
        "close = answer.close or self._server.leaving or",
        "close = answer.close or",
        "http1/test_server.py::test_a_leaving_server_answers_and_asks_to_close",
    ),
    one(
        "work-for-nobody",
        "http1/server.py",
        "        if self._work is not None:\n            self._work.cancel()\n",
        "",
        "http1/test_server.py::test_a_caller_that_leaves_cancels_its_request",
    ),
    one(
        "run-old-batches",
        "entry/helping.py",
        "if stalled_s > MOST_STALL_S:",
        "if stalled_s < 0:",
        "direct/test_handover.py::test_a_batch_that_may_be_old_is_refused",
    ),
    one(
        "lost-batch-starts-over",
        "direct/obtaining.py",
        "        effort.attempts = call.route.max_attempts - 1\n",
        "",
        "direct/test_handover.py::test_attempts_after_a_batch",
    ),
    one(
        "trust-a-stale-relay",
        "entry/relay.py",
        "        if age_ms > STALE_S * 1000:",
        "        if age_ms < 0:",
        "entry/test_relay.py::test_a_relay_that_fails_is_passed_by",
    ),
    one(
        "write-what-nobody-waits-for",
        "direct/sending.py",
        "                if progress.unwanted:\n                    return UNWANTED\n",
        "",
        "direct/test_answering.py::test_what_is_not_written_when_the_query_is_answered_never_is",
    ),
    one(
        "any-replica-of-a-handed-part",
        "direct/obtaining.py",
        "        effort.tried = _closed(effort, handed_to)\n",
        "        pass\n",
        "direct/test_handover.py"
        "::test_a_batch_that_is_run_twice_reaches_no_more_replicas_than_allowed",
    ),
    one(
        "lost-batch-stays-here",
        "direct/handover.py",
        "            if not came_back and self._moved(sender, call, handed):",
        "            if False:",
        "direct/test_handover.py"
        "::test_where_instances_are_many_a_lost_batch_goes_to_the_other_owner",
    ),
    one(
        "unknown-replicas-answered",
        "entry/helping.py",
        "    if unknown > MOST_UNKNOWN_SHARE * len(batch.shards):",
        "    if False:",
        "direct/test_handover.py::test_an_instance_that_does_not_know_the_replicas_yet",
    ),
    one(
        "followed-from-the-first-page",
        "platform/store.py",
        "min(revisions)",
        "revisions[0]",
        "platform/test_store.py::test_a_stale_reading_is_followed_from_its_oldest_page",
    ),
    one(
        "old-removals-count",
        "entry/view.py",
        "            elif self._is_newer(change):",
        "            elif change.key in self._keys:",
        "entry/test_view.py::test_a_removal_older_than_the_entry_is_passed_over",
    ),
    one(
        "news-told-plainly",
        "entry/relay.py",
        "zlib.compress(content, 1) if len(content) > COMPRESS_FROM_BYTES else content",
        "content",
        "entry/test_relay.py::test_a_large_configuration_is_told_in_few_bytes",
    ),
    one(
        "store-asked-by-all-while-away",
        "entry/relay.py",
        "            self._direct_until_s = 0.0\n            raise\n",
        "            raise\n",
        "entry/test_relay.py::test_the_relay_is_asked_again_while_the_store_is_away_for_all",
    ),
    one(
        "same-margin-for-any-query",
        "direct/timing.py",
        "PARTIAL_MARGIN_MS + PARTIAL_MARGIN_PER_SHARD_MS * shards",
        "13.0",
        "direct/test_timing.py::test_answer_age_leaves_time_for_the_way_back",
    ),
)
MUTANTS += ENTRY_MUTANTS


def run(mutant):
    """Return how the test ended without the mechanism: ``failed`` is what is wanted."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / "copy"
        ignored = shutil.ignore_patterns(".git", ".venv", "__pycache__", ".hypothesis")
        shutil.copytree(ROOT, copy, ignore=ignored)
        path = copy / mutant.path
        text = path.read_text()
        for old, new in mutant.edits:
            if text.count(old) != 1:
                return f"does not apply: {old!r} stands {text.count(old)} times"
            text = text.replace(old, new)
        path.write_text(text)
        environment = os.environ | {"PYTHONPATH": str(copy / "src")}
        command = [sys.executable, "-m", "pytest", "-x", "-q", mutant.test]
        try:
            done = subprocess.run(
                command, cwd=copy, env=environment, capture_output=True, text=True, timeout=LIMIT_S
            )
        except subprocess.TimeoutExpired:
            return f"failed: no end within {LIMIT_S} s"
        if done.returncode == 0:
            return "passed, although the mechanism is gone"
        reasons = [line for line in done.stdout.splitlines() if line.startswith("E  ")]
        return f"failed: {reasons[0][1:].strip()[:110] if reasons else done.returncode}"


def main():
    wanted = sys.argv[1:]
    for mutant in MUTANTS:
        if not wanted or mutant.name in wanted:
            print(f"| {mutant.name} | {mutant.test.partition('tests/')[2]} | {run(mutant)} |")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
