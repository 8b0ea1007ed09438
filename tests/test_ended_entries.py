"""Take-ups while the log is silent, after an entry has ended."""

import asyncio
import time
import unittest
from collections import Counter

from tests.entry_isolation import Isolation, isolate
from tests.gateway_fleet import Fleet
from tests.test_out_of_step import KNOWN_S, OLD, _take_up, slow_endpoint

GATEWAYS = 4
SILENT_AFTER_S = 2.0


async def _play(ends: bool) -> Counter[int]:
    endpoints = [slow_endpoint(f"i-old-{n}", OLD) for n in range(2)]
    async with Fleet(*endpoints, gateways=GATEWAYS) as fleet:
        await asyncio.sleep(KNOWN_S)
        last = GATEWAYS - 1
        if ends:
            await fleet.end_gateway(last)
            members = fleet.gateways[0].share_sync.members
            await fleet.wait_until(
                lambda: len(members.recent_peers(time.monotonic())) == last - 1, 15.0
            )
            await asyncio.sleep(2.0)
        isolate(fleet, range(last), Isolation(datagrams=False))
        await asyncio.sleep(SILENT_AFTER_S)
        statuses: Counter[int] = Counter()
        since_s = time.monotonic()
        for number in range(20):
            taken = await _take_up(fleet, number, number % last, since_s)
            statuses[taken.status] += 1
        return statuses


class EndedEntryTest(unittest.TestCase):
    def test_without_an_entry_that_ended(self) -> None:
        self.assertEqual(asyncio.run(_play(False)), {200: 20})

    def test_an_entry_that_ended_long_ago_is_not_asked(self) -> None:
        """An entry that was killed before the log went silent had to answer."""
        self.assertEqual(asyncio.run(_play(True)), {200: 20})
