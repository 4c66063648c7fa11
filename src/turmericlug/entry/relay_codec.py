"""News as one instance tells them to another: Cap'n Proto, large values compressed."""

from __future__ import annotations

import functools
import pathlib
import zlib
from collections import abc

import attrs
import capnp

from turmericlug.entry import source

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("relay.capnp")))
COMPRESSION_THRESHOLD_BYTES = 1000
"""Less than a packet gains nothing; entries of replicas are some 200 bytes."""
MAX_CONTENT_BYTES = 8 * 1024 * 1024
"""Eight times what the source holds under one key."""
_MAX_AGE_S = 3600.0
"""Reply as the age of news that never came: far beyond what is trusted."""

Decode = abc.Callable[[str, bytes, int], source.Written | source.Unreadable | None]
"""Tells what a key's new content says, given its revision."""


class MessageError(Exception):
    """What came is no such message."""


@attrs.frozen
class Reply:
    """What another instance told."""

    changes: source.Changes
    lost: bool
    """Whether it does not know all changes since the revision that it was asked for."""


def encode(changes: source.Changes | None, age_s: float) -> bytes:
    """
    Write news as a message.

    :param changes: ``None`` where not all of them are known
    :param age_s: how long ago the teller heard from the source
    """
    message = _SCHEMA.News.new_message()
    if changes is None:
        message.lost = True
    else:
        message.revision = changes.revision
        message.era = changes.era
        message.changes = [_encode_change(change) for change in changes.changes]
    message.sourceAgeMs = int(min(age_s, _MAX_AGE_S) * 1000)
    return message.to_bytes_packed()


def _encode_change(change: source.Change) -> dict[str, object]:
    if isinstance(change, source.Removed):
        return {
            "key": change.key,
            "revision": change.revision,
            "era": change.era,
            "removed": True,
        }
    packed = _compress(change.content)
    compressed = len(packed) < len(change.content)
    return {
        "key": change.key,
        "revision": change.revision,
        "era": change.era,
        "content": packed if compressed else change.content,
        "compressed": compressed,
        "lease": change.lease if isinstance(change, source.Written) else 0,
    }


@functools.lru_cache(maxsize=16)
def _compress(content: bytes) -> bytes:
    """
    Compress a value once for all instances that ask for it.

    A configuration of 90 shards is tens of kilobytes. Reply plainly to fourteen instances it kept a
    relay's link of 7 Mbit/s busy for some hundred milliseconds, in which the relay's own batches
    went unanswered and were all taken for lost.
    """
    return zlib.compress(content, 1) if len(content) > COMPRESSION_THRESHOLD_BYTES else content


def decode(content: bytes, decode_value: Decode) -> Reply:
    """
    Read a message.

    :raises MessageError: it is damaged
    """
    try:
        message = _SCHEMA.News.from_bytes_packed(content)
        found = [_decode_change(each, decode_value) for each in message.changes]
        changes = tuple(each for each in found if each is not None)
        age_s = message.sourceAgeMs / 1000
        told = source.Changes(changes, message.revision, age_s, message.era)
        return Reply(told, message.lost)
    except Exception as error:  # the library raises its own type for each kind of damage
        raise MessageError(str(error)[:100]) from error


def _decode_change(
    change: capnp.lib.capnp._DynamicStructReader, decode_value: Decode
) -> source.Change | None:
    if change.removed:
        return source.Removed(change.key, change.revision, change.era)
    content = decompress_value(change.content) if change.compressed else bytes(change.content)
    found = decode_value(change.key, content, change.revision)
    if isinstance(found, source.Written):
        return attrs.evolve(found, era=change.era, lease=change.lease)
    return found and attrs.evolve(found, era=change.era)


def decompress_value(content: bytes) -> bytes:
    """
    Decompress a value.

    :raises ValueError: it is cut or too large
    :raises zlib.error: it is damaged
    """
    unpacking = zlib.decompressobj()
    plain = unpacking.decompress(content, MAX_CONTENT_BYTES)
    if not unpacking.eof:
        raise ValueError("a value is cut or too large")
    return plain
