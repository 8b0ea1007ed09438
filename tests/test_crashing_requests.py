"""Requests that crash the endpoints that run them, in a fleet of gateways."""

import asyncio
import datetime
import time
import unittest

from aiohttp import web
from nose2.tools import params

from celerytrack.cli.suspect_commands import (
    OperatorView,
    SuspectsError,
    lift_suspect,
    read_suspects,
    suspect_rows,
)
from celerytrack.findings import Crash, Probe
from celerytrack.fingerprint import FingerprintPrefix, fingerprint_of
from celerytrack.gateway.state import Gateway
from celerytrack.ids import AccountId, EndpointId, EntryId, ServiceName
from celerytrack.platform.store import StoreClient
from celerytrack.platform.topics import ENDPOINTS_TOPIC, SUSPECTS_TOPIC
from celerytrack.routing.rendezvous import rendezvous
from celerytrack.suspects import QUARANTINE_PERIODS_S, SuspectState, SuspectTracker
from tests.crashing_endpoints import MARKER, Answers, CrashRun
from tests.gateway_fleet import Endpoint, Fleet

QUARANTINE_WITHIN_S = 3.0
"""Longest time until the whole fleet knows that a request crashed three endpoints."""
MAX_ARRIVALS_AFTER = 3
"""Most times that such a request may reach endpoints later than that."""
AT_ONCE_S = 0.1


def _states(gateway: Gateway) -> list[SuspectState]:
    suspects = gateway.suspect_sync.tracker.list_suspects(time.monotonic())
    return [suspect.state for suspect in suspects]


def _is_quarantined(gateway: Gateway) -> bool:
    return _states(gateway)[:1] == [SuspectState.QUARANTINED]


def _lose_peer_messages(fleet: Fleet) -> None:
    for gateway in fleet.gateways:
        gateway.peer_messenger.send_findings = lambda addresses, findings: None  # type: ignore[method-assign]


async def _quarantine_everywhere(fleet: Fleet, run: CrashRun) -> None:
    """Repeat the crashing request until all entries have it in quarantine."""

    async def ask() -> None:
        await run.ask(run.marked, MARKER)
        await asyncio.sleep(0.05)

    await fleet.repeat_until(
        lambda: all(_is_quarantined(gateway) for gateway in fleet.gateways), ask
    )


async def _read_quarantined(store: StoreClient) -> OperatorView:
    """Read the suspects as operators do, once the log shows the quarantine.

    Entries know it from peer messages before the log does.
    """
    until_s = time.monotonic() + QUARANTINE_WITHIN_S
    while True:
        view = await read_suspects(store)
        states = [s.state for s in view.tracker.list_suspects(time.monotonic())]
        if states == [SuspectState.QUARANTINED] or time.monotonic() > until_s:
            return view
        await asyncio.sleep(0.02)


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    def _assert_bounded(self, run: CrashRun) -> None:
        self.assertGreaterEqual(len(run.crashes_s), 3, "the request ran too rarely")
        late = run.marked_after(run.crashes_s[2] + QUARANTINE_WITHIN_S)
        self.assertLessEqual(len(late), MAX_ARRIVALS_AFTER, run.marked.by_status)

    async def test_a_crashing_request_reaches_few_endpoints(self) -> None:
        """A request repeated at any entry crashed one endpoint after the other."""
        async with Fleet(gateways=4) as fleet, CrashRun(fleet, 12, seed=1) as run:
            await run.play(8.0)
            self._assert_bounded(run)

    async def test_harmless_requests_beside_it_are_served(self) -> None:
        """A quarter of the harmless requests failed when their endpoints crashed."""
        async with Fleet(gateways=4) as fleet, CrashRun(fleet, 12, seed=2) as run:
            await run.play(6.0)
            served = run.harmless.by_status.get(200, 0)
            self.assertGreaterEqual(served, 0.97 * run.harmless.asked)
            self.assertNotIn(429, run.harmless.by_status)

    @params("peer messages", "log")
    def test_peer_messages_or_the_log_alone_suffice(self, lost: str) -> None:
        """The limit was exceeded by one attempt of each entry without the evidence."""
        asyncio.run(self._without_one_channel(lost))

    async def _without_one_channel(self, lost: str) -> None:
        async with Fleet(gateways=6) as fleet, CrashRun(fleet, 12, seed=3) as run:
            if lost == "peer messages":
                _lose_peer_messages(fleet)
            else:
                fleet.log.topic(SUSPECTS_TOPIC)
                fleet.log.refused.add(SUSPECTS_TOPIC)
            await run.play(6.0, harmless_per_s=5.0)
            self._assert_bounded(run)
            self.assertLessEqual(len(run.crashes_s), 3 + len(fleet.gateways))

    @params("/once/x", "/stream/x", "/resume/x")
    def test_every_kind_of_request_is_quarantined(self, path: str) -> None:
        """Resumed streams and calls sent at most once crashed endpoints as well."""
        asyncio.run(self._play_path(path))

    async def _play_path(self, path: str) -> None:
        async with Fleet(gateways=2) as fleet, CrashRun(fleet, 8, seed=4) as run:
            await run.play(5.0, path=path, harmless_per_s=5.0)
            self._assert_bounded(run)

    @params(0.0, 1.2)
    def test_the_time_until_the_crash_does_not_matter(self, work_s: float) -> None:
        """One request crashed endpoints at its first byte, another after more than a
        second."""
        asyncio.run(self._play_work(work_s))

    async def _play_work(self, work_s: float) -> None:
        async with (
            Fleet(gateways=2) as fleet,
            CrashRun(fleet, 12, seed=5, work_s=work_s) as run,
        ):
            await run.play(7.0, harmless_per_s=3.0)
            self._assert_bounded(run)

    async def test_a_new_entry_reads_the_evidence_before_it_serves(self) -> None:
        """A quarantined request could crash three more endpoints through each entry
        that was restarted."""
        async with Fleet(gateways=2) as fleet, CrashRun(fleet, 8, seed=6) as run:
            await _quarantine_everywhere(fleet, run)
            await fleet.add_gateway()
            crashes = len(run.crashes_s)
            self.assertEqual(await run.ask(run.marked, MARKER, gateway=2), 429)
            self.assertEqual(len(run.crashes_s), crashes)

    async def test_evidence_survives_a_log_restored_from_an_older_backup(
        self,
    ) -> None:
        """The restored log had lost the records, and a restarted entry sent a request
        that all other entries had in quarantine."""
        async with Fleet(gateways=2) as fleet, CrashRun(fleet, 8, seed=7) as run:
            older = fleet.log.copy()
            await _quarantine_everywhere(fleet, run)
            await fleet.log.restore_after(older, 0.3)
            records = fleet.log.topic(SUSPECTS_TOPIC)
            await fleet.wait_until(lambda: len(records.newest()) > 0)
            await fleet.add_gateway()
            self.assertEqual(await run.ask(run.marked, MARKER, gateway=2), 429)

    async def test_the_refusal_is_immediate_has_retry_after_and_costs_nothing(
        self,
    ) -> None:
        async with Fleet(gateways=1) as fleet, CrashRun(fleet, 8, seed=8) as run:
            await _quarantine_everywhere(fleet, run)
            budgets = fleet.gateways[0].share_sync.budgets
            left = budgets.available_tokens(AccountId("t"), time.monotonic())
            began_s = time.monotonic()
            status, headers, body = await fleet.ask(
                "/plain/x", "last", body=MARKER, X_Token_Count="10,10"
            )
            self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
            self.assertEqual(status, 429)
            self.assertGreater(
                float(headers["Retry-After"]), 0.9 * QUARANTINE_PERIODS_S[0]
            )
            self.assertIn(b"did_not_run", body)
            after = budgets.available_tokens(AccountId("t"), time.monotonic())
            self.assertEqual(after, left)

    async def test_it_is_probed_once_all_endpoints_have_another_build(
        self,
    ) -> None:
        """Requests stayed in quarantine after the software was fixed."""
        async with Fleet(gateways=2) as fleet, CrashRun(fleet, 6, seed=9) as run:
            await _quarantine_everywhere(fleet, run)
            await fleet.wait_until(lambda: all(e.listens for e in run.endpoints))
            for endpoint in run.endpoints:
                endpoint.vulnerable = False
                await endpoint.replace("v2")
            pool = fleet.gateways[1].endpoints
            await fleet.wait_until(
                lambda: len(pool.registered_ids()) == len(run.endpoints)
            )
            self.assertEqual(await run.ask(run.marked, MARKER, gateway=1), 200)
            await fleet.wait_until(lambda: not any(_states(g) for g in fleet.gateways))
            self.assertEqual(await run.ask(run.marked, MARKER, gateway=0), 200)

    async def test_an_operator_can_list_and_lift_quarantines(self) -> None:
        """Operators could neither see which requests were refused nor allow them."""
        async with Fleet(gateways=2) as fleet, CrashRun(fleet, 8, seed=12) as run:
            store = StoreClient(fleet.gateways[0].settings.store_address)
            self.addAsyncCleanup(store.close)
            await _quarantine_everywhere(fleet, run)
            view = await _read_quarantined(store)
            (suspect,) = view.tracker.list_suspects(time.monotonic())
            (row,) = suspect_rows(view, time.monotonic())
            self.assertEqual(row["standing"], "shut_out")
            self.assertEqual(len(row["endings"]), len(suspect.crashes))
            since = datetime.datetime.fromisoformat(row["since"]).timestamp()
            self.assertAlmostEqual(since, time.time(), delta=10)
            with self.assertRaises(SuspectsError):
                await lift_suspect(store, "ff" * 16)
            await lift_suspect(store, suspect.fingerprint.hex()[:8])
            await fleet.wait_until(lambda: not any(_states(g) for g in fleet.gateways))
            await fleet.add_gateway()
            self.assertEqual(_states(fleet.gateways[2]), [])
            for endpoint in run.endpoints:
                endpoint.vulnerable = False
            # Three endpoints that are down may be chosen in a row.
            await fleet.wait_until(lambda: all(e.listens for e in run.endpoints))
            self.assertEqual(await run.ask(run.marked, MARKER, gateway=2), 200)

    async def test_a_malformed_record_is_ignored(self) -> None:
        async with Fleet(gateways=1) as fleet, CrashRun(fleet, 6, seed=10) as run:
            fleet.log.put(SUSPECTS_TOPIC, "somebody", b"\x01\x02")
            await _quarantine_everywhere(fleet, run)
            self.assertEqual(await run.ask(run.marked, MARKER), 429)


class BeginProbeTest(unittest.IsolatedAsyncioTestCase):
    """Probes that end before the request is sent."""

    async def asyncSetUp(self) -> None:
        self.fingerprint = fingerprint_of(FingerprintPrefix(b"place!"), MARKER)
        self.fleet = await self.enterAsyncContext(Fleet(gateways=1))
        self.sync = self.fleet.gateways[0].suspect_sync
        for number in range(2):
            crash = Crash(EndpointId(f"i-{number}"))
            self.sync.tracker.record_crash(crash, [self.fingerprint], time.monotonic())

    async def test_a_cancelled_probe_is_released(self) -> None:
        """The caller left while the probe was announced. It then lasted until its
        deadline, and no entry could probe the request again."""
        self.fleet.log.unresponsive = True
        probe = Probe(self.fingerprint, EndpointId("i-9"), 60.0)
        task = asyncio.create_task(self.sync.begin_probes([probe], []))
        await asyncio.sleep(0.1)
        self.assertTrue(self.sync.tracker.is_probing([self.fingerprint]))
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertFalse(self.sync.tracker.is_probing([self.fingerprint]))
        self.fleet.log.unresponsive = False

    @params(("e0@127.0.0.1", True), ("another", False))
    def test_without_the_log_only_the_first_in_hash_order_may_probe(
        self, first: str, may: bool
    ) -> None:
        """While the log was unreachable each entry could begin a probe of which the
        others didn't know."""
        asyncio.run(self._first_in_line(first, may))

    async def _first_in_line(self, first: str, may: bool) -> None:
        others = [EntryId(name) for name in ("another", "a third", "a fourth")]
        tracker = SuspectTracker(EntryId("e0@127.0.0.1"))
        fingerprint = next(
            fingerprint
            for fingerprint in (
                fingerprint_of(FingerprintPrefix(b"place!"), b"%d" % n)
                for n in range(100)
            )
            if rendezvous(fingerprint.hex(), [*others, tracker.entry_id], 1) == [first]
        )
        async with Fleet(gateways=1) as fleet:
            sync = fleet.gateways[0].suspect_sync
            fleet.log.refused.add(SUSPECTS_TOPIC)
            for number in range(2):
                crash = Crash(EndpointId(f"i-{number}"))
                sync.tracker.record_crash(crash, [fingerprint], time.monotonic())
            probe = Probe(fingerprint, EndpointId("i-9"), 60.0)
            self.assertEqual(await sync.begin_probes([probe], others), may)


class EvidenceTest(unittest.IsolatedAsyncioTestCase):
    """Failures that don't count as a crash under a request."""

    async def _reset(self, request: web.BaseRequest) -> web.StreamResponse:
        assert request.transport is not None
        request.transport.abort()
        return web.Response()

    async def _silent(self, request: web.BaseRequest) -> web.StreamResponse:
        await asyncio.sleep(60)
        return web.Response()

    async def test_a_connection_reset_is_no_crash(self) -> None:
        """Requests were quarantined for lossy links and connection resets."""
        async with Fleet(Endpoint("i-1", self._reset), gateways=1) as fleet:
            for number in range(4):
                await fleet.ask("/once/x", f"r{number}")
            await asyncio.sleep(0.5)
            self.assertEqual(_states(fleet.gateways[0]), [])

    async def test_a_timeout_is_no_crash(self) -> None:
        """Endpoints that became unreachable counted as crashed."""
        async with Fleet(Endpoint("i-1", self._silent), gateways=1) as fleet:
            status, _, _ = await fleet.ask("/once/x", X_Deadline_Ms="200")
            self.assertEqual(status, 504)
            await asyncio.sleep(0.4)
            self.assertEqual(_states(fleet.gateways[0]), [])

    async def test_a_caller_that_leaves_is_no_crash(self) -> None:
        async with Fleet(Endpoint("i-1", self._silent), gateways=1) as fleet:
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await fleet.ask("/once/x")
            await asyncio.sleep(0.4)
            self.assertEqual(_states(fleet.gateways[0]), [])

    async def test_the_end_of_a_draining_endpoint_is_no_crash(self) -> None:
        """Long streams were quarantined for planned stops of endpoints."""
        async with (
            Fleet(gateways=1) as fleet,
            CrashRun(fleet, 1, seed=1, work_s=10.0) as run,
        ):
            (endpoint,) = run.endpoints
            asked = asyncio.create_task(run.ask(run.harmless, b"long", "/once/x"))
            await fleet.wait_until(lambda: bool(run.arrivals))
            record = endpoint.registration(state="draining")
            fleet.log.put(ENDPOINTS_TOPIC, "i-0-1", record)
            pool = fleet.gateways[0].endpoints
            service = ServiceName("s")
            await fleet.wait_until(
                lambda: not pool.available_builds(service, time.monotonic())
            )
            endpoint.crash("i-0-1")
            self.assertEqual(await asked, 502)
            await asyncio.sleep(0.4)
            self.assertEqual(_states(fleet.gateways[0]), [])

    async def test_an_immediate_restart_under_the_same_id_is_a_crash(self) -> None:
        """A process that was restarted at once, under its old id, refused no
        connection, and its crash was not detected."""
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
            await fleet.wait_until(lambda: _states(gateway) == [SuspectState.WATCHED])


class ManyRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def test_two_crashing_requests_at_once_are_both_quarantined(self) -> None:
        """All requests that ran beside two crashing ones were suspected too."""
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

    async def test_nothing_is_written_without_suspects(self) -> None:
        """With hundreds of entries, each write to the store costs."""
        async with Fleet(gateways=2) as fleet, CrashRun(fleet, 2, seed=12) as run:
            await run.repeat(20.0, 1.5, lambda: run.ask(run.harmless, b"harmless"))
            self.assertEqual(fleet.log.topic(SUSPECTS_TOPIC).records, [])

    def test_a_large_body_is_hashed_quickly(self) -> None:
        """Hashing of large bodies delayed the streams that an entry relays."""
        place = FingerprintPrefix(b"place!")
        body = bytes(4 * 1024 * 1024)
        began_s = time.process_time()
        fingerprint_of(place, body)
        self.assertLess(time.process_time() - began_s, 0.05)
