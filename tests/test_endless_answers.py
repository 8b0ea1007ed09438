"""Endpoints whose answers have no end, in a head, a body or the framing of one."""

import asyncio
import itertools
import pathlib
import random
import resource
import time
import unittest
from collections import Counter

import aiohttp
import attrs
from nose2.tools import params

from celerytrack.answer_limits import (
    AnswerBytes,
    AnswerLimits,
    AnswerTooLargeError,
)
from celerytrack.streams import EventSplitter, OversizedEventError
from tests.gateway_fleet import Fleet
from tests.raw_endpoints import (
    RawEndpoint,
    RawRequest,
    RawScript,
    answer_head,
    chunk,
    event,
)

REQUESTS = 60
"""Requests at once; one endpoint in three is faulty."""
MEMORY_MB = 150
LOOP_LATE_S = 0.25
LASTS_S = 1.5
PIECE = b"x" * 65_536
WHOLE = event(1) + event(2)
CHUNKED = "Transfer-Encoding: chunked"


async def _sound(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    if request.path.startswith("/plain"):
        writer.write(answer_head(request, "200 OK", "Content-Length: 4") + b"good")
    else:
        body = chunk(WHOLE) + chunk(b"")
        writer.write(answer_head(request, "200 OK", CHUNKED) + body)


def _endless(begin: tuple[str, ...] | bytes, piece: bytes, pause_s: float) -> RawScript:
    """Write ``piece`` until the connection is closed.

    :param begin: the status and headers of a head, or bytes that are none.
    """

    async def script(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        head = begin if isinstance(begin, bytes) else answer_head(request, *begin)
        writer.write(head)
        until_s = time.monotonic() + 2 * LASTS_S
        while time.monotonic() < until_s:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(pause_s)

    return script


ENDLESS = {
    "error body": _endless(("500 Internal Server Error",), PIECE, 0.0),
    "error body of a great length": _endless(
        ("500 Internal Server Error", "Content-Length: 9999999999"), PIECE, 0.0
    ),
    "plain body": _endless(("200 OK",), PIECE, 0.0),
    "one event": _endless(("200 OK",), PIECE, 0.0),
    "size of a chunk": _endless(("200 OK", CHUNKED), b"0" * 4_096, 0.0),
    "extension of a chunk": _endless(("200 OK", CHUNKED), b"5;" + b"x" * 4_096, 0.0),
    "trailers": _endless(
        ("200 OK", CHUNKED), b"5\r\ngood!\r\n0\r\n" + b"X-T: y\r\n" * 512, 0.0
    ),
    "head": _endless(b"HTTP/1.1 200 OK\r\n", b"X-Y: z\r\n" * 512, 0.0),
    "line of a head": _endless(b"HTTP/1.1 200 OK\r\nX-Y: ", PIECE, 0.0),
    "head byte by byte": _endless(b"HTTP/1.1 200 OK\r\nX-Y: ", b"x", 0.02),
    "interim answers": _endless(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 64, 0.0),
}


@attrs.frozen
class _Played:
    outcomes: Counter[int]
    memory_mb: float
    late_s: float
    sent_to_faulty: int
    open_at_end: int


async def _play(script: RawScript, path: str, requests: int) -> _Played:
    """Send requests at once and a few a second after that; one endpoint in three
    answers without end."""
    faulty = RawEndpoint("i-0", script)
    sound = [RawEndpoint(f"i-{n}", _sound, keeps=True) for n in (1, 2)]
    outcomes: Counter[int] = Counter()
    async with Fleet(faulty, *sound) as fleet:
        before_kb = most_kb = memory_kb()
        late_s = 0.0
        numbers = itertools.count()

        async def ask() -> None:
            headers = {"X_Deadline_Ms": "2000"}
            try:
                status, _, body = await fleet.ask(path, f"r{next(numbers)}", **headers)
            except aiohttp.ClientError:
                outcomes[0] += 1
                return
            whole = body in (b"good", WHOLE) if status == 200 else True
            outcomes[status if whole else -1] += 1

        async def watch() -> None:
            nonlocal late_s, most_kb
            while True:
                due_s = time.monotonic() + 0.01
                await asyncio.sleep(0.01)
                late_s = max(late_s, time.monotonic() - due_s)
                most_kb = max(most_kb, memory_kb())

        watching = asyncio.create_task(watch())
        asked = [asyncio.create_task(ask()) for _ in range(requests)]
        until_s = time.monotonic() + LASTS_S
        while time.monotonic() < until_s:
            await asyncio.sleep(0.1)
            asked.append(asyncio.create_task(ask()))
        await asyncio.gather(*asked)
        watching.cancel()
        await asyncio.sleep(0.1)
        return _Played(
            outcomes,
            (most_kb - before_kb) / 1_024,
            late_s,
            len(faulty.requests),
            faulty.open,
        )


def memory_kb() -> int:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() // 1_024


class EndlessAnswerTest(unittest.TestCase):
    @params(*((name, path) for name in ENDLESS for path in ("/plain/x", "/resume/x")))
    def test_an_answer_without_end_is_cut_off(self, name: str, path: str) -> None:
        """One faulty endpoint filled the memory, or held requests to their deadline
        while others were idle."""
        played = asyncio.run(_play(ENDLESS[name], path, REQUESTS))
        self.assertEqual(set(played.outcomes) - {200, 502, 503}, set(), played)
        self.assertGreater(played.outcomes[200], 0.9 * played.outcomes.total(), played)
        self.assertLess(played.memory_mb, MEMORY_MB, played)
        self.assertLess(played.late_s, LOOP_LATE_S, played)
        self.assertEqual(played.open_at_end, 0, played)
        # It is avoided after its first few, which were sent at once.
        self.assertLess(played.sent_to_faulty, REQUESTS, played)


LIMITS = AnswerLimits(body_bytes=100, endpoint_bytes=60, event_bytes=10)


class AnswerBytesTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_size_of_an_answer_is_bounded(self) -> None:
        for count, fits in ((99, True), (100, True), (101, False)):
            await self._reserve_one(count, fits)

    async def _reserve_one(self, count: int, fits: bool) -> None:
        held = AnswerBytes(LIMITS)
        if not fits:
            with self.assertRaises(AnswerTooLargeError):
                await held.reserve("a", count)
            return
        await held.reserve("a", count)
        self.assertEqual(held.total, count)

    async def test_answers_that_do_not_fit_together_wait_for_the_oldest(self) -> None:
        """Answers that each waited for room that another held got no further."""
        held = AnswerBytes(LIMITS)
        await held.reserve("a", 30)
        await held.reserve("b", 30)
        waits = asyncio.create_task(held.reserve("b", 30))
        await held.reserve("a", 30)
        self.assertFalse(waits.done())
        held.release("a")
        await asyncio.wait_for(waits, 1.0)
        held.release("b")
        self.assertEqual(held.total, 0)


class EventSizeTest(unittest.TestCase):
    @params((8, True), (10, True), (11, False))
    def test_the_size_of_an_incomplete_event_is_bounded(
        self, size: int, fits: bool
    ) -> None:
        events = EventSplitter(max_event_bytes=LIMITS.event_bytes)
        if fits:
            self.assertIsNone(events.feed(b"x" * size))
        else:
            self.assertRaises(OversizedEventError, events.feed, b"x" * size)

    def test_events_are_the_same_however_their_bytes_come(self) -> None:
        data = b"".join(event(number) for number in range(40)) + b"id: 40\nda"
        rng = random.Random(5)
        for _ in range(200):
            events, out, at = EventSplitter(), b"", 0
            while at < len(data):
                size = rng.randint(1, 30)
                batch = events.feed(data[at : at + size])
                out += b"" if batch is None else batch.data
                at += size
            self.assertEqual((out, events.event_count), (data[:-9], 40))
            self.assertTrue(events.has_partial)
