"""An entry's escrow: the grants it holds and what requests reserved of them.

Admission reserves a request's largest possible cost before the request is
sent anywhere; completion commits the real cost and frees the rest. Only
tokens held in a grant can be reserved, so an entry cut off from the ledger
spends at most what it holds, and the ledger's fold guarantees that what all
entries hold never passes the budget.

Every method that decides takes the present time ``now_s`` (monotonic
seconds) as an argument.
"""

import itertools

import attrs

from celerytrack.ids import AccountId, EntryId, GrantId, RequestId
from celerytrack.verdict import Reason, Refusal, did_not_run


@attrs.define
class HeldGrant:
    """A grant this entry holds.

    :ivar usable_until_s: the lease end; no reservation is made after it.
    """

    grant_id: GrantId
    account: AccountId
    tokens: int
    usable_until_s: float
    reserved_tokens: int = 0
    spent_tokens: int = 0

    def available(self, now_s: float) -> int:
        """Tokens that can still be reserved at ``now_s``."""
        if now_s >= self.usable_until_s:
            return 0
        return self.tokens - self.reserved_tokens - self.spent_tokens


@attrs.frozen
class Reservation:
    """Tokens set aside for one request, possibly across several grants."""

    request_id: RequestId
    account: AccountId
    parts: tuple[tuple[GrantId, int], ...]

    @property
    def tokens(self) -> int:
        """The total reserved."""
        return sum(n for _, n in self.parts)


@attrs.define
class EscrowBook:
    """All grants one entry holds, and their reservations.

    :ivar entry: this entry's id, used to make grant ids.
    """

    entry: EntryId
    grants: dict[GrantId, HeldGrant] = attrs.field(factory=dict)
    pending: set[AccountId] = attrs.field(factory=set)
    _serial: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    def new_grant_id(self, boot_id: str) -> GrantId:
        """A grant id unique to this entry process."""
        return GrantId(f"{self.entry}.{boot_id}.{next(self._serial)}")

    def add(self, grant: HeldGrant) -> None:
        """Hold a grant that the ledger accepted."""
        self.grants[grant.grant_id] = grant
        self.pending.discard(grant.account)

    def available(self, account: AccountId, now_s: float) -> int:
        """Tokens of ``account`` that can be reserved at ``now_s``."""
        return sum(
            g.available(now_s) for g in self.grants.values() if g.account == account
        )

    def reserve(
        self, request_id: RequestId, account: AccountId, tokens: int, now_s: float
    ) -> Reservation | None:
        """Set aside ``tokens`` for a request, or ``None`` if not held."""
        if tokens > self.available(account, now_s):
            return None
        parts: list[tuple[GrantId, int]] = []
        left = tokens
        # Soonest-ending grants first, so tokens are used before leases end.
        held = sorted(
            (g for g in self.grants.values() if g.account == account),
            key=lambda g: g.usable_until_s,
        )
        for grant in held:
            take = min(left, grant.available(now_s))
            if take > 0:
                grant.reserved_tokens += take
                parts.append((grant.grant_id, take))
                left -= take
            if left == 0:
                break
        return Reservation(request_id, account, tuple(parts))

    def commit(self, reservation: Reservation, spent_tokens: int) -> int:
        """Turn a reservation into spend of ``spent_tokens``; free the rest.

        :returns: the tokens counted as spent (never above the reservation).
        """
        left = min(max(spent_tokens, 0), reservation.tokens)
        counted = left
        for grant_id, tokens in reservation.parts:
            grant = self.grants[grant_id]
            grant.reserved_tokens -= tokens
            spend = min(left, tokens)
            grant.spent_tokens += spend
            left -= spend
        return counted

    def release(self, reservation: Reservation) -> None:
        """Give a reservation back unspent: the request never ran."""
        self.commit(reservation, 0)

    def wants_grant(self, account: AccountId, low_water: int, now_s: float) -> bool:
        """Whether to ask the ledger for another grant of ``account``."""
        if account in self.pending:
            return False
        return self.available(account, now_s) < low_water

    def settleable(self, now_s: float, *, all_grants: bool = False) -> list[HeldGrant]:
        """Grants to settle: leases ended (or all, on drain), none reserved."""
        return [
            g
            for g in self.grants.values()
            if g.reserved_tokens == 0 and (all_grants or now_s >= g.usable_until_s)
        ]

    def forget(self, grant_id: GrantId) -> None:
        """Drop a grant once its settle record is on the log."""
        self.grants.pop(grant_id, None)


GRANT_SHARE = 4
"""A grant takes at most a quarter of what is free, so one entry cut off
from the ledger never sits on the whole budget while others refuse."""


def grant_size(free_tokens: int, wanted_tokens: int, grant_tokens: int) -> int:
    """How many tokens to ask the ledger for.

    :param free_tokens: the account's free tokens in this entry's fold.
    :param wanted_tokens: what the waiting request needs beyond what is held.
    :param grant_tokens: the policy's usual grant.
    :returns: a size no larger than ``free_tokens`` (0 means none can be had).
    """
    usual = min(grant_tokens, free_tokens // GRANT_SHARE)
    return max(0, min(free_tokens, max(wanted_tokens, usual)))


def budget_refusal(
    available_tokens: int,
    free_tokens: int,
    cost_tokens: int,
    ledger_reachable: bool,
    retry_after_s: float,
) -> Refusal:
    """Why a request that could not reserve ``cost_tokens`` is refused.

    :param available_tokens: what this entry's grants still hold.
    :param free_tokens: the account's free tokens in this entry's fold.
    :param ledger_reachable: whether the last ledger call got through.
    :returns: ``budget_exhausted`` if the whole budget cannot cover the
        cost, else ``ledger_unreachable`` with a time to come back; both
        ``did_not_run``, since nothing was sent.
    """
    if ledger_reachable and available_tokens + free_tokens < cost_tokens:
        return did_not_run(
            Reason.BUDGET_EXHAUSTED,
            None,
            f"needs {cost_tokens} tokens, budget has {available_tokens + free_tokens}",
        )
    return did_not_run(
        Reason.LEDGER_UNREACHABLE,
        retry_after_s,
        "no grant could be taken from the ledger",
    )
