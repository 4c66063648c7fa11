"""
Main program of an entry instance.

It lies outside the package so that ``src``, not the package's folder, comes first in ``sys.path``.
"""

from turmericlug.kernel import early_signals

if __name__ == "__main__":
    signals = early_signals.remember()

    import sys

    from turmericlug.entry import early

    sys.excepthook = early.log_uncaught
    early.open_standard_streams()
    listener = early.listener(sys.argv[1:])

    from turmericlug.platform import start

    start.run(listener, signals)
