"""Fleets of 9, 76 and 195 entries of which some reach no endpoint, in modelled time."""

import logging
import unittest

from nose2.tools import params

from celerytrack.lab.cut_fleet import CutFleet
from celerytrack.lab.cut_scenarios import CutKind, CutScenario
from celerytrack.lab.virtual_time import run_virtual

THIRD = 1 / 3


class CutModelTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @params(
        (9, CutKind.HANG, THIRD, False, 0.01),
        (9, CutKind.RESET, 1.0, True, 0.01),
        (76, CutKind.HANG, 1.0, True, THIRD),
        (195, CutKind.RESET, THIRD, False, 0.01),
    )
    def test_callers_of_cut_entries_are_served_like_the_others(
        self, entries: int, kind: CutKind, share: float, spares_one: bool, lost: float
    ) -> None:
        """An entry without links refused what its neighbours had room for."""
        scenario = CutScenario(
            "test",
            entries=entries,
            kind=kind,
            cut_share=share,
            spares_one=spares_one,
            lost_share=lost,
            lasts_s=6.0,
        )
        outcome = run_virtual(CutFleet(scenario, 1).run())
        self.assertGreater(outcome.cut_calls, 20)
        self.assertFalse(outcome.is_broken, outcome)
        self.assertEqual(outcome.twice, 0)
        self.assertEqual(outcome.false_cuts, 0)
        self.assertLess(outcome.back_s, 1.0)

    def test_without_relays_they_are_not_served(self) -> None:
        """The model shows the fault that relays mend."""
        scenario = CutScenario("test", relays=False, lasts_s=6.0)
        self.assertTrue(run_virtual(CutFleet(scenario, 1).run()).is_broken)

    def test_nothing_is_taken_for_a_cut_that_is_none(self) -> None:
        """Entries with links sent their callers' requests round."""
        scenario = CutScenario("test", cut_share=0.0, lasts_s=6.0)
        outcome = run_virtual(CutFleet(scenario, 1).run())
        self.assertEqual((outcome.false_cuts, outcome.connections), (0, 0))
