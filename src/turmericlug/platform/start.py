"""Start an entry instance on the platform: settings file, store, HTTP handlers, wire names."""

from __future__ import annotations

import os
import pathlib
import socket

import uvloop

from turmericlug.config import ini
from turmericlug.entry import daemon
from turmericlug.entry import early_signals
from turmericlug.entry import live_settings
from turmericlug.entry import settings as settings_module
from turmericlug.platform import decode
from turmericlug.platform import interfaces
from turmericlug.platform import names
from turmericlug.platform import store
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

SETTINGS_VARIABLE = "TURMERICLUG_NODE_FILE"
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
    decisions.setup("")
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, "entry.ini"))
    version = live_settings.file_version(path)
    try:
        settings = settings_module.load(path)
    except ini.SettingsError as error:
        decisions.log(
            "instance.exiting_with",
            status=EXIT_SETTINGS,
            reason="settings",
            path=str(path),
            problems=error.problems,
        )
        decisions.flush()
        raise SystemExit(EXIT_SETTINGS) from error
    uvloop.install()
    daemon.run(
        live_settings.LiveSettings(path, settings, version),
        ADAPTER,
        early_listener,
        signals or early_signals.Remembered(),
    )
