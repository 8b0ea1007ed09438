"""How often brittle endpoints fall over, in modelled time.

``python -m bench.brittle_bench [--entries 9,76,195] [--seeds 20] [--only NAME]
[--jobs 4] [--json FILE]`` models fleets with the real knowledge of limits, leases and
placement. A run is broken if its endpoints fall over more than twice and a tenth of
their number.
"""

import json
import logging
import pathlib
import sys

import attrs

from bench.rows import make_parser, play_rows
from celerytrack.lab.brittle_fleet import (
    BrittleFleet,
    BrittleOutcome,
    BrittleScenario,
    summary,
)
from celerytrack.lab.limit_scenarios import LimitFault
from celerytrack.lab.virtual_time import run_virtual

_FAULTS = (
    LimitFault.KILLS,
    LimitFault.STOPS,
    LimitFault.ADDED,
    LimitFault.MESSAGES_LOST,
    LimitFault.LATE_ROWS,
    LimitFault.THIRD_CUT,
    LimitFault.THIRD_ISOLATED,
)
SCENARIOS = (
    BrittleScenario("no fault"),
    BrittleScenario("bursts", demand=0.6, bursts=True),
    BrittleScenario("long requests", 2, running=2, run_range_s=(1.4, 1.6)),
    *(BrittleScenario(fault.value, faults=(fault,)) for fault in _FAULTS),
    BrittleScenario(
        "kills and bursts", demand=0.6, bursts=True, faults=(LimitFault.KILLS,)
    ),
    BrittleScenario("three endpoints", 5, endpoints=3),
    BrittleScenario("bears one", 1),
    BrittleScenario("bears twenty", 20, running=4),
)


def play(scenario: BrittleScenario, seed: int) -> BrittleOutcome:
    """Run one scenario with one seed."""
    logging.disable(logging.CRITICAL)
    return run_virtual(BrittleFleet(scenario, seed).run())


def main() -> int:
    """Run the scenarios and print their rows."""
    parser = make_parser(__doc__, entries="9,76,195", seeds=20, jobs=4)
    args = parser.parse_args()
    rows = []
    for entries in map(int, args.entries.split(",")):
        scenarios = [
            attrs.evolve(scenario, entries=entries)
            for scenario in SCENARIOS
            if args.only in scenario.name
        ]
        rows += play_rows(play, summary, scenarios, args.seeds, args.jobs)
    if args.json:
        pathlib.Path(args.json).write_text(json.dumps(rows, indent=1))
    return 1 if any(row["broken_runs"] for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
