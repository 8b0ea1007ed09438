"""Malformed requests of callers before an entry of the own interface."""

import asyncio
import unittest

from tests.own_cut_fleet import KEY, OwnCutFleet

CHAT_PATH = "/v1/chat/completions"
HALF_PAIR = b"\\ud83d"
LONG = b"x" * 300


def _chat(content: bytes) -> bytes:
    """The body of a chat whose only message is ``content``, as it stands in JSON."""
    messages = b'[{"role": "user", "content": "' + content + b'"}]'
    return b'{"model": "story", "max_tokens": 4, "messages": ' + messages + b"}"


async def _post(fleet: OwnCutFleet, body: bytes) -> int:
    url = f"http://{fleet.settings.entries[0].address}{CHAT_PATH}"
    headers = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
    async with fleet.http.post(url, data=body, headers=headers) as answer:
        await answer.read()
        return answer.status


async def _metrics(fleet: OwnCutFleet) -> tuple[int, bytes]:
    url = f"http://{fleet.settings.entries[0].address}/metrics"
    async with fleet.http.get(url) as answer:
        return answer.status, await answer.read()


class OwnHostileRequestTest(unittest.TestCase):
    def test_half_a_surrogate_pair_in_a_prompt_ends_no_entry(self) -> None:
        """A client cut a text inside an emoji, and its chat ended one entry after
        another."""
        asyncio.run(self._play_half_a_pair())

    async def _play_half_a_pair(self) -> None:
        async with OwnCutFleet(1) as fleet:
            await _post(fleet, _chat(LONG + HALF_PAIR + LONG))
            self.assertEqual(await _post(fleet, _chat(LONG)), 200)

    def test_names_of_classes_that_callers_invent_stay_out_of_the_metrics(self) -> None:
        """One of them was half a surrogate pair, and the metrics ended with 500; the
        others filled the memory."""
        asyncio.run(self._play_invented_names())

    async def _play_invented_names(self) -> None:
        async with OwnCutFleet(1) as fleet:
            for name in (b"invented", HALF_PAIR, b"n" * 100_000):
                body = b'{"model": "' + name + b'", "messages": []}'
                self.assertEqual(await _post(fleet, body), 404)
            status, text = await _metrics(fleet)
            self.assertEqual(status, 200)
            self.assertNotIn(b"invented", text)
            self.assertLess(len(text), 50_000)
