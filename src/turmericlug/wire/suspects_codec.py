"""Encoding of the reports on requests that crash replicas: Cap'n Proto."""

from __future__ import annotations

import math
import pathlib

import attrs
import capnp

from turmericlug.policy import poison
from turmericlug.wire import packed

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("suspects.capnp")))
_NEVER = 0xFFFFFFFF
"""Age of an event that has never happened."""
_MAX_REQUESTS = 2 * poison.MAX_RECORDS
"""More than any instance keeps: a longer list is corrupt."""


_MAX_QUARANTINES = 0xFFFF
_MAX_FINGERPRINT_BYTES = 64
"""More than any version of this software uses."""


class MessageError(Exception):
    """The message is corrupt."""


@attrs.frozen
class Suspects:
    """One instance's report on requests that crash replicas."""

    records: dict[poison.Fingerprint, poison.Record]
    wants_all: bool = False
    """Whether the sender asks for all requests that the receiver withholds."""


def encode(suspects: Suspects, now_s: float) -> bytes:
    """
    Encode a message.

    :param now_s: the current time by the records' clock
    """
    message = _SCHEMA.Suspects.new_message(
        wantsAll=suspects.wants_all,
        requests=[
            {
                "content": fingerprint,
                "ends": [
                    {"replica": replica, "ageMs": _age_ms(at_s, now_s)}
                    for replica, at_s in record.crashes.items()
                ],
                "answeredAgeMs": _age_ms(record.answered_s, now_s),
                "quarantinedAgeMs": _age_ms(record.quarantined_s, now_s),
                "quarantines": min(record.quarantines, _MAX_QUARANTINES),
                "trialLeftMs": _left_ms(record.trial_until_s, now_s),
            }
            for fingerprint, record in suspects.records.items()
        ],
    )
    return message.to_bytes_packed()


def _age_ms(at_s: float, now_s: float) -> int:
    if math.isinf(at_s):
        return _NEVER
    return min(max(round((now_s - at_s) * 1000), 0), _NEVER - 1)


def _left_ms(until_s: float, now_s: float) -> int:
    return 0 if math.isinf(until_s) else min(max(round((until_s - now_s) * 1000), 0), _NEVER - 1)


def decode(content: bytes, now_s: float) -> Suspects:
    """
    Decode a message.

    :param now_s: the current time by the clock that the records are to use
    :raises MessageError: the message is corrupt
    """
    try:
        message = packed.read(_SCHEMA.Suspects, content)
        if len(message.requests) > _MAX_REQUESTS:
            raise MessageError("message lists more requests than an instance keeps")
        if any(len(suspect.content) > _MAX_FINGERPRINT_BYTES for suspect in message.requests):
            raise MessageError(f"a fingerprint is longer than {_MAX_FINGERPRINT_BYTES} bytes")
        records = {suspect.content: _record(suspect, now_s) for suspect in message.requests}
        return Suspects(records, message.wantsAll)
    except MessageError:
        raise
    except Exception as error:  # pycapnp raises a different type for each kind of malformed input
        raise MessageError(str(error).splitlines()[0][:100]) from error


def _record(suspect: capnp.lib.capnp._DynamicStructReader, now_s: float) -> poison.Record:
    crashes = list(suspect.ends)[: poison.MAX_CRASHES]
    trial_s = min(suspect.trialLeftMs / 1000, poison.TRIAL_TIMEOUT_S)
    return poison.Record(
        {crash.replica: now_s - crash.ageMs / 1000 for crash in crashes},
        _at_s(suspect.answeredAgeMs, now_s),
        _at_s(suspect.quarantinedAgeMs, now_s),
        suspect.quarantines,
        now_s + trial_s if trial_s else -math.inf,
    )


def _at_s(age_ms: int, now_s: float) -> float:
    return -math.inf if age_ms == _NEVER else now_s - age_ms / 1000
