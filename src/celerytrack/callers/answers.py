"""Writes answers to callers, who may take them slowly or not at all."""

import time

from aiohttp import web

from celerytrack.bounded_connection import Grow
from celerytrack.callers.account import Hold, HoldKind, MemoryAccount

PIECE_BYTES = 65_536
"""Bytes of an answer that are written at once."""
SHORT_BYTES = 4_096
"""Bytes of an answer that fit a connection's write buffer in any case."""
COPIES = 2
"""Copies of an answer that exist at once: the pieces that came, and all of them."""


def hold_reading(account: MemoryAccount) -> tuple[Hold, Grow]:
    """Begin to hold an answer that is read to its end, its pieces and all of it."""
    hold = account.open(HoldKind.ANSWER, lambda: None, time.monotonic())
    account.begin_reading(hold)

    async def grow(count: int) -> None:
        await account.grow_answer(hold, COPIES * count, time.monotonic)

    return hold, grow


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


def _unsent_bytes(request: web.BaseRequest) -> int:
    transport = request.transport
    return 0 if transport is None else transport.get_write_buffer_size()


def _abort(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()
