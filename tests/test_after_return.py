"""What runs of the modelled fleet come to after the log's return."""

import unittest

from nose2.tools import params

from celerytrack.lab.after_return import Owed, most_writes_per_s, normal_again_s

BACK_S, ENDS_S = 10.0, 14.0
SENT_S = [i / 8 for i in range(8 * int(ENDS_S))]
USUAL = [Owed(at_s, True) for at_s in SENT_S]


class NormalAgainTest(unittest.TestCase):
    @params(
        # from when to when nothing is served, after how long service is normal
        (BACK_S, BACK_S, 0.0),
        (BACK_S, BACK_S + 1.0, 1.0),
        (BACK_S - 3.0, BACK_S + 0.5, 0.5),
        # Normal for less than a second: not yet.
        (BACK_S + 0.5, BACK_S + 2.0, 2.0),
        (BACK_S, ENDS_S, ENDS_S - BACK_S),
    )
    def test_service_is_normal_when_it_stays_so(self, from_s, to_s, after_s):
        played = [Owed(at_s, not from_s <= at_s < to_s) for at_s in SENT_S]
        self.assertEqual(normal_again_s(played, USUAL, BACK_S, ENDS_S), after_s)


class WritesTest(unittest.TestCase):
    @params(
        ([], 0),
        ([9.9], 0),
        ([10.0, 10.5, 10.9, 11.0], 3),
        ([10.0, 12.0, 12.1, 12.9, 13.5], 3),
        ([15.5, 15.6], 0),
    )
    def test_the_most_within_a_second_soon_after(self, writes_s, most):
        self.assertEqual(most_writes_per_s(writes_s, BACK_S), most)


if __name__ == "__main__":
    unittest.main()
