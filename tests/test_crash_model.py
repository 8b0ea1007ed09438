"""Modelled fleets with the real tracking of crashing requests, in modelled time."""

import unittest

from nose2.tools import params

from celerytrack.lab.crash_fleet import CrashFleet
from celerytrack.lab.crash_scenarios import CrashFault, CrashOutcome, CrashScenario
from celerytrack.lab.virtual_time import run_virtual

MAX_LATE_ARRIVALS = 3
"""Most arrivals of a request at endpoints after the fleet should quarantine it."""
SEEDS = (1, 2, 3)
MIN_SERVED_SHARE = 0.95
"""Share of harmless requests, with one crashing request and no fault."""


def _run(scenario: CrashScenario, seed: int) -> CrashOutcome:
    return run_virtual(CrashFleet(scenario, seed).run())


class CrashModelTest(unittest.TestCase):
    @params(
        (9, ()),
        (9, (CrashFault.NOTES_LOST,)),
        (9, (CrashFault.NO_NOTES,)),
        (9, (CrashFault.LATE_LOG,)),
        (9, (CrashFault.LOG_AWAY,)),
        (9, (CrashFault.THIRD_CUT,)),
        (9, (CrashFault.THIRD_APART,)),
        (9, (CrashFault.STOPS_IN_TURN,)),
        (9, (CrashFault.OLDER_COPY,)),
        (9, (CrashFault.NO_NOTES, CrashFault.LATE_LOG)),
        (76, (CrashFault.THIRD_APART,)),
        (195, (CrashFault.NO_NOTES,)),
    )
    def test_a_quarantined_request_reaches_few_endpoints(
        self, entries: int, faults: tuple[CrashFault, ...]
    ) -> None:
        """One attempt by each entry exceeded the limit with 9, 76 and 195 entries."""
        for seed in SEEDS:
            outcome = _run(CrashScenario("", entries=entries, faults=faults), seed)
            self.assertLessEqual(
                outcome.late_arrivals, MAX_LATE_ARRIVALS, f"seed {seed}: {outcome}"
            )

    @params(
        (9, 1, ()),
        (9, 2, (CrashFault.NOTES_LOST,)),
        (9, 1, (CrashFault.LOG_AWAY,)),
        (9, 1, (CrashFault.STOPS_IN_TURN,)),
        (76, 1, (CrashFault.THIRD_APART,)),
        (195, 2, ()),
    )
    def test_a_quarantined_part_reaches_few_endpoints(
        self, entries: int, crashing: int, faults: tuple[CrashFault, ...]
    ) -> None:
        """No two requests with the part were alike, and none was held back."""
        scenario = CrashScenario(
            "", entries=entries, crashing=crashing, faults=faults, by_part=True
        )
        outcome = _run(scenario, SEEDS[0])
        self.assertLessEqual(outcome.late_arrivals, MAX_LATE_ARRIVALS, outcome)
        self.assertGreaterEqual(outcome.served_share, MIN_SERVED_SHARE, outcome)

    def test_harmless_requests_beside_it_are_served(self) -> None:
        for seed in SEEDS:
            outcome = _run(CrashScenario(""), seed)
            self.assertGreaterEqual(outcome.served_share, MIN_SERVED_SHARE)
            self.assertEqual(outcome.falsely_quarantined, 0)

    def test_several_crashing_requests_are_each_bounded(self) -> None:
        for seed in SEEDS:
            outcome = _run(CrashScenario("", crashing=4), seed)
            self.assertLessEqual(
                outcome.late_arrivals, MAX_LATE_ARRIVALS, f"seed {seed}: {outcome}"
            )

    def test_without_tracking_the_limit_is_exceeded(self) -> None:
        outcome = _run(CrashScenario("", tracking=False), SEEDS[0])
        self.assertGreater(outcome.late_arrivals, MAX_LATE_ARRIVALS)
