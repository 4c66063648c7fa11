"""The command line of ``turmericlugd``."""

from __future__ import annotations

import gc
import pathlib
import typing

import aiomisc
import typer

from turmericlug import instance
from turmericlug.config import settings as settings_module
from turmericlug.config import version as version_module
from turmericlug.config import waiting
from turmericlug.kernel import early_signals
from turmericlug.telemetry import events

EXIT_STOPPED = 0
EXIT_SETTINGS = 2
EXIT_RUNTIME = 3
_GC_THRESHOLDS = (20_000, 20, 50)


def _tune_garbage_collector() -> None:
    """
    Exclude objects that live as long as the process from cyclic garbage collection.

    A full collection over all loaded modules blocks the event loop for tens of milliseconds, which
    adds tail latency and makes this instance look silent to its peers.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)


application = typer.Typer(add_completion=True)


@application.command()
def main(
    context: typer.Context,
    settings_file: typing.Annotated[
        pathlib.Path, typer.Argument(help="INI file with the settings of this instance.")
    ],
    check_settings: typing.Annotated[
        bool,
        typer.Option("--check-settings", help="Validate the settings, print problems and exit."),
    ] = False,
    version: version_module.Option = False,
) -> None:
    """
    Run one turmericlug instance.

    SIGTERM and SIGINT stop it gracefully: it gives up its entry address, returns queued parts to
    their coordinators, serves callers that still use its address, and exits.

    Exit codes: 0 stopped gracefully, 2 invalid settings, 3 the instance could not run.
    """
    signals: early_signals.Remembered = context.obj or early_signals.Remembered()
    events.setup("")
    try:
        if check_settings:
            settings_module.load(settings_file)
            typer.echo(f"{settings_file}: the settings are valid")
            return
        settings = _load_settings(settings_file, signals)
    except waiting.StoppedError as error:
        raise typer.Exit(EXIT_STOPPED) from error
    except settings_module.SettingsError as error:
        for problem in error.problems:
            typer.echo(problem, err=True)
        raise typer.Exit(EXIT_SETTINGS) from error
    events.setup(settings.instance.name)
    try:
        _tune_garbage_collector()
        # ``serve`` handles the signals.
        with aiomisc.entrypoint(log_config=False, catch_signals=()) as loop:
            loop.run_until_complete(instance.serve(settings, signals))
    except OSError as error:
        events.emit("instance.cannot_run", "error", reason=str(error))
        raise typer.Exit(EXIT_RUNTIME) from error


def _load_settings(
    path: pathlib.Path, signals: early_signals.Remembered
) -> settings_module.Settings:
    def on_problems(problems: list[str]) -> None:
        events.emit("settings.not_usable", "warning", path=str(path), problems=problems)

    return waiting.until_usable(lambda: settings_module.load(path), signals, on_problems)


def run(signals: early_signals.Remembered | None = None) -> None:
    """
    Run the command line.

    :param signals: signals that have arrived while the program was loaded
    """
    application(obj=signals)
