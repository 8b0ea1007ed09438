"""The folded rows of all entries, and this entry's own share of each account."""

import math
from collections.abc import Mapping, Set

from celerytrack.eras import Era
from celerytrack.ids import AccountId, EntryId
from celerytrack.prepaid.own_row import OwnRow
from celerytrack.prepaid.policy import (
    TRANSFER_SHARE,
    UNCLAIMED_SHARE,
    AccountUsage,
    ShareTarget,
    next_claim,
    share_target,
    urgent_reserve_tokens,
)
from celerytrack.prepaid.restore_hold import RestoreHold, merge_max
from celerytrack.prepaid.rows import FoldedRows
from celerytrack.prepaid.shares import AccountClaim, Reservation, Share


class PrepaidBudgets:
    """The folded rows of all entries, and this entry's own share of each account.

    :param entry_id: this entry, which is also the key of its row.
    :ivar row_round_trip_s: how long it takes to append a row and read it back.
    """

    def __init__(self, entry_id: EntryId) -> None:
        self.rows = FoldedRows(entry_id)
        self._totals: dict[AccountId, int] = {}
        self._shares: dict[AccountId, Share] = {}
        self._own = OwnRow(self.rows)
        self._entries = 1.0
        self.row_round_trip_s = 0.0
        self._draining = False
        self.restore_hold = RestoreHold(entry_id)

    # -- configured totals and folded rows --------------------------------

    def set_totals(self, totals: Mapping[AccountId, int]) -> None:
        """Apply the prepaid totals of the active configuration.

        A total never falls here: a lower one cannot revoke what was granted
        under the higher one.
        """
        for account, tokens in totals.items():
            self._totals[account] = max(tokens, self._totals.get(account, 0))
            self._accept(account)

    def fold(
        self,
        entry: EntryId,
        row: Mapping[AccountId, AccountClaim],
        era: Era | None = None,
    ) -> None:
        """Fold the newest row of ``entry``; ``{}`` if it was dropped.

        :param era: the era that the owner knew when it made the row.
        """
        for account in self.rows.fold(
            entry, self.restore_hold.merge_row(entry, row, era)
        ):
            self._accept(account)

    def on_log_restored(self, era: Era, awaited: Set[EntryId], now_s: float) -> None:
        """Hold all allowances: the log was restored from an older backup.

        :param awaited: the entries that may be alive.
        """
        self.restore_hold.begin(era, awaited, now_s)

    def mark_unreadable(self, entry: EntryId) -> None:
        """Record that the newest row of ``entry`` cannot be decoded.

        Its claims are unknown, so no allowance rises until it can be decoded.
        Ignoring the row would allocate its tokens twice, for example while
        entries of two releases run side by side.
        """
        self.rows.mark_unreadable(entry)

    def retain_entries(self, entries: set[EntryId]) -> None:
        """Drop the rows of all but ``entries``, which still have one on the log."""
        for entry in self.rows.entries() - entries:
            self.fold(entry, {})

    def adopt(self, age_s: float | None) -> None:
        """Adopt the row that an earlier incarnation of this entry left.

        :param age_s: the row's age when that incarnation had certainly ended;
            ``None`` if unknown.
        """
        for account, claim in self.rows.own_row().items():
            self._shares[account] = Share.adopted(claim, age_s)

    def merge_own_row(self, row: Mapping[AccountId, AccountClaim]) -> None:
        """Merge this entry's row as a peer knew it before the log was restored."""
        self.fold(self.rows.entry_id, merge_max(self.rows.own_row(), row))

    def free_adopted(
        self, left: Mapping[AccountId, AccountClaim], age_s: float
    ) -> None:
        """Free what :meth:`adopt` counted as spent but cannot have been spent.

        Called at most once, when the age that the row had at the certain end of the
        earlier incarnation becomes known.

        :param left: the row that the earlier incarnation left.
        :param age_s: that age.
        """
        for account, claim in left.items():
            self._share(account).free_adopted(claim, age_s)

    # -- requests ----------------------------------------------------------

    def is_limited(self, account: AccountId) -> bool:
        """Whether ``account`` has a prepaid total."""
        return account in self._totals

    def reserve(
        self, account: AccountId, tokens: int, now_s: float, urgent: bool = False
    ) -> Reservation | None:
        """Reserve ``tokens``; ``None`` if too few are available here.

        :param urgent: whether the request is of the most urgent kind.
        """
        share = self._share(account)
        share.largest_tokens = max(share.largest_tokens, float(tokens))
        if tokens > self.available_tokens(account, now_s):
            self.request_claim(account, tokens)
            if urgent:
                share.urgent_tokens = max(share.urgent_tokens, tokens)
            return None
        share.reserved_tokens += tokens
        return Reservation(account, tokens)

    def can_claim(self, account: AccountId, tokens: int, urgent: bool) -> bool:
        """Whether a row of this entry could provide ``tokens``, as far as known.

        :param urgent: whether the request is of the most urgent kind; the last tokens
            are claimed only for such requests.
        """
        accepted = self._share(account).accepted_tokens
        room = accepted if self.restore_hold.active else self._room(account)
        if not urgent:
            room -= urgent_reserve_tokens(self._totals.get(account, 0))
        return self._share(account).floor_tokens + tokens <= max(room, accepted)

    def has_locked_tokens(self, account: AccountId, now_s: float) -> bool:
        """Whether a new row would unlock more of what this entry has claimed."""
        share = self._share(account)
        locked = share.accepted_tokens - share.floor_tokens
        return locked > self.available_tokens(account, now_s)

    def request_claim(self, account: AccountId, tokens: int) -> None:
        """Ask for ``tokens`` of ``account`` as immediate tokens of the next row."""
        share = self._share(account)
        share.wanted_tokens = max(share.wanted_tokens, tokens)

    def commit(self, reservation: Reservation, used_tokens: int, now_s: float) -> None:
        """Count ``used_tokens`` of a finished request as spent and free the rest.

        At most the reservation counts: it is the request's largest possible cost, and
        no more is covered.
        """
        share = self._share(reservation.account)
        used = min(used_tokens, reservation.tokens)
        share.reserved_tokens -= reservation.tokens
        share.spend(used, now_s)

    def release(self, reservation: Reservation) -> None:
        """Free the whole reservation of a request that did not run."""
        self._share(reservation.account).reserved_tokens -= reservation.tokens

    def is_exhausted(self, account: AccountId, tokens: int) -> bool:
        """Whether ``tokens`` certainly exceed what is left of the total.

        Only known use counts, which is a lower bound: tokens that other entries
        merely hold are never the reason for a final refusal.
        """
        return self._known_used(account) + tokens > self._totals.get(account, 0)

    def available_tokens(self, account: AccountId, now_s: float) -> int:
        """Tokens of ``account`` that can be reserved here at ``now_s``."""
        share = self._share(account)
        limit = min(share.accepted_tokens, self._own.limit_tokens(account, now_s))
        return limit - share.floor_tokens

    def free_in_s(self, account: AccountId, tokens: int, now_s: float) -> float | None:
        """Seconds until ``tokens`` can be reserved here if no row is written;
        ``None`` if the claim does not cover them."""
        share = self._share(account)
        needed = share.floor_tokens + tokens
        if needed > share.accepted_tokens:
            return None
        return self._own.free_in_s(account, needed, now_s)

    # -- transfers between entries -----------------------------------------

    def transfer_out(self, account: AccountId, tokens: int, now_s: float) -> int:
        """Transfer up to ``tokens`` to another entry; returns how many."""
        moved = min(tokens, self.transferable_tokens(account, now_s))
        self._share(account).transferred_out_tokens += moved
        return moved

    def transferable_tokens(self, account: AccountId, now_s: float) -> int:
        """Tokens that could be transferred to another entry now."""
        return max(0, int(self.available_tokens(account, now_s) * TRANSFER_SHARE))

    @staticmethod
    def required_to_transfer(tokens: int) -> int:
        """Tokens that must be available so that ``tokens`` can be transferred."""
        return math.ceil(tokens / TRANSFER_SHARE)

    def transfer_in(self, account: AccountId, tokens: int) -> None:
        """Add ``tokens`` that another entry transferred."""
        self._share(account).transferred_in_tokens += tokens

    # -- planning ----------------------------------------------------------

    def plan(self, entries: float, now_s: float) -> bool:
        """Decide what to claim of each account next.

        :param entries: number of equal shares into which an account is divided until
            the spend rates are known.
        :returns: whether requests wait for the next row.
        """
        self._entries = max(1.0, entries)
        self.restore_hold.end_if_due(now_s)
        urgent = False
        for account in self._totals:
            urgent |= self._plan_account(account, now_s)
        return urgent

    def make_row(self, now_s: float) -> dict[AccountId, AccountClaim]:
        """Make the row to write now, and lower the allowances to it.

        :meth:`confirm_row` must follow before the next call.
        """
        row = {}
        for account, share in self._shares.items():
            floor = share.floor_tokens
            share.claim_tokens = max(share.claim_tokens, floor)
            share.accepted_tokens = min(share.accepted_tokens, share.claim_tokens)
            target = self._target(account, now_s)
            # The wanted tokens count in full: those that the last row unlocked with
            # age are locked again under the new row, and a request that relies on
            # them would be refused.
            immediate = floor + max(target.immediate_tokens, share.wanted_tokens)
            row[account] = AccountClaim(
                claimed_tokens=share.claim_tokens,
                immediate_tokens=min(immediate, share.claim_tokens),
                used_tokens=share.used_tokens,
                wanted_tokens=max(
                    0, share.wanted_tokens - (share.claim_tokens - floor)
                ),
                lost_tokens=share.lost_tokens,
                rate_tokens_per_s=int(share.rate_tokens_per_s(now_s)),
                unlock_tokens_per_s=target.unlock_tokens_per_s,
            )
            share.wanted_tokens = 0
        self._own.mark_sent(row, now_s)
        return row

    def confirm_row(self) -> None:
        """Record that the row of :meth:`make_row` is on the log and was folded."""
        self._own.mark_folded()
        for account in self._shares:
            self._accept(account)

    @property
    def has_row_in_flight(self) -> bool:
        """Whether a row was made and is not folded yet."""
        return self._own.is_in_flight

    def return_unspent(self) -> None:
        """Claim no more than is spent or reserved, because this entry is draining."""
        self._draining = True
        for share in self._shares.values():
            share.claim_tokens = share.floor_tokens
            share.wanted_tokens = 0

    def summary(self, now_s: float) -> dict[AccountId, tuple[int, int, int, int]]:
        """Per account, in tokens: the total, claimed by all entries, known to be
        used by all entries, and available here."""
        return {
            account: (
                total,
                self.rows.claimed_tokens(account),
                self._known_used(account),
                self.available_tokens(account, now_s),
            )
            for account, total in self._totals.items()
        }

    def lost_tokens(self) -> dict[AccountId, int]:
        """Tokens per account that earlier incarnations claimed and perhaps not used."""
        shares = self._shares.items()
        return {a: s.lost_tokens for a, s in shares if s.lost_tokens}

    def _plan_account(self, account: AccountId, now_s: float) -> bool:
        share = self._share(account)
        share.decay(now_s)
        floor = share.floor_tokens
        room = self._room(account)
        if self._free(account) < 0 and share.claim_tokens > share.accepted_tokens:
            # The claim does not fit. If it stayed, it would block the others' claims.
            share.claim_tokens = max(share.accepted_tokens, floor)
            return True
        if self.restore_hold.active:
            # A claim that was not accepted is made again after the hold.
            retained = 0 if self._draining else share.accepted_tokens
            share.claim_tokens = max(retained, floor)
            return share.wanted_tokens > 0
        target = self._target(account, now_s)
        share.claim_tokens = next_claim(
            share, target, room, self._totals[account], self._wanted_elsewhere(account)
        )
        share.urgent_tokens = 0
        return share.wanted_tokens > 0

    def _target(self, account: AccountId, now_s: float) -> ShareTarget:
        if self._draining:
            return ShareTarget(0, 0, 0)
        share = self._share(account)
        return share_target(
            share,
            AccountUsage(
                usable_tokens=self._usable(account),
                used_tokens=self._known_used(account),
                lost_tokens=self._lost(account),
                others_tokens_per_s=self.rows.others(account).rate_tokens_per_s,
                entries=self._entries,
                row_round_trip_s=self.row_round_trip_s,
            ),
            now_s,
        )

    def _wanted_elsewhere(self, account: AccountId) -> bool:
        return (
            self.rows.others(account).wanting_entries > 0 and self._free(account) <= 0
        )

    # -- internals ---------------------------------------------------------

    def _share(self, account: AccountId) -> Share:
        return self._shares.setdefault(account, Share())

    def _known_used(self, account: AccountId) -> int:
        share = self._share(account)
        used = share.used_tokens + share.reserved_tokens
        return used + self.rows.others(account).used_tokens

    def _lost(self, account: AccountId) -> int:
        return self.rows.others(account).lost_tokens + self._share(account).lost_tokens

    def _usable(self, account: AccountId) -> int:
        return int(self._totals.get(account, 0) * (1 - UNCLAIMED_SHARE))

    def _free(self, account: AccountId) -> int:
        return self._usable(account) - self.rows.claimed_tokens(account)

    def _room(self, account: AccountId) -> int:
        """The largest claim of this entry that fits beside those of the others."""
        return self._free(account) + self._own.published(account).claimed_tokens

    def _accept(self, account: AccountId) -> None:
        # The only place where an allowance rises.
        share = self._share(account)
        if share.accepted_tokens >= share.claim_tokens:
            return
        if self.restore_hold.active:
            return
        if not self.rows.all_readable or self._free(account) < 0:
            return
        safe = min(self._own.claimed_tokens(account), share.claim_tokens)
        share.accepted_tokens = max(share.accepted_tokens, safe)
