"""Splitting of server-sent event streams into complete events, without I/O."""

import re

import attrs

from celerytrack.answer_limits import DEFAULT_LIMITS

_EVENT_END = b"\n\n"
_NUMBER = re.compile("[0-9]{1,18}")
_EVENT_NUMBER = re.compile(rb"(?:^|\n)id: *([0-9]{1,18})(?=\r?\n)")


class OversizedEventError(Exception):
    """An event is larger than its limit."""


class RepeatedEventsError(Exception):
    """A stream that should go on after an event holds that event or one before it."""


@attrs.frozen
class Disorder:
    """Two events in a row whose ids don't increase.

    :ivar after: the id of the first of them.
    :ivar number: the id of the second.
    """

    after: int
    number: int


@attrs.frozen
class EventBatch:
    """Consecutive complete events.

    :ivar data: their bytes, unchanged.
    :ivar count: number of events.
    :ivar last_id: the id of the last event that has one.
    :ivar disorder: where the ids first don't increase.
    """

    data: bytes
    count: int
    last_id: str | None
    disorder: Disorder | None = None


@attrs.define
class EventSplitter:
    """Buffers the bytes of a stream and returns complete events.

    An endpoint may stop in the middle of an event. Forwarding the partial event would
    corrupt the stream, because the next endpoint sends the event again as a whole.

    :ivar event_count: number of events returned so far.
    :ivar last_id: the id of the last returned event that has one.
    :ivar lacks_event: whether an event began that no connection has ended.
    :ivar max_event_bytes: bytes of an event after which it is given up.
    """

    event_count: int = 0
    last_id: str | None = None
    lacks_event: bool = False
    max_event_bytes: int = DEFAULT_LIMITS.event_bytes
    _buffer: bytearray = attrs.field(factory=bytearray)
    _after: int | None = None
    _newest: int | None = None

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> EventBatch | None:
        """Add bytes and return the events that are now complete, if any.

        :raises RepeatedEventsError: if a stream that goes on repeats an event.
        :raises OversizedEventError: if the incomplete event is too large.
        """
        buffer = self._buffer
        # An event that comes byte by byte is not searched from its begin each time.
        searched = max(0, len(buffer) - len(_EVENT_END) + 1)
        buffer += data
        at = buffer.rfind(_EVENT_END, searched)
        end = at + len(_EVENT_END) if at >= 0 else 0
        if len(buffer) - end > self.max_event_bytes:
            raise OversizedEventError
        if not end:
            return None
        block = bytes(buffer[:end])
        del buffer[:end]
        self._check_begin(block)
        self.lacks_event = False
        count = block.count(_EVENT_END)
        last_id = last_event_id(block)
        self.event_count += count
        self.last_id = last_id or self.last_id
        return EventBatch(block, count, last_id, self._find_disorder(block))

    def resume(self, last_id: str | None) -> None:
        """Go on with a new connection, which sends an incomplete event anew.

        :param last_id: the event after which the stream goes on; ``None`` if it begins.
        """
        self.lacks_event |= self.has_partial
        self._buffer.clear()
        self._newest = None
        is_number = last_id is not None and _NUMBER.fullmatch(last_id) is not None
        self._after = int(last_id) if last_id is not None and is_number else None

    def _find_disorder(self, block: bytes) -> Disorder | None:
        found = None
        for text in _EVENT_NUMBER.findall(block):
            number = int(text)
            if found is None and self._newest is not None and number <= self._newest:
                found = Disorder(self._newest, number)
            self._newest = number
        return found

    def _check_begin(self, block: bytes) -> None:
        if self._after is None:
            return
        first = _EVENT_NUMBER.search(block)
        if first is None:
            return
        if int(first[1]) <= self._after:
            raise RepeatedEventsError
        self._after = None


def last_event_id(block: bytes) -> str | None:
    """The value of the last ``id:`` line in ``block``, or ``None``."""
    at = block.rfind(b"\nid:")
    if at < 0 and not block.startswith(b"id:"):
        return None
    line = block[at + 1 :].split(b"\n", 1)[0]
    return line[len(b"id:") :].strip().decode("latin-1")
