"""Rows of entries whose addresses are none: other writers share the topic."""

import asyncio
import unittest

import attrs
from aiohttp import web
from nose2.tools import params

from celerytrack.datagrams import DatagramSocket
from celerytrack.gateway.end_witness import Witness
from celerytrack.gateway.peer_requests import PeerClient
from celerytrack.ids import AccountId, EndpointId, EntryId, Zone
from celerytrack.membership.member import Member, MemberState
from celerytrack.platform.http import RESOLVE_PATH
from celerytrack.platform.rows import decode_member, encode_member
from celerytrack.platform.topics import ENTRIES_TOPIC
from celerytrack.prepaid import AccountClaim
from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet, free_port

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
READ_S = 1.5
_ROW = Member(
    EntryId("e"), 1, "10.0.0.1:1", "10.0.0.1:2", Zone("z"), MemberState.SERVING
)
SHARES = {AccountId("t"): AccountClaim(7, 0, 0, 0, 0, 0, 0)}


async def _good(request: web.BaseRequest) -> web.StreamResponse:
    await request.read()
    headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
    return web.Response(body=b"good", headers=headers)


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


async def _ask_odd_one(address: str) -> tuple[object, ...]:
    client = PeerClient()
    try:
        return (
            await client.request_transfer(address, AccountId("t"), 5),
            await client.fetch_row(address, EntryId("e")),
            await client.is_endpoint_reached(address, EndpointId("i")),
            await client.ask_witness(address, EndpointId("i"), 0, 0.1),
        )
    finally:
        await client.close()


class OddAddressTest(unittest.TestCase):
    def test_datagrams_to_odd_addresses_end_no_socket(self) -> None:
        """One row with a port out of range closed the socket: the entry got and sent
        no datagram from then on."""
        self.assertEqual(asyncio.run(_send_to_odd_ones()), b"sound")

    @params(*ODD)
    def test_requests_to_odd_addresses_are_failures(self, address: str) -> None:
        """A host that can't be encoded raised an error that no caller of the client
        expects: it ended the task that keeps the rows, or the request."""
        answers = asyncio.run(_ask_odd_one(address))
        self.assertEqual(answers, (0, {}, False, Witness.NONE))


class OddRowTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_odd_row_costs_no_more_than_its_claims(self) -> None:
        """Callers were given the address, and entries lost touch with each other."""
        endpoint = Endpoint("i-0", _good)
        async with Fleet(endpoint, gateways=2) as fleet:
            for number, address in enumerate(ODD):
                name = EntryId(f"odd-{number}@10.9.9.{number}")
                odd = attrs.evolve(
                    _ROW, entry_id=name, front_address=address, peer_address=address
                )
                fleet.log.put(ENTRIES_TOPIC, name, encode_member(odd))
            await asyncio.sleep(READ_S)
            sound = {g.settings.front_address for g in fleet.gateways}
            directory = fleet.gateways[0].settings.directory_address
            url = f"http://{directory}{RESOLVE_PATH}?name=h.example&zone=z"
            async with fleet.http.get(url) as response:
                answer = await response.json()
            self.assertEqual(set(answer["addresses"]), sound)
            heard: list[object] = []
            fleet.gateways[1].peer_messenger._handler = heard.append
            fleet.gateways[0].announce_leaving()
            await fleet.wait_until(lambda: bool(heard))
            for number in range(4):
                status, _, _ = await fleet.ask("/plain/x", f"r{number}")
                self.assertEqual(status, 200)
            self.assertFalse(fleet.ended())

    @params(*ODD)
    def test_the_claims_of_an_odd_row_are_known(self, address: str) -> None:
        """A row that is not read would hold back all claims of tokens."""
        raw = encode_member(attrs.evolve(_ROW, peer_address=address, shares=SHARES))
        member = decode_member("e", raw)
        self.assertEqual((member.peer_address, member.shares), ("", SHARES))
