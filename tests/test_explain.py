"""Log lines: bounded and never blocking, and read back as a timeline."""

import json
import logging
import os
import unittest

from celerytrack.events import Event, log_event
from celerytrack.explain import parse, summary, timeline
from celerytrack.gateway.logs import LINES_BURST, BoundedHandler


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


LINES = [
    _line("10:00:00,1", "e1", Event.STORE_LOST, topic="rows"),
    _line("10:00:00,2", "e2", Event.STORE_LOST, topic="rows"),
    _line("10:00:02,0", "e1", Event.REFUSED, request_id="r1", reason="x"),
    _line("10:00:02,5", "e1", Event.ANSWERED, request_id="r2", status=200),
    "not a structured line",
]


class TimelineTest(unittest.TestCase):
    def test_a_request_with_what_its_process_believed(self):
        found = [(e.process, e.name) for e in timeline(parse(LINES), "r1")]
        self.assertEqual(found, [("e1", "store_lost"), ("e1", "refused")])

    def test_unknown_request(self):
        self.assertEqual(timeline(parse(LINES), "r9"), [])

    def test_summary(self):
        rows = [row.split(None, 1) for row in summary(parse(LINES))]
        self.assertIn(["1", "refused x"], rows)
        self.assertIn(["2", "store_lost rows"], rows)


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

    def test_a_reader_that_stalls_stalls_nobody(self):
        """Symptom: every request of an entry stands still.

        Sequence: whoever reads the log stops reading; the pipe fills; the
        next line blocks the event loop. Cause: a blocking write.
        """
        for _ in range(2_000):
            self.log.warning("x" * 500)
        self.assertLess(len(os.read(self.reader, 1 << 20)), 1 << 20)

    def test_lines_are_bounded_and_warnings_kept(self):
        for i in range(int(LINES_BURST) * 2):
            log_event(self.log, Event.ANSWERED, i=i)
        log_event(self.log, Event.STREAM_CUT, logging.WARNING)
        lines = os.read(self.reader, 1 << 20).decode().splitlines()
        self.assertLess(len(lines), LINES_BURST * 1.2)
        self.assertIn("stream_cut", lines)
        self.assertIn("lines_dropped", lines)
