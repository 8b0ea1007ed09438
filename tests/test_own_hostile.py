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


class OwnHostileRequestTest(unittest.TestCase):
    def test_half_a_surrogate_pair_in_a_prompt_ends_no_entry(self) -> None:
        """A client cut a text inside an emoji, and its chat ended one entry after
        another."""
        asyncio.run(self._play_half_a_pair())

    async def _play_half_a_pair(self) -> None:
        async with OwnCutFleet(1) as fleet:
            await _post(fleet, _chat(LONG + HALF_PAIR + LONG))
            self.assertEqual(await _post(fleet, _chat(LONG)), 200)
