"""Responses of the operators' interface to a stored document."""

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
    """Every other instance has confirmed; the store is unreachable, so refreshing fails."""

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
    ("catalog_revision", "outcome", "waiting_for"), [(6, "stored", ["own"]), (7, "accepted", [])]
)
def test_a_catalogue_is_accepted_only_once_in_force_on_this_instance(
    catalog_revision, outcome, waiting_for
):
    """
    Guards against reporting "accepted" too early: the store accepts a catalogue, then fails before
    the instance that wrote it has read it back, so this instance still uses the older catalogue.
    """
    instance_freshness = types.SimpleNamespace(
        in_force=freshness.Revisions(rules=1, catalog=catalog_revision)
    )
    handlers = http.OperatorsHttp.__new__(http.OperatorsHttp)
    handlers._config = types.SimpleNamespace(freshness=instance_freshness)
    handlers._distribution = Distribution()
    handlers._repository = Repository()
    handlers._counters = counters.Counters()
    handlers._settings = types.SimpleNamespace(instance=types.SimpleNamespace(name="own"))
    response = asyncio.run(handlers._put_catalog(Request()))
    body = json.loads(response.text)
    assert (body["outcome"], body["waiting_for"]) == (outcome, waiting_for)
    assert body["revision"] == 7
