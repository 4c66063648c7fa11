"""The text of a bucket's log: its head, and lines of entries, which other programs may change."""

from __future__ import annotations

import json
import re
import typing
import uuid
from collections import abc

import attrs

from turmericlug.decoding import fields
from turmericlug.decoding import json_values

MAX_LINE_BYTES = 64 * 1024
"""A line has a key, an identifier, a hash and an outcome, which is a word."""
MAX_SEGMENT = 10**12 - 2
"""The keys of segments have twelve digits, so that they sort by number."""
_MAX_SEGMENT_BYTES = 512 * 1024
_MAX_ERA = 10**18
_MAX_TIME_S = 1 << 40
_SEGMENT_KEY = re.compile(r"seg/([0-9]{12})\Z")
_VALUE_COUNTS = (5, 6)
"""Number of values in a line: of an entry, and of one that was released."""


@attrs.frozen
class Entry:
    """Record of one key: the attempt that claimed it, and its outcome once known."""

    attempt: str
    fingerprint: str
    created_at_s: int
    outcome: str = ""
    released: bool = False


@attrs.frozen
class Head:
    """The range of a log's segments, and what their writer knew of the store's restores."""

    first_segment: int
    next_segment: int
    era: int
    """The store's era at the last write; 0: not known."""
    uncertain_until_s: float
    """Records of keys created up to this Unix time may be lost."""


@attrs.frozen
class Refused:
    """A line that can't be read."""

    line: str
    error: fields.FieldError = attrs.field(eq=False)


def segment_key(number: int) -> str:
    """Return the key of a segment, without the bucket's prefix."""
    return f"seg/{number:012d}"


def segment_number(key: str) -> int | None:
    """Return the number of a segment by its key without the prefix; ``None`` for another key."""
    match = _SEGMENT_KEY.match(key)
    return int(match.group(1)) if match else None


def encode_head(head: Head) -> str:
    """Encode a head; a random identifier makes the text of each write unique."""
    return json.dumps(
        {
            "base": head.first_segment,
            "next": head.next_segment,
            "era": head.era,
            "doubted_until_s": head.uncertain_until_s,
            "write": uuid.uuid4().hex,
        }
    )


def decode_head(text: str, numbers: abc.Collection[int], latest_s: float) -> Head:
    """
    Decode a head.

    :param numbers: the segments in the store, read together with the head
    :param latest_s: the latest plausible Unix time at which records may have been lost
    :raises FieldError: a field is malformed, or the next segment exists already
    """
    item = json_values.parse(text.encode())
    if not isinstance(item, dict):
        raise fields.FieldError("not an object")
    next_segment = fields.read_integer_field(item, "next", 0, MAX_SEGMENT)
    if numbers and next_segment <= max(numbers):
        raise fields.FieldError("not above the last segment", "range", "next")
    item = {"era": 0, "doubted_until_s": 0.0} | item
    uncertain_until_s = fields.read_field(
        item, "doubted_until_s", lambda value: fields.read_number(value, 0, latest_s)
    )
    return Head(
        fields.read_integer_field(item, "base", 0, next_segment),
        next_segment,
        fields.read_integer_field(item, "era", 0, _MAX_ERA),
        uncertain_until_s,
    )


def recovered_head(numbers: abc.Collection[int], now_s: float) -> Head:
    """Return a head for segments without a usable one; any record may be lost."""
    return Head(min(numbers, default=0), max(numbers, default=-1) + 1, 0, now_s)


def encode(entries: abc.Mapping[str, Entry]) -> str:
    """Encode entries by their keys, one a line."""
    return "\n".join(
        json.dumps(
            [key, entry.attempt, entry.fingerprint, entry.created_at_s, entry.outcome]
            + ([1] if entry.released else [])
        )
        for key, entry in entries.items()
    )


def decode(text: str) -> tuple[dict[str, Entry], list[Refused]]:
    """Decode entries by their keys; lines that can't be read are returned apart."""
    decoded: dict[str, Entry] = {}
    refused = []
    for line in text.splitlines():
        try:
            key, entry = _decode_line(line)
            decoded[key] = entry
        except fields.FieldError as error:
            refused.append(Refused(line, error))
    return decoded, refused


def _decode_line(line: str) -> tuple[str, Entry]:
    values = fields.read_list(json_values.parse(line.encode(), MAX_LINE_BYTES))
    if len(values) not in _VALUE_COUNTS:
        raise fields.FieldError(f"{len(values)} values", "length")
    item: dict[str, typing.Any] = dict(zip(_NAMES, values, strict=False))
    return fields.read_name_field(item, "key"), Entry(
        fields.read_text_field(item, "attempt"),
        fields.read_text_field(item, "fingerprint"),
        fields.read_integer_field(item, "created_at_s", 0, _MAX_TIME_S),
        fields.read_text_field(item, "outcome"),
        "released" in item and bool(fields.read_integer_field(item, "released", 0, 1)),
    )


_NAMES = ("key", "attempt", "fingerprint", "created_at_s", "outcome", "released")


def find_missing(
    known: dict[str, Entry], stored: dict[str, Entry], retention_start_s: float
) -> dict[str, Entry]:
    """Return acknowledged entries that are not stored, without those past their retention."""
    return {
        key: entry
        for key, entry in known.items()
        if entry.created_at_s > retention_start_s
        and (key not in stored or _is_outdated(stored[key], entry))
    }


def _is_outdated(stored: Entry, known: Entry) -> bool:
    """Whether a stored entry lacks the outcome or release that is known for the same attempt."""
    if stored.attempt != known.attempt or stored.outcome or stored.released:
        return False
    return bool(known.outcome) or known.released


def split_segments(entries: dict[str, Entry]) -> list[str]:
    """Encode entries as texts within the store's value size; one empty text if there are none."""
    segments: list[str] = []
    lines: list[str] = []
    size = 0
    for key, entry in entries.items():
        line = encode({key: entry})
        if size + len(line) > _MAX_SEGMENT_BYTES:
            segments.append("\n".join(lines))
            lines, size = [], 0
        lines.append(line)
        size += len(line) + 1
    segments.append("\n".join(lines))
    return segments
