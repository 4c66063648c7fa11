"""Structured log lines: one JSON object per event, written through absl.logging."""

from __future__ import annotations

import collections
import json
import logging as std_logging
import time
import typing
from collections import abc

from absl import flags
from absl import logging

_LEVELS = {"info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def setup(instance: str) -> None:
    """
    Write one JSON object per event to standard error.

    :param instance: instance name to include in each line
    """
    # The programs don't parse absl flags. Unless these are marked as parsed, absl prints a warning
    # that is not JSON before the first line.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(_JsonFormatter(instance))
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold("info")
    std_logging.getLogger("aiohttp").setLevel(std_logging.ERROR)


def emit(event: str, level: str = "info", **fields: typing.Any) -> None:
    """
    Log one event.

    :param event: event name in dotted lower case
    :param level: ``info``, ``warning`` or ``error``
    :param fields: details of the event; units are part of the field names
    """
    severity = _LEVELS[level]
    if logging.get_verbosity() >= severity:
        logging.log(severity, "%s", json.dumps({"event": event, **fields}, default=str))


class Limiter:
    """Limits the lines of each event per second, and counts the suppressed ones."""

    def __init__(self, max_per_s: int, now_s: abc.Callable[[], float] = time.monotonic) -> None:
        self._max_per_s = max_per_s
        self._now_s = now_s
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()

    def emit(self, event: str, level: str = "info", **fields: typing.Any) -> None:
        """
        Log an event that callers can cause at any rate.

        Under overload, logging thousands of refusals per second would cost more than the queries.
        The first line of a later second reports the number of suppressed lines.
        """
        second = int(self._now_s())
        if second != self._second:
            suppressed = sum(self._counts.values()) - sum(
                min(count, self._max_per_s) for count in self._counts.values()
            )
            self._second = second
            self._counts.clear()
            if suppressed:
                fields["suppressed_before"] = suppressed
        self._counts[event] += 1
        if self._counts[event] <= self._max_per_s:
            emit(event, level, **fields)


class _JsonFormatter(std_logging.Formatter):
    """Formats each record as a JSON object, including records emitted by libraries."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: std_logging.LogRecord) -> str:
        line = {
            "time_s": round(time.time(), 3),
            "level": record.levelname.lower(),
            "instance": self._instance,
        }
        message = record.getMessage()
        if message.startswith("{"):
            line.update(json.loads(message))
        else:
            line.update(event="library.message", text=message, source=record.name)
        if record.exc_info:
            line["trace"] = self.formatException(record.exc_info)
        return json.dumps(line)
