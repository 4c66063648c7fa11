"""
Whatever bytes come from outside, a decoder raises its own error and no other.

``FUZZ_EXAMPLES`` sets the number of examples of each test; with it, examples are random.
"""

from __future__ import annotations

import base64
import json
import os

import hypothesis
import pytest
import standin_platform
from hypothesis import strategies

from turmericlug.decoding import fields
from turmericlug.decoding import json_values
from turmericlug.direct import handover_codec
from turmericlug.direct import organisations
from turmericlug.entry import relay_codec
from turmericlug.entry import source
from turmericlug.platform import answers
from turmericlug.platform import decode
from turmericlug.platform import names
from turmericlug.policy import poison
from turmericlug.policy import quota
from turmericlug.wire import codec
from turmericlug.wire import quota_codec
from turmericlug.wire import suspects_codec

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "100"))
fuzzed = hypothesis.settings(
    max_examples=EXAMPLES,
    derandomize="FUZZ_EXAMPLES" not in os.environ,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

FIELDS = [
    *("Version", "Services", "Routes", "Limits", "Tenants", "Name", "Host", "Prefix", "Service"),
    *("TimeoutMs", "GoalMs", "Priority", "MaxAttempts", "TrafficSplit", "Weight", "Gather"),
    *("TopK", "MinCoverage", "AllowedRegions", "Public", "HealthPath", "MaxConns", "WarmupPerS"),
    *("MaxHeaderBytes", "MaxBodyBytes", "HeaderTimeoutMs", "IdleTimeoutMs", "ApiKeys", "RatePerS"),
    *("Burst", "RouteType", "Address", "Zone", "Slots", "State", "WarmupLeftMs", "Sequence"),
    *("born", "address", "peers_address", "data_centre", "region", "capacity", "items", "events"),
    *("AsOf", "HasMore", "Key", "Value", "Revision", "Tombstone", "Lease"),
]
NUMBERS = strategies.one_of(
    strategies.integers(),
    strategies.sampled_from(
        [0, -1, 255, 256, 2**16, 2**31, 2**32, 2**53, 2**63, 2**64, 2**70, 10**400, -(10**400)]
    ),
    strategies.floats(),
)
TEXTS = strategies.one_of(
    strategies.text(max_size=6),
    strategies.text(strategies.characters(categories=["Cs"]), min_size=1, max_size=2),
    strategies.sampled_from(["", "x" * 5000, "a\r\nb", "\0", "10.0.0.1:80", "10.0.0.1:65536"]),
)
JSON = strategies.recursive(
    strategies.none() | strategies.booleans() | NUMBERS | TEXTS,
    lambda children: strategies.lists(children, max_size=3)
    | strategies.dictionaries(strategies.sampled_from(FIELDS) | TEXTS, children, max_size=4),
    max_leaves=12,
)
DEEP = strategies.builds(
    lambda opened, levels, core: opened * levels + core,
    strategies.sampled_from([b"[", b'{"a":', b'[{"a":[']),
    strategies.integers(1, 2000),
    strategies.sampled_from([b"", b"1", b"]" * 30]),
)


def to_bytes(value):
    return json.dumps(value).encode()


GOOD_CONFIGURATION = standin_platform.configuration(
    5,
    [
        standin_platform.route("a", "/a/", Gather=["s", "t"], TopK=2, MinCoverage=0.5),
        standin_platform.route("b", "/b/", TrafficSplit=[{"Service": "s", "Weight": 2}]),
    ],
    ["s", "t"],
) | {"Tenants": [{"Name": "o", "ApiKeys": ["k"], "RatePerS": 3, "Burst": 2}]}
GOOD_REPLICA = {
    "Service": "s",
    "Address": "10.0.0.7:8080",
    "Zone": "dc-1",
    "Version": "v1",
    "Slots": 2,
    "State": "ready",
    "WarmupLeftMs": 0,
    "Sequence": 4,
    "born": 1_790_000_000_000,
}
GOOD_INSTANCE = json.loads(
    decode.encode_instance(
        source.EntryInstance("e-1", "10.0.0.1:80", "dc-1", "r-1", "10.0.0.1:81", 0.5)
    )
)
GOOD = {
    "op/config": GOOD_CONFIGURATION,
    "servers/i-1": GOOD_REPLICA,
    "turmericlug/instances/e-1": GOOD_INSTANCE,
    "op/evacuate/dc-1": {},
    "other/key": {},
}


def paths(value, path=()):
    """Return the path of each element of a value, its own first."""
    children = value.items() if isinstance(value, dict) else ()
    children = enumerate(value) if isinstance(value, list) else children
    return [path, *(found for name, child in children for found in paths(child, (*path, name)))]


def replaced(value, path, new):
    """Return a value with the element at a path replaced."""
    if not path:
        return new
    copy = value.copy()
    copy[path[0]] = replaced(value[path[0]], path[1:], new)
    return copy


def with_one_change(good):
    """Return a strategy of a good value with one element replaced by any."""
    return strategies.builds(
        lambda path, new: replaced(good, path, new),
        strategies.sampled_from(paths(good)),
        NUMBERS | TEXTS | JSON,
    )


def mutated(good):
    """Return a strategy of a message with a few bytes replaced, removed or added."""
    edit = strategies.tuples(
        strategies.integers(0, len(good)), strategies.integers(0, 3), strategies.binary(max_size=3)
    )

    def apply(edits):
        content = good
        for position, removed, added in edits:
            content = content[:position] + added + content[position + removed :]
        return content

    return strategies.lists(edit, min_size=1, max_size=3).map(apply) | strategies.binary()


KEYS = strategies.sampled_from(list(GOOD)) | TEXTS.map(lambda text: names.REPLICAS_PREFIX + text)
KEYS = KEYS | TEXTS.map(lambda text: names.INSTANCES_PREFIX + text)
KEYS = KEYS | TEXTS.map(lambda text: names.EVACUATIONS_PREFIX + text)
CONTENTS = strategies.one_of(
    strategies.binary(max_size=60), DEEP, JSON.map(to_bytes), mutated(to_bytes(GOOD_CONFIGURATION))
)


def check_usable(change):
    """Check that a value which was read can be handed on to other instances, and logged."""
    if isinstance(change, source.Written):
        message = relay_codec.encode(source.Changes((change,), 5), 0.0)
        assert relay_codec.decode(message, decode.decode_change).changes.changes == (change,)
    json.dumps([str(change.key), getattr(change, "reason", ""), getattr(change, "problem", "")])


@fuzzed
@hypothesis.given(KEYS, CONTENTS | TEXTS)
def test_any_content_is_read_or_refused(key, content):
    change = decode.decode_change(key, content, 5)
    assert change is None or change.key == key
    if change is not None:
        check_usable(change)


@pytest.mark.parametrize("key", GOOD)
@fuzzed
@hypothesis.given(strategies.data())
def test_any_change_of_a_good_value_is_read_or_refused(key, data):
    value = data.draw(with_one_change(GOOD[key]))
    change = decode.decode_change(key, to_bytes(value), 5)
    if change is not None:
        check_usable(change)
    if isinstance(change, source.Written) and key == "op/config":
        check_configuration(change.value)


def check_configuration(configuration):
    """Check that each route can be handed on with a batch."""
    for route in configuration.routes:
        batch = handover_codec.Batch(
            *(b"r", b"GET", b"/", [], b"", route.name, route.goal_ms, route.priority),
            *(route.max_attempts, route.top_records, route.shards, 1.0, route.timeout_ms, "dc"),
            regions=route.regions,
        )
        handover_codec.decode_batch(handover_codec.encode_batch(batch))
    configuration.match("h.example", "/a/1")
    configuration.regions_of("h.example")


ITEM = {
    "Key": "servers/i-1",
    "Value": base64.b64encode(to_bytes(GOOD_REPLICA)).decode(),
    "Revision": 90,
    "Lease": 7,
}
TOMBSTONE = {"Key": "servers/i-2", "Revision": 91, "Tombstone": True}
ANSWERS = {
    "page": (answers.read_page, {"items": [ITEM, ITEM], "AsOf": 100, "HasMore": False}),
    "events": (answers.read_events, {"events": [ITEM, TOMBSTONE], "AsOf": 100}),
    "lease": (lambda body, era: answers.read_lease(body), {"Lease": 7, "TtlMs": 8000}),
}


@pytest.mark.parametrize(("read", "good"), ANSWERS.values(), ids=ANSWERS)
@fuzzed
@hypothesis.given(strategies.data())
def test_any_answer_of_the_store_is_read_or_refused(read, good, data):
    try:
        found = read(data.draw(JSON | with_one_change(good)), 3)
    except fields.FieldError as error:
        assert error.reason and str(error)
        return
    if isinstance(found, source.Changes):
        relay_codec.decode(relay_codec.encode(found, 0.0), decode.decode_change)


@fuzzed
@hypothesis.given(DEEP | strategies.binary(max_size=40) | JSON.map(to_bytes))
def test_any_bytes_are_json_or_refused(content):
    try:
        json_values.parse(content)
    except fields.FieldError as error:
        assert error.reason in ("syntax", "depth", "text", "size")


BATCH = handover_codec.Batch(
    *(b"q1", b"GET", b"/a", [(b"host", b"h")], b"x", "r", 100.0, 1, 2, 3, ("x", "y"), 50.0),
    *(500.0, "far", True, frozenset({"r-1"}), organisations.Organisation("o", 2)),
)
ANSWER = handover_codec.Answer(
    b"r" * 16, {"x": b"sig"}, {"y": handover_codec.Failure("shed", False)}, 12.0
)
RECORD = poison.Record({"i-1": 998.0}, 995.0, 997.0, 2, 1001.0)
REPORT = quota.Report("o", 3, 2, 1, 4, 5, 6, 7.5, 0.25, 9, 2.0, 3.0)
NOTICE = quota.Notice("o", 3, 0.5, 0.25, 0.125, 4.5, 9)
RELAYED = source.Changes(
    (
        source.Written("servers/i-1", None, 11, to_bytes(GOOD_REPLICA), 7, (), 3),
        source.Written("op/config", None, 12, to_bytes(GOOD_CONFIGURATION) * 3, 7, (), 3),
        source.Removed("servers/i-2", 12, 3),
    ),
    12,
    era=3,
)
ENVELOPE = codec.envelope(7)
ENVELOPE.welcome = "e-1"
MESSAGES = {
    "batch": (
        handover_codec.encode_batch(BATCH),
        handover_codec.decode_batch,
        handover_codec.MessageError,
    ),
    "answer": (
        handover_codec.encode_answer(ANSWER, BATCH.shards),
        lambda content: handover_codec.decode_answer(content, BATCH.shards),
        handover_codec.MessageError,
    ),
    "suspects": (
        suspects_codec.encode(suspects_codec.Suspects({b"c" * 16: RECORD}, True), 1000.0),
        lambda content: suspects_codec.decode(content, 1000.0),
        suspects_codec.MessageError,
    ),
    "quotas": (
        quota_codec.encode(quota_codec.Message("e", 1, 2, (REPORT,), (NOTICE,), ("o",), 3)),
        quota_codec.decode,
        quota_codec.MessageError,
    ),
    "relayed": (
        relay_codec.encode(RELAYED, 0.5),
        lambda content: relay_codec.decode(content, decode.decode_change),
        relay_codec.MessageError,
    ),
    "envelope": (ENVELOPE.to_bytes(), codec.decode, codec.FrameError),
}


@pytest.mark.parametrize(("good", "read", "error"), MESSAGES.values(), ids=MESSAGES)
@fuzzed
@hypothesis.given(strategies.data())
def test_any_message_of_an_instance_is_read_or_refused(good, read, error, data):
    content = data.draw(mutated(good))
    try:
        found = read(content)
    except error:
        return
    match found:
        case handover_codec.Batch():
            handover_codec.encode_batch(found)
        case suspects_codec.Suspects():
            for record in found.records.values():
                record.verdict(1000.0)
            suspects_codec.encode(found, 1000.0)
        case quota_codec.Message():
            quota_codec.encode(found)
        case relay_codec.Reply():
            relay_codec.encode(found.changes, found.changes.age_s)


HEADER_VALUES = strategies.binary(max_size=12) | strategies.sampled_from(
    [b"9" * 5000, b"1," * 3 + b"9" * 5000, b"nan", b"inf", b"\xb2", b"1,2,3,4", b"", b"-1"]
)


@fuzzed
@hypothesis.given(HEADER_VALUES)
def test_any_load_header_is_read_or_ignored(value):
    names.read_load(value)
