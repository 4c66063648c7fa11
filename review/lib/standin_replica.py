"""Stand-in for a replica: slots, a short queue, refusals, and optional second answers."""

from __future__ import annotations

import asyncio
import collections
import random

from lib import http_messages


class Replica:
    """A replica that runs a number of requests at a time, queues a few more and refuses others."""

    def __init__(self, name: str, slots: int, queue: int, work_s: float, body: bytes) -> None:
        self.name, self.queue, self.work_s, self.body = name, queue, work_s, body
        self.runs: collections.Counter[str] = collections.Counter()
        """How often each request began to run, by its identifier."""
        self.received: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.second_answer_share = 0.0
        """Share of all answers of which a copy is sent again, late, on the same connection."""
        self.second_answers: dict[bool, list[str]] = {False: [], True: []}
        """Identifiers of the requests whose answer was sent again, by whether it was a refusal."""
        self.answers = 0
        self.address = ""
        self._random = random.Random(name)
        self._slots = asyncio.Semaphore(slots)
        self._waiting = 0
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int = 0) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        second_answer = b""
        try:
            while (message := await http_messages.read(reader)) is not None:
                if second_answer:
                    # It arrives where the response to this request is expected.
                    writer.write(second_answer)
                    second_answer = b""
                answer, is_refusal = await self._answer(message)
                self.answers += 1
                writer.write(answer)
                await writer.drain()
                if self._random.random() < self.second_answer_share:
                    second_answer = answer
                    self.second_answers[is_refusal].append(message.header("x-request-id") or "")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, message: http_messages.Message) -> tuple[bytes, bool]:
        request_id = message.header("x-request-id") or ""
        self.received[request_id] += 1
        headers = {"X-Request-Id": request_id, "X-Instance-Id": self.name}
        if message.start[1] == "/health":
            return http_messages.response(200, headers), False
        if message.header("x-expect-instance") not in (None, self.name):
            return http_messages.response(421, headers | {"X-Not-Executed": "1"}), False
        if self._slots.locked() and self._waiting >= self.queue:
            self.refused[request_id] += 1
            return http_messages.response(503, headers | {"X-Not-Executed": "1"}), True
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self.runs[request_id] += 1
            await asyncio.sleep(self.work_s)
        stamp = f"{self.name}.{request_id}.{self.runs[request_id]}"
        return http_messages.response(200, headers | {"X-Server-Stamp": stamp}, self.body), False
