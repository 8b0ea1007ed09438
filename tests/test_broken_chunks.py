"""Chunked streams that break off, at endpoints that live on."""

import asyncio
import itertools
import unittest

from nose2.tools import params

from tests.gateway_fleet import Fleet
from tests.raw_endpoints import (
    RawEndpoint,
    RawRequest,
    answer_head,
    ask_raw,
    chunk,
    event,
)

EVENTS = 10
BREAKS_AFTER = 5
BREAKS_EVERY = 4
STREAMS = 24
READ_S = 1.0
BREAKS = {
    "between chunks": b"",
    "inside a chunk": b"20\r\nid: 6",
    "inside an event": chunk(b"id: 6\nda"),
}


class _BreakingEndpoint(RawEndpoint):
    """An endpoint that breaks off some streams as they begin.

    :param answers: numbers the streams that begin at all endpoints.
    """

    def __init__(
        self, name: str, version: str, answers: "itertools.count[int]", how: str
    ) -> None:
        super().__init__(name, self._answer, keeps=True)
        self.version = version
        self._answers = answers
        self._broken = BREAKS[how]

    def registration(self, **fields: object) -> bytes:
        return super().registration(**{"version": self.version, **fields})

    async def _answer(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        begins = request.header("Last-Event-Id") is None
        breaks = begins and next(self._answers) % BREAKS_EVERY == BREAKS_EVERY - 1
        writer.write(answer_head(request, "200 OK", "Transfer-Encoding: chunked"))
        first = int(request.header("Last-Event-Id") or 0) + 1
        for number in range(first, EVENTS + 1):
            if breaks and number > BREAKS_AFTER:
                writer.write(self._broken)
                await writer.drain()
                raise ConnectionResetError("the answer breaks off")
            data = event(number).replace(b"data: t", b"data: " + self.version.encode())
            writer.write(chunk(data))
            await writer.drain()
            await asyncio.sleep(0.002)
        writer.write(chunk(b""))


class BrokenChunksTest(unittest.TestCase):
    @params(*itertools.product(BREAKS, (("v1",), ("v1", "v2")), (1, 6)))
    def test_a_stream_that_breaks_off_goes_on(
        self, how: str, versions: tuple[str, ...], at_once: int
    ) -> None:
        """The endpoint had cut another stream shortly before, or this was its last
        connection: it was in doubt for a tenth of a second, and the stream was cut."""
        whole, mixed = asyncio.run(_play(how, versions, at_once))
        self.assertEqual((whole, mixed), (STREAMS, 0))


async def _play(how: str, versions: tuple[str, ...], at_once: int) -> tuple[int, int]:
    """Streams that are whole, and those that hold events of two versions."""
    answers = itertools.count()
    endpoints = [
        _BreakingEndpoint(f"i-{version}-{n}", version, answers, how)
        for n in range(3)
        for version in versions
    ]
    whole = mixed = 0
    async with Fleet(*endpoints) as fleet:
        await asyncio.sleep(READ_S)
        for start in range(0, STREAMS, at_once):
            streams = range(start, start + at_once)
            answered = await asyncio.gather(
                *(ask_raw(fleet, "/resume/x", f"r{stream}") for stream in streams)
            )
            for answer in answered:
                found = {v for v in versions if v.encode() in answer.body}
                numbers = range(1, EVENTS + 1)
                all_there = all(b"id: %d\n" % n in answer.body for n in numbers)
                whole += answer.whole and all_there
                mixed += len(found) > 1
    return whole, mixed
