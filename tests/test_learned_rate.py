"""The rate that a brittle endpoint bears, and what entries tell each other of it."""

import unittest

import msgpack
from multidict import CIMultiDict
from nose2.tools import params

from celerytrack.ids import EndpointId
from celerytrack.limits.learned import KEPT_S, LearnedRate, LearnedRates
from celerytrack.limits.leases import (
    LeaseDenied,
    LeaseGranted,
    LeaseQueue,
    LeaseRequest,
)
from celerytrack.limits.messages import (
    LimitNews,
    Rejection,
    encode_limit_message,
    limit_message_of,
)
from celerytrack.limits.tracker import UNLIMITED_PER_S, LimitReport, LimitTracker
from celerytrack.platform.notices import decode_notices, notice_headers

E = EndpointId("e")


class LearnedRateTest(unittest.TestCase):
    def test_it_is_unknown_until_the_first_rejection(self) -> None:
        """An endpoint with room was throttled for its word alone."""
        learned = LearnedRate()
        learned.record_grant(0.0)
        self.assertIsNone(learned.grow(5.0))

    @params((1.0, 1), (2.0, 2), (5.0, 4), (10.0, 8))
    def test_nothing_is_granted_while_the_bound_is_near(
        self, bears_per_s: float, count: int
    ) -> None:
        """Requests on their way made the endpoint fall over."""
        learned = LearnedRate()
        for number in range(count):
            pause_s = learned.record_rejection(bears_per_s, 0.01 * number)
            self.assertEqual(pause_s > 0, number == count - 1)
        self.assertAlmostEqual(pause_s, 1.0 - 0.01 * (count - 1))

    def test_it_falls_with_rejections_and_grows_without(self) -> None:
        """A rate that had once been lowered stayed low."""
        learned = LearnedRate()
        for number in range(20):
            learned.record_grant(0.05 * number)
        learned.record_rejection(1.0, 1.0)
        first = learned.grow(1.0)
        assert first is not None
        self.assertLess(first, 20.0)
        learned.record_rejection(1.0, 1.1)
        self.assertAlmostEqual(learned.grow(1.1) or 0.0, first, delta=0.5)
        learned.record_rejection(1.0, 2.0)
        second = learned.grow(2.0)
        assert second is not None
        self.assertLess(second, first)
        self.assertGreater(learned.grow(10.0) or 0.0, 1.3 * second)

    def test_a_standby_that_granted_nothing_learns_no_rate(self) -> None:
        """It took over with half a request a second, and the endpoint stayed idle."""
        learned = LearnedRate()
        for number in range(5):
            learned.record_rejection(2.0, float(number))
        self.assertIsNone(learned.grow(9.0))
        self.assertFalse(learned.is_unused(9.0))

    def test_a_few_rejections_do_not_lower_it(self) -> None:
        """Endpoints that bear ten a second were left half idle for one."""
        learned = LearnedRate()
        learned.record_rejection(10.0, 1.0)
        self.assertIsNone(learned.rate_per_s)

    def test_it_outlives_a_fall_and_not_more(self) -> None:
        """All entries rushed to an endpoint that was back."""
        rates = LearnedRates()
        learned = rates.get(E)
        learned.record_grant(0.9)
        learned.record_rejection(1.0, 1.0)
        rates.expire(1.0 + KEPT_S / 2)
        self.assertIs(rates.get(E), learned)
        rates.expire(2.0 + KEPT_S)
        self.assertIsNot(rates.get(E), learned)


class LeaseTest(unittest.TestCase):
    def test_leases_of_a_brittle_endpoint_do_not_pile_up(self) -> None:
        """Tokens kept while idle were spent at once, and the last were rejected."""
        queue = LeaseQueue(10.0, 0.0)
        queue.set_rate(10.0, 0.0, burst_s=0.0)
        now_s = 5.0
        request = LeaseRequest(("a", 1), 0, 0.0)
        self.assertEqual(queue.request(request, now_s), LeaseGranted(1))
        self.assertIsInstance(queue.request(request, now_s), LeaseDenied)
        queue.pause(0.5, now_s)
        self.assertIsInstance(queue.request(request, now_s + 0.45), LeaseDenied)
        self.assertEqual(queue.request(request, now_s + 0.55), LeaseGranted(1))


class TrackerTest(unittest.TestCase):
    def test_the_word_comes_and_goes_with_answers(self) -> None:
        """An endpoint stayed brittle, or was limited to nothing."""
        tracker = LimitTracker()
        tracker.record_named(E, 1, UNLIMITED_PER_S, 0.0, 1.0, bears_per_s=5.0)
        self.assertEqual(tracker.bears_per_s(E), 5.0)
        tracker.record_named(E, 1, UNLIMITED_PER_S, 2.0, 3.0, bears_per_s=2.0)
        self.assertEqual(tracker.bears_per_s(E), 2.0)
        other = LimitTracker()
        report = tracker.report(E, 4.0)
        assert report is not None
        other.merge(report, 4.0)
        self.assertEqual(other.bears_per_s(E), 2.0)
        tracker.record_absent(E, 1, 4.0)
        self.assertIsNone(tracker.bears_per_s(E))

    @params(
        LimitNews("a:1", (LimitReport(E, 1, 2.0, 0.0, 1.0, 5.0),)),
        LimitNews("a:1", (LimitReport(E, 1, 2.0, 0.0, 1.0),)),
        Rejection("a:1", E),
    )
    def test_messages_are_read_as_written(self, message: LimitNews | Rejection) -> None:
        """Entries of one release did not understand each other."""
        fields = msgpack.unpackb(encode_limit_message(message))
        self.assertEqual(limit_message_of(fields), message)

    def test_reports_of_endpoints_that_are_not_brittle_are_as_before(self) -> None:
        """An entry of an earlier release rejected all news of limits."""
        news = LimitNews("a:1", (LimitReport(E, 1, 2.0, 0.0, 1.0),))
        fields = msgpack.unpackb(encode_limit_message(news))
        self.assertEqual(len(fields[2][0]), 5)


class HeaderTest(unittest.TestCase):
    @params(("5", 5.0), ("0", 0.0), ("2.5", 2.5), ("x", None), ("-1", None))
    def test_the_header_is_read(self, text: str, expected: float | None) -> None:
        """The word was taken for another, or an unreadable one for none."""
        headers = CIMultiDict(notice_headers(brittle=text))
        notices = decode_notices(200, headers, 0.0)
        self.assertEqual(notices.bears_per_s, expected)
        self.assertIs(notices.is_limit_known, expected is not None)
        self.assertIsNone(notices.limit_per_s)
