"""Until when requests reach an endpoint whose leaving was confirmed."""

import asyncio
import random
import time
import unittest

import attrs
from aiohttp import web
from nose2.tools import params

from celerytrack.ids import EndpointId, ServiceName, Zone
from celerytrack.platform.topics import ENDPOINTS_TOPIC
from celerytrack.routing.endpoint import Registration, RequestProfile
from celerytrack.routing.endpoints import EndpointPool
from celerytrack.routing.leaving_bounds import LAPSED_GRACE_S
from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet

A, S = EndpointId("a"), ServiceName("s")
READY = Registration(A, S, "h:1", Zone("z"), 8, False, born_ms=1)
DRAINS = attrs.evolve(READY, draining=True)
SERVES_ON_S = 2.0
WORK_S = 0.02


class PoolTest(unittest.TestCase):
    @params(
        # Last known to be there, read that it is gone, asked, whether it is used.
        (10.0, 10.6, 11.5, True),
        (10.0, 10.6, 11.9, False),
        (10.0, 11.9, 11.95, False),
        (10.0, 13.0, 13.1, False),
        (10.0, 14.0, 14.1, True),
        (10.0, 14.0, 14.1 + LAPSED_GRACE_S, False),
    )
    def test_the_only_endpoint_is_used_while_it_surely_serves(
        self, present_at_s: float, read_at_s: float, now_s: float, used: bool
    ) -> None:
        """The time began when the removal was read, late, and not when it was
        confirmed."""
        pool = _pool(present_at_s)
        pool.mark_deregistered(A, read_at_s)
        chosen = pool.choose(RequestProfile(S), 1, 100, [], now_s)
        self.assertEqual(chosen is not None, used)

    @params(
        (lambda pool: pool.register(DRAINS, 10.6), 11.5, True),
        (lambda pool: pool.register(DRAINS, 10.6), 11.9, False),
        (lambda pool: pool.mark_deregistered(A, 10.6), 11.9, False),
        (lambda pool: pool.deregister_now(A, 10.6), 10.7, False),
        (lambda pool: pool.register(READY, 10.6), 99.0, True),
    )
    def test_a_request_that_was_placed_is_sent_in_time_or_not_at_all(
        self, leave, now_s: float, sent: bool
    ) -> None:
        """One that waited for its connection reached an endpoint that had left."""
        pool = _pool(10.0)
        chosen = pool.choose(RequestProfile(S), 1, 100, [], 10.1)
        leave(pool)
        self.assertEqual(pool.may_send(chosen.endpoint, now_s), sent)

    def test_an_endpoint_that_registers_again_is_used(self) -> None:
        pool = _pool(10.0)
        pool.mark_deregistered(A, 10.6)
        pool.register(READY, 12.5)
        self.assertIsNotNone(pool.choose(RequestProfile(S), 1, 100, [], 99.0))


def _pool(known_at_s: float) -> EndpointPool:
    pool = EndpointPool(Zone("z"), random.Random(1))
    pool.register(READY, 1.0)
    pool.known_at_s = known_at_s
    return pool


class LeavingEndpointTest(unittest.TestCase):
    @params(0.0, 0.9, 1.6)
    def test_no_request_reaches_an_endpoint_that_left(self, unread_s: float) -> None:
        """Its entry was removed, and reads of the registrations were late or missed."""
        last_s, _ = asyncio.run(_play(unread_s, asked_s=3.0))
        self.assertLess(last_s, SERVES_ON_S)

    def test_one_whose_registration_lapsed_is_used_again_at_once(self) -> None:
        """There was no endpoint for two seconds after each outage of the log."""
        _, served_after_s = asyncio.run(_play(4.5, asked_s=5.5))
        self.assertGreater(served_after_s, 4.9)


async def _play(unread_s: float, asked_s: float) -> tuple[float, float]:
    """Remove the only endpoint's entry, which can't be read for ``unread_s``.

    :returns: the time from the removal to the last request that reached the endpoint,
        and to the last one that was served.
    """
    arrivals_s = []

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        arrivals_s.append(time.monotonic())
        await asyncio.sleep(WORK_S)
        headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
        return web.Response(body=b"ok", headers=headers)

    async with Fleet(Endpoint("i-1", answer)) as fleet:
        await asyncio.sleep(1.0)
        fleet.log.refused.add(ENDPOINTS_TOPIC)
        gone_s = served_s = time.monotonic()
        fleet.log.put(ENDPOINTS_TOPIC, "i-1", b"")
        asyncio.get_running_loop().call_later(unread_s, fleet.log.refused.clear)
        number = 0
        while time.monotonic() < gone_s + asked_s:
            number += 1
            status, _, _ = await fleet.ask("/once/x", f"r{number}")
            if status == 200:
                served_s = time.monotonic()
            await asyncio.sleep(0.02)
    return max(arrivals_s) - gone_s, served_s - gone_s
