"""The operators' tool against processes that answer, and that do not."""

import asyncio
import signal
import subprocess
import unittest

from tests.fleet import BIN, Fleet, get_json
from tests.small_fleet import ENTRY, small_fleet, started

WITHIN_S = 15.0


def _ctl(fleet: Fleet, *args: str) -> subprocess.CompletedProcess[str]:
    command = [str(BIN / "celerytrackctl"), *args, "-s", str(fleet.settings_path)]
    return subprocess.run(command, capture_output=True, text=True, timeout=WITHIN_S)


class CtlTest(unittest.TestCase):
    def test_a_drain_reaches_the_entry_beside_a_silent_instance_list(self):
        """Guards against a drain that hangs, and says at last that all is well."""
        asyncio.run(self._drain())

    async def _drain(self) -> None:
        async with started(small_fleet(0.01)) as fleet:
            fleet.signal("instances", signal.SIGSTOP)
            done = await asyncio.to_thread(_ctl, fleet, "drain", ENTRY)
            self.assertEqual(done.returncode, 3, done.stdout)
            self.assertIn("the instance list", done.stderr)
            address = fleet.fleet.entry(ENTRY).address
            health = await asyncio.to_thread(get_json, address, "/healthz")
            self.assertTrue(health["draining"])

    def test_status_names_what_is_queued(self):
        """Guards against a status that ends in a traceback."""
        asyncio.run(self._status())

    async def _status(self) -> None:
        async with started(small_fleet(0.01)) as fleet:
            done = await asyncio.to_thread(_ctl, fleet, "status")
            self.assertEqual(done.returncode, 0, done.stderr)
            self.assertRegex(done.stdout, f"{ENTRY} .* records queued +0")


if __name__ == "__main__":
    unittest.main()
