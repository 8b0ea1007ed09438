"""The picture of :mod:`bench.crash_bench`."""

from bench.bars import Panel, Rows, draw

PANELS = (
    Panel("endings_mean", "endpoints ended a run"),
    Panel("late_most", "arrivals too late, worst run (3 allowed)"),
    Panel("served_share", "harmless requests served"),
    Panel("falsely", "harmless requests refused, all runs"),
)


def plot(before: Rows, after: Rows, to: str) -> None:
    """Draw each figure before and after: a column for each fleet."""
    draw(PANELS, before, after, to)
