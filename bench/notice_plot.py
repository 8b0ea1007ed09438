"""The picture of :mod:`bench.notice_bench`."""

from bench.bars import Panel, Rows, draw

PANELS = (
    Panel("late", "late requests at endpoints that leave, worst run"),
    Panel("worst_backoff", "most requests of an entry in a backoff"),
    Panel("served_share", "requests served"),
)


def plot(before: Rows, after: Rows, to: str) -> None:
    """Draw each figure before and after: a column for each fleet."""
    draw(PANELS, before, after, to)
