"""Settings of an entry instance and the template that they are rendered from."""

from __future__ import annotations

import pathlib
import re

import pytest

from turmericlug.config import ini
from turmericlug.entry import settings as settings_module

TEMPLATE = pathlib.Path(__file__).parents[2] / "deploy" / "entry.ini"
PLATFORM = {
    "NodeName": "front-1",
    "Zone": "dc-1",
    "Region": "r-1",
    "Ip": "10.1.0.9",
    "ListenAddrs.Front": "10.1.0.9:8104",
    "ListenAddrs.Ready": "10.1.0.9:8108",
    "ListenAddrs.directory": "10.1.0.9:8100",
    "InternalPorts.0": "7380",
    "platform.Address": "10.200.1.7:8102",
    "Limits.MaxFds": "4100",
    "Limits.CpuShare": "0.43",
    "Limits.CpuCores": "1.2",
    "Limits.MemoryMb": "200",
    "Limits.LinkMbps": "10",
    "Bounds.RetryBudgetRatio": "0.2",
    "Bounds.RetrySlack": "54",
    "Bounds.RetryWindowS": "10",
    "Bounds.GraceS": "6",
    "Bounds.QuotaWindowS": "5",
    "Bounds.QuotaOverage": "0.1",
    "Bounds.QuotaSlack": "20",
}
ZONES = {"dc-1": "r-1", "dc-2": "r-2"}


def render(**changes):
    """Render the template as the platform does."""
    fields = PLATFORM | changes
    text = TEMPLATE.read_text()
    pairs = ",".join(f"{zone}={region}" for zone, region in ZONES.items())
    text = re.sub(r"\{\{#Zones\}\}.*\{\{/Zones\}\}", pairs, text)
    return re.sub(r"\{\{([A-Za-z0-9.]+)\}\}", lambda found: fields[found[1]], text)


def load(tmp_path, text):
    path = tmp_path / "entry.ini"
    path.write_text(text)
    return settings_module.load(path)


def test_the_template_renders_valid_settings(tmp_path):
    settings = load(tmp_path, render())
    assert settings.entry.callers_address == ("10.1.0.9", 8104)
    assert settings.entry.data_centres == ZONES
    assert settings.source.address == ("10.200.1.7", 8102)
    assert settings.policy == settings_module.Policy(0.2, 54.0, 10.0, 6.0)
    assert settings.limits.descriptors == 4100
    assert settings.capacity == settings_module.Capacity(0.43, 1.2, 200.0, 10.0)
    assert settings.capacity.cores == pytest.approx(0.516)


def test_resources_that_the_platform_does_not_state_are_unknown(tmp_path):
    """Guards against instances that fail to start where the platform leaves a field empty."""
    empty = dict.fromkeys(("CpuShare", "CpuCores", "MemoryMb", "LinkMbps"), "")
    rendered = render(**{f"Limits.{name}": value for name, value in empty.items()})
    assert load(tmp_path, rendered).capacity == settings_module.Capacity()


def test_limits_that_the_platform_does_not_state_are_the_defaults(tmp_path):
    """An empty figure in [policy] or [limits] kept all instances from starting."""
    absent = [name for name in PLATFORM if name.startswith("Bounds.")] + ["Limits.MaxFds"]
    settings = load(tmp_path, render(**dict.fromkeys(absent, "")))
    assert settings.policy == settings_module.Policy()
    assert settings.limits == settings_module.Limits()


@pytest.mark.parametrize(
    "raw", ["1073741816", "9223372036854775807", str(2**64 - 1), "-1", "unlimited"]
)
def test_unlimited_descriptors(tmp_path, raw):
    """A platform that does not limit descriptors states a large number, which ended the start."""
    settings = load(tmp_path, render(**{"Limits.MaxFds": raw}))
    assert settings.limits.descriptors == settings_module.MAX_DESCRIPTORS


def test_a_file_that_is_cut_anywhere_is_not_used(tmp_path):
    """
    A start while the file was being written took what was there for whole: without quotas, or with
    the first digits of the store's port.
    """
    text = render().rstrip()
    load(tmp_path, text)
    for length in range(len(text)):
        with pytest.raises(ini.SettingsError):
            load(tmp_path, text[:length])


def test_a_deployment_without_quotas(tmp_path):
    """The platform renders values that it does not have as nothing; instances must start."""
    absent = {"Bounds.QuotaWindowS": "", "Bounds.QuotaOverage": "", "Bounds.QuotaSlack": ""}
    without_section = re.sub(r"\[quota\].*(?=\[end\])", "", render(), flags=re.DOTALL)
    for text in (render(**absent), without_section):
        assert load(tmp_path, text).quota == settings_module.Quota(0.0, 0.0, 0.0)
    assert load(tmp_path, render()).quota == settings_module.Quota(5.0, 0.1, 20.0)


@pytest.mark.parametrize(
    ("old", "new", "problems"),
    [
        ("name = front-1", "", ["[entry] name: missing"]),
        ("10.1.0.9:8104", "10.1.0.9", ["[entry] callers_address: '10.1.0.9' is not HOST:PORT"]),
        ("grace_s = 6", "grace_s = soon", ["[policy] grace_s: 'soon' is not a number"]),
        ("grace_s = 6", "surplus = 6", ["[policy] surplus: unknown key"]),
        ("memory_mb = 200", "memory_mb = much", ["[capacity] memory_mb: 'much' is not a"]),
        (
            "descriptors = 4100",
            "descriptors = 255",
            ["[limits] descriptors: 255 is outside 256..1"],
        ),
        ("data_centre = dc-1", "data_centre =", ["[entry] data_centre: must not be empty"]),
        ("[policy]", "[polcy]", ["[polcy]: unknown section"]),
        ("dc-1=r-1,dc-2=r-2", "dc-1", ["[entry] data_centres: must list"]),
    ],
)
def test_every_problem_is_reported(tmp_path, old, new, problems):
    text = render().replace(old, new)
    assert new in text
    with pytest.raises(ini.SettingsError) as error:
        load(tmp_path, text)
    for problem in problems:
        assert any(found.startswith(problem) for found in error.value.problems)
