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
        done = subprocess.run(
            command, cwd=copy, env=environment, capture_output=True, text=True, timeout=300
        )
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
