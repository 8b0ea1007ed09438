"""Tests of log lines: the timeline, the objectives, and the bounded log handler."""

import json
import logging
import os
import unittest

from nose2.tools import params

from celerytrack import slo
from celerytrack.events import Event, log_event
from celerytrack.explain import parse, summary, timeline
from celerytrack.gateway.logs import LINES_BURST, WARNINGS_BURST, BoundedHandler
from celerytrack.limits.history import limit_rows
from celerytrack.notices.history import notice_rows


def _line(at, process, event, **fields):
    data = {
        "asctime": at,
        "levelname": "INFO",
        "message": event.name.lower(),
        "process": process,
        "event": int(event),
        **fields,
    }
    return f"prefix {json.dumps(data)}"


def _limit(limit_per_s):
    return {"limit_per_s": limit_per_s, "owner": "e2"}


LINES = [
    _line("10:00:00,1", "e1", Event.STORE_LOST, topic="rows"),
    _line("10:00:00,2", "e2", Event.STORE_LOST, topic="rows"),
    _line("10:00:02,0", "e1", Event.REFUSED, request_id="r1", reason="x"),
    _line("10:00:02,5", "e1", Event.ANSWERED, request_id="r2", status=200),
    "not a structured line",
]


class TimelineTest(unittest.TestCase):
    def test_a_request_is_shown_with_the_view_of_its_process(self):
        found = [(e.process, e.name) for e in timeline(parse(LINES), "r1")]
        self.assertEqual(found, [("e1", "store_lost"), ("e1", "refused")])

    def test_an_unknown_request_has_no_timeline(self):
        self.assertEqual(timeline(parse(LINES), "r9"), [])

    def test_summary_counts_outcomes(self):
        rows = [row.split(None, 1) for row in summary(parse(LINES))]
        self.assertIn(["1", "refused x"], rows)
        self.assertIn(["2", "store_lost rows"], rows)


class LimitHistoryTest(unittest.TestCase):
    def test_each_limit_with_the_requests_that_lacked_a_lease(self):
        limits = [
            _line("10:00:01,0", "e1", Event.LIMIT_BEGAN, endpoint="i-1", **_limit(2.5)),
            _line("10:00:01,1", "e2", Event.LIMIT_BEGAN, endpoint="i-1", **_limit(2.5)),
            _line("10:00:02,0", "e1", Event.ANSWERED, limited=["i-1", "i-1"]),
            _line("10:00:02,1", "e2", Event.REFUSED, limited=["i-1"]),
            _line("10:00:03,0", "e1", Event.LIMIT_CHANGED, endpoint="i-1", **_limit(2)),
            _line(
                "10:00:04,0", "e1", Event.LIMIT_ENDED, endpoint="i-1", **_limit(None)
            ),
        ]
        self.assertEqual(
            limit_rows(parse(limits)),
            [
                "i-1  10:00:01,0 to 10:00:04,0  limits a second 2.5, 2  known to 2 "
                "entries  owners e2  requests without a lease 2, refused 1"
            ],
        )

    def test_each_leaving_and_backoff_with_the_requests_passed_over(self):
        lines = [
            _line(
                "10:00:01,0",
                "e1",
                Event.LEAVING_HEARD,
                endpoint="i-1",
                source="answer",
                request_id="r0",
            ),
            _line("10:00:01,1", "e2", Event.LEAVING_HEARD, endpoint="i-1"),
            _line("10:00:02,0", "e1", Event.BACKOFF_ASKED, endpoint="i-2", backoff_s=2),
            _line("10:00:02,5", "e1", Event.BACKOFF_ASKED, endpoint="i-2", backoff_s=3),
            _line("10:00:03,0", "e1", Event.ANSWERED, withheld=["i-1", "i-2"]),
            _line("10:00:03,1", "e2", Event.REFUSED, withheld=["i-1"]),
        ]
        self.assertEqual(
            notice_rows(parse(lines)),
            [
                "i-1  leaves  heard 10:00:01,0 in the answer to r0  known to 2 "
                "entries  requests sent elsewhere 1, refused 1",
                "i-2  backs off from e1  10:00:02,0 to 10:00:02,5  2 times, at most "
                "3 s  requests sent elsewhere 1, refused 0",
            ],
        )

    def test_a_timeline_shows_the_words_heard_then(self):
        lines = [
            _line("10:00:01,0", "e1", Event.LEAVING_HEARD, endpoint="i-1"),
            _line("10:00:01,5", "e1", Event.BACKOFF_ASKED, endpoint="i-2", backoff_s=2),
            _line("10:00:02,0", "e1", Event.REFUSED, request_id="r1"),
        ]
        names = [line.name for line in timeline(parse(lines), "r1")]
        self.assertEqual(names, ["leaving_heard", "backoff_asked", "refused"])

    def test_a_timeline_shows_the_limits_known_then(self):
        lines = [
            _line("10:00:01,0", "e1", Event.LIMIT_BEGAN, endpoint="i-1", **_limit(2.5)),
            _line("10:00:02,0", "e1", Event.REFUSED, request_id="r1"),
        ]
        names = [line.name for line in timeline(parse(lines), "r1")]
        self.assertEqual(names, ["limit_began", "refused"])


class SloTest(unittest.TestCase):
    @params(
        # event, fields, in time, late, refused, failed
        (Event.ANSWERED, {"status": 200, "first_ms": 200}, 1, 0, 0, 0),
        (Event.ANSWERED, {"status": 200, "first_ms": 301}, 0, 1, 0, 0),
        (Event.ANSWERED, {"status": 200, "first_ms": None}, 0, 1, 0, 0),
        (Event.ANSWERED, {"status": 500, "first_ms": 20}, 0, 0, 0, 1),
        (Event.REFUSED, {"reason": "tokens_elsewhere"}, 0, 0, 1, 0),
        (Event.REFUSED, {"reason": "budget_exhausted"}, 0, 0, 0, 0),
        (Event.FAILED, {"reason": "upstream_cut"}, 0, 0, 0, 1),
        (Event.STREAM_CUT, {}, 0, 0, 0, 1),
    )
    def test_outcome_is_classified(self, event, fields, in_time, late, refused, failed):
        base = {"route": "hint", "target_ms": 300, "took_ms": 900}
        lines = [_line("10:00:00,1", "e1", event, **{**base, **fields})]
        found = slo.report(parse(lines)).get("hint", slo.ClassReport())
        self.assertEqual(found, slo.ClassReport(in_time, late, refused, failed))

    @params((19, 1, 1.0), (90, 10, 2.0), (10, 0, 0.0))
    def test_burn_is_relative_to_the_allowed_share(self, in_time, late, expected):
        self.assertEqual(slo.ClassReport(in_time, late).burn, expected)


class BoundedHandlerTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.handler = BoundedHandler(self.writer)
        self.handler.setFormatter(logging.Formatter("%(message)s"))
        self.log = logging.Logger("t")
        self.log.addHandler(self.handler)

    def tearDown(self):
        os.close(self.reader)
        os.close(self.writer)

    def test_a_stalled_log_reader_does_not_block(self):
        """Guards against an entry whose requests all stop.

        The reader of the log stops reading and the pipe fills up. A blocking write
        of the next line would then block the event loop.
        """
        for _ in range(2_000):
            self.log.warning("x" * 500)
        self.assertLess(len(os.read(self.reader, 1 << 20)), 1 << 20)

    def test_line_rate_is_bounded_and_warnings_are_kept(self):
        for i in range(int(LINES_BURST) * 2):
            log_event(self.log, Event.ANSWERED, i=i)
        log_event(self.log, Event.STREAM_CUT, logging.WARNING)
        lines = os.read(self.reader, 1 << 20).decode().splitlines()
        self.assertLess(len(lines), LINES_BURST * 1.2)
        self.assertIn("stream_cut", lines)
        self.assertIn("lines_dropped", lines)

    def test_the_rate_of_warnings_is_bounded_as_well(self):
        """Records of another writer, one warning each, filled the log."""
        for i in range(int(WARNINGS_BURST) * 3):
            log_event(self.log, Event.NOTE_REJECTED, logging.WARNING, i=i)
        log_event(self.log, Event.ANSWERED)
        lines = os.read(self.reader, 1 << 20).decode().splitlines()
        self.assertLess(len(lines), WARNINGS_BURST * 1.2)
        self.assertIn("answered", lines)
        self.assertIn("lines_dropped", lines)
