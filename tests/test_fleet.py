"""Tests of the local test fleet."""

import pathlib
import shutil
import socket
import tempfile
import unittest
from unittest import mock

from tests import fleet
from tests.gateway_processes import loopback_ip


class FleetTest(unittest.TestCase):
    def test_a_port_in_use_is_named(self):
        """Guards against a test that talks to processes of another clone's fleet."""
        with tempfile.TemporaryDirectory() as root, socket.socket() as sock:
            sock.bind((loopback_ip(1), 0))
            sock.listen()
            address = f"{loopback_ip(1)}:{sock.getsockname()[1]}"
            example = pathlib.Path(root) / "example"
            shutil.copytree(fleet.ROOT / "examples" / "haddad", example)
            settings = example / "fleet.json"
            text = settings.read_text().replace("127.0.0.1:17131", address)
            settings.write_text(text)
            with mock.patch.object(fleet, "ROOT", pathlib.Path(root)):
                ours = fleet.Fleet(str(example))
            with mock.patch.object(ours, "_spawn") as spawn:
                with self.assertRaisesRegex(RuntimeError, f"in use: .*{address}"):
                    ours.start_platform()
            spawn.assert_not_called()
