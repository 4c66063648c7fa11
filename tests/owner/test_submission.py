"""Replies to parts, as messages between an owner and a coordinator."""

from __future__ import annotations

import asyncio
import types

import pytest

from turmericlug.owner import owner as owner_module
from turmericlug.owner import part as part_module
from turmericlug.owner import submission
from turmericlug.owner import target
from turmericlug.wire import codec


def make_request():
    """Return a request with parts, and the list of frames with the replies to it."""
    envelope = codec.envelope(7)
    parameters = submission.QueryParameters("q", "c", 5, True, True, 1, b"{}")
    parts = tuple((number, "service", f"s{number}") for number in range(500))
    submission.encode_parts(envelope, submission.PartsRequest(parameters, "s1", 1.0, parts))
    frames = []

    def reply(fill):
        message = codec.envelope(7)
        fill(message)
        frames.append(codec.encode(message))

    message = codec.decode(codec.encode(envelope)[4:])
    return types.SimpleNamespace(message=message, reply=reply, on_cancel=None), frames


@pytest.mark.parametrize(
    ("count", "size_bytes"), [(3, target.MAX_REPLY_BYTES), (500, 100_000), (500, 10), (1, 0)]
)
def test_replies_of_one_iteration_fit_frames(count, size_bytes):
    """
    Large replies that came in together made a frame above the limit. The coordinator closed the
    connection, and all requests that were open on it were lost.
    """
    request, frames = make_request()
    replies = [
        part_module.PartReply(number, part_module.ANSWERED, snapshot="s1", body=b"1" * size_bytes)
        for number in range(count)
    ]
    fake = types.SimpleNamespace(
        submit=lambda parts_request, on_replies: on_replies(replies),
        _config=types.SimpleNamespace(freshness=types.SimpleNamespace(tick=lambda: False)),
    )

    async def main():
        owner_module.Owner.on_parts(fake, request)

    asyncio.run(main())
    reader = codec.FrameReader()
    received = {
        reply.number: len(reply.body)
        for frame in frames
        for body in reader.feed(frame)
        for reply in codec.decode(body).partsReply.replies
    }
    assert received == dict.fromkeys(range(count), size_bytes)
