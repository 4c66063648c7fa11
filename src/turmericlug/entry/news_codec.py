"""News as one instance tells them to another: Cap'n Proto, large values compressed."""

from __future__ import annotations

import functools
import pathlib
import zlib
from collections import abc

import attrs
import capnp

from turmericlug.entry import news

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("relay.capnp")))
COMPRESS_FROM_BYTES = 1000
"""Less than a packet gains nothing; entries of replicas are some 200 bytes."""
MOST_CONTENT_BYTES = 8 * 1024 * 1024
"""Eight times what the source holds under one key."""
_OLDEST_S = 3600.0
"""Told as the age of news that never came: far beyond what is trusted."""

Decode = abc.Callable[[str, bytes, int], news.Written | news.Unreadable | None]
"""Tells what a key's new content says, given its revision."""


class MessageError(Exception):
    """What came is no such message."""


@attrs.frozen
class Told:
    """What another instance told."""

    changes: news.Changes
    lost: bool
    """Whether it does not know all changes since the revision that it was asked for."""


def encode(changes: news.Changes | None, age_s: float) -> bytes:
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
        message.changes = [_plain(change) for change in changes.changes]
    message.sourceAgeMs = int(min(age_s, _OLDEST_S) * 1000)
    return message.to_bytes_packed()


def _plain(change: news.Change) -> dict[str, object]:
    if isinstance(change, news.Removed):
        return {
            "key": change.key,
            "revision": change.revision,
            "era": change.era,
            "removed": True,
        }
    packed = _packed(change.content)
    compressed = len(packed) < len(change.content)
    return {
        "key": change.key,
        "revision": change.revision,
        "era": change.era,
        "content": packed if compressed else change.content,
        "compressed": compressed,
        "lease": change.lease if isinstance(change, news.Written) else 0,
    }


@functools.lru_cache(maxsize=16)
def _packed(content: bytes) -> bytes:
    """
    Compress a value once for all instances that ask for it.

    A configuration of 90 shards is tens of kilobytes. Told plainly to fourteen instances it kept a
    relay's link of 7 Mbit/s busy for some hundred milliseconds, in which the relay's own batches
    went unanswered and were all taken for lost.
    """
    return zlib.compress(content, 1) if len(content) > COMPRESS_FROM_BYTES else content


def decode(content: bytes, decode_value: Decode) -> Told:
    """
    Read a message.

    :raises MessageError: it is damaged
    """
    try:
        message = _SCHEMA.News.from_bytes_packed(content)
        found = [_change(each, decode_value) for each in message.changes]
        changes = tuple(each for each in found if each is not None)
        age_s = message.sourceAgeMs / 1000
        told = news.Changes(changes, message.revision, age_s, message.era)
        return Told(told, message.lost)
    except Exception as error:  # the library raises its own type for each kind of damage
        raise MessageError(str(error)[:100]) from error


def _change(
    change: capnp.lib.capnp._DynamicStructReader, decode_value: Decode
) -> news.Change | None:
    if change.removed:
        return news.Removed(change.key, change.revision, change.era)
    content = unpacked(change.content) if change.compressed else bytes(change.content)
    found = decode_value(change.key, content, change.revision)
    if isinstance(found, news.Written):
        return attrs.evolve(found, era=change.era, lease=change.lease)
    return found and attrs.evolve(found, era=change.era)


def unpacked(content: bytes) -> bytes:
    """
    Decompress a value.

    :raises ValueError: it is cut or too large
    :raises zlib.error: it is damaged
    """
    unpacking = zlib.decompressobj()
    plain = unpacking.decompress(content, MOST_CONTENT_BYTES)
    if not unpacking.eof:
        raise ValueError("a value is cut or too large")
    return plain
