"""Answers of the log and of other entries whose heads are none."""

import asyncio
import unittest

import aiohttp
from nose2.tools import params
from returns.result import Failure

from celerytrack.bounded_connection import BrokenAnswerError
from celerytrack.gateway.peer_requests import PeerClient
from celerytrack.logclient import LogClient, LogError, LogErrorKind
from celerytrack.platform.store import StoreClient, StoreErrorKind, Writer
from tests.raw_servers import RawServer

WRITER = Writer("e", 1, 7)
APPENDED = b'{"first_offset": 3, "next_offset": 4, "offset": 12, "end": 13}'
LENGTH = b"Content-Length: %d\r\n" % len(APPENDED)
HEADS = {
    "status 000": b"HTTP/1.1 000 OK\r\n" + LENGTH,
    "status 099": b"HTTP/1.1 099 OK\r\n" + LENGTH,
    "status 600": b"HTTP/1.1 600 OK\r\n" + LENGTH,
    "other version": b"HTTP/2.0 200 OK\r\n" + LENGTH,
    "control byte in a value": b"HTTP/1.1 200 OK\r\nX-Odd: a\x01b\r\n" + LENGTH,
    "folded line": b"HTTP/1.1 200 OK\r\nX-Odd: a\r\n b\r\n" + LENGTH,
    "unknown coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: squeezed\r\n",
    "switch of protocols": b"HTTP/1.1 101 Other\r\nUpgrade: tcp\r\n",
}


def _server(name: str) -> RawServer:
    async def reply(number: int, request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(HEADS[name] + b"\r\n" + APPENDED)
        writer.close()

    return RawServer(reply)


class BrokenHeadTest(unittest.TestCase):
    @params(*HEADS)
    def test_an_append_whose_answer_is_none_may_have_taken_effect(
        self, name: str
    ) -> None:
        """An answer that is none was taken for a confirmation, or for a refusal."""
        result = asyncio.run(self._append(name))
        self.assertEqual(result, Failure(LogError(LogErrorKind.UNKNOWN_OUTCOME)))

    async def _append(self, name: str) -> object:
        async with _server(name) as server:
            log = LogClient(server.address, "e")
            try:
                return await log.append("s", [1])
            finally:
                await log.close()

    @params(*HEADS)
    def test_the_platform_log_confirms_nothing_by_a_broken_head(
        self, name: str
    ) -> None:
        result = asyncio.run(self._append_keyed(name))
        match result:
            case Failure(error):
                self.assertIs(error.kind, StoreErrorKind.UNREACHABLE)
            case _:
                self.fail(result)

    async def _append_keyed(self, name: str) -> object:
        async with _server(name) as server:
            store = StoreClient(server.address)
            try:
                return await store.append("keyed.t", "k", b"v", WRITER)
            finally:
                await store.close()

    @params(*HEADS)
    def test_another_entry_relays_no_broken_head(self, name: str) -> None:
        """What another entry of ours, or what has its address, sent was passed on."""
        self.assertIsInstance(asyncio.run(self._relay(name)), BrokenAnswerError)

    async def _relay(self, name: str) -> object:
        async with _server(name) as server:
            client = PeerClient()
            try:
                async with client.relay_session.post(f"http://{server.address}/x"):
                    return None
            except aiohttp.ClientError as exc:
                return exc
            finally:
                await client.close()
