"""
Listen for callers before the rest of the program is loaded.

This matters when all instances lose power and restart. Loading the program takes 0.2 s on a
single-core machine, and a port that is not listening refuses connections for that time; a caller
that makes both its attempts within it gets no answer. On a port that already listens, its request
waits until the program is loaded, and is served.

This module imports only the standard library's ``socket`` and ``sys``, so that it loads first.
"""

from __future__ import annotations

import socket
import sys

OPTION = "--listen-early"
BACKLOG = 1024
"""Backlog of connections that wait until the program is loaded: several seconds of traffic."""


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
        early.bind((host, int(port)))
        early.listen(BACKLOG)
    except (OSError, ValueError) as error:
        print(f"not listening early at {arguments[1]}: {error}", file=sys.stderr)
        early.close()
        return None
    early.setblocking(False)
    return early
