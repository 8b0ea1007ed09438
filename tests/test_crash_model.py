"""Fleets of the real keepers of suspects before crashing requests, in modelled time."""

import unittest

from nose2.tools import params

from celerytrack.lab.crash_fleet import CrashFleet
from celerytrack.lab.crash_scenarios import CrashFault, CrashOutcome, CrashScenario
from celerytrack.lab.virtual_time import run_virtual

MOST_LATE = 3
"""Arrivals at endpoints that a known request may have."""
SEEDS = (1, 2, 3)
LEAST_SERVED_SHARE = 0.95
"""Of harmless requests, with one crashing and nothing else wrong."""


def _play(scenario: CrashScenario, seed: int) -> CrashOutcome:
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
    def test_a_known_request_reaches_few_endpoints(
        self, entries: int, faults: tuple[CrashFault, ...]
    ) -> None:
        """BUDGET at 9, 76 and 195 entries: one try by each entry was too many."""
        for seed in SEEDS:
            outcome = _play(CrashScenario("", entries=entries, faults=faults), seed)
            self.assertLessEqual(outcome.late, MOST_LATE, f"seed {seed}: {outcome}")

    def test_harmless_requests_are_served_beside_it(self) -> None:
        for seed in SEEDS:
            outcome = _play(CrashScenario(""), seed)
            self.assertGreaterEqual(outcome.served_share, LEAST_SERVED_SHARE)
            self.assertEqual(outcome.falsely, 0)

    def test_several_crashing_requests_are_each_bounded(self) -> None:
        for seed in SEEDS:
            outcome = _play(CrashScenario("", crashing=4), seed)
            self.assertLessEqual(outcome.late, MOST_LATE, f"seed {seed}: {outcome}")

    def test_the_model_shows_a_fleet_that_forgets(self) -> None:
        outcome = _play(CrashScenario("", remembers=False), SEEDS[0])
        self.assertGreater(outcome.late, MOST_LATE)
