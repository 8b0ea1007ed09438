"""Topics that are written faster than an entry's link carries them.

Every entry reads every topic. The slowest links carry 5 Mbit/s, a configuration has
50 to 350 KB, and eighty entries write rows of a kilobyte.
"""

import asyncio
import time
import unittest

import attrs
from aiohttp import web

from celerytrack.gateway.server import CONFIG_WAIT_S
from celerytrack.ids import AccountId, EntryId, Zone
from celerytrack.members import Member, MemberState
from celerytrack.platform.rows import encode_member
from celerytrack.platform.topics import CONFIG_KEY, CONFIG_TOPIC, ENTRIES_TOPIC
from celerytrack.prepaid import Row
from tests.gateway_fleet import SEAL, Endpoint, Fleet, config

LINK_BYTES_PER_S = 5e6 / 8
"""The slowest link of the fleets that the users run."""
IN_FORCE_S = 3.0
"""A change is in force this long after the operator's confirmation."""
CAUGHT_UP_S = 6.0
"""An entry that is back in touch knows what the others know this much later."""
IDLE_ROUTES = 1_640
"""Routes beside the ones in use: a configuration that grew by 1,400."""


def _row(i: int) -> bytes:
    """The row of an entry with 24 accounts."""
    shares = {AccountId(f"account-{n}"): Row(100_000 + i, 9, 9, 9) for n in range(24)}
    address = "10.1.0.40:8227"
    serving = MemberState.SERVING
    member = Member(EntryId("e"), 1, address, address, Zone("z"), serving, float(i))
    return encode_member(attrs.evolve(member, shares=shares))


async def _answer(request: web.BaseRequest) -> web.Response:
    return web.Response(headers={**SEAL, "X-Attempt-Id": "r1"})


class BackAfterACutTest(unittest.IsolatedAsyncioTestCase):
    """Entries that had been kept from the store answered 404 for a route that was in
    force everywhere else. They could read again from 26.0 s on, and were still 5 s
    behind at 31.2 s: they read all 28 versions of the configuration that were written
    meanwhile, 50 KB each, five at a time in answers of 300 KB, beside a megabyte of
    the other entries' rows, over a link of 5 Mbit/s. Only the last of them counted.

        26.258 s  version 119 confirmed
        26.733 s  config_applied version=38   26.785 s  config_applied version=53
        27.676 s  config_applied version=55   27.735 s  config_applied version=67
        29.402 s  config_applied version=83   29.457 s  config_applied version=95
        29.723 s  refused reason=no_route     30.746 s  config_applied version=119
    """

    async def test_the_newest_version_is_soon_in_force(self):
        async with Fleet(Endpoint("a", _answer)) as fleet:
            fleet.log.link.bytes_per_s = LINK_BYTES_PER_S
            fleet.log.down = True
            await asyncio.sleep(0.5)
            for version in range(2, 30):
                raw = config(version, idle_routes=240)
                fleet.log.put(CONFIG_TOPIC, CONFIG_KEY, raw)
            for i in range(1_000):
                fleet.log.put(ENTRIES_TOPIC, f"entry-{i % 64}", _row(i))
            fleet.log.down = False
            gateway = fleet.gateways[0]
            await fleet.until(lambda: gateway.table.version == 29, IN_FORCE_S)


class ConfigStormTest(unittest.IsolatedAsyncioTestCase):
    """Versions of 350 KB, one each 0.23 s, came into force 0.7 s late at first and 5 s
    late after four seconds, and ever later: a link of 5 Mbit/s takes 0.56 s for each,
    and each was read, though the next one was written before it had arrived.
    """

    async def test_each_version_is_in_force_in_time(self):
        async with Fleet(Endpoint("a", _answer)) as fleet:
            gateway = fleet.gateways[0]
            fleet.log.link.bytes_per_s = LINK_BYTES_PER_S
            written_s, in_force_s = {}, {}

            async def watch():
                while True:
                    version = gateway.table.version
                    for v in range(1, version + 1):
                        in_force_s.setdefault(v, time.monotonic())
                    await asyncio.sleep(0.01)

            watching = asyncio.create_task(watch())
            for version in range(2, 20):
                raw = config(version, idle_routes=IDLE_ROUTES)
                fleet.log.put(CONFIG_TOPIC, CONFIG_KEY, raw)
                written_s[version] = time.monotonic()
                await asyncio.sleep(0.23)
            await asyncio.sleep(IN_FORCE_S)
            watching.cancel()
            self.assertGreater(len(raw), 340_000)
            late_s = {
                version: round(in_force_s.get(version, float("inf")) - at_s, 2)
                for version, at_s in written_s.items()
            }
            slowest = max(late_s, key=late_s.__getitem__)
            self.assertLess(late_s[slowest], IN_FORCE_S, late_s)


class OldViewTest(unittest.IsolatedAsyncioTestCase):
    """Callers were told 404 and 401, which are final, by entries that had not heard of
    the configuration for seconds: a route or key had been added meanwhile. What an
    entry did not know it denied, however old its view was.

        20.770 s  refused reason=no_route rows_age_ms=3361 config_version=34
        23.082 s  refused reason=no_route rows_age_ms=5672 config_version=34
    """

    async def test_it_denies_nothing(self):
        async with Fleet(Endpoint("a", _answer)) as fleet:
            await self._assert_told(fleet, 404, 401)
            fleet.log.down = True
            await asyncio.sleep(IN_FORCE_S)
            await self._assert_told(fleet, 503, 503)
            status, headers, _ = await fleet.ask("/added/x")
            self.assertIn("Retry-After", headers)
            # What it knows it serves on.
            status, _, _ = await fleet.ask("/plain/x")
            self.assertEqual(status, 200)
            fleet.log.down = False
            await asyncio.sleep(CONFIG_WAIT_S)
            await self._assert_told(fleet, 404, 401)

    async def _assert_told(self, fleet, no_route, no_key):
        status, _, _ = await fleet.ask("/added/x")
        self.assertEqual(status, no_route)
        status, _, _ = await fleet.ask("/plain/x", Authorization="Bearer added")
        self.assertEqual(status, no_key)
