"""Answers without length whose endpoint's process is killed."""

import asyncio
import unittest

from tests.gateway_fleet import Fleet
from tests.raw_endpoints import (
    RawAnswer,
    RawEndpoint,
    RawRequest,
    answer_head,
    ask_raw,
    event,
)

CUT_AFTER = 3
EVENTS = 6
READ_S = 0.1


class KilledEndpoint(RawEndpoint):
    """An endpoint that ends in a stream as a killed process does: its listener first,
    then its connections, by FIN."""

    def __init__(self, name: str) -> None:
        super().__init__(name, self._stream)

    async def start(self) -> "KilledEndpoint":  # type: ignore[override]
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        return self

    async def cleanup(self) -> None:
        self._server.close()

    async def _stream(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        begun = b"".join(event(number) for number in range(1, CUT_AFTER + 1))
        writer.write(answer_head(request) + begun)
        await writer.drain()
        await asyncio.sleep(READ_S)
        self._server.close()


class KilledEndpointTest(unittest.TestCase):
    def test_a_stream_of_a_killed_process_does_not_look_complete(self) -> None:
        """The kernel ends the connections of a killed process with FIN, the end of an
        answer without length: callers got three of six events as a whole stream."""
        answer = asyncio.run(_ask_killed("/stream/x"))
        self.assertEqual(answer.body.count(b"id: "), CUT_AFTER)
        self.assertFalse(answer.whole)

    def test_a_plain_answer_of_a_killed_process_does_not_look_complete(self) -> None:
        answer = asyncio.run(_ask_killed("/once/x"))
        self.assertEqual(answer.status, 502)

    def test_a_resumable_stream_of_a_killed_process_goes_on_elsewhere(self) -> None:
        answer = asyncio.run(_ask_killed("/resume/x", sound=True))
        self.assertEqual(answer.body.count(b"id: "), EVENTS)
        self.assertTrue(answer.whole)

    def test_an_answer_of_a_process_that_lives_is_complete(self) -> None:
        answer = asyncio.run(_ask_sound())
        self.assertEqual(answer.body.count(b"id: "), EVENTS)
        self.assertTrue(answer.whole)


async def _go_on(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    after = int(request.header("Last-Event-Id") or 0)
    rest = b"".join(event(number) for number in range(after + 1, EVENTS + 1))
    writer.write(answer_head(request) + rest)


async def _ask_killed(path: str, sound: bool = False) -> RawAnswer:
    others = [RawEndpoint("i-1", _go_on)] if sound else []
    async with Fleet(KilledEndpoint("i-0"), *others) as fleet:
        return await ask_raw(fleet, path, "r1")


async def _ask_sound() -> RawAnswer:
    async with Fleet(RawEndpoint("i-0", _go_on)) as fleet:
        return await ask_raw(fleet, "/stream/x", "r1")
