"""Prepaid totals shared among entries, without I/O and without a vote.

Each entry owns one row in a keyed topic of the platform's log: the number of
tokens of each client account that it *claims*, cumulative over the day and
never below what it spent. Nobody else writes the row. The rule that keeps
the total:

    An entry spends only up to an *allowance*. The allowance rises to the
    entry's claim when the entry, having folded the topic up to a place at or
    after its own row, sees the claims of all rows together fit the total.
    To lower a claim, an entry first lowers its allowance, then writes.

Why it holds: at the last place where an allowance rose, the rows summed to
at most the total, and every allowance was at most its row; after it,
allowances only fell. Nothing rests on clocks, on who is alive or on readers
agreeing: a reader that saw only the newest row of each key is as good as one
that saw them all, so the topic may lose its history at any time. Two entries
that claim the same free tokens at once both see a sum that does not fit, or
only the earlier one sees it fit; the other withdraws.

An entry that dies leaves its row: all it claimed counts as spent. Its next
start on the same instance takes the row over, with the whole claim as spent,
since nobody knows what was delivered after the last row.

The present time ``now_s`` (monotonic seconds) is an argument of each method
that decides.
"""

import math
from collections.abc import Iterable, Mapping

import attrs

from celerytrack.ids import AccountId, EntryId

COVER_S = 10.0
"""Seconds of its own recent spend that an entry keeps in hand. An entry cut
off from the log serves on from that; an entry that dies loses it. Cuts of 9 s
are among those the deployments list, and a tenth more covers the write
before them."""
RATE_WINDOW_S = 8.0
"""Time constant of the spend rate: long enough to span the gaps between large
prompts, short enough to follow an account that multiplies its traffic."""
FIRST_SHARE = 0.35
"""Share of a total that all entries together claim before any spend is seen,
so that a cut in the first seconds finds tokens in hand."""
KNOWN_SHARE = 0.05
"""An entry that spent less than this part of its even share of a total does
not know the account's rate yet, and holds the first share."""
MAX_SHARE = 0.5
"""Most of its even part of what is left that an entry takes at once: a new
arrival and the others' next claims must find something free."""
RESERVE_SHARE = 0.005
"""Share of a total that is never claimed: the tokens that an endpoint's count
and ours may differ by in streams that broke off."""
REFILL_BELOW = 0.6
"""An entry claims again when it holds less than this share of its cover."""
RELEASE_ABOVE = 2.5
"""An entry gives back what it holds beyond this many times its cover, when
another entry waits for tokens of the account."""
LARGEST_DECAY_S = 20.0
"""How fast the memory of an account's largest request halves."""


@attrs.frozen
class Row:
    """What one entry published of one account.

    :ivar claimed_tokens: what it may have spent, cumulative.
    :ivar used_tokens: what it knows was spent; a lower bound for others.
    :ivar wanted_tokens: what it lacks for requests it has at hand.
    """

    claimed_tokens: int = 0
    used_tokens: int = 0
    wanted_tokens: int = 0


@attrs.frozen
class Reservation:
    """Tokens set aside for one request at its largest."""

    account: AccountId
    tokens: int


@attrs.define
class _Share:
    """This entry's part of one account.

    :ivar claim_tokens: what the next written row claims.
    :ivar allowance_tokens: what may be spent; at most the row on the log.
    :ivar adopted_tokens: part of what is spent that an earlier start of this
        entry had claimed, of which ``adopted_used_tokens`` are known as used.
    """

    claim_tokens: int = 0
    allowance_tokens: int = 0
    spent_tokens: int = 0
    adopted_tokens: int = 0
    adopted_used_tokens: int = 0
    reserved_tokens: int = 0
    wanted_tokens: int = 0
    rate_tokens_per_s: float = 0.0
    rated_at_s: float = 0.0
    largest_tokens: float = 0.0
    seen: bool = False

    @property
    def left_tokens(self) -> int:
        return self.allowance_tokens - self.spent_tokens - self.reserved_tokens

    @property
    def floor_tokens(self) -> int:
        return self.spent_tokens + self.reserved_tokens

    @property
    def used_tokens(self) -> int:
        """What is known to be used, by this start and the ones before."""
        return self.spent_tokens - self.adopted_tokens + self.adopted_used_tokens


class PrepaidBook:
    """All rows as this entry folded them, and its own share of each account.

    :param me: this entry; its row is known by this name.
    """

    def __init__(self, me: EntryId) -> None:
        self.me = me
        self._totals: dict[AccountId, int] = {}
        self._rows: dict[EntryId, Mapping[AccountId, Row]] = {}
        self._claimed: dict[AccountId, int] = {}
        self._shares: dict[AccountId, _Share] = {}
        self._in_flight: Mapping[AccountId, Row] | None = None

    # -- what is declared and what was read --------------------------------

    def set_totals(self, totals: Mapping[AccountId, int]) -> None:
        """Take the prepaid totals of the configuration in force.

        A total never falls here: a lower one cannot take back what was
        granted under the higher.
        """
        for account, tokens in totals.items():
            self._totals[account] = max(tokens, self._totals.get(account, 0))
            self._accept(account)

    def fold(self, entry: EntryId, row: Mapping[AccountId, Row]) -> None:
        """Take the newest row of ``entry``; ``{}`` if it was dropped."""
        old = self._rows.get(entry, {})
        self._rows[entry] = row
        for account in old.keys() | row.keys():
            before = old[account].claimed_tokens if account in old else 0
            after = row[account].claimed_tokens if account in row else 0
            self._claimed[account] = self._claimed.get(account, 0) + after - before
            self._accept(account)

    def keep_only(self, entries: set[EntryId]) -> None:
        """Drop the rows of all but ``entries``: theirs are the only ones left."""
        for entry in self._rows.keys() - entries:
            self.fold(entry, {})

    def adopt(self) -> None:
        """Take over the row that an earlier start of this entry left.

        Its whole claim counts as spent: what it delivered after its last
        row is known to nobody.
        """
        for account, row in self._rows.get(self.me, {}).items():
            self._shares[account] = _Share(
                claim_tokens=row.claimed_tokens,
                allowance_tokens=row.claimed_tokens,
                spent_tokens=row.claimed_tokens,
                adopted_tokens=row.claimed_tokens,
                adopted_used_tokens=row.used_tokens,
            )

    # -- requests ----------------------------------------------------------

    def limited(self, account: AccountId) -> bool:
        """Whether ``account`` has a prepaid total."""
        return account in self._totals

    def reserve(
        self, account: AccountId, tokens: int, now_s: float
    ) -> Reservation | None:
        """Set ``tokens`` aside, or ``None`` if the allowance lacks them."""
        share = self._share(account)
        share.seen = True
        share.largest_tokens = max(share.largest_tokens, float(tokens))
        if tokens > share.left_tokens:
            share.wanted_tokens = max(share.wanted_tokens, tokens - share.left_tokens)
            return None
        share.reserved_tokens += tokens
        return Reservation(account, tokens)

    def commit(self, held: Reservation, used_tokens: int, now_s: float) -> None:
        """The request ended having used ``used_tokens``; the rest is free.

        A count above what was reserved is cut to it: the reservation is the
        request's largest cost, and the allowance covers no more.
        """
        share = self._share(held.account)
        used = min(used_tokens, held.tokens)
        share.reserved_tokens -= held.tokens
        share.spent_tokens += used
        self._rate(share, now_s)
        share.rate_tokens_per_s += used / RATE_WINDOW_S

    def unreserve(self, held: Reservation) -> None:
        """The request did not run: all of it is free again."""
        self._share(held.account).reserved_tokens -= held.tokens

    def exhausted(self, account: AccountId, tokens: int) -> bool:
        """Whether ``tokens`` certainly do not fit what is left of the total.

        Only what entries know to be spent counts, a lower bound, so that a
        final refusal is never given for tokens that merely lie elsewhere.
        """
        share = self._share(account)
        used = share.used_tokens + share.reserved_tokens
        for entry, row in self._rows.items():
            if entry != self.me and account in row:
                used += row[account].used_tokens
        return used + tokens > self._totals.get(account, 0)

    def left_tokens(self, account: AccountId) -> int:
        """What may still be reserved of ``account`` here."""
        return self._share(account).left_tokens

    # -- planning ----------------------------------------------------------

    def plan(self, entries: int, now_s: float) -> bool:
        """Decide what to claim of each account next.

        :param entries: entries alive, this one included.
        :returns: whether the row should be written soon.
        """
        urgent = False
        for account in self._totals:
            urgent |= self._plan_account(account, max(1, entries), now_s)
        return urgent

    def next_row(self) -> dict[AccountId, Row]:
        """The row to write now, with allowances lowered to its claims.

        :meth:`row_folded` must follow before the next call.
        """
        row = {}
        for account, share in self._shares.items():
            share.allowance_tokens = min(share.allowance_tokens, share.claim_tokens)
            row[account] = Row(
                share.claim_tokens, share.used_tokens, share.wanted_tokens
            )
        self._in_flight = row
        return row

    def row_folded(self) -> None:
        """The row of :meth:`next_row` is on the log and was folded."""
        self._in_flight = None
        for account in self._shares:
            self._accept(account)

    def return_unspent(self) -> None:
        """Lower every claim to what is spent or reserved: this entry leaves."""
        for share in self._shares.values():
            share.claim_tokens = share.floor_tokens
            share.wanted_tokens = 0

    def _plan_account(self, account: AccountId, entries: int, now_s: float) -> bool:
        share = self._share(account)
        self._rate(share, now_s)
        published = self._rows.get(self.me, {}).get(account, Row())
        free = self._free(account) + published.claimed_tokens
        if self._free(account) < 0 and share.claim_tokens > share.allowance_tokens:
            # Our claim did not fit: withdraw it, or it blocks all others'.
            fitting = min(share.claim_tokens, free)
            share.claim_tokens = max(share.allowance_tokens, fitting)
            return True
        goal = self._goal_tokens(account, share, entries)
        missing = share.wanted_tokens
        share.wanted_tokens = 0
        in_hand = share.claim_tokens - share.floor_tokens
        room = max(0, free - share.claim_tokens)
        if missing or in_hand < goal * REFILL_BELOW:
            even = room if missing > room // 2 else max(missing, room // 2)
            more = min(room, even, max(missing, goal - in_hand))
            share.claim_tokens += max(0, more)
            short = missing - max(0, more)
            if short > 0:
                share.wanted_tokens = short
            return more > 0 or short > 0
        return self._give_back(account, share, goal, in_hand)

    def _goal_tokens(self, account: AccountId, share: _Share, entries: int) -> int:
        total = self._usable(account)
        unspent = max(0, total - self._claimed_by_others(account) - share.floor_tokens)
        cover = share.rate_tokens_per_s * COVER_S + 2 * share.largest_tokens
        spent_here = share.spent_tokens - share.adopted_tokens
        if spent_here < total * KNOWN_SHARE / entries:
            cover = max(cover, unspent * FIRST_SHARE / entries)
        return int(min(cover, unspent * MAX_SHARE))

    def _give_back(
        self, account: AccountId, share: _Share, goal: int, in_hand: int
    ) -> bool:
        wanted = sum(
            row[account].wanted_tokens
            for entry, row in self._rows.items()
            if entry != self.me and account in row
        )
        if wanted <= 0 or self._free(account) >= wanted:
            return False
        spare = in_hand - min(goal, math.ceil(in_hand / 2))
        if spare <= 0:
            return False
        share.claim_tokens -= min(spare, wanted)
        return True

    # -- internals ---------------------------------------------------------

    def _share(self, account: AccountId) -> _Share:
        return self._shares.setdefault(account, _Share())

    def _usable(self, account: AccountId) -> int:
        return int(self._totals.get(account, 0) * (1 - RESERVE_SHARE))

    def _free(self, account: AccountId) -> int:
        return self._usable(account) - self._claimed.get(account, 0)

    def _claimed_by_others(self, account: AccountId) -> int:
        mine = self._rows.get(self.me, {}).get(account, Row()).claimed_tokens
        return self._claimed.get(account, 0) - mine

    def _accept(self, account: AccountId) -> None:
        # The one place where an allowance rises.
        mine = self._rows.get(self.me, {}).get(account)
        if mine is None or self._free(account) < 0:
            return
        share = self._share(account)
        safe = min(mine.claimed_tokens, share.claim_tokens)
        if self._in_flight is not None and account in self._in_flight:
            # A lower row on its way to the log would otherwise land under an
            # allowance raised to the row before it.
            safe = min(safe, self._in_flight[account].claimed_tokens)
        share.allowance_tokens = max(share.allowance_tokens, safe)

    @staticmethod
    def _rate(share: _Share, now_s: float) -> None:
        past_s = max(0.0, now_s - share.rated_at_s)
        share.rate_tokens_per_s *= math.exp(-past_s / RATE_WINDOW_S)
        share.largest_tokens *= 0.5 ** (past_s / LARGEST_DECAY_S)
        share.rated_at_s = now_s


def total_claimed(rows: Iterable[Mapping[AccountId, Row]], account: AccountId) -> int:
    """What ``rows`` together claim of ``account``."""
    return sum(row[account].claimed_tokens for row in rows if account in row)
