"""A UDP socket for messages between entries."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import cast

from celerytrack._recent import RecentKeys
from celerytrack.addresses import is_address
from celerytrack.events import Event, log_event

_log = logging.getLogger(__name__)

MAX_KNOWN_FAULTS = 256
"""Most addresses that are remembered as none, so that each is logged once."""
MAX_ADDRESS_CHARS = 64
"""Most characters of such an address that are kept; a record may hold megabytes."""


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends and receives datagrams on one UDP socket.

    Delivery is best effort, and nothing waits for it.

    :param on_data: called with each datagram that arrives.
    """

    def __init__(self, on_data: Callable[[bytes], None]) -> None:
        self._on_data = on_data
        self._transport: asyncio.DatagramTransport | None = None
        self._faults = RecentKeys(MAX_KNOWN_FAULTS)

    async def open(self, address: str) -> None:
        """Bind the socket to ``address`` (``host:port``)."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=_split_address(address)
        )

    def send(self, addresses: Iterable[str], data: bytes) -> None:
        """Send ``data`` to each of ``addresses``.

        What is no address is left out: some errors of the system's call would close
        the socket, and a host name would be looked up while the event loop waits.
        """
        if self._transport is None:
            return
        for address in addresses:
            if not is_address(address):
                shown = address[:MAX_ADDRESS_CHARS]
                if self._faults.add(shown):
                    detail = "no IP:PORT"
                    log_event(_log, Event.NOTE_FAILED, address=shown, detail=detail)
                continue
            try:
                self._transport.sendto(data, _split_address(address))
            except (ValueError, OverflowError, OSError) as exc:
                log_event(_log, Event.NOTE_FAILED, address=address, detail=str(exc))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    # -- asyncio.DatagramProtocol ------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the open socket."""
        # The datagram transports of event loops need not subclass asyncio's.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Hand a datagram over."""
        self._on_data(data)

    def error_received(self, exc: Exception) -> None:
        """Log an ICMP error: no process listens on the port of an entry."""
        log_event(_log, Event.NOTE_FAILED, logging.DEBUG, detail=repr(exc))


def _split_address(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)
