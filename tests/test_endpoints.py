"""Choice of an endpoint, registrations, route matching and event streams."""

import random
import unittest

import attrs
from nose2.tools import params

from celerytrack.ids import AccountId, EndpointId, ServiceName, Zone
from celerytrack.routing.ejection import MIN_EJECTION_S
from celerytrack.routing.endpoint import Choice, Registration, RequestProfile
from celerytrack.routing.endpoints import (
    EndpointPool,
    RegistrationChange,
)
from celerytrack.routing.leaving_bounds import LAPSED_GRACE_S
from celerytrack.routing.prefill import prefill_s
from celerytrack.routing.routes import (
    ClientAccount,
    RetrySafety,
    Route,
    RoutingTable,
    pick_service,
)
from celerytrack.streams import EventSplitter

S = ServiceName("s")
HERE, THERE = Zone("z1"), Zone("z2")


def _reg(name, zone=HERE, slots=8, draining=False, service=S):
    address = f"10.0.0.1:{len(name)}"
    return Registration(EndpointId(name), service, address, zone, slots, draining)


def _pool(*registrations):
    pool = EndpointPool(HERE, random.Random(1))
    for registration in registrations:
        pool.register(registration, 0.0)
    return pool


def _choose(pool, need=None, now_s=1.0, avoid=()):
    got = pool.choose(need or RequestProfile(S), 1, 100, list(avoid), now_s)
    return got.endpoint.endpoint_id if got else None


def _send(pool, endpoint, need, now_s):
    work_s = prefill_s(need.prompt_tokens, need.prompt_tokens)
    return pool.record_dispatch(Choice(endpoint, 0.1, work_s), need, now_s)


DRAINS = attrs.evolve(_reg("a", draining=True), born_ms=1)
PROMPT = RequestProfile(S, (("m/p", 500), ("m/p/q", 5_000), ("m/p/q/r", 600)))


class ChoiceTest(unittest.TestCase):
    def test_a_draining_endpoint_is_not_chosen(self):
        pool = _pool(_reg("a", draining=True), _reg("b", THERE))
        self.assertEqual(_choose(pool), "b")

    def test_an_endpoint_of_another_service_is_not_chosen(self):
        pool = _pool(_reg("a", service=ServiceName("other")))
        self.assertIsNone(_choose(pool))

    def test_the_own_failure_domain_is_preferred(self):
        pool = _pool(_reg("a", THERE), _reg("b", HERE))
        self.assertEqual(_choose(pool), "b")

    @params((0.5, "b"), (3.0, "a"))
    def test_an_endpoint_is_avoided_while_it_warms_up(self, now_s, expected):
        cold = attrs.evolve(_reg("a"), cold_s=2.0)
        pool = _pool(cold, _reg("b", THERE))
        self.assertEqual(_choose(pool, now_s=now_s), expected)

    def test_all_entries_agree_on_the_home_of_a_session(self):
        names = [f"r{i}" for i in range(6)]
        homes = set()
        for seed in range(5):
            pool = EndpointPool(HERE, random.Random(seed))
            for name in random.Random(seed).sample(names, 6):
                pool.register(_reg(name), 0.0)
            homes.add(_choose(pool, PROMPT))
        self.assertEqual(len(homes), 1)

    def test_another_engine_is_chosen_when_the_home_is_busy(self):
        pool = _pool(*(_reg(f"r{i}") for i in range(4)))
        home = pool.choose(PROMPT, 1, 100, [], 1.0).endpoint
        for i in range(8):
            need = RequestProfile(S, ((f"m/x{i}", 9_000), (f"m/x{i}/y", 9_000)))
            _send(pool, home, need, 1.0)
        self.assertNotEqual(_choose(pool, PROMPT), home.endpoint_id)

    def test_shared_parts_count_as_cached_at_the_home(self):
        """Long prompts of active sessions left their homes, and their shared parts were
        prefilled again elsewhere.

        Several entries send prompts of one session to its home. Each counted as cached
        only what it had sent itself, and reported the whole prompt to the others
        although the home prefills only the new part. The home looked busy for five
        times too long.
        """
        pool = _pool(*(_reg(f"r{i}") for i in range(4)))
        choice = pool.choose(PROMPT, 1, 100, [], 1.0)
        self.assertAlmostEqual(choice.work_s, prefill_s(600, 6_100))
        sent = pool.record_dispatch(choice, PROMPT, 1.0)
        self.assertEqual(sent.work_s, choice.work_s)

    def test_a_few_running_requests_do_not_outweigh_the_home(self):
        """A twentieth of all prompt tokens was prefilled a second time.

        Short prompts of one session arrive while their home runs a few requests more
        than another engine. They went to the other engine, which prefilled the shared
        parts again, because a running request weighed as much as 50 prompt tokens for
        each entry.
        """
        pool = _pool(*(_reg(f"r{i}", slots=64) for i in range(4)))
        short = RequestProfile(S, (("m/a", 119), ("m/a/b", 79), ("m/a/b/c", 400)))
        home = pool.choose(short, 6, 360, [], 1.0).endpoint
        for i in range(3):
            sent = _send(pool, home, RequestProfile(S, ((f"m/o{i}", 100),)), 1.0)
            sent.record_first_output(1.01)
        chosen = pool.choose(short, 6, 360, [], 1.1).endpoint
        self.assertEqual(chosen.endpoint_id, home.endpoint_id)

    def test_a_cached_prompt_needs_no_prefill(self):
        pool = _pool(_reg("a"), _reg("b"))
        first = pool.choose(PROMPT, 1, 100, [], 1.0).endpoint
        sent = _send(pool, first, PROMPT, 1.0)
        sent.record_first_output(1.1)
        sent.finish(1.2, False)
        self.assertEqual(first.uncached_tokens(PROMPT, False, 2.0), 0)

    def test_endpoints_tried_before_are_not_chosen(self):
        pool = _pool(_reg("a"), _reg("b"))
        self.assertEqual(_choose(pool, avoid=["a"]), "b")


class EjectionTest(unittest.TestCase):
    def test_an_unreachable_endpoint_is_ejected_and_comes_back(self):
        pool = _pool(_reg("a"), _reg("b", THERE))
        endpoint = pool.choose(RequestProfile(S), 1, 100, [], 1.0).endpoint
        pool.record_failure(endpoint, True, 1.0)
        self.assertEqual(_choose(pool, now_s=1.0 + MIN_EJECTION_S / 2), "b")
        other = pool.choose(RequestProfile(S), 1, 100, ["a"], 1.0).endpoint
        for _ in range(4):
            _send(pool, other, RequestProfile(S), 1.0)
        self.assertEqual(_choose(pool, now_s=1.0 + MIN_EJECTION_S / 2), "b")
        self.assertEqual(_choose(pool, now_s=1.0 + 2 * MIN_EJECTION_S), "a")

    def test_an_endpoint_with_a_grey_failure_is_ejected(self):
        pool = _pool(_reg("a"), _reg("b", THERE))
        grey = pool.choose(RequestProfile(S), 1, 100, [], 1.0).endpoint
        for _ in range(10):
            pool.record_failure(grey, False, 1.0)
        self.assertEqual(_choose(pool, now_s=1.1), "b")

    def test_a_service_that_fails_evenly_loses_no_endpoint(self):
        """A healthy service whose answers are often failures by nature (a seat that is
        taken) had its endpoints ejected one after the other, because the failure rate
        of an endpoint was not compared with those of its peers.
        """
        pool = _pool(_reg("a"), _reg("b"))
        both = [
            pool.choose(RequestProfile(S), 1, 100, avoid, 1.0).endpoint
            for avoid in ([], ["a"])
        ]
        both.append(pool.choose(RequestProfile(S), 1, 100, ["b"], 1.0).endpoint)
        for _ in range(4):
            for endpoint in set(map(id, both)):
                target = next(e for e in both if id(e) == endpoint)
                pool.record_failure(target, False, 1.0)
        self.assertIsNotNone(_choose(pool, now_s=1.1))


def _start(born_ms, sequence=1, **fields):
    return attrs.evolve(_reg("a"), born_ms=born_ms, sequence=sequence, **fields)


class RestartTest(unittest.TestCase):
    def test_a_restart_resets_the_state_of_an_endpoint(self):
        """Prompts were sent to a restarted engine as if it had their parts in its
        cache, and had a late first token; an engine that had crashed while busy got no
        requests.

        An engine crashes with requests in progress and restarts under its id, with an
        empty cache and no requests. The entry told processes apart only by id, and kept
        the cached parts, running requests, failures and slowness of the old process.
        """
        pool = _pool(_start(1_000))
        before = pool.choose(PROMPT, 1, 100, [], 0.0).endpoint
        sent = _send(pool, before, PROMPT, 0.0)
        before.slowness = 5.0
        pool.record_failure(before, True, 0.5)
        self.assertIs(pool.register(_start(2_000), 1.0), RegistrationChange.RESTARTED)
        now = pool.choose(PROMPT, 1, 100, [], 1.0).endpoint
        self.assertIsNot(now, before)
        self.assertEqual(
            (now.running, now.consecutive_failures, now.slowness), (0, 0, 1.0)
        )
        self.assertEqual(now.uncached_tokens(PROMPT, False, 1.0), PROMPT.prompt_tokens)
        # The end of a request at the old process doesn't count for the new one.
        sent.finish(1.5, plain=False)
        self.assertEqual(now.running, 0)

    @params(
        (_start(1_000, 9), _start(2_000, 1), RegistrationChange.RESTARTED),
        (_start(2_000, 1), _start(1_000, 9), RegistrationChange.STALE),
        (_start(1_000, 3), _start(1_000, 2), RegistrationChange.STALE),
        (_start(1_000, 3), _start(1_000, 3), RegistrationChange.SAME),
        (_start(1_000, 3), _start(1_000, 4, draining=True), RegistrationChange.CHANGED),
        # A record without a start time doesn't show a restart.
        (_start(0, 3), _start(1_000, 4), RegistrationChange.SAME),
    )
    def test_the_order_of_records(self, known, read, expected):
        pool = _pool(known)
        self.assertIs(pool.register(read, 1.0), expected)

    def test_a_late_record_does_not_reactivate_a_draining_endpoint(self):
        """New requests reached a draining endpoint: it writes ``ready``, then
        ``draining``, the first record lands after the second, and the last one read
        counted.
        """
        pool = _pool(_start(1_000, 4, draining=True))
        pool.register(_start(1_000, 3), 1.0)
        self.assertIsNone(_choose(pool))

    def test_a_late_record_does_not_register_a_removed_endpoint(self):
        """Requests were sent to a process that was gone.

        An endpoint restarts, leaves for good and is removed; then a record of its first
        process lands. The last record of an id was removed together with it.
        """
        pool = _pool(_start(2_000, 5))
        pool.mark_deregistered(EndpointId("a"), 1.0)
        pool.evict_deregistered(1.0 + 2 * LAPSED_GRACE_S)
        self.assertIs(pool.register(_start(1_000, 9), 9.0), RegistrationChange.STALE)
        self.assertIsNone(_choose(pool, now_s=9.0))


class AvailabilityTest(unittest.TestCase):
    @params(
        ("nothing happens", lambda b: None, True),
        ("it drains", lambda b: b.register(DRAINS, 1.0), False),
        (
            "its registration disappears",
            lambda b: b.mark_deregistered(EndpointId("a"), 1.0),
            False,
        ),
        (
            "it restarts",
            lambda b: b.register(attrs.evolve(_reg("a"), born_ms=2), 1.0),
            False,
        ),
    )
    def test_a_chosen_endpoint_is_available_unless_it_left(self, _, act, available):
        """A probe was sent to an endpoint that had left while the probe was announced
        to the other entries."""
        pool = _pool(attrs.evolve(_reg("a"), born_ms=1))
        chosen = pool.choose(RequestProfile(S), 1, 100, [], 0.0)
        act(pool)
        self.assertEqual(pool.is_available(chosen.endpoint, 2.0), available)


class LapsedRegistrationTest(unittest.TestCase):
    """There was no endpoint for two seconds after each outage of the store.

    Registrations expire while the store is unreachable. When it is back all of them are
    gone and are written again up to two seconds later. An expired registration counted
    as an endpoint that had left.
    """

    def test_the_only_endpoint_is_used_for_the_grace_period(self):
        pool = _pool(_reg("a"))
        pool.mark_deregistered(EndpointId("a"), 1.0)
        self.assertEqual(_choose(pool, now_s=1.0 + LAPSED_GRACE_S / 2), "a")
        self.assertIsNone(_choose(pool, now_s=1.1 + LAPSED_GRACE_S))

    def test_an_endpoint_with_an_unusable_record_has_no_grace_period(self):
        pool = _pool(_reg("a"))
        pool.deregister_now(EndpointId("a"), 1.0)
        self.assertIsNone(_choose(pool, now_s=1.0))

    def test_a_registered_endpoint_is_preferred(self):
        pool = _pool(_reg("a"), _reg("b", THERE))
        pool.mark_deregistered(EndpointId("a"), 1.0)
        self.assertEqual(_choose(pool, now_s=1.1), "b")


def _route(prefix, host="h", services=((S, 1.0),)):
    return Route(
        prefix, host, prefix, services, RetrySafety.IDEMPOTENT, False, False, 1.0, 1.0
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
    def test_the_longest_prefix_of_the_host_matches(self, host, path, expected):
        route = self.table.match(host, path)
        self.assertEqual(route.prefix if route else None, expected)

    @params(("k1", "t"), ("k2", "t"), ("k3", None))
    def test_an_account_is_found_by_each_of_its_keys(self, key, expected):
        account = self.table.account_by_key(key)
        self.assertEqual(account.account_id if account else None, expected)

    @params((0.0, "s"), (0.89, "s"), (0.91, "t"), (0.999, "t"))
    def test_services_are_drawn_by_weight(self, point, expected):
        services = ((S, 90.0), (ServiceName("t"), 10.0))
        self.assertEqual(pick_service(_route("/", services=services), point), expected)


class EventSplitterTest(unittest.TestCase):
    @params(
        # chunks, complete events (None: all bytes), last id, has an incomplete event
        ([b"id: 1\ndata: a\n\n"], b"id: 1\ndata: a\n\n", "1", False),
        ([b"id: 1\nda", b"ta: a\n\nid: 2"], b"id: 1\ndata: a\n\n", "1", True),
        ([b"id:7\ndata: a\n", b"\nid:8\ndata: b\n\n"], None, "8", False),
        ([b"data: no id\n\n"], b"data: no id\n\n", None, False),
    )
    def test_only_complete_events_are_returned(
        self, chunks, passed, last_id, has_partial
    ):
        splitter = EventSplitter()
        batches = [splitter.feed(chunk) for chunk in chunks]
        got = b"".join(batch.data for batch in batches if batch)
        self.assertEqual(got, passed or b"".join(chunks))
        self.assertEqual(splitter.last_id, last_id)
        self.assertIs(splitter.has_partial, has_partial)

    def test_an_incomplete_event_is_discarded_when_the_stream_resumes(self):
        """An event was corrupted in a resumed stream.

        An endpoint crashes in the middle of an event, and the next one sends the whole
        event again. The incomplete event was kept in front of it.
        """
        splitter = EventSplitter()
        splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        splitter.resume(None)
        events = splitter.feed(b"id: 2\ndata: b\n\n")
        self.assertEqual(events.data, b"id: 2\ndata: b\n\n")
