"""
Load shedding while all shards are short of capacity: pure functions and state, no input or output.

The load pattern: the capacity of all shards falls to a third for eight seconds while traffic
trebles and one organisation sends six times its usual load. Each query sends a part to every shard,
and a few rejected parts spoil it, so that shards which reject parts at random spoil nearly all
queries, and retries and hedges double the load. It is better to decide before the first part is
sent which queries can be whole, and to refuse the others at once.

The algorithm is DAGOR (overload control of WeChat's microservices): all instances order queries by
rank and then by a hash of the request's identifier, and admit those below a level. Within a rank,
queries of an organisation beyond its usual load go last, since one organisation must delay only its
own. The level is learned by AIMD (additive increase, multiplicative decrease) from the parts that
an instance sends, and travels to other instances with the answers to their batches.

A replica rejects parts only when its queue is full, and by then its parts miss the goal. A part
that took most of its query's goal therefore counts as congested, like a rejected one. As in CoDel,
a shard is congested only if no recent part of some kind of query was served well there, and the
level falls only if most shards are: pauses, some slow replicas, or a shard without replicas must
not lower it, since queries are answered without a few shards.
"""

from __future__ import annotations

import collections
import math
import random
import zlib

import attrs

WINDOW_S = 0.4
"""Age up to which a part counts. A pause of a replica (250 ms) is shorter."""
EVALUATION_INTERVAL_S = 0.05
"""Interval of evaluations; a busy instance sends parts every few milliseconds."""
MIN_SHARDS = 8
"""Shards with recent parts that a decrease needs. If 15 in 100 replicas are slow, most of as many
shards are congested by chance in fewer than one of a thousand windows."""
MIN_QUERIES = 2
"""Queries with late or rejected parts that a decrease needs: a single one may be expensive."""
CONGESTED_SHARE = 0.6
"""Share of the shards that must be congested for a decrease: more than slow replicas and pauses
cause, less than an overload of all shards."""
LATE_GOAL_SHARE = 0.7
"""Share of the goal after which a part counts as late. The slowest of all parts takes about twice
as long as a usual one, so that the query is late soon after."""
MAX_DECREASE = 0.35
"""Decrease if all shards are congested. The queues of replicas hold several goals' worth of work,
which must drain before any query is in time again."""
REACTION_S = 0.1
"""Time until a decrease shows in the parts: other instances must learn of it first. Parts sent
earlier don't count, as they would lower the level again for the same queues."""
HOLD_S = 0.3
"""Time after a decrease without an increase, until its effect is known."""
INCREASE_PER_S = 0.5
"""Increase while parts are as fast as usual: from the minimum to full service in less than two
seconds."""
SLOW_INCREASE_PER_S = 0.1
"""Increase while parts are slow, but not late: the shortage lasts on, and faster growth would fill
the queues of replicas again every second."""
NORMAL_SLOWDOWN = 1.5
"""Multiple of the usual duration up to which parts are as fast as usual. Where the capacity falls
to a third, they take about three times as long."""
USUAL_WEIGHT = 0.01
SLOWDOWN_WEIGHT = 0.05
"""Weights of a part's duration: about the last hundred count for the usual duration, the last
twenty, half a second's parts, for the slowdown."""
MIN_LEVEL = 0.2
"""Lowest level: a false one refuses no more than four in five queries."""
MAX_AGE_S = 1.0
"""Age up to which the level of another instance holds; then it rises by itself."""
COUNT_INTERVAL_S = 1.0
"""Window in which a fifth of the received queries are admitted whatever the level."""
MIX_HALF_LIFE_S = 2.0
"""Half-life of the recent counts of queries by rank and organisation. The level makes up for the
error while the mix changes."""
USUAL_MIX_HALF_LIFE_S = 120.0
"""Half-life of the usual counts: a surge of some seconds hardly changes them."""
MIN_USUAL = 1.0
"""Smallest usual count: an organisation with one query in a minute has no excess when it sends
one."""
DECAY_INTERVAL_S = 1.0
MIN_COUNT = 0.01
"""Counts below this are dropped."""
RETRY_LEFT_SHARE = 0.88
"""Share of the usual time below which the remaining time shows that the caller retries after a
refusal: the shortest delay of a refusal is a sixth of the remaining time."""
RETRY_FACTOR = 0.25
"""Factor on a retry's place among queries of its rank, so that few queries are refused twice. It is
not zero, as retries alone can exceed the capacity."""
RETRY_AFTER_SHARES = (0.5, 0.95)
"""Range of the delay until a retry, as a share of the longest. Callers retry only if the delay is
at most a third of their remaining time; after a short delay they meet the same overload."""
MAX_RETRY_AFTER_SHARE = 1 / 3
_HASH_RANGE = 1 << 32
_HASH_MULTIPLIER = 2654435761
"""Knuth's multiplicative hashing: CRCs of identifiers that differ in a few characters are close."""


@attrs.frozen
class Admitted:
    """A request may be sent."""


@attrs.frozen
class Refused:
    """A request is refused before any part of it is sent."""

    reason: str
    retry_after_s: float | None
    """Delay until the caller should retry; ``None`` if no retry can be in time."""


Decision = Admitted | Refused
ADMITTED = Admitted()


def retry_after_s(left_s: float, rng: random.Random) -> float:
    """
    Draw the delay until a refused caller should retry.

    The draw spreads callers that are refused together over the time in which they may retry.
    """
    low, high = RETRY_AFTER_SHARES
    return max(left_s, 0.0) * MAX_RETRY_AFTER_SHARE * rng.uniform(low, high)


def hash_of(request_id: bytes) -> float:
    """Return a hash of a request's identifier, from 0 to 1 and equal on all instances."""
    return (zlib.crc32(request_id) * _HASH_MULTIPLIER % _HASH_RANGE) / _HASH_RANGE


@attrs.frozen
class Part:
    """A part of a query that was sent to a replica."""

    shard: str
    kind: str
    """Kind of the query: parts of a kind with a long goal don't show that another's are late."""
    request_id: bytes
    sent_s: float


class CongestionLevel:
    """The share of queries that the shards can serve, learned by AIMD from their parts."""

    def __init__(self, now_s: float) -> None:
        self._level = 1.0
        self._updated_s = now_s
        self._decreased_s = float("-inf")
        self._good_s: dict[tuple[str, str], float] = {}
        """When a part of each shard and kind was last served well."""
        self._bad_s: dict[tuple[str, str], float] = {}
        """When a part of each shard and kind was last rejected or late."""
        self._bad_queries_s: dict[bytes, float] = {}
        """When a part of each query was last rejected or late."""
        self._usual_log_s: dict[str, float] = {}
        """Logarithm of the usual duration of a part, by kind."""
        self._slowdown = 1.0
        """Moving average of the durations of parts, as multiples of the usual ones."""

    def record_part(self, part: Part, is_congested: bool, now_s: float) -> None:
        """Record a part of a query that was served well, or was rejected or late."""
        if part.sent_s >= self._decreased_s + REACTION_S:
            if is_congested:
                self._bad_s[part.shard, part.kind] = now_s
                self._bad_queries_s[part.request_id] = now_s
            else:
                self._good_s[part.shard, part.kind] = now_s
        if now_s - self._updated_s >= EVALUATION_INTERVAL_S:
            self.update(now_s)

    def record_duration(self, kind: str, duration_s: float) -> None:
        """Record the duration of a part that was answered."""
        log_s = math.log(max(duration_s, 1e-4))
        usual = self._usual_log_s.setdefault(kind, log_s)
        if self._level >= 1.0:
            self._usual_log_s[kind] = usual + USUAL_WEIGHT * (log_s - usual)
        self._slowdown += SLOWDOWN_WEIGHT * (math.exp(log_s - usual) - self._slowdown)

    def update(self, now_s: float) -> float:
        """Return the level, after it was raised or lowered for the time since the last update."""
        passed_s, self._updated_s = now_s - self._updated_s, now_s
        share = self._congested_share(now_s)
        if share >= CONGESTED_SHARE:
            self._decreased_s = now_s
            self._level = max(self._level * (1 - MAX_DECREASE * share), MIN_LEVEL)
            self._good_s.clear()
            self._bad_s.clear()
            self._bad_queries_s.clear()
        elif now_s >= self._decreased_s + HOLD_S:
            fast = self._slowdown < NORMAL_SLOWDOWN
            increase_per_s = INCREASE_PER_S if fast else SLOW_INCREASE_PER_S
            self._level = min(self._level + increase_per_s * passed_s, 1.0)
        return self._level

    def _congested_share(self, now_s: float) -> float:
        since_s = now_s - WINDOW_S
        for times_s in (self._good_s, self._bad_s, self._bad_queries_s):
            for name in [name for name, at_s in times_s.items() if at_s < since_s]:
                del times_s[name]
        heard = {shard for shard, _ in self._good_s.keys() | self._bad_s.keys()}
        if len(heard) < MIN_SHARDS or len(self._bad_queries_s) < MIN_QUERIES:
            return 0.0
        congested = {shard for shard, _ in self._bad_s.keys() - self._good_s.keys()}
        return len(congested) / len(heard)


class PeerLevels:
    """The levels that other instances have sent, with their age."""

    def __init__(self) -> None:
        self._levels: dict[str, tuple[float, float]] = {}

    def record(self, peer: str, level: float, now_s: float) -> None:
        """Record the level that came with an answer of another instance."""
        self._levels[peer] = (level, now_s)

    def lowest(self, now_s: float) -> float:
        """Return the lowest level; one that is too old rises by itself and is then forgotten."""
        lowest = 1.0
        for peer, (level, at_s) in list(self._levels.items()):
            age_s = now_s - at_s
            current = level + INCREASE_PER_S * max(age_s - MAX_AGE_S, 0.0)
            if current >= 1.0 and age_s > MAX_AGE_S:
                del self._levels[peer]
            lowest = min(lowest, current)
        return lowest


class _DecayingCounts:
    """Counts of queries by rank and organisation that halve in a given time."""

    def __init__(self, half_life_s: float, now_s: float) -> None:
        self.counts: dict[tuple[int, str], float] = {}
        self._half_life_s = half_life_s
        self._began_s = self._decayed_s = now_s

    def add(self, key: tuple[int, str], now_s: float) -> None:
        """Count a query."""
        passed_s = now_s - self._decayed_s
        if passed_s > DECAY_INTERVAL_S:
            factor = 0.5 ** (passed_s / self._half_life_s)
            self.counts = {
                known: count * factor
                for known, count in self.counts.items()
                if count * factor > MIN_COUNT
            }
            self._decayed_s = now_s
        self.counts[key] = self.counts.get(key, 0.0) + 1.0

    def window_s(self, now_s: float) -> float:
        """Return the time for which a steady rate gives the current counts."""
        age_s = max(now_s - self._began_s, DECAY_INTERVAL_S)
        return self._half_life_s / math.log(2) * (1 - 0.5 ** (age_s / self._half_life_s))


class QueryOrder:
    """The place of queries in the order by rank, excess and hash, given the mix of queries."""

    def __init__(self, now_s: float) -> None:
        self._recent = _DecayingCounts(MIX_HALF_LIFE_S, now_s)
        self._usual = _DecayingCounts(USUAL_MIX_HALF_LIFE_S, now_s)

    def record(self, rank: int, organisation: str, now_s: float) -> None:
        """Count a query in the mix."""
        self._recent.add((rank, organisation), now_s)
        self._usual.add((rank, organisation), now_s)

    def place(
        self, rank: int, organisation: str, request_id: bytes, is_retry: bool, now_s: float
    ) -> float:
        """
        Return the share of queries that go before this one, from 0 to 1.

        Within a rank, each organisation's queries are spread from 0 to its excess, which is 1 up to
        its usual load, so that what exceeds that goes last.
        """
        hashed = hash_of(request_id) * (RETRY_FACTOR if is_retry else 1.0)
        counts = self._recent.counts
        total = sum(counts.values())
        if not total:
            return hashed
        position = hashed * self._excess((rank, organisation), now_s)
        before = sum(count for (other, _), count in counts.items() if other < rank)
        before += sum(
            count * min(position / self._excess(key, now_s), 1.0)
            for key, count in counts.items()
            if key[0] == rank
        )
        return before / total

    def _excess(self, key: tuple[int, str], now_s: float) -> float:
        """Return an organisation's recent load as a multiple of its usual one, at least 1."""
        scale = self._recent.window_s(now_s) / self._usual.window_s(now_s)
        usual = max(self._usual.counts.get(key, 0.0) * scale, MIN_USUAL)
        return max(self._recent.counts.get(key, 0.0) / usual, 1.0)


class Shedding:
    """Decides which queries an instance refuses while the shards are overloaded."""

    def __init__(self, now_s: float) -> None:
        self.congestion = CongestionLevel(now_s)
        self.peers = PeerLevels()
        self.order = QueryOrder(now_s)
        self._recent: collections.deque[tuple[float, bool]] = collections.deque()
        """The queries of the last second, with whether each was admitted."""

    def level(self, now_s: float) -> float:
        """Return the level in force: the lowest of this instance's own and its peers'."""
        return min(self.congestion.update(now_s), self.peers.lowest(now_s))

    def admits(
        self, rank: int, organisation: str, request_id: bytes, is_retry: bool, now_s: float
    ) -> bool:
        """Decide whether a query is admitted, and count it."""
        self.order.record(rank, organisation, now_s)
        level = max(self.level(now_s), MIN_LEVEL)
        admitted = (
            level >= 1.0
            or self.order.place(rank, organisation, request_id, is_retry, now_s) < level
            or self._is_below_minimum(now_s)
        )
        self._recent.append((now_s, admitted))
        return admitted

    def _is_below_minimum(self, now_s: float) -> bool:
        """Whether too few of the last second's queries would be admitted without the next one."""
        while self._recent and self._recent[0][0] < now_s - COUNT_INTERVAL_S:
            self._recent.popleft()
        admitted = sum(admitted for _, admitted in self._recent)
        return admitted + 1 <= MIN_LEVEL * (len(self._recent) + 1)
