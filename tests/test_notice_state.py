"""What is read from answers, and what is kept of it."""

import random
import time
import unittest
from collections import Counter

import attrs
import msgpack
from multidict import CIMultiDict
from nose2.tools import params

from celerytrack.events import Event
from celerytrack.ids import EndpointId, EntryId, RequestId, ServiceName, Zone
from celerytrack.notices.answer import AnswerNotices, NoticeKind
from celerytrack.notices.backoff import MAX_BACKOFF_S, BackoffTracker
from celerytrack.notices.leaving import MAX_KNOWN_LEAVING, LeavingTracker
from celerytrack.notices.messages import (
    LeavingNews,
    NoticeMessageError,
    encode_notice_message,
    notice_message_of,
)
from celerytrack.notices.owners import JOIN_FANOUT, EndpointOwners, Peer
from celerytrack.notices.returns import FULL_WINDOW, MAX_RETURN_S, ReturnTracker
from celerytrack.notices.state import LAST_RESORT_S, EndpointNotices
from celerytrack.notices.sync import NoticeSync
from celerytrack.platform.notices import decode_notices
from celerytrack.routing.endpoint import Registration, RequestProfile
from celerytrack.routing.endpoints import EndpointPool

S = ServiceName("s")
A, B = EndpointId("a"), EndpointId("b")
NOW_UNIX_S = 784_111_777.0
DATE = "Sun, 06 Nov 1994 08:49:37 GMT"
LATER = "Sun, 06 Nov 1994 08:49:40 GMT"


def _decode(status: int, *headers: tuple[str, str]) -> AnswerNotices:
    return decode_notices(status, CIMultiDict(headers), NOW_UNIX_S)


class ReadingTest(unittest.TestCase):
    @params(
        (["1"], True, False),
        ([" 1 "], True, False),
        (["1", "1"], True, False),
        (["1,1"], True, False),
        (["0", "1"], True, False),
        (["0"], False, False),
        ([""], False, True),
        (["true"], False, True),
        (["11"], False, True),
        (["1" * 1_000], False, True),
    )
    def test_only_one_says_that_it_leaves(
        self, values: list[str], leaving: bool, unreadable: bool
    ) -> None:
        """An endpoint was lost for good by a word that did not say that it leaves."""
        notices = _decode(200, *(("Server-Leaving", value) for value in values))
        self.assertEqual(notices.leaving, leaving)
        kinds = [item.kind for item in notices.unreadable]
        self.assertEqual(kinds, [NoticeKind.LEAVING] if unreadable else [])

    @params(
        (503, ["3"], 3.0),
        (503, [" 2.5 "], 2.5),
        (503, ["0"], 0.0),
        (503, [LATER], 3.0),
        (503, ["Sunday, 06-Nov-94 08:49:40 GMT"], 3.0),
        (503, ["Sun, 06 Nov 1994 08:49:30 GMT"], 0.0),
        (503, ["2", "4"], 4.0),
        (503, ["2", "soon"], 2.0),
        (503, ["-1"], None),
        (503, ["nan"], None),
        (503, ["inf"], None),
        (503, ["1e3"], None),
        (503, [""], None),
        (503, ["9" * 1_000], None),
        (503, ["Sun, 99 Nov 1994 08:49:40 GMT"], None),
        (429, ["3"], None),
        (200, ["3"], None),
        (500, ["3"], None),
    )
    def test_a_backoff_is_seconds_or_a_date_in_a_503(
        self, status: int, values: list[str], backoff_s: float | None
    ) -> None:
        """A time that cannot be one closed an endpoint, or raised."""
        notices = _decode(status, *(("Retry-After", value) for value in values))
        self.assertEqual(notices.backoff_s, backoff_s)
        unreadable = status == 503 and backoff_s is None
        self.assertEqual(bool(notices.unreadable), unreadable)

    def test_a_date_counts_from_the_date_of_the_answer(self) -> None:
        """A clock that differs from the endpoint's made a backoff longer or none."""
        headers = CIMultiDict([("Retry-After", LATER), ("Date", DATE)])
        notices = decode_notices(503, headers, NOW_UNIX_S + 1_000.0)
        self.assertEqual(notices.backoff_s, 3.0)

    def test_an_unreadable_word_leaves_the_others_readable(self) -> None:
        """One bad header hid the others."""
        notices = _decode(
            503, ("Server-Limit", "x"), ("Server-Leaving", "1"), ("Retry-After", "1")
        )
        self.assertTrue(notices.leaving)
        self.assertEqual(notices.backoff_s, 1.0)
        self.assertFalse(notices.is_limit_known)


class LeavingTest(unittest.TestCase):
    @params(
        # incarnation heard, incarnation asked for, whether it leaves
        (0, 0, True),
        (0, 5, True),
        (5, 0, True),
        (5, 5, True),
        (5, 4, True),
        (5, 6, False),
    )
    def test_it_holds_for_the_incarnation(
        self, heard_ms: int, asked_ms: int, leaves: bool
    ) -> None:
        """A later incarnation was never used, or a late record brought one back."""
        tracker = LeavingTracker()
        tracker.record(A, heard_ms, 1.0)
        self.assertEqual(tracker.heard_at_s(A, asked_ms) is not None, leaves)

    def test_the_word_of_an_earlier_incarnation_does_not_replace_a_later_one(
        self,
    ) -> None:
        """News that was late made an incarnation look fresh."""
        tracker = LeavingTracker()
        self.assertTrue(tracker.record(A, 6, 2.0))
        self.assertFalse(tracker.record(A, 5, 1.0))
        self.assertEqual(tracker.heard_at_s(A, 6), 2.0)

    def test_the_first_word_counts(self) -> None:
        """Each answer that repeated it began the time of the last resort anew."""
        tracker = LeavingTracker()
        self.assertEqual(
            [tracker.record(A, 0, t) for t in (3.0, 5.0, 2.0)][1:], [False] * 2
        )
        self.assertEqual(tracker.heard_at_s(A, 0), 2.0)

    def test_memory_is_bounded(self) -> None:
        """Endpoints that left long ago filled the memory."""
        tracker = LeavingTracker()
        for number in range(MAX_KNOWN_LEAVING + 10):
            tracker.record(EndpointId(f"i-{number}"), 0, 0.0)
        self.assertEqual(len(tracker), MAX_KNOWN_LEAVING)


class BackoffTest(unittest.TestCase):
    def test_a_shorter_one_does_not_shorten_it(self) -> None:
        """A later answer ended a backoff before its time."""
        tracker = BackoffTracker()
        self.assertTrue(tracker.record(A, 0, 3.0, 10.0))
        self.assertFalse(tracker.record(A, 0, 1.0, 11.0))
        self.assertEqual(tracker.until_s(A, 0), 13.0)
        self.assertTrue(tracker.record(A, 0, 3.0, 11.0))
        self.assertEqual(tracker.until_s(A, 0), 14.0)

    def test_another_incarnation_has_none(self) -> None:
        """An endpoint that had restarted with room was left idle."""
        tracker = BackoffTracker()
        tracker.record(A, 5, 3.0, 10.0)
        self.assertIsNone(tracker.until_s(A, 6))
        self.assertFalse(tracker.record(A, 4, 9.0, 10.0))
        self.assertEqual(tracker.until_s(A, 0), 13.0)

    def test_it_is_believed_for_a_day_at_most(self) -> None:
        """An endpoint was lost for years."""
        tracker = BackoffTracker()
        tracker.record(A, 0, 999_999_999.0, 0.0)
        self.assertEqual(tracker.until_s(A, 0), MAX_BACKOFF_S)


class ReturnTest(unittest.TestCase):
    def test_load_doubles_with_each_answer(self) -> None:
        """All that had waited came back in the first instant."""
        returns = ReturnTracker()
        returns.begin(A, 5, 1.0)
        self.assertEqual(returns.opens_in_s(A, 6, 0.9), 0.0)
        self.assertAlmostEqual(returns.opens_in_s(A, 5, 0.9), 0.1)
        sent = []
        while returns:
            sent.append(0)
            while returns.opens_in_s(A, 5, 1.0) <= 0:
                self.assertTrue(returns.record_sent(A))
                sent[-1] += 1
                if sum(sent) > FULL_WINDOW:
                    break
            returns.record_answer(A, 1.0, succeeded=True)
        self.assertEqual(sent[:3], [1, 1, 2])
        self.assertEqual(len(sent), 4)

    def test_answers_to_earlier_requests_do_not_widen_it(self) -> None:
        """Load came back at once with the answers from before the backoff."""
        returns = ReturnTracker()
        returns.begin(A, 5, 1.0)
        returns.record_sent(A)
        returns.record_answer(A, 0.5, succeeded=True)
        returns.record_answer(A, 1.5, succeeded=False)
        self.assertGreater(returns.opens_in_s(A, 5, 1.5), 0.0)
        returns.record_done(A)
        self.assertEqual(returns.opens_in_s(A, 5, 1.5), 0.0)

    def test_it_ends_by_itself(self) -> None:
        """An endpoint without callers stayed in its return for ever."""
        returns = ReturnTracker()
        returns.begin(A, 5, 1.0)
        returns.expire(1.1 + MAX_RETURN_S)
        self.assertFalse(returns)


def _registration(endpoint_id: EndpointId, **fields: object) -> Registration:
    base = Registration(endpoint_id, S, f"{endpoint_id}:1", Zone("z"), 8, False)
    return attrs.evolve(base, **fields)


class PoolTest(unittest.TestCase):
    """Placement while endpoints are closed."""

    def setUp(self) -> None:
        self.notices = EndpointNotices()
        self.pool = EndpointPool(Zone("z"), random.Random(1), self.notices)
        for endpoint_id in (A, B):
            self.pool.register(_registration(endpoint_id, born_ms=5), 0.0)

    def _choose(self, now_s: float, **profile: object) -> EndpointId | None:
        asked = RequestProfile(S, **profile)
        choice = self.pool.choose(asked, 1.0, 100, [], now_s)
        return choice.endpoint.endpoint_id if choice else None

    @params(
        ("a heartbeat", lambda t: t.pool.register(_registration(A, born_ms=5), 2.0)),
        (
            "a later heartbeat",
            lambda t: t.pool.register(_registration(A, born_ms=5, sequence=9), 2.0),
        ),
        (
            "a record without a start",
            lambda t: t.pool.register(_registration(A, born_ms=0, sequence=9), 2.0),
        ),
        ("a gap", lambda t: t._evict_and_register(5)),
        (
            "a restored log",
            lambda t: (t.pool.on_log_restored(), t._evict_and_register(5)),
        ),
    )
    def test_no_record_takes_a_leaving_back(self, _: str, act) -> None:
        """A record that called it ready brought an endpoint back that was leaving."""
        self.notices.leaving.record(A, 5, 1.0)
        act(self)
        self.assertEqual({self._choose(5.0 + n) for n in range(20)}, {B})

    def test_another_incarnation_takes_it_back(self) -> None:
        """An endpoint that had started again was never used."""
        self.notices.leaving.record(A, 5, 1.0)
        self._evict_and_register(6)
        self.assertEqual({self._choose(9.0 + n) for n in range(20)}, {A, B})

    def _evict_and_register(self, born_ms: int) -> None:
        self.pool.mark_deregistered(A, 2.0)
        self.pool.evict_deregistered(8.0)
        self.pool.register(_registration(A, born_ms=born_ms), 9.0)

    def test_the_last_of_a_service_is_used_for_a_while(self) -> None:
        """Requests were refused although an endpoint still served them."""
        for endpoint_id in (A, B):
            self.notices.leaving.record(endpoint_id, 5, 1.0)
        self.assertIsNotNone(self._choose(1.0 + 0.9 * LAST_RESORT_S))
        self.assertIsNone(self._choose(1.0 + LAST_RESORT_S))

    def test_the_last_of_a_service_does_not_outlast_its_registration(self) -> None:
        """An endpoint that was gone was taken for one that leaves."""
        for endpoint_id in (A, B):
            self.notices.leaving.record(endpoint_id, 5, 1.0)
            self.pool.deregister_now(endpoint_id, 1.0)
        self.assertIsNone(self._choose(1.1))

    def test_nothing_reaches_an_endpoint_that_backs_off(self) -> None:
        """A fallback chose it when the others were ejected."""
        self.notices.backoffs.record(A, 5, 3.0, 1.0)
        b = self.pool.choose(RequestProfile(S), 1.0, 100, [A], 1.0)
        assert b is not None
        for _ in range(4):
            self.pool.record_failure(b.endpoint, True, 1.0)
        self.assertEqual({self._choose(1.1) for _ in range(20)}, {B})
        self.notices.backoffs.record(B, 5, 2.0, 1.0)
        self.assertIsNone(self._choose(1.1))
        self.assertIsNone(self.pool.predict_at(A, RequestProfile(S), 1.0, 100, 1.1))
        opening = self.pool.next_opening(RequestProfile(S), (), 1.0, 1.5)
        assert opening is not None
        self.assertAlmostEqual(opening.opens_in_s, 1.5)
        self.assertTrue(opening.all_closed)

    def test_a_session_moves_once_when_its_home_leaves(self) -> None:
        """Each record that called the home ready moved its session back and forth."""
        parts = (("p", 4_000), ("q", 10))
        home = self._choose(0.0, parts=parts)
        assert home is not None
        self.notices.leaving.record(home, 5, 1.0)
        homes = Counter()
        for second in range(2, 10):
            self.pool.register(_registration(home, born_ms=5, sequence=second), second)
            homes[self._choose(float(second), parts=parts)] += 1
        self.assertEqual(list(homes), [B if home == A else A])


class IsolationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.owners = EndpointOwners(EntryId("e"), "e", 0.0, lambda now_s: now_s)
        self.owners.update([Peer(EntryId(n), n) for n in "abcd"], 0.0)
        self.assertEqual(sorted(self.owners.begin_check(2.0)), list("abcd"))

    @params((2, False), (1, True))
    def test_an_owner_is_isolated_if_fewer_than_half_reply(
        self, replies: int, isolated: bool
    ) -> None:
        """It granted a whole limit beside the owner that followed it."""
        for address in "abcd"[:replies]:
            self.owners.record_reply(address)
        self.assertIs(self.owners.end_check(2.5), isolated)
        self.assertIs(self.owners.is_isolated, isolated)

    def test_the_others_have_time_to_reply(self) -> None:
        """A message made it look at the replies at once, and it took itself for cut
        off."""
        self.assertFalse(self.owners.end_check(2.01))
        self.assertEqual(self.owners.begin_check(2.01), [])
        for address in "abc":
            self.owners.record_reply(address)
        self.assertFalse(self.owners.end_check(2.5))

    def test_a_cut_is_logged(self) -> None:
        """An owner granted less, and no line said why."""
        sync = NoticeSync(
            EntryId("e"),
            "e",
            lambda address, message: None,
            lambda now_s: [Peer(EntryId("a"), "a")],
            0.0,
            random.Random(1),
            lambda now_s: now_s,
        )
        named = AnswerNotices(limit_per_s=5.0)
        sync.record_answer(A, 0, named, 0.0, RequestId("r"), True, 1.0)
        with self.assertLogs("celerytrack.limits.sync") as logs:
            for second in (2.0, 2.5, 3.0):
                sync.tick(second)
        events = [record.event for record in logs.records]
        self.assertEqual(events.count(Event.OWNER_ISOLATED), 1)


class MessageTest(unittest.TestCase):
    """Entries tell each other of endpoints that leave."""

    def setUp(self) -> None:
        self.sent: list[tuple[str, str, object]] = []
        self.lost = False
        self.live = ["e0", "e1", "e2"]
        self.incarnations: dict[str, str] = {}
        self.syncs = {name: self._sync(name) for name in self.live}
        for sync in self.syncs.values():
            sync.tick(0.0)

    def _sync(self, name: str) -> NoticeSync:
        def send(address: str, message: object) -> None:
            self.sent.append((name, address, message))
            if not self.lost and address in self.syncs:
                self.syncs[address].receive(message)

        def peers(now_s: float) -> list[Peer]:
            return [
                Peer(EntryId(n), n, self.incarnations.get(n, ""))
                for n in self.live
                if n != name
            ]

        return NoticeSync(EntryId(name), name, send, peers, 0.0, random.Random(1))

    def _hear(self, name: str) -> None:
        notices = AnswerNotices(leaving=True)
        self.syncs[name].record_answer(
            A, 0, notices, 0.0, RequestId("r"), True, time.monotonic()
        )

    def _known(self) -> list[str]:
        return [n for n, sync in self.syncs.items() if sync.state.is_leaving(A, 0)]

    @params("e0", "e1", "e2")
    def test_all_are_told_at_once(self, first: str) -> None:
        """Each entry had to hear it from the endpoint, and sent a request for that."""
        self._hear(first)
        self.assertEqual(self._known(), ["e0", "e1", "e2"])
        self.assertLessEqual(len(self.sent), 3)

    @params("e0", "e1", "e2")
    def test_it_outlives_lost_messages(self, first: str) -> None:
        """An entry whose message was lost went on sending."""
        self.lost = True
        self._hear(first)
        self.lost = False
        now_s = max(
            s.state.leaving.heard_at_s(A, 0) or 0.0 for s in self.syncs.values()
        )
        for step in range(1, 6):
            for sync in self.syncs.values():
                sync.tick(now_s + 0.5 * step)
        self.assertEqual(self._known(), ["e0", "e1", "e2"])

    def test_an_entry_that_starts_is_told(self) -> None:
        """It sent to endpoints that all others knew to leave."""
        self._hear("e0")
        self.live.append("e3")
        self.syncs["e3"] = self._sync("e3")
        now_s = self.syncs["e0"].state.leaving.heard_at_s(A, 0) or 0.0
        for sync in self.syncs.values():
            sync.tick(now_s + 10.0)
        self.assertIn("e3", self._known())

    def test_an_entry_that_starts_is_told_of_a_limit(self) -> None:
        """It owned the limited endpoint from its start, so that no owner told it."""
        notices = AnswerNotices(limit_per_s=5.0)
        self.syncs["e0"].record_answer(
            A, 0, notices, 0.0, RequestId("r"), True, time.monotonic()
        )
        self.live.append("e3")
        self.syncs["e3"] = self._sync("e3")
        now_s = time.monotonic()
        for sync in self.syncs.values():
            sync.tick(now_s)
        self.assertEqual(self.syncs["e3"].limits.tracker.limit_per_s(A), 5.0)

    def test_an_entry_that_restarts_is_told(self) -> None:
        """It was back before it counted as silent, and nobody told it anything."""
        self._hear("e0")
        self.incarnations["e2"] = "2"
        self.syncs["e2"] = self._sync("e2")
        now_s = self.syncs["e0"].state.leaving.heard_at_s(A, 0) or 0.0
        for sync in self.syncs.values():
            sync.tick(now_s + 0.5)
        self.assertIn("e2", self._known())

    def test_three_entries_tell_one_that_joined_of_limits(self) -> None:
        """One that its owners noticed late sent without leases."""
        self.live = [f"e{n}" for n in range(10)]
        self.syncs = {name: self._sync(name) for name in self.live}
        for sync in self.syncs.values():
            sync.tick(0.0)
        self.syncs["e0"].record_answer(
            A, 0, AnswerNotices(limit_per_s=5.0), 0.0, RequestId("r"), True, 0.0
        )
        self.sent.clear()
        self.live.append("new")
        for sync in self.syncs.values():
            sync.tick(0.1)
        tellers = {name for name, address, _ in self.sent if address == "new"}
        owner = str(self.syncs["e0"].limits.owners.owner(A))
        self.assertIn(owner, tellers)
        self.assertIn(len(tellers), (JOIN_FANOUT, JOIN_FANOUT + 1))

    def test_nothing_is_told_while_nothing_leaves(self) -> None:
        """It cost messages at rest, or long after the endpoint was gone."""
        for sync in self.syncs.values():
            sync.tick(1.0)
        self.assertEqual(self.sent, [])
        self._hear("e0")
        now_s = self.syncs["e0"].state.leaving.heard_at_s(A, 0) or 0.0
        for sync in self.syncs.values():
            sync.tick(now_s + 31.0)
        self.sent.clear()
        for sync in self.syncs.values():
            sync.tick(now_s + 40.0)
        self.assertEqual(self.sent, [])

    @params(
        ["endpoints-leaving", "e0", [["a", 0]]],
        ["endpoints-leaving", "e0", [["a", -1, 0.0]]],
        ["endpoints-leaving", "e0", [["a", 0, -1.0]]],
        ["endpoints-leaving", "e0", [["a" * 300, 0, 0.0]]],
        ["endpoints-leaving", "e0", [["a", 0, 0.0]] * 21],
        ["endpoints-leaving", 5, []],
    )
    def test_a_malformed_message_is_rejected(self, *fields: object) -> None:
        """It raised in the datagram handler."""
        with self.assertRaises(NoticeMessageError):
            notice_message_of(list(fields))

    def test_a_message_is_read_as_it_was_sent(self) -> None:
        tracker = LeavingTracker()
        tracker.record(A, 7, 1.0)
        report = tracker.report(A, 3.0)
        assert report is not None
        news = LeavingNews("e0:1", (report,))
        decoded = notice_message_of(msgpack.unpackb(encode_notice_message(news)))
        self.assertEqual(decoded, news)
