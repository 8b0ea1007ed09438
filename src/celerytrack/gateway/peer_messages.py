"""Datagrams between entries.

- Long prompts, as they are sent. An entry sees only its own part of the load: if two
  entries send a long prompt to the same engine at the same time, these delay each other
  and every short request behind them.
- A planned stop, as it begins. While the log is slow or unreachable, the row that says
  so arrives late or not at all, and callers would be sent to an entry that leaves.
- Requests during which endpoints crashed (:mod:`celerytrack.suspects`), as soon as an
  entry detects a crash. The log carries them too, but later.
- To which services the links of an entry are down
  (:mod:`celerytrack.reachability.monitor`).
- Which software version began a stream (:mod:`celerytrack.origins.sync`).
- What endpoints say of themselves, and leases for requests to limited endpoints
  (:mod:`celerytrack.notices.sync`).

Each message is one datagram to each entry. Delivery is best effort: if a datagram is
lost, the receiver keeps its previous view, and no request waits for it.
"""

import itertools
import logging
from collections.abc import Callable, Iterable

import attrs
import msgpack

from celerytrack.datagrams import DatagramSocket
from celerytrack.events import Event, log_event
from celerytrack.findings import Findings
from celerytrack.ids import EndpointId, EntryId
from celerytrack.notices.messages import (
    NoticeMessage,
    NoticeMessageError,
    encode_notice_message,
    is_notice_message,
    notice_message_of,
)
from celerytrack.origins.message_fields import OriginMessageError
from celerytrack.origins.messages import (
    OriginMessage,
    encode_origin_message,
    is_origin_message,
    origin_message_of,
)
from celerytrack.platform.suspect_records import (
    KIND,
    FindingsError,
    encode_findings,
    findings_of,
)
from celerytrack.reachability.messages import (
    LinkNews,
    LinkNewsError,
    encode_link_news,
    is_link_news,
    link_news_of,
)
from celerytrack.record_faults import MAX_DETAIL_CHARS

_log = logging.getLogger(__name__)

MIN_PROMPT_WORK_S = 0.03
"""Prompts of less prefill time are not announced: the delay that they cause to other
requests is too short for a caller to notice."""
MAX_PROMPT_RECIPIENTS = 100
"""Most entries that a prompt is announced to: a larger fleet has more engines than one
entry uses."""
MAX_PROMPT_WORK_S = 60.0
"""Largest prefill time in a message: a prompt that fills an engine's memory takes half
of it. A larger value would keep all entries from the engine."""


@attrs.frozen
class LongPromptMessage:
    """A long prompt was sent to an endpoint.

    :ivar work_s: prefill time of the prompt on the engine.
    """

    endpoint_id: EndpointId
    work_s: float


@attrs.frozen
class LeavingMessage:
    """A planned stop of an entry has begun.

    :ivar started_s: start of the incarnation that stops, as in its rows.
    """

    entry_id: EntryId
    started_s: float


PeerMessage = (
    LongPromptMessage
    | LeavingMessage
    | Findings
    | NoticeMessage
    | LinkNews
    | OriginMessage
)
MessageHandler = Callable[[PeerMessage], None]


class PeerMessageError(ValueError):
    """A datagram cannot be decoded."""


def decode_peer_message(data: bytes) -> PeerMessage:
    """Decode a datagram.

    :raises PeerMessageError: naming what is wrong.
    """
    try:
        fields = msgpack.unpackb(data)
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as exc:
        raise PeerMessageError(f"{type(exc).__name__}: {exc}") from None
    match fields:
        case [str(endpoint_id), int() | float() as work_s] if type(work_s) is not bool:
            if not 0 <= work_s <= MAX_PROMPT_WORK_S:
                raise PeerMessageError(
                    f"prefill time must be 0 to {MAX_PROMPT_WORK_S:.0f} s: {work_s}"
                )
            return LongPromptMessage(EndpointId(endpoint_id), float(work_s))
        case ["leaving", str(entry_id), float(started_s)]:
            return LeavingMessage(EntryId(entry_id), started_s)
        case [kind, *_] if kind == KIND:
            return _decode_findings(fields)
    if is_notice_message(fields):
        return _decode_notice_message(fields)
    if is_link_news(fields):
        return _decode_link_news(fields)
    if is_origin_message(fields):
        return _decode_origin_message(fields)
    raise PeerMessageError(f"unknown message: {str(fields)[:100]}")


def _decode_findings(fields: object) -> Findings:
    try:
        return findings_of(fields)
    except FindingsError as exc:
        raise PeerMessageError(str(exc)) from None


def _decode_link_news(fields: object) -> LinkNews:
    try:
        return link_news_of(fields)
    except LinkNewsError as exc:
        raise PeerMessageError(str(exc)) from None


def _decode_origin_message(fields: object) -> OriginMessage:
    try:
        return origin_message_of(fields)
    except OriginMessageError as exc:
        raise PeerMessageError(str(exc)) from None


def _decode_notice_message(fields: object) -> NoticeMessage:
    try:
        return notice_message_of(fields)
    except NoticeMessageError as exc:
        raise PeerMessageError(str(exc)) from None


class PeerMessenger(DatagramSocket):
    """Sends and receives messages on one UDP socket.

    :param handler: called with each message of another entry.
    """

    def __init__(self, handler: MessageHandler) -> None:
        super().__init__(self._decode)
        self._handler = handler

    def send_long_prompt(
        self, addresses: Iterable[str], message: LongPromptMessage
    ) -> None:
        """Announce a prompt sent to an endpoint to the entries at ``addresses``."""
        recipients = itertools.islice(addresses, MAX_PROMPT_RECIPIENTS)
        self.send(recipients, msgpack.packb((message.endpoint_id, message.work_s)))

    def send_leaving(self, addresses: Iterable[str], message: LeavingMessage) -> None:
        """Announce to the entries at ``addresses`` that this one leaves."""
        self.send(
            addresses, msgpack.packb(("leaving", message.entry_id, message.started_s))
        )

    def send_findings(self, addresses: Iterable[str], findings: Findings) -> None:
        """Send findings about suspected requests to the entries at ``addresses``."""
        self.send(addresses, encode_findings(findings))

    def send_notice_message(self, address: str, message: NoticeMessage) -> None:
        """Send a message about endpoints to the entry at ``address``."""
        self.send([address], encode_notice_message(message))

    def send_link_news(self, addresses: Iterable[str], news: LinkNews) -> None:
        """Tell the entries at ``addresses`` of this entry's links to endpoints."""
        self.send(addresses, encode_link_news(news))

    def send_origin_message(self, address: str, message: OriginMessage) -> None:
        """Send a message about origins of streams to the entry at ``address``."""
        self.send([address], encode_origin_message(message))

    def _decode(self, data: bytes) -> None:
        try:
            message = decode_peer_message(data)
        except PeerMessageError as exc:
            log_event(_log, Event.NOTE_REJECTED, logging.WARNING, detail=str(exc))
            return
        try:
            self._handler(message)
        except Exception as exc:
            # Any entry, also one of another release, may have sent it.
            detail = f"{type(message).__name__}: {exc!r}"[:MAX_DETAIL_CHARS]
            log_event(_log, Event.NOTE_REJECTED, logging.WARNING, detail=detail)
