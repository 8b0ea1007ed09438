"""Rows of two runs of a bench as bars beside each other."""

from collections.abc import Sequence

import attrs

Rows = list[dict[str, object]]


@attrs.frozen
class Panel:
    """One figure of each scenario.

    :ivar summed: whether rows hold its sum over all runs; its mean is drawn.
    """

    field: str
    title: str
    summed: bool = False


def draw(panels: Sequence[Panel], before: Rows, after: Rows, to: str) -> None:
    """Draw each panel before and after: a column for each size of fleet."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    sizes = sorted({int(str(r["entries"])) for r in after})
    figure, grid = pyplot.subplots(
        len(panels),
        len(sizes),
        figsize=(4.2 * len(sizes) + 2, 3.0 * len(panels)),
        layout="constrained",
        sharey=True,
        squeeze=False,
    )
    for axes_row, panel in zip(grid, panels, strict=True):
        for axes, entries in zip(axes_row, sizes, strict=True):
            _bars(axes, _of(before, entries), _of(after, entries), panel)
            axes.set_xlabel(panel.title)
            axes.set_title(f"{entries} entries")
    grid[0][0].invert_yaxis()
    grid[0][0].legend()
    figure.savefig(to, dpi=80)


def _of(rows: Rows, entries: int) -> dict[str, dict[str, object]]:
    return {str(r["scenario"]): r for r in rows if r["entries"] == entries}


def _figure(row: dict[str, object], panel: Panel) -> float:
    figure = float(str(row[panel.field]))
    return figure / int(str(row["seeds"])) if panel.summed else figure


def _bars(
    axes,  # type: ignore[no-untyped-def]
    before: dict[str, dict[str, object]],
    after: dict[str, dict[str, object]],
    panel: Panel,
) -> None:
    names = list(after)
    for shift, rows, label in ((-0.2, before, "before"), (0.2, after, "after")):
        known = [(i, rows[n]) for i, n in enumerate(names) if n in rows]
        places = [i + shift for i, _ in known]
        figures = [_figure(r, panel) for _, r in known]
        axes.barh(places, figures, height=0.38, label=label)
    axes.locator_params(axis="x", nbins=5)
    axes.set_yticks(range(len(names)), names, fontsize=8)
