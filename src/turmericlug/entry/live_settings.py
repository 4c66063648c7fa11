"""Settings that may change while an instance runs."""

from __future__ import annotations

import asyncio
import pathlib
from collections import abc

import attrs

from turmericlug.config import ini
from turmericlug.entry import settings as settings_module
from turmericlug.telemetry import decisions

IN_FORCE_AT_ONCE = ("extra_ratio", "extra_slack", "quarantine", "grace_s")
"""Keys of ``[policy]`` that are asked for anew at each use. Addresses and the length of the window
decide what has been opened and counted already; they take effect at the next start."""
LOOK_EVERY_S = 1.0
"""The file may change without a signal. One question to the file system a second costs some tens
of microseconds."""

Version = tuple[int, int]
"""When a file was written (ns) and its size: both, since clocks jump."""


class LiveSettings:
    """The settings in force; what changes in the file is taken over as far as it can be."""

    def __init__(
        self,
        path: pathlib.Path,
        settings: settings_module.Settings,
        on_policy: abc.Callable[[settings_module.Policy], None] = lambda policy: None,
    ) -> None:
        """
        Begin with the settings that the instance was started with.

        :param on_policy: told the policy each time it has changed
        """
        self.policy = settings.policy
        self.on_policy = on_policy
        self._path = path
        self._started_with = settings
        self._version = _version(path)

    def reload(self) -> None:
        """Read the file anew; one that is wrong changes nothing."""
        self._version = _version(self._path)
        try:
            found = settings_module.load(self._path)
        except ini.SettingsError as error:
            decisions.log("instance.reload_failed", problems=error.problems)
            return
        applied = {key: getattr(found.policy, key) for key in IN_FORCE_AT_ONCE}
        before = self.policy
        self.policy = attrs.evolve(before, **applied)
        if self.policy != before:
            self.on_policy(self.policy)
        decisions.log(
            "instance.reloaded",
            in_force={
                key: value for key, value in applied.items() if value != getattr(before, key)
            },
            at_next_start=self._waiting(found),
        )

    def _waiting(self, found: settings_module.Settings) -> list[str]:
        """Name what differs from the settings of the start and is not taken over."""
        running = attrs.evolve(self._started_with, policy=self.policy)
        return [
            f"{section}.{key}"
            for section, kind in settings_module.SECTIONS.items()
            for key in attrs.fields_dict(kind)
            if getattr(getattr(found, section), key) != getattr(getattr(running, section), key)
        ]

    async def watch(self) -> None:
        """Reload whenever the file has changed, for ever."""
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            version = _version(self._path)
            if version is not None and version != self._version:
                self.reload()


def _version(path: pathlib.Path) -> Version | None:
    """Return the version of a file, ``None`` while there is none (it is being replaced)."""
    try:
        found = path.stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size
