"""Requests that end the endpoints that run them."""

import asyncio
import datetime
import time
import unittest

from aiohttp import web
from nose2.tools import params

from celerytrack.cli.suspect_commands import (
    SuspectsError,
    lift_suspect,
    read_suspects,
    suspect_rows,
)
from celerytrack.findings import Ending, Trial
from celerytrack.fingerprint import Place, fingerprint_of
from celerytrack.gateway.state import Gateway
from celerytrack.ids import AccountId, EndpointId, EntryId, ServiceName
from celerytrack.platform.store import StoreClient
from celerytrack.platform.topics import ENDPOINTS_TOPIC, SUSPECTS_TOPIC
from celerytrack.routing import rendezvous
from celerytrack.suspects import QUARANTINES_S, Standing, SuspectBook
from tests.crashing_endpoints import MARKER, Answers, CrashRun
from tests.gateway_fleet import Endpoint, Fleet

KNOWN_WITHIN_S = 3.0
"""Within it the whole fleet knows that a request ended three endpoints."""
MOST_AFTER = 3
"""Times that such a request may reach endpoints later than that."""
AT_ONCE_S = 0.1


def _known(gateway: Gateway) -> list[Standing]:
    suspects = gateway.suspects.tracker.suspects(time.monotonic())
    return [suspect.standing for suspect in suspects]


def _shut_out(gateway: Gateway) -> bool:
    return _known(gateway)[:1] == [Standing.SHUT_OUT]


def _lose_notes(fleet: Fleet) -> None:
    for gateway in fleet.gateways:
        gateway.peer_messenger.send_findings = lambda addresses, findings: None  # type: ignore[method-assign]


async def _convict(fleet: Fleet, run: CrashRun) -> None:
    """Have a marked request end three endpoints, and all entries know it."""
    while not all(_shut_out(gateway) for gateway in fleet.gateways):
        await run.ask(run.marked, MARKER)
        await asyncio.sleep(0.05)


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    def _assert_bounded(self, run: CrashRun) -> None:
        self.assertGreaterEqual(len(run.ended), 3, "it was not run often enough")
        late = run.marked_after(run.ended[2] + KNOWN_WITHIN_S)
        self.assertLessEqual(len(late), MOST_AFTER, run.marked.by_status)

    async def test_a_crashing_request_is_not_sent_again_and_again(self) -> None:
        """BUDGET: one request, at whatever entry, ended endpoint after endpoint."""
        async with Fleet(gateways=4) as fleet, CrashRun(fleet, 12, seed=1) as run:
            await run.play(8.0)
            self._assert_bounded(run)

    async def test_harmless_requests_beside_it_are_served(self) -> None:
        """A quarter of the harmless requests broke with the endpoints they were at."""
        async with Fleet(gateways=4) as fleet, CrashRun(fleet, 12, seed=2) as run:
            await run.play(6.0)
            served = run.harmless.by_status.get(200, 0)
            self.assertGreaterEqual(served, 0.97 * run.harmless.asked)
            self.assertNotIn(429, run.harmless.by_status)

    @params("notes", "log")
    def test_it_is_known_everywhere_though_one_way_is_lost(self, lost: str) -> None:
        """One try by each entry that had not heard of it broke the bound."""
        asyncio.run(self._without(lost))

    async def _without(self, lost: str) -> None:
        async with Fleet(gateways=6) as fleet, CrashRun(fleet, 12, seed=3) as run:
            if lost == "notes":
                _lose_notes(fleet)
            else:
                fleet.log.topic(SUSPECTS_TOPIC)
                fleet.log.refused.add(SUSPECTS_TOPIC)
            await run.play(6.0, harmless_per_s=5.0)
            self._assert_bounded(run)
            self.assertLessEqual(len(run.ended), 3 + len(fleet.gateways))

    @params("/once/x", "/stream/x", "/resume/x")
    def test_every_kind_of_request_is_known_by_its_endings(self, path: str) -> None:
        """A stream that goes on elsewhere, or a call sent once, ended them as well."""
        asyncio.run(self._of_kind(path))

    async def _of_kind(self, path: str) -> None:
        async with Fleet(gateways=2) as fleet, CrashRun(fleet, 8, seed=4) as run:
            await run.play(5.0, path=path, harmless_per_s=5.0)
            self._assert_bounded(run)

    @params(0.0, 1.2)
    def test_it_is_known_however_long_it_runs_before(self, work_s: float) -> None:
        """One ended them at its first byte, another after more than a second."""
        asyncio.run(self._lasting(work_s))

    async def _lasting(self, work_s: float) -> None:
        async with (
            Fleet(gateways=2) as fleet,
            CrashRun(fleet, 12, seed=5, work_s=work_s) as run,
        ):
            await run.play(7.0, harmless_per_s=3.0)
            self._assert_bounded(run)

    async def test_an_entry_that_starts_knows_before_it_serves(self) -> None:
        """Each new start gave a request that was known three more endpoints."""
        async with Fleet(gateways=2) as fleet, CrashRun(fleet, 8, seed=6) as run:
            await _convict(fleet, run)
            await fleet.add_gateway()
            ended = len(run.ended)
            self.assertEqual(await run.ask(run.marked, MARKER, gateway=2), 429)
            self.assertEqual(len(run.ended), ended)

    async def test_it_stays_known_when_the_log_comes_back_from_an_older_copy(
        self,
    ) -> None:
        """A log that lost the records let a new start try what all others knew."""
        async with Fleet(gateways=2) as fleet, CrashRun(fleet, 8, seed=7) as run:
            older = fleet.log.copy()
            await _convict(fleet, run)
            await fleet.log.restore_after(older, 0.3)
            records = fleet.log.topic(SUSPECTS_TOPIC)
            await fleet.wait_until(lambda: len(records.newest()) > 0)
            await fleet.add_gateway()
            self.assertEqual(await run.ask(run.marked, MARKER, gateway=2), 429)

    async def test_the_refusal_comes_at_once_says_when_and_costs_nothing(self) -> None:
        async with Fleet(gateways=1) as fleet, CrashRun(fleet, 8, seed=8) as run:
            await _convict(fleet, run)
            book = fleet.gateways[0].share_sync.budgets
            left = book.available_tokens(AccountId("t"), time.monotonic())
            began_s = time.monotonic()
            status, headers, body = await fleet.ask(
                "/plain/x", "last", body=MARKER, X_Token_Count="10,10"
            )
            self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
            self.assertEqual(status, 429)
            self.assertGreater(float(headers["Retry-After"]), 0.9 * QUARANTINES_S[0])
            self.assertIn(b"did_not_run", body)
            after = book.available_tokens(AccountId("t"), time.monotonic())
            self.assertEqual(after, left)

    async def test_it_is_tried_again_once_all_endpoints_are_of_another_build(
        self,
    ) -> None:
        """Mended software kept refusing what it could run."""
        async with Fleet(gateways=2) as fleet, CrashRun(fleet, 6, seed=9) as run:
            await _convict(fleet, run)
            await fleet.wait_until(lambda: all(e.listens for e in run.endpoints))
            for endpoint in run.endpoints:
                endpoint.harmed = False
                await endpoint.replace("v2")
            known = fleet.gateways[1].endpoints
            await fleet.wait_until(lambda: len(known.ids()) == len(run.endpoints))
            self.assertEqual(await run.ask(run.marked, MARKER, gateway=1), 200)
            await fleet.wait_until(lambda: not any(_known(g) for g in fleet.gateways))
            self.assertEqual(await run.ask(run.marked, MARKER, gateway=0), 200)

    async def test_an_operator_sees_what_is_shut_out_and_lifts_it(self) -> None:
        """Nobody could tell what was refused, nor let it back."""
        async with Fleet(gateways=2) as fleet, CrashRun(fleet, 8, seed=12) as run:
            store = StoreClient(fleet.gateways[0].settings.store_address)
            self.addAsyncCleanup(store.close)
            await _convict(fleet, run)
            view = await read_suspects(store)
            (suspect,) = view.book.suspects(time.monotonic())
            (row,) = suspect_rows(view, time.monotonic())
            self.assertEqual(row["standing"], "shut_out")
            self.assertEqual(len(row["endings"]), len(suspect.endings))
            since = datetime.datetime.fromisoformat(row["since"]).timestamp()
            self.assertAlmostEqual(since, time.time(), delta=10)
            with self.assertRaises(SuspectsError):
                await lift_suspect(store, "ff" * 16)
            await lift_suspect(store, suspect.fingerprint.hex()[:8])
            await fleet.wait_until(lambda: not any(_known(g) for g in fleet.gateways))
            await fleet.add_gateway()
            self.assertEqual(_known(fleet.gateways[2]), [])
            for endpoint in run.endpoints:
                endpoint.harmed = False
            self.assertEqual(await run.ask(run.marked, MARKER, gateway=2), 200)

    async def test_a_record_that_is_none_does_no_harm(self) -> None:
        async with Fleet(gateways=1) as fleet, CrashRun(fleet, 6, seed=10) as run:
            fleet.log.put(SUSPECTS_TOPIC, "somebody", b"\x01\x02")
            await _convict(fleet, run)
            self.assertEqual(await run.ask(run.marked, MARKER), 429)


class ClaimTest(unittest.IsolatedAsyncioTestCase):
    """Trials that come to nothing before they are sent."""

    async def asyncSetUp(self) -> None:
        self.known = fingerprint_of(Place(b"place!"), MARKER)
        self.fleet = await self.enterAsyncContext(Fleet(gateways=1))
        self.keeper = self.fleet.gateways[0].suspects
        for number in range(2):
            ending = Ending(EndpointId(f"i-{number}"))
            self.keeper.tracker.witnessed(ending, [self.known], time.monotonic())

    async def test_a_caller_that_leaves_while_the_others_are_told(self) -> None:
        """Its claim stood until its deadline, and nobody tried the request."""
        self.fleet.log.silent = True
        trial = Trial(self.known, EndpointId("i-9"), 60.0)
        claim = asyncio.create_task(self.keeper.begin_probe(trial, []))
        await asyncio.sleep(0.1)
        self.assertTrue(self.keeper.tracker.holds(self.known))
        claim.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await claim
        self.assertFalse(self.keeper.tracker.holds(self.known))
        self.fleet.log.silent = False

    @params(("e0@127.0.0.1", True), ("another", False))
    def test_while_the_log_takes_nothing_the_first_in_line_alone_tries(
        self, first: str, may: bool
    ) -> None:
        """With the log away each entry could try what no other had heard of."""
        asyncio.run(self._first_in_line(first, may))

    async def _first_in_line(self, first: str, may: bool) -> None:
        others = [EntryId(name) for name in ("another", "a third", "a fourth")]
        book = SuspectBook(EntryId("e0@127.0.0.1"))
        known = next(
            known
            for known in (
                fingerprint_of(Place(b"place!"), b"%d" % n) for n in range(100)
            )
            if rendezvous(known.hex(), [*others, book.me], 1) == [first]
        )
        async with Fleet(gateways=1) as fleet:
            keeper = fleet.gateways[0].suspects
            fleet.log.refused.add(SUSPECTS_TOPIC)
            for number in range(2):
                ending = Ending(EndpointId(f"i-{number}"))
                keeper.tracker.witnessed(ending, [known], time.monotonic())
            trial = Trial(known, EndpointId("i-9"), 60.0)
            self.assertEqual(await keeper.begin_probe(trial, others), may)


class EvidenceTest(unittest.IsolatedAsyncioTestCase):
    """What is not taken for the doing of a request."""

    async def _reset(self, request: web.BaseRequest) -> web.StreamResponse:
        assert request.transport is not None
        request.transport.abort()
        return web.Response()

    async def _silent(self, request: web.BaseRequest) -> web.StreamResponse:
        await asyncio.sleep(60)
        return web.Response()

    async def test_a_connection_that_was_reset(self) -> None:
        """Lossy links and resets had requests shut out."""
        async with Fleet(Endpoint("i-1", self._reset), gateways=1) as fleet:
            for number in range(4):
                await fleet.ask("/once/x", f"r{number}")
            await asyncio.sleep(0.5)
            self.assertEqual(_known(fleet.gateways[0]), [])

    async def test_an_endpoint_that_is_silent_until_the_time_is_up(self) -> None:
        """Endpoints that went dark were taken for endpoints that ended."""
        async with Fleet(Endpoint("i-1", self._silent), gateways=1) as fleet:
            status, _, _ = await fleet.ask("/once/x", X_Deadline_Ms="200")
            self.assertEqual(status, 504)
            await asyncio.sleep(0.4)
            self.assertEqual(_known(fleet.gateways[0]), [])

    async def test_a_caller_that_left(self) -> None:
        async with Fleet(Endpoint("i-1", self._silent), gateways=1) as fleet:
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await fleet.ask("/once/x")
            await asyncio.sleep(0.4)
            self.assertEqual(_known(fleet.gateways[0]), [])

    async def test_an_endpoint_that_leaves(self) -> None:
        """Planned stops of endpoints had long streams shut out."""
        async with (
            Fleet(gateways=1) as fleet,
            CrashRun(fleet, 1, seed=1, work_s=10.0) as run,
        ):
            (endpoint,) = run.endpoints
            asked = asyncio.create_task(run.ask(run.harmless, b"long", "/once/x"))
            await fleet.wait_until(lambda: bool(run.arrivals))
            record = endpoint.registration(state="draining")
            fleet.log.put(ENDPOINTS_TOPIC, "i-0-1", record)
            known = fleet.gateways[0].endpoints
            service = ServiceName("s")
            await fleet.wait_until(lambda: not known.builds(service, time.monotonic()))
            endpoint.end("i-0-1")
            self.assertEqual(await asked, 502)
            await asyncio.sleep(0.4)
            self.assertEqual(_known(fleet.gateways[0]), [])

    async def test_a_process_that_starts_again_under_its_id(self) -> None:
        """A restart at once, under the old id, refused no connection."""
        async with Fleet(Endpoint("i-1", self._silent), gateways=1) as fleet:
            (endpoint,) = fleet.endpoints
            gateway = fleet.gateways[0]
            fleet.log.put(ENDPOINTS_TOPIC, "i-1", endpoint.registration(born=1_000))
            await fleet.wait_until(
                lambda: any(
                    e.registration.born_ms
                    for e in gateway.endpoints._endpoints.values()
                )
            )
            asked = asyncio.create_task(fleet.ask("/once/x"))
            await fleet.wait_until(lambda: len(endpoint.seen) > 0)
            fleet.log.put(ENDPOINTS_TOPIC, "i-1", endpoint.registration(born=2_000))
            status, _, _ = await asked
            self.assertEqual(status, 502)
            await fleet.wait_until(lambda: _known(gateway) == [Standing.WATCHED])


class ManyRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def test_two_crashing_requests_at_once_are_both_found(self) -> None:
        """Two at the same time, and all that ran beside them shared the blame."""
        async with Fleet(gateways=3) as fleet, CrashRun(fleet, 12, seed=11) as run:
            other = Answers()

            async def ask_other() -> int:
                return await run.ask(other, MARKER + b" too")

            await asyncio.gather(run.play(6.0), run.repeat(3.0, 6.0, ask_other))
            for answers in (run.marked, other):
                self.assertGreater(answers.by_status.get(429, 0), 0)
            self.assertNotIn(429, run.harmless.by_status)
            served = run.harmless.by_status.get(200, 0)
            self.assertGreaterEqual(served, 0.95 * run.harmless.asked)

    async def test_nothing_is_written_or_told_while_nothing_is_under_suspicion(
        self,
    ) -> None:
        """Each write of each of hundreds of entries is paid for."""
        async with Fleet(gateways=2) as fleet, CrashRun(fleet, 2, seed=12) as run:
            await run.repeat(20.0, 1.5, lambda: run.ask(run.harmless, b"harmless"))
            self.assertEqual(fleet.log.topic(SUSPECTS_TOPIC).records, [])

    def test_a_large_body_is_read_quickly_enough(self) -> None:
        """A digest that held up the relayed streams of an entry."""
        place = Place(b"place!")
        body = bytes(4 * 1024 * 1024)
        began_s = time.perf_counter()
        fingerprint_of(place, body)
        self.assertLess(time.perf_counter() - began_s, 0.05)
