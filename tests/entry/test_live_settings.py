"""Settings that change while an instance runs."""

from __future__ import annotations

import asyncio

import pytest
import test_entry_settings

from turmericlug.entry import live_settings
from turmericlug.entry import settings as settings_module


def begin(tmp_path):
    path = tmp_path / "entry.ini"
    path.write_text(test_entry_settings.render())
    told, lines = [], []
    live = live_settings.LiveSettings(path, settings_module.load(path), told.append)
    return path, live, told, lines


@pytest.mark.parametrize(
    ("changes", "in_force", "at_next_start"),
    [
        pytest.param({}, {}, [], id="nothing"),
        pytest.param({"Bounds.RetrySlack": "20"}, {"extra_slack": 20.0}, [], id="less slack"),
        pytest.param({"Bounds.GraceS": "9"}, {"grace_s": 9.0}, [], id="longer grace period"),
        pytest.param(
            {"Bounds.RetryWindowS": "20", "Bounds.RetryBudgetRatio": "0.1"},
            {"extra_ratio": 0.1},
            ["policy.extra_window_s"],
            id="one of each",
        ),
        pytest.param({"Zone": "dc-2"}, {}, ["entry.data_centre"], id="another data centre"),
    ],
)
def test_what_is_taken_over(tmp_path, monkeypatch, changes, in_force, at_next_start):
    """
    The platform lowers what all instances may send beyond the first, and writes it to the settings
    of each. Instances go on by what they were started with, and together send too much.
    """
    path, live, told, lines = begin(tmp_path)
    monkeypatch.setattr(
        live_settings.decisions, "log", lambda event, **fields: lines.append((event, fields))
    )
    path.write_text(test_entry_settings.render(**changes))
    live.reload()
    expected = {"in_force": in_force, "at_next_start": at_next_start}
    assert lines == [("instance.reloaded", expected)]
    assert {key: getattr(live.policy, key) for key in in_force} == in_force
    assert told == ([live.policy] if in_force else [])


def test_a_wrong_file_changes_nothing(tmp_path, monkeypatch):
    path, live, told, lines = begin(tmp_path)
    monkeypatch.setattr(
        live_settings.decisions, "log", lambda event, **fields: lines.append((event, fields))
    )
    before = live.policy
    path.write_text(test_entry_settings.render(**{"Bounds.GraceS": "soon"}))
    live.reload()
    ((event, fields),) = lines
    assert event == "instance.reload_failed"
    assert len(fields["problems"]) == 1
    assert (live.policy, told) == (before, [])


@pytest.mark.parametrize(
    ("steps", "reloads"),
    [
        pytest.param(["same"], 0, id="not written"),
        pytest.param(["written"], 1, id="written without a signal"),
        pytest.param(["gone", "written"], 1, id="replaced"),
        pytest.param(["written", "same", "written"], 2, id="written twice"),
    ],
)
def test_changes_without_a_signal(tmp_path, monkeypatch, steps, reloads):
    path, live, _, lines = begin(tmp_path)
    monkeypatch.setattr(live_settings.decisions, "log", lambda event, **_: lines.append(event))
    slack = iter(range(60, 90))

    async def step(_):
        if not steps:
            raise asyncio.CancelledError
        if (kind := steps.pop(0)) == "gone":
            path.unlink()
        elif kind == "written":
            # A longer text each time: the file system's clock may not have moved.
            text = test_entry_settings.render(**{"Bounds.RetrySlack": str(next(slack))})
            path.write_text(text + "\n" * (90 - len(steps)))

    monkeypatch.setattr(live_settings.asyncio, "sleep", step)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(live.watch())
    assert lines == ["instance.reloaded"] * reloads
