"""The picture of :mod:`bench.version_bench`."""

from bench.bars import Panel, Rows, draw

PANELS = (
    Panel("most_mixed", "most mixed streams of a run"),
    Panel("went_on_share", "taken up and gone on"),
)


def plot(before: Rows, after: Rows, to: str) -> None:
    """Draw each figure before and after: a column for each fleet."""
    draw(PANELS, before, after, to)
