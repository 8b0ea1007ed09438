"""How much of an account an entry should claim, and the constants behind it."""

import attrs

from celerytrack.prepaid.shares import Share

IMMEDIATE_S = 0.3
"""Seconds of its own recent spend that an entry may use at once. A request that finds
less waits for a row; a power loss loses these tokens."""
IMMEDIATE_ROUND_TRIPS = 1.5
"""Least number of row round trips that the immediate tokens last for. While the store
is slow, a round trip takes longer than :data:`IMMEDIATE_S`, and the previous row must
cover it."""
IMMEDIATE_UNSPENT_SHARE = 0.05
"""Smallest share of the unspent tokens that all entries together have as immediate
tokens, divided by their parts of the spend. It serves bursts of callers that stay with
one entry, lost rows and the first moments of a partition. A power loss of the whole
fleet costs this share, which shrinks as the account is used up."""
UNLOCK_FACTOR = 1.0
"""Unlock rate of the rest of a claim, as a multiple of the entry's own recent spend
rate, so that a partitioned entry continues at its previous rate."""
COVER_S = 22.0
"""Seconds of its own recent spend that an entry claims in total. A partition lasts 9 s,
the last write before it may be 1 s old, and an account may spend twice as fast during
it. A power loss loses only the immediate and the unlocked tokens of a claim."""
INITIAL_CLAIM_SHARE = 0.5
"""Share of a total that all entries together claim before any spend is seen, so that
there are tokens to unlock in a partition during the first seconds."""
INITIAL_IMMEDIATE_SHARE = 0.015
"""Share of the unspent tokens that all entries together may spend at once until spend
rates are known: a few requests per entry for a large account."""
INITIAL_UNLOCK_SHARE_PER_S = 0.03
"""Share of the unspent tokens that unlocks per second until spend rates are known: in a
partition during the first seconds, entries spend as if a total had to last for half a
minute."""
INITIAL_PHASE_SHARE = 0.3
"""Used share of a total up to which the initial shares shrink linearly. By then entries
know which of them spend the account and how fast."""
IDLE_SHARE = 0.15
"""Part of its initial share that an entry retains once others spend the account and it
does not. Callers keep connections, so an account's traffic may come through one entry,
and idle entries would hold the rest."""
MAX_CLAIM_SHARE = 0.75
"""Largest share of the unspent tokens that entries claim together, divided by their
parts of the spend, so that an account with few tokens left is served through a
partition. The loss at a power loss is bounded by the immediate tokens and the unlock
rate, not by this share."""
LARGEST_REQUESTS_COVERED = 5.0
"""Number of largest recent requests that all entries together claim beyond
:data:`COVER_S`; transfers bring the parts to the entry that has the request."""
UNCLAIMED_SHARE = 0.005
"""Share of a total that is never claimed: the token counts of an endpoint and of the
entry may differ by this much for aborted streams."""
URGENT_RESERVE_SHARE = 0.015
"""Share of a total that is claimed only for the most urgent requests, one at a time, so
that they are still served after a power loss with few tokens left. Where urgent
requests are small, a larger share would stay unspent while other requests are
refused."""
RELEASE_FACTOR = 1.5
"""An entry lowers its claim when it exceeds the need by this factor."""
TRANSFER_SHARE = 0.8
"""Largest share of its available tokens that an entry transfers at once."""


@attrs.frozen
class ShareTarget:
    """What an entry's next row should offer of an account beyond its floor."""

    immediate_tokens: int
    unlock_tokens_per_s: int
    claim_tokens: int


@attrs.frozen
class AccountUsage:
    """An account's use, as far as this entry knows.

    :ivar usable_tokens: the total less the share that is never claimed.
    :ivar used_tokens: known use by all entries.
    :ivar lost_tokens: claimed by earlier incarnations of entries and perhaps not used.
    :ivar others_tokens_per_s: how fast the other entries spend the account.
    :ivar entries: number of equal shares into which the account is divided until the
        spend rates are known.
    :ivar row_round_trip_s: how long it takes to append a row and read it back.
    """

    usable_tokens: int
    used_tokens: int
    lost_tokens: int
    others_tokens_per_s: float
    entries: float
    row_round_trip_s: float = 0.0


def share_target(share: Share, usage: AccountUsage, now_s: float) -> ShareTarget:
    """What this entry's next row should offer of an account beyond its floor.

    The share follows the entry's part of the account's spend: callers keep
    connections, so an account's requests come through few entries, and tokens held by
    idle ones are of no use. Until enough is used to know the rates, shares are equal.
    """
    unspent = usage.usable_tokens - usage.used_tokens - usage.lost_tokens
    unspent = max(0, unspent)
    rate = share.rate_tokens_per_s(now_s)
    part = _part(rate, usage)
    max_claim = unspent * MAX_CLAIM_SHARE * part
    largest_requests = share.largest_tokens * LARGEST_REQUESTS_COVERED / usage.entries
    progress = usage.used_tokens / max(1.0, usage.usable_tokens * INITIAL_PHASE_SHARE)
    equal_share = unspent * max(IDLE_SHARE, 1.0 - progress) / usage.entries
    immediate_s = max(IMMEDIATE_S, IMMEDIATE_ROUND_TRIPS * usage.row_round_trip_s)
    initial_immediate = (
        equal_share * INITIAL_IMMEDIATE_SHARE * immediate_s / IMMEDIATE_S
    )
    unspent_immediate = unspent * IMMEDIATE_UNSPENT_SHARE * part
    immediate = max(
        min(rate * immediate_s, max_claim), initial_immediate, unspent_immediate
    )
    unlock_rate = max(rate * UNLOCK_FACTOR, equal_share * INITIAL_UNLOCK_SHARE_PER_S)
    claim = max(
        min(rate * COVER_S + largest_requests, max_claim),
        equal_share * INITIAL_CLAIM_SHARE,
    )
    return ShareTarget(int(min(immediate, claim)), int(unlock_rate), int(claim))


def urgent_reserve_tokens(total_tokens: int) -> int:
    """Tokens of a total that are claimed for the most urgent requests only."""
    return int(total_tokens * URGENT_RESERVE_SHARE)


def next_claim(
    share: Share,
    target: ShareTarget,
    room_tokens: int,
    total_tokens: int,
    wanted_elsewhere: bool,
) -> int:
    """The claim of this entry's next row.

    :param room_tokens: the largest claim that fits beside those of the others.
    :param wanted_elsewhere: whether other entries lack tokens and none are free.
    """
    floor, claim = share.floor_tokens, share.claim_tokens
    need = floor + max(target.claim_tokens, share.wanted_tokens)
    if claim < need:
        urgent_reserve = urgent_reserve_tokens(total_tokens)
        urgent_need = min(floor + share.urgent_tokens, room_tokens)
        return max(claim, min(need, room_tokens - urgent_reserve), urgent_need)
    if claim - floor > RELEASE_FACTOR * (need - floor):
        return need
    return claim - (claim - need) // 2 if wanted_elsewhere else claim


def _part(rate_tokens_per_s: float, usage: AccountUsage) -> float:
    """This entry's part of the account's spend rate."""
    rates = rate_tokens_per_s + usage.others_tokens_per_s
    return rate_tokens_per_s / rates if rates > 0 else 1.0 / usage.entries
