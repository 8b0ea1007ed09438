"""Links between the gateways of a test fleet and its endpoints, which can be cut.

Each connection of a gateway to an endpoint goes through a proxy of its own on
loopback. Only the links of single gateways are cut; callers, the log and the other
gateways reach everything.
"""

import asyncio
import contextlib
import contextvars
import enum
import socket
import struct
import time
from collections import defaultdict
from collections.abc import Iterable
from typing import Any
from unittest import mock

import attrs

from celerytrack import http_session

current_gateway: contextvars.ContextVar[int | None] = contextvars.ContextVar(
    "current_gateway", default=None
)
"""The gateway of whose tasks the current one is."""

_CHUNK_BYTES = 65_536
_CHECK_S = 0.02
_LINGER_RESET = struct.pack("ii", 1, 0)


class LinkState(enum.Enum):
    """What the links of one gateway to all endpoints do."""

    UP = "up"
    HANG = "hang"
    """Open connections go silent, new ones are not established."""
    RESET = "reset"
    """Open connections are reset, new ones refused."""
    REFUSE_NEW = "refuse_new"
    """Open connections live on, new ones are refused."""


class RefusingAddress:
    """An address at which connections are refused.

    Its port is held: another server would be given a free one, and connections would
    be accepted.
    """

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))
        self.address: tuple[str, int] = self._socket.getsockname()

    def close(self) -> None:
        """Free the port."""
        self._socket.close()


class BlackHole:
    """An address at which connections are never established.

    The queue of its listener is full, so further requests for a connection are dropped.
    """

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.address: tuple[str, int] = self._listener.getsockname()
        self._fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self._fillers.append(filler)

    def close(self) -> None:
        """Close all sockets."""
        for sock in (self._listener, *self._fillers):
            sock.close()


@attrs.define(eq=False)
class _Pipe:
    """One proxied connection.

    :ivar held_since_s: since when bytes of the gateway wait for their way.
    """

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    held_since_s: float | None = None

    def reset(self) -> None:
        """Reset the gateway's side; the endpoint's side only closes."""
        sock = self.near.transport.get_extra_info("socket")
        if sock is not None and not self.near.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self.near.transport.abort()
        self.far.close()


class Links:
    """The links of all gateways of a fleet; use it as a context of the whole test.

    :param ack_timeout_s: how long a gateway's bytes are not acknowledged until its
        connection breaks.
    """

    def __init__(
        self, ack_timeout_s: float = http_session.ACK_TIMEOUT_MS / 1_000
    ) -> None:
        self._ack_timeout_s = ack_timeout_s
        self._states: defaultdict[int, LinkState] = defaultdict(lambda: LinkState.UP)
        self._pipes: defaultdict[int, set[_Pipe]] = defaultdict(set)
        self._proxies: dict[tuple[int, int], tuple[str, int]] = {}
        self._servers: list[asyncio.Server] = []
        self._refusing = RefusingAddress()
        self._black_hole = BlackHole()
        self._patch = mock.patch.object(http_session, "make_socket", self._make_socket)
        self._make_real_socket = http_session.make_socket
        self._checks: asyncio.Task[None] | None = None

    async def open(self, gateways: int, ports: Iterable[int]) -> None:
        """Open the links of ``gateways`` to the endpoints on ``ports``."""
        self._patch.start()
        self._checks = asyncio.create_task(self._break_unacknowledged())
        for port in ports:
            for gateway in range(gateways):
                await self._open_link(gateway, port)

    async def close(self) -> None:
        """Close all links."""
        self._patch.stop()
        if self._checks is not None:
            self._checks.cancel()
        for pipes in self._pipes.values():
            for pipe in list(pipes):
                pipe.reset()
        for server in self._servers:
            server.close()
        self._black_hole.close()
        self._refusing.close()

    def set_state(self, gateways: Iterable[int], state: LinkState) -> None:
        """Cut the links of ``gateways``, or bring them back."""
        for gateway in gateways:
            self._states[gateway] = state
            if state is LinkState.RESET:
                for pipe in list(self._pipes[gateway]):
                    pipe.reset()

    def _make_socket(self, info: Any) -> socket.socket:
        real = self._make_real_socket(info)
        gateway = current_gateway.get()
        if gateway is None:
            return real
        return _LinkSocket(self, gateway, real)

    def next_hop(self, gateway: int, address: tuple[str, int]) -> tuple[str, int]:
        """Where a gateway's connection to ``address`` leads now."""
        proxy = self._proxies.get((gateway, address[1]))
        if proxy is None:
            return address
        state = self._states[gateway]
        if state is LinkState.UP:
            return proxy
        return (
            self._black_hole.address
            if state is LinkState.HANG
            else self._refusing.address
        )

    async def _open_link(self, gateway: int, port: int) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            # The server of asyncio's streams logs a handler that is cancelled.
            with contextlib.suppress(asyncio.CancelledError):
                await self._proxy(gateway, port, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        self._proxies[gateway, port] = server.sockets[0].getsockname()

    async def _proxy(
        self,
        gateway: int,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            writer.transport.abort()
            return
        pipe = _Pipe(writer, far_writer)
        self._pipes[gateway].add(pipe)
        try:
            await asyncio.gather(
                self._copy(gateway, pipe, reader, far_writer, from_gateway=True),
                self._copy(gateway, pipe, far_reader, writer, from_gateway=False),
            )
        finally:
            self._pipes[gateway].discard(pipe)
            writer.close()
            far_writer.close()

    async def _copy(
        self,
        gateway: int,
        pipe: _Pipe,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        from_gateway: bool,
    ) -> None:
        try:
            while True:
                data = await reader.read(_CHUNK_BYTES)
                while self._states[gateway] is LinkState.HANG:
                    if data and from_gateway and pipe.held_since_s is None:
                        pipe.held_since_s = time.monotonic()
                    await asyncio.sleep(_CHECK_S)
                pipe.held_since_s = None
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            pipe.reset()

    async def _break_unacknowledged(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_S)
            oldest_s = time.monotonic() - self._ack_timeout_s
            for pipes in self._pipes.values():
                for pipe in list(pipes):
                    if pipe.held_since_s is not None and pipe.held_since_s < oldest_s:
                        pipe.reset()


class _LinkSocket(socket.socket):
    """A socket of a gateway, connected by way of its link."""

    def __init__(self, links: Links, gateway: int, real: socket.socket) -> None:
        super().__init__(fileno=real.detach())
        self.setblocking(False)
        self._links = links
        self._gateway = gateway

    def connect(self, address: Any) -> None:
        super().connect(self._links.next_hop(self._gateway, address))
