"""How much of an account an entry should hold, and the figures behind it."""

import attrs

from celerytrack.prepaid.shares import Share

HAND_S = 0.3
"""Seconds of its own recent spend that an entry may use at once. A request
that finds less waits for a row; a loss of power loses it."""
HAND_ROWS = 1.5
"""Rows that the hand lasts for at least: while the store is slow a row takes
longer than :data:`HAND_S`, and the one before it must not be empty until then."""
HAND_LEFT_SHARE = 0.05
"""Part of what is left that all entries together have in hand at least, each by its
part of the spend: bursts of callers that keep to one entry, rows that are lost and the
first moments of a cut find it. A loss of power of all costs this part, which falls as
the account runs dry."""
PACE_TIMES = 1.0
"""How fast the rest of a claim comes free as a row grows old, as a multiple of
the entry's own recent spend: a cut off entry goes on as it did."""
COVER_S = 22.0
"""Seconds of its own recent spend that an entry claims in all: a cut lasts 9 s, the
write before it may be 1 s old, and an account may spend twice as fast in it. Nothing of
a claim but its hand and what its row's age has freed is lost with power."""
FIRST_SHARE = 0.5
"""Share of a total that all entries together claim before any spend is seen,
so that a cut in the first seconds finds tokens to unlock."""
FIRST_HAND_SHARE = 0.015
"""Part of what is left that all entries together have at once until rates are
known: a few requests at each entry, where the account is a large one."""
FIRST_PACE_SHARE = 0.03
"""Part of what is left that comes free each second until rates are known: in a cut of
the first seconds entries go on as if a total had to last for half a minute."""
KNOWN_SHARE = 0.3
"""The first shares shrink evenly until this part of a total is used: by then
entries know who spends it and how fast."""
IDLE_SHARE = 0.15
"""Part of the first shares that an entry keeps once others spend the account
and it does not: callers keep connections, so an account's traffic may come
through one entry, which would find the rest held by idle ones."""
POOL_SHARE = 0.75
"""Most of what is left that entries claim together, each by its part of the
spend, so that an account with little left is served through a cut. What a loss of
power takes of it is bounded by hand and pace, not by this."""
LARGEST_SHARES = 5.0
"""Largest recent requests that all entries together claim beyond the cover;
gifts bring the parts to where the request is."""
RESERVE_SHARE = 0.005
"""Share of a total that is never claimed: the tokens that an endpoint's count
and ours may differ by in streams that broke off."""
URGENT_SHARE = 0.015
"""Share of a total that is claimed only for the most urgent requests, one at a time:
after a loss of power with little left they are still served. More would lie unspent to
the end where they are small, beside others that are refused."""
RELEASE_ABOVE = 1.5
"""An entry lowers its claim when it is this many times what it needs."""
GIFT_SHARE = 0.8
"""Most of what an entry has left that it gives away at once."""


@attrs.frozen
class Goal:
    """What an entry should hold of an account beyond its floor."""

    hand_tokens: int
    pace_tokens_per_s: int
    claim_tokens: int


@attrs.frozen
class Standing:
    """How an account stands, as far as this entry knows.

    :ivar usable_tokens: the total less the reserve.
    :ivar used_tokens: known to be used, by all entries.
    :ivar lost_tokens: claimed by earlier starts and perhaps not used.
    :ivar others_tokens_per_s: how fast the other entries spend it.
    :ivar entries: into how many parts like this entry's the account is divided until
        it is known who spends it.
    :ivar row_time_s: how long a row takes to be on the log and read back.
    """

    usable_tokens: int
    used_tokens: int
    lost_tokens: int
    others_tokens_per_s: float
    entries: float
    row_time_s: float = 0.0


def goal(share: Share, standing: Standing, now_s: float) -> Goal:
    """What this entry should hold of an account beyond its floor.

    Its part of the account's spend decides: callers keep connections, so an
    account comes through few entries, and what idle ones hold is of no use.
    Until enough was used to know the rates, shares are even.
    """
    unspent = standing.usable_tokens - standing.used_tokens - standing.lost_tokens
    unspent = max(0, unspent)
    rate = share.rate_tokens_per_s(now_s)
    part = _part(rate, standing)
    most = unspent * POOL_SHARE * part
    largest = share.largest_tokens * LARGEST_SHARES / standing.entries
    known = standing.used_tokens / max(1.0, standing.usable_tokens * KNOWN_SHARE)
    even = unspent * max(IDLE_SHARE, 1.0 - known) / standing.entries
    hand_s = max(HAND_S, HAND_ROWS * standing.row_time_s)
    first_hand = even * FIRST_HAND_SHARE * hand_s / HAND_S
    lasting_hand = unspent * HAND_LEFT_SHARE * part
    hand = max(min(rate * hand_s, most), first_hand, lasting_hand)
    pace = max(rate * PACE_TIMES, even * FIRST_PACE_SHARE)
    claim = max(min(rate * COVER_S + largest, most), even * FIRST_SHARE)
    return Goal(int(min(hand, claim)), int(pace), int(claim))


def kept_tokens(total_tokens: int) -> int:
    """What of a total is claimed for the most urgent requests only."""
    return int(total_tokens * URGENT_SHARE)


def next_claim(
    share: Share,
    goal: Goal,
    room_tokens: int,
    total_tokens: int,
    wanted_elsewhere: bool,
) -> int:
    """What the next row of this entry claims.

    :param room_tokens: the most that fits beside the claims of the others.
    :param wanted_elsewhere: whether others lack tokens and none are free.
    """
    floor, claim = share.floor_tokens, share.claim_tokens
    need = floor + max(goal.claim_tokens, share.wanted_tokens)
    if claim < need:
        kept = kept_tokens(total_tokens)
        urgent_need = min(floor + share.urgent_tokens, room_tokens)
        return max(claim, min(need, room_tokens - kept), urgent_need)
    if claim - floor > RELEASE_ABOVE * (need - floor):
        return need
    return claim - (claim - need) // 2 if wanted_elsewhere else claim


def _part(rate_tokens_per_s: float, standing: Standing) -> float:
    """This entry's part of the account's spend."""
    rates = rate_tokens_per_s + standing.others_tokens_per_s
    return rate_tokens_per_s / rates if rates > 0 else 1.0 / standing.entries
