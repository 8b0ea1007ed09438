"""Bodies without end in answers to what entries ask of the log, of each other and of
replicas."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from nose2.tools import params

from celerytrack.answer_limits import LOG_LIMITS, POLL_LIMITS
from celerytrack.entry.fleet_view import FleetView
from celerytrack.gateway.peer_requests import PeerClient
from celerytrack.ids import AccountId, EntryId
from celerytrack.logclient import LogClient
from celerytrack.platform.store import StoreClient
from tests.raw_endpoints import chunk
from tests.raw_servers import RawServer

PIECE = b" " * 1_048_576
MOST_PIECES = 200
"""Pieces after which a server gives up."""
POLL_S = 1.0
SLACK_BYTES = 16 * len(PIECE)
"""What the kernel and the server itself hold of what was sent."""


class _EndlessServer(RawServer):
    """Answers with a body without end, in chunks or not."""

    def __init__(self, in_chunks: bool) -> None:
        super().__init__(self._answer)
        self.in_chunks = in_chunks
        self.sent_bytes = 0

    async def _answer(
        self, number: int, head: bytes, writer: asyncio.StreamWriter
    ) -> None:
        framing = b"Transfer-Encoding: chunked\r\n" if self.in_chunks else b""
        writer.write(b"HTTP/1.1 200 OK\r\n%s\r\n" % framing)
        for _ in range(MOST_PIECES):
            writer.write(chunk(PIECE) if self.in_chunks else PIECE)
            await writer.drain()
            self.sent_bytes += len(PIECE)


async def _read_log(address: str) -> None:
    log = LogClient(address, "e")
    try:
        await log.read("s", 0)
    finally:
        await log.close()


async def _read_store(address: str) -> None:
    store = StoreClient(address)
    try:
        await store.newest("keyed.t")
    finally:
        await store.close()


async def _ask_entry(address: str) -> None:
    client = PeerClient()
    try:
        await client.fetch_row(address, EntryId("e2"))
    finally:
        await client.close()


async def _ask_for_tokens(address: str) -> None:
    client = PeerClient()
    try:
        await client.request_transfer(address, AccountId("t"), 5)
    finally:
        await client.close()


async def _list_instances(address: str) -> None:
    view = FleetView(address, POLL_S)
    try:
        await view.refresh()
    finally:
        await view.close()


Ask = Callable[[str], Awaitable[Any]]
ASKED: tuple[tuple[str, Ask, int | None], ...] = (
    ("own log", _read_log, LOG_LIMITS.total_bytes),
    ("platform log", _read_store, LOG_LIMITS.total_bytes),
    ("list of instances", _list_instances, POLL_LIMITS.total_bytes),
    ("row of an entry", _ask_entry, POLL_LIMITS.total_bytes),
    ("tokens of an entry", _ask_for_tokens, POLL_LIMITS.total_bytes),
)


class EndlessPollTest(unittest.TestCase):
    @params(*((*case, chunked) for case in ASKED for chunked in (False, True)))
    def test_a_body_without_end_is_not_read_on(
        self, name: str, ask: Ask, most_bytes: int, in_chunks: bool
    ) -> None:
        """All that came until the call timed out was kept in memory."""
        sent_bytes = asyncio.run(self._play(ask, in_chunks))
        self.assertLess(sent_bytes, most_bytes + SLACK_BYTES)

    async def _play(self, ask: Ask, in_chunks: bool) -> int:
        async with _EndlessServer(in_chunks) as server:
            await ask(server.address)
            return server.sent_bytes
