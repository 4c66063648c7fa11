"""Odd numbers and texts in headers and paths get an answer, from whoever sends them."""

from __future__ import annotations

import asyncio
import itertools

import entry_process
import pytest
from integration import test_entry

from turmericlug.http1 import messages

DIGITS = b"9" * 5000
NUMBERS = [DIGITS, b"1e400", b"nan", b"inf", b"-1", b"", b"\xb2", b"1_0", b"0x10"]
CALLER_HEADERS = [
    *itertools.product([b"x-deadline-ms", b"x-warmup-ms", b"retry-after"], NUMBERS),
    (b"keep-alive", b"timeout=" + DIGITS),
    (b"x-key", b"\xff" * 100),
    (b"x-server-load", DIGITS),
]
REPLICA_HEADERS = [
    *itertools.product([b"x-server-load", b"retry-after"], NUMBERS),
    (b"x-server-load", b"1,2," + DIGITS),
    (b"x-server-load", b"1,2,3,4,5"),
    (b"x-server-load", b"," * 3000),
    *((b"keep-alive", b"timeout=" + value) for value in NUMBERS),
    (b"x-missing-parts", DIGITS),
]
SURROGATE = b"%ED%A0%80"
PATHS = {
    2: [
        b"/turmericlug/resolve?Region=" + SURROGATE + b"&Zone=%FF&Name=%00",
        b"/turmericlug/resolve?Region=" + DIGITS,
        b"/turmericlug/resolve?" + b"&" * 3000,
    ],
    3: [
        b"/organisations?name=" + SURROGATE + b"&name=%00&name=" + DIGITS,
        b"/explain?host=" + SURROGATE + b"&path=/" + SURROGATE,
        b"/explain?host=h.example&path=/all/" + SURROGATE,
        b"/quarantine/" + SURROGATE,
        b"/status?" + DIGITS,
        b"/metrics?" + DIGITS,
    ],
    4: [
        b"/news/1." + DIGITS + b"/0/e-2",
        b"/news/" + DIGITS + b".1/0/e-2",
        b"/news/1.1/" + DIGITS + b"/e-2",
        b"/suspects",
        b"/quotas",
        b"/" + SURROGATE,
    ],
}


async def _assert_nothing_failed(instance):
    # The log is written in batches.
    await asyncio.sleep(0.3)
    for event in ("caller.failed", "task.failed"):
        assert instance.lines(event) == []
    assert instance.process.returncode is None


def test_odd_headers_of_callers_get_an_answer(tmp_path):
    """Guards against numbers of thousands of digits that end a request with an error (500)."""

    async def scenario(store, replicas, instance):
        for header, path in itertools.product(CALLER_HEADERS, (b"/one/1", b"/all/1")):
            answer = await entry_process.ask(instance.ports[0], path, b"q", [header])
            assert answer.status in (200, 400, 503), header
        await _assert_nothing_failed(instance)

    test_entry.run_scenario(tmp_path, scenario)


def test_odd_headers_of_replicas_do_not_fail_their_answers(tmp_path):
    """Guards against a header of one answer that fails it, or all later ones of its replica."""

    async def scenario(store, replicas, instance):
        odd = []

        async def answer_oddly(replica, request):
            request_id = request.header(b"x-request-id")
            stamp = b"%s.1.%s" % (replica.instance.encode(), request_id)
            headers = ((b"x-request-id", request_id), (b"x-server-stamp", stamp), *odd)
            return messages.Response(200, headers, replica.body)

        for replica in replicas.values():
            replica.script = lambda request, replica=replica: answer_oddly(replica, request)
        for header, path in itertools.product(REPLICA_HEADERS, (b"/one/1", b"/all/1")):
            odd[:] = [header]
            answer = await entry_process.ask(instance.ports[0], path, b"q")
            assert answer.status == 200, header
        await _assert_nothing_failed(instance)

    test_entry.run_scenario(tmp_path, scenario)


def test_odd_paths_get_an_answer(tmp_path):
    """Guards against texts that can't be encoded, in requests to the addresses for operators."""

    async def scenario(store, replicas, instance):
        async def names_itself():
            answer = await entry_process.ask(instance.ports[2], b"/turmericlug/resolve", b"q")
            return answer.status == 200

        await entry_process.until(names_itself)
        for port, paths in PATHS.items():
            for path in paths:
                answer = await entry_process.ask(instance.ports[port], path, b"q")
                assert answer.status in (200, 400, 404), path
        await _assert_nothing_failed(instance)

    test_entry.run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("path", [b"/suspects", b"/parts"])
def test_message_cut_short_does_not_end_an_instance(tmp_path, path):
    """Guards against four bytes at the address for other instances that end the process."""

    async def scenario(store, replicas, instance):
        for body in (b"\1\1\2\1", b"\1\1\1\xd9\1", b"\xff", b"\0"):
            answer = await entry_process.ask(
                instance.ports[4], path, b"q", method=b"POST", body=body
            )
            assert answer.status == 400
        await _assert_nothing_failed(instance)

    test_entry.run_scenario(tmp_path, scenario)
