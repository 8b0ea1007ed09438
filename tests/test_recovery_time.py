"""Recovery of a modelled fleet after an outage of the log."""

import unittest

from nose2.tools import params

from celerytrack.lab.recovery_time import (
    SampledRequest,
    most_writes_per_s,
    normal_again_s,
)

BACK_S, ENDS_S = 10.0, 14.0
SENT_S = [i / 8 for i in range(8 * int(ENDS_S))]
USUAL = [SampledRequest(at_s, True) for at_s in SENT_S]


class NormalAgainTest(unittest.TestCase):
    @params(
        # begin and end of the failure, time until service is normal
        (BACK_S, BACK_S, 0.0),
        (BACK_S, BACK_S + 1.0, 1.0),
        (BACK_S - 3.0, BACK_S + 0.5, 0.5),
        # Service that is normal for less than a second doesn't count.
        (BACK_S + 0.5, BACK_S + 2.0, 2.0),
        (BACK_S, ENDS_S, ENDS_S - BACK_S),
    )
    def test_service_counts_as_normal_after_a_normal_second(
        self, from_s, to_s, after_s
    ):
        played = [SampledRequest(at_s, not from_s <= at_s < to_s) for at_s in SENT_S]
        self.assertEqual(normal_again_s(played, USUAL, BACK_S, ENDS_S), after_s)


class WritesTest(unittest.TestCase):
    @params(
        ([], 0),
        ([9.9], 0),
        ([10.0, 10.5, 10.9, 11.0], 3),
        ([10.0, 12.0, 12.1, 12.9, 13.5], 3),
        ([15.5, 15.6], 0),
    )
    def test_the_peak_of_writes_within_one_second(self, writes_s, peak):
        self.assertEqual(most_writes_per_s(writes_s, BACK_S), peak)


if __name__ == "__main__":
    unittest.main()
