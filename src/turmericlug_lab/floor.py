"""Latency floor: the latencies that no system can beat with the same service times."""

from __future__ import annotations

import random

import attrs
from hdrh import histogram

_SIMULATED_QUERIES = 20000
MAX_LATENCY_US = 60_000_000


@attrs.frozen
class ServiceTimes:
    """Distribution of a stand-in target's service time: log-normal, with some stragglers."""

    service_ms: float
    sigma: float
    straggler_share: float
    straggler_factor: float


def percentiles_ms(
    service_times: ServiceTimes, shards: int, replicas: int, seed: int
) -> dict[str, float]:
    """
    Return the latency percentiles of simulated queries that never queue.

    Each shard takes its fastest replica's time, and the query takes its slowest shard's.

    :param service_times: the distribution of a service time
    :param shards: shards of a query
    :param replicas: replicas of each shard
    """
    rng = random.Random(seed)
    latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    for _ in range(_SIMULATED_QUERIES):
        slowest_ms = max(
            min(_draw_service_ms(service_times, rng) for _ in range(replicas))
            for _ in range(shards)
        )
        latencies.record_value(max(1, int(slowest_ms * 1000)))
    return report_percentiles_ms(latencies)


def _draw_service_ms(service_times: ServiceTimes, rng: random.Random) -> float:
    service_ms = service_times.service_ms * rng.lognormvariate(0, service_times.sigma)
    if rng.random() < service_times.straggler_share:
        service_ms *= service_times.straggler_factor
    return service_ms


def report_percentiles_ms(latencies: histogram.HdrHistogram) -> dict[str, float]:
    """Return the percentiles that reports show, in milliseconds."""
    return {
        name: round(latencies.get_value_at_percentile(percentile) / 1000, 2)
        for name, percentile in (("p50", 50), ("p95", 95), ("p99", 99), ("p99.9", 99.9))
    }
