"""Relaying one answer's server-sent events, without I/O.

The engine's bytes go to the caller as they came, several events at a time:
parsing each event as JSON cost more processor time than everything else the
entry does for a token.
"""

import json
import re
from typing import Any

import attrs

from celerytrack.ids import RequestId

_END = b"\n\n"
_DATA = b"data: "
_DONE = b"data: [DONE]\n\n"
# Cannot match inside a text: quotes in a JSON string are escaped.
_USAGE = re.compile(rb'"completion_tokens":\s*(\d+)')


def event_bytes(data: Any) -> bytes:
    """One event carrying ``data`` as JSON."""
    return _DATA + json.dumps(data).encode() + _END


DONE_EVENT = _DONE
"""The event that ends a whole answer."""


@attrs.define
class AnswerRelay:
    """What came of one answer so far, and what to pass on.

    :ivar request_id: only events of this request are passed on.
    :ivar tokens: output tokens received, as the engine counts them
        (``usage.completion_tokens``, cumulative), else one an event.
    :ivar complete: the engine ended the stream with ``[DONE]``.
    :ivar relayed: everything passed on so far.
    """

    request_id: RequestId
    tokens: int = 0
    complete: bool = False
    relayed: bytearray = attrs.field(factory=bytearray)
    _partial: bytes = b""
    _head: bytes = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._head = f'data: {{"id": "{self.request_id}"'.encode()

    def feed(self, data: bytes) -> bytes:
        """Take bytes from the engine; the whole events to pass on now."""
        if self.complete:
            return b""
        block, end, rest = (self._partial + data).rpartition(_END)
        self._partial = rest
        if not end:
            return b""
        block += end
        if block.endswith(_DONE):
            self.complete = True
            block = block[: -len(_DONE)]
        out = block if self._all_ours(block) else self._ours(block)
        if out:
            self._count(out)
            self.relayed += out
        return out

    def resume(self) -> None:
        """The stream goes on over a new connection: an event the old one
        cut in the middle will come again."""
        self._partial = b""

    def _all_ours(self, block: bytes) -> bool:
        return block.count(self._head) == block.count(_END)

    def _ours(self, block: bytes) -> bytes:
        # Only this request's events go to its caller: one with another id
        # means the engine mixed streams (its answer to someone else arrived
        # late on this connection), and is dropped.
        kept = []
        for event in block.split(_END):
            data = _parse(event)
            if data is not None and data.get("id") == self.request_id:
                kept.append(event + _END)
        return b"".join(kept)

    def _count(self, out: bytes) -> None:
        usage = _USAGE.findall(out)
        if usage:
            self.tokens = max(self.tokens, int(usage[-1]))
        else:
            self.tokens += out.count(_END)


def _parse(event: bytes) -> dict[str, Any] | None:
    if not event.startswith(_DATA):
        return None
    try:
        data = json.loads(event[len(_DATA) :])
    except ValueError:
        return None
    return data if isinstance(data, dict) else None
