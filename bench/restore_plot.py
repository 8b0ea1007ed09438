"""The picture of :mod:`bench.restore_bench`."""

Rows = list[dict[str, object]]
_PANELS = (
    ("overspent_tokens", "overspent tokens a run"),
    ("less_delivered", "less delivered, share of the total"),
    ("normal_again_s", "first normal second begins after, s"),
    ("writes_per_s_most", "most writes in a second"),
)


def plot(before: Rows, after: Rows, to: str) -> None:
    """Draw each figure of each run before and after: a column for each fleet."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    sizes = sorted({int(str(r["entries"])) for r in after})
    figure, grid = pyplot.subplots(
        len(_PANELS),
        len(sizes),
        figsize=(4.2 * len(sizes) + 2, 3.0 * len(_PANELS)),
        layout="constrained",
        sharey=True,
        squeeze=False,
    )
    for axes_row, (field, title) in zip(grid, _PANELS, strict=True):
        for axes, entries in zip(axes_row, sizes, strict=True):
            _bars(axes, _of(before, entries), _of(after, entries), field)
            axes.set_xlabel(title)
            axes.set_title(f"{entries} entries")
    grid[0][0].invert_yaxis()
    grid[0][0].legend()
    figure.savefig(to, dpi=80)


def _of(rows: Rows, entries: int) -> dict[str, dict[str, object]]:
    return {str(r["scenario"]): r for r in rows if r["entries"] == entries}


def _figure(row: dict[str, object], field: str) -> float:
    figure = float(str(row[field]))
    # The one sum of all runs among means and extremes.
    return figure / int(str(row["seeds"])) if field == "overspent_tokens" else figure


def _bars(
    axes,  # type: ignore[no-untyped-def]
    before: dict[str, dict[str, object]],
    after: dict[str, dict[str, object]],
    field: str,
) -> None:
    names = list(after)
    for shift, rows, label in ((-0.2, before, "before"), (0.2, after, "after")):
        known = [(i, rows[n]) for i, n in enumerate(names) if n in rows]
        places = [i + shift for i, _ in known]
        figures = [_figure(r, field) for _, r in known]
        axes.barh(places, figures, height=0.38, label=label)
    axes.locator_params(axis="x", nbins=5)
    axes.set_yticks(range(len(names)), names, fontsize=8)
