"""Requests to gateways that stop in their head or body."""

import asyncio
import socket
import struct
import unittest

from nose2.tools import params

from celerytrack.gateway.relay_format import RelayOrder, encode_order
from celerytrack.ids import AccountId
from celerytrack.platform.http import RELAY_HEADER
from tests.cut_answers import HOLD_S, Cut, End, Framing
from tests.cut_callers import make_working
from tests.gateway_fleet import HOST, KEY, Fleet
from tests.raw_endpoints import chunk
from tests.test_relays import _know_each_other

AT_ONCE = 10
COARSE = 7
HEAD_STEP = 5
ANSWERED_S = 1.0
SETTLED_S = 0.3
BODY = b"body"


def _request(path: str, framing: Framing, *headers: str) -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        "X-Attempt-Id: r1",
        f"Authorization: Bearer {KEY}",
        *headers,
    ]
    if framing is Framing.LENGTH:
        lines.append(f"Content-Length: {len(BODY)}")
        body = BODY
    else:
        lines.append("Transfer-Encoding: chunked")
        body = chunk(BODY) + b"0\r\n\r\n"
    return "\r\n".join([*lines, "", ""]).encode() + body


def _places(request: bytes) -> list[Cut]:
    begins = request.index(b"\r\n\r\n") + 4
    sizes = [*range(0, begins, HEAD_STEP), *range(begins, len(request))]
    return [Cut(size, End.FIN) for size in sizes] + [
        Cut(size, end)
        for end in (End.RESET, End.HALF_CLOSE)
        for size in (
            *range(0, begins, COARSE * HEAD_STEP),
            *range(begins, len(request)),
        )
    ]


async def _send(address: str, request: bytes, cut: Cut) -> bytes:
    """Send a request up to its cut; return the answer to one that is half closed."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request[: cut.size])
    await writer.drain()
    await asyncio.sleep(HOLD_S)
    answer = b""
    if cut.end is End.HALF_CLOSE:
        writer.write_eof()
        try:
            async with asyncio.timeout(ANSWERED_S):
                answer = await reader.read(-1)
        except (TimeoutError, ConnectionError):
            pass
    elif cut.end is End.RESET:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()
    return answer


async def _send_whole(address: str, request: bytes) -> bytes:
    """Send a request and read the begin of its answer.

    A caller that half-closes its connection counts as gone.
    """
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    try:
        async with asyncio.timeout(ANSWERED_S):
            return await reader.read(1)
    finally:
        writer.close()


async def _send_each(address: str, request: bytes) -> list[bytes]:
    """The answers to a request that stops at each place."""
    room = asyncio.Semaphore(AT_ONCE)

    async def one(cut: Cut) -> bytes:
        async with room:
            return await _send(address, request, cut)

    return await asyncio.gather(*map(one, _places(request)))


async def _play(path: str, framing: Framing, relayed: bool) -> tuple[int, int, int]:
    """How many cut requests reached an endpoint and got a success, and whether a whole
    one did."""
    endpoints = make_working(1)
    async with Fleet(*endpoints, gateways=2) as fleet:
        await _know_each_other(fleet)
        settings = fleet.gateways[0].settings
        address, headers = settings.front_address, []
        if relayed:
            address = settings.peer_address
            order = RelayOrder(fleet.gateways[1].entry_id, "s", 1.0)
            headers = [f"{RELAY_HEADER}: {encode_order(order)}"]
        request = _request(path, framing, *headers)
        answers = await _send_each(address, request)
        await asyncio.sleep(SETTLED_S)
        ran = len(endpoints[0].seen)
        answered = sum(answer.startswith(b"HTTP/1.1 2") for answer in answers)
        await _send_whole(address, request)
        return ran, answered, len(endpoints[0].seen) - ran


class CutRequestTest(unittest.TestCase):
    @params(
        *(
            (path, framing, relayed)
            for path in ("/once/x", "/plain/x")
            for framing in (Framing.LENGTH, Framing.CHUNKED)
            for relayed in (False, True)
        )
    )
    def test_a_request_that_stops_is_not_run(
        self, path: str, framing: Framing, relayed: bool
    ) -> None:
        """An endpoint ran the beginning of a caller's or another entry's request."""
        ran, answered, whole = asyncio.run(_play(path, framing, relayed))
        self.assertEqual((ran, answered, whole), (0, 0, 1))


async def _transfer_each() -> tuple[int, int]:
    """Tokens that an entry gave to requests that stopped, and to a whole one."""
    given: list[int] = []
    async with Fleet(*make_working(1)) as fleet:
        reservations = fleet.gateways[0].share_sync.reservations
        real = reservations.transfer

        async def transfer(account: AccountId, tokens: int) -> int:
            given.append(tokens)
            return await real(account, tokens)

        reservations.transfer = transfer  # type: ignore[method-assign]
        address = fleet.gateways[0].settings.peer_address
        body = b'{"account": "t", "tokens": 5}'
        head = f"POST /gift HTTP/1.1\r\nHost: e\r\nContent-Length: {len(body)}\r\n\r\n"
        request = head.encode() + body
        await _send_each(address, request)
        await asyncio.sleep(SETTLED_S)
        cut = len(given)
        await _send_whole(address, request)
        return cut, len(given) - cut


class CutTransferTest(unittest.TestCase):
    def test_a_request_for_tokens_that_stops_gets_none(self) -> None:
        """Tokens that an entry gives to nobody are lost."""
        self.assertEqual(asyncio.run(_transfer_each()), (0, 1))


if __name__ == "__main__":
    unittest.main()
