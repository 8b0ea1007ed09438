"""Streams whose endpoint repeats itself within one answer."""

import asyncio
import re
import unittest

from tests.gateway_fleet import Fleet
from tests.raw_endpoints import (
    RawAnswer,
    RawEndpoint,
    RawRequest,
    answer_head,
    ask_raw,
    chunk,
    event,
)

EVENTS = 6


def run(*numbers: int) -> bytes:
    """Events with these numbers."""
    return b"".join(event(number) for number in numbers)


def numbers_of(answer: RawAnswer) -> list[int]:
    """The ids of the events that the caller got."""
    return [int(text) for text in re.findall(rb"^id: (\d+)$", answer.body, re.M)]


async def ask_repeating(path: str, first: bytes) -> RawAnswer:
    """Ask for a stream whose first answer is ``first``; the next one goes on."""

    async def script(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        after = int(request.header("Last-Event-Id") or 0)
        begins = request.header("Last-Event-Id") is None
        body = first if begins else run(*range(after + 1, EVENTS + 1))
        head = answer_head(request, "200 OK", "Transfer-Encoding: chunked")
        writer.write(head + chunk(body) + b"0\r\n\r\n")

    endpoints = [RawEndpoint(f"i-{n}", script) for n in range(2)]
    async with Fleet(*endpoints) as fleet:
        return await ask_raw(fleet, path, "r1")


class RepeatedEventsTest(unittest.TestCase):
    def test_a_stream_that_goes_back_is_not_passed_on(self) -> None:
        """An endpoint began its run again in the same answer: a caller got 1 2 3 4 2 3
        4 5 6 and an end that looked complete."""
        answer = asyncio.run(ask_repeating("/resume/x", run(1, 2, 3, 4, 2, 3, 4, 5, 6)))
        self.assertEqual(numbers_of(answer), list(range(1, EVENTS + 1)))
        self.assertTrue(answer.whole)
