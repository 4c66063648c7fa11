"""
Quotas of organisations: for how long instances refuse an organisation's requests without asking.

The load pattern: an organisation sends many times its quota to all instances. Each refused request
that asks the holder first costs it a message.
"""

from __future__ import annotations

from turmericlug.policy import quota

ASKS_PER_TOKEN = 2.0
MIN_ASKS_PER_S = 25.0
"""Aimed-at rate of requests for tokens while an organisation is limited, as a multiple of the rate
of tokens. All tokens are then used; each request for one costs the holder some 0.2 ms, so that the
minimum takes a hundredth of a core. Below it, only the holder refuses, in the order of arrival."""
STEP = 1.1
MIN_S = 0.02
MAX_S = 2.0
"""The time for which instances refuse grows or shrinks by this factor with each request for tokens
that is refused, from less than a round trip on. A raised limit and refunds take effect after it."""
ASK_WINDOW_S = 0.5
"""Window of the rate of requests for tokens."""


class Spread:
    """How far requests for tokens are spread in time."""

    def __init__(self) -> None:
        self._spread_s = MIN_S
        self._asks = quota.DecayingRate(ASK_WINDOW_S)

    def add_ask(self, now_s: float) -> None:
        """Count a request for tokens."""
        self._asks.add(now_s)

    def refuse_s(
        self, refill_per_s: float, until_token_s: float, longest_s: float, now_s: float
    ) -> float:
        """
        Return how long an instance refuses that has got too few tokens.

        :param until_token_s: time until there is a token, which is waited for at least
        :param longest_s: the longest time by which requests are spread
        """
        aim_per_s = max(ASKS_PER_TOKEN * refill_per_s, MIN_ASKS_PER_S)
        step = STEP if self._asks.get(now_s) > aim_per_s else 1 / STEP
        self._spread_s = min(max(self._spread_s * step, MIN_S), MAX_S)
        return min(max(until_token_s, min(self._spread_s, longest_s)), MAX_S)
