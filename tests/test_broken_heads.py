"""Endpoints whose answers begin with bytes that are none, or odd but sound."""

import asyncio
import unittest
from unittest import mock

from multidict import CIMultiDict
from nose2.tools import params

from celerytrack.gateway import attempts, stream_relay
from tests.gateway_fleet import Fleet
from tests.raw_endpoints import (
    RawAnswer,
    RawEndpoint,
    RawRequest,
    RawScript,
    ask_raw,
    chunk,
    event,
)

PATHS = ("/plain/x", "/once/x", "/stream/x", "/resume/x")
WHOLE = event(1) + event(2)
LENGTH = b"Content-Length: %d" % len(WHOLE)
NEVER_S = 4.0
"""Longer than a request may take."""
CHUNKED = b"Transfer-Encoding: chunked"
CHUNKS = chunk(WHOLE) + chunk(b"")


def _raw(request: RawRequest, status: bytes, *lines: bytes, body: bytes) -> bytes:
    """An answer with id and seal, of any bytes."""
    identity = (
        b"X-Attempt-Id: " + request.request_id.encode(),
        b"X-Response-Seal: seal",
    )
    return b"\r\n".join((status, *identity, *lines, b"", b"")) + body


def _answers(status: bytes, *lines: bytes, body: bytes = WHOLE) -> RawScript:
    async def script(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(_raw(request, status, *lines, body=body))

    return script


def _sound(*lines: bytes, status: bytes = b"HTTP/1.1 200 OK") -> RawScript:
    return _answers(status, *lines, LENGTH)


def _status(text: bytes) -> RawScript:
    return _answers(b"HTTP/1.1 " + text, LENGTH)


BROKEN = {
    "status 000": _status(b"000"),
    "status 000 with a reason": _status(b"000 OK"),
    "status 001": _status(b"001 OK"),
    "status 010": _status(b"010 OK"),
    "status 099": _status(b"099 OK"),
    "status 600": _status(b"600 OK"),
    "status 999": _status(b"999 OK"),
    "status of two digits": _status(b"20 OK"),
    "status of four digits": _status(b"2000 OK"),
    "status with a sign": _status(b"+20 OK"),
    "status that is no number": _status(b"2x0 OK"),
    "no status": _answers(b"HTTP/1.1", LENGTH),
    "reason right behind the status": _status(b"200OK"),
    "control byte in the reason": _status(b"200 O\x01K"),
    "switch of protocols": _answers(
        b"HTTP/1.1 101 Switching Protocols", b"Upgrade: tcp", b"Connection: upgrade"
    ),
    "other protocol": _answers(b"ICY 200 OK", LENGTH),
    "other version": _answers(b"HTTP/2.0 200 OK", LENGTH),
    "blank before the version": _answers(b" HTTP/1.1 200 OK", LENGTH),
    "tab before the colon of the chunks' field": _answers(
        b"HTTP/1.1 200 OK", b"Transfer-Encoding\t: chunked", body=CHUNKS
    ),
    "blank before the colon of the chunks' field": _answers(
        b"HTTP/1.1 200 OK", b"Transfer-Encoding : chunked", body=CHUNKS
    ),
    "tab before the colon of the length": _answers(
        b"HTTP/1.1 200 OK", b"Content-Length\t: 4"
    ),
    "tab before the colon of another field": _sound(b"X-Odd\t: y"),
    "blank in a name": _sound(b"X Odd: y"),
    "control byte in a name": _sound(b"X-O\x01dd: y"),
    "NUL in a name": _sound(b"X-O\x00dd: y"),
    "byte 7F in a name": _sound(b"X-O\x7fdd: y"),
    "byte 80 in a name": _sound(b"X-O\x80dd: y"),
    "name that is no token": _sound(b"X(Odd): y"),
    "empty name": _sound(b": y"),
    "line without a colon": _sound(b"X-Odd"),
    "folded line": _sound(b"X-Odd: y", b" z"),
    "byte 01 in a value": _sound(b"X-Odd: a\x01b"),
    "byte 08 in a value": _sound(b"X-Odd: a\x08b"),
    "byte 1B in a value": _sound(b"X-Odd: a\x1bb"),
    "byte 7F in a value": _sound(b"X-Odd: a\x7fb"),
    "NUL in a value": _sound(b"X-Odd: a\x00b"),
    "CR in a value": _sound(b"X-Odd: a\rX-Two: b"),
    "unknown coding": _answers(
        b"HTTP/1.1 200 OK", b"Transfer-Encoding: squeezed", body=CHUNKS
    ),
    "coding behind the chunks": _answers(
        b"HTTP/1.1 200 OK", b"Transfer-Encoding: chunked, gzip", body=CHUNKS
    ),
    "coding before the chunks": _answers(
        b"HTTP/1.1 200 OK", b"Transfer-Encoding: gzip, chunked", body=CHUNKS
    ),
    "chunks named twice": _answers(b"HTTP/1.1 200 OK", CHUNKED, CHUNKED, body=CHUNKS),
    "chunks with a parameter": _answers(
        b"HTTP/1.1 200 OK", CHUNKED + b";q=1", body=CHUNKS
    ),
    "empty coding": _answers(b"HTTP/1.1 200 OK", b"Transfer-Encoding:", body=CHUNKS),
    "chunks and a length": _answers(
        b"HTTP/1.1 200 OK", CHUNKED, b"Content-Length: 4", body=CHUNKS
    ),
    "chunks of HTTP/1.0": _answers(b"HTTP/1.0 200 OK", CHUNKED, body=CHUNKS),
    "two lengths": _answers(b"HTTP/1.1 200 OK", LENGTH, b"Content-Length: 4"),
    "the same length twice": _answers(b"HTTP/1.1 200 OK", LENGTH, LENGTH),
    "length that is no number": _answers(b"HTTP/1.1 200 OK", b"Content-Length: x"),
    "length with a sign": _answers(
        b"HTTP/1.1 200 OK", b"Content-Length: +%d" % len(WHOLE)
    ),
    "length of two numbers": _answers(
        b"HTTP/1.1 200 OK", b"Content-Length: %d, %d" % (len(WHOLE), len(WHOLE))
    ),
    "length that no number holds": _answers(
        b"HTTP/1.1 200 OK", b"Content-Length: 18446744073709551615"
    ),
    "length of too many digits": _answers(
        b"HTTP/1.1 200 OK", b"Content-Length: " + b"0" * 5_000 + b"4"
    ),
    "empty length": _answers(b"HTTP/1.1 200 OK", b"Content-Length:"),
}
"""Heads that are no answer to any request."""

ODD = {
    # what it sends, the status that the caller gets
    "no reason": (_status(b"200"), 200),
    "empty reason": (_status(b"200 "), 200),
    "bytes beyond ASCII in the reason": (_status(b"200 sch\xf6n"), 200),
    "status 299": (_status(b"299 Odd"), 299),
    "status 218": (_status(b"218 This is fine"), 218),
    "status 451": (_status(b"451 Unavailable For Legal Reasons"), 451),
    "status 499": (_status(b"499 Odd"), 499),
    "status 599": (_status(b"599 Odd"), 599),
    "HTTP/1.0": (_sound(status=b"HTTP/1.0 200 OK"), 200),
    "lines that end by LF": (
        lambda request, writer: _write(
            writer,
            _raw(request, b"HTTP/1.1 200 OK", LENGTH, body=b"").replace(b"\r\n", b"\n")
            + WHOLE,
        ),
        200,
    ),
    "tab in a value": (_sound(b"X-Odd: a\tb"), 200),
    "empty value": (_sound(b"X-Odd:"), 200),
    "no blank before a value": (_sound(b"X-Odd:y"), 200),
    "marks in a name": (_sound(b"X-Odd!#$%&'*+.^_`|~: y"), 200),
    "chunks in capitals": (
        _answers(b"HTTP/1.1 200 OK", b"TRANSFER-ENCODING: CHUNKED", body=CHUNKS),
        200,
    ),
    "length with zeros in front": (
        _answers(b"HTTP/1.1 200 OK", b"Content-Length: 000%d" % len(WHOLE)),
        200,
    ),
    "no length": (_answers(b"HTTP/1.1 200 OK"), 200),
    "interim answers": (
        lambda request, writer: _write(
            writer,
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
            + _raw(request, b"HTTP/1.1 200 OK", LENGTH, body=WHOLE),
        ),
        200,
    ),
}
"""Answers that few send, but that are whole and sound."""


async def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(data)


async def _good(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(_raw(request, b"HTTP/1.1 200 OK", LENGTH, body=WHOLE))


async def _ask(path: str, *scripts: RawScript) -> RawAnswer:
    endpoints = [RawEndpoint(f"i-{i}", script) for i, script in enumerate(scripts)]
    async with Fleet(*endpoints) as fleet:
        return await ask_raw(fleet, path, "r1")


async def _ask_each(path: str, requests: int, *scripts: RawScript) -> list[RawAnswer]:
    endpoints = [RawEndpoint(f"i-{i}", script) for i, script in enumerate(scripts)]
    async with Fleet(*endpoints) as fleet:
        return [await ask_raw(fleet, path, f"r{i}") for i in range(requests)]


class BrokenHeadTest(unittest.TestCase):
    @params(*BROKEN)
    def test_a_broken_head_is_no_answer(self, name: str) -> None:
        """Its status, its lines or a body that isn't the endpoint's reached callers."""
        answers = asyncio.run(self._play_alone(name))
        for path, answer in zip(PATHS, answers, strict=True):
            self.assertEqual(answer.status, 502, (path, answer))
            self.assertIn(b'"may_have_run"', answer.body, path)
            self.assertTrue(answer.whole, path)

    async def _play_alone(self, name: str) -> list[RawAnswer]:
        return await asyncio.gather(*(_ask(path, BROKEN[name]) for path in PATHS))

    @params(*BROKEN)
    def test_another_endpoint_answers_in_its_place(self, name: str) -> None:
        """Callers got what a broken endpoint sent, beside a sound one."""
        plain, once = asyncio.run(self._play_beside(name))
        for answer in plain:
            self.assertEqual((answer.status, answer.body), (200, WHOLE), answer)
        for answer in once:
            sound = (answer.status, answer.body) == (200, WHOLE)
            self.assertTrue(sound or answer.status == 502, answer)

    async def _play_beside(self, name: str) -> list[list[RawAnswer]]:
        return await asyncio.gather(
            _ask_each("/plain/x", 4, BROKEN[name], _good),
            _ask_each("/once/x", 4, BROKEN[name], _good),
        )

    @params(*ODD)
    def test_an_odd_answer_stays_whole(self, name: str) -> None:
        """An answer that few endpoints send was taken for a broken one."""
        script, status = ODD[name]
        # A failure is repeated elsewhere where it may be.
        paths = PATHS if status < 500 else ("/once/x", "/stream/x")
        answers = asyncio.run(self._play_odd(script, paths))
        for path, answer in zip(paths, answers, strict=True):
            self.assertEqual((answer.status, answer.body), (status, WHOLE), path)
            self.assertTrue(answer.whole, path)

    async def _play_odd(
        self, script: RawScript, paths: tuple[str, ...]
    ) -> list[RawAnswer]:
        return await asyncio.gather(*(_ask(path, script) for path in paths))

    @params("/plain/x", "/once/x")
    def test_a_length_beyond_the_limit_is_refused_at_once(self, path: str) -> None:
        """The body was read up to the limit, or waited for until the deadline."""

        async def begin(request: RawRequest, writer: asyncio.StreamWriter) -> None:
            line = b"Content-Length: 1000000000000"
            writer.write(_raw(request, b"HTTP/1.1 200 OK", line, body=b"x"))
            await writer.drain()
            await asyncio.sleep(NEVER_S)

        answer = asyncio.run(_ask(path, begin))
        self.assertEqual((answer.status, answer.whole), (502, True), answer)

    @params(b"caf\xe9", b"\x80\xff", "caf\u00e9".encode())
    def test_bytes_beyond_ascii_in_a_value_stay(self, value: bytes) -> None:
        """The library that writes heads left such bytes out."""
        answer = asyncio.run(_ask("/plain/x", _sound(b"X-Odd: " + value)))
        self.assertEqual(answer.status, 200, answer)
        self.assertIn(b"X-Odd: " + value + b"\r\n", answer.head + b"\r\n")

    @params(*PATHS)
    def test_a_head_that_cannot_be_written_ends_in_a_truthful_answer(
        self, path: str
    ) -> None:
        """The library raised an error, and the caller's connection was closed."""
        unwritable = CIMultiDict({"X-Odd": "a\x01"})
        with (
            mock.patch.object(attempts, "returned_headers", lambda _: unwritable),
            mock.patch.object(stream_relay, "returned_headers", lambda _: unwritable),
        ):
            answer = asyncio.run(_ask(path, _good))
        self.assertEqual((answer.status, answer.whole), (502, True), answer)
        self.assertIn(b'"may_have_run"', answer.body)
