"""Reloading of settings while an instance runs."""

from __future__ import annotations

import asyncio

import pytest
import test_entry_settings

from turmericlug.entry import live_settings
from turmericlug.entry import settings as settings_module


def load_live(tmp_path):
    path = tmp_path / "entry.ini"
    path.write_text(test_entry_settings.render())
    notified, logged = [], []
    version = live_settings.file_version(path)
    settings = settings_module.load(path)
    live = live_settings.LiveSettings(path, settings, version, notified.append)
    return path, live, notified, logged


@pytest.mark.parametrize(
    ("changes", "in_force", "at_next_start"),
    [
        pytest.param({}, {}, [], id="no change"),
        pytest.param({"Bounds.RetrySlack": "20"}, {"extra_slack": 20.0}, [], id="smaller slack"),
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
def test_reload_applies_the_reloadable_keys(
    tmp_path, monkeypatch, changes, in_force, at_next_start
):
    """
    The platform lowers the limit on hedges and retries of all instances in their settings files.
    Without a reload, the instances keep the limit they were started with, and together exceed the
    new one.
    """
    path, live, notified, logged = load_live(tmp_path)
    monkeypatch.setattr(
        live_settings.decisions, "log", lambda event, **fields: logged.append((event, fields))
    )
    path.write_text(test_entry_settings.render(**changes))
    live.reload()
    expected = {"in_force": in_force, "at_next_start": at_next_start}
    assert logged == [("instance.reloaded", expected)]
    assert {key: getattr(live.policy, key) for key in in_force} == in_force
    assert notified == ([live.policy] if in_force else [])


def test_a_file_with_errors_changes_nothing(tmp_path, monkeypatch):
    path, live, notified, logged = load_live(tmp_path)
    monkeypatch.setattr(
        live_settings.decisions, "log", lambda event, **fields: logged.append((event, fields))
    )
    before = live.policy
    path.write_text(test_entry_settings.render(**{"Bounds.GraceS": "soon"}))
    live.reload()
    ((event, fields),) = logged
    assert event == "instance.reload_failed"
    assert len(fields["problems"]) == 1
    assert (live.policy, notified) == (before, [])


def test_a_change_between_the_load_and_the_handler_is_detected(tmp_path, monkeypatch):
    """The file's version was taken after the load, so that a change meanwhile was never read."""
    path = tmp_path / "entry.ini"
    path.write_text(test_entry_settings.render())
    version = live_settings.file_version(path)
    settings = settings_module.load(path)
    path.write_text(test_entry_settings.render(**{"Bounds.RetrySlack": "2000"}))
    live = live_settings.LiveSettings(path, settings, version)
    pauses = iter([None])

    async def pause_once(_):
        if next(pauses, "none left") is not None:
            raise asyncio.CancelledError

    monkeypatch.setattr(live_settings.asyncio, "sleep", pause_once)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(live.watch())
    assert live.policy.extra_slack == 2000.0


@pytest.mark.parametrize(
    ("steps", "reloads"),
    [
        pytest.param(["same"], 0, id="unchanged"),
        pytest.param(["written"], 1, id="written without a signal"),
        pytest.param(["missing", "written"], 1, id="replaced"),
        pytest.param(["written", "same", "written"], 2, id="written twice"),
    ],
)
def test_changes_are_detected_without_a_signal(tmp_path, monkeypatch, steps, reloads):
    path, live, _, logged = load_live(tmp_path)
    monkeypatch.setattr(live_settings.decisions, "log", lambda event, **_: logged.append(event))
    slacks = iter(range(60, 90))

    async def next_step(_):
        if not steps:
            raise asyncio.CancelledError
        if (kind := steps.pop(0)) == "missing":
            path.unlink()
        elif kind == "written":
            # The text gets longer each time, since the modification time may stay the same.
            text = test_entry_settings.render(**{"Bounds.RetrySlack": str(next(slacks))})
            path.write_text(text + "\n" * (90 - len(steps)))

    monkeypatch.setattr(live_settings.asyncio, "sleep", next_step)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(live.watch())
    assert logged == ["instance.reloaded"] * reloads
