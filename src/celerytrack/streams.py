"""Splitting of server-sent event streams into complete events, without I/O."""

import re

import attrs

from celerytrack.answer_limits import DEFAULT_LIMITS
from celerytrack.event_order import (
    Disorder,
    EventOrder,
    Standing,
    number_of,
)
from celerytrack.joined_events import Joined, Judgement, find_join

_EVENT_END = b"\n\n"
_CR = b"\r"
_ANY_EVENT_END = re.compile(rb"\n\r?\n")
_LONGEST_EVENT_END = 3
_NUMBER = re.compile("[0-9]{1,40}")
_HEAD_BEGIN = b"HTTP/1."
_HEAD_LINE = re.compile(rb"(?:\A|\n)HTTP/1\.[01] [0-9]{3}[ \r\n]")
_HEAD_LINES = re.compile(rb"HTTP/1\.[01] [0-9]{3}[^\n]*\r\n[A-Z][A-Za-z0-9-]*:")
"""The begin of a head, also within a line that was cut; names of an event's own fields
begin with lower case."""


class OversizedEventError(Exception):
    """An event is larger than its limit."""


@attrs.frozen
class EventBatch:
    """Consecutive complete events.

    :ivar data: their bytes, unchanged.
    :ivar count: number of events.
    :ivar last_id: the id of the last event that has one.
    :ivar disorder: what came after them and does not follow: the answer ends there.
    """

    data: bytes
    count: int
    last_id: str | None
    disorder: Disorder | None = None


@attrs.define
class EventSplitter:
    """Buffers the bytes of a stream and returns complete events, each once.

    An endpoint may stop in the middle of an event. Forwarding the partial event would
    corrupt the stream, because the next endpoint sends the event again as a whole.

    :ivar event_count: number of events returned so far.
    :ivar last_id: the id of the last returned event that has one.
    :ivar lacks_event: whether an event began that no connection has ended.
    :ivar max_event_bytes: bytes of an event after which it is given up.
    :ivar order: of the events of the present connection.
    """

    event_count: int = 0
    last_id: str | None = None
    lacks_event: bool = False
    max_event_bytes: int = DEFAULT_LIMITS.event_bytes
    order: EventOrder = attrs.field(factory=EventOrder)
    _buffer: bytearray = attrs.field(factory=bytearray)
    _has_cr: bool = False
    _held: Joined | None = None
    _early: bytes = b""

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> EventBatch | None:
        """Add bytes and return the events that are now complete, if any.

        :raises OversizedEventError: if the incomplete event is too large.
        """
        buffer = self._buffer
        # An event that comes byte by byte is not searched from its begin each time.
        searched = max(0, len(buffer) - _LONGEST_EVENT_END + 1)
        buffer += data
        self._has_cr = self._has_cr or _CR in data
        end = self._last_end(searched)
        if len(buffer) - end > self.max_event_bytes:
            raise OversizedEventError
        if not end:
            return None
        block = bytes(buffer[:end])
        del buffer[:end]
        return self._judged(self._split(block))

    def finish(self) -> EventBatch | None:
        """Return what was held back when the answer has ended."""
        held, self._held = self._held, None
        following: list[bytes] = []
        goes_on = True
        if held is not None:
            is_joined = held.is_joined_at_end(self.order.is_repeat(held.rest))
            event = self._parted(held) if is_joined else held.event
            goes_on = self._follows(event, following)
        early, self._early = self._early, b""
        if goes_on and early:
            goes_on = self._add(early, following)
        disorder = None if goes_on else self.order.disorder
        return self._batch(following, disorder) if following or disorder else None

    def resume(self, last_id: str | None) -> None:
        """Go on with a new connection, which sends an incomplete event anew.

        :param last_id: the event after which the stream goes on; ``None`` if it begins.
        """
        is_held = self._held is not None or bool(self._early)
        self.lacks_event |= self.has_partial or is_held
        self._buffer.clear()
        self._held = None
        self._early = b""
        is_number = last_id is not None and _NUMBER.fullmatch(last_id) is not None
        # What another connection goes on with is of the same kind.
        is_dense = self.order.is_dense
        after = int(last_id) if last_id and is_number else None
        self.order = EventOrder(after, is_dense=is_dense or None)

    def _last_end(self, searched: int) -> int:
        at = self._buffer.rfind(_EVENT_END, searched)
        end = at + len(_EVENT_END) if at >= 0 else 0
        if self._has_cr:
            for found in _ANY_EVENT_END.finditer(self._buffer, max(end - 1, searched)):
                end = found.end()
        return end

    def _split(self, block: bytes) -> list[bytes]:
        if self._has_cr:
            ends = [found.end() for found in _ANY_EVENT_END.finditer(block)]
            # Empty lines beyond the last event's own belong to it.
            ends[-1] = len(block)
            return [block[a:b] for a, b in zip([0, *ends], ends, strict=False)]
        if block.count(_EVENT_END) == 1:
            return [block]
        events = block[: -len(_EVENT_END)].split(_EVENT_END)
        return [event + _EVENT_END for event in events]

    def _judged(self, events: list[bytes]) -> EventBatch | None:
        """The events that follow those before them, each once.

        One that may be two is held back until the next one tells.
        """
        following: list[bytes] = []
        for event in events:
            if _HEAD_BEGIN in event and self._ends_at_head(event):
                break
            if self._held is not None and not self._follows(
                self._released(event), following
            ):
                break
            single = self._single(event)
            if single is not None and not self._follows(single, following):
                break
        else:
            return self._batch(following, None) if following else None
        return self._batch(following, self.order.disorder)

    def _ends_at_head(self, event: bytes) -> bool:
        """Whether an event holds the head of another answer, and no more of this one
        follows."""
        head = _HEAD_LINE.search(event) or _HEAD_LINES.search(event)
        if head is None:
            return False
        self.lacks_event |= head.start() > 0
        self.order.end_at_other_answer()
        return True

    def _follows(self, event: bytes, following: list[bytes]) -> bool:
        """Add an event to those that follow; return whether the answer goes on.

        Where each had the next number, one that leaves some out waits for the next one:
        two may have changed places.
        """
        number = number_of(event)
        early, self._early = self._early, b""
        if early:
            early_number = number_of(early)
            assert early_number is not None
            if number is not None and number < early_number:
                return self._fill(event, early, following)
            self.order.allow_gaps()
            if not self._add(early, following):
                return False
        if self.order.is_early(number):
            self._early = event
            return True
        return self._add(event, following)

    def _fill(self, event: bytes, early: bytes, following: list[bytes]) -> bool:
        if not self._add(event, following):
            self.lacks_event = True
            return False
        if self.order.is_early(number_of(early)):
            self._early = early
            return True
        return self._add(early, following)

    def _add(self, event: bytes, following: list[bytes]) -> bool:
        standing = self.order.judge(event)
        if standing is Standing.NEXT:
            following.append(event)
            self.lacks_event = False
        return standing in (Standing.NEXT, Standing.REPEAT)

    def _single(self, event: bytes) -> bytes | None:
        """An event that is one, or ``None`` if what follows must tell."""
        joined = find_join(event, self.order.newest)
        judgement = Judgement.ONE if joined is None else joined.judge_alone()
        if joined is None or judgement is Judgement.ONE:
            return event
        if judgement is Judgement.JOINED:
            return self._parted(joined)
        self._held = joined
        return None

    def _released(self, following: bytes) -> bytes:
        held, self._held = self._held, None
        assert held is not None
        is_joined = held.is_joined_before(number_of(following))
        return self._parted(held) if is_joined else held.event

    def _parted(self, joined: Joined) -> bytes:
        self.lacks_event = True
        return joined.rest

    def _batch(self, following: list[bytes], disorder: Disorder | None) -> EventBatch:
        block = b"".join(following)
        last_id = last_event_id(block)
        self.event_count += len(following)
        self.last_id = last_id or self.last_id
        return EventBatch(block, len(following), last_id, disorder)


def last_event_id(block: bytes) -> str | None:
    """The value of the last ``id:`` line in ``block``, or ``None``."""
    at = block.rfind(b"\nid:")
    if at < 0 and not block.startswith(b"id:"):
        return None
    line = block[at + 1 :].split(b"\n", 1)[0]
    return line[len(b"id:") :].strip().decode("latin-1")
