"""Streams that go on at a second endpoint, whose answer is no part of a stream."""

import asyncio
import unittest

from nose2.tools import params

from tests.gateway_fleet import Fleet
from tests.raw_endpoints import (
    RawAnswer,
    RawEndpoint,
    RawRequest,
    RawScript,
    answer_head,
    ask_raw,
    event,
)

BEGUN = event(1) + event(2)


def _second(status: str, body: bytes, *headers: str) -> RawScript:
    """Begin each stream and break off inside an event; answer each that goes on."""

    async def script(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if request.header("Last-Event-Id") is None:
            writer.write(answer_head(request) + BEGUN + b"id: 3\nda")
            return
        length = () if status.startswith(("204", "304")) else (len(body),)
        lines = [f"Content-Length: {size}" for size in length]
        writer.write(answer_head(request, status, *lines, *headers) + body)

    return script


async def _play(script: RawScript) -> tuple[RawAnswer, int]:
    """The answer to one stream, and how often it was sent to an endpoint."""
    endpoints = [RawEndpoint(f"i-{n}", script) for n in range(2)]
    async with Fleet(*endpoints) as fleet:
        answer = await ask_raw(fleet, "/resume/x", "r1")
        # A check of an endpoint's health is no sending of the stream.
        ids = [r.request_id for endpoint in endpoints for r in endpoint.requests]
        return answer, ids.count("r1")


class SecondAnswerTest(unittest.TestCase):
    @params(
        ("404 Not Found", b"no such thing"),
        ("404 Not Found", b""),
        ("429 Too Many Requests", b"later"),
        ("500 Internal Server Error", b"failed"),
        ("500 Internal Server Error", b""),
        ("500 Internal Server Error", b"x" * 100_000),
        ("503 Service Unavailable", b"full"),
        ("503 Service Unavailable", b"full", "X-Not-Executed: 1"),
        ("204 No Content", b""),
        ("301 Moved Permanently", b"", "Location: /elsewhere"),
        ("201 Created", b"made"),
        ("206 Partial Content", event(3)),
        ("304 Not Modified", b""),
        ("200 OK", b"no stream"),
        ("200 OK", b""),
        ("200 OK", event(1) + event(2) + event(3)),
        ("200 OK", event(2) + event(3)),
    )
    def test_a_second_answer_is_not_written_into_a_stream(
        self, status: str, body: bytes, *headers: str
    ) -> None:
        """The status line of a second endpoint's answer stood where the caller expected
        the size of a chunk."""
        answer, sent = asyncio.run(_play(_second(status, body, *headers)))
        self.assertEqual((answer.status, answer.body, sent), (200, BEGUN, 2))
        self.assertFalse(answer.whole)
        self.assertEqual(answer.rest, b"")

    @params(event(3) + event(4), event(3), event(30), event(4) + event(5) + event(7))
    def test_a_stream_that_goes_on_is_whole(self, rest: bytes) -> None:
        answer, _ = asyncio.run(_play(_second("200 OK", rest)))
        self.assertEqual(answer.body, BEGUN + rest)
        self.assertTrue(answer.whole)
