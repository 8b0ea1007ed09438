"""The rows of all entries, folded from the log."""

from collections.abc import Mapping

import attrs

from celerytrack.ids import AccountId, EntryId
from celerytrack.prepaid.shares import AccountClaim


@attrs.define
class RowSums:
    """Sums over the claims of several entries on one account.

    :ivar wanting_entries: how many of the entries lack tokens.
    """

    used_tokens: int = 0
    lost_tokens: int = 0
    rate_tokens_per_s: int = 0
    wanting_entries: int = 0

    def add(self, claim: AccountClaim, sign: int) -> None:
        """Add ``claim``, or subtract it with a ``sign`` of -1."""
        self.used_tokens += sign * claim.used_tokens
        self.lost_tokens += sign * claim.lost_tokens
        self.rate_tokens_per_s += sign * claim.rate_tokens_per_s
        self.wanting_entries += sign * (claim.wanted_tokens > 0)


class FoldedRows:
    """The newest row of each entry, with sums per account.

    Sums are updated as rows are folded, so that the work before each write of a row
    does not grow with the fleet (``bench.rows_bench``).

    :param entry_id: this entry; its own row is included once it is on the log.
    """

    def __init__(self, entry_id: EntryId) -> None:
        self.entry_id = entry_id
        self._rows: dict[EntryId, Mapping[AccountId, AccountClaim]] = {}
        self._claimed: dict[AccountId, int] = {}
        self._others: dict[AccountId, RowSums] = {}
        self._unreadable: set[EntryId] = set()

    @property
    def all_readable(self) -> bool:
        """Whether the claims of every row are known."""
        return not self._unreadable

    def fold(
        self, entry: EntryId, row: Mapping[AccountId, AccountClaim]
    ) -> set[AccountId]:
        """Store the newest row of ``entry``; the accounts whose claims it affects."""
        self._unreadable.discard(entry)
        old = self._rows.get(entry, {})
        self._rows[entry] = row
        accounts = old.keys() | row.keys()
        for account in accounts:
            before = old[account].claimed_tokens if account in old else 0
            after = row[account].claimed_tokens if account in row else 0
            self._claimed[account] = self._claimed.get(account, 0) + after - before
        if entry != self.entry_id:
            self._sum(old, -1)
            self._sum(row, 1)
        return set(accounts)

    def _sum(self, row: Mapping[AccountId, AccountClaim], sign: int) -> None:
        for account, claim in row.items():
            self._others.setdefault(account, RowSums()).add(claim, sign)

    def mark_unreadable(self, entry: EntryId) -> None:
        """Record that the newest row of ``entry`` cannot be decoded."""
        self._unreadable.add(entry)

    def entries(self) -> set[EntryId]:
        """The entries that have a row."""
        return set(self._rows)

    def own_row(self) -> Mapping[AccountId, AccountClaim]:
        return self._rows.get(self.entry_id, {})

    def claimed_tokens(self, account: AccountId) -> int:
        """The sum of all claims on ``account``."""
        return self._claimed.get(account, 0)

    def others(self, account: AccountId) -> RowSums:
        """Sums over the other entries' claims on ``account``."""
        return self._others.get(account, RowSums())

    def entries_by_unspent(self, account: AccountId) -> list[EntryId]:
        """The other entries that probably hold tokens of ``account``, largest first."""
        unspent = {
            entry: claim.claimed_tokens - claim.used_tokens
            for entry, claim in self._others_claims(account).items()
        }
        holders = (entry for entry, tokens in unspent.items() if tokens > 0)
        return sorted(holders, key=lambda e: unspent[e], reverse=True)

    def _others_claims(self, account: AccountId) -> dict[EntryId, AccountClaim]:
        return {
            entry: row[account]
            for entry, row in self._rows.items()
            if entry != self.entry_id and account in row
        }
