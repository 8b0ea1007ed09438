"""Malformed requests of callers before an entry of the own interface."""

import asyncio
import json
import unittest

from nose2.tools import params

from tests.own_cut_fleet import KEY, OwnCutFleet

CHAT_PATH = "/v1/chat/completions"
HALF_PAIR = b"\\ud83d"
LONG = b"x" * 300


def _chat(content: bytes) -> bytes:
    """The body of a chat whose only message is ``content``, as it stands in JSON."""
    messages = b'[{"role": "user", "content": "' + content + b'"}]'
    return b'{"model": "story", "max_tokens": 4, "messages": ' + messages + b"}"


async def _post(fleet: OwnCutFleet, body: bytes) -> int:
    status, _ = await _ask(fleet, body, b"")
    return status


async def _ask(fleet: OwnCutFleet, body: bytes, header: bytes) -> tuple[int, bytes]:
    """Send a chat on a connection of its own; returns its status and its answer."""
    host, port = fleet.settings.entries[0].address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [
        f"POST {CHAT_PATH} HTTP/1.1".encode(),
        b"Host: h",
        b"Authorization: Bearer " + KEY.encode(),
        b"Content-Length: %d" % len(body),
        b"Connection: close",
        header or b"Content-Type: application/json",
    ]
    writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
    data = await reader.read(-1)
    writer.close()
    return int(data.split()[1]), data.partition(b"\r\n\r\n")[2]


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

    @params(
        (b"{",),
        (b"",),
        (b"[]",),
        (b"[" * 50_000,),
        (b'{"model": ' + b"[" * 50_000,),
        (b'{"model": "story", "max_tokens": ' + b"9" * 5_000 + b"}",),
        (b'{"model": "story", "max_tokens": true, "messages": []}',),
        (b'{"model": "story", "messages": "a text"}',),
        (b'{"model": "story", "messages": [1, 2]}',),
        (b'{"model": "story", "messages": {}}',),
        (b'{"model": "story\xff"}',),
        (_chat(b"hi").decode().encode("utf-16"),),
        (_chat(b"hi"), b"Idempotency-Key: \xff"),
        (_chat(b"hi"), b"Content-Encoding: gzip"),
        (_chat(b"hi"), b"Content-Encoding: deflate"),
    )
    def test_a_malformed_chat_is_refused_by_name(
        self, body: bytes, header: bytes = b""
    ) -> None:
        """It got a bare 500, and its caller couldn't know whether it had run."""
        status, answer = asyncio.run(self._play_malformed(body, header))
        self.assertEqual(status, 400)
        error = json.loads(answer)["error"]
        self.assertEqual(error["reason"], "bad_request")
        self.assertEqual(error["verdict"], "did_not_run")
        self.assertLess(len(error["detail"]), 300)

    async def _play_malformed(self, body: bytes, header: bytes) -> tuple[int, bytes]:
        async with OwnCutFleet(1, engines=1, services=1) as fleet:
            return await _ask(fleet, body, header)

    @params(
        (_chat(HALF_PAIR), b""),
        (_chat(b"hi"), b"Content-Type: application/json; charset=\xff"),
        (_chat(b"hi"), b"Content-Type: application/json; charset=nonsense"),
    )
    def test_an_odd_chat_that_can_be_read_is_served(
        self, body: bytes, header: bytes
    ) -> None:
        status, answer = asyncio.run(self._play_malformed(body, header))
        self.assertEqual(status, 200)
        self.assertIn(b"[DONE]", answer)
