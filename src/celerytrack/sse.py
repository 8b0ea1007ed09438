"""Relaying one answer's server-sent events, without I/O.

The engine's bytes go to the caller unchanged, several events at a time. Parsing
each event as JSON would take more processor time than everything else an entry
does for a token.
"""

import json
import re
from typing import Any

import attrs

from celerytrack.answer_limits import DEFAULT_LIMITS, AnswerTooLargeError
from celerytrack.event_order import EventOrder, Standing
from celerytrack.ids import RequestId

_EVENT_END = b"\n\n"
_DATA_PREFIX = b"data: "
_DONE = b"data: [DONE]\n\n"
# It cannot match inside generated text, because quotes in a JSON string are escaped.
_COMPLETION_TOKENS = re.compile(rb'"completion_tokens":\s*(\d+)')


def event_bytes(data: Any) -> bytes:
    """One event carrying ``data`` as JSON."""
    return _DATA_PREFIX + json.dumps(data).encode() + _EVENT_END


DONE_EVENT = _DONE
"""The event that ends a complete answer."""


@attrs.define
class AnswerRelay:
    """Filters and counts the events of one answer.

    :ivar request_id: only events with this id are relayed.
    :ivar tokens: output tokens received, as the engine counts them
        (``usage.completion_tokens``, cumulative), otherwise one per event.
    :ivar complete: whether the engine ended the stream with ``[DONE]``.
    :ivar is_disordered: whether an event came that does not follow: what the replica
        sends after it is no part of the answer.
    :ivar order: of the events of the present connection, by their token counts.
    :ivar keeps: whether what is relayed is kept.
    :ivar relayed: all bytes relayed so far, while they are kept.
    """

    request_id: RequestId
    tokens: int = 0
    complete: bool = False
    is_disordered: bool = False
    order: EventOrder = attrs.field(factory=lambda: EventOrder(is_dense=False))
    keeps: bool = True
    relayed: bytearray = attrs.field(factory=bytearray)
    _partial: bytearray = attrs.field(factory=bytearray)
    _event_head: bytes = attrs.field(init=False)
    _goes_on: bool = False

    def stop_keeping(self) -> None:
        """Forget what was relayed: the answer can't be replayed."""
        self.keeps = False
        self.relayed.clear()

    def __attrs_post_init__(self) -> None:
        self._event_head = f'data: {{"id": "{self.request_id}"'.encode()

    def feed(self, data: bytes) -> bytes:
        """Add bytes from the engine; returns the complete events to relay now.

        :raises AnswerTooLargeError: if an event is too large.
        """
        if self.complete or self.is_disordered:
            return b""
        partial = self._partial
        # An event that comes byte by byte is not searched from its begin each time.
        searched = max(0, len(partial) - len(_EVENT_END) + 1)
        partial += data
        at = partial.rfind(_EVENT_END, searched)
        end = at + len(_EVENT_END) if at >= 0 else 0
        if len(partial) - end > DEFAULT_LIMITS.event_bytes:
            raise AnswerTooLargeError
        if not end:
            return b""
        block = bytes(partial[:end])
        del partial[:end]
        done_at = _find_done(block)
        if done_at >= 0:
            block = block[:done_at]
        own = self._split(block)
        if not self._has_only_own_events(block):
            own = self._own_events(own)
        out = b"".join(self._following(own))
        self.complete = done_at >= 0 and not self.is_disordered
        if out:
            self._count_tokens(out)
            if self.keeps:
                self.relayed += out
        return out

    @property
    def lacks_event(self) -> bool:
        """Whether an event came after a later one, which was relayed."""
        disorder = self.order.disorder
        return disorder is not None and disorder.standing is Standing.LATE

    def resume(self) -> None:
        """Continue on a new connection.

        The received part of an incomplete event is dropped, because the new
        connection sends the whole event.
        """
        self._partial.clear()
        self.is_disordered = False
        self.order = EventOrder(self.tokens, is_dense=False)
        self._goes_on = True

    def _has_only_own_events(self, block: bytes) -> bool:
        head, ends = self._event_head, block.count(_EVENT_END)
        return (
            block.startswith(head)
            and block.count(head) == ends
            and block.count(_EVENT_END + head) == ends - 1
        )

    def _split(self, block: bytes) -> list[bytes]:
        events = block.split(_EVENT_END)
        return [event + _EVENT_END for event in events[:-1]]

    def _own_events(self, events: list[bytes]) -> list[bytes]:
        # An event with another id means that the engine mixed up streams: its answer
        # to another request arrived late on this connection. The event is dropped,
        # because only a request's own events may reach its caller.
        kept = []
        for event in events:
            data = _parse(event[: -len(_EVENT_END)])
            if data is not None and data.get("id") == self.request_id:
                kept.append(event)
            elif data is None and self._event_head in event:
                # It was cut, and another one begins inside it.
                self.is_disordered = True
                break
        return kept

    def _following(self, events: list[bytes]) -> list[bytes]:
        """The events that follow those before them, each once."""
        following = []
        for event in events:
            standing = self._judge(event)
            if standing is Standing.NEXT:
                following.append(event)
            elif standing is not Standing.REPEAT:
                self.is_disordered = True
                break
        return following

    def _judge(self, event: bytes) -> Standing:
        counts = _COMPLETION_TOKENS.findall(event)
        if not counts:
            return Standing.NEXT
        count, newest = int(counts[-1]), self.order.newest
        disorder = self.order.disorder
        standing = self.order.judge(b"id: %d\n%b" % (count, event))
        if standing is Standing.NEXT:
            self._goes_on = False
        elif standing is not Standing.REPEAT and count == newest:
            # An event may say how the answer ended, and hold no token.
            if not self._goes_on or not _holds_text(event):
                self.order.disorder = disorder
                return Standing.NEXT
        return standing

    def _count_tokens(self, out: bytes) -> None:
        usage = _COMPLETION_TOKENS.findall(out)
        if usage:
            self.tokens = max(self.tokens, int(usage[-1]))
        else:
            self.tokens += out.count(_EVENT_END)


def _find_done(block: bytes) -> int:
    """Where the first event that ends an answer begins, -1 if there is none."""
    if block.startswith(_DONE):
        return 0
    at = block.find(_EVENT_END + _DONE)
    return at if at < 0 else at + len(_EVENT_END)


def _holds_text(event: bytes) -> bool:
    data = _parse(event.rstrip(b"\n"))
    choices = data.get("choices") if data else None
    if not isinstance(choices, list):
        return False
    deltas = [choice.get("delta") for choice in choices if isinstance(choice, dict)]
    return any(delta.get("content") for delta in deltas if isinstance(delta, dict))


def _parse(event: bytes) -> dict[str, Any] | None:
    if not event.startswith(_DATA_PREFIX):
        return None
    try:
        data = json.loads(event[len(_DATA_PREFIX) :])
    except ValueError:
        return None
    return data if isinstance(data, dict) else None
