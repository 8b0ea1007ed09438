"""Streams without length into which their endpoint writes another answer."""

import asyncio
import unittest

from nose2.tools import params

from celerytrack.streams import EventSplitter
from tests.gateway_fleet import Fleet
from tests.raw_endpoints import (
    RawAnswer,
    RawEndpoint,
    RawRequest,
    answer_head,
    ask_raw,
    event,
)

EVENTS = 6
PAUSE_S = 0.03


def _run(first: int, last: int) -> bytes:
    return b"".join(event(number) for number in range(first, last + 1))


ALL = _run(1, EVENTS)


async def _ask(path: str, begun: bytes, second: bytes, sound: int) -> RawAnswer:
    """Ask for a stream whose first answer is ``begun``, a head and ``second``.

    :param sound: further endpoints, which go on with it.
    """

    async def faulty(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(answer_head(request) + begun)
        await asyncio.sleep(PAUSE_S)
        writer.write(answer_head(request, "200 OK", "Content-Length: 9") + second)

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if request.header("Last-Event-Id") is None:
            await faulty(request, writer)
            return
        after = int(request.header("Last-Event-Id") or 0)
        rest = _run(after + 1, EVENTS)
        writer.write(answer_head(request, "200 OK", f"Content-Length: {len(rest)}"))
        writer.write(rest)

    script = answer if sound else faulty
    endpoints = [RawEndpoint(f"i-{n}", script) for n in range(1 + sound)]
    async with Fleet(*endpoints) as fleet:
        return await ask_raw(fleet, path, "r1")


class HeadInStreamTest(unittest.TestCase):
    @params(
        *(
            (path, begun, second)
            for path in ("/stream/x", "/resume/x")
            for begun in (ALL, _run(1, 3), _run(1, 3) + b"id: 4\nda")
            for second in (ALL, b"no stream", b"")
        )
    )
    def test_another_answer_is_no_part_of_a_stream(
        self, path: str, begun: bytes, second: bytes
    ) -> None:
        """The head of an answer that followed stood between the caller's events, and
        its end looked like theirs."""
        answer = asyncio.run(_ask(path, begun, second, sound=0))
        whole_events = begun[: begun.rindex(b"\n\n") + 2]
        self.assertEqual((answer.status, answer.body), (200, whole_events))
        self.assertFalse(answer.whole)

    @params(ALL, _run(1, 3), _run(1, 3) + b"id: 4\nda", _run(1, 3) + b"id: 4\ndata: ")
    def test_a_resumable_stream_goes_on_elsewhere(self, begun: bytes) -> None:
        answer = asyncio.run(_ask("/resume/x", begun, ALL, sound=1))
        self.assertEqual((answer.body, answer.whole), (ALL, True))


class TextLikeHeadTest(unittest.TestCase):
    @params(
        b"id: 1\ndata: HTTP/1.1 200 OK\n\n",
        b"id: 1\ndata: x\ndata: HTTP/1.1 200 OK\ndata: Content-Length: 3\n\n",
        b"id: 1\r\ndata: HTTP/1.1 200 OK\r\ndata: Content-Length: 3\r\n\r\n",
        b"id: 1\r\ndata: HTTP/1.1 200 OK\r\nevent: Head\r\n\r\n",
        b"data: HTTP/1.0 404 Not Found\n\n",
        b"id: 1\ndata: HTTP/1.\n\n",
        b": HTTP/1.1 200 OK\n\n",
    )
    def test_text_about_heads_is_passed_on(self, text: bytes) -> None:
        """A sound event that quotes a head was taken for one."""
        batch = EventSplitter().feed(text)
        self.assertEqual(batch and (batch.data, batch.disorder), (text, None))


if __name__ == "__main__":
    unittest.main()
