"""The messages by which instances relay changes: Cap'n Proto, with large values compressed."""

from __future__ import annotations

import functools
import pathlib
import re
import typing
import zlib
from collections import abc

import attrs
import capnp

from turmericlug.entry import source
from turmericlug.kernel import slices
from turmericlug.wire import packed

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("relay.capnp")))
COMPRESSION_THRESHOLD_BYTES = 1000
"""Compressing less than a packet gains nothing; entries of replicas are some 200 bytes."""
MAX_CONTENT_BYTES = 8 * 1024 * 1024
"""Eight times the largest value that the source holds under one key."""
MAX_CHANGES = 40_000
"""Ten times as many as an instance keeps to relay."""
_CHANGE_WORDS = 12
"""Words of a change without its texts: fields, pointers, and what rounds the texts up."""
_MESSAGE_WORDS = 32
_REASON = re.compile(r"[a-z0-9_]{1,20}\Z")
"""Each different reason gets a counter."""
_UNKNOWN_REASON = "relayed"
_MAX_AGE_S = 3600.0
"""Reported as the age if the source has never answered: far beyond what any instance accepts."""

DecodeChange = abc.Callable[[str, bytes, int], source.Written | source.Unreadable | None]
"""Decodes the new content of a key, given its revision."""


class MessageError(Exception):
    """The message is damaged or of another type."""


@attrs.frozen
class Reply:
    """The reply of a relay."""

    changes: source.Changes
    history_lost: bool
    """Whether the relay does not know all changes since the requested position."""


def encode(changes: source.Changes | None, age_s: float) -> bytes:
    """Encode changes as ``encoding`` does, at once."""
    return slices.at_once(encoding(changes, lambda: age_s))


def encoding(changes: source.Changes | None, age_s: abc.Callable[[], float]) -> slices.Steps[bytes]:
    """
    Encode changes as a message, in steps.

    :param changes: ``None`` if not all of them are known
    :param age_s: returns the time since the source last answered the sender
    """
    if changes is None:
        message = _SCHEMA.News.new_message()
        message.lost = True
    else:
        # A key that is not valid Unicode is read from the source by each instance alone: no message
        # can hold it, and no value under it is used.
        encoded = []
        for change in changes.changes:
            if _is_unicode(change.key):
                encoded.append(_encode_change(change))
                yield
        # Messages of one segment are read some ten times as fast as others.
        message = _SCHEMA.News.new_message(num_first_segment_words=_size_words(encoded))
        message.revision = changes.revision
        message.era = changes.era
        targets = message.init("changes", len(encoded))
        for target, fields in zip(targets, encoded, strict=True):
            for name, value in fields.items():
                setattr(target, name, value)
            yield
    message.sourceAgeMs = int(min(max(age_s(), 0.0), _MAX_AGE_S) * 1000)
    return message.to_bytes_packed()


def _size_words(encoded: abc.Sequence[abc.Mapping[str, typing.Any]]) -> int:
    """Return how large a segment has to be to hold a message, in words of 8 bytes."""
    content_bytes = sum(
        len(fields.get("content", b"")) + 4 * len(fields["key"]) + len(fields.get("refused", ""))
        for fields in encoded
    )
    return content_bytes // 8 + _CHANGE_WORDS * len(encoded) + _MESSAGE_WORDS


def _is_unicode(key: str) -> bool:
    try:
        key.encode()
    except UnicodeEncodeError:
        return False
    return True


def _encode_change(change: source.Change) -> dict[str, typing.Any]:
    if isinstance(change, source.Removed):
        return {
            "key": change.key,
            "revision": change.revision,
            "era": change.era,
            "removed": True,
        }
    if isinstance(change, source.Unreadable):
        return {
            "key": change.key,
            "revision": change.revision,
            "era": change.era,
            "refused": change.reason,
        }
    compressed_content = _compress(change.content)
    compressed = len(compressed_content) < len(change.content)
    return {
        "key": change.key,
        "revision": change.revision,
        "era": change.era,
        "content": compressed_content if compressed else change.content,
        "compressed": compressed,
        "lease": change.lease,
    }


@functools.lru_cache(maxsize=16)
def _compress(content: bytes) -> bytes:
    """
    Compress a value once for all instances that request it.

    A configuration of 90 shards is tens of kilobytes. Sent uncompressed to fourteen instances, it
    kept a relay's link of 7 Mbit/s busy for some hundred milliseconds, during which the relay's own
    batches got no answers and were all treated as lost.
    """
    return zlib.compress(content, 1) if len(content) > COMPRESSION_THRESHOLD_BYTES else content


def decode(content: bytes, decode_change: DecodeChange) -> Reply:
    """
    Decode a message at once.

    :raises MessageError: the message is damaged
    """
    return slices.at_once(decoding(content, decode_change))


def decoding(content: bytes, decode_change: DecodeChange) -> slices.Steps[Reply]:
    """
    Decode a message in steps.

    :raises MessageError: the message is damaged
    """
    try:
        message = packed.read(_SCHEMA.News, content)
        if len(message.changes) > MAX_CHANGES:
            raise MessageError(f"{len(message.changes)} changes, more than {MAX_CHANGES}")
        changes = []
        for change in message.changes:
            decoded = _decode_relayed_change(change, decode_change, message)
            if decoded is not None:
                changes.append(decoded)
            yield
        age_s = message.sourceAgeMs / 1000
        reported = source.Changes(tuple(changes), message.revision, age_s, message.era)
        return Reply(reported, message.lost)
    except MessageError:
        raise
    except Exception as error:  # the library raises a different type for each kind of damage
        raise MessageError(str(error)[:100]) from error


def _decode_relayed_change(
    change: capnp.lib.capnp._DynamicStructReader,
    decode_change: DecodeChange,
    message: capnp.lib.capnp._DynamicStructReader,
) -> source.Change | None:
    revisions_ahead = change.revision - message.revision if change.era == message.era else 0
    is_plausible = revisions_ahead <= source.MAX_REVISIONS_AHEAD
    if change.removed:
        revision = change.revision if is_plausible else message.revision
        return source.Removed(change.key, revision, change.era)
    if not is_plausible:
        return source.Unreadable(
            change.key,
            0,
            "range",
            era=change.era,
            field="Revision",
            problem=f"{change.revision} in changes up to {message.revision}",
        )
    if change.refused:
        reason = change.refused if _REASON.match(change.refused) else _UNKNOWN_REASON
        return source.Unreadable(
            change.key,
            change.revision,
            reason,
            era=change.era,
            problem="refused by the instance that relays it",
        )
    content = decompress_value(change.content) if change.compressed else bytes(change.content)
    decoded = decode_change(change.key, content, change.revision)
    if isinstance(decoded, source.Written):
        return attrs.evolve(decoded, era=change.era, lease=change.lease)
    return decoded and attrs.evolve(decoded, era=change.era)


def decompress_value(content: bytes) -> bytes:
    """
    Decompress a value.

    :raises ValueError: the value is truncated or too large
    :raises zlib.error: the value is damaged
    """
    decompressor = zlib.decompressobj()
    plain = decompressor.decompress(content, MAX_CONTENT_BYTES)
    if not decompressor.eof:
        raise ValueError("compressed value is truncated or exceeds MAX_CONTENT_BYTES")
    return plain
