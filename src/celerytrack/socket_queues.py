"""Bytes of a connection that the kernel holds."""

import asyncio
import fcntl
import sys
import termios


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Bytes of the peer that this process has yet to read."""
    return _queued_bytes(transport, termios.FIONREAD)


def unsent_bytes(transport: asyncio.WriteTransport) -> int:
    """Bytes that the peer's machine has yet to acknowledge, here and in the kernel."""
    queued = _queued_bytes(transport, termios.TIOCOUTQ)
    return transport.get_write_buffer_size() + queued


def _queued_bytes(transport: asyncio.BaseTransport, request: int) -> int:
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    queued = bytearray(4)
    try:
        fcntl.ioctl(sock.fileno(), request, queued)
    except OSError:
        return 0
    return int.from_bytes(queued, sys.byteorder)
