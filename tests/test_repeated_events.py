"""Streams whose endpoint repeats itself within one answer."""

import asyncio
import random
import re
import unittest

from nose2.tools import params

from celerytrack.event_order import Standing
from celerytrack.streams import EventSplitter
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


async def ask_repeating(path: str, first: bytes, endpoints: int = 2) -> RawAnswer:
    """Ask for a stream whose first answer is ``first``; the next one goes on."""

    async def script(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        after = int(request.header("Last-Event-Id") or 0)
        begins = request.header("Last-Event-Id") is None
        body = first if begins else run(*range(after + 1, EVENTS + 1))
        head = answer_head(request, "200 OK", "Transfer-Encoding: chunked")
        writer.write(head + chunk(body) + b"0\r\n\r\n")

    fleet_endpoints = [RawEndpoint(f"i-{n}", script) for n in range(endpoints)]
    async with Fleet(*fleet_endpoints) as fleet:
        return await ask_raw(fleet, path, "r1")


def other(*numbers: int) -> bytes:
    """Events of another run with these numbers."""
    return run(*numbers).replace(b"data: t", b"data: u")


class RepeatedEventsTest(unittest.TestCase):
    def test_a_stream_that_goes_back_is_not_passed_on(self) -> None:
        """An endpoint began its run again in the same answer: a caller got 1 2 3 4 2 3
        4 5 6 and an end that looked complete."""
        answer = asyncio.run(ask_repeating("/resume/x", run(1, 2, 3, 4, 2, 3, 4, 5, 6)))
        self.assertEqual(numbers_of(answer), list(range(1, EVENTS + 1)))
        self.assertTrue(answer.whole)

    @params("/stream/x", "/resume/x")
    def test_an_event_that_comes_again_is_passed_on_once(self, path: str) -> None:
        """Each event came twice, or some came again: callers got all of it."""
        for first in (
            run(1, 1, 2, 2, 3, 3, 4, 4, 5, 5, 6, 6),
            run(1, 2, 3, 4, 2, 5, 6),
            run(1, 2, 3, 4, 2, 3, 4, 5, 6),
            run(1, 2, 3, 4, 5, 6, 1, 2, 3, 4, 5, 6),
        ):
            answer = asyncio.run(ask_repeating(path, first, endpoints=1))
            self.assertEqual(numbers_of(answer), list(range(1, EVENTS + 1)), first)
            self.assertTrue(answer.whole)

    @params(
        run(1, 2, 3) + other(1, 2, 3, 4, 5, 6),
        run(1, 2, 3) + other(3, 4, 5, 6),
        run(1, 2, 3) + other(2) + run(4, 5, 6),
    )
    def test_another_run_is_not_joined_to_the_first(self, first: bytes) -> None:
        """An endpoint began another run in the same answer: its events followed those
        of the first."""
        answer = asyncio.run(ask_repeating("/stream/x", first))
        self.assertEqual((answer.body, answer.whole), (run(1, 2, 3), False))
        answer = asyncio.run(ask_repeating("/resume/x", first))
        self.assertEqual(answer.body, run(*range(1, EVENTS + 1)))
        self.assertTrue(answer.whole)

    @params("/stream/x", "/resume/x")
    def test_an_event_that_comes_too_late_ends_the_stream(self, path: str) -> None:
        """The caller got one after a later one."""
        for first, passed_on in (
            (run(1, 3, 2, 4, 5, 6), run(1, 3)),
            (run(2, 1, 3, 4, 5, 6), run(2)),
            (run(3, 4, 5, 1, 2, 6), run(3, 4, 5)),
        ):
            answer = asyncio.run(ask_repeating(path, first))
            self.assertEqual((answer.body, answer.whole), (passed_on, False))

    def test_the_first_events_of_a_connection_that_goes_on_change_places(self) -> None:
        """They were taken for a run of their own, and the caller lacked one."""
        events = EventSplitter()
        events.feed(run(1, 2, 3))
        events.resume("3")
        self.assertIsNone(events.feed(run(5)))
        batch = events.feed(run(4))
        self.assertEqual(batch and batch.data, run(4, 5))
        events = EventSplitter()
        events.resume("2")
        events.feed(run(4))
        batch = events.feed(run(3))
        standing = batch and batch.disorder and batch.disorder.standing
        self.assertIs(standing, Standing.LATE)

    @params(
        run(1, 2, 4, 3, 5, 6),
        run(1, 2, 3, 5, 4, 6),
        run(1, 2, 3, 4, 6, 5),
        run(1, 2, 3, 5, 2, 4, 6),
        run(1, 2, 5, 3, 4, 6),
    )
    def test_events_that_change_places_are_put_in_order(self, first: bytes) -> None:
        """The stream was cut, and the caller lacked an event for good."""
        for path in ("/stream/x", "/resume/x"):
            answer = asyncio.run(ask_repeating(path, first, endpoints=1))
            self.assertEqual(answer.body, run(*range(1, EVENTS + 1)))
            self.assertTrue(answer.whole)

    def test_a_stream_that_breaks_off_after_a_gap_goes_on_before_it(self) -> None:
        """It went on after the gap, and the caller lacked an event for good."""
        answer = asyncio.run(ask_repeating("/resume/x", run(1, 2, 4) + b"id: 3\nda"))
        self.assertEqual(answer.body, run(*range(1, EVENTS + 1)))
        self.assertTrue(answer.whole)

    @params(run(1, 2, 4, 6, 9), run(1, 2, 3, 7), run(5, 6, 8, 9), run(7, 14, 21, 28))
    def test_a_stream_whose_numbers_leave_some_out_is_passed_on(
        self, body: bytes
    ) -> None:
        answer = asyncio.run(ask_repeating("/stream/x", body, endpoints=1))
        self.assertEqual((answer.body, answer.whole), (body, True))

    @params(
        b"id: x\ndata: a\n\nid: x\ndata: a\n\n",
        b"data: a\n\ndata: a\n\ndata: b\n\n",
        b"id: -1\ndata: a\n\nid: -2\ndata: b\n\n",
        b"id:\ndata: a\n\nid: 1.5\ndata: b\n\nid: 1\ndata: c\n\n",
        b"id: 007\ndata: a\n\nid: 8\ndata: b\n\n",
        b"id: 9223372036854775807\ndata: a\n\nid: 9223372036854775808\ndata: b\n\n",
        b"id: %d\ndata: a\n\nid: %d\ndata: b\n\n" % (10**50, 10**49),
        b"id:  5 \ndata: a\n\nid:  4 \ndata: b\n\n",
        b": comment\n\nid: 11\ndata: a\n\n: comment\n\n: comment\n\n",
        b"id: 1\ndata: a\n\ndata: no id\n\nid: 2\ndata: b\n\ndata: no id\n\n",
    )
    def test_what_has_no_number_is_passed_on(self, body: bytes) -> None:
        """A stream that is right must not break on ids that can't be compared."""
        answer = asyncio.run(ask_repeating("/stream/x", body, endpoints=1))
        self.assertEqual((answer.body, answer.whole), (body, True))


class LineEndTest(unittest.TestCase):
    @params("/stream/x", "/resume/x")
    def test_lines_may_end_with_cr_lf(self, path: str) -> None:
        """A sound stream whose lines end with CR LF got 502, nothing of it."""
        body = run(*range(1, EVENTS + 1)).replace(b"\n", b"\r\n")
        answer = asyncio.run(ask_repeating(path, body, endpoints=1))
        self.assertEqual((answer.status, answer.body), (200, body))
        self.assertTrue(answer.whole)

    @params(b"\n", b"\r\n")
    def test_events_are_the_same_however_their_bytes_come(self, end: bytes) -> None:
        data = run(*range(1, 30)).replace(b"\n", end) + b"id: 30"
        rng = random.Random(7)
        for _ in range(200):
            events, out, at = EventSplitter(), b"", 0
            while at < len(data):
                size = rng.randint(1, 25)
                batch = events.feed(data[at : at + size])
                out += b"" if batch is None else batch.data
                at += size
            self.assertEqual((out, events.event_count), (data[: -len(b"id: 30")], 29))
            self.assertTrue(events.has_partial)


class JoinedEventTest(unittest.TestCase):
    @params(b"i", b"id: ", b"id: 5", b"id: 5\n", b"id: 5\nda", b"id: 5\ndata: t")
    def test_an_event_cut_short_is_not_joined_with_another(self, cut: bytes) -> None:
        """A run stopped inside an event and began again in the same answer: the cut
        event and the first of the new run were passed on as one."""
        for path in ("/stream/x", "/resume/x"):
            first = run(1, 2, 3, 4) + cut + run(2, 3, 4, 5, 6)
            answer = asyncio.run(ask_repeating(path, first))
            self.assertEqual(answer.body, run(*range(1, EVENTS + 1)))
            self.assertTrue(answer.whole)

    @params(b"id: 5", b"id: 5\r", b"id: 5\r\n", b"id: 5\r\nda", b"id: 5\r\ndata: t")
    def test_an_event_cut_short_in_lines_with_cr_lf(self, cut: bytes) -> None:
        whole = run(*range(1, EVENTS + 1)).replace(b"\n", b"\r\n")
        again = run(2, 3, 4, 5, 6).replace(b"\n", b"\r\n")
        first = run(1, 2, 3, 4).replace(b"\n", b"\r\n") + cut + again
        answer = asyncio.run(ask_repeating("/stream/x", first, endpoints=1))
        self.assertEqual((answer.body, answer.whole), (whole, True))

    @params(b"id: 5\nda", b"id: 5\ndata: t")
    def test_a_cut_event_is_not_joined_with_another_run(self, cut: bytes) -> None:
        first = run(1, 2, 3, 4) + cut + other(2, 3, 4, 5, 6)
        answer = asyncio.run(ask_repeating("/stream/x", first))
        self.assertEqual((answer.body, answer.whole), (run(1, 2, 3, 4), False))

    @params(
        b"id: 1\ndata: of id: 1\ndata: b\n\n",
        b"id: 1\ndata: a\n\nid: 2\ndata: see id: 1\ndata: b\n\nid: 3\ndata: c\n\n",
        b"id: 1\ndata: a\n\nid: 2\ndata: see id: 1\ndata: b\n\n",
        b"id: 1\ndata: id: 1\n\nid: 2\ndata: id: 2\n\n",
        b"event: e\nid: 1\ndata: see id: 0\n\n",
    )
    def test_an_event_that_names_another_is_passed_on(self, body: bytes) -> None:
        """Text that looks like an id must not break a sound stream."""
        answer = asyncio.run(ask_repeating("/stream/x", body, endpoints=1))
        self.assertEqual((answer.body, answer.whole), (body, True))
