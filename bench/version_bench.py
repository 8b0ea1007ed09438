"""Streams over an upgrade of their service's software, in modelled time.

``python -m bench.version_bench [--entries 9,76,195] [--seeds 5] [--only NAME]
[--jobs 4] [--no-pins] [--no-room] [--no-leases] [--json FILE] [--against FILE --plot
FILE]`` models fleets with the real choice of endpoints and the real keeping of origins.
A run is broken if more than two streams hold events of two versions, or if of 12 or
more streams that are taken up while two endpoints of their version serve, the share
that goes on is under half of the share of new ones that begin.
"""

import logging
import sys

import attrs

from bench.rows import keep_rows, make_parser, play_rows
from bench.version_plot import plot
from celerytrack.lab.version_fleet import VersionFleet
from celerytrack.lab.version_scenarios import (
    VersionOutcome,
    VersionScenario,
    summary,
)
from celerytrack.lab.virtual_time import run_virtual

SCENARIOS = (
    VersionScenario("upgrade"),
    VersionScenario("a tenth of messages lost", lost_share=0.1),
    VersionScenario("entries killed in turn", kills=True),
    VersionScenario("a third of the entries cut off", cut_share=1 / 3),
    VersionScenario("log away", log_away=True),
    VersionScenario("same ids", same_ids=True),
    VersionScenario("two endpoints left", to_two=True),
    VersionScenario("two endpoints left, busy", to_two=True, load_share=0.85),
    VersionScenario("one out of step", isolated=1),
    VersionScenario("three out of step", isolated=3),
    VersionScenario("one version, one out of step", isolated=1, upgrades=False),
    VersionScenario("one version, log away", log_away=True, upgrades=False),
)


def play(scenario: VersionScenario, seed: int) -> VersionOutcome:
    """Run one scenario with one seed."""
    logging.disable(logging.CRITICAL)
    return run_virtual(VersionFleet(scenario, seed).run())


def main() -> int:
    """Run the scenarios and print their rows."""
    parser = make_parser(__doc__, entries="9,76,195", seeds=5, jobs=4)
    parser.add_argument("--no-pins", action="store_true")
    parser.add_argument("--no-room", action="store_true")
    parser.add_argument("--no-leases", action="store_true")
    args = parser.parse_args()
    rows = []
    for entries in map(int, args.entries.split(",")):
        scenarios = [
            attrs.evolve(
                scenario,
                entries=entries,
                pins=not args.no_pins,
                keeps_room=not args.no_room,
                leases=not args.no_leases,
            )
            for scenario in SCENARIOS
            if args.only in scenario.name
        ]
        rows += play_rows(play, summary, scenarios, args.seeds, args.jobs)
    keep_rows(rows, args, plot)
    return 1 if any(row["broken_runs"] for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
