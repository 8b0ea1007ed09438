"""Tables for the choice of an endpoint, and for routes and streams."""

import random
import unittest

import attrs
from nose2.tools import params

from celerytrack.endpoint import Choice, Need, Registration
from celerytrack.endpoints import (
    EJECT_S,
    GONE_GRACE_S,
    EndpointBook,
    Registered,
)
from celerytrack.ids import AccountId, EndpointId, ServiceName, Zone
from celerytrack.prefill import prefill_s
from celerytrack.routes import (
    ClientAccount,
    Repeat,
    Route,
    RoutingTable,
    pick_service,
)
from celerytrack.streams import EventCutter

S = ServiceName("s")
HERE, THERE = Zone("z1"), Zone("z2")


def _reg(name, zone=HERE, slots=8, draining=False, service=S):
    address = f"10.0.0.1:{len(name)}"
    return Registration(EndpointId(name), service, address, zone, slots, draining)


def _book(*registrations):
    book = EndpointBook(HERE, random.Random(1))
    for registration in registrations:
        book.register(registration, 0.0)
    return book


def _choose(book, need=None, now_s=1.0, avoid=()):
    got = book.choose(need or Need(S), 1, 100, list(avoid), now_s)
    return got.endpoint.endpoint_id if got else None


def _send(book, endpoint, need, now_s):
    work_s = prefill_s(need.prompt_tokens, need.prompt_tokens)
    return book.send(Choice(endpoint, 0.1, work_s), need, now_s)


DRAINS = attrs.evolve(_reg("a", draining=True), born_ms=1)
PROMPT = Need(S, (("m/p", 500), ("m/p/q", 5_000), ("m/p/q/r", 600)))


class ChoiceTest(unittest.TestCase):
    def test_a_draining_endpoint_gets_nothing(self):
        book = _book(_reg("a", draining=True), _reg("b", THERE))
        self.assertEqual(_choose(book), "b")

    def test_none_of_another_service(self):
        book = _book(_reg("a", service=ServiceName("other")))
        self.assertIsNone(_choose(book))

    def test_own_failure_domain_first(self):
        book = _book(_reg("a", THERE), _reg("b", HERE))
        self.assertEqual(_choose(book), "b")

    @params((0.5, "b"), (3.0, "a"))
    def test_a_cold_endpoint_is_slow_for_a_while(self, now_s, expected):
        cold = attrs.evolve(_reg("a"), cold_s=2.0)
        book = _book(cold, _reg("b", THERE))
        self.assertEqual(_choose(book, now_s=now_s), expected)

    def test_all_entries_agree_on_the_home_of_a_session(self):
        names = [f"r{i}" for i in range(6)]
        homes = set()
        for seed in range(5):
            book = EndpointBook(HERE, random.Random(seed))
            for name in random.Random(seed).sample(names, 6):
                book.register(_reg(name), 0.0)
            homes.add(_choose(book, PROMPT))
        self.assertEqual(len(homes), 1)

    def test_a_busy_home_is_left(self):
        book = _book(*(_reg(f"r{i}") for i in range(4)))
        home = book.choose(PROMPT, 1, 100, [], 1.0).endpoint
        for i in range(8):
            need = Need(S, ((f"m/x{i}", 9_000), (f"m/x{i}/y", 9_000)))
            _send(book, home, need, 1.0)
        self.assertNotEqual(_choose(book, PROMPT), home.endpoint_id)

    def test_the_work_at_a_home_is_what_others_have_not_read_there(self):
        """Symptom: long prompts of sessions in use left their homes, and their
        shared parts were read again elsewhere.

        Sequence: entries send prompts of one session in turn, all to its home;
        each tells the others of the whole prompt, though the home reads only
        the new part; the home looks busy for five times as long as it is.
        Cause: the work was counted by what this entry itself had sent there.
        """
        book = _book(*(_reg(f"r{i}") for i in range(4)))
        choice = book.choose(PROMPT, 1, 100, [], 1.0)
        self.assertAlmostEqual(choice.work_s, prefill_s(600, 6_100))
        sent = book.send(choice, PROMPT, 1.0)
        self.assertEqual(sent.work_s, choice.work_s)

    def test_a_home_is_not_left_for_a_few_running_requests(self):
        """Symptom: a twentieth of all prompt tokens read a second time.

        Sequence: short prompts of one session arrive while their home runs a
        few requests more than another engine; each goes to the other, which
        reads the shared parts anew. Cause: a running request weighed as much
        as 50 prompt tokens for each entry.
        """
        book = _book(*(_reg(f"r{i}", slots=64) for i in range(4)))
        short = Need(S, (("m/a", 119), ("m/a/b", 79), ("m/a/b/c", 400)))
        home = book.choose(short, 6, 360, [], 1.0).endpoint
        for i in range(3):
            sent = _send(book, home, Need(S, ((f"m/o{i}", 100),)), 1.0)
            sent.answered(1.01)
        chosen = book.choose(short, 6, 360, [], 1.1).endpoint
        self.assertEqual(chosen.endpoint_id, home.endpoint_id)

    def test_a_kept_prompt_is_not_read_again(self):
        book = _book(_reg("a"), _reg("b"))
        first = book.choose(PROMPT, 1, 100, [], 1.0).endpoint
        sent = _send(book, first, PROMPT, 1.0)
        sent.answered(1.1)
        sent.end(1.2, False)
        self.assertEqual(first.unread(PROMPT, False, 2.0), 0)

    def test_tried_endpoints_are_avoided(self):
        book = _book(_reg("a"), _reg("b"))
        self.assertEqual(_choose(book, avoid=["a"]), "b")


class TrustTest(unittest.TestCase):
    def test_a_dark_endpoint_rests_and_comes_back(self):
        book = _book(_reg("a"), _reg("b", THERE))
        endpoint = book.choose(Need(S), 1, 100, [], 1.0).endpoint
        book.failed(endpoint, True, 1.0)
        self.assertEqual(_choose(book, now_s=1.0 + EJECT_S / 2), "b")
        other = book.choose(Need(S), 1, 100, ["a"], 1.0).endpoint
        for _ in range(4):
            _send(book, other, Need(S), 1.0)
        self.assertEqual(_choose(book, now_s=1.0 + EJECT_S / 2), "b")
        self.assertEqual(_choose(book, now_s=1.0 + 2 * EJECT_S), "a")

    def test_one_that_answers_failures_well_looking_is_avoided(self):
        book = _book(_reg("a"), _reg("b", THERE))
        grey = book.choose(Need(S), 1, 100, [], 1.0).endpoint
        for _ in range(10):
            book.failed(grey, False, 1.0)
        self.assertEqual(_choose(book, now_s=1.1), "b")

    def test_a_service_that_fails_evenly_loses_no_endpoint(self):
        """Symptom: a healthy service whose answers are failures by nature
        (a seat that is taken) lost its endpoints one after the other.

        Cause: failures were counted without those of its neighbours.
        """
        book = _book(_reg("a"), _reg("b"))
        both = [
            book.choose(Need(S), 1, 100, avoid, 1.0).endpoint for avoid in ([], ["a"])
        ]
        both.append(book.choose(Need(S), 1, 100, ["b"], 1.0).endpoint)
        for _ in range(4):
            for endpoint in set(map(id, both)):
                target = next(e for e in both if id(e) == endpoint)
                book.failed(target, False, 1.0)
        self.assertIsNotNone(_choose(book, now_s=1.1))


def _start(born_ms, sequence=1, **fields):
    return attrs.evolve(_reg("a"), born_ms=born_ms, sequence=sequence, **fields)


class StartedAgainTest(unittest.TestCase):
    def test_what_was_known_of_the_start_before_is_dropped(self):
        """Symptom: prompts were sent to an engine as if it kept their parts, and
        had their first token late; one that had crashed while busy got no work.

        Sequence: an engine crashes with requests in progress and starts again
        under its id; it keeps nothing and runs nothing. Its entry still counts
        the parts, the running requests, the failures and the slowness of before.
        Cause: a start was told apart by its id alone.
        """
        book = _book(_start(1_000))
        before = book.choose(PROMPT, 1, 100, [], 0.0).endpoint
        sent = _send(book, before, PROMPT, 0.0)
        before.slowness = 5.0
        book.failed(before, True, 0.5)
        self.assertIs(book.register(_start(2_000), 1.0), Registered.STARTED_AGAIN)
        now = book.choose(PROMPT, 1, 100, [], 1.0).endpoint
        self.assertIsNot(now, before)
        self.assertEqual((now.running, now.failures, now.slowness), (0, 0, 1.0))
        self.assertEqual(now.unread(PROMPT, False, 1.0), PROMPT.prompt_tokens)
        # The end of a request of before is no end of one of now.
        sent.end(1.5, plain=False)
        self.assertEqual(now.running, 0)

    @params(
        (_start(1_000, 9), _start(2_000, 1), Registered.STARTED_AGAIN),
        (_start(2_000, 1), _start(1_000, 9), Registered.STALE),
        (_start(1_000, 3), _start(1_000, 2), Registered.STALE),
        (_start(1_000, 3), _start(1_000, 3), Registered.SAME),
        (_start(1_000, 3), _start(1_000, 4, draining=True), Registered.CHANGED),
        # An endpoint that does not tell its start is not taken for another.
        (_start(0, 3), _start(1_000, 4), Registered.SAME),
    )
    def test_the_order_of_records(self, known, read, expected):
        book = _book(known)
        self.assertIs(book.register(read, 1.0), expected)

    def test_a_late_record_does_not_call_a_leaving_endpoint_back(self):
        """Symptom: new requests reached an endpoint that had said it leaves.

        Sequence: it writes ``ready``, then ``draining``; the first lands behind
        the second. Cause: the record read last counted.
        """
        book = _book(_start(1_000, 4, draining=True))
        book.register(_start(1_000, 3), 1.0)
        self.assertIsNone(_choose(book))

    def test_a_start_that_ended_long_ago_does_not_come_back(self):
        """Symptom: requests were sent to a process that was gone.

        Sequence: an endpoint starts again and leaves for good; its id is
        forgotten; then a record of its first start lands.
        Cause: what an id was known by went with it.
        """
        book = _book(_start(2_000, 5))
        book.dropped(EndpointId("a"), 1.0)
        book.forget_gone(1.0 + 2 * GONE_GRACE_S)
        self.assertIs(book.register(_start(1_000, 9), 9.0), Registered.STALE)
        self.assertIsNone(_choose(book, now_s=9.0))


class ClaimedMeanwhileTest(unittest.TestCase):
    @params(
        ("nothing", lambda b: None, True),
        ("it drains", lambda b: b.register(DRAINS, 1.0), False),
        ("it is gone", lambda b: b.dropped(EndpointId("a"), 1.0), False),
        (
            "it started again",
            lambda b: b.register(attrs.evolve(_reg("a"), born_ms=2), 1.0),
            False,
        ),
    )
    def test_an_endpoint_chosen_before_a_wait_may_have_left(self, _, happens, takes):
        """A trial was sent to an endpoint that left while the others were told."""
        book = _book(attrs.evolve(_reg("a"), born_ms=1))
        chosen = book.choose(Need(S), 1, 100, [], 0.0)
        happens(book)
        self.assertEqual(book.takes_work(chosen.endpoint), takes)


class LapsedRegistrationTest(unittest.TestCase):
    """Symptom: no endpoint for two seconds after each outage of the store.

    Sequence: registrations lapse while the store is away; on its return all
    are dropped, and written again up to two seconds later.
    Cause: a dropped registration counted as an endpoint that left.
    """

    def test_it_serves_on_for_a_while_if_it_is_the_only_one(self):
        book = _book(_reg("a"))
        book.dropped(EndpointId("a"), 1.0)
        self.assertEqual(_choose(book, now_s=1.0 + GONE_GRACE_S / 2), "a")
        self.assertIsNone(_choose(book, now_s=1.1 + GONE_GRACE_S))

    def test_but_not_if_its_record_is_none(self):
        book = _book(_reg("a"))
        book.disowned(EndpointId("a"), 1.0)
        self.assertIsNone(_choose(book, now_s=1.0))

    def test_but_not_if_another_stands(self):
        book = _book(_reg("a"), _reg("b", THERE))
        book.dropped(EndpointId("a"), 1.0)
        self.assertEqual(_choose(book, now_s=1.1), "b")


def _route(prefix, host="h", services=((S, 1.0),)):
    return Route(
        prefix, host, prefix, services, Repeat.IDEMPOTENT, False, False, 1.0, 1.0
    )


class RouteTest(unittest.TestCase):
    table = RoutingTable(
        3,
        (_route("/a/"), _route("/a/b/"), _route("/", "other")),
        {},
        (ClientAccount(AccountId("t"), frozenset({"k1", "k2"}), 5),),
        True,
    )

    @params(
        ("h", "/a/b/c", "/a/b/"),
        ("h", "/a/bc", "/a/"),
        ("h", "/a", None),
        ("h", "/", None),
        ("other", "/x", "/"),
        ("nobody", "/a/", None),
    )
    def test_longest_prefix_of_the_host(self, host, path, expected):
        route = self.table.match(host, path)
        self.assertEqual(route.prefix if route else None, expected)

    @params(("k1", "t"), ("k2", "t"), ("k3", None))
    def test_keys(self, key, expected):
        account = self.table.account_by_key(key)
        self.assertEqual(account.account_id if account else None, expected)

    @params((0.0, "s"), (0.89, "s"), (0.91, "t"), (0.999, "t"))
    def test_split(self, point, expected):
        services = ((S, 90.0), (ServiceName("t"), 10.0))
        self.assertEqual(pick_service(_route("/", services=services), point), expected)


class EventCutterTest(unittest.TestCase):
    @params(
        # chunks, whole events passed on, last id, half an event left
        ([b"id: 1\ndata: a\n\n"], b"id: 1\ndata: a\n\n", "1", False),
        ([b"id: 1\nda", b"ta: a\n\nid: 2"], b"id: 1\ndata: a\n\n", "1", True),
        ([b"id:7\ndata: a\n", b"\nid:8\ndata: b\n\n"], None, "8", False),
        ([b"data: no id\n\n"], b"data: no id\n\n", None, False),
    )
    def test_cut(self, chunks, passed, last_id, partial):
        cutter = EventCutter()
        whole = [cutter.feed(chunk) for chunk in chunks]
        got = b"".join(events.data for events in whole if events)
        self.assertEqual(got, passed or b"".join(chunks))
        self.assertEqual(cutter.last_id, last_id)
        self.assertIs(cutter.partial, partial)

    def test_a_half_event_is_forgotten_when_the_stream_goes_on_elsewhere(self):
        """Symptom: an event spoilt in the middle of a resumed stream.

        Sequence: an endpoint dies in the middle of an event; the next one
        sends that event again whole. Cause: the half was kept before it.
        """
        cutter = EventCutter()
        cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        cutter.restart()
        events = cutter.feed(b"id: 2\ndata: b\n\n")
        self.assertEqual(events.data, b"id: 2\ndata: b\n\n")
