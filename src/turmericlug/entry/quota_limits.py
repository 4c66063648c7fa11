"""The limit by which a holder accounts for a report: its own, or that of the reporting instance."""

from __future__ import annotations

import dataclasses
import math

from turmericlug.direct import organisations
from turmericlug.policy import quota
from turmericlug.policy import quota_bucket


@dataclasses.dataclass(frozen=True)
class UnknownLimit:
    """A report can't be accounted for: whether the organisation has a limit is not known here."""

    organisation: str


def find(
    report: quota.Report,
    reported_version: int,
    configured: organisations.Organisation | None,
    own_version: int,
    last: quota.Limit | None,
) -> organisations.Organisation | None:
    """
    Return an organisation with the limit to account by; ``None`` if that is not known.

    The configuration here decides if it names the organisation, but lifts no limit that a newer one
    sets. Otherwise the limit that the report states counts, or the last one.

    :param reported_version: version of the configuration of the reporting instance; 0: unknown
    :param configured: the organisation in the configuration here, if that names it
    :param own_version: version of that configuration; 0: there is none
    :param last: the limit that the holder has applied last
    """
    if configured is not None:
        if configured.rate_per_s or reported_version <= own_version:
            return configured
    name = report.organisation
    if report.rate_per_s:
        return organisations.Organisation(name, rate_per_s=report.rate_per_s, burst=report.burst)
    if last is not None:
        return organisations.Organisation(name, rate_per_s=last.rate_per_s, burst=last.burst)
    return configured


def unlimited(report: quota.Report) -> quota.Notice:
    """Return the answer of a holder in whose configuration an organisation has no limit."""
    granted = report.waiting + report.wanted
    return quota.Notice(report.organisation, granted, quota_bucket.OPEN_LEASE_S, level=math.inf)
