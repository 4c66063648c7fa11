"""A query tier over many shards: equal daemons, ordered rules, honest answers."""

from __future__ import annotations

__version__ = "0.1.0"
