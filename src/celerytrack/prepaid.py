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

An entry that dies leaves its row: what it claimed counts as spent. That would
lose all that entries hold for a cut whenever they are killed together, so a
row has two limits. The *hand* is spent freely. The rest of the claim is
locked until the entry has made no row for :data:`UNLOCK_S`: it is for cuts.
The next start of the entry on the same instance reads the time of the last
row on the same steady clock; if less than :data:`UNLOCK_S` passed until its
own start, the rest was never unlocked, and only the hand is lost.

Entries that are cut off from the log but reach each other move tokens by
gifts: the giver counts them as gone under its own row, the receiver may spend
them beyond its own. A gift that is lost on the way is spent by nobody.

The present time ``now_s`` (monotonic seconds) is an argument of each method
that decides.
"""

import math
from collections.abc import Mapping

import attrs

from celerytrack.ids import AccountId, EntryId

UNLOCK_S = 4.0
"""Time without a row after which the whole claim may be spent. A killed
process is back after about 2 s; its last row is up to a second older."""
HAND_S = 3.0
"""Seconds of its own recent spend in hand: until the rest is unlocked, and the
time between two rows. A kill loses it: with 4.5 s, quiet days with cuts earned
a tenth more of their worth, days that end in a loss of power a quarter less."""
COVER_S = 11.0
"""Seconds of its own recent spend that an entry claims in all. Cuts of 9 s
are among those the deployments list; the write before one may be 1 s old."""
RATE_WINDOW_S = 8.0
"""Time constant of the spend rate: long enough to span the gaps between large
prompts, short enough to follow an account that multiplies its traffic."""
FIRST_SHARE = 0.5
"""Share of a total that all entries together claim before any spend is seen,
so that a cut in the first seconds finds tokens to unlock."""
FIRST_HAND_SHARE = 0.12
"""Part of what is left that all entries together hold in hand until rates are
known: four seconds of a day in which the total lasts."""
KNOWN_SHARE = 0.3
"""The first shares shrink evenly until this part of a total is used: by then
entries know who spends it and how fast."""
IDLE_SHARE = 0.15
"""Part of the first shares that an entry keeps once others spend the account
and it does not: callers keep connections, so an account's traffic may come
through one entry, which would find the rest held by idle ones."""
POOL_SHARE = 0.5
"""Most of what is left that entries claim together, each by its part of the
spend. A loss of power everywhere loses what all hold; half of what was left is
there afterwards."""
LARGEST_SHARES = 1.5
"""Largest recent requests that all entries together claim beyond the cover;
gifts bring the parts to where the request is."""
RESERVE_SHARE = 0.005
"""Share of a total that is never claimed: the tokens that an endpoint's count
and ours may differ by in streams that broke off."""
URGENT_SHARE = 0.04
"""Share of a total that is claimed only for the most urgent requests, one at a
time: after a loss of power with little left they are still served. They take
a fifteenth of the tokens of all requests, so it lasts them half a minute."""
RELEASE_ABOVE = 1.5
"""An entry lowers its claim when it is this many times what it needs."""
GIFT_SHARE = 0.8
"""Most of what an entry has left that it gives away at once."""
LARGEST_DECAY_S = 20.0
"""How fast the memory of an account's largest request halves."""


@attrs.frozen
class Row:
    """What one entry published of one account; tokens, cumulative.

    :ivar claimed_tokens: what it may have spent at most.
    :ivar hand_tokens: what it may have spent while it writes rows.
    :ivar used_tokens: what it knows was spent; a lower bound for others.
    :ivar wanted_tokens: what it lacks for requests it has at hand.
    :ivar lost_tokens: what its earlier starts claimed and may not have used.
    :ivar rate_tokens_per_s: how fast it spends the account.
    """

    claimed_tokens: int = 0
    hand_tokens: int = 0
    used_tokens: int = 0
    wanted_tokens: int = 0
    lost_tokens: int = 0
    rate_tokens_per_s: int = 0


@attrs.frozen
class Reservation:
    """Tokens set aside for one request at its largest."""

    account: AccountId
    tokens: int


@attrs.define
class _Share:
    """This entry's part of one account.

    :ivar claim_tokens: what the next row claims.
    :ivar accepted_tokens: what may be spent once unlocked; at most the claim
        of the row on the log.
    :ivar gifted_tokens: given to other entries under our row.
    :ivar received_tokens: given to us under theirs.
    :ivar adopted_tokens: part of what is spent that an earlier start of this
        entry had claimed, of which ``adopted_used_tokens`` are known as used.
    """

    claim_tokens: int = 0
    accepted_tokens: int = 0
    spent_tokens: int = 0
    gifted_tokens: int = 0
    received_tokens: int = 0
    adopted_tokens: int = 0
    adopted_used_tokens: int = 0
    reserved_tokens: int = 0
    wanted_tokens: int = 0
    urgent_tokens: int = 0
    spend_tokens_per_s: float = 0.0
    rated_at_s: float = 0.0
    rated_since_s: float | None = None
    largest_tokens: float = 0.0

    @property
    def floor_tokens(self) -> int:
        """What our row must cover."""
        gifts = self.gifted_tokens - self.received_tokens
        return self.spent_tokens + self.reserved_tokens + gifts

    @property
    def used_tokens(self) -> int:
        """What is known to be used, by this start and the ones before."""
        return self.spent_tokens - self.adopted_tokens + self.adopted_used_tokens

    @property
    def lost_tokens(self) -> int:
        """What earlier starts claimed and may not have used."""
        return self.adopted_tokens - self.adopted_used_tokens

    def rate_tokens_per_s(self, now_s: float) -> float:
        """The rate of recent spend, as if it had always been so: an average
        that began at nothing is low for its first seconds."""
        if self.rated_since_s is None:
            return 0.0
        past_s = max(1.0, now_s - self.rated_since_s)
        return self.spend_tokens_per_s / -math.expm1(-past_s / RATE_WINDOW_S)

    def spend(self, tokens: int, now_s: float) -> None:
        """Count what a request used."""
        self.spent_tokens += tokens
        if self.rated_since_s is None:
            self.rated_since_s = now_s
        self.decay(now_s)
        self.spend_tokens_per_s += tokens / RATE_WINDOW_S

    def decay(self, now_s: float) -> None:
        """Let the rate and the largest request fade."""
        past_s = max(0.0, now_s - self.rated_at_s)
        self.spend_tokens_per_s *= math.exp(-past_s / RATE_WINDOW_S)
        self.largest_tokens *= 0.5 ** (past_s / LARGEST_DECAY_S)
        self.rated_at_s = now_s


@attrs.frozen
class _Goal:
    """What an entry should hold of an account beyond its floor."""

    hand_tokens: int
    claim_tokens: int


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
        self._row_made_s = float("inf")
        self._entries = 1
        self._leaving = False
        self._unreadable: set[EntryId] = set()

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
        self._unreadable.discard(entry)
        old = self._rows.get(entry, {})
        self._rows[entry] = row
        for account in old.keys() | row.keys():
            before = old[account].claimed_tokens if account in old else 0
            after = row[account].claimed_tokens if account in row else 0
            self._claimed[account] = self._claimed.get(account, 0) + after - before
            self._accept(account)

    def unreadable(self, entry: EntryId) -> None:
        """The newest row of ``entry`` cannot be read.

        Whatever it claims is unknown, so nothing more is taken until it can
        be: ignoring it would hand out its tokens a second time, as when
        entries of two releases run side by side.
        """
        self._unreadable.add(entry)

    def keep_only(self, entries: set[EntryId]) -> None:
        """Drop the rows of all but ``entries``: theirs are the only ones left."""
        for entry in self._rows.keys() - entries:
            self.fold(entry, {})

    def adopt(self, locked: bool, now_s: float) -> None:
        """Take over the row that an earlier start of this entry left.

        What it may have spent counts as spent: what it delivered after its
        last row is known to nobody.

        :param locked: whether it certainly never unlocked its claim.
        """
        self._row_made_s = now_s
        for account, row in self._rows.get(self.me, {}).items():
            lost = row.hand_tokens if locked else row.claimed_tokens
            self._shares[account] = _Share(
                claim_tokens=row.claimed_tokens,
                accepted_tokens=row.claimed_tokens,
                spent_tokens=lost,
                adopted_tokens=lost,
                adopted_used_tokens=row.used_tokens,
            )

    def never_unlocked(self, left: Mapping[AccountId, Row]) -> None:
        """Free what :meth:`adopt` counted as spent beyond the hand.

        Called at most once, when it turned out that the earlier start
        certainly never unlocked its claim.

        :param left: the row it left.
        """
        for account, row in left.items():
            share = self._share(account)
            beyond = min(row.claimed_tokens - row.hand_tokens, share.adopted_tokens)
            share.spent_tokens -= beyond
            share.adopted_tokens -= beyond

    # -- requests ----------------------------------------------------------

    def limited(self, account: AccountId) -> bool:
        """Whether ``account`` has a prepaid total."""
        return account in self._totals

    def reserve(
        self, account: AccountId, tokens: int, now_s: float, urgent: bool = False
    ) -> Reservation | None:
        """Set ``tokens`` aside, or ``None`` if too few may be spent here.

        :param urgent: whether no request is more urgent.
        """
        share = self._share(account)
        share.largest_tokens = max(share.largest_tokens, float(tokens))
        missing = tokens - self.left_tokens(account, now_s)
        if missing > 0:
            share.wanted_tokens = max(share.wanted_tokens, missing)
            if urgent:
                share.urgent_tokens = max(share.urgent_tokens, missing)
            return None
        share.reserved_tokens += tokens
        return Reservation(account, tokens)

    def commit(self, held: Reservation, used_tokens: int, now_s: float) -> None:
        """The request ended having used ``used_tokens``; the rest is free.

        A count above what was reserved is cut to it: the reservation is the
        request's largest cost, and no more is covered.
        """
        share = self._share(held.account)
        used = min(used_tokens, held.tokens)
        share.reserved_tokens -= held.tokens
        share.spend(used, now_s)

    def unreserve(self, held: Reservation) -> None:
        """The request did not run: all of it is free again."""
        self._share(held.account).reserved_tokens -= held.tokens

    def exhausted(self, account: AccountId, tokens: int) -> bool:
        """Whether ``tokens`` certainly do not fit what is left of the total.

        Only what entries know to be spent counts, a lower bound, so that a
        final refusal is never given for tokens that merely lie elsewhere.
        """
        return self._known_used(account) + tokens > self._totals.get(account, 0)

    def left_tokens(self, account: AccountId, now_s: float) -> int:
        """What may be reserved of ``account`` here at ``now_s``."""
        share = self._share(account)
        limit = share.accepted_tokens
        if now_s - self._row_made_s < UNLOCK_S:
            limit = min(limit, self._hand_limit(account))
        return limit - share.floor_tokens

    # -- gifts between entries ---------------------------------------------

    def give(self, account: AccountId, tokens: int, now_s: float) -> int:
        """Give up to ``tokens`` to another entry; how many it gets."""
        left = self.left_tokens(account, now_s)
        given = max(0, min(tokens, int(left * GIFT_SHARE)))
        self._share(account).gifted_tokens += given
        return given

    def receive(self, account: AccountId, tokens: int) -> None:
        """Take a gift of ``tokens``."""
        self._share(account).received_tokens += tokens

    def richest(self, account: AccountId, count: int) -> list[EntryId]:
        """The entries that probably hold most of ``account``, best first."""
        left = {
            entry: row[account].claimed_tokens - row[account].used_tokens
            for entry, row in self._rows.items()
            if entry != self.me and account in row
        }
        return sorted(left, key=lambda e: left[e], reverse=True)[:count]

    # -- planning ----------------------------------------------------------

    def plan(self, entries: int, now_s: float) -> bool:
        """Decide what to claim of each account next.

        :param entries: entries alive, this one included.
        :returns: whether requests wait for the next row.
        """
        self._entries = max(1, entries)
        urgent = False
        for account in self._totals:
            urgent |= self._plan_account(account, now_s)
        return urgent

    def next_row(self, now_s: float) -> dict[AccountId, Row]:
        """The row to write now, with what may be spent lowered to it.

        :meth:`row_folded` must follow before the next call.
        """
        row = {}
        for account, share in self._shares.items():
            floor = share.floor_tokens
            share.claim_tokens = max(share.claim_tokens, floor)
            share.accepted_tokens = min(share.accepted_tokens, share.claim_tokens)
            hand = floor + self._goal(account, now_s).hand_tokens + share.wanted_tokens
            row[account] = Row(
                share.claim_tokens,
                min(hand, share.claim_tokens),
                share.used_tokens,
                max(0, share.wanted_tokens - (share.claim_tokens - floor)),
                share.lost_tokens,
                int(share.rate_tokens_per_s(now_s)),
            )
            share.wanted_tokens = 0
        self._in_flight = row
        self._row_made_s = now_s
        return row

    def row_folded(self) -> None:
        """The row of :meth:`next_row` is on the log and was folded."""
        self._in_flight = None
        for account in self._shares:
            self._accept(account)

    def return_unspent(self) -> None:
        """Claim no more than is spent or reserved: this entry leaves."""
        self._leaving = True
        for share in self._shares.values():
            share.claim_tokens = share.floor_tokens
            share.wanted_tokens = 0

    def summary(self, now_s: float) -> dict[AccountId, tuple[int, int, int, int]]:
        """Of each account: total, claimed by all, used by all as far as
        known, and left here; in tokens."""
        return {
            account: (
                total,
                self._claimed.get(account, 0),
                self._known_used(account),
                self.left_tokens(account, now_s),
            )
            for account, total in self._totals.items()
        }

    def _plan_account(self, account: AccountId, now_s: float) -> bool:
        share = self._share(account)
        share.decay(now_s)
        floor = share.floor_tokens
        room = self._free(account) + self._published(account).claimed_tokens
        if self._free(account) < 0 and share.claim_tokens > share.accepted_tokens:
            # Our claim did not fit: withdraw it, or it blocks all others'.
            share.claim_tokens = max(share.accepted_tokens, floor)
            return True
        goal = self._goal(account, now_s).claim_tokens
        need = floor + max(goal, share.wanted_tokens)
        kept = int(self._totals[account] * URGENT_SHARE)
        urgent_need = min(share.claim_tokens + share.urgent_tokens, room)
        share.urgent_tokens = 0
        if share.claim_tokens < need:
            most = max(min(need, room - kept), urgent_need)
            share.claim_tokens = max(share.claim_tokens, most)
        elif share.claim_tokens - floor > RELEASE_ABOVE * (need - floor):
            share.claim_tokens = need
        elif self._wanted_elsewhere(account):
            share.claim_tokens -= (share.claim_tokens - need) // 2
        return share.wanted_tokens > 0

    def _goal(self, account: AccountId, now_s: float) -> _Goal:
        if self._leaving:
            return _Goal(0, 0)
        share = self._share(account)
        usable = self._usable(account)
        used = self._known_used(account)
        unspent = max(0, usable - used - self._lost(account))
        rate = share.rate_tokens_per_s(now_s)
        most = unspent * POOL_SHARE * self._part(account, rate)
        largest = share.largest_tokens * LARGEST_SHARES / self._entries
        hand, cover = rate * HAND_S, rate * COVER_S + largest
        first = max(IDLE_SHARE, 1.0 - used / max(1.0, usable * KNOWN_SHARE))
        even = unspent * first / self._entries
        hand = max(min(hand, most), even * FIRST_HAND_SHARE)
        claim = max(min(cover, most), even * FIRST_SHARE)
        return _Goal(int(min(hand, claim)), int(claim))

    def _part(self, account: AccountId, rate: float) -> float:
        """This entry's part of the account's spend, as far as known."""
        rates = rate + sum(
            row[account].rate_tokens_per_s
            for entry, row in self._rows.items()
            if entry != self.me and account in row
        )
        return rate / rates if rates > 0 else 1.0 / self._entries

    def _wanted_elsewhere(self, account: AccountId) -> bool:
        return self._free(account) <= 0 and any(
            row[account].wanted_tokens > 0
            for entry, row in self._rows.items()
            if entry != self.me and account in row
        )

    # -- internals ---------------------------------------------------------

    def _share(self, account: AccountId) -> _Share:
        return self._shares.setdefault(account, _Share())

    def _published(self, account: AccountId) -> Row:
        return self._rows.get(self.me, {}).get(account, Row())

    def _hand_limit(self, account: AccountId) -> int:
        limit = self._published(account).hand_tokens
        if self._in_flight is not None and account in self._in_flight:
            limit = min(limit, self._in_flight[account].hand_tokens)
        return limit

    def _known_used(self, account: AccountId) -> int:
        share = self._share(account)
        used = share.used_tokens + share.reserved_tokens
        for entry, row in self._rows.items():
            if entry != self.me and account in row:
                used += row[account].used_tokens
        return used

    def _lost(self, account: AccountId) -> int:
        lost = self._share(account).lost_tokens
        for entry, row in self._rows.items():
            if entry != self.me and account in row:
                lost += row[account].lost_tokens
        return lost

    def _usable(self, account: AccountId) -> int:
        return int(self._totals.get(account, 0) * (1 - RESERVE_SHARE))

    def _free(self, account: AccountId) -> int:
        return self._usable(account) - self._claimed.get(account, 0)

    def _accept(self, account: AccountId) -> None:
        # The one place where what may be spent rises.
        if self._unreadable or self._free(account) < 0:
            return
        share = self._share(account)
        safe = min(self._published(account).claimed_tokens, share.claim_tokens)
        if self._in_flight is not None and account in self._in_flight:
            # A lower row on its way to the log would otherwise land under an
            # allowance raised to the row before it.
            safe = min(safe, self._in_flight[account].claimed_tokens)
        share.accepted_tokens = max(share.accepted_tokens, safe)
