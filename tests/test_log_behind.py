"""A log that goes on beyond one answer is read on at once, in bounded turns."""

import asyncio
import time
import unittest

import attrs
from aiohttp import web
from nose2.tools import params
from returns.result import Result, Success

from celerytrack.gateway.read_turns import TURN_S
from celerytrack.gateway.tail import KeyedTail
from celerytrack.platform.log_format import Batch, KeyedRecord
from celerytrack.platform.store import StoreError
from celerytrack.platform.topics import CONFIG_KEY, CONFIG_TOPIC, ENDPOINTS_TOPIC
from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet, config

FOREIGN_BYTES = 200_000
"""Size of another writer's record: more than one answer of the log may hold."""
OTHER_ENDPOINTS = 40
"""So many keys that the records are read one by one and none is skipped."""
READ_WITHIN_S = 1.5
"""Two reads are .6 s apart; the transfer of ten megabytes takes the rest."""
WATCHED_S = 3.5
CONFIG_WITHIN_S = 2.0


async def _good(request: web.BaseRequest) -> web.StreamResponse:
    await request.read()
    headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
    return web.Response(body=b"good", headers=headers)


class LargeForeignRecordsTest(unittest.TestCase):
    @params((5, b"["), (5, b"x"), (50, b"["))
    def test_registrations_behind_large_records_are_read_in_time(
        self, count: int, filler: bytes
    ) -> None:
        """Each large record of another writer delayed all later registrations by a
        whole interval, and every entry refused everything as its view was too old."""
        asyncio.run(self._play_registrations(count, filler))

    async def _play_registrations(self, count: int, filler: bytes) -> None:
        endpoint = Endpoint("i-1", _good)
        async with Fleet(endpoint, gateways=2) as fleet:
            other = endpoint.registration(service="o")
            for number in range(OTHER_ENDPOINTS):
                fleet.log.put(ENDPOINTS_TOPIC, f"o-{number}", other)
            await asyncio.sleep(1.0)
            for number in range(count):
                fleet.log.put(ENDPOINTS_TOPIC, f"x-{number}", filler * FOREIGN_BYTES)
            fleet.log.put(ENDPOINTS_TOPIC, "i-1", endpoint.registration(slots=9))
            written_s = time.monotonic()
            read_s, statuses = 0.0, []
            while (now_s := time.monotonic()) < written_s + WATCHED_S:
                known_s = min(g.endpoints_known_at_s for g in fleet.gateways)
                if known_s > written_s and not read_s:
                    read_s = now_s - written_s
                for gateway in range(2):
                    name = f"r-{len(statuses)}"
                    answer = await fleet.ask("/plain/x", name, gateway=gateway)
                    statuses.append(answer[0])
                await asyncio.sleep(0.05)
        refused = sum(status != 200 for status in statuses)
        found = f"read after {read_s:.2f} s, {refused} of {len(statuses)} refused"
        self.assertTrue(0 < read_s < READ_WITHIN_S and not refused, found)

    def test_a_configuration_behind_large_records_is_read_in_time(self) -> None:
        """The topic of the configuration was read one answer at a time as well."""
        asyncio.run(self._play_configuration())

    async def _play_configuration(self) -> None:
        async with Fleet(Endpoint("i-1", _good)) as fleet:
            for number in range(OTHER_ENDPOINTS):
                fleet.log.put(CONFIG_TOPIC, f"o-{number}", b"{}")
            await asyncio.sleep(2.0)
            for number in range(20):
                fleet.log.put(CONFIG_TOPIC, f"x-{number}", b"x" * FOREIGN_BYTES)
            fleet.log.put(CONFIG_TOPIC, CONFIG_KEY, config(version=2))
            gateway = fleet.gateways[0]

            def is_read() -> bool:
                table = gateway.routing_table
                return table is not None and table.version == 2

            await fleet.wait_until(is_read, CONFIG_WITHIN_S)


@attrs.define
class _GrowingStore:
    """A log that is written as fast as it is read: each answer holds one record and
    says that more follow."""

    ahead: int
    record_bytes: int = 1
    read_s: float = 0.0
    stuck: bool = False
    reads: int = 0
    written_at_s: list[float] = attrs.field(factory=list)
    begun_s: list[float] = attrs.field(factory=list)

    def _write(self, count: int) -> None:
        self.written_at_s += [time.monotonic()] * count

    async def newest(self, topic: str) -> Result[Batch, StoreError]:
        return Success(Batch((), 0, 0))

    async def read(
        self, topic: str, offset: int, wait_s: float = 0.0, arriving: object = None
    ) -> Result[Batch, StoreError]:
        self.begun_s.append(time.monotonic())
        await asyncio.sleep(self.read_s)
        self._write(max(1, offset + 1 + self.ahead - len(self.written_at_s)))
        self.reads += 1
        if self.stuck:
            return Success(Batch((), offset, offset + 1))
        record = KeyedRecord(offset, f"k-{offset}", bytes(self.record_bytes))
        # Written while this answer is on its way: its end does not count them.
        end = len(self.written_at_s)
        self._write(1)
        return Success(Batch((record,), offset + 1, end))


class GrowingLogTest(unittest.TestCase):
    def test_what_is_known_of_a_growing_log_advances(self) -> None:
        """While each answer said that more follow, the view counted as old as the last
        answer that reached the end; a time too late would send beyond a drain."""
        asyncio.run(self._play_growing())

    async def _play_growing(self) -> None:
        ahead = 3
        store = _GrowingStore(ahead, read_s=0.002)
        known: list[float] = []
        applied: list[int] = []

        def on_caught_up(at_s: float) -> None:
            known.append(at_s)
            missed = store.written_at_s[len(applied) :]
            self.assertTrue(not missed or at_s <= missed[0], "a record is missing")

        tail = KeyedTail(
            store, "t", lambda r: applied.append(r.offset), on_caught_up=on_caught_up
        )
        await tail.load()
        tail._keys = {str(n) for n in range(100)}
        for _ in range(50):
            self.assertTrue(await tail.poll())
        self.assertEqual(known, sorted(known))
        # Two records are written for each that is read: half of the answers state an
        # end that is reached by now.
        reached = len(store.begun_s) // 2 - ahead
        self.assertGreater(known[-1], store.begun_s[reached])
        self.assertGreater(known[-1], known[0])

    @params((200_000, 0.0, 8), (10, 0.05, 11))
    def test_a_turn_is_bounded(
        self, record_bytes: int, read_s: float, most_reads: int
    ) -> None:
        """A log that never ends must leave time and bandwidth to others."""
        asyncio.run(self._play_turn(record_bytes, read_s, most_reads))

    async def _play_turn(
        self, record_bytes: int, read_s: float, most_reads: int
    ) -> None:
        store = _GrowingStore(3, record_bytes, read_s)
        tail = KeyedTail(store, "t", lambda record: None)
        await tail.load()
        tail._keys = {str(n) for n in range(100)}
        self.assertIsNotNone(await tail.read_turn())
        self.assertLessEqual(store.reads, most_reads)
        self.assertGreater(store.reads, 3)

    def test_an_answer_without_records_is_not_asked_for_at_once(self) -> None:
        """A log that says it goes on and gives nothing would be asked without end."""
        asyncio.run(self._play_stuck())

    async def _play_stuck(self) -> None:
        store = _GrowingStore(3, stuck=True)
        tail = KeyedTail(store, "t", lambda record: None)
        following = asyncio.create_task(tail.follow(TURN_S))
        await asyncio.sleep(TURN_S)
        following.cancel()
        self.assertLess(store.reads, 4)
