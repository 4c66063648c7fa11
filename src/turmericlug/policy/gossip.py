"""
Whom an instance tells at once what all should know.

The load pattern: something urgent is seen at one of thousands of instances. Told to all by one it
costs that one thousands of messages; told to a few by each, all know after some journeys.
"""

from __future__ import annotations

import random
import typing
from collections import abc

FEW = 12
"""So many are all told directly."""
FAN_OUT = 6
"""Instances that each one tells where there are more: after four steps 999 in 1,000 know of it."""

_Peer = typing.TypeVar("_Peer")


def recipients(peers: abc.Sequence[_Peer], rng: random.Random) -> abc.Sequence[_Peer]:
    """Return the instances to tell."""
    return rng.sample(peers, FAN_OUT) if must_forward(len(peers)) else peers


def must_forward(peers: int) -> bool:
    """Whether those that are told tell others in turn."""
    return peers > FEW
