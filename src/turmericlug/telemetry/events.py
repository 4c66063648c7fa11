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
    Send one JSON object per event to standard error.

    :param instance: the name that each line carries
    """
    # Our programs read no absl flags; unless that is said, the library prints a line that is no
    # JSON before the first.
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

    :param event: its name, in dotted lower case
    :param level: ``info``, ``warning`` or ``error``
    :param fields: what happened; a unit is part of the field's name
    """
    number = _LEVELS[level]
    if logging.get_verbosity() >= number:
        logging.log(number, "%s", json.dumps({"event": event, **fields}, default=str))


class Limiter:
    """Lets only so many lines of each kind through per second, and counts the others."""

    def __init__(self, most_per_s: int, now_s: abc.Callable[[], float] = time.monotonic) -> None:
        self._most_per_s = most_per_s
        self._now_s = now_s
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()

    def emit(self, event: str, level: str = "info", **fields: typing.Any) -> None:
        """
        Log an event that callers can bring about at any rate.

        Under overload thousands of refusals a second would cost more than the queries. What was
        left out is told with the first line of a later second.
        """
        second = int(self._now_s())
        if second != self._second:
            suppressed = sum(self._counts.values()) - sum(
                min(count, self._most_per_s) for count in self._counts.values()
            )
            self._second = second
            self._counts.clear()
            if suppressed:
                fields["suppressed_before"] = suppressed
        self._counts[event] += 1
        if self._counts[event] <= self._most_per_s:
            emit(event, level, **fields)


class _JsonFormatter(std_logging.Formatter):
    """Wraps each record in a JSON object, also those that libraries emit."""

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
