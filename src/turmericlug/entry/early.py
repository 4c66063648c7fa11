"""
Listen for callers before the rest of the program is loaded.

This matters when all instances lose power and restart. Loading the program takes 0.2 s on a
single-core machine, and a port that is not listening refuses connections for that time; a caller
that makes both its attempts within it gets no answer. On a port that already listens, its request
waits until the program is loaded, and is served.

This module imports only ``os``, ``socket`` and ``types``, so that it loads first.
Log lines are written to standard error, since the decision log is not loaded yet.
"""

from __future__ import annotations

import os
import socket
import types

OPTION = "--listen-early"
BACKLOG = 1024
"""Backlog of connections that wait until the program is loaded: several seconds of traffic."""
SEND_BUFFER_BYTES = 96 * 1024
"""As of the other listeners (``accepting.SEND_BUFFER_BYTES``)."""
STATUS_FAILED = 1
_STDERR_DESCRIPTOR = 2
_MAX_TRACE_CHARACTERS = 4000


def open_standard_streams() -> None:
    """
    Open ``/dev/null`` in place of closed standard streams.

    Otherwise a socket gets the descriptor of standard output, and log lines are sent to a caller.
    """
    for descriptor in range(3):
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free descriptor is this one, since those below are open.
            os.open(os.devnull, os.O_RDWR)


def listener(arguments: list[str]) -> socket.socket | None:
    """
    Listen at the address given in the program's arguments.

    Without an address, or if binding to it fails, return ``None``: the program then listens when
    it is loaded, and reports errors in its settings.

    :param arguments: ``--listen-early HOST:PORT``, or nothing
    """
    if len(arguments) != 2 or arguments[0] != OPTION:
        return None
    host, _, port = arguments[1].rpartition(":")
    early = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        early.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        early.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        early.bind((host, int(port)))
        early.listen(BACKLOG)
    except (OSError, OverflowError, ValueError) as error:
        log("listener.not_early", listener="callers", address=arguments[1], error=str(error))
        early.close()
        return None
    early.setblocking(False)
    return early


def log(event: str, **fields: object) -> None:
    """Write a line in the format of the decision log, without an instance's name."""
    import json
    import time

    line = {"time_s": round(time.time(), 4), "instance": "", "event": event} | fields
    content = json.dumps(line, separators=(",", ":")).encode() + b"\n"
    try:
        os.write(_STDERR_DESCRIPTOR, content)
    except OSError:
        # A reader that is gone or slow is no reason to end, and there is nowhere else to report it.
        return


def log_uncaught(
    kind: type[BaseException], error: BaseException, trace: types.TracebackType | None
) -> None:
    """Log the error that ends the program, in place of ``sys.excepthook``."""
    import traceback

    log(
        "instance.exiting_with",
        status=STATUS_FAILED,
        reason=f"{kind.__name__}: {error}"[:500],
        trace="".join(traceback.format_exception(kind, error, trace))[-_MAX_TRACE_CHARACTERS:],
    )
