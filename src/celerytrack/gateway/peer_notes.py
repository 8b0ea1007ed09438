"""What entries tell each other directly, by datagrams.

Of long prompts, as they are sent: an entry sees only its own part of the work, and two
that send one each to the same engine at the same moment delay each other and every
short request behind them. Of a planned stop, as it begins: the row that says so comes
late or not at all while the log is slow or away, and callers would be sent to an entry
that leaves.

A note is one datagram to each entry. One that is lost leaves the others with the
assumption they had before; nobody waits.

Of requests under which endpoints ended (:mod:`celerytrack.suspects`), as it is seen:
the log brings that too, and later.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable, Iterable
from typing import cast

import attrs
import msgpack

from celerytrack.events import Event, log_event
from celerytrack.findings import Findings
from celerytrack.ids import EndpointId, EntryId
from celerytrack.platform.suspect_records import (
    KIND,
    FindingsError,
    encode_findings,
    findings_of,
)

_log = logging.getLogger(__name__)

NOTE_LEAST_S = 0.03
"""Prompts that take an engine less than this are not told: they hold up no other by a
time that its caller would notice."""
MOST_TOLD = 100
"""Entries told of a prompt at most: a larger fleet has more engines than one entry
uses."""
MOST_WORK_S = 60.0
"""Engine time that one note may tell of: a prompt that fills an engine's memory
is read in half of it. A note of more would keep all entries from an engine."""


@attrs.frozen
class PromptNote:
    """A long prompt was sent to an endpoint.

    :ivar work_s: how long the engine takes to read it.
    """

    endpoint_id: EndpointId
    work_s: float


@attrs.frozen
class LeaveNote:
    """A planned stop of an entry has begun.

    :ivar started_s: when the start that ends began, as its rows say.
    """

    entry_id: EntryId
    started_s: float


Note = PromptNote | LeaveNote | Findings
Take = Callable[[Note], None]


class NoteError(ValueError):
    """A datagram that is no note."""


def decode_note(data: bytes) -> Note:
    """What a datagram tells.

    :raises NoteError: naming what is wrong.
    """
    try:
        fields = msgpack.unpackb(data)
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as exc:
        raise NoteError(f"{type(exc).__name__}: {exc}") from None
    match fields:
        case [str(endpoint_id), int() | float() as work_s] if type(work_s) is not bool:
            if not 0 <= work_s <= MOST_WORK_S:
                raise NoteError(f"work must be 0 to {MOST_WORK_S:.0f} s: {work_s}")
            return PromptNote(EndpointId(endpoint_id), float(work_s))
        case ["leaving", str(entry_id), float(started_s)]:
            return LeaveNote(EntryId(entry_id), started_s)
        case [kind, *_] if kind == KIND:
            return _findings(fields)
    raise NoteError(f"no note: {str(fields)[:100]}")


def _findings(fields: object) -> Findings:
    try:
        return findings_of(fields)
    except FindingsError as exc:
        raise NoteError(str(exc)) from None


class PeerNotes(asyncio.DatagramProtocol):
    """Owns the socket on which notes are sent and taken.

    :param take: told each note of another entry.
    """

    def __init__(self, take: Take) -> None:
        self._take = take
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: str) -> None:
        """Take notes on ``address`` (``host:port``)."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=_split(address))

    def tell_prompt(self, addresses: Iterable[str], note: PromptNote) -> None:
        """Tell the entries at ``addresses`` of a prompt sent to an endpoint."""
        told = itertools.islice(addresses, MOST_TOLD)
        self._send(told, msgpack.packb((note.endpoint_id, note.work_s)))

    def tell_leaving(self, addresses: Iterable[str], note: LeaveNote) -> None:
        """Tell the entries at ``addresses`` that this one leaves."""
        self._send(addresses, msgpack.packb(("leaving", note.entry_id, note.started_s)))

    def tell_findings(self, addresses: Iterable[str], findings: Findings) -> None:
        """Tell the entries at ``addresses`` of requests that end endpoints."""
        self._send(addresses, encode_findings(findings))

    def _send(self, addresses: Iterable[str], data: bytes) -> None:
        if self._transport is None:
            return
        for address in addresses:
            try:
                self._transport.sendto(data, _split(address))
            except (ValueError, OSError) as exc:
                log_event(_log, Event.NOTE_FAILED, address=address, detail=str(exc))

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
        """Another entry tells something."""
        try:
            note = decode_note(data)
        except NoteError as exc:
            log_event(_log, Event.NOTE_REJECTED, logging.WARNING, detail=str(exc))
            return
        self._take(note)

    def error_received(self, exc: Exception) -> None:
        """An entry is not there: its instance answers that the port is closed."""
        log_event(_log, Event.NOTE_FAILED, logging.DEBUG, detail=repr(exc))


def _split(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)
