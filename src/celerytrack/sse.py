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
    :ivar relayed: all bytes relayed so far.
    """

    request_id: RequestId
    tokens: int = 0
    complete: bool = False
    relayed: bytearray = attrs.field(factory=bytearray)
    _partial: bytearray = attrs.field(factory=bytearray)
    _event_head: bytes = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._event_head = f'data: {{"id": "{self.request_id}"'.encode()

    def feed(self, data: bytes) -> bytes:
        """Add bytes from the engine; returns the complete events to relay now.

        :raises AnswerTooLargeError: if an event is too large.
        """
        if self.complete:
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
            self.complete = True
            block = block[:done_at]
        out = block if self._has_only_own_events(block) else self._own_events(block)
        if out:
            self._count_tokens(out)
            self.relayed += out
        return out

    def resume(self) -> None:
        """Continue on a new connection.

        The received part of an incomplete event is dropped, because the new
        connection sends the whole event.
        """
        self._partial.clear()

    def _has_only_own_events(self, block: bytes) -> bool:
        return block.count(self._event_head) == block.count(_EVENT_END)

    def _own_events(self, block: bytes) -> bytes:
        # An event with another id means that the engine mixed up streams: its answer
        # to another request arrived late on this connection. The event is dropped,
        # because only a request's own events may reach its caller.
        kept = []
        for event in block.split(_EVENT_END):
            data = _parse(event)
            if data is not None and data.get("id") == self.request_id:
                kept.append(event + _EVENT_END)
        return b"".join(kept)

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


def _parse(event: bytes) -> dict[str, Any] | None:
    if not event.startswith(_DATA_PREFIX):
        return None
    try:
        data = json.loads(event[len(_DATA_PREFIX) :])
    except ValueError:
        return None
    return data if isinstance(data, dict) else None
