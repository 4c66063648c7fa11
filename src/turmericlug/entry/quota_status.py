"""What operators see of quotas: the state of each organisation, and a bounded log of refusals."""

from __future__ import annotations

import math

import attrs

from turmericlug.direct import organisations as organisations_module
from turmericlug.policy import quota_bucket
from turmericlug.policy import quota_share
from turmericlug.telemetry import decisions

LOG_INTERVAL_S = 0.1
"""Refusals of one organisation are logged together this often: ten lines a second, while a caller
that retries immediately gets hundreds of refusals."""
FORGET_AFTER_S = 10.0


@attrs.frozen
class Status:
    """What an instance knows about the quota of one organisation."""

    organisation: str
    rate_per_s: float
    """Requests that this instance has admitted in the last window, by second."""
    fleet_rate_per_s: float | None
    """Recent rate at all instances together, at the holder; ``None`` elsewhere."""
    limit_per_s: float
    burst: float
    leased: int
    """Tokens that this instance holds; at the holder, those of all instances."""
    state: str
    """``open``, ``limited`` or ``cut off``."""
    holder: str
    age_s: float | None
    """Time since the holder stated the state last; ``None`` if it never has."""
    level: float | None
    """The level that the holder stated last; ``None`` if it never has."""
    admitted: int
    refused: int


def of(
    organisation: str,
    share: quota_share.Share,
    bucket: quota_bucket.Bucket | None,
    holder: str,
    now_s: float,
) -> Status:
    """
    Return the state of one organisation.

    :param bucket: the organisation's bucket, if this instance holds it
    """
    is_known = share.known_level is not None and math.isfinite(share.known_level)
    state = "limited" if share.is_limited(now_s) else "open"
    return Status(
        organisation,
        share.rate_per_s(now_s),
        round(bucket.used_per_s(now_s), 2) if bucket is not None else None,
        share.limit.rate_per_s,
        share.limit.burst,
        bucket.leased if bucket is not None else share.held,
        "cut off" if share.cut_off_since_s is not None else state,
        holder,
        round(now_s - share.known_s, 3) if is_known else None,
        share.known_level if is_known else None,
        share.admitted,
        share.refused,
    )


@attrs.define
class _Refusals:
    """Refusals of one organisation that are not logged yet."""

    logged_s: float
    count: int = 0


class RefusalLog:
    """Logs refusals, those of one organisation together."""

    def __init__(self) -> None:
        self._refusals: dict[tuple[str, str], _Refusals] = {}

    def add(
        self,
        organisation: organisations_module.Organisation,
        reason: str,
        request_id: bytes,
        level: float | None,
        holder: str | None,
        now_s: float,
    ) -> None:
        """
        Count a refusal, and log it with those since the last line.

        :param request_id: identifier of the request, which stands for those of the same line
        :param level: the level that the holder stated last
        """
        key = (organisation.name, reason)
        refusals = self._refusals.get(key)
        if refusals is None:
            refusals = self._refusals[key] = _Refusals(logged_s=-math.inf)
        refusals.count += 1
        if now_s - refusals.logged_s < LOG_INTERVAL_S:
            return
        decisions.log(
            "quota.refused",
            request=request_id,
            organisation=organisation.name,
            reason=reason,
            count=refusals.count,
            rate_per_s=organisation.rate_per_s,
            burst=organisation.burst,
            level=round(level, 2) if level is not None else None,
            holder=holder,
        )
        refusals.count, refusals.logged_s = 0, now_s

    def forget_idle(self, now_s: float) -> None:
        """Forget organisations that have not been refused for a while."""
        self._refusals = {
            key: refusals
            for key, refusals in self._refusals.items()
            if now_s - refusals.logged_s < FORGET_AFTER_S
        }
