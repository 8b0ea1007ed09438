"""Crowds of callers that don't behave, and what they make of an entry's process.

A crowd opens connections, sends bytes, reads nothing unless told to, and stays.
"""

import asyncio
import contextlib
import os
import pathlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

import attrs

MIB = 1_048_576
STANDS_S = 2.0
"""How long a crowd stands before an ordinary request is sent."""
SEND_S = 10.0
"""Longest time that a member of a crowd sends."""
ORDINARY_TRIES = 40
ORDINARY_PAUSE_S = 0.25
READ_BUFFER_BYTES = 4_096
"""Receive buffer of a caller that reads nothing."""


@attrs.frozen
class Member:
    """One caller of a crowd.

    :ivar address: ``host:port`` where it connects.
    :ivar pieces: what it sends, in order.
    """

    address: str
    pieces: Iterable[bytes]


@attrs.frozen
class Crowd:
    """A crowd of equal callers.

    :ivar name: what it does.
    :ivar size: number of callers.
    :ivar sends: what each of them sends.
    """

    name: str
    size: int
    sends: Callable[[], Iterable[bytes]]

    def members(self, address: str) -> list[Member]:
        return [Member(address, self.sends()) for _ in range(self.size)]


def resident_bytes(pid: int, field: str = "VmRSS") -> int:
    """Memory of a process now, or at its peak (``VmHWM``)."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith(f"{field}:"))
    return int(line.split()[1]) * 1_024


def open_descriptors(pid: int) -> int:
    """Descriptors that a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def head(path: str, headers: dict[str, str], more: str, method: str = "POST") -> bytes:
    """The head of a request."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}{more}\r\n\r\n".encode()


def chunk(data: bytes) -> bytes:
    """One chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


@contextlib.asynccontextmanager
async def standing(members: Iterable[Member]) -> AsyncIterator[None]:
    """Have a crowd connect and send, and stay until the context ends."""
    sockets: list[socket.socket] = []
    try:
        sends = [asyncio.create_task(_send(m, sockets)) for m in members]
        await asyncio.gather(*sends)
        await asyncio.sleep(STANDS_S)
        yield
    finally:
        for sock in sockets:
            sock.close()


async def _send(member: Member, sockets: list[socket.socket]) -> None:
    loop = asyncio.get_running_loop()
    host, port = member.address.rsplit(":", 1)
    sock = socket.socket()
    sockets.append(sock)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BUFFER_BYTES)
    # An entry may refuse it, close its connection, or read no more of it.
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_S):
            await loop.sock_connect(sock, (host, int(port)))
            for piece in member.pieces:
                await loop.sock_sendall(sock, piece)


async def answered(ask: Callable[[], Awaitable[int | None]]) -> bool:
    """Whether an ordinary caller gets its answer, coming again when it is refused."""
    for _ in range(ORDINARY_TRIES):
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ORDINARY_PAUSE_S * 20):
                if await ask() == 200:
                    return True
        await asyncio.sleep(ORDINARY_PAUSE_S)
    return False
