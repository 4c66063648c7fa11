"""Start an entry instance on the platform: settings file, store, HTTP handlers, wire names."""

from __future__ import annotations

import os
import pathlib
import socket
import typing

import uvloop

from turmericlug.config import ini
from turmericlug.config import waiting
from turmericlug.entry import daemon
from turmericlug.entry import live_settings
from turmericlug.entry import settings as settings_module
from turmericlug.kernel import early_signals
from turmericlug.platform import decode
from turmericlug.platform import interfaces
from turmericlug.platform import names
from turmericlug.platform import store
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

SETTINGS_VARIABLE = "TURMERICLUG_NODE_FILE"
EXIT_STOPPED = 0
EXIT_SETTINGS = 2


def _make_source(
    settings: settings_module.Source, counters: counters_module.Counters
) -> store.Store:
    return store.Store(*settings.address, counters)


ADAPTER = daemon.Adapter(
    names=names.HEADERS,
    source=_make_source,
    resolve_handler=interfaces.resolve_handler,
    decode_change=decode.decode_change,
    ready_handler=interfaces.ready_handler,
)


def run(
    early_listener: socket.socket | None = None,
    signals: early_signals.Remembered | None = None,
) -> None:
    """
    Run an entry instance with the settings file that ``SETTINGS_VARIABLE`` names.

    :param early_listener: socket that is already listening for callers
    :param signals: signals that have arrived while the program was loaded
    """
    signals = signals or early_signals.Remembered()
    decisions.setup("")
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, "entry.ini"))
    live = _load_settings(path, signals)
    uvloop.install()
    daemon.run(live, ADAPTER, early_listener, signals)


def _load_settings(
    path: pathlib.Path, signals: early_signals.Remembered
) -> live_settings.LiveSettings:
    """Load the settings, or exit if the file stays unusable."""

    def load() -> live_settings.LiveSettings:
        version = live_settings.file_version(path)
        return live_settings.LiveSettings(path, settings_module.load(path), version)

    def on_problems(problems: list[str]) -> None:
        decisions.log("settings.not_usable", path=str(path), problems=problems)

    try:
        return waiting.until_usable(load, signals, on_problems)
    except waiting.StoppedError as error:
        _exit(EXIT_STOPPED, "stopped while the settings could not be used", error.problems)
    except ini.SettingsError as error:
        _exit(EXIT_SETTINGS, "settings", error.problems)


def _exit(status: int, reason: str, problems: list[str]) -> typing.NoReturn:
    decisions.log("instance.exiting_with", status=status, reason=reason, problems=problems)
    decisions.flush()
    raise SystemExit(status)
