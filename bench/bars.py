"""Bar charts that compare the rows of two runs of a bench."""

from collections.abc import Sequence

import attrs

Rows = list[dict[str, object]]


@attrs.frozen
class Panel:
    """The chart of one field of the rows, with a bar for each scenario.

    :ivar summed: whether the rows hold the sum over all seeds; the mean is drawn.
    """

    field: str
    title: str
    summed: bool = False


def draw(panels: Sequence[Panel], before: Rows, after: Rows, to: str) -> None:
    """Draw each panel's bars before and after, in a column for each fleet size."""
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
            _draw_bars(
                axes,
                _rows_by_scenario(before, entries),
                _rows_by_scenario(after, entries),
                panel,
            )
            axes.set_xlabel(panel.title)
            axes.set_title(f"{entries} entries")
    grid[0][0].invert_yaxis()
    grid[0][0].legend()
    figure.savefig(to, dpi=80)


def _rows_by_scenario(rows: Rows, entries: int) -> dict[str, dict[str, object]]:
    return {str(r["scenario"]): r for r in rows if r["entries"] == entries}


def _mean_value(row: dict[str, object], panel: Panel) -> float:
    value = float(str(row[panel.field]))
    return value / int(str(row["seeds"])) if panel.summed else value


def _draw_bars(
    axes,  # type: ignore[no-untyped-def]
    before: dict[str, dict[str, object]],
    after: dict[str, dict[str, object]],
    panel: Panel,
) -> None:
    names = list(after)
    for shift, rows, label in ((-0.2, before, "before"), (0.2, after, "after")):
        known = [(i, rows[n]) for i, n in enumerate(names) if n in rows]
        positions = [i + shift for i, _ in known]
        values = [_mean_value(r, panel) for _, r in known]
        axes.barh(positions, values, height=0.38, label=label)
    axes.locator_params(axis="x", nbins=5)
    axes.set_yticks(range(len(names)), names, fontsize=8)
