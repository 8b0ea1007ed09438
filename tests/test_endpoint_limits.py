"""Endpoints that name a rate limit, before a fleet of gateways."""

import random
import time
import unittest

from tests.limited_endpoints import (
    SETTLE_S,
    Callers,
    allowed,
    fleet_of,
    make_endpoints,
)


class LimitTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_entries_together_keep_a_named_limit(self) -> None:
        """An endpoint in need was sent as much after it had named its limit."""
        endpoints = make_endpoints(12, 3, "1.0")
        async with fleet_of(endpoints, 6) as fleet:
            began_s = time.monotonic()
            await Callers(fleet, random.Random(1)).play(60.0, 10.0)
            ended_s = time.monotonic()
        for endpoint in endpoints[:3]:
            worst = endpoint.worst(began_s + SETTLE_S, ended_s)
            self.assertLessEqual(worst, allowed(1.0))
