"""A query tier over many shards: identical daemons, ordered rules, missing shards reported."""

from __future__ import annotations

__version__ = "0.1.0"
