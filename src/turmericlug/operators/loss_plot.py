"""A picture of losses over time. Imported by the client alone: the library takes half a second."""

from __future__ import annotations

import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402 - the back end has to be chosen before

from turmericlug.operators import losses  # noqa: E402 - as above

_COLORS = ("#cfd8dc", "#90caf9", "#ffe082", "#ce93d8", "#e57373", "#bcaaa4", "#455a64")


def draw(found: losses.Losses, every_s: float, path: pathlib.Path) -> None:
    """
    Draw a bar for each span of time, by outcome.

    :param path: the file; its ending tells the format
    """
    table = found.by_time(every_s)
    figure, axes = pyplot.subplots(figsize=(10, 4))
    below = [0] * len(table)
    for outcome, color in zip(losses.OUTCOMES, _COLORS, strict=True):
        counts = [each[outcome] for each in table.values()]
        axes.bar(
            list(table),
            counts,
            width=0.9 * every_s,
            align="edge",
            bottom=below,
            color=color,
            label=outcome,
        )
        below = [low + count for low, count in zip(below, counts, strict=True)]
    axes.set_xlabel("seconds since the first ending")
    axes.set_ylabel(f"requests in {every_s:g} s")
    axes.legend(loc="upper center", ncols=len(losses.OUTCOMES), fontsize="x-small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
