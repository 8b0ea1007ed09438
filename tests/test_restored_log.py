"""Entries that talk over HTTP to a log that is restored from an older backup."""

import asyncio
import time
import unittest

from aiohttp import web

from celerytrack.gateway.tail import KeyedTail
from celerytrack.platform.rows import decode_member
from celerytrack.platform.store import StoreErrorKind
from celerytrack.platform.topics import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    ENDPOINTS_TOPIC,
    ENTRIES_TOPIC,
)
from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet, config, make_store_client
from tests.keyed_log import KeyedLog

TOPIC = "keyed.rows"
MAY_DENY_S = 2.0
"""How long after its last read an entry may refuse unknown routes for good."""
MAX_HOLD_S = 1.0
"""Three row intervals and a read: claims can rise again after this."""
ACCOUNT = "t"


async def _answer(request: web.BaseRequest) -> web.Response:
    return web.Response(headers={**SEAL_HEADERS, "X-Attempt-Id": "r1"})


class RestoredTailTest(unittest.IsolatedAsyncioTestCase):
    async def test_records_below_the_old_offset_are_read(self):
        """Guards against records that are never read: when the restored log has grown
        past the tail's offset again, no 410 shows that records below it are new."""
        for rewritten in (0, 1, 2, 3, 4, 9):
            with self.subTest(rewritten=rewritten):
                await self._assert_read(rewritten)

    async def _assert_read(self, rewritten):
        log = KeyedLog()
        client = await make_store_client(self, log)
        known: dict[str, bytes] = {}

        def apply(record):
            known[record.key] = record.value

        tail = KeyedTail(client, TOPIC, apply)
        log.put(TOPIC, "a", b"1")
        log.put(TOPIC, "b", b"1")
        backup = log.copy()
        for value in (b"2", b"3", b"4"):
            log.put(TOPIC, "a", value)
        await tail.load()
        log.restore(backup)
        for i in range(rewritten):
            log.put(TOPIC, f"new-{i}", b"1")
        for _ in range(2):
            await tail.poll()
        newest = {key: value for key, (_, value) in log.topic(TOPIC).newest().items()}
        self.assertEqual(known, newest)

    async def test_long_poll_begun_in_the_old_era_is_discarded(self):
        """Guards against a long poll that is answered in the next era, with a record
        that replaced another one at the same offset."""
        log = KeyedLog()
        client = await make_store_client(self, log)
        known: dict[str, bytes] = {}

        def apply(record):
            known[record.key] = record.value

        tail = KeyedTail(client, TOPIC, apply)
        log.put(TOPIC, "a", b"1")
        backup = log.copy()
        log.put(TOPIC, "a", b"2")
        await tail.load()
        long_poll = asyncio.create_task(tail.poll(1.0))
        await asyncio.sleep(0.1)
        log.restore(backup)
        log.put(TOPIC, "b", b"1")
        log.put(TOPIC, "c", b"1")
        self.assertTrue(await long_poll)
        self.assertEqual(known, {"a": b"1", "b": b"1", "c": b"1"})


class InvalidEraTest(unittest.IsolatedAsyncioTestCase):
    async def test_invalid_era_is_logged_once_and_ignored(self):
        for text in ("x", "-1", "1.5", ""):
            with self.subTest(text=text):
                log = KeyedLog()
                log.era_text = lambda _, text=text: text
                client = await make_store_client(self, log)
                log.put(TOPIC, "a", b"1")
                with self.assertLogs("celerytrack.platform.store", "ERROR") as logged:
                    for _ in range(3):
                        batch = (await client.read(TOPIC, 0)).unwrap()
                self.assertEqual(len(logged.records), 1)
                self.assertIn(repr(text), logged.records[0].detail)
                self.assertIsNone(batch.era)

    async def test_tail_converges_whatever_eras_the_answers_report(self):
        log = KeyedLog()
        client = await make_store_client(self, log)
        known: dict[str, bytes] = {}

        def apply(record):
            known[record.key] = record.value

        tail = KeyedTail(client, TOPIC, apply)
        for i, text in enumerate(("5", "4", None, "9", "x", "9", "0")):
            log.era_text = lambda _, text=text: text
            backup = log.copy()
            log.put(TOPIC, f"k{i}", b"lost")
            await tail.poll()
            log.restore(backup)
            log.put(TOPIC, f"k{i}", b"kept")
        log.era_text = lambda _: "12"
        for _ in range(2):
            await tail.poll()
        self.assertEqual(known, dict.fromkeys((f"k{i}" for i in range(7)), b"kept"))

    async def test_late_answer_of_an_older_era_is_discarded(self):
        log = KeyedLog()
        client = await make_store_client(self, log)
        await client.read(TOPIC, 0)
        long_poll = asyncio.create_task(client.read(TOPIC, 0, 1.0))
        await asyncio.sleep(0.1)
        log.era_text = lambda _: "2"
        await client.read(TOPIC, 0)
        log.era_text = lambda _: "1"
        log.put(TOPIC, "a", b"1")
        error = (await long_poll).failure()
        self.assertIs(error.kind, StoreErrorKind.OLDER_ERA)


class RestoredFleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_rows_are_republished_before_more_is_claimed(self):
        """The log is restored without the rows of the last seconds; once, and twice in
        quick succession."""
        for times in (1, 2):
            with self.subTest(times=times):
                await self._assert_republished(times)

    async def _assert_republished(self, times):
        async with Fleet(Endpoint("a", _answer), gateways=3) as fleet:
            backup = fleet.log.copy()
            await asyncio.sleep(4.0)
            books = [g.share_sync.budgets for g in fleet.gateways]
            accepted = [b._share(ACCOUNT).accepted_tokens for b in books]
            for _ in range(times):
                await fleet.log.restore_after(backup, 0.3)
            era = fleet.log.era
            await fleet.wait_until(lambda: self._republished(fleet, era), 2.0)
            # Rows of the new era have lower offsets than those read before.
            await fleet.wait_until(
                lambda: not any(b.restore_hold.active for b in books), MAX_HOLD_S
            )
            after_restore = [b._share(ACCOUNT).accepted_tokens for b in books]
            for before, after in zip(accepted, after_restore, strict=True):
                self.assertGreaterEqual(after, before)
            for gateway in fleet.gateways:
                metrics = gateway.telemetry.render().decode()
                self.assertIn(f"store_restores_total {times}.0", metrics)
            status, _, _ = await fleet.ask("/plain/x")
            self.assertEqual(status, 200)

    @staticmethod
    def _republished(fleet, era):
        newest = fleet.log.topic(ENTRIES_TOPIC).newest()
        rows = [decode_member(key, value) for key, (_, value) in newest.items()]
        return len(rows) == 3 and all(row.era == era for row in rows)

    async def test_version_never_decreases_and_no_route_is_denied_in_error(self):
        """Guards against a final 404 for a route in force: entries that had not read a
        version before the log lost it refused its routes by the backup."""
        async with Fleet(Endpoint("a", _answer)) as fleet:
            gateway, log = fleet.gateways[0], fleet.log
            log.put(CONFIG_TOPIC, CONFIG_KEY, config(2))
            await fleet.wait_until(lambda: gateway.routing_table.version == 2)
            backup = log.copy()
            log.put(CONFIG_TOPIC, CONFIG_KEY, config(3, idle_routes=1))
            restoring = asyncio.create_task(
                log.restore_after(backup, MAY_DENY_S + 0.5, 1.5)
            )
            statuses = set()
            while not restoring.done():
                era = log.era
                status, _, _ = await fleet.ask("/idle-00000/x")
                if restoring.done():
                    # Version 3 was written again while the request was under way.
                    self.assertIn(gateway.routing_table.version, (2, 3))
                    break
                if era > 1:
                    statuses.add(status)
                self.assertEqual(gateway.routing_table.version, 2)
                await asyncio.sleep(0.1)
            self.assertEqual(statuses, {503})
            await fleet.wait_until(lambda: gateway.routing_table.version == 3, 2.0)

    async def test_version_in_force_is_kept_until_it_is_republished(self):
        async with Fleet(Endpoint("a", _answer)) as fleet:
            gateway, log = fleet.gateways[0], fleet.log
            backup = log.copy()
            log.put(CONFIG_TOPIC, CONFIG_KEY, config(2))
            await fleet.wait_until(lambda: gateway.routing_table.version == 2)
            restoring = asyncio.create_task(log.restore_after(backup, 0.2, 1.0))
            while not restoring.done():
                self.assertEqual(gateway.routing_table.version, 2)
                await asyncio.sleep(0.05)

    async def test_departed_endpoint_stays_gone_and_missing_one_is_kept(self):
        """The backup holds an endpoint that left and lacks one that serves."""
        left, late = Endpoint("left", _answer), Endpoint("late", _answer)
        async with Fleet(Endpoint("a", _answer)) as fleet:
            gateway, log = fleet.gateways[0], fleet.log
            numbers = {"born": 1, "sequence": 1}
            log.put(ENDPOINTS_TOPIC, "left", left.registration(**numbers))
            await fleet.wait_until(
                lambda: set(gateway.endpoints.registered_ids()) == {"a", "left"}
            )
            backup = log.copy()
            log.put(ENDPOINTS_TOPIC, "left", b"")
            log.put(ENDPOINTS_TOPIC, "late", late.registration(**numbers))
            await fleet.wait_until(
                lambda: set(gateway.endpoints.registered_ids()) == {"a", "late"}
            )
            log.restore(backup)
            deadline_s = time.monotonic() + 1.5
            while time.monotonic() < deadline_s:
                self.assertEqual(set(gateway.endpoints.registered_ids()), {"a", "late"})
                await asyncio.sleep(0.05)
            await fleet.wait_until(
                lambda: set(gateway.endpoints.registered_ids()) == {"a"}, 3.0
            )
