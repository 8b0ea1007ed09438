"""Rows of entries whose addresses are none: other writers share the topic."""

import asyncio
import unittest

from celerytrack.datagrams import DatagramSocket
from tests.gateway_fleet import free_port

ODD = (
    "",
    "no-port",
    "::1",
    "..:80",
    "x" * 300 + ":80",
    "a..b:80",
    "name.invalid:80",
    "10.0.0.1:x",
    "10.0.0.1:99999",
    "a\x00b:80",
    "0.0.0.0:80",
)


async def _send_to_odd_ones() -> bytes:
    """What arrives at a sound address, after datagrams to odd ones."""
    arrived: asyncio.Queue[bytes] = asyncio.Queue()
    sender, receiver = (
        DatagramSocket(lambda data: None),
        DatagramSocket(arrived.put_nowait),
    )
    address = f"127.0.0.1:{free_port()}"
    await receiver.open(address)
    await sender.open(f"127.0.0.1:{free_port()}")
    try:
        sender.send(ODD, b"odd")
        await asyncio.sleep(0.01)
        sender.send([address], b"sound")
        async with asyncio.timeout(2.0):
            return await arrived.get()
    finally:
        sender.close()
        receiver.close()


class OddAddressTest(unittest.TestCase):
    def test_datagrams_to_odd_addresses_end_no_socket(self) -> None:
        """One row with a port out of range closed the socket: the entry got and sent
        no datagram from then on."""
        self.assertEqual(asyncio.run(_send_to_odd_ones()), b"sound")
