"""Planned stops of real processes beside what crosses their parts."""

import asyncio
import signal
import time
import unittest

import aiohttp
from aiohttp import web
from nose2.tools import params

from tests.gateway_fleet import HOST, KEY
from tests.test_planned_stop import GRACE_S, Site, _echo

CROSSES_S = 0.2
"""A request that is sent no longer than this before a close may cross it."""


async def _short_work(request: web.BaseRequest) -> web.StreamResponse:
    await asyncio.sleep(0.3)
    return web.Response(body=b"done", headers=_echo(request))


class Caller:
    """Asks one thing after the other on a kept connection, until none is taken.

    :ivar statuses: of whole answers.
    :ivar lost: requests that were passed on, or old, and got no whole answer.
    """

    def __init__(self, site: Site) -> None:
        self._site = site
        self.statuses: list[int] = []
        self.lost: list[str] = []

    async def run(self) -> None:
        """Ask until no connection is taken."""
        for i in range(1_000):
            began_s = time.monotonic()
            try:
                self.statuses.append(await self._ask(f"r{i}"))
            except aiohttp.ClientConnectorError:
                return
            except (aiohttp.ClientError, OSError) as exc:
                took_s = time.monotonic() - began_s
                seen = {r.headers["X-Attempt-Id"] for r in self._site.endpoint.seen}
                if f"r{i}" in seen or took_s > CROSSES_S:
                    self.lost.append(f"r{i}: {exc!r} after {took_s:.3f} s")
            await asyncio.sleep(0.01)

    async def _ask(self, request_id: str) -> int:
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "2000",
            "Authorization": f"Bearer {KEY}",
        }
        url = f"http://{self._site.gateway.front_address}/once/x"
        async with self._site.http.post(url, data=b"", headers=headers) as answer:
            await answer.read()
            return answer.status


class CrossingTest(unittest.TestCase):
    @params((3.45,), (3.55,), (3.6,))
    def test_what_comes_while_a_stop_closes_is_answered_or_refused(self, after_s):
        """Guards against requests taken behind the last look at what is in progress."""
        asyncio.run(self._crossing(after_s))

    async def _crossing(self, after_s: float) -> None:
        async with Site(_short_work) as site:
            stops_s = time.monotonic()
            site.gateway.signal(signal.SIGTERM)
            await asyncio.sleep(stops_s + after_s - time.monotonic())
            caller = Caller(site)
            await caller.run()
            self.assertEqual(await site.gateway.ended(GRACE_S), 0)
            self.assertEqual(caller.lost, [], caller.statuses)


if __name__ == "__main__":
    unittest.main()
