"""Which bytes are the head of an answer, however they come and whoever parses them."""

import asyncio
import unittest
from unittest import mock

from aiohttp import client_proto, http_parser
from nose2.tools import params

from celerytrack.answer_heads import (
    MAX_INTERIM_ANSWERS,
    BrokenHeadError,
    HeadReader,
    WholeHead,
)
from celerytrack.bounded_connection import BoundedConnection, BrokenAnswerError
from tests.raw_endpoints import RawRequest
from tests.test_broken_heads import BROKEN, ODD, RawScript

MAX_BYTES = 4_096
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
SOUND = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
REQUEST = RawRequest("i-0", "POST /plain/x HTTP/1.1\r\nX-Attempt-Id: r1\r\n\r\n")


class _Written:
    """Takes what a script writes."""

    def __init__(self) -> None:
        self.data = b""

    def write(self, data: bytes) -> None:
        self.data += data


def _bytes_of(script: RawScript) -> bytes:
    written = _Written()
    asyncio.run(script(REQUEST, written))  # type: ignore[arg-type]
    return written.data


def _read(data: bytes, piece_bytes: int) -> tuple[WholeHead | None, bytes]:
    """Feed ``data`` in pieces; returns the head and all that came behind it."""
    reader = HeadReader(MAX_BYTES)
    for start in range(0, len(data), piece_bytes):
        whole = reader.feed(data[start : start + piece_bytes])
        if whole is not None:
            return whole, whole.body + data[start + piece_bytes :]
    return None, b""


class HeadReaderTest(unittest.TestCase):
    @params(*ODD)
    def test_a_head_is_the_same_however_its_bytes_come(self, name: str) -> None:
        data = _bytes_of(ODD[name][0])
        heads = [_read(data, size) for size in (1, 2, 3, 7, len(data))]
        whole, body = heads[0]
        assert whole is not None
        self.assertEqual(whole.head.status, ODD[name][1])
        for other, rest in heads:
            assert other is not None
            self.assertEqual((other.raw, rest), (whole.raw, body))

    @params(*BROKEN)
    def test_a_broken_head_is_refused_however_its_bytes_come(self, name: str) -> None:
        data = _bytes_of(BROKEN[name])
        for size in (1, 3, len(data)):
            with self.assertRaises(BrokenHeadError):
                _read(data, size)

    @params(
        (
            "interim answers",
            INTERIM * 100_000,
            len(INTERIM) * (MAX_INTERIM_ANSWERS + 1),
        ),
        ("interim answers with fields", INTERIM[:-2] + b"A: b\r\n" * 99_999, MAX_BYTES),
        ("empty lines", b"\r\n" * 500_000, MAX_BYTES),
        ("bytes that are no head", b"x" * 1_000_000, 1),
        ("lines that are no head", b"x: y\r\n" * 100_000, 1),
        ("a line of a head", b"HTTP/1.1 200 OK\r\nA: " + b"x" * 1_000_000, MAX_BYTES),
        ("fields", b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 100_000, MAX_BYTES),
        ("a status line", b"HTTP/1.1 200 " + b"x" * 1_000_000, MAX_BYTES),
    )
    def test_bytes_without_end_are_refused_soon(
        self, name: str, data: bytes, by_bytes: int
    ) -> None:
        """Bytes before a head were kept, or parsed, without a bound."""
        for size in (1, 100, 65_536):
            with self.assertRaises(BrokenHeadError):
                _read(data[: by_bytes + size], size)

    def test_sound_interim_answers_are_left_out(self) -> None:
        whole, body = _read(INTERIM * 20 + SOUND + b"good", 5)
        assert whole is not None
        self.assertEqual((whole.raw, body), (SOUND, b"good"))

    def test_a_head_of_the_limit_is_taken(self) -> None:
        for size, fits in ((MAX_BYTES, True), (MAX_BYTES + 1, False)):
            fixed = b"HTTP/1.1 200 OK\r\nA: \r\n\r\n"
            head = fixed.replace(b"A: ", b"A: " + b"x" * (size - len(fixed)))
            if fits:
                self.assertIsNotNone(_read(head, 1_000)[0])
            else:
                self.assertRaises(BrokenHeadError, _read, head, 1_000)


PARSERS = {
    # The compiled one is missing where its wheel isn't installed.
    "plain": http_parser.HttpResponseParserPy,
    "compiled": getattr(http_parser, "HttpResponseParserC", None),
}


class ParserTest(unittest.TestCase):
    """The compiled parser and the one in plain Python differ in what they let pass."""

    @params(*PARSERS)
    def test_heads_are_judged_alike_with_each_parser(self, name: str) -> None:
        parser = PARSERS[name]
        if parser is not None:
            asyncio.run(self._check(parser))

    async def _check(self, parser: type) -> None:
        for case, script in BROKEN.items():
            error = _received(parser, await _bytes(script)).exception()
            self.assertIsInstance(error, BrokenAnswerError, case)
        for case, (script, status) in ODD.items():
            connection = _received(parser, await _bytes(script))
            message, _ = await connection.read()
            self.assertEqual(message.code, status, case)


async def _bytes(script: RawScript) -> bytes:
    written = _Written()
    await script(REQUEST, written)  # type: ignore[arg-type]
    return written.data


def _received(parser: type, data: bytes) -> BoundedConnection:
    """A connection that has got ``data`` as the answer to a request."""
    connection = BoundedConnection(asyncio.get_running_loop())
    connection.connection_made(mock.Mock(asyncio.Transport))
    with mock.patch.object(client_proto, "HttpResponseParser", parser):
        connection.set_response_params(read_until_eof=True)
    connection.data_received(data)
    return connection
