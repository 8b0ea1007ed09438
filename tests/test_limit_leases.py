"""Limits as one entry knows them, the leases of an owner, and their messages."""

import math
import random
import unittest

from nose2.tools import params

from celerytrack.gateway.peer_messages import PeerMessageError, decode_peer_message
from celerytrack.ids import EndpointId
from celerytrack.limits.leases import (
    BURST_S,
    LeaseDenied,
    LeaseGranted,
    LeaseQueue,
    LeaseRequest,
)
from celerytrack.limits.messages import (
    LeaseAsk,
    LeaseReply,
    LeaseReturn,
    LimitMessage,
    LimitNews,
    OwnerHandover,
    encode_limit_message,
)
from celerytrack.limits.tracker import (
    ENDED_KEPT_S,
    MAX_UNCONFIRMED_S,
    LimitReport,
    LimitTracker,
)
from celerytrack.platform.notices import NoticeError, decode_limit

E = EndpointId("i-1")
REPORT = LimitReport(E, 7, 2.5, 0.5, math.inf)


class DecodeLimitTest(unittest.TestCase):
    @params(("2.5", 2.5), ("0", 0.0), ("17", 17.0), (" 0.50\t", 0.5))
    def test_decimal_numbers(self, text: str, limit_per_s: float) -> None:
        self.assertEqual(decode_limit(text), limit_per_s)

    @params(
        *("", " ", "-1", "+1", "nan", "inf", "1e3", "2,5", "2.5,3", ".", ".5", "1."),
        *("9" * 1_000, "1." + "0" * 1_000, "0x1", "\u0661", "2.5 a second"),
    )
    def test_anything_else_is_rejected(self, text: str) -> None:
        """A value that is no decimal number became a limit, or crashed the entry."""
        with self.assertRaises(NoticeError):
            decode_limit(text)


class TrackerTest(unittest.TestCase):
    """Answers that overtake each other. Steps: limit, sent at, arrived at."""

    @params(
        ("begins", [(2.0, 0, 1)], 2.0),
        ("ends", [(2.0, 0, 1), (None, 1, 2)], None),
        ("an older answer without it arrives late", [(2.0, 0, 1), (None, 0, 2)], 2.0),
        ("begins again", [(2.0, 0, 1), (None, 1, 2), (3.0, 2, 3)], 3.0),
        ("falls", [(2.0, 0, 1), (1.0, 0, 2)], 1.0),
        ("rises", [(2.0, 0, 1), (3.0, 1, 2)], 3.0),
        ("an older higher one arrives late", [(2.0, 0, 1), (3.0, 0, 2)], 2.0),
        (
            "rises under overlapping requests",
            [(2.0, 0, 1), (3.0, 0, 2), (3.0, 1, 3)],
            3.0,
        ),
        (
            "an older one arrives after the end",
            [(2.0, 0, 1), (None, 1, 2), (2.0, 0, 3)],
            2.0,
        ),
    )
    def test_the_newest_answer_counts(
        self, what: str, steps: list, limit_per_s: float | None
    ) -> None:
        """A limit was lifted by an answer from before it, or kept after its end."""
        tracker = LimitTracker()
        for limit, sent_at_s, arrived_at_s in steps:
            if limit is None:
                tracker.record_absent(E, 1, sent_at_s)
            else:
                tracker.record_named(E, 1, limit, sent_at_s, arrived_at_s)
        self.assertEqual(tracker.limit_per_s(E), limit_per_s, what)

    def test_reports_that_circulate_do_not_hide_the_end(self) -> None:
        """Each way between two entries made the last naming look newer."""
        one, other = LimitTracker(), LimitTracker()
        one.record_named(E, 1, 2.0, 0.0, 1.0)
        now_s = 1.0
        for _ in range(100):
            for source, target in ((one, other), (other, one)):
                report = source.report(E, now_s)
                assert report is not None
                now_s += 0.05
                target.merge(report, now_s)
        for tracker in (one, other):
            tracker.record_absent(E, 1, 1.5)
            self.assertIsNone(tracker.limit_per_s(E))

    def test_merged_in_any_order_reports_agree(self) -> None:
        """Entries that heard the same answers disagreed on whether a limit holds."""
        rng = random.Random(1)
        for _ in range(200):
            reports = [
                LimitReport(E, 1, 2.0, rng.uniform(0, 9), rng.uniform(0, 9))
                for _ in range(4)
            ]
            found = set()
            for _ in range(6):
                rng.shuffle(reports)
                tracker = LimitTracker()
                tracker.record_named(E, 1, 2.0, -20.0, -20.0)
                for report in reports:
                    tracker.merge(report, 0.0)
                found.add(tracker.limit_per_s(E))
            self.assertEqual(len(found), 1)

    def test_a_limit_belongs_to_one_incarnation(self) -> None:
        tracker = LimitTracker()
        tracker.record_named(E, 2, 2.0, 0.0, 1.0)
        tracker.record_named(E, 1, 9.0, 1.0, 2.0)
        tracker.record_absent(E, 1, 3.0)
        self.assertEqual(tracker.limit_per_s(E), 2.0)
        tracker.record_named(E, 3, 4.0, 0.0, 1.0)
        self.assertEqual(tracker.limit_per_s(E), 4.0)

    def test_it_is_empty_again_some_time_after_the_end(self) -> None:
        """Each later request cost as much as while endpoints were limited."""
        tracker = LimitTracker()
        tracker.record_named(E, 1, 2.0, 0.0, 1.0)
        self.assertEqual(tracker.expire(MAX_UNCONFIRMED_S), [])
        tracker.record_absent(E, 1, 2.0)
        tracker.expire(2.0 + ENDED_KEPT_S + 0.1)
        self.assertFalse(tracker)

    def test_an_unconfirmed_limit_ends(self) -> None:
        """The limit of an endpoint that nobody reaches was kept for ever."""
        tracker = LimitTracker()
        tracker.record_named(E, 1, 2.0, 0.0, 1.0)
        (change,) = tracker.expire(1.1 + MAX_UNCONFIRMED_S)
        self.assertEqual((change.old_per_s, change.new_per_s), (2.0, None))


def _request(number: int, priority: int = 0, max_wait_s: float = 0.0) -> LeaseRequest:
    return LeaseRequest(("e", number), priority, max_wait_s)


class LeaseQueueTest(unittest.TestCase):
    @params(0.5, 2.5, 20.0, 200.0)
    def test_no_window_has_more_than_rate_and_burst(self, rate_per_s: float) -> None:
        """A bucket that had filled up released too many leases at once."""
        queue = LeaseQueue(rate_per_s, 0.0)
        rng = random.Random(2)
        granted_s = []
        now_s = 0.0
        for number in range(5_000):
            now_s += rng.expovariate(3 * rate_per_s) * rng.choice((0.2, 1.0, 10.0))
            if queue.request(_request(number), now_s) == LeaseGranted():
                granted_s.append(now_s)
        worst = max(sum(t <= s <= t + 4.0 for s in granted_s) for t in granted_s)
        self.assertLessEqual(worst, rate_per_s * (4.0 + BURST_S) + 1 + 1e-6)

    def test_the_most_urgent_comes_first(self) -> None:
        """Less urgent requests that had waited longer took the tokens."""
        queue = LeaseQueue(1.0, 0.0)
        for number, priority in enumerate((2, 1, 0)):
            self.assertIsNone(queue.request(_request(number, priority, 9.0), 0.0))
        granted = [queue.pop_decided(t)[0][0].priority for t in (1.0, 2.0, 3.0)]
        self.assertEqual(granted, [0, 1, 2])

    def test_a_request_that_would_wait_too_long_is_denied_at_once(self) -> None:
        queue = LeaseQueue(1.0, 0.0)
        self.assertIsNone(queue.request(_request(1, 0, 1.5), 0.0))
        self.assertEqual(queue.request(_request(2, 0, 1.5), 0.0), LeaseDenied(2.0))
        self.assertEqual(queue.request(_request(3, 0, 0.0), 0.0), LeaseDenied(2.0))

    def test_a_request_whose_time_is_up_is_denied(self) -> None:
        """It got a token that it could no longer use."""
        queue = LeaseQueue(1.0, 0.0)
        queue.request(_request(1, 1, 1.2), 0.0)
        queue.request(_request(2, 0, 1.2), 0.0)
        self.assertEqual(queue.next_decision_s(0.0), 1.0)
        self.assertEqual(
            queue.pop_decided(1.0), [(_request(2, 0, 1.2), LeaseGranted())]
        )
        ((request, decision),) = queue.pop_decided(1.3)
        self.assertEqual(request.key, ("e", 1))
        self.assertIsInstance(decision, LeaseDenied)
        self.assertEqual(queue.next_decision_s(1.3), math.inf)

    def test_a_returned_token_is_granted_again(self) -> None:
        queue = LeaseQueue(1.0, 0.0)
        self.assertEqual(queue.request(_request(1), 1.0), LeaseGranted())
        queue.add_tokens(1.0, 1.0)
        self.assertEqual(queue.request(_request(2), 1.0), LeaseGranted())

    def test_a_limit_of_zero_is_tried_now_and_then(self) -> None:
        """Its end could not be noticed, as nothing was ever sent there."""
        queue = LeaseQueue(0.0, 0.0)
        granted = [queue.request(_request(t), t) == LeaseGranted() for t in range(13)]
        self.assertEqual(sum(granted), 3)


class MessageTest(unittest.TestCase):
    @params(
        LeaseAsk("10.0.0.1:1", 3, REPORT, 1, 0.25),
        LeaseReply(3, LeaseGranted(), REPORT),
        LeaseReply(3, LeaseDenied(0.5)),
        LeaseReturn("10.0.0.1:1", 3, E),
        LeaseReturn("10.0.0.1:1", 3, E, 32),
        LimitNews("10.0.0.1:1", (REPORT, LimitReport(E, 0, 0.0, 1.0, 2.0))),
        OwnerHandover(REPORT, 1.25),
    )
    def test_a_message_is_decoded_as_it_was_sent(self, message: LimitMessage) -> None:
        self.assertEqual(decode_peer_message(encode_limit_message(message)), message)

    def test_a_changed_message_is_decoded_or_rejected(self) -> None:
        """A malformed datagram ended the process that received it."""
        rng = random.Random(3)
        raw = encode_limit_message(LeaseAsk("10.0.0.1:1", 3, REPORT, 1, 0.25))
        for _ in range(3_000):
            data = bytearray(raw)
            for _ in range(rng.randint(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            try:
                decode_peer_message(bytes(data))
            except PeerMessageError:
                pass
