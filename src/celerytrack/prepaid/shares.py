"""Claims that entries publish, and an entry's own share of an account."""

import math

import attrs

from celerytrack.ids import AccountId

RATE_WINDOW_S = 8.0
"""Time constant of the spend rate: long enough to span the gaps between large
prompts, short enough to follow an account whose traffic multiplies."""
UNLOCK_DELAY_S = 1.7
"""Age of the row up to which an entry spends only its immediate tokens. An instance
that lost power has restarted by then, so a power loss of the whole fleet costs only the
immediate tokens. During a partition these cover requests until more unlocks."""
OUTAGE_AGE_S = 3.5
"""A row older than this is late because the log is unavailable. A killed process, or
an instance that lost power for seconds, has restarted by then, so tokens that unlock
later are not lost to a restart."""
OUTAGE_UNLOCK_FACTOR = 9.0
"""Factor on the unlock rate of a row older than :data:`OUTAGE_AGE_S`, because outages
are what the claim is for. One entry sees a small account's long prompts far apart, each
worth many seconds of the account's spend there. At the normal rate the first of them
would be refused until the partition ends."""
LARGEST_HALF_LIFE_S = 20.0
"""Half-life of the size of an account's largest request."""


@attrs.frozen
class AccountClaim:
    """One entry's claim on one account, a part of its row; token counts are cumulative.

    :ivar claimed_tokens: upper bound of the entry's spend.
    :ivar immediate_tokens: upper bound of its spend when the row was made.
    :ivar used_tokens: known spend; a lower bound for other entries.
    :ivar wanted_tokens: what its waiting requests lack.
    :ivar lost_tokens: claimed by its earlier incarnations and perhaps not used.
    :ivar rate_tokens_per_s: how fast the entry spends the account.
    :ivar unlock_tokens_per_s: tokens that unlock per second of the row's age.
    """

    claimed_tokens: int = 0
    immediate_tokens: int = 0
    used_tokens: int = 0
    wanted_tokens: int = 0
    lost_tokens: int = 0
    rate_tokens_per_s: int = 0
    unlock_tokens_per_s: int = 0

    def limit_tokens(self, age_s: float) -> int:
        """The most that may be spent under this claim when its row is ``age_s`` old."""
        unlocked_tokens = int(self.unlock_tokens_per_s * _unlocked_s(age_s))
        return min(self.claimed_tokens, self.immediate_tokens + unlocked_tokens)

    def free_in_s(self, tokens: int, age_s: float) -> float | None:
        """Seconds until ``tokens`` in total may be spent; ``None`` if never.

        :param age_s: the row's age now.
        """
        if tokens > self.claimed_tokens:
            return None
        if tokens <= self.limit_tokens(age_s):
            return 0.0
        if not self.unlock_tokens_per_s:
            return None
        unlocked_s = (tokens - self.immediate_tokens) / self.unlock_tokens_per_s
        return max(0.0, _age_when_unlocked_s(unlocked_s) - age_s)


def _unlocked_s(age_s: float) -> float:
    """Seconds of spend that a row of this age has unlocked."""
    outage_s = max(0.0, age_s - OUTAGE_AGE_S)
    return max(0.0, age_s - UNLOCK_DELAY_S) + (OUTAGE_UNLOCK_FACTOR - 1) * outage_s


def _age_when_unlocked_s(unlocked_s: float) -> float:
    """The inverse of :func:`_unlocked_s`."""
    before_s = OUTAGE_AGE_S - UNLOCK_DELAY_S
    if unlocked_s <= before_s:
        return UNLOCK_DELAY_S + unlocked_s
    return OUTAGE_AGE_S + (unlocked_s - before_s) / OUTAGE_UNLOCK_FACTOR


@attrs.frozen
class Reservation:
    """Tokens reserved for one request: its largest possible cost."""

    account: AccountId
    tokens: int


@attrs.define
class Share:
    """This entry's share of one account.

    :ivar claim_tokens: what the next row claims.
    :ivar accepted_tokens: the allowance, an upper bound of the spend whatever the row's
        age: a claim on the log that was seen to fit.
    :ivar transferred_out_tokens: transferred to other entries under this entry's row.
    :ivar transferred_in_tokens: transferred to this entry under their rows.
    :ivar wanted_tokens: the largest request since the last row that could not be
        covered here; ``urgent_tokens`` the largest of the most urgent ones.
    :ivar adopted_tokens: part of ``spent_tokens`` that an earlier incarnation of this
        entry may have spent; of these, ``adopted_used_tokens`` are known to be used.
    """

    claim_tokens: int = 0
    accepted_tokens: int = 0
    spent_tokens: int = 0
    transferred_out_tokens: int = 0
    transferred_in_tokens: int = 0
    adopted_tokens: int = 0
    adopted_used_tokens: int = 0
    reserved_tokens: int = 0
    wanted_tokens: int = 0
    urgent_tokens: int = 0
    spend_tokens_per_s: float = 0.0
    rated_at_s: float = 0.0
    rated_since_s: float | None = None
    largest_tokens: float = 0.0

    @classmethod
    def adopted(cls, claim: AccountClaim, age_s: float | None) -> "Share":
        """The share of an entry whose earlier incarnation left ``claim``.

        All that the earlier incarnation may have spent counts as spent, because its use
        after its last row is not recorded anywhere.

        :param age_s: the row's age when the earlier incarnation had certainly ended;
            ``None`` if unknown.
        """
        lost = claim.claimed_tokens if age_s is None else claim.limit_tokens(age_s)
        return cls(
            claim_tokens=claim.claimed_tokens,
            accepted_tokens=claim.claimed_tokens,
            spent_tokens=lost,
            adopted_tokens=lost,
            adopted_used_tokens=claim.used_tokens,
        )

    def free_adopted(self, claim: AccountClaim, age_s: float) -> None:
        """Free what :meth:`adopted` counted as spent before the maximum age ``age_s``
        of the row was known."""
        beyond = min(
            claim.claimed_tokens - claim.limit_tokens(age_s), self.adopted_tokens
        )
        self.spent_tokens -= beyond
        self.adopted_tokens -= beyond

    @property
    def floor_tokens(self) -> int:
        """The least that this entry's row must claim."""
        transferred = self.transferred_out_tokens - self.transferred_in_tokens
        return self.spent_tokens + self.reserved_tokens + transferred

    @property
    def used_tokens(self) -> int:
        """Known use by this incarnation and the earlier ones."""
        return self.spent_tokens - self.adopted_tokens + self.adopted_used_tokens

    @property
    def lost_tokens(self) -> int:
        """What earlier incarnations claimed and may not have used."""
        return self.adopted_tokens - self.adopted_used_tokens

    def rate_tokens_per_s(self, now_s: float) -> float:
        """The recent spend rate, corrected for the start-up bias of an average that
        begins at zero."""
        if self.rated_since_s is None:
            return 0.0
        past_s = max(1.0, now_s - self.rated_since_s)
        return self.spend_tokens_per_s / -math.expm1(-past_s / RATE_WINDOW_S)

    def spend(self, tokens: int, now_s: float) -> None:
        """Count ``tokens`` as used by a request."""
        self.spent_tokens += tokens
        if self.rated_since_s is None:
            self.rated_since_s = now_s
        self.decay(now_s)
        self.spend_tokens_per_s += tokens / RATE_WINDOW_S

    def decay(self, now_s: float) -> None:
        """Decay the spend rate and the largest request size up to ``now_s``."""
        past_s = max(0.0, now_s - self.rated_at_s)
        self.spend_tokens_per_s *= math.exp(-past_s / RATE_WINDOW_S)
        self.largest_tokens *= 0.5 ** (past_s / LARGEST_HALF_LIFE_S)
        self.rated_at_s = now_s
