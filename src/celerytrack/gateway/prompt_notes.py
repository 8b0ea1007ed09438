"""Telling the other entries of long prompts, as they are sent.

An entry sees only its own part of the work. Predictions assume that the others
do as it does, which holds for many small requests and fails for a few long
prompts: two entries that send one each to the same engine at the same moment
delay each other and every short request behind them.

A note is one datagram to each entry. One that is lost leaves the others with
the assumption they had before; nothing is sent again and nobody waits.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable, Iterable
from typing import cast

import msgpack

from celerytrack.events import Event, log_event
from celerytrack.ids import EndpointId

_log = logging.getLogger(__name__)

NOTE_LEAST_S = 0.03
"""Prompts that take an engine less than this are not told: they hold up no other by a
time that its caller would notice."""
MOST_TOLD = 100
"""Entries told at most: a larger fleet has more engines than one entry uses."""

MOST_WORK_S = 60.0
"""Engine time that one note may tell of: a prompt that fills an engine's memory
is read in half of it. A note of more would keep all entries from an engine."""

Take = Callable[[EndpointId, float], None]


class NoteError(ValueError):
    """A datagram that is no note."""


def decode_note(data: bytes) -> tuple[EndpointId, float]:
    """The endpoint and the engine time in seconds that a note tells of.

    :raises NoteError: naming what is wrong.
    """
    try:
        endpoint_id, work_s = msgpack.unpackb(data)
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as exc:
        raise NoteError(f"{type(exc).__name__}: {exc}") from None
    if type(endpoint_id) is not str:
        raise NoteError(f"endpoint must be text, found {type(endpoint_id).__name__}")
    if type(work_s) not in (int, float) or not 0 <= work_s <= MOST_WORK_S:
        found = work_s if type(work_s) is float else type(work_s).__name__
        raise NoteError(f"work must be 0 to {MOST_WORK_S:.0f} s, found {found}")
    return EndpointId(endpoint_id), float(work_s)


class PromptNotes(asyncio.DatagramProtocol):
    """Owns the socket on which notes are sent and taken.

    :param take: told the endpoint and the engine time of each note of another entry.
    """

    def __init__(self, take: Take) -> None:
        self._take = take
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: str) -> None:
        """Take notes on ``address`` (``host:port``)."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=_split(address))

    def tell(
        self, addresses: Iterable[str], endpoint_id: EndpointId, work_s: float
    ) -> None:
        """Tell the entries at ``addresses`` of a prompt sent to an endpoint.

        :param work_s: how long the engine takes to read it.
        """
        if self._transport is None:
            return
        note = msgpack.packb((endpoint_id, work_s))
        for address in itertools.islice(addresses, MOST_TOLD):
            self._transport.sendto(note, _split(address))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    # -- asyncio.DatagramProtocol ------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        # The loops' own datagram transports are no subclasses of asyncio's.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Another entry sent a prompt somewhere."""
        try:
            endpoint_id, work_s = decode_note(data)
        except NoteError as exc:
            log_event(_log, Event.NOTE_REJECTED, logging.WARNING, detail=str(exc))
            return
        self._take(endpoint_id, work_s)

    def error_received(self, exc: Exception) -> None:
        """An entry is not there: its instance answers that the port is closed."""
        log_event(_log, Event.NOTE_FAILED, logging.DEBUG, detail=repr(exc))


def _split(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)
