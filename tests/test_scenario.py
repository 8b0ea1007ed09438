"""Tests of the language for failure scenarios."""

import unittest

from celerytrack.entry.admission import request_id_for
from celerytrack.load.caller import Outcome, Result
from tests.scenario import Scenario


class ExpectTest(unittest.TestCase):
    def test_an_unmet_expectation_lists_the_requests_not_done(self):
        """Guards against a failure that gives a wrong count but not the answer to the
        request that is missing."""
        scenario = Scenario()
        scenario.results = [
            Result("job", "a", Outcome.DONE, key="k1"),
            Result("job", "a", Outcome.CUT, reason="upstream_cut", key="k2"),
        ]
        scenario._expect(["done", "==", "2"], 7)
        self.assertIn("line 7: done = 1, expected == 2", scenario.failures[0])
        rid = request_id_for("a", "k2")
        self.assertIn(f"k2 {rid} cut upstream_cut", scenario.failures[0])
        self.assertNotIn("k1", scenario.failures[0])
