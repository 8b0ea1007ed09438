"""The picture of :mod:`bench.restore_bench`."""

from bench.bars import Panel, Rows, draw

PANELS = (
    Panel("overspent_tokens", "overspent tokens a run", summed=True),
    Panel("less_delivered", "less delivered, share of the total"),
    Panel("normal_again_s", "first normal second begins after, s"),
    Panel("writes_per_s_most", "most writes in a second"),
)


def plot(before: Rows, after: Rows, to: str) -> None:
    """Draw each figure of each run before and after: a column for each fleet."""
    draw(PANELS, before, after, to)
