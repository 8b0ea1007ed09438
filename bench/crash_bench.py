"""Number of endpoints that one request crashes, in modelled time.

``python -m bench.crash_bench [--entries 9,76,195] [--seeds 20] [--only NAME]
[--jobs 4] [--json FILE] [--against FILE --plot FILE] [--forgets]`` models fleets that
serve requests which crash each endpoint that runs them, with the real tracking of
suspects. ``--forgets`` turns the tracking off. A row exceeds the limit if in some run
connected entries sent such a request to endpoints more than three times later than 3 s
after its third crash.
"""

import functools
import logging
import sys

import attrs

from bench.crash_plot import plot
from bench.rows import keep_rows, make_parser, play_rows
from celerytrack.gateway import suspect_sync
from celerytrack.lab.crash_fleet import CrashFleet
from celerytrack.lab.crash_scenarios import (
    CrashFault,
    CrashOutcome,
    CrashScenario,
    summary,
)
from celerytrack.lab.virtual_time import run_virtual

MAX_CACHED_RECORDS = 20_000
SCENARIOS = (
    CrashScenario("no fault"),
    *(CrashScenario(fault.value, faults=(fault,)) for fault in CrashFault),
    CrashScenario(
        "no notes, late log", faults=(CrashFault.NO_NOTES, CrashFault.LATE_LOG)
    ),
    CrashScenario(
        "no notes, log away", faults=(CrashFault.NO_NOTES, CrashFault.LOG_AWAY)
    ),
    CrashScenario("two crashing", crashing=2),
    CrashScenario("twenty crashing", crashing=20),
    CrashScenario("thirty a second", repeats_per_s=30.0),
    CrashScenario("a part", by_part=True),
    CrashScenario("two parts", by_part=True, crashing=2),
    CrashScenario("a part, thirty a second", by_part=True, repeats_per_s=30.0),
    *(
        CrashScenario(f"a part, {fault.value}", by_part=True, faults=(fault,))
        for fault in CrashFault
    ),
)


def play(scenario: CrashScenario, seed: int) -> CrashOutcome:
    """Run one scenario with one seed."""
    logging.disable(logging.CRITICAL)
    _cache_decoding()
    return run_virtual(CrashFleet(scenario, seed).run())


@functools.cache
def _cache_decoding() -> None:
    """Cache decoded records, because every modelled entry reads each of them."""
    decode = functools.lru_cache(MAX_CACHED_RECORDS)(suspect_sync.decode_findings)
    suspect_sync.decode_findings = decode  # type: ignore[assignment]


def main() -> int:
    """Run the scenarios and print their rows."""
    parser = make_parser(__doc__, entries="9,76,195", seeds=20, jobs=4)
    parser.add_argument("--forgets", action="store_true", help="turn tracking off")
    args = parser.parse_args()
    rows = []
    for entries in map(int, args.entries.split(",")):
        scenarios = [
            attrs.evolve(s, entries=entries, tracking=not args.forgets)
            for s in SCENARIOS
            if args.only in s.name
        ]
        rows += play_rows(play, summary, scenarios, args.seeds, args.jobs)
    keep_rows(rows, args, plot)
    return 1 if any(row["seeds_broken"] for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
