"""Which prompts engines read first, and how long each waits."""

import unittest

from nose2.tools import params

from celerytrack.prefill import PromptSize, prefill_s, size_of, urgency


class PrefillTest(unittest.TestCase):
    def test_a_long_prompt_takes_more_than_its_tokens(self):
        self.assertGreater(
            prefill_s(50_000, 50_000), 1.2 * 10 * prefill_s(5_000, 5_000)
        )

    def test_what_is_kept_need_not_be_read(self):
        self.assertLess(prefill_s(600, 6_000), prefill_s(6_000, 6_000) / 5)


class UrgencyTest(unittest.TestCase):
    @params(
        # rank and work of the one that goes first, and of the other
        (0, 0.02, 2, 0.02),
        (2, 0.02, 1, 0.3),
        (2, 0.3, 0, 1.2),
        (1, 0.3, 2, 0.3),
        (7, 0.02, 0, 0.2),
    )
    def test_shorter_first_then_rank(self, rank, work_s, other_rank, other_work_s):
        self.assertLess(
            urgency(rank, work_s, 0.3), urgency(other_rank, other_work_s, 0.3)
        )

    @params((-1, 0.0), (0, 0.0), (99, 9.0))
    def test_in_range(self, rank, work_s):
        self.assertIn(urgency(rank, work_s, 0.3), range(10))
        self.assertIn(urgency(rank, work_s, 9.0), range(10))


class BurstTest(unittest.TestCase):
    """Symptom: a quarter of the short prompts of a busy second came late.

    Sequence: a burst of long prompts keeps every engine reading for 0.3 to 0.9 s;
    short ones wait behind them wherever they are sent.
    Cause: prompts were read in the order of their routes' ranks, whatever
    their length, and the ranks put long ones before short ones.
    """

    burst = ((1, 0.9), (1, 0.3), (2, 0.02), (1, 0.25), (2, 0.03), (0, 0.02), (2, 0.04))
    target_s = 0.3

    def _on_time(self, order) -> int:
        """Prompts shorter than the target that are read within it."""
        at_s, on_time = 0.0, 0
        for _, work_s in order:
            at_s += work_s
            on_time += work_s < self.target_s and at_s <= self.target_s
        return on_time

    def test_more_first_tokens_in_time(self):
        by_rank = sorted(self.burst, key=lambda p: p[0])
        by_urgency = sorted(self.burst, key=lambda p: urgency(*p, self.target_s))
        self.assertEqual(self._on_time(by_rank), 1)
        self.assertEqual(self._on_time(by_urgency), 4)


class PatientTest(unittest.TestCase):
    """Symptom: one in six long prompts had its first token late, on days on which
    no other request did.

    Sequence: long prompts have 0.6 s to their first token, short ones of other
    routes 1.2 and 1.5 s; an engine that has both waiting reads all the short ones
    first. Cause: size went before the time that there is.
    """

    waiting = ((0.6, 0.25, 0), (1.2, 0.06, 1), (1.5, 0.03, 2), (1.2, 0.09, 1))
    waiting += ((0.6, 0.2, 0), (1.5, 0.05, 2), (1.2, 0.08, 1))

    def _late(self, order) -> int:
        at_s, late = 0.0, 0
        for target_s, work_s, _ in order:
            at_s += work_s
            late += at_s > target_s
        return late

    def test_none_is_late(self):
        by_size = sorted(self.waiting, key=lambda p: p[1])
        by_urgency = sorted(self.waiting, key=lambda p: urgency(p[2], p[1], p[0]))
        self.assertEqual(self._late(by_size), 1)
        self.assertEqual(self._late(by_urgency), 0)


class SizeTest(unittest.TestCase):
    @params(
        (0.0, PromptSize.SHORT),
        (0.1, PromptSize.SHORT),
        (0.2, PromptSize.MEDIUM),
        (0.5, PromptSize.LONG),
    )
    def test_sizes(self, work_s, expected):
        self.assertIs(size_of(work_s), expected)
