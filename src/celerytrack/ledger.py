"""The account ledger: a fold over the ``ledger`` stream of the platform log.

Every change to an account is a record on the stream (a JSON object with a
``type``), and only the fold decides the effect of each record:

- ``topup``: an operator adds ``tokens`` to an account's budget.
- ``grant``: an entry moves ``tokens`` of an account into its escrow; void if
  the account has fewer free tokens at the record's offset.
- ``bills``: an entry charges finished requests to its grants. A request id that
  was billed before is a duplicate and charges nothing; a charge to a closed
  grant is void, since the grant id is the fencing token.
- ``settle``: closes a grant, written by its holder or, once the holder is gone,
  by another entry; uncharged tokens return to the account.
- ``want``: an entry needs tokens that are not free; holders of idle grants of
  the account settle them in response. Totals do not change.
- ``intent``, ``finished``, ``abandoned``: the at-most-once record of a
  non-idempotent call; the first intent for an idempotency key owns it.
- ``snapshot``: the whole fold at an offset, so that readers do not need the
  records that retention has trimmed.

Because the fold decides, writers append unconditionally and learn the outcome
by folding their own record. Each entry numbers its records (``writer``,
``seq``). A record whose number was folded before is skipped, so a writer may
append it again after a lost reply, even an hour later. All state for
deduplication is bounded by count and part of the snapshot: two readers at the
same offset always agree, whether they folded the whole stream or started from
a snapshot.
"""

import enum
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from celerytrack._recent import RecentKeys
from celerytrack.ids import AccountId, EntryId, GrantId, RequestId

MAX_REMEMBERED_IDS = 20_000
"""Request ids and top-up ids that are kept: the window in which a caller's retry at
another entry is recognised (71 s at 281 requests/s, 8 min at 40/s)."""
MAX_REMEMBERED_INTENTS = 10_000
"""Intents of non-idempotent calls that are kept, with their responses."""
MAX_REMEMBERED_WRITERS = 5_000
"""Entry processes whose last sequence number is kept."""


class BillOutcome(enum.Enum):
    """The effect of one bill in the fold."""

    CHARGED = "charged"
    DUPLICATE = "duplicate"
    """The request id was billed before: nothing is charged."""
    VOID = "void"
    """A named grant is closed or too small: nothing is charged."""


class IntentState(enum.Enum):
    """The known progress of a non-idempotent call."""

    STARTED = "started"
    FINISHED = "finished"


@attrs.frozen
class Bill:
    """One request's charge.

    :ivar charges: ``(grant id, tokens)`` pairs, all of the same account.
    """

    request_id: RequestId
    account: AccountId
    work_class: str
    charges: tuple[tuple[GrantId, int], ...]

    @property
    def tokens(self) -> int:
        """The total charge."""
        return sum(n for _, n in self.charges)

    def to_json(self) -> list[Any]:
        """The bill's form in a ``bills`` record."""
        charges = [[g, n] for g, n in self.charges]
        return [self.request_id, self.account, self.work_class, charges]

    @classmethod
    def from_json(cls, item: list[Any]) -> "Bill":
        """The bill that :meth:`to_json` encoded."""
        request_id, account, work_class, charges = item
        pairs = tuple((GrantId(g), int(n)) for g, n in charges)
        return cls(RequestId(request_id), AccountId(account), work_class, pairs)


@attrs.define
class AccountLedger:
    """One account's totals, in tokens.

    Invariant: ``budget_tokens = free_tokens + open_tokens + spent_tokens``.
    ``open_tokens`` counts the uncharged tokens of open grants.
    """

    budget_tokens: int = 0
    open_tokens: int = 0
    spent_tokens: int = 0

    @property
    def free_tokens(self) -> int:
        """Tokens that are not granted to any entry."""
        return self.budget_tokens - self.open_tokens - self.spent_tokens


@attrs.define
class OpenGrant:
    """A grant that is not settled yet.

    :ivar boot_id: the incarnation of the entry process that took it.
    :ivar spent_tokens: charged by bills so far.
    """

    grant_id: GrantId
    account: AccountId
    entry: EntryId
    boot_id: str
    tokens: int
    spent_tokens: int = 0

    @property
    def remaining_tokens(self) -> int:
        """Tokens that no bill has charged yet."""
        return self.tokens - self.spent_tokens


@attrs.frozen
class Intent:
    """The record of a non-idempotent call.

    :ivar claim_id: the attempt that owns the call.
    """

    claim_id: str
    state: IntentState = IntentState.STARTED
    answer: Any = None


def _recent() -> RecentKeys:
    return RecentKeys(MAX_REMEMBERED_IDS)


@attrs.define
class Ledger:
    """The fold of the ledger stream up to ``next_offset``.

    :ivar billed: request ids that were charged.
    :ivar writers: each writer's last sequence number.
    """

    next_offset: int = 0
    accounts: dict[AccountId, AccountLedger] = attrs.field(factory=dict)
    grants: dict[GrantId, OpenGrant] = attrs.field(factory=dict)
    topups: RecentKeys = attrs.field(factory=_recent)
    billed: RecentKeys = attrs.field(factory=_recent)
    intents: OrderedDict[str, Intent] = attrs.field(factory=OrderedDict)
    writers: OrderedDict[str, int] = attrs.field(factory=OrderedDict)

    def account(self, account: AccountId) -> AccountLedger:
        """The totals of ``account``, created empty if unseen."""
        return self.accounts.setdefault(account, AccountLedger())

    def apply(self, offset: int, record: Mapping[str, Any]) -> list[BillOutcome]:
        """Fold the record at ``offset``; unknown types are skipped.

        A record below :attr:`next_offset` is already folded and is skipped, so a
        reader may pass the same offsets twice, from a catch-up and from a tail.

        :returns: for a ``bills`` record, each bill's outcome in order.
        """
        if offset < self.next_offset:
            return []
        self.next_offset = offset + 1
        if self._is_repeat(record):
            return []
        outcomes: list[BillOutcome] = []
        match record.get("type"):
            case "topup":
                self._topup(record)
            case "grant":
                self._grant(record)
            case "bills":
                outcomes = [
                    self._bill(Bill.from_json(item)) for item in record["bills"]
                ]
            case "settle":
                self._settle(GrantId(record["grant_id"]))
            case "intent" | "finished" | "abandoned":
                self._intent(record)
            case "snapshot":
                self._restore(record)
        return outcomes

    def apply_all(self, records: Iterable[tuple[int, Mapping[str, Any]]]) -> None:
        """Fold ``(offset, record)`` pairs in order."""
        for offset, record in records:
            self.apply(offset, record)

    def can_grant(self, account: AccountId, tokens: int) -> bool:
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
            "grants": [list(attrs.astuple(g)) for g in self.grants.values()],
            "topups": list(self.topups),
            "billed": list(self.billed),
            "intents": [
                [key, i.claim_id, i.state.value, i.answer]
                for key, i in self.intents.items()
            ],
            "writers": list(self.writers.items()),
        }

    def _is_repeat(self, record: Mapping[str, Any]) -> bool:
        # A writer repeats an append whose reply was lost, though the log may have
        # taken it. Without the number, a grant would be held twice and a settled
        # grant could be opened again.
        writer = record.get("writer")
        if writer is None:
            return False
        seq = int(record["seq"])
        if seq <= self.writers.get(writer, -1):
            return True
        self.writers[writer] = seq
        self.writers.move_to_end(writer)
        if len(self.writers) > MAX_REMEMBERED_WRITERS:
            self.writers.popitem(last=False)
        return False

    def _topup(self, record: Mapping[str, Any]) -> None:
        # An operator may repeat a top-up whose reply was lost; the top-up id makes
        # the second record a no-op.
        if self.topups.add(str(record["topup_id"])):
            totals = self.account(AccountId(record["account"]))
            totals.budget_tokens += int(record["tokens"])

    def _grant(self, record: Mapping[str, Any]) -> None:
        grant_id = GrantId(record["grant_id"])
        account = AccountId(record["account"])
        tokens = int(record["tokens"])
        # Two entries that saw the same free tokens may both request them. The
        # second grant in the stream does not fit and is void in every reader's
        # fold, so tokens are never granted twice.
        if grant_id in self.grants or not self.can_grant(account, tokens):
            return
        self.grants[grant_id] = OpenGrant(
            grant_id, account, EntryId(record["entry"]), str(record["boot_id"]), tokens
        )
        self.account(account).open_tokens += tokens

    def _bill(self, bill: Bill) -> BillOutcome:
        # A request may be billed by two entries, when its caller retried at
        # another one after the first entry's response was aborted, or appended
        # twice after a lost reply. Only the first bill in the stream charges.
        if bill.request_id in self.billed:
            return BillOutcome.DUPLICATE
        for grant_id, tokens in bill.charges:
            grant = self.grants.get(grant_id)
            # A holder that was paused beyond its lease may bill a grant that was
            # reclaimed meanwhile and whose tokens were granted to others.
            # Charging it would exceed the budget, so the whole bill is void.
            if (
                grant is None
                or grant.account != bill.account
                or tokens > grant.remaining_tokens
            ):
                return BillOutcome.VOID
        self.billed.add(bill.request_id)
        totals = self.account(bill.account)
        for grant_id, tokens in bill.charges:
            self.grants[grant_id].spent_tokens += tokens
        totals.open_tokens -= bill.tokens
        totals.spent_tokens += bill.tokens
        return BillOutcome.CHARGED

    def _settle(self, grant_id: GrantId) -> None:
        grant = self.grants.pop(grant_id, None)
        if grant is None:
            return
        self.account(grant.account).open_tokens -= grant.remaining_tokens

    def _intent(self, record: Mapping[str, Any]) -> None:
        key, claim_id = str(record["key"]), str(record["claim_id"])
        known = self.intents.get(key)
        match record["type"]:
            case "intent":
                self.intents.setdefault(key, Intent(claim_id))
            case "finished":
                if known is None or known.claim_id == claim_id:
                    self.intents[key] = Intent(
                        claim_id, IntentState.FINISHED, record.get("answer")
                    )
            case "abandoned":
                # Only the owner abandons a call, and only one that was never sent:
                # a late copy of the record must not free a call that ran since.
                if known == Intent(claim_id):
                    del self.intents[key]
        while len(self.intents) > MAX_REMEMBERED_INTENTS:
            self.intents.popitem(last=False)

    def _restore(self, record: Mapping[str, Any]) -> None:
        self.accounts = {
            AccountId(a): AccountLedger(*t) for a, t in record["accounts"].items()
        }
        grants = [OpenGrant(*item) for item in record["grants"]]
        self.grants = {g.grant_id: g for g in grants}
        self.topups = RecentKeys(MAX_REMEMBERED_IDS, record["topups"])
        self.billed = RecentKeys(MAX_REMEMBERED_IDS, record["billed"])
        self.intents = OrderedDict(
            (key, Intent(claim_id, IntentState(state), answer))
            for key, claim_id, state, answer in record["intents"]
        )
        self.writers = OrderedDict((w, int(n)) for w, n in record["writers"])
