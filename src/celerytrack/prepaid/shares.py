"""One entry's row and its own share of an account."""

import math

import attrs

from celerytrack.ids import AccountId

RATE_WINDOW_S = 8.0
"""Time constant of the spend rate: long enough to span the gaps between large
prompts, short enough to follow an account that multiplies its traffic."""
FRESH_S = 1.7
"""Up to this age of its row an entry spends only its hand: an instance that lost power
has started anew by then, so a loss of power of all costs the hands alone. Cuts are
served from the hand until the rest comes free."""
OUTAGE_S = 3.5
"""A row older than this was not written in time because the log is away: a
killed process, or an instance that lost power for seconds, has started anew by then,
and what comes free later is not lost to it."""
OUTAGE_TIMES = 9.0
"""How much faster than its pace the claim then comes free: it was made for this.
One entry sees a small account's long prompts far apart, each worth many seconds of its
spend there: at its pace the first of them would be refused until the cut ends."""
LARGEST_DECAY_S = 20.0
"""How fast the memory of an account's largest request halves."""


@attrs.frozen
class Row:
    """What one entry published of one account; tokens, cumulative.

    :ivar claimed_tokens: what it may have spent at most.
    :ivar hand_tokens: what it may have spent when the row was made.
    :ivar used_tokens: what it knows was spent; a lower bound for others.
    :ivar wanted_tokens: what it lacks for requests it has at hand.
    :ivar lost_tokens: what its earlier starts claimed and may not have used.
    :ivar rate_tokens_per_s: how fast it spends the account.
    :ivar pace_tokens_per_s: what it may have spent more with each second that
        the row is old.
    """

    claimed_tokens: int = 0
    hand_tokens: int = 0
    used_tokens: int = 0
    wanted_tokens: int = 0
    lost_tokens: int = 0
    rate_tokens_per_s: int = 0
    pace_tokens_per_s: int = 0

    def limit_tokens(self, age_s: float) -> int:
        """What may have been spent under this row when it is ``age_s`` old."""
        paced_tokens = int(self.pace_tokens_per_s * _paced_s(age_s))
        return min(self.claimed_tokens, self.hand_tokens + paced_tokens)

    def free_in_s(self, tokens: int, age_s: float) -> float | None:
        """How long until ``tokens`` in all may be spent; ``None`` if never.

        :param age_s: how old the row is now.
        """
        if tokens > self.claimed_tokens:
            return None
        if tokens <= self.limit_tokens(age_s):
            return 0.0
        if not self.pace_tokens_per_s:
            return None
        paced_s = (tokens - self.hand_tokens) / self.pace_tokens_per_s
        return max(0.0, _age_at_s(paced_s) - age_s)


def _paced_s(age_s: float) -> float:
    """For how many seconds of spend a row of this age has come free."""
    outage_s = max(0.0, age_s - OUTAGE_S)
    return max(0.0, age_s - FRESH_S) + (OUTAGE_TIMES - 1) * outage_s


def _age_at_s(paced_s: float) -> float:
    """The age at which :func:`_paced_s` is ``paced_s``."""
    before_s = OUTAGE_S - FRESH_S
    if paced_s <= before_s:
        return FRESH_S + paced_s
    return OUTAGE_S + (paced_s - before_s) / OUTAGE_TIMES


@attrs.frozen
class Reservation:
    """Tokens set aside for one request at its largest."""

    account: AccountId
    tokens: int


@attrs.define
class Share:
    """This entry's part of one account.

    :ivar claim_tokens: what the next row claims.
    :ivar accepted_tokens: what may be spent at most, however old the row is: a
        claim on the log that was seen to fit.
    :ivar gifted_tokens: given to other entries under our row.
    :ivar received_tokens: given to us under theirs.
    :ivar wanted_tokens: the largest request that found too little here since the
        last row; ``urgent_tokens`` the largest of the most urgent ones.
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

    @classmethod
    def adopted(cls, row: Row, age_s: float | None) -> "Share":
        """The share of a start whose earlier start left ``row``.

        What the earlier start may have spent counts as spent: what it delivered after
        its last row is known to nobody.

        :param age_s: how old the row was when that start had certainly ended;
            ``None`` if nobody can tell.
        """
        lost = row.claimed_tokens if age_s is None else row.limit_tokens(age_s)
        return cls(
            claim_tokens=row.claimed_tokens,
            accepted_tokens=row.claimed_tokens,
            spent_tokens=lost,
            adopted_tokens=lost,
            adopted_used_tokens=row.used_tokens,
        )

    def free_beyond(self, row: Row, age_s: float) -> None:
        """Free what :meth:`adopted` counted as spent under ``row`` without knowing that
        it was ``age_s`` old at most."""
        beyond = min(row.claimed_tokens - row.limit_tokens(age_s), self.adopted_tokens)
        self.spent_tokens -= beyond
        self.adopted_tokens -= beyond

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
