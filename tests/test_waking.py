"""Entries whose process stood still for some seconds and wakes."""

import asyncio
import time
import unittest

from aiohttp import web
from nose2.tools import params

from celerytrack.eras import REWRITE_GRACE_S
from celerytrack.gateway.watches import make_endpoint_tail
from celerytrack.ids import EndpointId
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

    @params((-0.1, True), (0.1, False))
    def test_a_read_from_before_the_pause_shows_no_endpoint_to_be_gone(
        self, begun_after_s: float, stays: bool
    ) -> None:
        """A registration that a restored log lacked was taken for gone by an answer
        that was read late: it had been written again after the read began."""
        endpoint_id = EndpointId("i-1")

        async def play() -> bool:
            async with Fleet(Endpoint("i-1", _answer)) as fleet:
                (gateway,) = fleet.gateways
                restored_s = time.monotonic() - REWRITE_GRACE_S - 4.0
                gateway.endpoints.restored_registrations.mark_missing(
                    endpoint_id, restored_s
                )
                tail = make_endpoint_tail(gateway)
                tail._on_caught_up(restored_s + REWRITE_GRACE_S + begun_after_s)
                (endpoint,) = gateway.endpoints._endpoints.values()
                return endpoint.deregistered_at_s is None

        self.assertEqual(asyncio.run(play()), stays)
