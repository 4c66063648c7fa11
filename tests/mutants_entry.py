"""Mechanisms of entry instances that can be taken away."""

from __future__ import annotations

import mutant

MUTANTS = (
    mutant.one(
        "take-surplus-bytes",
        "http1/client.py",
        "        if self._waiting is None:\n            if self._on_unasked",
        "        if self._waiting is None and not data:\n            if self._on_unasked",
        "http1/test_client.py::test_bytes_that_come_while_idle_close_the_connection",
    ),
    mutant.one(
        "keep-a-spoilt-connection",
        "http1/client.py",
        "            self._complete = attrs.evolve(self._complete, reusable=False)\n"
        "        self.closed = True",
        "            pass",
        "http1/test_client.py::test_whole_answers[doubled]",
    ),
    mutant.one(
        "reset-ends-an-unframed-answer",
        "http1/client.py",
        '        self._fail("connection reset" if error else "connection closed")',
        "        if self._part.head_done and self._waiting:\n"
        "            self._finish(reusable=False)\n            self._deliver()\n"
        '        self._fail("closed")',
        "http1/test_client.py::test_broken_answers",
    ),
    mutant.one(
        "any-answer-is-ours",
        "direct/sending.py",
        "if echoed is not None and echoed != call.request_id:",
        "if echoed is None:",
        "direct/test_obtaining.py::test_what_is_sent_again",
    ),
    mutant.one(
        "repeat-what-may-have-run",
        "direct/obtaining.py",
        "    if not call.route.idempotent and not isinstance(failure, sending.NotRun):\n"
        "        return\n",
        "",
        "direct/test_obtaining.py::test_what_is_sent_again",
    ),
    mutant.one(
        "refuse-what-may-have-run",
        "direct/obtaining.py",
        "    if isinstance(effort.failure, sending.NotRun):\n        effort.failure = outcome",
        "    effort.failure = outcome",
        "direct/test_obtaining.py::test_after_a_run_that_may_have_begun_nothing_is_promised",
    ),
    mutant.one(
        "pass-on-a-false-promise",
        "direct/answering.py",
        "    if sending.promises_not_run(status):\n",
        "    if not status:\n",
        "direct/test_answering.py::test_single",
    ),
    mutant.one(
        "budget-for-each-instance",
        "direct/budget.py",
        "allowance.slack / max(instances, 1)",
        "allowance.slack",
        "direct/test_budget.py::test_no_window_exceeds_the_allowance_of_all_instances",
    ),
    mutant.one(
        "hedge-without-limit",
        "direct/obtaining.py",
        "        and effort.attempts < call.route.max_attempts\n",
        "",
        "direct/test_obtaining.py::test_a_late_send_is_not_hedged_beyond_the_routes_attempts",
    ),
    mutant.one(
        "hedge-into-load",
        "direct/obtaining.py",
        "    if other.overdue(now_s):",
        "    if not other.entry:",
        "direct/test_obtaining.py::test_no_hedge_where_every_replica_is_late",
    ),
    mutant.one(
        "no-expected-instance",
        "direct/sending.py",
        "        (names.expected_instance, replica.entry.instance.encode()),\n",
        "",
        "integration/test_entry.py::test_an_address_that_was_taken_over_gets_nothing",
    ),
    mutant.one(
        "configuration-goes-back",
        "entry/view.py",
        "if current is not None and configuration.version <= current.version:",
        "if current is not None and configuration.version == current.version:",
        "entry/test_view.py::test_a_configuration_never_goes_back",
    ),
    mutant.one(
        "gone-at-once",
        "entry/view.py",
        "            if hold:\n",
        "            if not key:\n",
        "entry/test_view.py::test_entries_that_lapse_with_the_store_are_kept_for_their_return",
    ),
    mutant.one(
        "history-lost-for-good",
        "entry/follower.py",
        "            revision = None\n        except news.SourceError",
        "            revision = revision or 0\n        except news.SourceError",
        "entry/test_follower.py::test_following",
    ),
    mutant.one(
        "drain-ignored",
        "direct/replicas.py",
        "            if not each.leaving and each not in tried\n",
        "            if each not in tried\n",
        "entry/test_view.py::test_a_draining_replica_gets_nothing_new",
    ),
    mutant.one(
        "leave-without-asking-to-close",
        "http1/server.py",
        "close = answer.close or self._server.leaving or",
        "close = answer.close or",
        "http1/test_server.py::test_a_leaving_server_answers_and_asks_to_close",
    ),
    mutant.one(
        "work-for-nobody",
        "http1/server.py",
        "        if self._work is not None:\n            self._work.cancel()\n",
        "",
        "http1/test_server.py::test_a_caller_that_leaves_cancels_its_request",
    ),
    mutant.one(
        "run-old-batches",
        "entry/helping.py",
        "if stalled_s > MOST_STALL_S:",
        "if stalled_s < 0:",
        "direct/test_handover.py::test_a_batch_that_may_be_old_is_refused",
    ),
    mutant.one(
        "lost-batch-starts-over",
        "direct/obtaining.py",
        "        effort.attempts = call.route.max_attempts - 1\n",
        "",
        "direct/test_handover.py::test_attempts_after_a_batch",
    ),
    mutant.one(
        "trust-a-stale-relay",
        "entry/relay.py",
        "        if age_ms > STALE_S * 1000:",
        "        if age_ms < 0:",
        "entry/test_relay.py::test_a_relay_that_fails_is_passed_by",
    ),
    mutant.one(
        "write-what-nobody-waits-for",
        "direct/sending.py",
        "                if progress.unwanted:\n                    return UNWANTED\n",
        "",
        "direct/test_answering.py::test_what_is_not_written_when_the_query_is_answered_never_is",
    ),
    mutant.one(
        "any-replica-of-a-handed-part",
        "direct/obtaining.py",
        "        effort.tried = _closed(effort, handed_to)\n",
        "        pass\n",
        "direct/test_handover.py"
        "::test_a_batch_that_is_run_twice_reaches_no_more_replicas_than_allowed",
    ),
    mutant.one(
        "lost-batch-stays-here",
        "direct/handover.py",
        "            if not came_back and self._moved(sender, call, handed):",
        "            if False:",
        "direct/test_handover.py"
        "::test_where_instances_are_many_a_lost_batch_goes_to_the_other_owner",
    ),
    mutant.one(
        "unknown-replicas-answered",
        "entry/helping.py",
        "    if unknown > MOST_UNKNOWN_SHARE * len(batch.shards):",
        "    if False:",
        "direct/test_handover.py::test_an_instance_that_does_not_know_the_replicas_yet",
    ),
    mutant.one(
        "followed-from-the-first-page",
        "platform/store.py",
        "min(revisions)",
        "revisions[0]",
        "platform/test_store.py::test_a_stale_reading_is_followed_from_its_oldest_page",
    ),
    mutant.one(
        "old-removals-count",
        "entry/view.py",
        "            elif self._is_newer(change):",
        "            elif change.key in self._keys:",
        "entry/test_view.py::test_a_removal_older_than_the_entry_is_passed_over",
    ),
    mutant.one(
        "news-told-plainly",
        "entry/relay.py",
        "zlib.compress(content, 1) if len(content) > COMPRESS_FROM_BYTES else content",
        "content",
        "entry/test_relay.py::test_a_large_configuration_is_told_in_few_bytes",
    ),
    mutant.one(
        "store-asked-by-all-while-away",
        "entry/relay.py",
        "            self._direct_until_s = 0.0\n            raise\n",
        "            raise\n",
        "entry/test_relay.py::test_the_relay_is_asked_again_while_the_store_is_away_for_all",
    ),
    mutant.one(
        "same-margin-for-any-query",
        "direct/timing.py",
        "PARTIAL_MARGIN_MS + PARTIAL_MARGIN_PER_SHARD_MS * shards",
        "13.0",
        "direct/test_timing.py::test_answer_age_leaves_time_for_the_way_back",
    ),
    mutant.one(
        "far-connections-ahead",
        "direct/replicas.py",
        "        if not (near and far):",
        "        if not near:",
        "direct/test_replicas.py::test_connections_ahead_of_need",
    ),
    mutant.one(
        "every-count-kept",
        "entry/recent.py",
        "        while self._falling and self._falling[-1][1] <= value:\n"
        "            self._falling.pop()\n",
        "",
        "entry/test_recent.py::test_how_many_are_held",
    ),
    mutant.one(
        "settings-of-the-start",
        "entry/live_settings.py",
        "        self.policy = attrs.evolve(before, **applied)\n",
        "",
        "entry/test_live_settings.py::test_what_is_taken_over",
    ),
)
