"""Which history of the log a reply belongs to, without I/O.

A log that is restored from an older backup has lost the records that it acknowledged
since, and assigns the same offsets again. Its *era* rises with each restore. What an
entry read or wrote in one era is not valid in the next: it reads the log again, and
ignores a reply of an earlier era that arrives after one of the new era.
"""

import enum
from collections.abc import Callable
from typing import NewType

import attrs

Era = NewType("Era", int)

REWRITE_GRACE_S = 2.0
"""Time after a restore within which others rewrite their records that the log lost."""


class EraStatus(enum.Enum):
    """What the era of a reply means."""

    SAME = "same"
    """The known era, or no era is known yet."""
    CHANGED = "changed"
    """The log was restored from a backup; the reply belongs to the new history."""
    LATE = "late"
    """The reply is or may be of an earlier history and must be ignored."""


@attrs.frozen
class EraChange:
    """A restore of the log from an older backup.

    :ivar seen_at_s: when a reply first showed it.
    """

    old: Era
    new: Era
    seen_at_s: float

    @property
    def is_expected(self) -> bool:
        """Whether the era rose by one, as it does with a restore."""
        return self.new == self.old + 1


class EraTracker:
    """The era of the log, learned from its replies.

    :ivar known: the era of the latest valid reply; ``None`` before the first.
    :ivar changes: how often the era changed. Its value at the start of a call shows
        whether the log was restored while the call was in flight.
    """

    def __init__(self) -> None:
        self.known: Era | None = None
        self.changes = 0
        self._restored_s = float("-inf")
        self._listeners: list[Callable[[EraChange], None]] = []

    def on_change(self, listener: Callable[[EraChange], None]) -> None:
        """Call ``listener`` on each change, before the reply that shows it is used."""
        self._listeners.append(listener)

    def observe(self, era: Era | None, changes_at_call: int, now_s: float) -> EraStatus:
        """Classify a reply by its era.

        :param era: ``None`` if the reply has none.
        :param changes_at_call: the value of ``changes`` when the call was made.
        """
        restored_since = changes_at_call != self.changes
        if era is None:
            return EraStatus.LATE if restored_since else EraStatus.SAME
        if self.known is None or era == self.known:
            self.known = era
            return EraStatus.SAME
        if era < self.known and restored_since:
            return EraStatus.LATE
        # A lower era in reply to a call made after the last change is not a late
        # reply: the log is another one, whatever its numbering.
        change = EraChange(self.known, era, now_s)
        self.known = era
        self.changes += 1
        self._notify(change)
        return EraStatus.CHANGED

    def observe_stored(self, written: Era, now_s: float) -> None:
        """Report a restore that may have happened just before this process started.

        Called when the records read at the start were written in an earlier era.

        :param written: the newest era in which these records were written.
        """
        assert self.known is not None
        self._notify(EraChange(written, self.known, now_s))

    def _notify(self, change: EraChange) -> None:
        self._restored_s = change.seen_at_s
        for listener in self._listeners:
            listener(change)

    def is_rewritten_by(self, at_s: float) -> bool:
        """Whether a read at ``at_s`` includes the lost records, rewritten by others."""
        return at_s >= self._restored_s + REWRITE_GRACE_S
