"""Writes answers to callers, who may take them slowly or not at all."""

import asyncio
import time
from typing import cast

from aiohttp import web
from aiohttp.http_writer import StreamWriter

from celerytrack.bounded_connection import AnswerNotHeldError
from celerytrack.callers.account import Hold, HoldKind, MemoryAccount
from celerytrack.callers.connections import CallerConnection
from celerytrack.socket_queues import unsent_bytes

PIECE_BYTES = 65_536
"""Bytes of an answer that are written at once."""
SHORT_BYTES = 4_096
"""Bytes of an answer that fit a connection's write buffer in any case."""
COPIES = 2
"""Copies of an answer that exist at once: the pieces that came, and all of them."""
FREE_PLACE_S = 0.02
"""Time in which a stream that was ended gives its place back."""
READ_BYTES = 65_536
"""Most bytes of a stream that are passed on at once."""
STREAM_BYTES = 393_216
"""Bytes that a stream holds which its caller doesn't take: what its endpoint's
connection buffers, and what is on its way from there."""


class AnswerReading:
    """Holds an answer that is read to its end: its pieces, and all of it.

    :param body: what the request holds that it answers.
    :ivar hold: what it holds; its owner closes it.
    """

    def __init__(self, account: MemoryAccount, body: Hold | None) -> None:
        self.hold = account.open(HoldKind.ANSWER, lambda: None, time.monotonic())
        self._account = account
        if body is not None:
            self.hold.request = [*(body.request or (body,)), self.hold]
        account.begin_reading(self.hold)

    def begin(self, count: int) -> None:
        """Hold ``count`` bytes in place of what was held before.

        :raises AnswerNotHeldError: if there is no memory for them.
        """
        self._account.shrink(self.hold, self.hold.held_bytes)
        if not self._account.try_grow(self.hold, count, time.monotonic()):
            raise AnswerNotHeldError

    async def grow(self, count: int) -> None:
        """Wait until there is memory for ``count`` more bytes."""
        await self._account.grow_answer(self.hold, COPIES * count, time.monotonic)


async def send_answer(
    account: MemoryAccount,
    request: web.BaseRequest,
    answer: web.Response,
    hold: Hold | None = None,
) -> web.StreamResponse:
    """Send a whole answer.

    :param hold: what the answer holds so far; a new hold if ``None``.
    :raises ConnectionError: if the caller has left, or takes nothing.
    """
    body = answer.body
    if not isinstance(body, bytes) or len(body) <= SHORT_BYTES:
        # A head that can't be written shows here, while another answer may be given.
        await answer.prepare(request)
        return answer
    now_s = time.monotonic()
    if hold is None:
        hold = account.open(HoldKind.ANSWER, lambda: None, now_s)
        account.grow(hold, len(body), now_s)
    account.shrink(hold, hold.held_bytes - len(body))
    hold.evict = lambda: _abort(request)
    account.begin_waiting(hold, lambda: _unsent_bytes(request), now_s)
    try:
        return await _send_pieces(account, request, answer, body, hold)
    finally:
        account.close(hold)


async def _send_pieces(
    account: MemoryAccount,
    request: web.BaseRequest,
    answer: web.Response,
    body: bytes,
    hold: Hold,
) -> web.StreamResponse:
    if len(body) <= PIECE_BYTES:
        await answer.prepare(request)
        await answer.write_eof()
        return answer
    head = web.StreamResponse(
        status=answer.status, reason=answer.reason, headers=answer.headers
    )
    head.content_length = len(body)
    if answer.keep_alive is False:
        head.force_close()
    await head.prepare(request)
    pieces = memoryview(body)
    for start in range(0, len(body), PIECE_BYTES):
        await head.write(pieces[start : start + PIECE_BYTES])
        account.record_progress(hold, PIECE_BYTES, time.monotonic())
    await head.write_eof()
    return head


async def write_events(
    account: MemoryAccount, request: web.BaseRequest, data: bytes, place: str
) -> None:
    """Write events of a stream that has begun, and wait until the caller takes them.

    :param place: names the service of which the stream holds a place.
    :raises ConnectionError: if the caller has left, or takes nothing.
    """
    writer = cast(StreamWriter, request.writer)
    await writer.write(data, drain=False)
    if not request.protocol.writing_paused:
        return
    now_s = time.monotonic()
    hold = _stream_hold(account, request, place, now_s)
    account.begin_waiting(hold, lambda: _unsent_bytes(request), now_s)
    account.grow(hold, STREAM_BYTES, now_s)
    try:
        await writer.drain()
    finally:
        account.rest(hold)


def _stream_hold(
    account: MemoryAccount, request: web.BaseRequest, place: str, now_s: float
) -> Hold:
    """The hold of a stream, the same each time that it waits for its caller."""
    connection = request.protocol
    hold = connection.stream if isinstance(connection, CallerConnection) else None
    if hold is None:
        hold = account.open(HoldKind.STREAM, lambda: _abort(request), now_s)
        hold.place = place
        if isinstance(connection, CallerConnection):
            connection.stream = hold
    return hold


async def free_place(account: MemoryAccount, place: str) -> bool:
    """End a stream that its caller doesn't read, in favour of a request that finds no
    room.

    :returns: whether there was one.
    """
    if not account.free_place(place, time.monotonic()):
        return False
    await asyncio.sleep(FREE_PLACE_S)
    return True


def _unsent_bytes(request: web.BaseRequest) -> int:
    """Bytes that the caller has yet to take, of this process and of the kernel.

    The kernel takes more from the process only once a third of its buffer is free.
    """
    return 0 if request.transport is None else unsent_bytes(request.transport)


def _abort(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()
