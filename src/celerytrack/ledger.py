"""The account ledger: a fold over records on the platform log.

The ledger stream holds four kinds of record (JSON objects with a ``type``):

- ``topup``: an operator adds ``tokens`` to an account's budget.
- ``grant``: an entry moves ``tokens`` of an account into its escrow.
- ``settle``: an entry closes a grant, saying how much of it was spent;
  the rest goes back to the account.
- ``snapshot``: the whole fold at an offset, so readers survive retention.

The fold is the source of truth and never lets grants outrun the budget: a
grant that does not fit at its place in the stream is void. Entries append
grants by conditional append at the offset they folded up to, so a grant they
see accepted by the log is one the fold counts as valid.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from celerytrack.ids import AccountId, EntryId, GrantId


@attrs.define
class AccountLedger:
    """One account's totals, in tokens.

    ``budget_tokens = free + open grants + settled spend`` always holds.
    """

    budget_tokens: int = 0
    open_tokens: int = 0
    spent_tokens: int = 0

    @property
    def free_tokens(self) -> int:
        """Tokens not yet granted to any entry."""
        return self.budget_tokens - self.open_tokens - self.spent_tokens


@attrs.frozen
class OpenGrant:
    """A grant that its entry has not settled yet."""

    grant_id: GrantId
    account: AccountId
    entry: EntryId
    tokens: int


@attrs.define
class Ledger:
    """The fold of the ledger stream up to ``next_offset``.

    Apply records in offset order with :meth:`apply`; read totals from
    :attr:`accounts` and open grants from :attr:`grants`.
    """

    next_offset: int = 0
    accounts: dict[AccountId, AccountLedger] = attrs.field(factory=dict)
    grants: dict[GrantId, OpenGrant] = attrs.field(factory=dict)
    settled: set[GrantId] = attrs.field(factory=set)
    topups: set[str] = attrs.field(factory=set)
    void_grants: set[GrantId] = attrs.field(factory=set)

    def account(self, account: AccountId) -> AccountLedger:
        """The totals of ``account``, created empty if unseen."""
        return self.accounts.setdefault(account, AccountLedger())

    def apply(self, offset: int, record: Mapping[str, Any]) -> None:
        """Fold one record found at ``offset``; unknown types are skipped.

        A record below :attr:`next_offset` was folded already and is skipped,
        so a reader may see the same offsets twice (a catch-up and a tail).
        """
        if offset < self.next_offset:
            return
        kind = record.get("type")
        if kind == "topup":
            self._topup(record)
        elif kind == "grant":
            self._grant(record)
        elif kind == "settle":
            self._settle(record)
        elif kind == "snapshot":
            self._restore(record)
        self.next_offset = offset + 1

    def apply_all(self, records: Iterable[tuple[int, Mapping[str, Any]]]) -> None:
        """Fold ``(offset, record)`` pairs in order."""
        for offset, record in records:
            self.apply(offset, record)

    def fits(self, account: AccountId, tokens: int) -> bool:
        """Whether a grant of ``tokens`` would be valid now."""
        return 0 < tokens <= self.account(account).free_tokens

    def snapshot(self) -> dict[str, Any]:
        """A ``snapshot`` record holding the whole fold."""
        return {
            "type": "snapshot",
            "accounts": {
                a: [t.budget_tokens, t.open_tokens, t.spent_tokens]
                for a, t in self.accounts.items()
            },
            "grants": [
                [g.grant_id, g.account, g.entry, g.tokens] for g in self.grants.values()
            ],
            "topups": sorted(self.topups),
        }

    def _topup(self, record: Mapping[str, Any]) -> None:
        # A topup whose reply was lost may be appended twice by a retrying
        # operator; the topup id makes the second one a no-op.
        topup_id = str(record["topup_id"])
        if topup_id in self.topups:
            return
        self.topups.add(topup_id)
        self.account(AccountId(record["account"])).budget_tokens += int(
            record["tokens"]
        )

    def _grant(self, record: Mapping[str, Any]) -> None:
        grant_id = GrantId(record["grant_id"])
        account = AccountId(record["account"])
        tokens = int(record["tokens"])
        if grant_id in self.grants or grant_id in self.settled:
            return
        # Void a grant that would overrun: if two writers ever raced past the
        # conditional append, the fold still never hands out tokens twice.
        if not self.fits(account, tokens):
            self.void_grants.add(grant_id)
            return
        self.grants[grant_id] = OpenGrant(
            grant_id, account, EntryId(record["entry"]), tokens
        )
        self.account(account).open_tokens += tokens

    def _settle(self, record: Mapping[str, Any]) -> None:
        grant = self.grants.pop(GrantId(record["grant_id"]), None)
        if grant is None:
            return
        spent = min(max(int(record["spent_tokens"]), 0), grant.tokens)
        totals = self.account(grant.account)
        totals.open_tokens -= grant.tokens
        totals.spent_tokens += spent
        self.settled.add(grant.grant_id)

    def _restore(self, record: Mapping[str, Any]) -> None:
        self.accounts = {
            AccountId(a): AccountLedger(*t) for a, t in record["accounts"].items()
        }
        self.grants = {
            GrantId(g[0]): OpenGrant(
                GrantId(g[0]), AccountId(g[1]), EntryId(g[2]), g[3]
            )
            for g in record["grants"]
        }
        self.topups = set(record["topups"])
