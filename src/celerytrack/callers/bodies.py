"""Reads callers' bodies within the account, and in time."""

import asyncio
import time
import zlib

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from celerytrack.callers.account import SMALL_BYTES, HoldKind, MemoryAccount
from celerytrack.callers.connections import CallerConnection
from celerytrack.verdict import Reason, Refusal, did_not_run

COPIES = 2
"""Copies of a body that exist at once: the one kept, and the one on its way to an
endpoint."""
RETRY_AFTER_S = 0.5
"""``Retry-After`` while callers hold all the memory: a body that stalls yields, and one
that doesn't ends, in a few times as long."""


class BodyRefusedError(Exception):
    """A body isn't read, or not to its end."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def overloaded() -> Refusal:
    """The refusal of a request for which there is no memory."""
    detail = "callers hold all the memory that they may"
    return did_not_run(Reason.OVERLOADED, RETRY_AFTER_S, detail)


def too_large(max_bytes: int) -> Refusal:
    """The refusal of a body beyond the limit."""
    detail = f"a body may have {max_bytes} bytes"
    return did_not_run(Reason.BODY_TOO_LARGE, None, detail)


def too_slow() -> Refusal:
    """The refusal of a body that didn't come in time."""
    return did_not_run(Reason.BODY_TIMEOUT, None, "the body did not come in time")


def unreadable() -> Refusal:
    """The refusal of a body that isn't framed or packed as its head says."""
    detail = "the body's encoding can't be read"
    return did_not_run(Reason.BAD_REQUEST, None, detail)


class BodyReader:
    """Reads one request's body.

    :param timeout_at_s: when it must be there, on the monotonic clock.
    :ivar hold: what the request holds; the caller of the reader closes it.
    """

    def __init__(
        self,
        account: MemoryAccount,
        request: web.BaseRequest,
        max_bytes: int,
        timeout_at_s: float,
    ) -> None:
        self.hold = account.open(HoldKind.BODY, self._evict, time.monotonic())
        self._account = account
        self._request = request
        self._max_bytes = max_bytes
        self._timeout_at_s = timeout_at_s
        self._timeout: asyncio.Timeout | None = None
        self._connection: CallerConnection | None = None

    async def read(self) -> bytes:
        """Read the body to its end.

        :raises BodyRefusedError: if it is too large or too slow, or there is no room.
        """
        connection = self._request.protocol
        if isinstance(connection, CallerConnection):
            self._connection = connection
            self.hold.request = connection.holds_with(self.hold)
            if connection.has_lost_body and not self._request.content.is_eof():
                raise BodyRefusedError(overloaded())
            self.grow(COPIES * connection.head_bytes)
        length = self._request.content_length or 0
        if length > self._max_bytes:
            raise BodyRefusedError(too_large(self._max_bytes))
        body = b""
        if self._request.body_exists:
            if length > SMALL_BYTES:
                self._require_room(length)
            body = await self._read_in_time()
        self._account.stop_waiting(self.hold)
        return body

    async def _read_in_time(self) -> bytes:
        left_s = self._timeout_at_s - time.monotonic()
        try:
            if self._request.content.is_eof():
                return await self._read_pieces()
            async with asyncio.timeout(left_s) as self._timeout:
                return await self._read_pieces()
        except TimeoutError:
            refusal = overloaded() if self.hold.evicted else too_slow()
            raise BodyRefusedError(refusal) from None
        except (web.RequestPayloadError, HttpProcessingError, zlib.error):
            raise BodyRefusedError(unreadable()) from None

    async def _read_pieces(self) -> bytes:
        pieces = []
        count = 0
        while piece := self._take(await self._request.content.readany()):
            count += len(piece)
            if count > self._max_bytes:
                raise BodyRefusedError(too_large(self._max_bytes))
            pieces.append(piece)
        return b"".join(pieces)

    def _take(self, piece: bytes) -> bytes:
        if self._connection is not None:
            self._connection.release_received()
        self._account.record_progress(self.hold, len(piece), time.monotonic())
        self.grow(COPIES * len(piece))
        return piece

    def grow(self, count: int) -> None:
        """Hold ``count`` more bytes for the request.

        :raises BodyRefusedError: if there is no room.
        """
        if not self._account.try_grow(self.hold, count, time.monotonic()):
            raise BodyRefusedError(overloaded())

    def _require_room(self, count: int) -> None:
        """Refuse a body at once for which there is no room."""
        self.grow(COPIES * count)
        self._account.shrink(self.hold, COPIES * count)

    def _evict(self) -> None:
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())
