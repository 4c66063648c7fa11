"""A store that answers some calls with fields or bytes that it must not send."""

from __future__ import annotations

import json

import standin_platform
from integration import test_outside_values

from turmericlug.http1 import messages

RAW_BODIES = (b"", b"{", b"null", b"\xff", b"[" * 100_000, b'{"AsOf": ' + b"9" * 5000 + b"}")
ERA_HEADERS = (b"", b"x", b"-1", b"9" * 400, b"\xff")
CALLS = ("kv-range", "kv-watch", "kv-lease", "kv-keep", "kv-txn")
STATUSES = (200, 200, 204, 302, 400, 404, 410, 412, 500)


class OddStore(standin_platform.Store):
    """The store; ``odd_answers`` are given instead of its next ones."""

    def __init__(self):
        super().__init__()
        self.odd_answers = []
        """Pairs of the begin of a call's name and a response."""

    async def handle(self, request):
        """Serve one call, oddly if an odd answer waits for it."""
        call = request.target.decode().removeprefix("/turmericlug/")
        for odd in self.odd_answers:
            if call.startswith(odd[0]):
                self.odd_answers.remove(odd)
                return odd[1]
        return await super().handle(request)

    def draw_odd_answer(self, rng):
        """Return an odd answer to some call: odd fields, or bytes that are no answer."""
        if rng.random() < 0.5:
            call, body = rng.choice(list(test_outside_values.ANSWERS.values()))
            return call, messages.Response(200, self._headers(), json.dumps(body).encode())
        body = rng.choice(RAW_BODIES)
        return rng.choice(CALLS), messages.Response(rng.choice(STATUSES), self._headers(), body)
