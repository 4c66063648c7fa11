"""The operators' answers to what was stored."""

from __future__ import annotations

import asyncio
import json
import types

import pytest

from turmericlug.membership import freshness
from turmericlug.operators import http
from turmericlug.rules import repository
from turmericlug.telemetry import counters


class Distribution:
    """Confirmed by every other instance; reads nothing, as the store is away."""

    async def refresh(self):
        return False

    async def distribute(self, documents):
        return []


class Repository:
    async def put_catalog(self, text):
        return repository.Stored(revision=7)


class Request:
    async def read(self):
        return b"{}"


@pytest.mark.parametrize(
    ("held", "outcome", "waiting_for"), [(6, "stored", ["own"]), (7, "accepted", [])]
)
def test_a_catalogue_is_accepted_once_this_instance_has_it(held, outcome, waiting_for):
    """
    The store takes a catalogue and fails before the instance that wrote it has read it back. The
    operator is told "accepted", while callers of that instance get answers by the older catalogue.
    """
    current = types.SimpleNamespace(held=freshness.Revisions(rules=1, catalog=held))
    operators = http.OperatorsHttp.__new__(http.OperatorsHttp)
    operators._config = types.SimpleNamespace(freshness=current)
    operators._distribution = Distribution()
    operators._repository = Repository()
    operators._counters = counters.Counters()
    operators._settings = types.SimpleNamespace(instance=types.SimpleNamespace(name="own"))
    response = asyncio.run(operators._put_catalog(Request()))
    answer = json.loads(response.text)
    assert (answer["outcome"], answer["waiting_for"]) == (outcome, waiting_for)
    assert answer["revision"] == 7
