"""Splitting of server-sent event streams into complete events, without I/O."""

import attrs

_EVENT_END = b"\n\n"


@attrs.frozen
class EventBatch:
    """Consecutive complete events.

    :ivar data: their bytes, unchanged.
    :ivar count: number of events.
    :ivar last_id: the id of the last event that has one.
    """

    data: bytes
    count: int
    last_id: str | None


@attrs.define
class EventSplitter:
    """Buffers the bytes of a stream and returns complete events.

    An endpoint may stop in the middle of an event. Forwarding the partial event would
    corrupt the stream, because the next endpoint sends the event again as a whole.

    :ivar event_count: number of events returned so far.
    :ivar last_id: the id of the last returned event that has one.
    """

    event_count: int = 0
    last_id: str | None = None
    _buffer: bytes = b""

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> EventBatch | None:
        """Add bytes and return the events that are now complete, if any."""
        block, end, rest = (self._buffer + data).rpartition(_EVENT_END)
        if not end:
            self._buffer = rest
            return None
        self._buffer = rest
        block += end
        count = block.count(_EVENT_END)
        last_id = last_event_id(block)
        self.event_count += count
        self.last_id = last_id or self.last_id
        return EventBatch(block, count, last_id)

    def reset(self) -> None:
        """Discard the incomplete event: the stream resumes on a new connection."""
        self._buffer = b""


def last_event_id(block: bytes) -> str | None:
    """The value of the last ``id:`` line in ``block``, or ``None``."""
    at = block.rfind(b"\nid:")
    if at < 0 and not block.startswith(b"id:"):
        return None
    line = block[at + 1 :].split(b"\n", 1)[0]
    return line[len(b"id:") :].strip().decode("latin-1")
