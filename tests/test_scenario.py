"""The test language for failure scenarios."""

import unittest

from celerytrack.entry.admission import request_id_for
from celerytrack.load.caller import Outcome, Result
from tests.scenario import Scenario


class ExpectTest(unittest.TestCase):
    def test_a_broken_expect_tells_what_the_requests_got(self):
        """A count is one short, and nothing tells what that request got."""
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
