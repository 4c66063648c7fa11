"""The check of a caller's request against its organisation's quota."""

from __future__ import annotations

import asyncio
import math

from turmericlug.direct import organisations as organisations_module
from turmericlug.direct import routes
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.entry import organisation_counts
from turmericlug.entry import quotas as quotas_module
from turmericlug.http1 import messages
from turmericlug.policy import caller_timeout
from turmericlug.policy import quota_share

MAX_RETRY_AFTER_SHARE = 1 / 3
"""Largest share of its remaining time after which a caller retries."""


class QuotaCheck:
    """Admits requests within their organisation's quota, and refuses the others."""

    def __init__(
        self,
        quotas: quotas_module.Quotas | None,
        sender: sender_module.Sender,
        counts: organisation_counts.OrganisationCounts,
    ) -> None:
        """
        Create the check.

        :param quotas: ``None`` if the deployment has no quotas
        :param counts: counts the refusals
        """
        self._quotas = quotas
        self._sender = sender
        self._counts = counts

    async def refusal(
        self,
        request: messages.Request,
        route: routes.Route,
        organisation: organisations_module.Organisation,
    ) -> messages.Response | None:
        """Return the response to a request beyond the quota; ``None`` if it may be sent."""
        if self._quotas is None or not organisation.rate_per_s:
            return None
        decision = self._quotas.try_admit(organisation, self._quotas.now_s())
        if isinstance(decision, quota_share.Admitted):
            return None
        loop = asyncio.get_running_loop()
        stated_ms = caller_timeout.parse_remaining_ms(request.header(self._sender.names.time_left))
        # The answer has to reach the caller, too.
        sent_s = request.arrived_s - request.response_latency_s
        deadline_s = sent_s + min(stated_ms, route.timeout_ms) / 1000 - request.response_latency_s
        if isinstance(decision, quota_share.MustAsk):
            rank = organisations_module.rank(organisation, route.priority)
            decision = await self._quotas.ask(organisation, deadline_s, rank)
            if isinstance(decision, quota_share.Admitted):
                return None
        request_id = request.header(self._sender.names.request_id) or b""
        return self._refuse(organisation, decision, request_id, deadline_s - loop.time())

    def _refuse(
        self,
        organisation: organisations_module.Organisation,
        decision: quota_share.OverQuota,
        request_id: bytes,
        remaining_s: float,
    ) -> messages.Response:
        """Refuse with a delay that leaves the caller two thirds of its remaining time."""
        reason = "no_lease" if decision.is_cut_off else "over_quota"
        self._sender.counters.add("entry.refused")
        self._sender.counters.add(f"entry.refused.{reason}")
        self._counts.add(organisation.name, "refused", reason)
        self._quotas.log_refusal(organisation, reason, request_id)
        headers: tuple[tuple[bytes, bytes], ...] = ()
        largest_s = remaining_s * MAX_RETRY_AFTER_SHARE
        if decision.earliest_s <= largest_s:
            delay_ms = math.floor(min(decision.retry_after_s, largest_s) * 1000)
            headers = ((self._sender.names.retry_after, b"%.3f" % (delay_ms / 1000)),)
        # Without a holder it is not known whether the quota is spent.
        status = 503 if decision.is_cut_off else 429
        return messages.Response(status, headers, reason.encode())

    def refund(self, call: sending.Call) -> None:
        """Take back the token of a request that no replica has run."""
        if self._quotas is not None and call.organisation is not None:
            self._quotas.refund(call.organisation)

    def refund_unsent(self, call: sending.Call) -> None:
        """Take back the token of an abandoned request, unless it has been sent."""
        if not call.may_have_been_sent():
            self.refund(call)
