"""Endpoints of several software versions serve side by side in one service."""

import asyncio
import random
import unittest

from nose2.tools import params

from tests.gateway_fleet import config
from tests.stream_callers import StreamCallers
from tests.versioned_endpoints import fleet_of, make_versioned

MIXED_ALLOWED = 2
LEAST_RATIO = 0.5
RATE_PER_S = 40.0
LASTS_S = 14.0
SEED = 50
CONFIG = config(timeoutMs=8_000)


async def _play(breaks_share: float, leaves_share: float, tries: int) -> StreamCallers:
    endpoints = make_versioned(12, 6, SEED, breaks_share=breaks_share)
    async with fleet_of(endpoints, 6, CONFIG) as fleet:
        callers = StreamCallers(fleet, random.Random(SEED), leaves_share, tries)
        await callers.play(RATE_PER_S, LASTS_S)
        return callers


class MixedVersionsTest(unittest.TestCase):
    @params((0.2, 0.0, 3), (0.0, 0.25, 3), (0.2, 0.0, 1))
    def test_a_stream_goes_on_only_at_its_version(
        self, breaks_share: float, leaves_share: float, tries: int
    ) -> None:
        """Streams that broke, or were taken up at another entry, went on at endpoints
        of another version."""
        callers = asyncio.run(_play(breaks_share, leaves_share, tries))
        self.assertGreater(len(callers.streams), 400)
        self.assertEqual(sum(s.wrong for s in callers.streams), 0)
        self.assertLessEqual(len(callers.mixed), MIXED_ALLOWED)
        began, went_on = callers.began_share(), callers.went_on_share()
        self.assertGreaterEqual(went_on, LEAST_RATIO * began)
