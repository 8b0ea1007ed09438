"""The room of a brittle endpoint, and what entries tell each other of it."""

import unittest

import msgpack
from multidict import CIMultiDict
from nose2.tools import params

from celerytrack.ids import EndpointId
from celerytrack.limits.leases import (
    LeaseDenied,
    LeaseGranted,
    LeaseQueue,
    LeaseRequest,
)
from celerytrack.limits.messages import (
    LeaseEnd,
    LimitNews,
    Rejection,
    encode_limit_message,
    limit_message_of,
)
from celerytrack.limits.room import (
    IN_DOUBT_S,
    KEPT_S,
    MAX_UNREPORTED_S,
    LearnedRoom,
    LearnedRooms,
    LeaseKey,
    LeaseOutcome,
    owner_in_doubt,
    standby_in_doubt,
)
from celerytrack.limits.tracker import UNLIMITED_PER_S, LimitReport, LimitTracker
from celerytrack.platform.notices import decode_notices, notice_headers

E = EndpointId("e")


def _key(nonce: int, sender: str = "a:1") -> LeaseKey:
    return sender, nonce


def _grant(room: LearnedRoom, count: int, now_s: float, first: int = 0) -> int:
    """Grant up to ``count`` leases; returns how many there was room for."""
    granted = 0
    while granted < count and room.has_room(now_s):
        room.record_grant(_key(first + granted), now_s)
        granted += 1
    return granted


def _room(limit: int | None = 1, max_in_doubt: int = 10) -> LearnedRoom:
    room = LearnedRoom()
    room.limit, room.max_in_doubt = limit, max_in_doubt
    return room


class LearnedRoomTest(unittest.TestCase):
    @params(*range(1, 12))
    def test_owner_and_standby_together_stay_within_the_bound(self, bears: int) -> None:
        """An entry that took over granted as much as the owner before it."""
        together = owner_in_doubt(bears, True) + standby_in_doubt(bears)
        self.assertLessEqual(together, bears)
        self.assertEqual(owner_in_doubt(bears, False), bears)

    @params(1, 2, 4, 8)
    def test_leases_in_doubt_and_rejections_stay_under_the_bound(
        self, max_in_doubt: int
    ) -> None:
        """Requests on their way made the endpoint fall over, whatever was learned."""
        room = _room(limit=100, max_in_doubt=max_in_doubt)
        self.assertEqual(_grant(room, 100, 0.0), max_in_doubt)
        for nonce in range(max_in_doubt):
            room.record_rejection(0.05)
            room.record_end(_key(nonce), LeaseOutcome.FAILED, 0.05)
            self.assertFalse(room.has_room(0.05))
        self.assertFalse(room.has_room(1.04))
        self.assertGreaterEqual(_grant(room, 100, 1.2), 1)

    @params(None, 1)
    def test_an_endpoint_with_room_is_not_throttled(self, limit: int | None) -> None:
        """Long requests were held back for its word alone, or for one rejection."""
        room = _room(limit, max_in_doubt=2)
        running = 0
        for step in range(100):
            running += _grant(room, 100, 0.05 * step, first=running)
        self.assertGreaterEqual(running, 16)

    def test_long_requests_fill_the_room(self) -> None:
        """What had been granted in a second was still there in the next."""
        room = _room(limit=3)
        self.assertEqual(_grant(room, 10, 0.0), 3)
        room.record_rejection(0.01)
        room.record_end(_key(2), LeaseOutcome.FAILED, 0.01)
        self.assertEqual(room.limit, 2)
        self.assertFalse(room.has_room(0.7))
        self.assertFalse(room.has_room(5.0))
        room.record_end(_key(0), LeaseOutcome.RAN, 5.0)
        self.assertEqual(_grant(room, 10, 5.0, first=10), 1)
        self.assertEqual(_grant(room, 10, 5.0 + IN_DOUBT_S, first=20), 1)

    def test_a_lull_does_not_make_it_grow(self) -> None:
        """A burst after a lull met room that nobody had asked for."""
        room = _room(limit=4)
        for second in range(60):
            room.record_grant(_key(second), float(second))
            room.record_end(_key(second), LeaseOutcome.RAN, second + 0.1)
        self.assertEqual(room.limit, 4)

    def test_it_grows_again_while_all_of_it_is_used(self) -> None:
        """A room that had once been lowered stayed low."""
        room = _room(limit=2, max_in_doubt=4)
        _grant(room, 2, 0.0)
        room.record_rejection(0.1)
        self.assertEqual(room.limit, 1)
        room.record_end(_key(0), LeaseOutcome.RAN, 0.2)
        room.record_end(_key(1), LeaseOutcome.RAN, 0.2)
        self.assertEqual(room.limit, 1)
        for step in range(3):
            now_s = 2.5 + 0.1 * step
            granted = _grant(room, 10, now_s, first=10 * (step + 1))
            for n in range(granted):
                key = _key(10 * (step + 1) + n)
                room.record_end(key, LeaseOutcome.RAN, now_s + 0.05)
        self.assertEqual(room.limit, 4)

    def test_requests_whose_time_ran_out_lower_it(self) -> None:
        """Requests waited at the endpoint until their deadline."""
        room = _room(limit=3)
        _grant(room, 3, 0.0)
        room.record_end(_key(2), LeaseOutcome.ABANDONED, 2.0)
        self.assertEqual(room.limit, 2)

    def test_leases_whose_end_is_not_heard_are_dropped(self) -> None:
        """The endpoint stayed idle for leases of an entry that was gone."""
        room = _room(limit=4)
        _grant(room, 3, 0.0)
        room.record_grant(("b:1", 1), 0.0)
        self.assertFalse(room.has_room(0.1))
        room.drop_before("a:1", 2)
        self.assertEqual(room.in_progress, 2)
        room.keep_senders({"a:1"})
        self.assertEqual(room.in_progress, 1)
        self.assertTrue(room.has_room(MAX_UNREPORTED_S + 0.1))
        self.assertEqual(room.in_progress, 0)

    def test_leases_from_before_a_restart_are_dropped(self) -> None:
        """An entry was killed and back at once; its endpoints stayed idle for 10 s."""
        room = _room(limit=8)
        _grant(room, 3, 0.0)
        room.record_grant(("b:1", 1), 0.0)
        room.record_grant(_key(9), 2.0)
        room.drop_accepted("a:1", 2.0)
        self.assertEqual(room.in_progress, 2)

    @params((0.1, 0.9, 1.1), (1.5, 4.4, 4.6), (20.0, 9.9, 10.1))
    def test_a_lost_report_counts_for_some_runs(
        self, run_s: float, kept_s: float, dropped_s: float
    ) -> None:
        """While messages were lost, each took a place of short requests for 10 s."""
        room = _room(limit=2)
        room.record_grant(_key(0), 0.0)
        room.record_end(_key(0), LeaseOutcome.RAN, run_s)
        room.record_grant(_key(1), run_s)
        room.in_doubt(run_s + kept_s)
        self.assertEqual(room.in_progress, 1)
        room.in_doubt(run_s + dropped_s)
        self.assertEqual(room.in_progress, 0)

    def test_runs_that_grow_longer_are_learned(self) -> None:
        """After short runs each long one was dropped, and its end taught nothing."""
        room = _room(limit=2)
        room.record_grant(_key(0), 0.0)
        room.record_end(_key(0), LeaseOutcome.RAN, 0.1)
        room.record_grant(_key(1), 1.0)
        room.in_doubt(5.0)
        self.assertEqual(room.in_progress, 0)
        room.record_end(_key(1), LeaseOutcome.RAN, 5.0)
        room.record_grant(_key(2), 6.0)
        room.in_doubt(15.0)
        self.assertEqual(room.in_progress, 1)

    def test_without_any_room_it_tries_less_and_less(self) -> None:
        """An endpoint that took nothing was asked as often as it bore rejections."""
        room = _room(max_in_doubt=10)
        tries = 0
        for step in range(400):
            now_s = 0.025 * step
            if room.has_room(now_s):
                room.record_grant(_key(step), now_s)
                room.record_rejection(now_s)
                room.record_end(_key(step), LeaseOutcome.FAILED, now_s)
                tries += 1
        self.assertLessEqual(tries, 8)

    def test_it_outlives_a_fall_and_not_more(self) -> None:
        """All entries rushed to an endpoint that was back."""
        rooms = LearnedRooms()
        room = rooms.get(E)
        room.record_rejection(1.0)
        rooms.expire(1.0 + KEPT_S / 2)
        self.assertIs(rooms.get(E), room)
        rooms.expire(2.0 + KEPT_S)
        self.assertIsNot(rooms.get(E), room)


class LeaseTest(unittest.TestCase):
    def test_leases_of_a_brittle_endpoint_do_not_pile_up(self) -> None:
        """Tokens kept while idle were spent at once, and the last were rejected."""
        queue = LeaseQueue(UNLIMITED_PER_S, 0.0)
        queue.room = _room(limit=100, max_in_doubt=1)
        now_s = 5.0
        request = LeaseRequest(("a", 1), 0, 0.0, 10)
        self.assertEqual(queue.request(request, now_s), LeaseGranted(1))
        other = LeaseRequest(("a", 2), 0, 0.0)
        self.assertIsInstance(queue.request(other, now_s), LeaseDenied)
        self.assertEqual(queue.request(other, now_s + IN_DOUBT_S), LeaseGranted(1))

    def test_a_request_waits_for_the_end_of_another(self) -> None:
        """It was refused, and the endpoint stayed idle."""
        queue = LeaseQueue(UNLIMITED_PER_S, 0.0)
        queue.room = _room()
        queue.request(LeaseRequest(("a", 1), 0, 0.0), 1.0)
        waiting = LeaseRequest(("a", 2), 0, 0.5)
        self.assertIsNone(queue.request(waiting, 1.1))
        self.assertAlmostEqual(queue.next_decision_s(1.1), 0.5)
        queue.room.record_end(("a", 1), LeaseOutcome.RAN, 1.2)
        self.assertEqual(queue.pop_decided(1.2), [(waiting, LeaseGranted(1))])


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
        *(LeaseEnd("a:1", 7, E, outcome, 3) for outcome in LeaseOutcome),
    )
    def test_messages_are_read_as_written(
        self, message: LimitNews | Rejection | LeaseEnd
    ) -> None:
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
