"""Entries whose rows are not written: others drop them from their members."""

import asyncio
import contextlib
import time
import unittest
from collections import Counter
from collections.abc import Collection, Iterator
from unittest import mock

from aiohttp import web

from celerytrack.platform.topics import ENDPOINTS_TOPIC
from tests.gateway_fleet import Fleet
from tests.keyed_log import KeyedLog
from tests.test_out_of_step import KNOWN_S, LEAST_NEW, NEW, OLD, _ask, slow_endpoint

GATEWAYS = 3
TAKER = 2
STREAMS = 100
STREAMS_PER_S = 33.0


@contextlib.contextmanager
def _refused_appends(entries: Collection[str]) -> Iterator[None]:
    """Refuse the appends of some entries; reads go on."""
    append = KeyedLog._append

    async def refuse(log: KeyedLog, request: web.Request) -> web.Response:
        if any(entry in request.query["producer"] for entry in entries):
            return web.Response(status=503)
        return await append(log, request)

    with mock.patch.object(KeyedLog, "_append", refuse):
        yield


async def _play() -> Counter[tuple[str, str]]:
    """Take streams up at an entry whose rows are not written, as a version joins."""
    old = [slow_endpoint(f"i-old-{n}", OLD) for n in range(2)]
    new = [slow_endpoint(f"i-new-{n}", NEW) for n in range(2)]
    refused: list[str] = []
    with _refused_appends(refused):
        async with Fleet(*old, gateways=GATEWAYS) as fleet:
            await asyncio.sleep(KNOWN_S)
            taker = fleet.gateways[TAKER]
            refused.append(taker.settings.entry_id)
            members = fleet.gateways[0].share_sync.members
            for endpoint in new:
                await endpoint.start()

            def is_silent() -> bool:
                peers = members.recent_peers(time.monotonic())
                return taker.entry_id not in {peer.entry_id for peer in peers}

            await fleet.wait_until(is_silent, 15.0)
            known_at_s = taker.endpoints_known_at_s
            await fleet.wait_until(lambda: taker.endpoints_known_at_s > known_at_s)
            for endpoint in new:
                value = endpoint.registration()
                fleet.log.put(ENDPOINTS_TOPIC, endpoint.name, value)
            # The others read it first: entries read at any time.
            for gateway in fleet.gateways[:TAKER]:
                gateway.read_endpoints_now()

            async def stream(number: int) -> tuple[str, str]:
                before = await _ask(fleet, f"s{number}", number % TAKER)
                resumes = {"Last-Event-Id": "2", "Resumes": f"s{number}"}
                return before, await _ask(fleet, f"t{number}", TAKER, **resumes)

            streams = []
            for number in range(STREAMS):
                streams.append(asyncio.create_task(stream(number)))
                await asyncio.sleep(1 / STREAMS_PER_S)
            return Counter(await asyncio.gather(*streams))


class SilentEntryTest(unittest.TestCase):
    def test_no_version_is_known_to_an_entry_that_writes_no_rows(self) -> None:
        """An entry that could read the log but not write was no longer asked whether it
        knew a version, and took the old one for the only one until its next read."""
        ways = asyncio.run(_play())
        mixed = [way for way in ways if way[1] not in ("", way[0])]
        self.assertEqual(mixed, [], ways)
        begun_new = sum(ways[way] for way in ways if way[0] == NEW)
        self.assertGreater(begun_new, LEAST_NEW, ways)
