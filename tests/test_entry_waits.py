"""Promises of the own interface that have a time limit, kept while what they wait for
is silent."""

import asyncio
import time
import unittest

from tests.fleet import post_json
from tests.small_fleet import ask_stream, small_fleet, started

BUDGET_TOKENS = 1_000
REFUSED_WITHIN_S = 1.5
"""A request waits a second for tokens at most."""


class RefusalTest(unittest.TestCase):
    def test_a_refusal_does_not_wait_for_a_silent_log(self):
        """Guards against callers who hear of a refusal only when a read times out."""
        asyncio.run(self._silent_log())

    async def _silent_log(self) -> None:
        async with started(small_fleet(token_s=0.01), BUDGET_TOKENS) as fleet:
            self.assertTrue((await ask_stream(fleet, 10)).done)
            address = fleet.fleet.platform.log_address
            await asyncio.to_thread(post_json, address, "/_faults", {"slow_s": 30})
            began_s = time.monotonic()
            refused = await ask_stream(fleet, 2 * BUDGET_TOKENS)
            self.assertLess(time.monotonic() - began_s, REFUSED_WITHIN_S)
            # Whether the budget was topped up is not known.
            self.assertEqual(refused.error.get("reason"), "ledger_unreachable")
            self.assertEqual(refused.error.get("verdict"), "did_not_run")
            await asyncio.to_thread(post_json, address, "/_faults", {"slow_s": 0})


if __name__ == "__main__":
    unittest.main()
