"""Entries whose process stood still for some seconds and wakes."""

import asyncio
import time
import unittest

from aiohttp import web
from nose2.tools import params

from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet

REQUESTS = 8


async def _answer(request: web.BaseRequest) -> web.Response:
    own = {"X-Attempt-Id": request.headers["X-Attempt-Id"]}
    return web.Response(headers={**SEAL_HEADERS, **own}, body=b"done")


async def _play(stands_s: float) -> list[int]:
    """The answers to requests that wait at an entry as it wakes."""
    async with Fleet(Endpoint("i-1", _answer)) as fleet:
        await asyncio.sleep(1.0)
        asked = [
            asyncio.create_task(fleet.ask("/plain/x", f"r{n}")) for n in range(REQUESTS)
        ]
        await asyncio.sleep(0)
        time.sleep(stands_s)
        return [status for status, _, _ in await asyncio.gather(*asked)]


class WakingTest(unittest.TestCase):
    @params(1.2, 2.0, 2.5)
    def test_requests_that_came_meanwhile_are_served(self, stands_s: float) -> None:
        """A process that woke refused what had come meanwhile, as its view of the
        endpoints was too old, though a read of the log takes milliseconds."""
        self.assertEqual(asyncio.run(_play(stands_s)), [200] * REQUESTS)
