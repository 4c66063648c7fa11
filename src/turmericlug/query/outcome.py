"""Outcomes of a query as reported to its caller; every query has exactly one."""

from __future__ import annotations

import dataclasses
import json
import typing

import attrs


@attrs.frozen
class Missing:
    """A shard without an answer, and the reason."""

    shard: str
    reason: str


@attrs.frozen
class Coverage:
    """How many shards of the pinned snapshot answered."""

    answered: int
    total: int
    missing: tuple[Missing, ...]

    @property
    def ratio(self) -> float:
        """Return the share of shards that answered."""
        return self.answered / self.total if self.total else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Results of one snapshot: complete if no shard is missing, otherwise partial."""

    snapshot: str
    coverage: Coverage
    results: list[tuple[str, bytes]]
    """JSON text by shard."""
    rules_revision: int
    rule: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Nothing ran; ``retry_after_ms`` is the delay after which to retry."""

    reason: str
    retry_after_ms: int
    rules_revision: int = 0
    rule: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The query may have run, in part or in whole, and there is no answer."""

    reason: str
    rules_revision: int = 0
    rule: str = ""
    coverage: Coverage | None = None
    retry_after_ms: int = 0


Outcome = Answer | Refused | Failed


def name_of(outcome: Outcome) -> str:
    """Return the name of an outcome as callers see it."""
    match outcome:
        case Answer(coverage=coverage):
            return "partial" if coverage.missing else "complete"
        case Refused():
            return "refused"
        case Failed():
            return "failed"


def to_json(outcome: Outcome, instance: str, query_id: str) -> bytes:
    """Encode an outcome for the caller; results are forwarded as the targets wrote them."""
    fields: dict[str, typing.Any] = {
        "outcome": name_of(outcome),
        "query_id": query_id,
        "instance": instance,
        "rules_revision": outcome.rules_revision,
        "rule": outcome.rule,
    }
    match outcome:
        case Answer():
            fields["snapshot"] = outcome.snapshot
            fields["coverage"] = _coverage_fields(outcome.coverage)
        case Refused():
            fields |= {
                "ran": "no",
                "reason": outcome.reason,
                "come_back_ms": outcome.retry_after_ms,
            }
        case Failed():
            fields |= {"ran": "maybe", "reason": outcome.reason}
            if outcome.retry_after_ms:
                fields["come_back_ms"] = outcome.retry_after_ms
            if outcome.coverage is not None:
                fields["coverage"] = _coverage_fields(outcome.coverage)
    text = json.dumps(fields).encode()
    if not isinstance(outcome, Answer):
        return text
    # Joined once: the results of a query may be large.
    pieces, separator = [text[:-1], b', "results": ['], b""
    for shard, body in outcome.results:
        name = json.dumps(shard).encode()
        pieces += (separator, b'{"shard": ', name, b', "result": ', body, b"}")
        separator = b", "
    return b"".join([*pieces, b"]}"])


def _coverage_fields(coverage: Coverage) -> dict[str, typing.Any]:
    return {
        "answered": coverage.answered,
        "total": coverage.total,
        "missing": [attrs.asdict(missing) for missing in coverage.missing],
    }
