"""Replicas before the own interface whose answers have no end."""

import asyncio
import unittest

from aiohttp import web
from nose2.tools import params

from tests.own_cut_fleet import OwnCutFleet
from tests.test_endless_answers import MEMORY_MB, PIECE, memory_kb

REQUESTS = 30
WITHIN_S = 6.0


class _EndlessFleet(OwnCutFleet):
    """A fleet whose first engine and first service answer without end."""

    def _replica(self, replica_id: str) -> web.Application:
        app = super()._replica(replica_id)
        if replica_id.endswith("-0"):
            app.middlewares.append(_answer_without_end)
        return app


@web.middleware
async def _answer_without_end(request: web.Request, handler) -> web.StreamResponse:
    if request.method != "POST":
        return await handler(request)
    await request.read()
    answer = web.StreamResponse(headers={"Content-Type": "application/json"})
    await answer.prepare(request)
    try:
        while True:
            await answer.write(PIECE)
    except ConnectionError:
        return answer


class OwnEndlessAnswerTest(unittest.TestCase):
    @params("story", "lookup")
    def test_an_answer_without_end_is_cut_off(self, work_class: str) -> None:
        """One faulty replica filled the memory of an entry."""
        statuses, memory_mb = asyncio.run(_play(work_class))
        self.assertEqual(set(statuses) - {200, 502, 503}, set())
        self.assertGreater(statuses.count(200), 0.5 * REQUESTS)
        self.assertLess(memory_mb, MEMORY_MB)


async def _play(work_class: str) -> tuple[list[int], float]:
    async with _EndlessFleet(1, engines=3, services=3) as fleet:
        before_kb = most_kb = memory_kb()
        calls = [
            asyncio.create_task(fleet.call(0, work_class, number))
            for number in range(REQUESTS)
        ]
        async with asyncio.timeout(WITHIN_S):
            while not all(call.done() for call in calls):
                await asyncio.sleep(0.02)
                most_kb = max(most_kb, memory_kb())
        return [call.result() for call in calls], (most_kb - before_kb) / 1_024
