"""Holds allowances after the log is restored from an older backup; does no I/O.

Rows in the backup may claim less than was claimed since, and what was claimed may be
spent. So of the row known before and the row read, the larger claim counts until the
owner has written a row made in the new era, which covers whatever the owner may spend.
Until all live owners have done so, or :data:`MAX_HOLD_S` has passed, no allowance rises
here; allowances already accepted stay.

A process that ends before it has written in the new era loses what it claimed since the
backup, and its next incarnation finds only the backed-up row on the log. That
incarnation therefore asks the other entries which row of it they know. Only claims that
no live entry knows may be spent a second time.
"""

from collections.abc import Mapping, Set

import attrs

from celerytrack.eras import Era
from celerytrack.ids import AccountId, EntryId
from celerytrack.prepaid.shares import AccountClaim

MAX_HOLD_S = 10.0
"""Longest wait for rows of the new era: an entry may be partitioned for 9 s. If it has
written none by then, the claim of its last known row counts as spent."""

Row = Mapping[AccountId, AccountClaim]


class RestoreHold:
    """Rows known before the restore, and the entries that have not written since.

    :param entry_id: this entry.
    :ivar active: whether no allowance may rise.
    :ivar duration_s: how long the current or last hold has lasted.
    """

    def __init__(self, entry_id: EntryId) -> None:
        self.active = False
        self.duration_s = 0.0
        self._entry_id = entry_id
        self._era: Era | None = None
        self._since_s = 0.0
        self._known: dict[EntryId, Row] = {}
        self._retained: set[EntryId] = set()
        self._awaited: set[EntryId] = set()

    def begin(self, era: Era, awaited: Set[EntryId], now_s: float) -> None:
        """Begin a hold: the log is in a new era.

        :param awaited: the entries that may be alive, and so may spend.
        """
        self._era = era
        self._retained = set(self._known)
        self._awaited = (self._awaited if self.active else set()) | awaited
        self._awaited.discard(self._entry_id)
        self._since_s = now_s
        self.active = True

    def merge_row(self, entry: EntryId, row: Row, written: Era | None) -> Row:
        """The row that counts for ``entry``, whose newest row on the log is ``row``.

        :param written: the era that the owner knew when it made the row; ``None`` if
            the row has no era, or was dropped.
        """
        if self._era is None:
            self._known[entry] = row
        elif written == self._era:
            self._replace(entry, row)
        else:
            self._merge_backup_row(entry, row)
        return self._known[entry]

    def end_if_due(self, now_s: float) -> bool:
        """End the hold if it is due; whether it ended now."""
        if not self.active:
            return False
        self.duration_s = now_s - self._since_s
        # Without its own row on the log, an entry has no claim to accept.
        unwritten = self._entry_id in self._retained
        waits = bool(self._awaited) and self.duration_s < MAX_HOLD_S
        self.active = unwritten or waits
        return not self.active

    def known_row(self, entry: EntryId) -> Row:
        """The row that counts for ``entry``."""
        return self._known.get(entry, {})

    @property
    def missing(self) -> frozenset[EntryId]:
        """The awaited entries that have not written in the new era."""
        return frozenset(self._awaited)

    @property
    def retained_count(self) -> int:
        """For how many entries the row known before the restore still counts."""
        return len(self._retained)

    def _replace(self, entry: EntryId, row: Row) -> None:
        self._known[entry] = row
        self._retained.discard(entry)
        self._awaited.discard(entry)

    def _merge_backup_row(self, entry: EntryId, row: Row) -> None:
        if entry not in self._known and self.active and entry != self._entry_id:
            self._awaited.add(entry)
        self._known[entry] = merge_max(self._known.get(entry, {}), row)
        self._retained.add(entry)


def merge_max(known: Row, read: Row) -> Row:
    """The maximum of claimed, used and lost tokens of both rows, per account."""
    return {
        account: _max_claim(
            known.get(account, AccountClaim()), read.get(account, AccountClaim())
        )
        for account in known.keys() | read.keys()
    }


def _max_claim(known: AccountClaim, read: AccountClaim) -> AccountClaim:
    return attrs.evolve(
        known,
        claimed_tokens=max(known.claimed_tokens, read.claimed_tokens),
        used_tokens=max(known.used_tokens, read.used_tokens),
        lost_tokens=max(known.lost_tokens, read.lost_tokens),
    )
