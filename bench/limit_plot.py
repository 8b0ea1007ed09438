"""The picture of :mod:`bench.limit_bench`."""

from bench.bars import Panel, Rows, draw

PANELS = (
    Panel("worst_of_allowed", "worst 4 s of what is allowed, all runs"),
    Panel("used_share", "part of the limit used"),
    Panel("served_share", "requests served"),
)


def plot(before: Rows, after: Rows, to: str) -> None:
    """Draw each figure before and after: a column for each fleet."""
    draw(PANELS, before, after, to)
