"""The floor: what no system could beat with the same service times."""

from __future__ import annotations

import random

import attrs
from hdrh import histogram

_QUERIES = 20000
HIGHEST_US = 60_000_000


@attrs.frozen
class Times:
    """How the stand-in targets draw a service time."""

    service_ms: float
    spread: float
    straggler_share: float
    straggler_factor: float


def percentiles_ms(times: Times, shards: int, replicas: int, seed: int) -> dict[str, float]:
    """
    Draw queries without any queueing, with the best replica of each shard, and the slowest shard.

    :param times: the distribution of a service time
    :param shards: shards of a query
    :param replicas: replicas of each shard; the best of them counts
    """
    rng = random.Random(seed)
    found = histogram.HdrHistogram(1, HIGHEST_US, 3)
    for _ in range(_QUERIES):
        slowest_ms = max(min(_draw_ms(times, rng) for _ in range(replicas)) for _ in range(shards))
        found.record_value(max(1, int(slowest_ms * 1000)))
    return read_ms(found)


def _draw_ms(times: Times, rng: random.Random) -> float:
    service_ms = times.service_ms * rng.lognormvariate(0, times.spread)
    if rng.random() < times.straggler_share:
        service_ms *= times.straggler_factor
    return service_ms


def read_ms(found: histogram.HdrHistogram) -> dict[str, float]:
    """Read the percentiles that reports show."""
    return {
        name: round(found.get_value_at_percentile(percentile) / 1000, 2)
        for name, percentile in (("p50", 50), ("p95", 95), ("p99", 99), ("p99.9", 99.9))
    }
