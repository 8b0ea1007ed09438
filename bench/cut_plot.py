"""The picture of :mod:`bench.cut_bench`."""

from bench.bars import Panel, Rows, draw

PANELS = (
    Panel("cut_served_share", "served at cut entries"),
    Panel("other_served_share", "served at the others"),
)


def plot(before: Rows, after: Rows, to: str) -> None:
    """Draw each figure before and after: a column for each fleet."""
    draw(PANELS, before, after, to)
