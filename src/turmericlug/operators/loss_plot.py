"""Plot of losses over time, imported only on demand: importing matplotlib takes half a second."""

from __future__ import annotations

import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402 - the backend must be selected first

from turmericlug.operators import losses  # noqa: E402 - as above

_COLORS = ("#cfd8dc", "#90caf9", "#ffe082", "#ce93d8", "#a5d6a7", "#e57373", "#bcaaa4", "#455a64")


def draw(result: losses.Losses, interval_s: float, path: pathlib.Path) -> None:
    """
    Draw a stacked bar of outcomes for each time interval.

    :param path: the output file; its suffix selects the format
    """
    counts_by_time = result.by_time(interval_s)
    figure, axes = pyplot.subplots(figsize=(10, 4))
    bottoms = [0] * len(counts_by_time)
    for outcome, color in zip(losses.OUTCOMES, _COLORS, strict=True):
        heights = [counts[outcome] for counts in counts_by_time.values()]
        axes.bar(
            list(counts_by_time),
            heights,
            width=0.9 * interval_s,
            align="edge",
            bottom=bottoms,
            color=color,
            label=outcome,
        )
        bottoms = [bottom + height for bottom, height in zip(bottoms, heights, strict=True)]
    axes.set_xlabel("seconds since the first ending")
    axes.set_ylabel(f"requests in {interval_s:g} s")
    axes.legend(loc="upper center", ncols=len(losses.OUTCOMES), fontsize="x-small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
