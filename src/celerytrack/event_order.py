"""Judges by their ids whether the events of a stream belong to one run, without I/O.

The ids of a run increase. They may leave numbers out, also where those of the endpoint
before didn't: an event may hold several tokens. An endpoint may repeat events, or begin
its run again within one answer; what it writes then is no part of what the caller has.
"""

import enum
import re

import attrs

MAX_RECENT = 128
"""Events of which a repeat is known by its bytes; one that is older ends the answer."""
_OWN_NUMBER = re.compile(rb"^id: *([0-9]{1,40})\r?$", re.M)


class Standing(enum.Enum):
    """How an event stands to those before it."""

    NEXT = "next"
    REPEAT = "repeat"
    """It came before, byte for byte."""
    OTHER_RUN = "other_run"
    """It goes back and isn't what came before: another run has begun."""
    LATE = "late"
    """A later event came before it, so the caller lacks it."""
    OTHER_ANSWER = "other_answer"
    """It holds the head of another answer."""


@attrs.frozen
class Disorder:
    """An event that does not follow those before it.

    :ivar standing: how it stands to them.
    :ivar number: its number; of another answer's head, ``after``.
    :ivar after: the highest number before it, 0 if there is none.
    """

    standing: Standing
    number: int
    after: int


@attrs.define
class EventOrder:
    """The events of one answer so far.

    An event without a number is not judged.

    :ivar newest: the highest number so far; of a stream that goes on, the event after
        which it does.
    :ivar repeats: events that came before, byte for byte.
    :ivar disorder: the last event that did not follow.
    """

    newest: int | None = None
    repeats: int = 0
    disorder: Disorder | None = None
    _recent: dict[int, int] = attrs.field(factory=dict)
    _is_dense: bool | None = None
    _after: int | None = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._after = self.newest

    @property
    def is_dense(self) -> bool | None:
        """Whether each event had the next number; ``None`` if not known yet."""
        return self._is_dense

    def is_early(self, number: int | None) -> bool:
        """Whether an event leaves others out, where so far each had the next number."""
        if number is None or self.newest is None or not self._is_dense:
            return False
        return number > self.newest + 1

    def allow_gaps(self) -> None:
        """Note that numbers are left out."""
        self._is_dense = False

    def judge(self, event: bytes) -> Standing:
        """How an event stands to those before it; one that follows is remembered."""
        number = number_of(event)
        if number is None:
            return Standing.NEXT
        if self.newest is None or number > self.newest:
            if self.newest is not None and self._is_dense is not False:
                is_next = number == self.newest + 1
                # The first of a connection says nothing of the others.
                self._is_dense = is_next if is_next or self._recent else self._is_dense
            self.newest = number
            self._remember(number, event)
            return Standing.NEXT
        standing = self._standing_of_earlier(number, event)
        self.repeats += standing is Standing.REPEAT
        self.disorder = Disorder(standing, number, self.newest)
        return standing

    def end_at_other_answer(self) -> None:
        """Note that what comes next belongs to another answer."""
        newest = self.newest or 0
        self.disorder = Disorder(Standing.OTHER_ANSWER, newest, newest)

    def is_repeat(self, event: bytes) -> bool:
        """Whether an event came before, byte for byte."""
        number = number_of(event)
        return number is not None and self._recent.get(number) == hash(event)

    def _standing_of_earlier(self, number: int, event: bytes) -> Standing:
        known = self._recent.get(number)
        if known == hash(event):
            return Standing.REPEAT
        if known is None and self._recent and number > self._oldest():
            return Standing.LATE
        return Standing.OTHER_RUN

    def _oldest(self) -> int:
        """The number up to which an event that isn't known may have been passed on."""
        if len(self._recent) == MAX_RECENT or self._is_dense is False:
            return min(self._recent)
        return -1 if self._after is None else self._after

    def _remember(self, number: int, event: bytes) -> None:
        self._recent[number] = hash(event)
        if len(self._recent) > MAX_RECENT:
            del self._recent[next(iter(self._recent))]


def number_of(event: bytes) -> int | None:
    """The number in an event's id, or ``None`` if its id is none."""
    found = _OWN_NUMBER.search(event)
    return None if found is None else int(found[1])
