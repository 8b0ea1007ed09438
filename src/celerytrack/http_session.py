"""HTTP sessions that detect an unreachable peer."""

import socket

import aiohttp

ACK_TIMEOUT_MS = 1_500
"""A connection whose bytes are not acknowledged for this long is closed. Without this
limit, a call on a connection whose network path is lost hangs until its timeout."""
KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


def make_http_session(
    idle_s: float,
    timeout: aiohttp.ClientTimeout | None = None,
    auto_decompress: bool = True,
) -> aiohttp.ClientSession:
    """Make a session without a limit on connections.

    :param idle_s: idle time after which a connection is not reused.
    :param timeout: default timeout of a request; ``None`` leaves it to each call.
    :param auto_decompress: whether response bodies are decompressed.
    """
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=idle_s, socket_factory=_make_socket
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout or aiohttp.ClientTimeout(total=None),
        auto_decompress=auto_decompress,
    )


def _make_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Make a socket that detects an unreachable peer.

    A machine that lost power or its network path does not even send a reset, so
    a connection to it would hang until the request's own deadline.
    """
    family, kind, proto, _, _ = info
    sock = socket.socket(family=family, type=kind, proto=proto)
    sock.setblocking(False)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    return sock
