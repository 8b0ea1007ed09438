"""Evidence of links, their states, the choice of helpers, and their messages."""

import asyncio
import contextlib
import math
import random
import time
import unittest

import msgpack
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict, CIMultiDictProxy
from nose2.tools import params

from celerytrack.gateway.relay_format import RelayOrder, decode_order, encode_order
from celerytrack.ids import EndpointId, EntryId, ServiceName, Zone
from celerytrack.platform.http import RELAY_HEADER
from celerytrack.reachability.check import (
    FIRST_CONNECTIONS,
    MORE_CONNECTIONS,
    CheckTarget,
    choose_targets,
)
from celerytrack.reachability.evidence import RECENT_S, ReachEvidence
from celerytrack.reachability.helpers import (
    NEWS_TTL_S,
    OTHER_ZONE_REQUESTS,
    PROVEN_S,
    REFUSED_S,
    Helper,
    HelperChoice,
    PeerLinks,
)
from celerytrack.reachability.links import (
    FULL_WINDOW,
    MAX_CHECK_INTERVAL_S,
    MAX_CHECK_S,
    MAX_RETURN_S,
    SETTLED_S,
    STALL_S,
    LinkState,
    LinkTracker,
)
from celerytrack.reachability.messages import (
    LinkNews,
    LinkNewsError,
    encode_link_news,
    link_news_of,
)
from celerytrack.reachability.monitor import EntryLinks, ReachMonitor
from celerytrack.reachability.relayed import (
    RELAYED_HEADER,
    RelayOutcome,
    decode_outcome,
    encode_outcome,
)
from celerytrack.strict import UnreadableError
from celerytrack.verdict import Reason, Verdict

S = ServiceName("s")
T = ServiceName("t")
A, B = EndpointId("a"), EndpointId("b")


class EvidenceTest(unittest.TestCase):
    @params(
        ([("unconnected", A)], 0.0, False),
        ([("unconnected", A)], 2 * RECENT_S, True),
        ([("unconnected", A), ("unconnected", A)], 0.0, False),
        ([("unconnected", A), ("unconnected", B)], 0.0, True),
        ([("broken", A), ("broken", B)], 0.0, False),
        ([("broken", A)], 2 * RECENT_S, True),
        ([("unconnected", A), ("connected", B)], 2 * RECENT_S, False),
        ([("broken", A), ("heard", B)], 2 * RECENT_S, False),
        ([], math.inf, False),
    )
    def test_what_puts_links_in_doubt(
        self, signs: list[tuple[str, EndpointId]], silent_s: float, doubtful: bool
    ) -> None:
        """One endpoint that fails while others answer is its own matter."""
        evidence = ReachEvidence()
        evidence.record_heard(S, 0.0)
        for sign, endpoint in signs:
            match sign:
                case "unconnected":
                    evidence.record_unconnected(S, endpoint)
                case "broken":
                    evidence.record_broken(S, endpoint)
                case "connected":
                    evidence.record_connected(S)
                case _:
                    evidence.record_heard(S, 0.0)
        self.assertIs(evidence.is_doubtful(S, silent_s), doubtful)
        self.assertFalse(evidence.is_doubtful(T, silent_s))


class LinksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = LinkTracker()

    def _go_down(self, at_s: float = 0.0) -> None:
        self.assertTrue(self.tracker.begin_doubt(S, at_s))
        self.tracker.record_check(S, False, at_s, at_s + MAX_CHECK_S)

    def test_a_check_that_reaches_an_endpoint_ends_the_doubt(self) -> None:
        """Each failure of the same endpoint began another check."""
        self.assertTrue(self.tracker.begin_doubt(S, 1.0))
        self.assertFalse(self.tracker.begin_doubt(S, 1.1))
        self.assertIs(self.tracker.record_check(S, True, 1.0, 1.1), LinkState.UP)
        self.assertFalse(self.tracker.begin_doubt(S, 1.1 + SETTLED_S / 2))
        self.assertTrue(self.tracker.begin_doubt(S, 1.2 + SETTLED_S))

    def test_a_check_during_which_the_process_stood_still_proves_nothing(self) -> None:
        """An entry that had been frozen found its time limits past."""
        self.tracker.begin_doubt(S, 1.0)
        late_s = 1.1 + MAX_CHECK_S + STALL_S
        state = self.tracker.record_check(S, False, 1.0, late_s)
        self.assertIs(state, LinkState.IN_DOUBT)
        self.assertEqual(self.tracker.down(), [])

    def test_links_that_are_down_are_checked_less_and_less_often(self) -> None:
        """Each check is a connection, and the return has to be noticed."""
        self._go_down()
        now_s, checks = 0.0, 0
        while now_s < 10.0:
            if self.tracker.due_checks(now_s):
                checks += 1
                self.tracker.record_check(S, False, now_s, now_s)
            now_s += 0.01
        self.assertGreaterEqual(checks, 10 / MAX_CHECK_INTERVAL_S - 1)
        self.assertLessEqual(checks, 10 / MAX_CHECK_INTERVAL_S + 4)

    def test_load_returns_in_steps(self) -> None:
        """All load came back at the first sign, or none did."""
        self._go_down()
        self.assertFalse(self.tracker.has_direct_room(S, 0))
        self.tracker.record_check(S, True, 1.0, 1.0)
        self.assertIs(self.tracker.state(S), LinkState.RETURNING)
        window = 1
        while window < FULL_WINDOW:
            self.assertTrue(self.tracker.has_direct_room(S, window - 1))
            self.assertFalse(self.tracker.has_direct_room(S, window))
            self.assertIs(self.tracker.record_answer(S), 2 * window >= FULL_WINDOW)
            window *= 2
        self.assertFalse(self.tracker)

    def test_a_return_without_requests_ends(self) -> None:
        """An idle entry never came back."""
        self._go_down()
        self.tracker.record_check(S, True, 1.0, 1.0)
        self.assertEqual(self.tracker.pop_ended_returns(1.0 + MAX_RETURN_S / 2), [])
        self.assertEqual(self.tracker.pop_ended_returns(1.0 + MAX_RETURN_S), [S])
        self.assertIs(self.tracker.state(S), LinkState.UP)

    def test_a_failure_during_the_return_is_checked(self) -> None:
        """The links failed again, and half of the load with them."""
        self._go_down()
        self.tracker.record_check(S, True, 1.0, 1.0)
        self.assertTrue(self.tracker.begin_doubt(S, 1.1))
        self.tracker.record_check(S, False, 1.1, 1.2)
        self.assertEqual(self.tracker.down(), [S])


class MonitorTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_doubt_in_the_moment_a_check_ends_is_checked(self) -> None:
        """It was never settled, and a cut never seen after it."""
        results = [False, True, False]
        monitor = ReachMonitor(
            EntryLinks(
                EntryId("e"),
                0.0,
                lambda service: [CheckTarget(A, "")],
                lambda: (),
                lambda news: None,
                lambda service, doubted_at_s: None,
                lambda targets: _result(results.pop(0)),
            ),
            random.Random(1),
        )
        monitor.record_failure(S, A, sent=False, now_s=1.0)
        await monitor.settled(S)
        self.assertTrue(monitor.is_down(S))
        monitor.tick(time.monotonic() + 1.0)
        while monitor.is_down(S):
            await asyncio.sleep(0)
        monitor.record_failure(S, A, sent=False, now_s=time.monotonic() + 1.0)
        self.assertIs(monitor.tracker.state(S), LinkState.IN_DOUBT)
        await monitor.settled(S)
        self.assertTrue(monitor.is_down(S))

    async def test_a_service_that_fails_whole_is_not_taken_for_a_cut(self) -> None:
        """A request that ended all endpoints of a service was never suspected."""
        for heard_elsewhere, cut_off in ((False, True), (True, False)):
            monitor = ReachMonitor(
                EntryLinks(
                    EntryId("e"),
                    0.0,
                    lambda service: [CheckTarget(A, "")],
                    lambda: (),
                    lambda news: None,
                    lambda service, doubted_at_s: None,
                    lambda targets: _result(False),
                ),
                random.Random(1),
            )
            monitor.record_heard(T, 0.5)
            monitor.record_failure(S, A, sent=False, now_s=1.0)
            if heard_elsewhere:
                monitor.record_heard(T, 1.1)
            self.assertIs(await monitor.may_be_cut_off(S), cut_off)
            self.assertFalse(await monitor.may_be_cut_off(T))


async def _result(reached: bool) -> bool:
    return reached


class CheckTest(unittest.TestCase):
    def test_endpoints_that_have_not_failed_are_checked_first(self) -> None:
        """A check asked only those that had crashed."""
        targets = [CheckTarget(EndpointId(str(n)), "") for n in range(12)]
        failed = {EndpointId(str(n)) for n in range(9)}
        chosen = choose_targets(targets, failed, random.Random(1))
        self.assertEqual(len(chosen), FIRST_CONNECTIONS + MORE_CONNECTIONS)
        self.assertEqual(
            {t.endpoint_id for t in chosen[:3]},
            {EndpointId(c) for c in ("9", "10", "11")},
        )


def _news(number: int, *services: ServiceName, started_s: float = 1.0) -> LinkNews:
    return LinkNews(EntryId("e1"), started_s, number, frozenset(services))


class HelperTest(unittest.TestCase):
    def setUp(self) -> None:
        zones = ("z", "z", "y")
        self.helpers = [
            Helper(EntryId(f"e{n}"), f"10.0.0.{n}:1", Zone(zone))
            for n, zone in enumerate(zones)
        ]
        self.choice = HelperChoice(Zone("z"), random.Random(1))

    def _choose(self, now_s: float = 0.0) -> Helper | None:
        return self.choice.choose(self.helpers, S, (), now_s)

    def test_requests_spread_over_the_entries_that_may_help(self) -> None:
        """One entry got the callers of all that were cut off."""
        counts = {helper.entry_id: 0 for helper in self.helpers}
        for _ in range(30):
            helper = self._choose()
            assert helper is not None
            self.choice.begin(helper)
            counts[helper.entry_id] += 1
        near, far = counts[EntryId("e0")], counts[EntryId("e2")]
        self.assertAlmostEqual(near - far, OTHER_ZONE_REQUESTS, delta=1)

    def test_entries_that_say_that_they_are_cut_off_do_not_help(self) -> None:
        """Requests went round among entries that could not send them."""
        links = self.choice.peer_links
        links.record(_news(1, S), 0.0)
        chosen = {self._choose() for _ in range(20)}
        self.assertNotIn(self.helpers[1], chosen)
        self.assertEqual(links.count_down([EntryId("e0"), EntryId("e1")], S, 0.0), 1)
        self.assertFalse(links.is_down(EntryId("e1"), T, 0.0))
        self.assertFalse(links.is_down(EntryId("e1"), S, NEWS_TTL_S))

    def test_news_that_arrive_late_change_nothing(self) -> None:
        """An entry whose links were back counted as cut off."""
        links = PeerLinks()
        self.assertTrue(links.record(_news(1, S), 0.0))
        self.assertTrue(links.record(_news(3), 0.1))
        self.assertFalse(links.record(_news(2, S), 0.2))
        self.assertFalse(links.is_down(EntryId("e1"), S, 0.2))
        self.assertTrue(links.record(_news(1, S, started_s=2.0), 0.3))
        self.assertTrue(links.is_down(EntryId("e1"), S, 0.3))

    def test_an_instance_that_starts_again_is_heard(self) -> None:
        """Its clock had begun anew, and its news counted as older for ever."""
        links = PeerLinks()
        links.record(_news(9, started_s=5_000.0), 0.0)
        self.assertFalse(links.record(_news(1, S), NEWS_TTL_S / 2))
        self.assertTrue(links.record(_news(1, S), NEWS_TTL_S))

    def test_an_entry_that_refused_is_passed_over_for_a_while(self) -> None:
        """Each request asked it again."""
        for helper in self.helpers[:2]:
            reason = Reason.ISOLATED
            self.choice.record_refused(helper.entry_id, S, reason, None, 0.0)
        self.assertEqual(self._choose(0.5), self.helpers[2])
        self.assertIsNone(self.choice.choose(self.helpers, S, {EntryId("e2")}, 0.5))
        self.choice.expire(REFUSED_S)
        self.assertIn(self._choose(REFUSED_S), self.helpers[:2])

    def test_an_entry_that_has_no_room_now_is_asked_again(self) -> None:
        """One request too many closed a helper to a second of requests."""
        for helper in self.helpers:
            reason = Reason.NO_CAPACITY
            self.choice.record_refused(helper.entry_id, S, reason, None, 0.0)
        self.assertIsNotNone(self._choose(0.1))
        self.choice.record_unreachable(EntryId("e0"), S, 0.0)
        self.assertEqual(self._choose(0.1), self.helpers[1])

    def test_an_entry_that_helps_is_found_without_news(self) -> None:
        """Requests asked three of two hundred entries that could not help."""
        self.choice.record_refused(EntryId("e0"), S, Reason.ISOLATED, None, 1.5)
        self.assertIsNone(self.choice.proven(S, 1.5))
        named = EntryId("e2")
        self.choice.record_refused(EntryId("e0"), S, Reason.ISOLATED, named, 1.5)
        self.assertEqual(self.choice.proven(S, 2.0), EntryId("e2"))
        chosen = [self._choose(2.0) for _ in range(50)]
        self.assertGreater(chosen.count(self.helpers[2]), 30)
        self.assertIsNone(self.choice.proven(S, 1.5 + PROVEN_S))


class MessageTest(unittest.TestCase):
    def test_news_are_read_as_written(self) -> None:
        """An entry that was cut off was asked for help."""
        news = _news(7, S, T)
        fields = msgpack.unpackb(encode_link_news(news))
        self.assertEqual(link_news_of(fields), news)

    @params(
        ["links-down"],
        ["links-down", "e", 1.0, -1, []],
        ["links-down", "e", 1.0, True, []],
        ["links-down", "e", 1.0, 1, [3]],
        ["links-down", "e", 1.0, 1, ["x"] * 257],
        ["links-down", "", 1.0, 1, []],
        ["links-down", "e", "1", 1, []],
    )
    def test_other_fields_are_rejected(self, *fields: object) -> None:
        """A datagram of another writer stopped the process."""
        with self.assertRaises(LinkNewsError):
            link_news_of(list(fields))

    @given(st.text(max_size=60))
    def test_any_header_is_read_or_rejected(self, text: str) -> None:
        """A header of another writer raised an error of its own."""
        for decode in (decode_order, decode_outcome):
            names = {RELAY_HEADER: text, RELAYED_HEADER: text}
            with contextlib.suppress(UnreadableError):
                decode(CIMultiDictProxy(CIMultiDict(names)))

    def test_orders_are_read_as_written(self) -> None:
        """The other entry sent to an endpoint that had been tried."""
        order = RelayOrder("e1", "s", 1, ["a"], "7")
        headers = CIMultiDictProxy(CIMultiDict({RELAY_HEADER: encode_order(order)}))
        self.assertEqual(decode_order(headers), order)

    @params(
        RelayOutcome("a", sent=True),
        RelayOutcome(None, Reason.ISOLATED, detail="d"),
        RelayOutcome("a", Reason.DEADLINE, Verdict.MAY_HAVE_RUN, True, 1.5, "d"),
    )
    def test_outcomes_are_read_as_written(self, outcome: RelayOutcome) -> None:
        """A request that had run was refused as if it had not."""
        headers = {RELAYED_HEADER: encode_outcome(outcome)}
        self.assertEqual(decode_outcome(headers), outcome)

    @params(
        ('{"reason": "new"}', Reason.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN),
        ('{"reason": "bad_key"}', Reason.UPSTREAM_FAILED, Verdict.DID_NOT_RUN),
        (
            '{"reason": "isolated", "retry_after_s": -1}',
            Reason.ISOLATED,
            Verdict.DID_NOT_RUN,
        ),
    )
    def test_unknown_reasons_count_as_the_worst(
        self, raw: str, reason: Reason, verdict: Verdict
    ) -> None:
        """A caller was denied for good by an entry with an older configuration."""
        outcome = decode_outcome({RELAYED_HEADER: raw})
        self.assertEqual((outcome.reason, outcome.verdict), (reason, verdict))
        self.assertIsNone(outcome.retry_after_s)
