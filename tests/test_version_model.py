"""Fleets before a service that is upgraded, in modelled time."""

import logging
import unittest

import attrs
from nose2.tools import params

from celerytrack.lab.version_fleet import VersionFleet
from celerytrack.lab.version_scenarios import VersionScenario
from celerytrack.lab.virtual_time import run_virtual


class VersionModelTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @params(
        VersionScenario("upgrade", lost_share=0.1),
        VersionScenario("entries killed in turn", kills=True),
        VersionScenario("a third cut off", cut_share=1 / 3),
        VersionScenario("log away", log_away=True),
        VersionScenario("same ids", same_ids=True),
        VersionScenario("two endpoints left, busy", to_two=True, load_share=0.85),
        VersionScenario("one out of step", isolated=1),
        VersionScenario("three out of step", isolated=3),
        VersionScenario("upgrade", entries=76, kills=True),
        VersionScenario("upgrade", entries=195, lost_share=0.1),
    )
    def test_streams_keep_their_version_and_go_on(
        self, scenario: VersionScenario
    ) -> None:
        """Streams held events of two versions, or were refused though endpoints of
        their version served."""
        outcome = run_virtual(VersionFleet(scenario, 1).run())
        self.assertGreater(outcome.taken_up, 50)
        self.assertFalse(outcome.is_broken, attrs.evolve(outcome, sent_bytes=None))

    def test_without_pins_streams_are_mixed(self) -> None:
        """The model shows the fault that pins mend."""
        scenario = VersionScenario("upgrade", pins=False)
        self.assertTrue(run_virtual(VersionFleet(scenario, 1).run()).is_broken)

    def test_without_leases_entries_that_are_out_of_step_mix_streams(self) -> None:
        """The model shows the fault that leases mend."""
        scenario = VersionScenario("three out of step", isolated=3, leases=False)
        self.assertGreater(run_virtual(VersionFleet(scenario, 1).run()).mixed, 0)
