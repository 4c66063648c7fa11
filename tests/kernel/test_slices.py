"""Long computations in slices of the event loop's turns."""

from __future__ import annotations

import asyncio
import base64
import functools
import json
import time

import pytest

from turmericlug.entry import relay_codec
from turmericlug.entry import source
from turmericlug.kernel import slices
from turmericlug.platform import answers
from turmericlug.platform import decode

CHANGES = 4000
"""As many as an instance relays at most."""
MAX_TURN_S = 0.02


def entry(number):
    return json.dumps(
        {
            "Service": f"s-{number % 90}",
            "Address": f"10.0.{number // 250}.{number % 250 + 1}:8080",
            "Zone": "zone-a",
            "Version": "v1.2.3",
            "Slots": 4,
            "State": "ready",
            "WarmupLeftMs": 0,
            "Sequence": number,
        }
    ).encode()


@functools.cache
def changes():
    return tuple(
        decode.decode_change(f"servers/i-{number:08x}", entry(number), number + 1)
        for number in range(CHANGES)
    )


def encode_relayed():
    return relay_codec.encoding(source.Changes(changes(), CHANGES), lambda: 0.1)


def decode_relayed():
    message = slices.at_once(encode_relayed())
    return relay_codec.decoding(message, decode.decode_change)


def read_from_the_store():
    events = [
        {
            "Key": change.key,
            "Value": base64.b64encode(change.content).decode(),
            "Revision": change.revision,
        }
        for change in changes()
    ]
    return answers.reading_events({"AsOf": CHANGES, "events": events}, 0)


async def longest_turn_s(*computations):
    """Return the results and the most processor time that one turn of the event loop took."""
    longest_s = 0.0
    done = False

    async def watch():
        nonlocal longest_s
        while not done:
            began_s = time.thread_time()
            await asyncio.sleep(0)
            longest_s = max(longest_s, time.thread_time() - began_s)

    watching = asyncio.create_task(watch())
    await asyncio.sleep(0)
    try:
        results = await asyncio.gather(*map(slices.in_turns, computations))
    finally:
        done = True
    await watching
    return results, longest_s


@pytest.mark.parametrize(
    ("make", "count"),
    [(encode_relayed, 1), (decode_relayed, 1), (read_from_the_store, 1), (encode_relayed, 16)],
)
def test_many_changes_do_not_block_the_event_loop(make, count):
    """
    Requests waited for 0.2 s while an instance read 4,000 changes from its relay, and for 0.1 s
    while a relay answered 16 instances at once, each within the time of a slice.
    """
    expected = slices.at_once(make())
    # The shortest of three: the collector of cyclic garbage runs at its own times.
    runs = [asyncio.run(longest_turn_s(*(make() for _ in range(count)))) for _ in range(3)]
    assert all(results == [expected] * count for results, _ in runs)
    assert min(turn_s for _, turn_s in runs) < MAX_TURN_S


def test_an_error_of_a_computation_is_raised():
    def fail():
        yield
        raise ValueError("odd")

    for run in (slices.at_once, lambda steps: asyncio.run(slices.in_turns(steps))):
        with pytest.raises(ValueError, match="odd"):
            run(fail())


def test_a_message_has_one_segment():
    """Messages of several segments are unpacked byte by byte, in one turn of the event loop."""
    odd = (
        source.Removed("r/" + "\u20ac" * 300, 1),
        source.Unreadable("r/" + "\U0001f600" * 7, 2, "range"),
        source.Written("r/a", None, 3, bytes(range(256)) * 3, lease=4),
    )
    for content in (relay_codec.encode(source.Changes(odd * 400, 3), 0.0), decode_message()):
        assert not content[0] & 0x0F


def decode_message():
    return slices.at_once(encode_relayed())
