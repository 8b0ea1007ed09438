"""Tests with malformed requests that could crash an entry."""

import asyncio
import random
import unittest

from aiohttp import web
from nose2.tools import params

from tests.gateway_fleet import KEY, SEAL_HEADERS, Endpoint, Fleet

ROUNDS = 3
"""Repetitions of each request: one that crashes an entry would do so each time."""
RANDOM_REQUESTS = 150
_HEAD = b"Host: h.example\r\nX-Attempt-Id: r1\r\nAuthorization: Bearer " + KEY.encode()
_END = b"\r\nContent-Length: 4\r\n\r\nbody"


async def _good(request: web.BaseRequest) -> web.StreamResponse:
    await request.read()
    headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
    return web.Response(body=b"good", headers=headers)


async def _send(fleet: Fleet, raw: bytes) -> bytes:
    """Send ``raw`` on a new connection and return the answer, or nothing."""
    host, port = fleet.gateways[0].settings.front_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(raw)
        async with asyncio.timeout(0.3):
            return await reader.read(100)
    except (ConnectionError, TimeoutError):
        return b""
    finally:
        writer.close()


class HostileRequestTest(unittest.TestCase):
    @params(
        b"POST /plain/\xff\xfe HTTP/1.1\r\n" + _HEAD + _END,
        b"POST /plain/%00%ff?\x80 HTTP/1.1\r\n" + _HEAD + _END,
        b"POST http://[/plain/x HTTP/1.1\r\n" + _HEAD + _END,
        b"POST /plain/x HTTP/1.1\r\nHost: \xc3\x28\r\n" + _HEAD + _END,
        b"POST /plain/x HTTP/1.1\r\nX-Attempt-Id: \xff\r\n" + _HEAD + _END,
        b"POST /plain/x HTTP/1.1\r\n" + _HEAD + b"\r\nX-Token-Count: 1,\xb2" + _END,
        b"POST /plain/x HTTP/1.1\r\n" + _HEAD + b"\r\nX-Prompt-Prefix: :,:" + _END,
        b"POST /plain/x HTTP/1.1\r\n" + _HEAD + b"\r\nX-Deadline-Ms: nan" + _END,
        b"POST /plain/x HTTP/1.1\r\n" + _HEAD + b"\r\nConnection: \xff,,," + _END,
        b"POST /plain/x HTTP/1.1\r\n" + _HEAD + b"\r\nLast-Event-Id: \xff" + _END,
        b"POST /resume/x HTTP/1.1\r\n"
        + _HEAD
        + b"\r\nLast-Event-Id: 3\r\nResumes: \xff"
        + _END,
        b"POST /plain/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
        + _HEAD
        + b"\r\n\r\nzz\r\n",
    )
    def test_entry_survives_malformed_requests(self, raw: bytes) -> None:
        """Guards against a header that crashes one entry after another."""
        asyncio.run(self._assert_survives([raw] * ROUNDS))

    def test_entry_survives_random_bytes_in_valid_requests(self) -> None:
        rng = random.Random(7)
        valid = b"POST /plain/x HTTP/1.1\r\n" + _HEAD + _END
        requests = []
        for _ in range(RANDOM_REQUESTS):
            raw = bytearray(valid)
            for _ in range(rng.randint(1, 4)):
                raw[rng.randrange(len(raw))] = rng.randrange(256)
            requests.append(bytes(raw))
        asyncio.run(self._assert_survives(requests))

    async def _assert_survives(self, requests: list[bytes]) -> None:
        async with Fleet(Endpoint("i-1", _good)) as fleet:
            await asyncio.gather(*(_send(fleet, raw) for raw in requests))
            self.assertFalse(fleet.ended())
            status, _, body = await fleet.ask("/plain/x", "good")
            self.assertEqual((status, body), (200, b"good"))
