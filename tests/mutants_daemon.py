"""Mechanisms of the daemon that can be taken away."""

from __future__ import annotations

import mutant

MUTANTS = (
    mutant.Mutant(
        "take-any-snapshot",
        "src/turmericlug/owner/service_queue.py",
        (
            (
                "case target.SnapshotAbsent():\n                self._requeue(part)",
                "case target.SnapshotAbsent():\n                part.snapshot = "
                '"s2" if part.snapshot == "s1" else "s1"\n                self._requeue(part)',
            ),
            ("snapshot=outcome.snapshot,", 'snapshot="s1",'),
        ),
        "tests/integration/test_snapshots.py::test_version_switch_under_queries",
    ),
    mutant.one(
        "no-attempt-check",
        "owner/target.py",
        "if response.headers.get(ATTEMPT) != attempt:",
        "if not attempt:",
        "integration/test_own_answer.py::test_replies_go_wrong[crossed]",
    ),
    mutant.one(
        "no-body-check",
        "owner/target.py",
        "or not _is_json(body)",
        "",
        "integration/test_own_answer.py::test_replies_go_wrong[garbage]",
    ),
    mutant.one(
        "lost-owner-not-replaced",
        "query/fan_out.py",
        "        if self._plan.parameters.repeatable:\n            unanswered.clear()",
        "        if not self._plan.parameters.query_id:\n            unanswered.clear()",
        "integration/test_own_answer.py::test_owner_dies_and_comes_back",
    ),
    mutant.one(
        "no-silence-check",
        "wire/link.py",
        "if now_s - since_s > limit_s:",
        "if now_s - since_s > 3600:",
        "integration/test_own_answer.py::test_owner_frozen",
    ),
    mutant.one(
        "unknown-called-not-run",
        "owner/service_queue.py",
        "        if part.may_have_run:\n            self._fail(part, reason)",
        "        if part.done:\n            self._fail(part, reason)",
        "integration/test_at_most_once.py::test_key_runs_once[dying_targets]",
    ),
    mutant.one(
        "run-without-claim",
        "query/coordinator.py",
        "if verdict.outcome != ledger.GRANTED:",
        "if verdict.outcome in (ledger.MISMATCH, ledger.EXPIRED):",
        "integration/test_at_most_once.py::test_key_runs_once[store_outage]",
    ),
    mutant.one(
        "records-without-swap",
        "records/ledger.py",
        "revision = await self._store.swap([known], puts)",
        "revision = await self._store.swap([], puts)",
        "records/test_ledger.py::TestWriters",
    ),
    mutant.one(
        "lost-records-stay-lost",
        "records/ledger.py",
        "        changed = dict(self._lost)",
        "        changed = {}",
        "records/test_ledger.py::test_a_lost_record_is_put_back_by_who_knows_it",
    ),
    mutant.one(
        "unknown-keys-granted-after-a-return",
        "records/ledger.py",
        "        if entry is None and wanted.created_at_s <= self._doubted_until_s:",
        "        if entry is None and not wanted:",
        "records/test_ledger.py"
        "::test_a_key_made_before_the_return_that_nobody_knows_may_have_run",
    ),
    mutant.one(
        "write-of-the-lost-past-trusted",
        "records/ledger.py",
        "        if self._store.eras.latest != self._era:",
        "        if not self._store:",
        "records/test_ledger.py::test_a_claim_written_while_the_store_returned_is_checked",
    ),
    mutant.one(
        "lost-edits-stay-lost",
        "rules/repository.py",
        "        if not lost:\n            return False",
        "        if stored:\n            return False",
        "rules/test_repository.py::test_lost_edits_are_written_back",
    ),
    mutant.one(
        "heads-alike",
        "records/ledger.py",
        '                "write": uuid.uuid4().hex,\n',
        "",
        "records/test_ledger.py::test_a_writer_takes_no_other_write_for_the_one_that_it_read",
    ),
    mutant.one(
        "swapped-by-revision-alone",
        "storage/store.py",
        "    if value.revision:\n",
        "    if not value.key:\n",
        "storage/test_storage.py"
        "::test_a_key_that_holds_something_else_under_the_same_revision_is_not_swapped",
    ),
    mutant.one(
        "settled-once-or-never",
        "records/records.py",
        "if verdict.outcome != ledger.UNAVAILABLE or time.monotonic()",
        "if True or time.monotonic()",
        "records/test_records.py::test_a_claim_is_settled_once_somebody_can_be_asked",
    ),
    mutant.one(
        "late-claim-revives",
        "records/ledger.py",
        "if entry is not None and entry.attempt == wanted.attempt:",
        "if entry is not None and not wanted.attempt:",
        "records/test_ledger.py::test_late_claim_of_a_released_attempt_does_not_revive_it",
    ),
    mutant.one(
        "drain-reply-ignored",
        "owner/service_queue.py",
        'case target.NotRun(reason="draining"):',
        'case target.NotRun(reason="never"):',
        "integration/test_leaving_target.py::test_drain_with_lagging_list_and_lying_health",
    ),
    mutant.one(
        "no-ejection",
        "owner/replica.py",
        "if self.failures < threshold or not may_eject:",
        "if self.failures >= 0:",
        "integration/test_leaving_target.py::test_crashed_target",
    ),
    mutant.one(
        "stop-without-lifetime",
        "daemon.py",
        "await asyncio.sleep(settings.policy.address_lifetime_ms / 1000)",
        "await asyncio.sleep(0)",
        "integration/test_planned_stop.py::test_rolling_replacement[False]",
    ),
    mutant.one(
        "ready-without-rules",
        "membership/members.py",
        "return self.ready and self.state in (ALIVE, SUSPECT)",
        "return self.state in (ALIVE, SUSPECT)",
        "membership/test_members.py::test_who_takes_new_work",
    ),
    mutant.one(
        "always-current",
        "membership/freshness.py",
        "return self._now_s() - newest_at_s <= self._limit_s",
        "return True",
        "integration/test_rules.py::test_cut_from_both",
    ),
    mutant.one(
        "no-gap-check",
        "membership/freshness.py",
        "gap = now_s - self._ticked_at_s > self._limit_s / 3",
        "gap = False",
        "membership/test_freshness.py::test_a_gap_voids_everything",
    ),
    mutant.one(
        "revisions-may-fall",
        "rules/configuration.py",
        "if document.revision <= current:",
        "if document.revision == current:",
        "rules/test_configuration.py",
    ),
    mutant.one(
        "accept-before-old-queries-end",
        "query/coordinator.py",
        "while any(each < revision for each in self._running.values()):",
        "while False:",
        "integration/test_rules.py::test_running_query_delays_acceptance",
    ),
    mutant.one(
        "edit-not-found-again",
        "rules/edits.py",
        "if edit.edit == change.edit:",
        "if not change.edit:",
        "integration/test_rules.py::test_edit_with_troubled_store",
    ),
    mutant.one(
        "death-not-refuted",
        "membership/members.py",
        "if member.state != self.own.state and member.incarnation >= self.own.incarnation:",
        "if not member.instance:",
        "membership/test_members.py::test_own_death_is_refuted",
    ),
    mutant.one(
        "replayed-frames-run",
        "wire/server.py",
        "if message.requestId and message.requestId <= newest:",
        "if message.requestId < 0:",
        "integration/test_bad_input.py::test_replayed_frame_ends_connection",
    ),
    mutant.one(
        "any-key-will-do",
        "wire/handshake.py",
        'reason = "wrong_key"',
        'reason = ""',
        "integration/test_bad_input.py::test_random_bytes[peers_port]",
    ),
    mutant.one(
        "no-admission",
        "owner/service_queue.py",
        "elif not policy.fits_deadline(\n"
        "            (part.deadline_s - now_s) * 1000, wait_ms, self.durations.mean_ms\n"
        "        ):",
        "elif not part.shard:",
        "owner/test_service_queue.py::test_refused_at_once_when_it_cannot_finish",
    ),
    mutant.one(
        "hedge-behind-new-parts",
        "owner/service_queue.py",
        "        self._start_hedges(now_s)\n        while len(self._queue):",
        "        while len(self._queue):",
        "owner/test_service_queue.py::test_pending_hedge_starts_before_queued_parts",
    ),
    mutant.one(
        "retry-requests-that-crash-targets",
        "owner/suspects.py",
        "        if verdict is poison.Verdict.QUARANTINED:\n"
        "            return part_module.FAILED\n",
        "        return ''\n",
        "owner/test_service_queue.py::test_a_request_that_crashes_targets_is_sent_to_no_other_target",
    ),
)
