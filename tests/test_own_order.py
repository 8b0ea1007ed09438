"""Engines before the own interface that repeat themselves within one answer."""

import asyncio
import re
import unittest

from aiohttp import web
from nose2.tools import params

from celerytrack.sse import DONE_EVENT
from celerytrack.standins.engine import _chunk
from tests.own_cut_fleet import KEY, OwnCutFleet

TOKENS = 8
CALLS = 6
PROMPT = "one prompt"


class _RepeatingFleet(OwnCutFleet):
    """A fleet whose first engine writes the tokens of ``order`` and then ends.

    :param order: the last token of each event; ``None`` for a sound engine.
    :ivar repeated: answers that the first engine wrote.
    """

    def __init__(self, order: list[int] | None) -> None:
        super().__init__(1, engines=2, services=0)
        self._order = order
        self.repeated = 0

    def _replica(self, replica_id: str) -> web.Application:
        app = super()._replica(replica_id)
        if replica_id == "engine-0" and self._order is not None:
            app.middlewares.append(self._repeat)
        return app

    @web.middleware
    async def _repeat(self, request: web.Request, handler) -> web.StreamResponse:
        if not request.path.endswith("completions"):
            return await handler(request)
        body = await request.json()
        rid, start = request.headers["X-Request-Id"], body["resume_from"]
        self.repeated += 1
        answer = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await answer.prepare(request)
        for last in self._order or ():
            if last > start or start == 0:
                event = _chunk(rid, body["model"], "", last - 1, last, TOKENS)
                await answer.write(event)
        await answer.write(DONE_EVENT)
        return answer

    async def ask(self, number: int) -> bytes:
        address = self.settings.entries[0].address
        headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": f"k{number}"}
        url = f"http://{address}/v1/chat/completions"
        message = {"role": "user", "content": PROMPT}
        body = {"model": "story", "max_tokens": TOKENS, "messages": [message]}
        async with self.http.post(url, json=body, headers=headers) as answer:
            return await answer.read()

    @property
    def billed_tokens(self) -> float:
        return self.entries[0].metrics.billed_tokens._value.get()


class OwnOrderTest(unittest.TestCase):
    @params(
        ([1, 1, 2, 2, 3, 3, 4, 4, 5, 5, 6, 6, 7, 7, 8, 8],),
        ([1, 2, 3, 4, 2, 3, 4, 5, 6, 7, 8],),
        ([1, 2, 3, 4, 2, 5, 6, 7, 8],),
    )
    def test_callers_get_each_token_once(self, order: list[int]) -> None:
        """An engine repeated events within one answer; callers got, and repeats of
        their requests too, an answer whose tokens went back."""
        sound = asyncio.run(self._play(None))
        self.assertEqual(asyncio.run(self._play(order)), sound)

    async def _play(self, order: list[int] | None) -> float:
        async with _RepeatingFleet(order) as fleet:
            for number in range(CALLS):
                answer = await fleet.ask(number)
                counts = re.findall(rb'"completion_tokens": (\d+)', answer)
                numbers = [int(count) for count in counts]
                self.assertEqual(numbers, list(range(1, TOKENS + 1)))
                self.assertTrue(answer.endswith(DONE_EVENT))
                self.assertEqual(await fleet.ask(number), answer)
            self.assertEqual(fleet.repeated > 0, order is not None)
            return fleet.billed_tokens

    def test_an_answer_with_a_late_token_is_not_whole(self) -> None:
        """Two events of an engine changed places; callers got both, in an answer that
        looked whole."""
        asyncio.run(self._play_late())

    async def _play_late(self) -> None:
        async with _RepeatingFleet([1, 2, 4, 3, 5, 6, 7, 8]) as fleet:
            answers = [await fleet.ask(number) for number in range(CALLS)]
            late = [answer for answer in answers if DONE_EVENT not in answer]
            self.assertTrue(late)
            self.assertEqual(len(late), fleet.repeated)
            for answer in late:
                self.assertIn(b'"verdict": "may_have_run"', answer)
                self.assertNotIn(b'"completion_tokens": 3}', answer)


if __name__ == "__main__":
    unittest.main()
