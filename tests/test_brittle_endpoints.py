"""Endpoints that say that they are brittle, before gateways."""

import asyncio
import random
import unittest

import attrs
from nose2.tools import params

from celerytrack.ids import EndpointId
from celerytrack.platform.topics import ENDPOINTS_TOPIC
from tests.brittle_endpoints import (
    WORK_RANGE_S,
    BrittleCallers,
    make_brittle,
)
from tests.gateway_fleet import Fleet

SHRINK_AFTER_S = 3.0
SHRUNK_S = 8.0
FALLS_ALLOWED = 2.0
FALLS_SHARE_ALLOWED = 0.1
LEAST_USED = 0.75


@attrs.frozen
class Played:
    """What came of a play.

    :ivar used: answers as a share of those for which there was room or demand.
    """

    falls: int
    rejections: int
    used: float
    suspects: int


async def play(
    bears: int, gateways: int, rate_per_s: float, seed: int, endpoints: int = 12
) -> Played:
    """Endpoints become brittle, and have room for two requests each from 3 s later."""
    brittle = make_brittle(endpoints, seed)
    async with Fleet(*brittle, gateways=gateways) as fleet:
        callers = BrittleCallers(fleet, random.Random(seed))
        await callers.play(rate_per_s, 2.0)
        for endpoint in brittle:
            endpoint.bears = bears
        await callers.play(rate_per_s, SHRINK_AFTER_S)
        for endpoint in brittle:
            endpoint.room, endpoint.running = 2, 1
            endpoint.answered = 0
        await callers.play(rate_per_s, SHRUNK_S)
        most = min(rate_per_s, endpoints / (sum(WORK_RANGE_S) / 2)) * SHRUNK_S
        suspects = sum(
            len(gateway.suspect_sync.tracker.list_suspects(0.0))
            for gateway in fleet.gateways
        )
        return Played(
            sum(endpoint.falls for endpoint in brittle),
            sum(endpoint.rejections for endpoint in brittle),
            sum(endpoint.answered for endpoint in brittle) / most,
            suspects,
        )


NEW_ENDPOINT = EndpointId("i-new")


class NewEndpointTest(unittest.IsolatedAsyncioTestCase):
    async def test_it_needs_leases_until_it_has_answered(self) -> None:
        """Each entry sent what it liked to an endpoint that was back under a new id."""
        brittle, other = make_brittle(2, seed=1)
        brittle.bears = 3
        async with Fleet(brittle, other, gateways=2) as fleet:
            trackers = [g.notices.limits.tracker for g in fleet.gateways]
            await fleet.repeat_until(
                lambda: all(tracker.brittle() for tracker in trackers),
                lambda: fleet.ask("/plain/x"),
            )
            fleet.log.put(ENDPOINTS_TOPIC, NEW_ENDPOINT, other.registration())
            await fleet.wait_until(
                lambda: all(t.bears_per_s(NEW_ENDPOINT) == 3 for t in trackers)
            )
            await fleet.repeat_until(
                lambda: all(t.bears_per_s(NEW_ENDPOINT) is None for t in trackers),
                lambda: fleet.ask("/plain/x"),
            )


class BrittleTest(unittest.TestCase):
    @params((5, 6, 150.0, 1), (10, 6, 80.0, 2), (2, 9, 150.0, 3))
    def test_brittle_endpoints_stay_up_and_are_used(
        self, bears: int, gateways: int, rate_per_s: float, seed: int
    ) -> None:
        """The sum of all entries' requests that had to be turned away made them fall
        over, one after the other."""
        played = asyncio.run(play(bears, gateways, rate_per_s, seed))
        allowed = FALLS_ALLOWED + FALLS_SHARE_ALLOWED * 12
        self.assertLessEqual(played.falls, allowed, played)
        self.assertGreaterEqual(played.used, LEAST_USED, played)
        self.assertEqual(played.suspects, 0, played)
