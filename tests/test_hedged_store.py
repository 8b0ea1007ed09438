"""Calls to the store whose answers are lost, slow or never come."""

import asyncio
import time
import unittest

from nose2.tools import params
from returns.result import Failure, Result, Success

from celerytrack.gateway.hedged_store import HedgedStore
from celerytrack.platform.log_format import Batch
from celerytrack.platform.store import StoreError, StoreErrorKind, Writer

LIMIT_S = 0.4
ANSWER = Success(Batch((), 5, 5))
REFUSED = Failure(StoreError(StoreErrorKind.REFUSED, "503"))
SILENCE = Failure(StoreError(StoreErrorKind.UNREACHABLE, "no answer"))


class _Store:
    """Answers its calls in turn as it is told; all after the last as the last.

    :param answers: of each call how long it takes, and what it answers.
    """

    def __init__(self, *answers: tuple[float, Result]) -> None:
        self.answers = list(answers)
        self.calls = 0
        self.arrives = False

    async def read(self, topic, offset, wait_s=0.0, arriving=None) -> Result:
        takes_s, answer = self.answers[min(self.calls, len(self.answers) - 1)]
        self.calls += 1
        if self.arrives and arriving is not None:
            arriving.set()
        await asyncio.sleep(takes_s)
        return answer

    async def append(self, topic, key, value, writer) -> Result:
        answer = await self.read(topic, 0)
        return answer.map(lambda batch: batch.end)


QUICK, LOST, SLOW = (0.004, ANSWER), (LIMIT_S, SILENCE), (0.15, ANSWER)


class LostAnswerTest(unittest.TestCase):
    """Symptom: for 5 s, in which the store lost a quarter of its answers, a fifth of an
    account's requests were refused, though the account had 0.9 of its total left.
    Sequence: a row is on the log and its answer lost; the entry waits for 0.7 s, and
    for 0.2 s more before it asks again; until then it has what the row before it left.
    Cause: nothing but the call's time limit told it that no answer would come.

        1.63 s  refused reason=tokens_elsewhere rows_age_ms=231
        2.13 s  row_not_written kind=unreachable
    """

    @params(
        # answers of the store, calls made, least and most time taken, what is answered
        ([QUICK], 1, 0.0, 0.04, ANSWER),
        ([LOST, QUICK], 2, 0.04, 0.15, ANSWER),
        # Both are lost: the call's limit decides, no third is made.
        ([LOST, LOST, QUICK], 2, LIMIT_S * 0.9, LIMIT_S + 0.3, SILENCE),
        # The first comes after all: whichever is sooner counts.
        ([SLOW, LOST], 2, 0.14, 0.25, ANSWER),
        # A refusal is an answer.
        ([(0.004, REFUSED)], 1, 0.0, 0.04, REFUSED),
    )
    def test_a_call_is_made_again(self, answers, calls, least_s, most_s, result):
        store = _Store(*answers)
        started_s = time.monotonic()
        got = asyncio.run(HedgedStore(store).read("t", 0))
        took_s = time.monotonic() - started_s
        self.assertEqual(got, result)
        self.assertEqual(store.calls, calls)
        self.assertGreaterEqual(took_s, least_s)
        self.assertLess(took_s, most_s)

    def test_an_append_is_repeated_under_its_number(self):
        store = _Store(LOST, QUICK)
        writer = Writer("w", 1, 0)
        got = asyncio.run(HedgedStore(store).append("t", "k", b"v", writer))
        self.assertEqual(got, Success(5))


class NotTwiceTest(unittest.TestCase):
    """A second call must not double the load of a store that is slow or away."""

    @params(
        # the store's answers, calls it gets in 12
        ([SLOW], 18),
        ([LOST], 13),
    )
    def test_calls_are_few(self, answers, most_calls):
        store = _Store(*answers)

        async def twelve() -> None:
            hedged = HedgedStore(store)
            for _ in range(12):
                await hedged.read("t", 0)

        asyncio.run(twelve())
        self.assertLessEqual(store.calls, most_calls)

    def test_an_answer_that_is_arriving_is_not_asked_for_again(self):
        store = _Store((0.3, ANSWER))
        store.arrives = True
        self.assertEqual(asyncio.run(HedgedStore(store).read("t", 0)), ANSWER)
        self.assertEqual(store.calls, 1)

    def test_a_call_that_the_store_may_hold_is_made_once(self):
        store = _Store(SLOW)
        asyncio.run(HedgedStore(store).read("t", 0, wait_s=1.0))
        self.assertEqual(store.calls, 1)
