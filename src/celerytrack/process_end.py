"""Detection of an endpoint's crash by connections to its address."""

import asyncio
import enum
import socket

from celerytrack import http_session

CONNECT_TIMEOUT_S = 0.5
"""Connect timeout. Within a region a connection takes a few ms, so an instance that
exceeds it is unreachable."""
CONNECT_DELAYS_S = (0.0, 0.25)
"""Delays before the connection attempts. A crashing process may accept connections for
a moment longer."""
CRASH_DETECTION_S = sum(CONNECT_DELAYS_S) + CONNECT_TIMEOUT_S * len(CONNECT_DELAYS_S)
"""Longest time that :func:`has_ended` takes."""


class ConnectResult(enum.Enum):
    """Result of a connection attempt."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


async def probe_address(address: str, hold_s: float = 0.0) -> ConnectResult:
    """Connect to ``address`` and close the connection.

    :param hold_s: how long the connection must stay open to count as accepted.
    """
    host, port = address.rsplit(":", 1)
    target = (host, int(port))
    sock = http_session.make_socket(
        (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", target)
    )
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await loop.sock_connect(sock, target)
        if hold_s and not await _stays_open(sock, hold_s):
            return ConnectResult.UNREACHABLE
    except ConnectionRefusedError:
        return ConnectResult.REFUSED
    except (OSError, TimeoutError):
        return ConnectResult.UNREACHABLE
    finally:
        sock.close()
    return ConnectResult.ACCEPTED


async def _stays_open(sock: socket.socket, hold_s: float) -> bool:
    try:
        async with asyncio.timeout(hold_s):
            await asyncio.get_running_loop().sock_recv(sock, 1)
    except TimeoutError:
        return True
    return False


async def has_ended(address: str) -> bool:
    """Whether ``address`` refuses connections, as that of a crashed process does."""
    for delay_s in CONNECT_DELAYS_S:
        await asyncio.sleep(delay_s)
        if await probe_address(address) is ConnectResult.REFUSED:
            return True
    return False
