from __future__ import annotations

import pathlib
import re

import attrs
import pytest

from turmericlug.config import settings

ROOT = pathlib.Path(__file__).parents[2]
MINIMAL = """
[instance]
name = e1
data_centre = montreal
region = quebec
callers_port = 7001
peers_port = 7002
operators_port = 7003
cluster_key = a-key-of-sixteen-characters
operators_token = a-token-of-sixteen-characters
[platform]
store_url = http://127.0.0.1:2379
instances_url = http://127.0.0.1:8500/
"""


def load(tmp_path, text):
    path = tmp_path / "x.ini"
    path.write_text(text)
    return settings.load(path)


def test_minimal_settings(tmp_path):
    loaded = load(tmp_path, MINIMAL)
    assert loaded.instance.callers_port == 7001
    assert loaded.platform.instances_url == "http://127.0.0.1:8500"
    assert loaded.policy.hedge_budget == 0.05


@pytest.mark.parametrize(
    ("old", "new", "problems"),
    [
        ("name = e1", "", ["[instance] name: missing"]),
        ("name = e1", "nam = e1", ["[instance] nam: unknown key", "[instance] name: missing"]),
        ("7001", "70001", ["[instance] callers_port: 70001 is outside 1..65535"]),
        ("7001", "x", ["[instance] callers_port: 'x' is not an integer"]),
        ("7001", "7002", ["callers_port, peers_port and operators_port must differ"]),
        ("a-key-of-sixteen-characters", "short", ["cluster_key: must have at least 16"]),
        ("http://127.0.0.1:2379", "127.0.0.1", ["store_url: '127.0.0.1' is not an http"]),
        ("[platform]", "[policy]\nhedge_budget = 2\n[platform]", ["hedge_budget: 2.0 is outside"]),
        ("[platform]", "[rules]\n[platform]", ["[rules]: unknown section"]),
        ("[platform]", "nonsense", ["contains parsing errors"]),
        (
            "[platform]",
            "[limits]\ndefault_deadline_ms = 900\nmax_deadline_ms = 800\n[platform]",
            ["default_deadline_ms: must not be above max_deadline_ms"],
        ),
    ],
)
def test_every_problem_is_reported(tmp_path, old, new, problems):
    with pytest.raises(settings.SettingsError) as caught:
        load(tmp_path, MINIMAL.replace(old, new, 1))
    for problem in problems:
        assert any(problem in reported for reported in caught.value.problems), caught.value.problems


def test_missing_file_is_rejected(tmp_path):
    with pytest.raises(settings.SettingsError):
        settings.load(tmp_path / "none.ini")


@pytest.mark.parametrize("name", ["pluvia", "regie"])
def test_samples_are_valid(name):
    loaded = settings.load(ROOT / "samples" / f"{name}.ini")
    assert loaded.instance.name


def test_reference_lists_every_key():
    text = (ROOT / "docs" / "reference-settings.md").read_text()
    listed = set(re.findall(r"^\| `([a-z_]+)` \| `([a-z_]+)` \|", text, re.MULTILINE))
    wanted = {
        (section, field.name)
        for section, cls in settings.SECTIONS.items()
        for field in attrs.fields(cls)
    }
    assert listed == wanted
