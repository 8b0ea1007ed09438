"""The operators' tool against responsive and unresponsive processes."""

import asyncio
import signal
import subprocess
import unittest

from tests.fleet import BIN, Fleet, get_json
from tests.small_fleet import ENTRY, small_fleet, started

COMMAND_TIMEOUT_S = 15.0


def _ctl(fleet: Fleet, *args: str) -> subprocess.CompletedProcess[str]:
    command = [str(BIN / "celerytrackctl"), *args, "-s", str(fleet.settings_path)]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S
    )


class CtlTest(unittest.TestCase):
    def test_drain_reaches_the_entry_while_the_instance_list_is_unresponsive(self):
        """Guards against a drain that waits for an instance list that does not answer,
        and then reports success."""
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

    def test_status_prints_the_number_of_queued_records(self):
        """Guards against a status command that fails with a traceback."""
        asyncio.run(self._status())

    async def _status(self) -> None:
        async with started(small_fleet(0.01)) as fleet:
            done = await asyncio.to_thread(_ctl, fleet, "status")
            self.assertEqual(done.returncode, 0, done.stderr)
            self.assertRegex(done.stdout, f"{ENTRY} .* records queued +0")


if __name__ == "__main__":
    unittest.main()
