"""The sample settings and catalogues of both users, changed only in ports, URLs and a lifetime."""

from __future__ import annotations

import configparser
import json
import pathlib
import signal

import pytest

from turmericlug_lab import fleet_spec

SAMPLES = pathlib.Path(__file__).parents[2] / "samples"


@pytest.mark.parametrize("name", ["pluvia", "regie"])
def test_sample_starts(run_scenario, tmp_path, name):
    """A daemon starts with the sample settings, accepts the sample catalogue, and stops."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(SAMPLES / f"{name}.ini")
    catalog = json.loads((SAMPLES / f"{name}-catalog.json").read_text())

    async def scenario(fleet):
        url = f"http://127.0.0.1:{fleet.platform_port}"
        parser["platform"].update(store_url=url, instances_url=url)
        ports = fleet_spec.reserve_ports(3)
        keys = ("callers_port", "peers_port", "operators_port")
        parser["instance"].update(zip(keys, map(str, ports), strict=True))
        parser["policy"]["address_lifetime_ms"] = "100"
        path = tmp_path / "sample.ini"
        with path.open("w") as stream:
            parser.write(stream)
        fleet.launch("sample", "daemon", str(path))
        base = f"http://127.0.0.1:{ports[0]}"
        await fleet.wait_responding(f"{base}/v1/ready")
        token = parser["instance"]["operators_token"]
        async with fleet.http.put(
            f"http://127.0.0.1:{ports[2]}/v1/catalog",
            json=catalog,
            headers={"Authorization": f"Bearer {token}"},
        ) as response:
            assert (await response.json())["outcome"] == "accepted"
        group = next(iter(catalog["groups"]))
        body = {"service": group, "caller": "tests", "deadline_ms": 300}
        async with fleet.http.post(f"{base}/v1/query", json=body) as response:
            answer = await response.json()
        assert (answer["outcome"], answer.get("ran")) == ("refused", "no"), answer
        fleet.signal("sample", signal.SIGTERM)
        assert await fleet.wait_exit("sample") == 0

    run_scenario(scenario, daemons=0, services=(), groups={})


def test_sizes_are_the_brief_s():
    """The sample catalogues have the required numbers of services and shards."""
    group_sizes = {}
    for name in ("pluvia", "regie"):
        catalog = json.loads((SAMPLES / f"{name}-catalog.json").read_text())
        group_sizes[name] = sorted(len(shards) for shards in catalog["groups"].values())
        assert len(catalog["services"]) == 52
    assert group_sizes == {"pluvia": [20, 30], "regie": [20, 30]}
