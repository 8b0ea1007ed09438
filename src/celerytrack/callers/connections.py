"""Callers' connections: their number, and the heads that come on them."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.streams import StreamReader

from celerytrack.callers.account import Hold, HoldKind, MemoryAccount
from celerytrack.callers.head_writer import HeadWriter
from celerytrack.callers.limits import CallerTimes

MAX_HEADER_BYTES = 65_536
"""Limit of the bytes of a head: four times what callers may send."""
UNSENT_BYTES = 16_384
"""Bytes of answers in a write buffer, beyond which a caller counts as one that this
process waits for."""
READ_BUFFER_BYTES = 16_384
"""Bytes of a body that a connection buffers before it stops reading; it may go on to
twice as many."""
MAX_UNREAD_BYTES = 65_536
"""Length of a refused body whose rest is read, to use its connection on."""
LINGERING_S = 3.0
"""How long the rest of a refused body is taken, so that its caller reads the refusal
before the connection closes."""
CONNECTING_S = 0.5
"""Time in which the first head of a new connection is on its way."""
HEAD_MARGIN_S = 0.5
"""Time that a head may take beyond its limit, on its way here."""

_HEAD_END = b"\r\n\r\n"


class ConnectionTable:
    """The connections that callers have to one listening address.

    :param most: how many it takes.
    :ivar closed: how many idle ones were closed to make room.
    :ivar refused: how many new ones were closed since none was idle.
    :ivar given_up: how many were closed since a head didn't end, or the last answer
        was not taken.
    """

    def __init__(
        self, most: int, account: MemoryAccount, times: Callable[[], CallerTimes]
    ) -> None:
        self.most = most
        self.account = account
        self.times = times
        self.closed = 0
        self.refused = 0
        self.given_up = 0
        self._open: set[CallerConnection] = set()

    def __len__(self) -> int:
        return len(self._open)

    def add(self, connection: "CallerConnection", now_s: float) -> bool:
        """Add a connection, unless there is no room for it.

        A full table closes the idle connection that is least likely to be used.
        """
        if len(self._open) >= self.most:
            idle = (c for c in self._open if c.is_idle)
            victim = min(idle, key=lambda c: c.usefulness(now_s), default=None)
            if victim is None:
                self.refused += 1
                return False
            self.closed += 1
            self._open.discard(victim)
            victim.drop()
        self._open.add(connection)
        return True

    def discard(self, connection: "CallerConnection") -> None:
        """Remove a connection that has ended."""
        self._open.discard(connection)

    def sweep(self) -> None:
        """Drop connections that are to close and whose callers take nothing."""
        idle_s = self.times().idle_s
        for connection in [c for c in self._open if c.is_left(idle_s)]:
            self.give_up(connection)

    def give_up(self, connection: "CallerConnection") -> None:
        """Close a connection whose caller doesn't end what it has begun."""
        self.given_up += 1
        connection.drop()


class CallerConnection(web.RequestHandler):
    """A caller's connection that is bounded before and between its requests.

    The library bounds a line of a head and the number of lines, not the time that they
    take, nor what comes on all connections before a request is handled.

    :ivar has_lost_body: whether there was no memory for the body of its last request.
    :ivar head_bytes: bytes that came up to the end of the last head.
    :ivar stream: what a stream on it holds that has waited for its caller.
    """

    def __init__(
        self, manager: web.Server, table: ConnectionTable, **options: Any
    ) -> None:
        super().__init__(manager, **options)
        self.has_lost_body = False
        self.head_bytes = 0
        self.stream: Hold | None = None
        self._table = table
        self._opened_s = time.monotonic()
        # The library lets go of its transport before it has closed.
        self._open_transport: asyncio.WriteTransport | None = None
        self._body: StreamReader | None = None
        self._unfinished_bytes = 0
        self._closes_unread = False
        self._is_handling = False
        self._received = table.account.open(
            HoldKind.RECEIVED, self.drop, self._opened_s
        )
        table.account.stop_waiting(self._received)
        self._head_timer: asyncio.TimerHandle | None = None
        self._make_request = manager.request_factory
        self._request_factory = self._begin_request

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or waits on it, nor is one answered."""
        return not self._is_handling and not self._messages

    def usefulness(self, now_s: float) -> tuple[bool, float]:
        """How likely the connection is to be used, to compare idle ones."""
        is_new = now_s - self._opened_s < CONNECTING_S
        return self._request_count > 0 or is_new, self._next_keepalive_close_time

    def is_left(self, idle_s: float) -> bool:
        """Whether it closes, but its caller has taken nothing for ``idle_s``."""
        if self._open_transport is None or not self._open_transport.is_closing():
            return False
        idle_since_s = self._next_keepalive_close_time - self.keepalive_timeout
        return self.is_idle and self._loop.time() - idle_since_s > idle_s

    def drop(self) -> None:
        """Close it, without waiting until the caller has taken what is unsent."""
        self.force_close()
        if (
            self._open_transport is not None
            and self._open_transport.get_write_buffer_size()
        ):
            self._open_transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a connection, if there is room for it."""
        super().connection_made(transport)
        assert self.transport is not None
        self._open_transport = self.transport
        self._open_transport.set_write_buffer_limits(UNSENT_BYTES)
        if not self._table.add(self, time.monotonic()):
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the connection holds."""
        self._table.discard(self)
        self._end_head()
        self._table.account.close(self._received)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take bytes, if there is memory for them."""
        if self._closes_unread:
            return
        # The short rest of a body that was refused is read and dropped at once.
        is_held = not data or (self.is_idle and self._has_body_to_come)
        if is_held or self._hold_received(len(data)):
            self._take(data)
        else:
            self._refuse_received(data)

    def _hold_received(self, count: int) -> bool:
        return self._table.account.try_grow(self._received, count, time.monotonic())

    def _take(self, data: bytes) -> None:
        requests = self._request_count
        is_body = self._has_body_to_come
        super().data_received(data)
        if not data or self._manager is None:
            return
        if self._request_count != requests:
            self._end_head()
            if self._messages:
                self._body = self._messages[-1][1]
        elif not is_body and data.strip(b"\r\n"):
            # Some clients send an empty line after a body.
            self._watch_head(len(data))

    def _refuse_received(self, data: bytes) -> None:
        """Drop bytes for which there is no memory, and what follows them.

        A request whose body they begin or go on with is refused before the connection
        closes.
        """
        head, end, _ = data.partition(_HEAD_END)
        if end and not self._has_body_to_come:
            head += end
            if self._hold_received(len(head)):
                self._take(head)
        if not self._has_body_to_come:
            self.drop()
            return
        self._closes_unread = self.has_lost_body = True
        if not self._messages:
            for hold in self._received.request:
                if hold.kind is HoldKind.BODY:
                    self._table.account.give_up(hold)

    def holds_with(self, hold: Hold) -> list[Hold]:
        """The holds of the request that has ``hold``, with what is received for it."""
        self._received.request = [hold, self._received]
        return self._received.request

    def release_received(self) -> None:
        """Give back what was received, once a request's handler has taken it."""
        if not self._messages:
            account = self._table.account
            account.shrink(self._received, self._received.held_bytes)

    @property
    def _has_body_to_come(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    def _begin_request(
        self,
        message: Any,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: Any,
        task: "asyncio.Task[None]",
    ) -> web.BaseRequest:
        self._is_handling = True
        self._received.request = []
        self.stream = None
        self.head_bytes = min(self._received.held_bytes, MAX_HEADER_BYTES)
        self.release_received()
        writer = HeadWriter(self, self._loop)
        return self._make_request(message, payload, protocol, writer, task)

    async def _handle_request(self, *args: Any) -> Any:
        try:
            return await super()._handle_request(*args)
        finally:
            self._is_handling = False
            self.release_received()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, *args: Any
    ) -> Any:
        """Send an answer, which says so if its connection closes after it."""
        if not resp.prepared and (self.has_lost_body or _has_much_unread(request)):
            # What comes of the body is dropped until the caller has read the answer.
            self._closes_unread = True
            resp.force_close()
        return await super().finish_response(request, resp, *args)

    def _watch_head(self, count: int) -> None:
        self._unfinished_bytes += count
        if self._unfinished_bytes > MAX_HEADER_BYTES:
            self._table.give_up(self)
        elif self._head_timer is None:
            self._table.account.wait_for_caller(self._received, time.monotonic())
            self._start_head_timer()

    def _start_head_timer(self) -> None:
        wait_s = self._table.times().head_s + HEAD_MARGIN_S
        self._head_timer = self._loop.call_later(wait_s, self._give_up_head)

    def _give_up_head(self) -> None:
        if self.is_idle:
            self._table.give_up(self)
        else:
            # The request before it goes on.
            self._start_head_timer()

    def _end_head(self) -> None:
        self._unfinished_bytes = 0
        self._table.account.stop_waiting(self._received)
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


def _has_much_unread(request: web.BaseRequest) -> bool:
    """Whether so much of a body is unread that its connection is to close."""
    if request.content.is_eof():
        return False
    length = request.content_length
    return length is None or length > MAX_UNREAD_BYTES
