"""Datagrams between entries, and their effect on predicted latency."""

import asyncio
import random
import socket
import unittest

from nose2.tools import params

from celerytrack.gateway.peer_messages import (
    LeavingMessage,
    LongPromptMessage,
    PeerMessenger,
)
from celerytrack.ids import EndpointId, EntryId, ServiceName, Zone
from celerytrack.routing.endpoint import Registration, RequestProfile
from celerytrack.routing.endpoints import EndpointPool

SERVICE = ServiceName("llm")


def _free_address() -> str:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


async def _exchange(
    sent: list[LongPromptMessage | LeavingMessage], raw: list[bytes]
) -> list:
    received: list[LongPromptMessage | LeavingMessage] = []
    here, there = _free_address(), _free_address()
    sender = PeerMessenger(lambda message: None)
    receiver = PeerMessenger(received.append)
    await sender.open(here)
    await receiver.open(there)
    for message in sent:
        if isinstance(message, LongPromptMessage):
            sender.send_long_prompt([there], message)
        else:
            sender.send_leaving([there], message)
    for data in raw:
        receiver.datagram_received(data, None)
    await asyncio.sleep(0.05)
    sender.close()
    receiver.close()
    return received


class DatagramTest(unittest.TestCase):
    def test_messages_arrive(self):
        sent = [
            LongPromptMessage(EndpointId("i-1"), 0.3),
            LeavingMessage(EntryId("e1@10.0.0.1"), 7.5),
            LongPromptMessage(EndpointId("i-2"), 1.25),
        ]
        self.assertEqual(asyncio.run(_exchange(sent, [])), sent)

    @params(
        b"",
        b"\xc1",
        b"\x01",
        b"\x92\x01\xa1x",
        b"\x92\xa1x\xc3",
        b"\x93\xa7leaving\x01\xcb" + bytes(8),
        b"\x93\xa7leaving\xa1x\xa1y",
    )
    def test_undecodable_datagram_is_logged_and_ignored(self, raw):
        with self.assertLogs("celerytrack.gateway.peer_messages", "WARNING"):
            self.assertEqual(asyncio.run(_exchange([], [raw])), [])

    @params("", "x", "somewhere.example:7340", "127.0.0.1:70000", "127.0.0.1:x")
    def test_invalid_address_does_not_stop_sending_to_others(self, address):
        """Guards against a planned stop that fails over one row with a bad address."""
        asyncio.run(self._send_to_both(address))

    async def _send_to_both(self, address: str) -> None:
        received: list[LongPromptMessage | LeavingMessage] = []
        here, there = _free_address(), _free_address()
        sender, receiver = (
            PeerMessenger(lambda message: None),
            PeerMessenger(received.append),
        )
        await sender.open(here)
        await receiver.open(there)
        message = LeavingMessage(EntryId("e1@10.0.0.1"), 7.5)
        sender.send_leaving([address, there], message)
        await asyncio.sleep(0.05)
        sender.close()
        receiver.close()
        self.assertEqual(received, [message])


class PredictionTest(unittest.TestCase):
    @params(
        # seconds since the message, endpoint that a short prompt is sent to
        (0.03, "i-far"),
        (0.2, "i-far"),
        (0.5, "i-home"),
    )
    def test_short_prompt_avoids_an_endpoint_busy_with_a_long_one(
        self, since_s, expected
    ):
        """Guards against one in twelve short prompts with a first token after 200 ms or
        more, where 30 ms were predicted.

        Another entry had sent a long prompt to the same engine 30 to 110 ms before, and
        an entry knew only its own prompts.
        """
        pool = EndpointPool(Zone("z"), random.Random(1))
        for name in ("i-home", "i-far"):
            zone = Zone("z" if name == "i-home" else "other")
            registration = Registration(
                EndpointId(name), SERVICE, "127.0.0.1:1", zone, 64, False
            )
            pool.register(registration, 0.0)
        pool.add_peer_prefill(EndpointId("i-home"), 0.4, 0.0)
        need = RequestProfile(SERVICE, (("m/a", 500),))
        chosen = pool.choose(need, 2, 100, (), since_s)
        self.assertIsNotNone(chosen)
        self.assertEqual(chosen.endpoint.endpoint_id, expected)
