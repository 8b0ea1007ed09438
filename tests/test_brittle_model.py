"""Fleets of 9, 76 and 195 entries before brittle endpoints, in modelled time."""

import logging
import unittest

from nose2.tools import params

from celerytrack.lab.brittle_fleet import BrittleFleet, BrittleScenario
from celerytrack.lab.limit_scenarios import LimitFault
from celerytrack.lab.virtual_time import run_virtual

LEAST_USED = 0.6
"""Least part of the room that must be used while entries come and go."""


class BrittleModelTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @params(
        (BrittleScenario("kills", faults=(LimitFault.KILLS,)), 1),
        (BrittleScenario("long", 2, running=2, run_range_s=(1.4, 1.6)), 1),
        (BrittleScenario("bursts", demand=0.6, bursts=True, entries=76), 1),
        (BrittleScenario("cut", entries=76, faults=(LimitFault.THIRD_ISOLATED,)), 1),
        (BrittleScenario("stops", entries=195, faults=(LimitFault.STOPS,)), 1),
        (
            BrittleScenario(
                "kills and bursts",
                entries=195,
                demand=0.6,
                bursts=True,
                faults=(LimitFault.KILLS,),
            ),
            3,
        ),
    )
    def test_brittle_endpoints_stay_up_and_are_used(
        self, scenario: BrittleScenario, seed: int
    ) -> None:
        """Rejections grew with the number of entries, or as owners changed, or most of
        the room was idle."""
        outcome = run_virtual(BrittleFleet(scenario, seed).run())
        self.assertLessEqual(outcome.falls, scenario.falls_allowed, outcome)
        self.assertGreaterEqual(outcome.used, LEAST_USED, outcome)
