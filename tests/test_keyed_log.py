"""Tests of the stand-in for the platform's log, restored from an older backup."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web
from nose2.tools import params

from celerytrack.platform.log_format import encode_keyed
from celerytrack.platform.topics import CONFIG_KEY, CONFIG_TOPIC
from tests.gateway_fleet import free_port
from tests.keyed_log import ERA_HEADER, KeyedLog

TOPIC = "keyed.rows"
PART = {"topic": TOPIC, "part": "0"}


class Caller:
    """Calls a log over HTTP as the producer ``p``."""

    def __init__(self, http: aiohttp.ClientSession) -> None:
        self._http = http

    async def read(self, offset: int, **query: str) -> aiohttp.ClientResponse:
        query_params = {**PART, "from": str(offset), **query}
        return await self._http.get("/log-read", params=query_params)

    async def newest(self) -> aiohttp.ClientResponse:
        return await self._http.get("/log-newest", params=PART)

    async def append(self, epoch: int, sequence: int) -> aiohttp.ClientResponse:
        body = encode_keyed("e1", b"%d-%d" % (epoch, sequence))
        numbers = {"epoch": str(epoch), "sequence": str(sequence)}
        query = {**PART, "producer": "p", **numbers}
        return await self._http.post("/log-append", params=query, data=body)


@contextlib.asynccontextmanager
async def serve(log: KeyedLog) -> AsyncIterator[Caller]:
    runner = web.AppRunner(log.make_app(), shutdown_timeout=0.1)
    await runner.setup()
    port = free_port()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    try:
        async with aiohttp.ClientSession(f"http://127.0.0.1:{port}") as http:
            yield Caller(http)
    finally:
        await runner.cleanup()


class RestoredLogTest(unittest.IsolatedAsyncioTestCase):
    async def test_writes_after_the_backup_are_lost(self):
        log = KeyedLog()
        async with serve(log) as caller:
            await caller.append(1, 0)
            older = log.copy()
            await caller.append(1, 1)
            await caller.append(2, 0)
            log.restore(older)
            gone = await caller.read(2)
            self.assertEqual((gone.status, await gone.json()), (410, {"first": 0}))
            # The producer's epoch and sequence numbers are lost with the records.
            repeat = await caller.append(1, 0)
            self.assertEqual(await repeat.json(), {"offset": 0, "end": 1})
            again = await caller.append(1, 1)
            self.assertEqual(await again.json(), {"offset": 1, "end": 2})
            ahead = await caller.append(1, 5)
            self.assertEqual(ahead.status, 409)
            self.assertEqual(await ahead.json(), {"reason": "seq", "sequence": 2})

    async def test_a_backup_does_not_change(self):
        log = KeyedLog()
        async with serve(log) as caller:
            older = log.copy()
            await caller.append(1, 0)
            log.restore(older)
            await caller.append(1, 7)
            log.restore(older)
        self.assertEqual(log.topic(TOPIC).records, [])
        self.assertEqual(log.era, 3)

    async def test_a_held_read_ends_when_its_offset_is_lost(self):
        log = KeyedLog()
        async with serve(log) as caller:
            older = log.copy()
            await caller.append(1, 0)
            held = asyncio.create_task(caller.read(1, waitMs="5000"))
            await asyncio.sleep(0.05)
            log.restore(older)
            self.assertEqual((await asyncio.wait_for(held, 1.0)).status, 410)

    async def test_it_is_unavailable_and_then_the_platform_writes_again(self):
        log = KeyedLog()
        log.put(CONFIG_TOPIC, CONFIG_KEY, b"1")
        log.put(CONFIG_TOPIC, "old", b"x")
        older = log.copy()
        log.put(CONFIG_TOPIC, CONFIG_KEY, b"2")
        log.put(CONFIG_TOPIC, "old", b"")
        async with serve(log) as caller:
            back = asyncio.create_task(log.restore_after(older, 0.1, 0.2))
            await asyncio.sleep(0.05)
            self.assertEqual((await caller.read(0)).status, 503)
            await asyncio.sleep(0.1)
            self.assertEqual((await caller.read(0)).status, 200)
            newest = log.topic(CONFIG_TOPIC).newest()
            self.assertEqual(newest, {CONFIG_KEY: (0, b"1"), "old": (1, b"x")})
            await back
        self.assertEqual(log.topic(CONFIG_TOPIC).newest(), {CONFIG_KEY: (2, b"2")})


class EraTest(unittest.TestCase):
    @params((str, "2"), (lambda era: None, None), (lambda era: "x", "x"))
    def test_all_answers_carry_the_era(self, text, expected):
        asyncio.run(self._check_era_headers(text, expected))

    async def _check_era_headers(self, text, expected):
        log = KeyedLog()
        log.era_text = text
        log.restore(log.copy())
        async with serve(log) as caller:
            answers = [
                await caller.append(3, 0),
                await caller.append(2, 0),
                await caller.read(0),
                await caller.read(9),
                await caller.newest(),
            ]
            log.down = True
            answers.append(await caller.read(0))
        statuses = [answer.status for answer in answers]
        self.assertEqual(statuses, [200, 409, 200, 410, 200, 503])
        self.assertEqual({a.headers.get(ERA_HEADER) for a in answers}, {expected})


if __name__ == "__main__":
    unittest.main()
