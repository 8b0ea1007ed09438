"""The harness of other tests: ports and processes."""

import os
import unittest

from tests import gateway_processes
from tests.gateway_fleet import free_port
from tests.gateway_processes import GatewayProcess


class HarnessTest(unittest.IsolatedAsyncioTestCase):
    def test_no_port_is_given_twice(self) -> None:
        """Two listeners of one test got the same port before either was bound."""
        ports = [free_port() for _ in range(2_000)]
        self.assertEqual(len(set(ports)), len(ports))

    async def test_a_gateway_that_does_not_start_is_killed(self) -> None:
        """Its process stayed behind and disturbed later tests."""
        gateway = GatewayProcess(1, "127.0.0.1:1")
        self.addCleanup(
            setattr,
            gateway_processes,
            "READY_WITHIN_S",
            gateway_processes.READY_WITHIN_S,
        )
        gateway_processes.READY_WITHIN_S = 0.3
        with self.assertRaises(AssertionError):
            await gateway.start()
        assert gateway._process is not None
        self.assertIsNotNone(gateway._process.returncode)
        with self.assertRaises(ProcessLookupError):
            os.kill(gateway._process.pid, 0)
        gateway._folder.cleanup()
