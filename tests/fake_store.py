"""The store's fake: compare-and-swap in memory, with outages, lost and late answers."""

from __future__ import annotations

from turmericlug.storage import eras as eras_module
from turmericlug.storage import store as store_module


class FakeStore:
    """Answers like ``store.Store``; the next swaps follow ``plan``."""

    def __init__(self):
        self.values = {}
        self.revision = 0
        self.down = False
        self.plan = []
        """For each coming swap: ``ok``, ``lost`` (applied, no answer), ``late`` (applied only
        when ``deliver`` is called), ``dropped`` (never applied)."""
        self.delayed = []
        self.swaps = 0
        self.copies = []
        """The state before each write, the newest last."""
        self.era = 1
        self.eras = eras_module.Eras()

    async def read(self, key):
        if self.down:
            raise store_module.StoreError("unreachable")
        return self.values.get(key, store_module.Value(key, "", 0))

    async def read_prefix(self, prefix):
        if self.down:
            raise store_module.StoreError("unreachable")
        self.eras.observe(self.era)
        return [self.values[key] for key in sorted(self.values) if key.startswith(prefix)]

    async def swap(self, expected, puts):
        if self.down:
            raise store_module.StoreError("unreachable")
        self.swaps += 1
        self.eras.observe(self.era)
        fate = self.plan.pop(0) if self.plan else "ok"
        if fate == "late":
            self.delayed.append((expected, puts))
        if fate in ("late", "dropped"):
            raise store_module.StoreError("timeout")
        revision = self._apply(expected, puts)
        if fate == "lost":
            raise store_module.StoreError("timeout")
        return revision

    def _apply(self, expected, puts):
        for value in expected:
            if self.values.get(value.key, store_module.Value(value.key, "", 0)) != value:
                return 0
        self.copies.append((self.revision, dict(self.values)))
        self.revision += 1
        for key, text in puts.items():
            self.values[key] = store_module.Value(key, text, self.revision)
        return self.revision

    def restore_backup(self, writes):
        """Lose the latest writes; their revisions are given out again."""
        for _ in range(min(writes, len(self.copies))):
            self.revision, self.values = self.copies.pop()
        self.era += 1

    def deliver(self):
        """Let the late writes arrive."""
        for expected, puts in self.delayed:
            self._apply(expected, puts)
        self.delayed.clear()

    async def delete(self, key):
        if self.down:
            raise store_module.StoreError("unreachable")
        self.values.pop(key, None)
