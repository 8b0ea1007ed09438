"""Connections that end an answer whose head is none, or whose framing has no end.

They are closed by bytes that no request asked for.
"""

import asyncio
from typing import Any, Protocol

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from celerytrack.answer_heads import BrokenHeadError, HeadReader, WholeHead
from celerytrack.answer_limits import DEFAULT_LIMITS, AnswerBytes, AnswerLimits
from celerytrack.socket_queues import unread_bytes, unsent_bytes

PIECE_BYTES = 4_096
"""Bytes of a chunked body that the library gets at once: what is behind the last chunk
would be parsed with it, as more answers."""
CONNECTION_BYTES = 327_680
"""Bytes of an answer that a connection may buffer while nobody reads it: its buffer,
and what the event loop reads at once."""


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


class BrokenAnswerError(aiohttp.ClientPayloadError):
    """The bytes in place of an answer's head are none: the connection was closed."""


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
        if not response.content.is_eof():
            answer_bytes.check_length(response.content_length or 0)
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
    _answered_on: "BoundedConnection | None" = None

    async def start(self, connection: Connection) -> "AnsweredResponse":
        """Read the head of the answer."""
        # A short answer has given its connection back by the end of this.
        protocol = connection.protocol
        if isinstance(protocol, BoundedConnection):
            self._answered_on = protocol
            self.is_first = protocol.requests == 1
        await super().start(connection)
        return self

    @property
    def ended_early(self) -> bool:
        """Whether the peer ended the connection before it had taken the request."""
        return self._answered_on is not None and self._answered_on.ended_early


class BoundedConnection(ResponseHandler):
    """A connection to an endpoint that is bounded in bytes and time.

    The library gets a head only once it is whole and an answer's. It would read on
    without end in the size or extension of a chunk.

    :ivar requests: requests that were sent on it so far.
    :ivar ended_early: whether the peer ended it before it had taken the last request.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, limits: AnswerLimits = DEFAULT_LIMITS
    ) -> None:
        super().__init__(loop)
        self.requests = 0
        self.ended_early = False
        self._limits = limits
        self._head = HeadReader(limits.head_bytes)
        self._has_head = False
        self._is_chunked = False
        self._body_left: int | None = None
        self._skips_body = False
        self._unparsed = b""
        self._framing_bytes = 0
        self._content_bytes = 0
        self._content: aiohttp.StreamReader | None = None
        self._head_timer: asyncio.TimerHandle | None = None

    def set_response_params(self, **params: Any) -> None:
        """Begin to read the answer to another request."""
        self.requests += 1
        self._head = HeadReader(self._limits.head_bytes)
        self._has_head = False
        self._framing_bytes = self._content_bytes = 0
        self._unparsed = b""
        self._content = None
        self._skips_body = params.get("skip_payload", False)
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take a head that is complete."""
        if self._content is None:
            _, self._content = data
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Take bytes, and close the connection if they are too many."""
        if data and self._is_answered():
            self._close_spoiled()
        elif self._parser is None:
            super().data_received(data)
        elif not data:
            # What was received goes on to be parsed.
            super().data_received(data)
            self._read_chunks(data)
        elif self._has_head:
            self._read_body(data)
        else:
            self._read_head(data)

    def _read_head(self, data: bytes) -> None:
        detail = ""
        try:
            whole = self._head.feed(data)
        except BrokenHeadError as exc:
            detail = str(exc)
        if detail:
            # Outside of the handler: the error would keep what was read.
            self._give_up(BrokenAnswerError(detail))
        elif whole is None:
            self._watch_head()
        else:
            self._take_head(whole)

    def _take_head(self, whole: WholeHead) -> None:
        self._stop_head_timer()
        self._has_head = True
        self._is_chunked = whole.head.is_chunked and not self._skips_body
        self._body_left = 0 if self._skips_body else whole.head.body_bytes
        body = whole.body
        if self._body_left is not None and self._body_left >= len(body):
            # In one piece, as most answers come.
            self._body_left -= len(body)
            super().data_received(whole.raw + body)
            return
        super().data_received(whole.raw)
        if body:
            self._read_body(body)

    def _read_body(self, data: bytes) -> None:
        """Have the body parsed, and nothing behind it."""
        if self._content is None:
            # The library refused the head.
            return
        if self._is_chunked:
            self._read_chunks(data)
            return
        if self._body_left is not None:
            if len(data) > self._body_left:
                self.force_close()
            data = data[: self._body_left]
            self._body_left -= len(data)
        if data:
            super().data_received(data)
            self._check_total()

    def _read_chunks(self, data: bytes) -> None:
        data = self._unparsed + data
        start = 0
        while start < len(data) and not self._reading_paused:
            if self._is_answered():
                self._unparsed = b""
                self._close_spoiled()
                return
            piece = data[start : start + PIECE_BYTES]
            start += len(piece)
            super().data_received(piece)
            self._check_framing(len(piece))
        self._check_total()
        self._unparsed = data[start:]

    def _check_total(self) -> None:
        most = self._limits.total_bytes
        if most is None or self._content is None:
            return
        if self._content.total_bytes > most:
            self._give_up(EndlessAnswerError("a body is too large"))

    def _close_spoiled(self) -> None:
        """Close the connection: the next answer wouldn't begin where it should."""
        self.force_close()
        if self.transport is not None:
            self.transport.abort()

    def _watch_head(self) -> None:
        """Bound the time until a head that has begun is whole."""
        if not self._head.has_begun:
            self._stop_head_timer()
        elif self._head_timer is None:
            error = EndlessAnswerError("a head takes too long")
            self._head_timer = self._loop.call_later(
                self._limits.head_timeout_s, self._give_up, error
            )

    def is_connected(self) -> bool:
        """Whether a request may be sent on it."""
        # What waits unread came before the request: it is no answer to it.
        is_spoiled = self._is_answered() and self._has_unread()
        return super().is_connected() and not is_spoiled

    def _is_answered(self) -> bool:
        return self._has_head and self._content is not None and self._content.is_eof()

    def _has_unread(self) -> bool:
        """Whether bytes of the peer wait; its end alone is left to the event loop."""
        return self.transport is not None and unread_bytes(self.transport) > 0

    def eof_received(self) -> None:
        """Note whether the peer ends it while a request is on its way."""
        self.ended_early = (
            self.transport is not None and unsent_bytes(self.transport) > 0
        )
        super().eof_received()

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
            error = EndlessAnswerError("the framing of a body is too long")
            self._give_up(error)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _give_up(self, error: aiohttp.ClientPayloadError) -> None:
        self._stop_head_timer()
        self._head = HeadReader(self._limits.head_bytes)
        content = self._content
        if content is not None and not content.is_eof():
            content.set_exception(error)
        self.set_exception(error)
        self.force_close()
        if self.transport is not None:
            self.transport.abort()
