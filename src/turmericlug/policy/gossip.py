"""
Choice of the instances that receive an urgent update at once.

The load pattern: one of thousands of instances observes something urgent. If it alone sent it to
all others, it would have to send thousands of messages. If each instance forwards it to a few
others, it reaches all of them within a few hops.
"""

from __future__ import annotations

import random
import typing
from collections import abc

MAX_DIRECT = 12
"""Largest number of peers that are all sent the update directly."""
FANOUT = 6
"""Peers to which each instance sends an update if there are more: after four hops it has reached
999 in 1,000 instances."""

_Peer = typing.TypeVar("_Peer")


def recipients(peers: abc.Sequence[_Peer], rng: random.Random) -> abc.Sequence[_Peer]:
    """Return the peers that are sent an update."""
    return rng.sample(peers, FANOUT) if must_forward(len(peers)) else peers


def must_forward(peer_count: int) -> bool:
    """Whether recipients must forward an update, given the number of peers."""
    return peer_count > MAX_DIRECT
