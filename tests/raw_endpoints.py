"""Endpoints whose answers are written byte for byte, sound or not."""

import asyncio
import re
from collections.abc import Awaitable, Callable

import attrs

from celerytrack.routing.routes import DEFAULT_HEALTH_PATH
from tests.gateway_fleet import Endpoint, Fleet


@attrs.frozen
class RawRequest:
    """A request as the endpoint ``name`` got it."""

    name: str
    head: str

    def header(self, name: str) -> str | None:
        found = re.search(rf"^{name}: *(.*?)\r$", self.head, re.M | re.I)
        return found[1] if found else None

    @property
    def request_id(self) -> str:
        return self.header("X-Attempt-Id") or ""

    @property
    def path(self) -> str:
        return self.head.split(" ", 2)[1]


RawScript = Callable[[RawRequest, asyncio.StreamWriter], Awaitable[None]]


@attrs.frozen
class _Runner:
    server: asyncio.Server

    async def cleanup(self) -> None:
        self.server.close()


class RawEndpoint(Endpoint):
    """An endpoint that writes what ``script`` does.

    :param keeps: whether a connection stays open after an answer.
    :param answers_checks: whether it says who it is at the path of its health;
        otherwise the script does.
    :ivar open: connections that are open now.
    """

    def __init__(
        self,
        name: str,
        script: RawScript,
        keeps: bool = False,
        answers_checks: bool = True,
    ) -> None:
        async def no_script(request: object) -> None: ...

        super().__init__(name, no_script)  # type: ignore[arg-type]
        self.open = 0
        self.requests: list[RawRequest] = []
        self._raw_script = script
        self._keeps = keeps
        self._answers_checks = answers_checks

    async def start(self) -> _Runner:  # type: ignore[override]
        return _Runner(await asyncio.start_server(self._serve, "127.0.0.1", self.port))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                request = RawRequest(self.name, head)
                length = int(request.header("Content-Length") or 0)
                await reader.readexactly(length)
                self.requests.append(request)
                if self._answers_checks and request.path == DEFAULT_HEALTH_PATH:
                    writer.write(health_answer(self.name))
                else:
                    await self._raw_script(request, writer)
                await writer.drain()
                if not self._keeps:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            # A check of the endpoint sends nothing.
            pass
        finally:
            self.open -= 1
            writer.close()


def health_answer(name: str) -> bytes:
    """The answer of an endpoint that is asked for its health."""
    return b"HTTP/1.1 200 OK\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n" % (
        name.encode()
    )


def answer_head(request: RawRequest, status: str = "200 OK", *headers: str) -> bytes:
    """The head of an answer with id and seal."""
    lines = (
        f"HTTP/1.1 {status}",
        f"X-Attempt-Id: {request.request_id}",
        "X-Response-Seal: seal",
        *headers,
    )
    return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\n"


def event(number: int) -> bytes:
    """One event of a stream."""
    return b"id: %d\ndata: t\n\n" % number


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


@attrs.frozen
class RawAnswer:
    """An answer as the caller's connection carried it.

    :ivar body: without the framing.
    :ivar whole: whether it ended as its head says.
    :ivar rest: bytes that are no part of a chunked body.
    """

    status: int
    head: bytes
    body: bytes
    whole: bool
    rest: bytes


async def ask_raw(
    fleet: Fleet, path: str, request_id: str, *headers: str, body: bytes = b"body"
) -> RawAnswer:
    """Send one request on a connection of its own, and read to its end."""
    address = fleet.gateways[0].settings.front_address
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = (
        f"POST {path} HTTP/1.1",
        "Host: h.example",
        f"X-Attempt-Id: {request_id}",
        "Authorization: Bearer key-of-t",
        "X-Deadline-Ms: 3000",
        f"Content-Length: {len(body)}",
        "Connection: close",
        *headers,
    )
    writer.write("".join(f"{line}\r\n" for line in lines).encode() + b"\r\n" + body)
    try:
        async with asyncio.timeout(5.0):
            data = await reader.read(-1)
    finally:
        writer.close()
    return parse_answer(data)


def parse_answer(data: bytes) -> RawAnswer:
    """Take the bytes of a connection that has ended apart."""
    head, _, raw = data.partition(b"\r\n\r\n")
    status = int(head.split()[1]) if head else 0
    if b"chunked" not in head.lower():
        length = re.search(rb"Content-Length: (\d+)", head, re.I)
        whole = length is None or len(raw) == int(length[1])
        return RawAnswer(status, head, raw, whole, b"")
    body = b""
    while True:
        size_text, end, rest = raw.partition(b"\r\n")
        if not end or re.fullmatch(rb"[0-9a-fA-F]+", size_text) is None:
            return RawAnswer(status, head, body, False, raw)
        size = int(size_text, 16)
        if len(rest) < size + 2:
            return RawAnswer(status, head, body, False, raw)
        body += rest[:size]
        raw = rest[size + 2 :]
        if size == 0:
            return RawAnswer(status, head, body, True, raw)
