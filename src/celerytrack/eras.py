"""Which history of the log an answer belongs to, without I/O.

A log that comes back from an older copy has lost what it had acknowledged since, and
gives out the same offsets again. Its *era* rises each time. What an entry read or wrote
in one era says nothing of the next: it reads anew, and an answer of the era before must
not be taken after one of the new era.
"""

import enum
from collections.abc import Callable
from typing import NewType

import attrs

Era = NewType("Era", int)

REWRITTEN_S = 2.0
"""How long after its return others have written again what the log lost of theirs."""


class EraNews(enum.Enum):
    """What the era of an answer tells."""

    SAME = "same"
    """The era known, or none known yet."""
    CHANGED = "changed"
    """The log came back from a copy; the answer belongs to its new history."""
    LATE = "late"
    """The answer is of an earlier history, or may be: it counts for nothing."""


@attrs.frozen
class EraChange:
    """The log came back from a copy.

    :ivar seen_at_s: when an answer first told so.
    """

    old: Era
    new: Era
    seen_at_s: float

    @property
    def expected(self) -> bool:
        """Whether the era rose by one, as it does when the log comes back."""
        return self.new == self.old + 1


class EraWatch:
    """The era of the log as its answers tell it.

    :ivar known: the newest era that an answer told; ``None`` while none did.
    :ivar changes: how often it changed. Taken at the start of a call, it tells whether
        the log came back from a copy while the call was on its way.
    """

    def __init__(self) -> None:
        self.known: Era | None = None
        self.changes = 0
        self._returned_s = float("-inf")
        self._listeners: list[Callable[[EraChange], None]] = []

    def on_change(self, listener: Callable[[EraChange], None]) -> None:
        """Have ``listener`` told of each change, before the answer that tells it."""
        self._listeners.append(listener)

    def take(self, era: Era | None, asked_at: int, now_s: float) -> EraNews:
        """Take the era of an answer.

        :param era: ``None`` if the answer does not tell.
        :param asked_at: ``changes`` when the call was made.
        """
        overtaken = asked_at != self.changes
        if era is None:
            return EraNews.LATE if overtaken else EraNews.SAME
        if self.known is None or era == self.known:
            self.known = era
            return EraNews.SAME
        if era < self.known and overtaken:
            return EraNews.LATE
        # An era that falls in answer to a call of now is no late answer: the log is
        # not the one it was, whatever it counts.
        change = EraChange(self.known, era, now_s)
        self.known = era
        self.changes += 1
        self._tell(change)
        return EraNews.CHANGED

    def learn(self, written: Era, now_s: float) -> None:
        """What a start reads was written in an earlier era, so that the log may have
        come back just before.

        :param written: the newest era in which that was written.
        """
        assert self.known is not None
        self._tell(EraChange(written, self.known, now_s))

    def _tell(self, change: EraChange) -> None:
        self._returned_s = change.seen_at_s
        for listener in self._listeners:
            listener(change)

    def rewritten(self, at_s: float) -> bool:
        """Whether what was read at ``at_s`` holds what the log lost of others."""
        return at_s >= self._returned_s + REWRITTEN_S
