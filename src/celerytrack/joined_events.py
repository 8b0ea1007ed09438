"""Finds events that were cut and joined with the first one of a run that begins again.

An endpoint may stop inside an event and begin its run again in the same answer. Text
of a sound event may look the same, so an event is parted only if what follows it, or
what was cut, shows that no sound stream holds it.
"""

import enum
import re

import attrs

from celerytrack.event_order import number_of

_INNER_ID = re.compile(rb"id: *([0-9]{1,40})\r?\n(?=[a-z-]+:)")
_CUT_ID = re.compile(rb"(?:i|id|id:|id: *[0-9]{0,40}\r?)\Z")
_CUT_DATA = re.compile(rb"\n(?:data|dat|da|d)?\Z")
_NO_FIELD = re.compile(rb"(?:\A|\n)[a-z-]*\Z")


class Judgement(enum.Enum):
    """What an event that contains text like another's begin is."""

    ONE = "one"
    JOINED = "joined"
    OPEN = "open"
    """What follows it tells."""


@attrs.frozen
class Joined:
    """An event that may be two.

    :ivar cut: what would be the first, of which the end is missing.
    :ivar rest: what would be the second.
    :ivar number: the number of the second.
    :ivar reference: the number that the second must not exceed if a run begins again;
        ``None`` if no number came before it.
    :ivar is_in_id: whether the first would have been cut inside its id.
    """

    cut: bytes
    rest: bytes
    number: int
    reference: int | None
    is_in_id: bool

    @property
    def event(self) -> bytes:
        """The whole."""
        return self.cut + self.rest

    @property
    def is_sent_anew(self) -> bool:
        """Whether the second repeats the cut one and goes on after it."""
        # In a field's text it may be a quoted id.
        is_outside_text = _CUT_DATA.search(self.cut) is not None
        return is_outside_text and self.rest.startswith(self.cut)

    def judge_alone(self) -> Judgement:
        """What it is without what follows it."""
        if self.is_in_id:
            return Judgement.OPEN
        if self.number == self.reference and self.is_sent_anew:
            return Judgement.JOINED
        is_higher = self.reference is None or self.number > self.reference
        return Judgement.ONE if is_higher else Judgement.OPEN

    def is_joined_before(self, following: int | None) -> bool:
        """Whether it is two, if the event after it has the number ``following``."""
        if following is None:
            return False
        return self.reference is not None and following <= self.reference

    def is_joined_at_end(self, is_repeat: bool) -> bool:
        """Whether it is two, if no event follows.

        :param is_repeat: whether the second came before, byte for byte.
        """
        if self.is_in_id:
            return is_repeat
        return is_repeat and _NO_FIELD.search(self.cut) is not None


def find_join(event: bytes, newest: int | None) -> Joined | None:
    """Find text in an event that may be the begin of another one.

    :param newest: the highest number before the event.
    """
    if event.startswith(b"id:") and event.count(b"id:") == 1:
        return None
    found = [m for m in _INNER_ID.finditer(event) if m.start()]
    if not found:
        return None
    at = found[-1].start()
    cut = event[:at]
    is_in_id = _CUT_ID.match(cut) is not None
    own = None if is_in_id else number_of(cut[: cut.rfind(b"\n") + 1])
    if own is None and not is_in_id:
        return None
    reference = newest if own is None else own
    return Joined(cut, event[at:], int(found[-1][1]), reference, is_in_id)
