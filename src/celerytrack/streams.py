"""Cutting a server-sent event stream into whole events, without I/O."""

import attrs

_END = b"\n\n"


@attrs.frozen
class Events:
    """Whole events that arrived together.

    :ivar data: their bytes, as they came.
    :ivar count: how many there are.
    :ivar last_id: the id of the last one that bears one.
    """

    data: bytes
    count: int
    last_id: str | None


@attrs.define
class EventCutter:
    """Collects bytes of a stream and gives out whole events.

    An endpoint may stop in the middle of an event. Passing the half event on
    would spoil the stream for good: the next endpoint sends it again whole.

    :ivar events: events given out so far.
    :ivar last_id: the id of the last of them.
    """

    events: int = 0
    last_id: str | None = None
    _rest: bytes = b""

    @property
    def partial(self) -> bool:
        """Whether half an event is waiting for its end."""
        return bool(self._rest)

    def feed(self, data: bytes) -> Events | None:
        """Take bytes; the whole events they complete, if any."""
        block, end, rest = (self._rest + data).rpartition(_END)
        if not end:
            self._rest = rest
            return None
        self._rest = rest
        block += end
        count = block.count(_END)
        last_id = last_event_id(block)
        self.events += count
        self.last_id = last_id or self.last_id
        return Events(block, count, last_id)

    def restart(self) -> None:
        """The stream goes on over a new connection."""
        self._rest = b""


def last_event_id(block: bytes) -> str | None:
    """The value of the last ``id:`` line in ``block``, or ``None``."""
    at = block.rfind(b"\nid:")
    if at < 0 and not block.startswith(b"id:"):
        return None
    line = block[at + 1 :].split(b"\n", 1)[0]
    return line[len(b"id:") :].strip().decode("latin-1")
