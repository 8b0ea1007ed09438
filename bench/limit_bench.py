"""What arrives at endpoints that name a rate limit, in modelled time.

``python -m bench.limit_bench [--entries 9,76,195] [--seeds 20] [--only NAME]
[--jobs 4] [--json FILE] [--against FILE --plot FILE] [--unread]`` models fleets with
the real knowledge of limits, leases and placement. ``--unread`` has entries ignore the
limits. A run exceeds a limit if some 4 s later than 3 s after the limit began have more
than one and a half times what it allows, and 5 requests.
"""

import logging
import sys

import attrs

from bench.limit_plot import plot
from bench.rows import keep_rows, make_parser, play_rows
from celerytrack.lab.limit_fleet import LimitFleet
from celerytrack.lab.limit_scenarios import (
    LimitFault,
    LimitOutcome,
    LimitScenario,
    summary,
)
from celerytrack.lab.virtual_time import run_virtual

SCENARIOS = (
    LimitScenario("no fault"),
    LimitScenario("uneven callers", uneven=True),
    LimitScenario("three limited", limited=3, demand=8.0),
    *(LimitScenario(fault.value, faults=(fault,)) for fault in LimitFault),
    LimitScenario("limit 0.5", limit_per_s=0.5),
    LimitScenario("limit 20", limit_per_s=20.0, endpoints=4, limited=4),
    LimitScenario("limit 200", limit_per_s=200.0, endpoints=2, limited=2),
    LimitScenario("limit 0.5, uneven", limit_per_s=0.5, uneven=True),
    LimitScenario("half of the limit asked for", demand=0.5),
)


def play(scenario: LimitScenario, seed: int) -> LimitOutcome:
    """Run one scenario with one seed."""
    logging.disable(logging.CRITICAL)
    return run_virtual(LimitFleet(scenario, seed).run())


def main() -> int:
    """Run the scenarios and print their rows."""
    parser = make_parser(__doc__, entries="9,76,195", seeds=20, jobs=4)
    parser.add_argument("--unread", action="store_true", help="ignore limits")
    args = parser.parse_args()
    rows = []
    for entries in map(int, args.entries.split(",")):
        scenarios = [
            attrs.evolve(scenario, entries=entries, reads_limits=not args.unread)
            for scenario in SCENARIOS
            if args.only in scenario.name
        ]
        rows += play_rows(play, summary, scenarios, args.seeds, args.jobs)
    keep_rows(rows, args, plot)
    return 1 if any(row["exceeded_runs"] for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
