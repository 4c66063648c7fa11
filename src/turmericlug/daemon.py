"""Main program of ``turmericlugd``: remembers signals while the rest of it is loaded."""

from turmericlug.kernel import early_signals


def run() -> None:
    """Run the command line."""
    signals = early_signals.remember()

    from turmericlug import command

    command.run(signals)
