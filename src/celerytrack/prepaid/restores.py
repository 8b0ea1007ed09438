"""What an entry holds to when the log comes back from an older copy, without I/O.

Rows on the copy may claim less than was claimed, and what was claimed may be spent.
So the rows that the entry knows of stand beside those that it reads, whichever claims
more, until their owner has written a row that it made in the new era: such a row covers
whatever its owner may spend. Until all owners that are alive have done so, or
:data:`HOLD_S` has passed, nothing more is taken into what may be spent here; what may
be spent already stays so.

A start that ends before it has written in the new era takes with it what it had
claimed since the copy, and the next one finds on the log what is on the copy only. So
it asks the others what they know of its row; what none that is alive knows may be spent
a second time, and no more than that.
"""

from collections.abc import Mapping, Set

import attrs

from celerytrack.eras import Era
from celerytrack.ids import AccountId, EntryId
from celerytrack.prepaid.shares import Row

HOLD_S = 10.0
"""Longest wait for the rows of the new era: an entry may be cut off for 9 s. Of one
that has written none by then, what its last known row claims counts as spent."""

Rows = Mapping[AccountId, Row]


class RestoreGuard:
    """The rows known of before the log came back, and whose are missing since.

    :param me: this entry.
    :ivar holding: whether nothing more may be taken into what may be spent.
    :ivar held_s: how long the last hold took, from its start.
    """

    def __init__(self, me: EntryId) -> None:
        self.holding = False
        self.held_s = 0.0
        self._me = me
        self._era: Era | None = None
        self._since_s = 0.0
        self._known: dict[EntryId, Rows] = {}
        self._kept: set[EntryId] = set()
        self._awaited: set[EntryId] = set()

    def rose(self, era: Era, awaited: Set[EntryId], now_s: float) -> None:
        """The log is of a new era.

        :param awaited: the entries that may be alive, and so may spend.
        """
        self._era = era
        self._kept = set(self._known)
        self._awaited = (self._awaited if self.holding else set()) | awaited
        self._awaited.discard(self._me)
        self._since_s = now_s
        self.holding = True

    def take(self, entry: EntryId, row: Rows, written: Era | None) -> Rows:
        """What counts of ``entry``, whose newest row on the log is ``row``.

        :param written: the era that its owner knew when it made the row; ``None`` if
            the row does not tell, or was dropped.
        """
        if self._era is None:
            self._known[entry] = row
        elif written == self._era:
            self._written(entry, row)
        else:
            self._read_from_copy(entry, row)
        return self._known[entry]

    def expire(self, now_s: float) -> bool:
        """See whether the hold is over; whether it ended now."""
        if not self.holding:
            return False
        self.held_s = now_s - self._since_s
        # Without a row of its own on the log, an entry has nothing to take.
        unwritten = self._me in self._kept
        waits = bool(self._awaited) and self.held_s < HOLD_S
        self.holding = unwritten or waits
        return not self.holding

    def known(self, entry: EntryId) -> Rows:
        """What counts of ``entry``."""
        return self._known.get(entry, {})

    @property
    def missing(self) -> frozenset[EntryId]:
        """The entries waited for that have written nothing in the new era."""
        return frozenset(self._awaited)

    @property
    def kept(self) -> int:
        """Of how many entries the row known of before counts beside the one read."""
        return len(self._kept)

    def _written(self, entry: EntryId, row: Rows) -> None:
        self._known[entry] = row
        self._kept.discard(entry)
        self._awaited.discard(entry)

    def _read_from_copy(self, entry: EntryId, row: Rows) -> None:
        if entry not in self._known and self.holding and entry != self._me:
            self._awaited.add(entry)
        self._known[entry] = most(self._known.get(entry, {}), row)
        self._kept.add(entry)


def most(known: Rows, read: Rows) -> Rows:
    """The most that either row says was claimed and used."""
    return {
        account: _most_of(known.get(account, Row()), read.get(account, Row()))
        for account in known.keys() | read.keys()
    }


def _most_of(known: Row, read: Row) -> Row:
    return attrs.evolve(
        known,
        claimed_tokens=max(known.claimed_tokens, read.claimed_tokens),
        used_tokens=max(known.used_tokens, read.used_tokens),
        lost_tokens=max(known.lost_tokens, read.lost_tokens),
    )
