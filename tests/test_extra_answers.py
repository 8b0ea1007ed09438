"""Answers that nobody asked for on connections that are kept."""

import asyncio
import unittest

from nose2.tools import params
from returns.result import Result, Success

from celerytrack.gateway.peer_requests import PeerClient
from celerytrack.ids import AccountId
from celerytrack.platform.store import StoreClient, StoreError, Writer
from tests.raw_servers import RawServer, raw_answer

PAUSE_S = 0.03
HALF = len(raw_answer(b"")) // 2


async def _write_parts(writer: asyncio.StreamWriter, parts: list[bytes]) -> None:
    for part in parts:
        await asyncio.sleep(PAUSE_S)
        writer.write(part)


def _extra_parts(form: str, extra: bytes) -> list[bytes]:
    """The bytes of an extra answer, as they arrive after pauses."""
    return {
        "late": [extra],
        "half": [extra[:HALF]],
        "halves": [extra[:HALF], extra[HALF:]],
        "interim": [b"HTTP/1.1 103 Early Hints\r\n\r\n", extra],
        "no answer": [b"\0" * 10],
    }[form]


FORMS = ("late", "half", "halves", "interim", "no answer")


async def _append_twice(form: str) -> tuple[list[Result[int, StoreError]], int]:
    """Two appends, the first of which gets an extra answer before the second begins."""

    async def reply(number: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        own = raw_answer(b'{"offset": %d, "end": 100}' % number)
        writer.write(own)
        if number == 0:
            parts = _extra_parts(form, own)
            tasks.append(asyncio.create_task(_write_parts(writer, parts)))

    tasks: list[asyncio.Task[None]] = []
    async with RawServer(reply) as server:
        client = StoreClient(server.address)
        results = []
        for sequence in range(2):
            writer = Writer("e", 1, sequence)
            results.append(await client.append("keyed.t", "k", b"v", writer))
            await asyncio.sleep(PAUSE_S * 4)
        await client.close()
        return results, server.connections


async def _append_before_read(ends: bool) -> Result[int, StoreError]:
    """The second of two appends, sent while an extra answer waits to be read."""

    async def reply(number: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        own = raw_answer(b'{"offset": %d, "end": 100}' % number)
        writer.write(own)
        if number == 0:
            writers.append(writer)

    writers: list[asyncio.StreamWriter] = []
    async with RawServer(reply) as server:
        client = StoreClient(server.address)
        await client.append("keyed.t", "k", b"v", Writer("e", 1, 0))
        # Written to the socket at once: this process has not read it at the next line.
        writers[0].write(raw_answer(b'{"offset": 0, "end": 100}'))
        if ends:
            writers[0].write_eof()
        result = await client.append("keyed.t", "k", b"v", Writer("e", 1, 1))
        await client.close()
        return result


async def _ask_twice(form: str) -> tuple[list[int], int]:
    """Two requests for tokens at another entry; the first gets an extra answer."""

    async def reply(number: int, head: bytes, writer: asyncio.StreamWriter) -> None:
        own = raw_answer(b'{"tokens": %d}' % (number + 1))
        writer.write(own)
        if number == 0:
            parts = _extra_parts(form, own)
            tasks.append(asyncio.create_task(_write_parts(writer, parts)))

    tasks: list[asyncio.Task[None]] = []
    async with RawServer(reply) as server:
        client = PeerClient()
        tokens = []
        for _ in range(2):
            address = server.address
            tokens.append(await client.request_transfer(address, AccountId("a"), 9))
            await asyncio.sleep(PAUSE_S * 4)
        await client.close()
        return tokens, server.connections


class KeptConnectionTest(unittest.TestCase):
    @params(*FORMS)
    def test_an_append_gets_no_answer_of_the_one_before(self, form: str) -> None:
        """The log's extra answer to one append was taken for that of the next, which
        then counted as done."""
        results, connections = asyncio.run(_append_twice(form))
        self.assertEqual(results, [Success(0), Success(1)])
        self.assertEqual(connections, 2)

    @params(False, True)
    def test_an_append_gets_no_answer_that_came_before_it_was_sent(
        self, ends: bool
    ) -> None:
        """What had come, and was not read yet, was taken for the answer."""
        self.assertEqual(asyncio.run(_append_before_read(ends)), Success(1))

    @params(*FORMS)
    def test_tokens_of_another_entry_are_not_counted_twice(self, form: str) -> None:
        """An extra answer stood for tokens that the other entry had not given."""
        tokens, connections = asyncio.run(_ask_twice(form))
        self.assertEqual(tokens, [1, 2])
        self.assertEqual(connections, 2)
