"""Entries over HTTP before a log that comes back from an older copy of itself."""

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
from tests.gateway_fleet import SEAL, Endpoint, Fleet, client_of, config
from tests.keyed_log import KeyedLog

TOPIC = "keyed.rows"
VIEW_S = 2.0
"""For how long an entry may deny by what it last knew."""
BEATS_S = 1.0
"""Three times from row to row, and a read: claims rise again within it."""
ACCOUNT = "t"


async def _answer(request: web.BaseRequest) -> web.Response:
    return web.Response(headers={**SEAL, "X-Attempt-Id": "r1"})


class TailOfACopyTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_record_below_its_offset_is_missed(self):
        """The end is past the tail's offset again, no 410 comes, and what lies below
        in the new history is never read."""
        for rewritten in (0, 1, 2, 3, 4, 9):
            with self.subTest(rewritten=rewritten):
                await self._assert_read(rewritten)

    async def _assert_read(self, rewritten):
        log = KeyedLog()
        client = await client_of(self, log)
        known: dict[str, bytes] = {}

        def apply(record):
            known[record.key] = record.value

        tail = KeyedTail(client, TOPIC, apply)
        log.put(TOPIC, "a", b"1")
        log.put(TOPIC, "b", b"1")
        older = log.copy()
        for value in (b"2", b"3", b"4"):
            log.put(TOPIC, "a", value)
        await tail.load()
        log.restore(older)
        for i in range(rewritten):
            log.put(TOPIC, f"new-{i}", b"1")
        for _ in range(2):
            await tail.poll()
        newest = {key: value for key, (_, value) in log.topic(TOPIC).newest().items()}
        self.assertEqual(known, newest)

    async def test_a_held_read_of_the_old_era_counts_for_nothing(self):
        """A read that was held is answered in the next era, by a record that took the
        place of another."""
        log = KeyedLog()
        client = await client_of(self, log)
        known: dict[str, bytes] = {}

        def apply(record):
            known[record.key] = record.value

        tail = KeyedTail(client, TOPIC, apply)
        log.put(TOPIC, "a", b"1")
        older = log.copy()
        log.put(TOPIC, "a", b"2")
        await tail.load()
        held = asyncio.create_task(tail.poll(1.0))
        await asyncio.sleep(0.1)
        log.restore(older)
        log.put(TOPIC, "b", b"1")
        log.put(TOPIC, "c", b"1")
        self.assertTrue(await held)
        self.assertEqual(known, {"a": b"1", "b": b"1", "c": b"1"})


class BadEraTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_bad_era_is_logged_and_as_good_as_none(self):
        for text in ("x", "-1", "1.5", ""):
            with self.subTest(text=text):
                log = KeyedLog()
                log.era_text = lambda _, text=text: text
                client = await client_of(self, log)
                log.put(TOPIC, "a", b"1")
                with self.assertLogs("celerytrack.platform.store", "ERROR") as logged:
                    for _ in range(3):
                        batch = (await client.read(TOPIC, 0)).unwrap()
                self.assertEqual(len(logged.records), 1)
                self.assertIn(repr(text), logged.records[0].detail)
                self.assertIsNone(batch.era)

    async def test_eras_that_fall_jump_or_are_missing_at_times_end_in_the_newest(self):
        log = KeyedLog()
        client = await client_of(self, log)
        known: dict[str, bytes] = {}

        def apply(record):
            known[record.key] = record.value

        tail = KeyedTail(client, TOPIC, apply)
        for i, text in enumerate(("5", "4", None, "9", "x", "9", "0")):
            log.era_text = lambda _, text=text: text
            older = log.copy()
            log.put(TOPIC, f"k{i}", b"lost")
            await tail.poll()
            log.restore(older)
            log.put(TOPIC, f"k{i}", b"kept")
        log.era_text = lambda _: "12"
        for _ in range(2):
            await tail.poll()
        self.assertEqual(known, dict.fromkeys((f"k{i}" for i in range(7)), b"kept"))

    async def test_a_late_answer_is_no_answer(self):
        log = KeyedLog()
        client = await client_of(self, log)
        await client.read(TOPIC, 0)
        held = asyncio.create_task(client.read(TOPIC, 0, 1.0))
        await asyncio.sleep(0.1)
        log.era_text = lambda _: "2"
        await client.read(TOPIC, 0)
        log.era_text = lambda _: "1"
        log.put(TOPIC, "a", b"1")
        error = (await held).failure()
        self.assertIs(error.kind, StoreErrorKind.OLDER_ERA)


class RestoredFleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_rows_are_written_again_before_anything_else_is_claimed(self):
        """The log comes back without the rows of the last seconds; once, and twice in
        quick succession."""
        for times in (1, 2):
            with self.subTest(times=times):
                await self._assert_written_again(times)

    async def _assert_written_again(self, times):
        async with Fleet(Endpoint("a", _answer), gateways=3) as fleet:
            older = fleet.log.copy()
            await asyncio.sleep(4.0)
            books = [g.keeper.book for g in fleet.gateways]
            accepted = [b._share(ACCOUNT).accepted_tokens for b in books]
            for _ in range(times):
                await fleet.log.restore_after(older, 0.3)
            era = fleet.log.era
            await fleet.until(lambda: self._written(fleet, era), 2.0)
            # Rows of the new era have lower offsets than those read before.
            await fleet.until(lambda: not any(b.guard.holding for b in books), BEATS_S)
            kept = [b._share(ACCOUNT).accepted_tokens for b in books]
            for before, after in zip(accepted, kept, strict=True):
                self.assertGreaterEqual(after, before)
            for gateway in fleet.gateways:
                metrics = gateway.telemetry.render().decode()
                self.assertIn(f"store_restores_total {times}.0", metrics)
            status, _, _ = await fleet.ask("/plain/x")
            self.assertEqual(status, 200)

    @staticmethod
    def _written(fleet, era):
        newest = fleet.log.topic(ENTRIES_TOPIC).newest()
        rows = [decode_member(key, value) for key, (_, value) in newest.items()]
        return len(rows) == 3 and all(row.era == era for row in rows)

    async def test_no_version_goes_back_and_nothing_is_denied_from_the_copy(self):
        """Entries that had not read a version before the log lost it told callers of
        its routes 404, which is final, from the copy."""
        async with Fleet(Endpoint("a", _answer)) as fleet:
            gateway, log = fleet.gateways[0], fleet.log
            log.put(CONFIG_TOPIC, CONFIG_KEY, config(2))
            await fleet.until(lambda: gateway.table.version == 2)
            older = log.copy()
            log.put(CONFIG_TOPIC, CONFIG_KEY, config(3, idle_routes=1))
            restoring = asyncio.create_task(log.restore_after(older, VIEW_S + 0.5, 1.5))
            told = set()
            while not restoring.done():
                era = log.era
                status, _, _ = await fleet.ask("/idle-00000/x")
                if era > 1:
                    told.add(status)
                self.assertEqual(gateway.table.version, 2)
                await asyncio.sleep(0.1)
            self.assertEqual(told, {503})
            await fleet.until(lambda: gateway.table.version == 3, 2.0)

    async def test_a_version_in_force_is_kept_until_it_is_written_again(self):
        async with Fleet(Endpoint("a", _answer)) as fleet:
            gateway, log = fleet.gateways[0], fleet.log
            older = log.copy()
            log.put(CONFIG_TOPIC, CONFIG_KEY, config(2))
            await fleet.until(lambda: gateway.table.version == 2)
            restoring = asyncio.create_task(log.restore_after(older, 0.2, 1.0))
            while not restoring.done():
                self.assertEqual(gateway.table.version, 2)
                await asyncio.sleep(0.05)

    async def test_who_left_stays_gone_and_who_is_missing_is_kept_for_its_time(self):
        """The copy holds an endpoint that left, and lacks one that serves."""
        left, late = Endpoint("left", _answer), Endpoint("late", _answer)
        async with Fleet(Endpoint("a", _answer)) as fleet:
            gateway, log = fleet.gateways[0], fleet.log
            numbers = {"born": 1, "sequence": 1}
            log.put(ENDPOINTS_TOPIC, "left", left.registration(**numbers))
            await fleet.until(
                lambda: set(gateway.endpoints.registered_ids()) == {"a", "left"}
            )
            older = log.copy()
            log.put(ENDPOINTS_TOPIC, "left", b"")
            log.put(ENDPOINTS_TOPIC, "late", late.registration(**numbers))
            await fleet.until(
                lambda: set(gateway.endpoints.registered_ids()) == {"a", "late"}
            )
            log.restore(older)
            ends_s = time.monotonic() + 1.5
            while time.monotonic() < ends_s:
                self.assertEqual(set(gateway.endpoints.registered_ids()), {"a", "late"})
                await asyncio.sleep(0.05)
            await fleet.until(
                lambda: set(gateway.endpoints.registered_ids()) == {"a"}, 3.0
            )
