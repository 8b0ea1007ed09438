"""Callers that read raw bytes."""

import asyncio
import re
import socket

import attrs

from tests.gateway_fleet import HOST, KEY
from tests.process_soak.judging import Answer

ANSWER_WITHIN_S = 8.0


@attrs.frozen
class Request:
    """A request of a caller.

    :ivar after: the last event that the caller has of the stream; 0 for none.
    :ivar resumes: the id of the try that brought the first event, or empty.
    :ivar leaves_after: bytes after which the caller leaves; ``None`` if it stays.
    """

    request_id: str
    path: str
    version: str = "1.1"
    keeps: bool = True
    after: int = 0
    leaves_after: int | None = None
    resumes: str = ""

    def data(self) -> bytes:
        """The bytes of the request."""
        lines = [
            f"POST {self.path} HTTP/{self.version}",
            f"Host: {HOST}",
            f"X-Attempt-Id: {self.request_id}",
            f"Authorization: Bearer {KEY}",
            "X-Deadline-Ms: 4000",
            "Content-Length: 4",
        ]
        if self.after:
            lines.append(f"Last-Event-Id: {self.after}")
        if self.resumes:
            lines.append(f"Resumes: {self.resumes}")
        if self.version == "1.1" and not self.keeps:
            lines.append("Connection: close")
        return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\nbody"


class BrokenError(Exception):
    """The connection ended before the answer."""


class Caller:
    """One connection of a caller.

    :param slow: whether it reads little at a time.
    :param entry: number of the entry that it connects to.
    :ivar received: all bytes that the connection carried.
    """

    def __init__(self, slow: bool, entry: int) -> None:
        self.entry = entry
        self.received = b""
        self.is_open = False
        self._slow = slow
        self._buffer = b""
        self._at_end = False
        self._leaves_at: int | None = None
        self._socket: socket.socket | None = None

    async def open(self, address: str) -> None:
        """Connect to an entry."""
        host, port = address.split(":")
        self._socket = socket.socket()
        self._socket.setblocking(False)
        if self._slow:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(2.0):
            await loop.sock_connect(self._socket, (host, int(port)))
        self.is_open = True

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        if self._socket is not None:
            self._socket.close()

    async def ask(self, request: Request) -> Answer:
        """Send a request and read its answer.

        :raises BrokenError: there is no whole head of an answer.
        """
        assert self._socket is not None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(ANSWER_WITHIN_S):
                self._leaves_at = None
                if request.leaves_after is not None:
                    self._leaves_at = len(self.received) + request.leaves_after
                await loop.sock_sendall(self._socket, request.data())
                answer = await self._read_answer()
        except (OSError, TimeoutError) as error:
            self.close()
            raise BrokenError(repr(error)) from error
        ends = b"connection: close" in answer.head.lower()
        if not answer.looks_whole or ends or not request.keeps or self._at_end:
            self.close()
        return answer

    async def _fill(self) -> bool:
        """Read some bytes; tell whether there were any."""
        assert self._socket is not None
        if self._leaves_at is not None and len(self.received) >= self._leaves_at:
            raise ConnectionAbortedError("the caller has left")
        size = 200 if self._slow else 65_536
        if self._slow:
            await asyncio.sleep(0.01)
        data = await asyncio.get_running_loop().sock_recv(self._socket, size)
        self.received += data
        self._buffer += data
        self._at_end = self._at_end or not data
        return bool(data)

    async def _read_head(self) -> bytes:
        while b"\r\n\r\n" not in self._buffer:
            if not await self._fill():
                raise BrokenError("the connection ended before a head")
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        return head

    async def _read_answer(self) -> Answer:
        head = await self._read_head()
        while re.match(rb"HTTP/1\.1 1\d\d", head):
            head = await self._read_head()
        found = re.match(rb"HTTP/1\.[01] (\d{3})", head)
        if found is None:
            return Answer(0, head, self._buffer, True)
        status = int(found[1])
        length = re.search(rb"^Content-Length: *(\d+)", head, re.M | re.I)
        is_chunked = re.search(rb"^Transfer-Encoding: *chunked", head, re.M | re.I)
        # What came before a time limit or a reset counts, but doesn't look whole.
        body = bytearray()
        try:
            async with asyncio.timeout(ANSWER_WITHIN_S - 2.0):
                if is_chunked:
                    is_whole = await self._read_chunks(body)
                elif length is not None:
                    is_whole = await self._read_length(body, int(length[1]))
                else:
                    is_whole = await self._read_to_end(body)
        except (OSError, TimeoutError):
            is_whole = False
            if not is_chunked:
                body += self._buffer
        return Answer(status, head, bytes(body), is_whole)

    async def _read_length(self, body: bytearray, size: int) -> bool:
        while len(self._buffer) < size:
            if not await self._fill():
                body += self._buffer
                return False
        body += self._buffer[:size]
        self._buffer = self._buffer[size:]
        return True

    async def _read_to_end(self, body: bytearray) -> bool:
        while await self._fill():
            pass
        body += self._buffer
        self._buffer = b""
        return True

    async def _read_chunks(self, body: bytearray) -> bool:
        while True:
            while b"\r\n" not in self._buffer:
                if not await self._fill():
                    return False
            text, _, rest = self._buffer.partition(b"\r\n")
            if re.fullmatch(rb"[0-9a-fA-F]+", text) is None:
                return False
            size = int(text, 16)
            while len(rest) < size + 2:
                if not await self._fill():
                    body += rest[:size]
                    return False
                rest = self._buffer.partition(b"\r\n")[2]
            body += rest[:size]
            self._buffer = rest[size + 2 :]
            if size == 0:
                return True
