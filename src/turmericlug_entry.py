"""
Main program of an entry instance.

It lies outside the package so that ``src``, not the package's folder, comes first in ``sys.path``.
"""

from __future__ import annotations

import sys

from turmericlug.entry import early

if __name__ == "__main__":
    sys.excepthook = early.log_uncaught
    listener = early.listener(sys.argv[1:])
    from turmericlug.platform import start

    start.run(listener)
