"""Encoding of messages about quotas of organisations: Cap'n Proto."""

from __future__ import annotations

import math
import pathlib

import attrs
import capnp

from turmericlug.policy import quota
from turmericlug.wire import packed

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("quotas.capnp")))
_UNKNOWN = 0xFFFFFFFF
"""Age of a level that is not known."""
MAX_ORGANISATIONS = 1024
"""Reports or notices in one message; a longer list is corrupt."""
_ROUNDING = 1e-6
"""Difference that the multiplication of a whole number of thousandths may make."""
_MAX_MILLI = 1 << 53
"""Largest level in thousandths that a float represents exactly; stands for an infinite one."""
_MAX_VERSION = (1 << 64) - 1
_MAX_LIMIT = 1e9
"""No configuration states a higher rate or burst."""


class MessageError(Exception):
    """The message is corrupt."""


@attrs.frozen
class Message:
    """What one instance tells another about quotas."""

    sender: str
    start: int
    sequence: int
    reports: tuple[quota.Report, ...] = ()
    notices: tuple[quota.Notice, ...] = ()
    held: tuple[str, ...] = ()
    """Organisations in use that the sender holds as the first, for which it asks for a lease; in
    the answer, those of them for which it gets none."""
    version: int = 0
    """Version of the sender's configuration; 0: it has none, or doesn't state it."""
    lease_s: float = 0.0
    """Time for which the sender relies on leases that it asks for; in an answer, for which its
    pledges hold. 0: not stated, by the last build."""
    pledges: tuple[str, ...] = ()
    """Organisations for whose rates the sender asks for the receiver's part; in the answer, those
    of them for which it gets it."""


def encode(message: Message) -> bytes:
    """Encode a message."""
    return _SCHEMA.Quotas.new_message(
        sender=message.sender,
        start=message.start,
        sequence=message.sequence,
        reports=[_encode_report(report) for report in message.reports],
        notices=[
            {
                "organisation": notice.organisation,
                "granted": notice.granted,
                "leaseMs": _milli(notice.lease_s),
                "limitedMs": _milli(notice.limited_s),
                "refuseMs": _milli(notice.refuse_s),
                "levelMilli": _level_milli(notice.level),
                "origin": notice.origin,
                "isUnlimited": notice.is_known and notice.level == math.inf,
            }
            for notice in message.notices
        ],
        held=list(message.held),
        version=min(max(message.version, 0), _MAX_VERSION),
        leaseMs=_milli(message.lease_s),
        pledges=list(message.pledges),
    ).to_bytes_packed()


def _encode_report(report: quota.Report) -> dict[str, object]:
    encoded = {
        "organisation": report.organisation,
        "used": max(report.used, 0),
        "usedInWindow": report.used_in_window,
        "unreported": report.unreported,
        "held": report.held,
        "waiting": report.waiting,
        "wanted": report.wanted,
        "ratePerS": report.rate_per_s,
        "burst": report.burst,
    }
    if report.known_level is not None:
        encoded["knownLevelMilli"] = _level_milli(report.known_level)
        encoded["knownAgeMs"] = _milli(report.known_age_s)
        encoded["knownOrigin"] = report.known_origin
    return encoded


def _milli(value: float) -> int:
    return min(max(math.ceil(value * 1000 - _ROUNDING), 0), _UNKNOWN - 1)


def _level_milli(level: float) -> int:
    return math.floor(min(max(level * 1000 + _ROUNDING, -_MAX_MILLI), _MAX_MILLI))


def decode(content: bytes) -> Message:
    """
    Decode a message.

    :raises MessageError: the message is corrupt
    """
    try:
        message = packed.read(_SCHEMA.Quotas, content)
        lists = (message.reports, message.notices, message.held, message.pledges)
        if max(map(len, lists)) > MAX_ORGANISATIONS:
            raise MessageError("message lists too many organisations")
        return Message(
            message.sender,
            message.start,
            message.sequence,
            tuple(_report(report) for report in message.reports),
            tuple(_notice(notice) for notice in message.notices),
            tuple(message.held),
            message.version,
            message.leaseMs / 1000,
            tuple(message.pledges),
        )
    except MessageError:
        raise
    except Exception as error:  # pycapnp raises a different type for each kind of malformed input
        raise MessageError(str(error).splitlines()[0][:100]) from error


def _report(report: capnp.lib.capnp._DynamicStructReader) -> quota.Report:
    # The level of an organisation without a limit says nothing about its tokens under one.
    is_known = report.knownAgeMs != _UNKNOWN and report.knownLevelMilli < _MAX_MILLI
    has_limit = _is_positive(report.ratePerS) and (not report.burst or _is_positive(report.burst))
    return quota.Report(
        report.organisation,
        report.used,
        report.usedInWindow,
        report.unreported,
        report.held,
        report.waiting,
        report.wanted,
        report.knownLevelMilli / 1000 if is_known else None,
        report.knownAgeMs / 1000 if is_known else 0.0,
        report.knownOrigin if is_known else 0,
        report.ratePerS if has_limit else 0.0,
        report.burst if has_limit else 0.0,
    )


def _is_positive(value: float) -> bool:
    return 0 < value <= _MAX_LIMIT


def _notice(notice: capnp.lib.capnp._DynamicStructReader) -> quota.Notice:
    is_infinite = notice.levelMilli >= _MAX_MILLI
    return quota.Notice(
        notice.organisation,
        notice.granted,
        notice.leaseMs / 1000,
        notice.limitedMs / 1000,
        notice.refuseMs / 1000,
        math.inf if is_infinite else notice.levelMilli / 1000,
        notice.origin,
        is_known=notice.isUnlimited or not is_infinite,
    )
