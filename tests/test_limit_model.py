"""Fleets of 9, 76 and 195 entries before limited endpoints, in modelled time."""

import logging
import unittest

from nose2.tools import params

from celerytrack.lab.limit_fleet import LimitFleet
from celerytrack.lab.limit_scenarios import LimitFault, LimitScenario
from celerytrack.lab.virtual_time import run_virtual

USED_SHARE = 0.7
"""Least part of the limit that must be used while callers want twice as much."""


class LimitModelTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @params(
        (9, 2.5, False, ()),
        (9, 2.5, False, (LimitFault.LATE_ROWS, LimitFault.STOPS)),
        (9, 2.5, True, (LimitFault.KILLS,)),
        (9, 20.0, False, (LimitFault.ADDED, LimitFault.MESSAGES_LOST)),
        (76, 0.5, True, ()),
        (76, 2.5, False, (LimitFault.THIRD_CUT,)),
        (9, 2.5, False, (LimitFault.THIRD_ISOLATED,)),
        (76, 2.5, False, (LimitFault.THIRD_ISOLATED,)),
        (76, 2.5, False, (LimitFault.MESSAGES_LOST, LimitFault.STOPS)),
        (195, 2.5, False, (LimitFault.CHANGES,)),
        (195, 0.5, False, (LimitFault.STOPS,)),
    )
    def test_the_sum_keeps_the_limit_and_uses_it(
        self,
        entries: int,
        limit_per_s: float,
        uneven: bool,
        faults: tuple[LimitFault, ...],
    ) -> None:
        """The sum grew with the number of entries, or most of the limit was idle."""
        scenario = LimitScenario(
            "test",
            limit_per_s=limit_per_s,
            entries=entries,
            uneven=uneven,
            faults=faults,
        )
        outcome = run_virtual(LimitFleet(scenario, seed=1).run())
        self.assertLessEqual(outcome.worst, 1.0)
        self.assertGreaterEqual(outcome.used, USED_SHARE)

    def test_without_messages_told_entries_keep_the_limit(self) -> None:
        """Entries that could not ask an owner sent as they liked."""
        scenario = LimitScenario("test", entries=76, faults=(LimitFault.NO_MESSAGES,))
        self.assertLessEqual(run_virtual(LimitFleet(scenario, seed=1).run()).worst, 1.0)

    def test_entries_that_ignore_limits_exceed_them(self) -> None:
        """The model did not show what it is meant to show."""
        scenario = LimitScenario("test", reads_limits=False)
        self.assertGreater(run_virtual(LimitFleet(scenario, seed=1).run()).worst, 1.0)
