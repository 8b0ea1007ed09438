"""Connections that end an answer whose head or framing has no end.

They are closed by bytes that no request asked for.
"""

import asyncio
import fcntl
import termios
from typing import Any, Protocol

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from celerytrack.answer_limits import DEFAULT_LIMITS, AnswerBytes, AnswerLimits

CONNECTION_BYTES = 327_680
"""Bytes of an answer that a connection may buffer while nobody reads it: its buffer,
and what the event loop reads at once."""
SWITCHING_PROTOCOLS = 101
"""The only interim answer after which no other head follows."""


class AnswerNotHeldError(Exception):
    """There is no memory for an answer."""


class AnswerMemory(Protocol):
    """The memory of the process for one answer that is read to its end."""

    def begin(self, count: int) -> None:
        """Take the memory of what a connection buffers.

        :raises AnswerNotHeldError: if there is none.
        """

    async def grow(self, count: int) -> None:
        """Wait until there is memory for ``count`` more bytes."""


class EndlessAnswerError(aiohttp.ClientPayloadError):
    """The bytes of an answer lead to nothing: the connection was closed."""


async def read_body(
    response: aiohttp.ClientResponse, answer_bytes: AnswerBytes, memory: AnswerMemory
) -> bytes:
    """Read an answer to its end.

    :param memory: what the process has for it.
    :raises AnswerNotHeldError: if there is no memory even for what has come.
    :raises AnswerTooLargeError: if it is too large.
    """
    parts = []
    try:
        await answer_bytes.reserve(response, 0)
        length = response.content_length or response.content.total_bytes
        memory.begin(min(length, CONNECTION_BYTES))
        while data := await response.content.readany():
            await answer_bytes.reserve(response, len(data))
            await memory.grow(len(data))
            parts.append(data)
        return b"".join(parts)
    finally:
        answer_bytes.release(response)


class AnsweredResponse(aiohttp.ClientResponse):
    """An answer that knows whether its connection has carried another one before.

    What an endpoint writes beyond an answer arrives where the next one is expected.
    """

    is_first: bool = False

    async def start(self, connection: Connection) -> "AnsweredResponse":
        """Read the head of the answer."""
        # A short answer has given its connection back by the end of this.
        protocol = connection.protocol
        self.is_first = isinstance(protocol, BoundedConnection) and (
            protocol.requests == 1
        )
        await super().start(connection)
        return self


class BoundedConnection(ResponseHandler):
    """A connection to an endpoint that is bounded in bytes and time.

    The library bounds a line of a head. It reads on without end if a head comes byte by
    byte, after interim answers, and in the size or extension of a chunk.

    :ivar requests: requests that were sent on it so far.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, limits: AnswerLimits = DEFAULT_LIMITS
    ) -> None:
        super().__init__(loop)
        self.requests = 0
        self._limits = limits
        self._has_head = False
        self._head_bytes = 0
        self._framing_bytes = 0
        self._content_bytes = 0
        self._content: aiohttp.StreamReader | None = None
        self._head_timer: asyncio.TimerHandle | None = None

    def set_response_params(self, **params: Any) -> None:
        """Begin to read the answer to another request."""
        self.requests += 1
        self._has_head = False
        self._head_bytes = self._framing_bytes = self._content_bytes = 0
        self._content = None
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take a head that is complete."""
        message, content = data
        self._stop_head_timer()
        if message.code >= 200 or message.code == SWITCHING_PROTOCOLS:
            self._has_head = True
            self._content = content
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Take bytes, and close the connection if they are too many."""
        if data and self._is_answered():
            # The library keeps them, and takes them for the next request's answer.
            self.force_close()
            if self.transport is not None:
                self.transport.abort()
            return
        if not self._has_head:
            self._head_bytes += len(data)
            if self._head_timer is None and data:
                self._head_timer = self._loop.call_later(
                    self._limits.head_timeout_s, self._give_up, "a head takes too long"
                )
        super().data_received(data)
        if self._has_head:
            self._check_framing(len(data))
        elif self._head_bytes > self._limits.head_bytes:
            self._give_up("a head is too long")

    def is_connected(self) -> bool:
        """Whether a request may be sent on it."""
        # What waits unread came before the request: it is no answer to it.
        is_spoiled = self._is_answered() and self._has_unread()
        return super().is_connected() and not is_spoiled

    def _is_answered(self) -> bool:
        return self._has_head and self._content is not None and self._content.is_eof()

    def _has_unread(self) -> bool:
        """Whether bytes of the peer wait; its end alone is left to the event loop."""
        sock = self.transport and self.transport.get_extra_info("socket")
        if not sock or sock.fileno() < 0:
            return False
        unread = bytearray(4)
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, unread)
        return any(unread)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer of a head that will not come."""
        self._stop_head_timer()
        self._content = None
        super().connection_lost(exc)

    def _check_framing(self, count: int) -> None:
        content = self._content
        if content is None:
            return
        if content.total_bytes > self._content_bytes:
            self._content_bytes = content.total_bytes
            self._framing_bytes = 0
            return
        self._framing_bytes += count
        if self._framing_bytes > self._limits.framing_bytes:
            self._give_up("the framing of a body is too long")

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _give_up(self, detail: str) -> None:
        self._stop_head_timer()
        error = EndlessAnswerError(detail)
        content = self._content
        if content is not None and not content.is_eof():
            content.set_exception(error)
        self.set_exception(error)
        self.force_close()
        if self.transport is not None:
            self.transport.abort()
