"""What arrives at endpoints that leave or ask for backoffs, in modelled time.

``python -m bench.notice_bench [--entries 9,76,195] [--seeds 20] [--only NAME]
[--jobs 4] [--mechanism all|"word ignored"|...] [--json FILE] [--against FILE --plot
FILE]`` models fleets with the real choice of endpoints and what entries keep and tell
of endpoints' words. A run is broken if a request was sent later than 2 s after its
entry had passed on that the endpoint leaves, or if more than two requests of an entry
arrive between half a second after a rejection and the end of the backoff it asked for.
"""

import logging
import sys

import attrs

from bench.notice_plot import plot
from bench.rows import keep_rows, make_parser, play_rows
from celerytrack.lab.notice_fleet import NoticeFleet
from celerytrack.lab.notice_scenarios import (
    Mechanism,
    NoticeFault,
    NoticeOutcome,
    NoticeScenario,
    summary,
)
from celerytrack.lab.virtual_time import run_virtual

ROLLOUT = NoticeScenario("rollout", leaves_every_s=2.0)
SCENARIOS = (
    ROLLOUT,
    *(
        attrs.evolve(ROLLOUT, name=f"rollout, {fault.value}", faults=(fault,))
        for fault in NoticeFault
    ),
    NoticeScenario("three of twelve leave", leave_at_once=3),
    NoticeScenario("all leave", leave_at_once=12),
    NoticeScenario(
        "a hundred leave in a minute",
        endpoints=120,
        requests_per_s=60.0,
        leaves_every_s=0.6,
        lasts_s=64.0,
    ),
    NoticeScenario("three back off", rejecting=3),
    NoticeScenario("all back off", rejecting=12, backoff_s=2.5),
    NoticeScenario("all back off, all rejected", rejecting=12, rejects_share=1.0),
    NoticeScenario("short backoffs", rejecting=12, backoff_s=0.3),
    NoticeScenario("three back off, stops", rejecting=3, faults=(NoticeFault.STOPS,)),
)


def play(scenario: NoticeScenario, seed: int) -> NoticeOutcome:
    """Run one scenario with one seed."""
    logging.disable(logging.CRITICAL)
    return run_virtual(NoticeFleet(scenario, seed).run())


def main() -> int:
    """Run the scenarios and print their rows."""
    parser = make_parser(__doc__, entries="9,76,195", seeds=20, jobs=4)
    parser.add_argument("--mechanism", default=Mechanism.ALL.value)
    args = parser.parse_args()
    mechanism = Mechanism(args.mechanism)
    rows = []
    for entries in map(int, args.entries.split(",")):
        scenarios = [
            attrs.evolve(scenario, entries=entries, mechanism=mechanism)
            for scenario in SCENARIOS
            if args.only in scenario.name
        ]
        rows += play_rows(play, summary, scenarios, args.seeds, args.jobs)
    keep_rows(rows, args, plot)
    return 1 if any(row["late_runs"] or row["broken_runs"] for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
