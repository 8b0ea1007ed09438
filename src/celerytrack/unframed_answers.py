"""Answers to callers of HTTP/1.0 that end with their connection.

They have no framing that tells a whole answer from one that broke off. A reset does,
which the kernel sends also if this process is killed, once lingering is switched off.
"""

import asyncio
import socket
import struct

from aiohttp import HttpVersion11, web

_RESET_AT_CLOSE = struct.pack("ii", 1, 0)
_END_AT_CLOSE = struct.pack("ii", 0, 0)


def is_unframed(request: web.BaseRequest) -> bool:
    """Whether a streamed answer to ``request`` ends with its connection."""
    return request.version < HttpVersion11


def mark_begun(request: web.BaseRequest) -> None:
    """Have the connection reset however it closes, until the answer is whole."""
    _set_linger(request, _RESET_AT_CLOSE)


def send_at_once(request: web.BaseRequest) -> None:
    """Have the end of the answer wait until all of it has left this process."""
    if is_unframed(request) and isinstance(request.transport, asyncio.WriteTransport):
        request.transport.set_write_buffer_limits(0)


def mark_whole(request: web.BaseRequest) -> None:
    """Have the connection end as usual."""
    _set_linger(request, _END_AT_CLOSE)


def _set_linger(request: web.BaseRequest, value: bytes) -> None:
    if not is_unframed(request) or request.transport is None:
        return
    sock = request.transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
