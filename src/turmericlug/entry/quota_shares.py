"""What one instance knows of the quota of each organisation, by the configuration in force."""

from __future__ import annotations

from collections import abc

import attrs

from turmericlug.direct import organisations as organisations_module
from turmericlug.entry import view as view_module
from turmericlug.policy import quota
from turmericlug.policy import quota_share


class Shares:
    """The organisations with a limit that have sent requests, or of which a notice was received."""

    def __init__(self, rule: quota.Rule, view: view_module.View) -> None:
        self.known: dict[str, quota_share.Share] = {}
        self._rule = rule
        self._view = view
        self._forgotten_used = 0
        """Requests of organisations that have been forgotten, so that totals never go back."""
        self._organisations: dict[str, organisations_module.Organisation] = {}
        self._organisations_of: object = None

    def of(
        self, organisation: organisations_module.Organisation, now_s: float
    ) -> quota_share.Share:
        """Return the state of an organisation, with the limit that a request began with."""
        share = self.known.get(organisation.name)
        if share is None:
            limit = quota.Limit(self._rule, organisation.rate_per_s, organisation.burst)
            share = quota_share.Share(limit, now_s, self._forgotten_used)
            self.known[organisation.name] = share
        elif (
            share.limit.rate_per_s != organisation.rate_per_s
            or share.limit.burst != organisation.burst
        ):
            share.set_limit(quota.Limit(self._rule, organisation.rate_per_s, organisation.burst))
        return share

    def configured(self, name: str) -> organisations_module.Organisation | None:
        """
        Return an organisation as the configuration in force names it, with or without a limit.

        ``None`` if there is no configuration, or if the organisation holds no key in it: that says
        nothing about its limit in the configuration of another instance.
        """
        return self._configured().get(name)

    def report(self, name: str, waiting: int, now_s: float) -> quota.Report:
        """Return the report about a known organisation, with the limit that is applied here."""
        share = self.known[name]
        return attrs.evolve(
            share.report(name, waiting, now_s),
            rate_per_s=share.limit.rate_per_s,
            burst=share.limit.burst,
        )

    def _configured(self) -> dict[str, organisations_module.Organisation]:
        configuration = self._view.configuration
        if configuration is not self._organisations_of:
            organisations = configuration.organisations if configuration else None
            self._organisations = organisations.by_name if organisations else {}
            self._organisations_of = configuration
        return self._organisations

    def forget_idle(self, now_s: float, in_use: abc.Container[str]) -> None:
        """
        Forget organisations without requests, so that memory does not grow with their number.

        :param in_use: organisations whose requests wait for an answer
        """
        idle = [name for name, share in self.known.items() if share.is_idle(now_s)]
        for name in idle:
            if name not in in_use:
                self._forgotten_used += self.known.pop(name).admitted
