from __future__ import annotations

import pytest

from turmericlug.membership import freshness
from turmericlug.rules import configuration
from turmericlug.rules import model
from turmericlug.telemetry import counters


def rules(revision):
    return configuration.DocumentText(
        "rules", revision, model.to_json(model.Document(revision, (), ()))
    )


@pytest.mark.parametrize(
    ("revisions", "in_force"), [([1, 2], 2), ([2, 1], 2), ([3, 3, 2], 3), ([5, 4, 6], 6)]
)
def test_lower_revisions_are_ignored(revisions, in_force):
    """
    A peer that was partitioned, or a store restored from a backup, sends rules that operators have
    replaced. They must not come into force again.
    """
    config = configuration.Configuration(freshness.Freshness(1000), counters.Counters())
    applied = [config.apply(rules(revision), "t/config/rules") for revision in revisions]
    assert config.rules.revision == in_force == config.freshness.in_force.rules
    assert applied == [
        revision > max(revisions[:index], default=0) for index, revision in enumerate(revisions)
    ]
