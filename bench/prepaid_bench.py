"""How much of prepaid totals is delivered under faults, in virtual time.

``python -m bench.prepaid_bench [--entries 9,76] [--seeds 3] [--only NAME]
[--jobs 4] [--json FILE] [--against FILE --plot FILE]`` runs the real budgets, row
task and reservations of each entry on a modelled log. Overspent tokens must be 0 in
every row.
"""

import concurrent.futures
import logging
import statistics
import sys

import attrs

from bench.rows import keep_rows, make_parser, print_row
from celerytrack.lab.prepaid_fleet import PrepaidFleet
from celerytrack.lab.prepaid_scenarios import (
    TWO_CUTS_THEN_POWER,
    Fault,
    FaultKind,
    Outcome,
    Scenario,
)
from celerytrack.lab.virtual_time import run_virtual

_POWER, _CUT, _REFUSED = FaultKind.POWER, FaultKind.CUT, FaultKind.REFUSED
SCENARIOS = (
    Scenario("no fault"),
    Scenario("power lost by all", faults=(Fault(_POWER, 32.0, 1.4),)),
    Scenario("power lost by all, long", faults=(Fault(_POWER, 32.0, 3.0),)),
    Scenario("power lost by one", faults=(Fault(_POWER, 12.0, 3.0, 0.1),)),
    Scenario("cut of all for 9 s", faults=(Fault(_CUT, 10.0, 9.0),)),
    Scenario("cut of all twice, then power", faults=TWO_CUTS_THEN_POWER),
    Scenario("one cut of many", faults=(Fault(_CUT, 8.0, 9.0, 0.1),)),
    Scenario("a third refused by the log", faults=(Fault(_REFUSED, 8.0, 9.0, 0.34),)),
    Scenario("late appends", late_append_s=0.2, lost_share=0.1),
    Scenario(
        "hot account, then power",
        hot_factor=3.0,
        faults=(Fault(_POWER, 32.0, 1.4),),
    ),
)


def play(scenario: Scenario, seed: int) -> Outcome:
    """Run one scenario with one seed."""
    logging.disable(logging.CRITICAL)
    return run_virtual(PrepaidFleet(scenario, seed).run())


def row(scenario: Scenario, outcomes: list[Outcome]) -> dict[str, object]:
    """The means of several outcomes as one row of the table."""

    def mean(field: str) -> float:
        return statistics.fmean(getattr(o, field) for o in outcomes)

    return {
        "scenario": scenario.name,
        "entries": scenario.entries,
        "overspent_tokens": sum(o.overspent_tokens for o in outcomes),
        "delivered_share": round(mean("delivered_share"), 4),
        "in_target_share": round(mean("in_target_share"), 4),
        "in_target_tokens_share": round(mean("in_target_tokens_share"), 4),
        "refused_share": round(mean("refused_share"), 4),
        "appends_per_s": round(mean("appends_per_s"), 1),
        "kb_in_per_s": round(mean("bytes_in_per_s") / 1_000, 1),
        "kb_read_per_s_each": round(
            mean("bytes_out_per_s") / 1_000 / scenario.entries, 1
        ),
    }


def plot(
    before: list[dict[str, object]], after: list[dict[str, object]], to: str
) -> None:
    """Draw the refused share of owed requests by scenario, before and after."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [str(r["scenario"]) for r in after]
    known = {str(r["scenario"]): r for r in before}
    places = range(len(names))
    figure, axes = pyplot.subplots(figsize=(9, 4.5), layout="constrained")
    for shift, rows, label in (
        (-0.2, [known[n] for n in names], "before"),
        (0.2, after, "after"),
    ):
        shares = [100 * float(str(r["refused_share"])) for r in rows]
        axes.barh([p + shift for p in places], shares, height=0.38, label=label)
    axes.set_yticks(list(places), names)
    axes.invert_yaxis()
    axes.set_xlabel("refused of owed requests, %")
    axes.legend()
    figure.savefig(to, dpi=110)


def main() -> int:
    """Run the scenarios and print their rows."""
    args = make_parser(__doc__, entries="9", seeds=3, jobs=4).parse_args()
    sized = [
        attrs.evolve(scenario, entries=entries)
        for entries in map(int, args.entries.split(","))
        for scenario in SCENARIOS
        if args.only in scenario.name
    ]
    rows = []
    with concurrent.futures.ProcessPoolExecutor(args.jobs) as pool:
        seeds = range(1, 1 + args.seeds)
        plays = [[pool.submit(play, s, seed) for seed in seeds] for s in sized]
        for scenario, outcomes in zip(sized, plays, strict=True):
            rows.append(row(scenario, [o.result() for o in outcomes]))
            print_row(rows[-1])
    keep_rows(rows, args, plot)
    return 1 if any(r["overspent_tokens"] for r in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
