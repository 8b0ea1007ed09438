"""Tests of the list of known failures: which failures it excuses."""

import unittest

from nose2.tools import params

from tests.known_red import judge

OUTPUT = """\
test_a (tests.test_x.T.test_a) ... FAIL
FAIL: test_a (tests.test_x.T.test_a)
FAIL: test_b (tests.test_x.T.test_b:2
'row of a table')
ERROR: test_c (tests.test_y.T.test_c)
FAIL: test_d:3
'a.scn' (tests.test_z.T.test_d:3
'a.scn')
"""


class KnownRedTest(unittest.TestCase):
    @params(
        # the list, number of failures passed over
        ("", 0),
        ("tests.test_x.T.test_a: seed 1; seen; issue 1\n", 1),
        ("tests.test_x.T.test_b:2: x\ntests.test_y.T.test_c: x\n", 2),
        ("tests.test_z.T.test_d:3: parameters before the id\n", 1),
        ("tests.test_z.T.test_d:2: another row of it\n", 0),
        ("tests.test_x.T.test_b:1: another row of the table\n", 0),
        ("tests.test_x.T.test_b: the table, without a row\n", 0),
        ("tests.test_x.T: x\n", 0),
        ("# tests.test_x.T.test_a: mended\n", 0),
    )
    def test_only_what_is_listed_is_passed_over(self, listed, known):
        lines, counted = judge(OUTPUT, listed)
        self.assertEqual(counted, known)
        self.assertEqual(sum("passed over" in line for line in lines), known)

    def test_a_listed_test_that_passes_is_reported(self):
        lines, known = judge("", "tests.test_x.T.test_a: x\n")
        self.assertEqual(
            lines, ["known red, but it did not fail: tests.test_x.T.test_a"]
        )
        self.assertEqual(known, 0)
