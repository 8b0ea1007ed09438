"""All entries' rows as one entry folded them from the log."""

from collections.abc import Mapping

import attrs

from celerytrack.ids import AccountId, EntryId
from celerytrack.prepaid.shares import Row


@attrs.define
class Sums:
    """What the rows of several entries say of one account, together.

    :ivar wanting: how many of them lack tokens.
    """

    used_tokens: int = 0
    lost_tokens: int = 0
    rate_tokens_per_s: int = 0
    wanting: int = 0

    def add(self, row: Row, times: int) -> None:
        """Count ``row``, or with ``times`` -1 no longer."""
        self.used_tokens += times * row.used_tokens
        self.lost_tokens += times * row.lost_tokens
        self.rate_tokens_per_s += times * row.rate_tokens_per_s
        self.wanting += times * (row.wanted_tokens > 0)


class FoldedRows:
    """The newest row of each entry, and what they come to.

    Sums are kept as rows are folded, so that what an entry does before each row that it
    writes does not grow with the fleet (``bench.rows_bench``).

    :param me: this entry; its own row is among them once it is on the log.
    """

    def __init__(self, me: EntryId) -> None:
        self.me = me
        self._rows: dict[EntryId, Mapping[AccountId, Row]] = {}
        self._claimed: dict[AccountId, int] = {}
        self._others: dict[AccountId, Sums] = {}
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
        if entry != self.me:
            self._sum(old, -1)
            self._sum(row, 1)
        return set(accounts)

    def _sum(self, row: Mapping[AccountId, Row], times: int) -> None:
        for account, published in row.items():
            self._others.setdefault(account, Sums()).add(published, times)

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

    def others(self, account: AccountId) -> Sums:
        """What the other entries published of ``account``."""
        return self._others.get(account, Sums())

    def richest(self, account: AccountId) -> list[EntryId]:
        """The other entries by how much of ``account`` they probably hold."""
        left = {
            entry: row.claimed_tokens - row.used_tokens
            for entry, row in self._published(account).items()
        }
        holding = (entry for entry, tokens in left.items() if tokens > 0)
        return sorted(holding, key=lambda e: left[e], reverse=True)

    def _published(self, account: AccountId) -> dict[EntryId, Row]:
        return {
            entry: row[account]
            for entry, row in self._rows.items()
            if entry != self.me and account in row
        }
