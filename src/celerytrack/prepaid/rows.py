"""All entries' rows as one entry folded them from the log."""

from collections.abc import Mapping

from celerytrack.ids import AccountId, EntryId
from celerytrack.prepaid.shares import Row


class FoldedRows:
    """The newest row of each entry, and what they claim together.

    :param me: this entry; its own row is among them once it is on the log.
    """

    def __init__(self, me: EntryId) -> None:
        self.me = me
        self._rows: dict[EntryId, Mapping[AccountId, Row]] = {}
        self._claimed: dict[AccountId, int] = {}
        self._unreadable: set[EntryId] = set()

    @property
    def all_readable(self) -> bool:
        """Whether what every row claims is known."""
        return not self._unreadable

    def fold(self, entry: EntryId, row: Mapping[AccountId, Row]) -> set[AccountId]:
        """Take the newest row of ``entry``; the accounts that it concerns."""
        self._unreadable.discard(entry)
        old = self._rows.get(entry, {})
        self._rows[entry] = row
        accounts = old.keys() | row.keys()
        for account in accounts:
            before = old[account].claimed_tokens if account in old else 0
            after = row[account].claimed_tokens if account in row else 0
            self._claimed[account] = self._claimed.get(account, 0) + after - before
        return set(accounts)

    def unreadable(self, entry: EntryId) -> None:
        """The newest row of ``entry`` cannot be read."""
        self._unreadable.add(entry)

    def entries(self) -> set[EntryId]:
        """The entries that have a row."""
        return set(self._rows)

    def mine(self) -> Mapping[AccountId, Row]:
        """This entry's row."""
        return self._rows.get(self.me, {})

    def claimed_tokens(self, account: AccountId) -> int:
        """What all rows claim of ``account``."""
        return self._claimed.get(account, 0)

    def others(self, account: AccountId) -> dict[EntryId, Row]:
        """What the other entries published of ``account``."""
        return {
            entry: row[account]
            for entry, row in self._rows.items()
            if entry != self.me and account in row
        }

    def richest(self, account: AccountId, count: int) -> list[EntryId]:
        """The entries that probably hold most of ``account``, best first."""
        left = {
            entry: row.claimed_tokens - row.used_tokens
            for entry, row in self.others(account).items()
        }
        return sorted(left, key=lambda e: left[e], reverse=True)[:count]
