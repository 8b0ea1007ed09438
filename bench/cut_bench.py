"""How callers of entries that reach no endpoint are served, in modelled time.

``python -m bench.cut_bench [--entries 9,76,195] [--seeds 20] [--only NAME] [--jobs 4]
[--no-relays] [--json FILE] [--against FILE --plot FILE]`` models fleets with the real
evidence, checks, states of links, and choices of endpoints and helpers. A run is broken
if from 3 s after the cut on callers of cut entries are served less than two thirds as
often as the others, and more than 10 + 1 in 50 of their requests fail.
"""

import logging
import sys

import attrs

from bench.cut_plot import plot
from bench.rows import keep_rows, make_parser, play_rows
from celerytrack.lab.cut_fleet import CutFleet
from celerytrack.lab.cut_scenarios import (
    CutKind,
    CutOutcome,
    CutScenario,
    summary,
)
from celerytrack.lab.virtual_time import run_virtual

SCENARIOS = (
    CutScenario("a third, hang"),
    CutScenario("a third, reset", kind=CutKind.RESET),
    CutScenario("all but one, hang", cut_share=1.0, spares_one=True),
    CutScenario(
        "all but one, reset", cut_share=1.0, spares_one=True, kind=CutKind.RESET
    ),
    CutScenario("a third, a third of messages lost", lost_share=1 / 3),
    CutScenario(
        "all but one, no messages", cut_share=1.0, spares_one=True, lost_share=1.0
    ),
    CutScenario("a third, restarts", restarts=True),
    CutScenario("all", cut_share=1.0),
    CutScenario("none", cut_share=0.0),
)


def play(scenario: CutScenario, seed: int) -> CutOutcome:
    """Run one scenario with one seed."""
    logging.disable(logging.CRITICAL)
    return run_virtual(CutFleet(scenario, seed).run())


def main() -> int:
    """Run the scenarios and print their rows."""
    parser = make_parser(__doc__, entries="9,76,195", seeds=20, jobs=4)
    parser.add_argument("--no-relays", action="store_true")
    args = parser.parse_args()
    rows = []
    for entries in map(int, args.entries.split(",")):
        scenarios = [
            attrs.evolve(scenario, entries=entries, relays=not args.no_relays)
            for scenario in SCENARIOS
            if args.only in scenario.name
        ]
        rows += play_rows(play, summary, scenarios, args.seeds, args.jobs)
    keep_rows(rows, args, plot)
    return 1 if any(row["broken_runs"] for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
