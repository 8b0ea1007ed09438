"""An entry's escrow: the grants it holds and the reservations made on them.

Admission reserves a request's largest possible cost before the request is sent;
completion commits the actual cost and frees the rest. Only tokens of a held
grant can be reserved, so an entry that is partitioned from the ledger spends at
most what it holds, and the ledger's fold guarantees that the grants of all
entries never exceed the budget.

Every method that decides takes the present time ``now_s`` (monotonic
seconds) as an argument.
"""

import itertools
import math
from collections.abc import Container, Iterable, Mapping

import attrs

from celerytrack.ids import AccountId, EntryId, GrantId, RequestId
from celerytrack.ledger import BillOutcome, OpenGrant
from celerytrack.settings import GrantPolicy
from celerytrack.verdict import Reason, Refusal, did_not_run


@attrs.define
class HeldGrant:
    """A grant held by this entry.

    :ivar usable_until_s: end of the lease; no reservation is made after it.
    :ivar unconfirmed: number of bills on this grant whose outcome is unknown.
    """

    grant_id: GrantId
    account: AccountId
    tokens: int
    usable_until_s: float
    reserved_tokens: int = 0
    spent_tokens: int = 0
    unconfirmed: int = 0

    def available(self, now_s: float) -> int:
        """Tokens that can still be reserved at ``now_s``."""
        if now_s >= self.usable_until_s:
            return 0
        return self.tokens - self.reserved_tokens - self.spent_tokens

    @property
    def is_idle(self) -> bool:
        """Whether the grant has neither a reservation nor an unconfirmed bill."""
        return self.reserved_tokens == 0 and self.unconfirmed == 0


@attrs.frozen
class GrantReservation:
    """Tokens reserved for one request, possibly across several grants."""

    request_id: RequestId
    account: AccountId
    parts: tuple[tuple[GrantId, int], ...]

    @property
    def tokens(self) -> int:
        """The total reserved tokens."""
        return sum(n for _, n in self.parts)


Charges = tuple[tuple[GrantId, int], ...]
"""What a request cost, as ``(grant id, tokens)`` pairs."""


@attrs.define
class Escrow:
    """All grants held by one entry, and their reservations.

    :ivar entry: this entry's id, a part of each grant id.
    :ivar pending: accounts with a requested grant whose outcome is unknown.
    """

    entry: EntryId
    grants: dict[GrantId, HeldGrant] = attrs.field(factory=dict)
    pending: set[AccountId] = attrs.field(factory=set)
    _by_account: dict[AccountId, dict[GrantId, HeldGrant]] = attrs.field(factory=dict)
    _rates: dict[AccountId, "_DecayingRate"] = attrs.field(factory=dict)
    _serial: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    def new_grant_id(self, boot_id: str) -> GrantId:
        """A grant id unique to this entry process."""
        return GrantId(f"{self.entry}.{boot_id}.{next(self._serial)}")

    def add(self, grant: HeldGrant) -> None:
        """Add a grant that the ledger accepted."""
        self.grants[grant.grant_id] = grant
        self._by_account.setdefault(grant.account, {})[grant.grant_id] = grant

    def held(self, account: AccountId) -> Iterable[HeldGrant]:
        """The grants of ``account`` that this entry holds."""
        return self._by_account.get(account, {}).values()

    def available(self, account: AccountId, now_s: float) -> int:
        """Tokens of ``account`` that can be reserved at ``now_s``."""
        return sum(g.available(now_s) for g in self.held(account))

    def reserve(
        self, request_id: RequestId, account: AccountId, tokens: int, now_s: float
    ) -> GrantReservation | None:
        """Reserve ``tokens`` for a request; ``None`` if too few are available."""
        if tokens > self.available(account, now_s):
            return None
        parts: list[tuple[GrantId, int]] = []
        left = tokens
        # Soonest-ending leases first, so that tokens are used before their lease ends.
        for grant in sorted(self.held(account), key=lambda g: g.usable_until_s):
            part = min(left, grant.available(now_s))
            if part > 0:
                grant.reserved_tokens += part
                parts.append((grant.grant_id, part))
                left -= part
            if left == 0:
                break
        self._rates.setdefault(account, _DecayingRate()).add(tokens, now_s)
        return GrantReservation(request_id, account, tuple(parts))

    def rate_tokens_per_s(self, account: AccountId, now_s: float) -> float:
        """The recent rate at which this entry reserved tokens of ``account``."""
        rate = self._rates.get(account)
        return rate.per_s(now_s) if rate is not None else 0.0

    def commit(self, reservation: GrantReservation, spent_tokens: int) -> Charges:
        """Count ``spent_tokens`` of a reservation as spent and free the rest.

        :returns: the charges to bill, never above the reservation. Each of their
            grants has an unconfirmed bill until :meth:`confirm`.
        """
        left = min(max(spent_tokens, 0), reservation.tokens)
        charges: list[tuple[GrantId, int]] = []
        for grant_id, tokens in reservation.parts:
            spend = min(left, tokens)
            left -= spend
            if spend > 0:
                charges.append((grant_id, spend))
            grant = self.grants.get(grant_id)
            if grant is None:
                # The grant was reclaimed while the request ran. Its bill will be
                # void, and the caller decides what to do about that.
                continue
            grant.reserved_tokens -= tokens
            if spend > 0:
                grant.spent_tokens += spend
                grant.unconfirmed += 1
        return tuple(charges)

    def confirm(self, charges: Charges, outcome: BillOutcome) -> None:
        """Apply the ledger's outcome of a bill; uncharged tokens are free again."""
        for grant_id, tokens in charges:
            grant = self.grants.get(grant_id)
            if grant is None:
                continue
            grant.unconfirmed -= 1
            if outcome is not BillOutcome.CHARGED:
                grant.spent_tokens -= tokens

    def release(self, reservation: GrantReservation) -> None:
        """Free the whole reservation of a request that did not run."""
        self.commit(reservation, 0)

    @property
    def has_open_bills(self) -> bool:
        """Whether the outcome of any bill is unknown."""
        return any(grant.unconfirmed for grant in self.grants.values())

    def settleable(self, now_s: float, *, all_grants: bool = False) -> list[HeldGrant]:
        """Idle grants whose lease has ended, or all idle grants while draining."""
        return [
            g
            for g in self.grants.values()
            if g.is_idle and (all_grants or now_s >= g.usable_until_s)
        ]

    def idle_grants(self, account: AccountId) -> list[HeldGrant]:
        """Idle grants of ``account``, to be settled when other entries want them."""
        return [g for g in self.held(account) if g.is_idle]

    def remove(self, grant_id: GrantId) -> None:
        """Remove a grant that is closed or whose settle record is being written."""
        grant = self.grants.pop(grant_id, None)
        if grant is not None:
            self._by_account[grant.account].pop(grant_id, None)


_RATE_WINDOW_S = 30.0


@attrs.define
class _DecayingRate:
    """Tokens per second, averaged over about :data:`_RATE_WINDOW_S`."""

    _tokens: float = 0.0
    _at_s: float = 0.0

    def add(self, tokens: int, now_s: float) -> None:
        self._tokens = self._left(now_s) + tokens
        self._at_s = now_s

    def per_s(self, now_s: float) -> float:
        return self._left(now_s) / _RATE_WINDOW_S

    def _left(self, now_s: float) -> float:
        return self._tokens * math.exp((self._at_s - now_s) / _RATE_WINDOW_S)


HELD_DIVISOR = 2
"""An entry holds at most half of its held and the free tokens together. The held tokens
count, because a burst at one entry could otherwise take grant after grant until the
entry held nearly all tokens. If it then died or were partitioned, every other entry
would refuse requests."""


def grant_size(
    free_tokens: int, available_tokens: int, missing_tokens: int, usual_tokens: int
) -> int:
    """How many tokens to request from the ledger.

    :param free_tokens: the account's free tokens in this entry's fold.
    :param available_tokens: what can be reserved on this entry's grants.
    :param missing_tokens: what the waiting request needs beyond that.
    :param usual_tokens: the default size of a grant.
    :returns: a size no larger than ``free_tokens``; 0 if nothing can be granted.
    """
    share = (available_tokens + free_tokens) // HELD_DIVISOR - available_tokens
    usual = min(usual_tokens, share)
    return max(0, min(free_tokens, max(missing_tokens, usual)))


@attrs.frozen
class Refill:
    """What to request so that an account's requests can be covered.

    :ivar grant_tokens: size of the grant to request from the ledger; 0 for none.
    :ivar others_tokens: tokens that other entries are asked to return; 0 for none.
    """

    grant_tokens: int = 0
    others_tokens: int = 0


def plan_refill(
    cost_tokens: int,
    available_tokens: int,
    free_tokens: int,
    elsewhere_tokens: int,
    rate_tokens_per_s: float,
    policy: GrantPolicy,
) -> Refill:
    """What to request when a request of ``cost_tokens`` comes in.

    An entry holds enough for ``cover_s`` of its own recent rate, so that it can
    serve while it is partitioned from the ledger. It requests a grant once half
    of that is used.

    :param available_tokens: what can be reserved on this entry's grants.
    :param free_tokens: the account's free tokens in this entry's fold.
    :param elsewhere_tokens: tokens in other entries' grants, in this entry's fold.
    :param rate_tokens_per_s: how fast this entry spends the account.
    """
    cover = int(rate_tokens_per_s * policy.cover_s)
    low_water = max(policy.low_water_tokens, cover // 2, cost_tokens)
    if available_tokens >= low_water:
        return Refill()
    missing = max(0, cost_tokens - available_tokens)
    usual = max(policy.grant_tokens, cover)
    size = grant_size(free_tokens, available_tokens, missing, usual)
    if missing > free_tokens and elsewhere_tokens > 0:
        return Refill(size, max(missing, policy.low_water_tokens))
    return Refill(size)


def reclaimable_grants(
    open_grants: Mapping[GrantId, OpenGrant],
    first_seen_s: Mapping[GrantId, float],
    gone: Iterable[EntryId],
    entry_id: EntryId,
    ended_boot_ids: Container[str],
    lease_s: float,
    now_s: float,
) -> list[GrantId]:
    """Open grants that no process can spend any more.

    A killed entry never settles its grants: their idle tokens would stay locked
    for good, and callers would be refused a budget that they paid for. A grant
    is reclaimed in either of two cases. Its holder is no longer in the platform's
    instance list and the whole lease has passed on this entry's clock since it
    folded the grant; the holder's lease began earlier, so it has ended whatever
    the holder's clock says. Or an earlier incarnation of this same entry took the
    grant. If the holder uses it nevertheless, the ledger's fold voids its bills:
    the settled grant id is the fencing token.

    :param first_seen_s: when this entry folded each grant.
    :param gone: entries that the platform lists as gone.
    :param ended_boot_ids: boot ids of earlier incarnations of this entry, known at
        its start. Not all boot ids but the present one: two incarnations that overlap
        during a replacement would reclaim each other's grants in turn.
    """
    departed = set(gone)

    def is_ended(grant: OpenGrant) -> bool:
        if grant.entry == entry_id:
            return grant.boot_id in ended_boot_ids
        seen_s = first_seen_s.get(grant.grant_id, now_s)
        return grant.entry in departed and now_s - seen_s >= lease_s

    return [grant_id for grant_id, grant in open_grants.items() if is_ended(grant)]


def budget_refusal(
    available_tokens: int,
    free_tokens: int,
    elsewhere_tokens: int,
    cost_tokens: int,
    ledger_reachable: bool,
    retry_after_s: float,
) -> Refusal:
    """Why a request that could not reserve ``cost_tokens`` is refused.

    :param available_tokens: what can be reserved on this entry's grants.
    :param free_tokens: the account's free tokens in this entry's fold.
    :param elsewhere_tokens: tokens in other entries' open grants, in this fold.
    :param ledger_reachable: whether the last ledger call succeeded.
    :returns: ``did_not_run`` in each case, since nothing was sent:
        ``ledger_unreachable`` if no grant can be requested now,
        ``budget_exhausted`` if the whole budget cannot cover the cost, and
        ``budget_held`` if other entries hold the missing tokens.
    """
    if not ledger_reachable:
        return did_not_run(
            Reason.LEDGER_UNREACHABLE, retry_after_s, "the ledger cannot be reached"
        )
    left = available_tokens + free_tokens
    if left + elsewhere_tokens < cost_tokens:
        return did_not_run(
            Reason.BUDGET_EXHAUSTED,
            None,
            f"needs {cost_tokens} tokens, budget has {left + elsewhere_tokens}",
        )
    return did_not_run(
        Reason.BUDGET_HELD, retry_after_s, "the tokens left are held by other entries"
    )
