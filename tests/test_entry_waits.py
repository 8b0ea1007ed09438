"""Time limits that the product's own interface must keep while the log does not
answer."""

import asyncio
import json
import time
import unittest

from celerytrack.cli.ctl import apply_config
from celerytrack.logclient import LogClient
from tests.fleet import get_json, post_json
from tests.small_fleet import ENTRY, ask_stream, small_fleet, started

BUDGET_TOKENS = 1_000
REFUSED_WITHIN_S = 1.5
"""A request waits at most a second for tokens."""
IN_FORCE_WITHIN_S = 4.5
"""The limit is 5 s after the change is confirmed; the test itself takes some of it."""


class RefusalTest(unittest.TestCase):
    def test_a_refusal_does_not_wait_for_an_unresponsive_log(self):
        """Guards against a refusal that is sent only after a read of the log times
        out."""
        asyncio.run(self._unresponsive_log())

    async def _unresponsive_log(self) -> None:
        async with started(small_fleet(token_s=0.01), BUDGET_TOKENS) as fleet:
            self.assertTrue((await ask_stream(fleet, 10)).done)
            address = fleet.fleet.platform.log_address
            await asyncio.to_thread(post_json, address, "/_faults", {"slow_s": 30})
            began_s = time.monotonic()
            refused = await ask_stream(fleet, 2 * BUDGET_TOKENS)
            self.assertLess(time.monotonic() - began_s, REFUSED_WITHIN_S)
            # The entry cannot know whether the budget was topped up.
            self.assertEqual(refused.error.get("reason"), "ledger_unreachable")
            self.assertEqual(refused.error.get("verdict"), "did_not_run")
            await asyncio.to_thread(post_json, address, "/_faults", {"slow_s": 0})


class ConfigTest(unittest.TestCase):
    def test_a_change_is_in_force_in_time_after_the_log_was_unresponsive(self):
        """Guards against a long poll that outlasts the time limit of a change."""
        asyncio.run(self._after_unresponsive_log())

    async def _after_unresponsive_log(self) -> None:
        async with started(small_fleet(token_s=0.01)) as fleet:
            address = fleet.fleet.platform.log_address
            await asyncio.to_thread(post_json, address, "/_faults", {"slow_s": 60})
            # By now the entry's long poll is pending and will not be answered.
            await asyncio.sleep(1.0)
            await asyncio.to_thread(post_json, address, "/_faults", {"slow_s": 0})
            log = LogClient(address, "operator")
            raw = json.loads(fleet.config_path.read_text())
            version, why = await apply_config(log, raw, None)
            await log.close()
            self.assertGreaterEqual(version, 0, why)
            entry = fleet.fleet.entry(ENTRY).address
            until_s = time.monotonic() + IN_FORCE_WITHIN_S
            while time.monotonic() < until_s:
                status = await asyncio.to_thread(get_json, entry, "/status")
                if status["config_version"] == version:
                    return
                await asyncio.sleep(0.05)
            self.fail("the published version is not in force in time")


if __name__ == "__main__":
    unittest.main()
