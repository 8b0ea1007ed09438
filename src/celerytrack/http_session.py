"""HTTP sessions that detect an unreachable peer."""

import asyncio
import enum
import functools
import socket
from collections.abc import Callable, Mapping
from typing import Any

import aiohttp

from celerytrack.answer_limits import DEFAULT_LIMITS, AnswerLimits
from celerytrack.bounded_connection import AnsweredResponse, BoundedConnection

ACK_TIMEOUT_MS = 1_500
"""A connection whose bytes are not acknowledged for this long is closed. Without this
limit, a call on a connection whose network path is lost hangs until its timeout."""
KEEPALIVE_IDLE_S = 1
"""Time without traffic after which a connection is probed."""
KEEPALIVE_INTERVAL_S = 2
"""Interval of the probes. The kernel gives up at the first one that is due later than
:data:`ACK_TIMEOUT_MS` after the last sign of the peer, whatever their number: with one
second, a sound peer that is silent for a second would lose its connections."""
_KEEPALIVE_PROBES = 2
READ_BUFFER_BYTES = 32_768
"""Bytes of an answer that a connection buffers before it stops reading; it may go on to
twice as many."""


class WithheldError(Exception):
    """A request was not sent: its endpoint may be sent nothing any more."""


class ConnectionEnd(enum.Enum):
    """How a connection ended."""

    BY_PEER = "by_peer"
    ANNOUNCED = "announced"
    """By the peer, as it had said, or as the end of an answer without a length."""
    HERE = "here"
    """By this process, or the peer was not heard of."""


class WatchedConnection(BoundedConnection):
    """A connection that tells how it ended.

    :param on_open: called when it is made.
    :param on_closed: called when it has ended.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: AnswerLimits,
        on_open: Callable[[], None],
        on_closed: Callable[[ConnectionEnd], None],
    ) -> None:
        super().__init__(loop, limits)
        self._on_open = on_open
        self._on_closed = on_closed
        self._end = ConnectionEnd.HERE

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Tell that the connection is made."""
        super().connection_made(transport)
        self._on_open()

    def eof_received(self) -> None:
        """Note that the peer ended the connection."""
        is_announced = self._should_close
        super().eof_received()
        self._end = ConnectionEnd.ANNOUNCED if is_announced else ConnectionEnd.BY_PEER

    def connection_lost(self, exc: BaseException | None) -> None:
        """Tell that the connection has ended."""
        super().connection_lost(exc)
        was_reset = isinstance(exc, ConnectionResetError)
        self._on_closed(ConnectionEnd.BY_PEER if was_reset else self._end)


class GatedConnector(aiohttp.TCPConnector):
    """Asks again whether a request may be sent once it has a connection.

    A new connection can take a second, in which the endpoint may tell in the answer to
    another request that it wants no more.

    :ivar may_send: whether a request to ``host:port`` may be sent.
    :ivar on_connected: called with ``host:port`` when a new connection was made.
    """

    may_send: Callable[[str], bool] | None = None
    on_connected: Callable[[str], None] | None = None

    def bound(self, limits: AnswerLimits) -> None:
        """Bound the answers on the connections."""
        self._limits = limits
        self._factory = functools.partial(  # type: ignore[assignment]
            BoundedConnection, loop=self._loop, limits=limits
        )

    def watch(
        self, on_open: Callable[[], None], on_closed: Callable[[ConnectionEnd], None]
    ) -> None:
        """Call back as connections are made and end."""
        self._factory = functools.partial(  # type: ignore[assignment]
            WatchedConnection,
            loop=self._loop,
            limits=self._limits,
            on_open=on_open,
            on_closed=on_closed,
        )

    async def connect(
        self, req: aiohttp.ClientRequest, *args: Any, **kwargs: Any
    ) -> Any:
        """Get a connection for a request.

        :raises WithheldError: if the request may not be sent any more.
        """
        connection = await super().connect(req, *args, **kwargs)
        address = f"{req.url.host}:{req.url.port}"
        if self.may_send is not None and not self.may_send(address):
            connection.release()
            raise WithheldError(address)
        return connection

    async def _create_connection(
        self, req: aiohttp.ClientRequest, *args: Any, **kwargs: Any
    ) -> Any:
        protocol = await super()._create_connection(req, *args, **kwargs)
        if self.on_connected is not None:
            self.on_connected(f"{req.url.host}:{req.url.port}")
        return protocol


def make_http_session(
    idle_s: float,
    timeout: aiohttp.ClientTimeout | None = None,
    auto_decompress: bool = True,
    may_send: Callable[[str], bool] | None = None,
    on_connected: Callable[[str], None] | None = None,
    headers: Mapping[str, str] | None = None,
    limits: AnswerLimits = DEFAULT_LIMITS,
    response_class: type[AnsweredResponse] = AnsweredResponse,
) -> aiohttp.ClientSession:
    """Make a session without a limit on connections.

    :param idle_s: idle time after which a connection is not reused.
    :param timeout: default timeout of a request; ``None`` leaves it to each call.
    :param auto_decompress: whether response bodies are decompressed.
    :param may_send: whether a request to ``host:port`` may be sent, asked when it has
        a connection; a request that may not fails with :class:`WithheldError`.
    :param on_connected: called with ``host:port`` when a new connection was made.
    :param headers: headers of every request.
    :param limits: bounds of the answers.
    :param response_class: how the head of an answer is read.
    """
    connector = GatedConnector(
        limit=0, keepalive_timeout=idle_s, socket_factory=make_socket
    )
    connector.bound(limits)
    connector.may_send = may_send
    connector.on_connected = on_connected
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout or aiohttp.ClientTimeout(total=None),
        auto_decompress=auto_decompress,
        headers=headers,
        response_class=response_class,
        read_bufsize=READ_BUFFER_BYTES,
    )


def make_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Make a socket that detects an unreachable peer.

    A machine that lost power or its network path does not even send a reset, so
    a connection to it would hang until the request's own deadline.
    """
    family, kind, proto, _, _ = info
    sock = socket.socket(family=family, type=kind, proto=proto)
    sock.setblocking(False)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    return sock
