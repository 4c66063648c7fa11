"""Reloading of settings while an instance runs."""

from __future__ import annotations

import asyncio
import pathlib
from collections import abc

import attrs

from turmericlug.config import ini
from turmericlug.entry import settings as settings_module
from turmericlug.telemetry import decisions

RELOADABLE_KEYS = ("extra_ratio", "extra_slack", "quarantine", "grace_s", "overload_control")
"""Keys of ``[policy]`` that take effect on a reload, since they are read at each use. Addresses and
the length of the window determine sockets and counts that already exist, and take effect at the
next start."""
POLL_INTERVAL_S = 1.0
"""The file may change without a signal, so it is polled; one ``stat`` call a second costs some tens
of microseconds."""

FileVersion = tuple[int, int]
"""Modification time (ns) and size of a file; the size is included because clocks may jump."""


class LiveSettings:
    """The settings in force; reloads apply changes of the file to the keys that allow it."""

    def __init__(
        self,
        path: pathlib.Path,
        settings: settings_module.Settings,
        version: FileVersion | None,
        on_policy: abc.Callable[[settings_module.Policy], None] = lambda policy: None,
    ) -> None:
        """
        Initialise with the settings that the instance was started with.

        :param version: version of the file before the settings were read from it, so that a change
            since then is found
        :param on_policy: called with the policy each time it has changed
        """
        self.policy = settings.policy
        self.on_policy = on_policy
        self._path = path
        self.initial = settings
        self._version = version

    def reload(self) -> None:
        """Reload the file; a file with errors leaves the settings unchanged."""
        self._version = file_version(self._path)
        try:
            loaded = settings_module.load(self._path)
        except ini.SettingsError as error:
            decisions.log("instance.reload_failed", problems=error.problems)
            return
        applied = {key: getattr(loaded.policy, key) for key in RELOADABLE_KEYS}
        previous = self.policy
        self.policy = attrs.evolve(previous, **applied)
        if self.policy != previous:
            self.on_policy(self.policy)
        decisions.log(
            "instance.reloaded",
            in_force={
                key: value for key, value in applied.items() if value != getattr(previous, key)
            },
            at_next_start=self._pending_restart(loaded),
        )

    def _pending_restart(self, loaded: settings_module.Settings) -> list[str]:
        """Return the changed settings that only take effect at the next start."""
        running = attrs.evolve(self.initial, policy=self.policy)
        return [
            f"{section}.{key}"
            for section, kind in settings_module.SECTIONS.items()
            for key in attrs.fields_dict(kind)
            if getattr(getattr(loaded, section), key) != getattr(getattr(running, section), key)
        ]

    async def watch(self) -> None:
        """Poll the file until cancelled, and reload it whenever it has changed."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            version = file_version(self._path)
            if version is not None and version != self._version:
                self.reload()


def file_version(path: pathlib.Path) -> FileVersion | None:
    """Return the version of a file, ``None`` while it is missing because it is being replaced."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size
