"""Requests that end the endpoints that run them."""

import unittest

from tests.crashing_endpoints import CrashRun
from tests.gateway_fleet import Fleet

KNOWN_WITHIN_S = 3.0
"""Within it the whole fleet knows that a request ended three endpoints."""
MOST_AFTER = 3
"""Times that such a request may reach endpoints later than that."""


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_crashing_request_is_not_sent_again_and_again(self) -> None:
        """BUDGET: one request, at whatever entry, ended endpoint after endpoint."""
        async with Fleet(gateways=4) as fleet, CrashRun(fleet, 12, seed=1) as run:
            await run.play(8.0)
            self.assertGreaterEqual(len(run.ended), 3, "it was never run")
            late = run.marked_after(run.ended[2] + KNOWN_WITHIN_S)
            self.assertLessEqual(len(late), MOST_AFTER, run.marked.by_status)
