"""Fleets of real keepers in modelled time: what loads leave of prepaid totals."""

import logging
import unittest

from nose2.tools import params

from celerytrack.lab.prepaid_fleet import PrepaidFleet
from celerytrack.lab.prepaid_scenarios import (
    TWO_CUTS_THEN_POWER,
    Fault,
    FaultKind,
    Scenario,
)
from celerytrack.lab.virtual_time import run_virtual

SEED = 1


class LoadTest(unittest.TestCase):
    """Each row replays a load that once cost paid tokens; nothing is overspent."""

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @params(
        # Symptom: a quarter of what was paid for was refused, as long as the store
        # was slow. Sequence: an append takes 0.2 s, one in ten is not answered;
        # rows come each 0.3 to 0.9 s, and each brings 0.3 s of spend in hand.
        # Cause: the hand and the wait for a row took the store to be quick.
        (Scenario("late", late_append_s=0.2, lost_share=0.1), 0.85, 0.11),
        # Symptom: 4 % of totals were gone after one entry lost power for 3 s.
        # Sequence: it starts anew and counts all it had claimed as spent.
        # Cause: nobody told it how old its last row was.
        (
            Scenario("one", faults=(Fault(FaultKind.POWER, 12.0, 3.0, 0.1),)),
            0.965,
            0.04,
        ),
        # Two long cuts of all and a loss of power of all: the bound that any
        # change of claims, hands and paces must keep.
        (Scenario("cuts", faults=TWO_CUTS_THEN_POWER), 0.90, 0.16),
    )
    def test_what_was_paid_for_is_delivered(self, scenario, least, most_refused):
        outcome = run_virtual(PrepaidFleet(scenario, SEED).run())
        self.assertEqual(outcome.overspent_tokens, 0)
        self.assertGreater(outcome.delivered_share, least)
        self.assertLess(outcome.refused_share, most_refused)
