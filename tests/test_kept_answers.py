"""What answers of services hold of the process while they are read, and afterwards."""

import json
import time
import tracemalloc
import unittest

from nose2.tools import params

from celerytrack.bounded_connection import AnswerNotHeldError
from celerytrack.callers.account import HoldKind, MemoryAccount
from celerytrack.callers.answers import AnswerReading
from celerytrack.entry.answers import StoredAnswer

BUDGET_BYTES = 1_000_000
COUNT = 50_000


class KeptAnswerTest(unittest.TestCase):
    @params(
        [[] for _ in range(COUNT)],
        [{"k": i} for i in range(COUNT)],
        {"text": "x" * COUNT},
    )
    def test_a_stored_answer_takes_no_more_than_the_cache_counts(
        self, value: object
    ) -> None:
        """The cache counted an answer's text and kept thirty times as much."""
        text = json.dumps(value)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        stored = StoredAnswer("r", text=str(text.encode(), "ascii"))
        self.assertLess(tracemalloc.get_traced_memory()[0], stored.size_bytes + 4_096)

    def test_an_attempt_holds_nothing_of_the_one_before(self) -> None:
        """Each attempt of a call held its answer beside those that had failed."""
        account = MemoryAccount(BUDGET_BYTES)
        reading = AnswerReading(account, None)
        for count in (300_000, 200_000, 100_000):
            reading.begin(count)
            self.assertEqual(account.total_bytes, count)

    def test_the_answer_belongs_to_its_request(self) -> None:
        """A large request that was alone had its answer given up."""
        account = MemoryAccount(BUDGET_BYTES)
        now_s = time.monotonic()
        body = account.open(HoldKind.BODY, lambda: None, now_s)
        account.stop_waiting(body)
        account.grow(body, 2 * BUDGET_BYTES, now_s)
        AnswerReading(account, body).begin(BUDGET_BYTES)
        with self.assertRaises(AnswerNotHeldError):
            AnswerReading(account, None).begin(BUDGET_BYTES)


if __name__ == "__main__":
    unittest.main()
