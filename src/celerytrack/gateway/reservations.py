"""Finds the tokens for a request.

They are immediately spendable here, become so with this entry's next row, or are
transferred by another entry.
"""

import asyncio
import math
import time
from typing import Protocol

from cachetools import LRUCache

from celerytrack.gateway.peer_requests import PeerClient
from celerytrack.ids import AccountId, EntryId
from celerytrack.membership.members import MembershipView
from celerytrack.prepaid import PrepaidBudgets, Reservation

MAX_TOKEN_WAIT_S = 0.35
"""Longest wait of a request for tokens. A slow store completes a row within it; with a
slower one the caller is better served by another entry."""
SLOW_APPEND_S = 0.1
"""A row that has been in flight for this long is not waited for: rows usually take a
tenth of it, and the other entries answer sooner."""
ROW_WAIT_S = 0.06
"""How long a request waits for a row before it asks other entries: an append and a
read back, with a margin for a slow answer."""
MAX_PEERS_ASKED = 6
"""Most entries asked for tokens, one after the other; each answers within a ms."""
PEER_REQUESTS_TIMEOUT_S = 0.1
"""Time limit for asking other entries on behalf of one request: tokens that come later
are too late for a caller that waits for a short answer."""
DEPLETED_TTL_S = 1.0
"""How long an entry that transferred less than requested is skipped. While the log is
unreachable, that entry's last row stays valid: the same few depleted entries would be
asked again and again instead of those that hold the remaining tokens."""
DEPLETED_CACHE_SIZE = 4_096
"""Pairs of account and entry that the cache of depleted entries holds."""
SHORTFALL_TTL_S = 0.25
"""How long a shortfall of an account is cached, so that no request asks the other
entries for as many tokens again. The caller is refused without waiting for them, and a
fleet with a used-up account does not exchange queries at every request."""


class RowTask(Protocol):
    """The task that publishes this entry's row."""

    def can_write_soon(self, now_s: float) -> bool:
        """Whether a row made now would soon be on the log."""

    async def flush_row(self, timeout_s: float) -> None:
        """Request an early row and wait up to ``timeout_s`` until it is folded."""

    @property
    def max_row_wait_s(self) -> float:
        """Longest time that a request waits for a row in flight."""


class Reservations:
    """Finds tokens for requests.

    :param peer_client: client for requests to other entries.
    :param rows: publishes the rows that claim tokens.
    """

    def __init__(
        self,
        budgets: PrepaidBudgets,
        members: MembershipView,
        peer_client: PeerClient,
        rows: RowTask,
    ) -> None:
        self._budgets = budgets
        self._members = members
        self._peer_client = peer_client
        self._rows = rows
        self._shortfalls: dict[AccountId, tuple[int, float]] = {}
        self._depleted_until_s: LRUCache[tuple[AccountId, EntryId], float]
        self._depleted_until_s = LRUCache(DEPLETED_CACHE_SIZE)

    async def reserve(
        self, account: AccountId, tokens: int, urgent: bool
    ) -> Reservation | None:
        """Reserve ``tokens``, waiting a short time for more to be claimed.

        :param urgent: whether the request has the highest priority.
        :returns: ``None`` if the tokens were not available in time.
        """
        started_s = time.monotonic()
        asked = False
        while True:
            now_s = time.monotonic()
            reservation = self._budgets.reserve(account, tokens, now_s, urgent)
            if reservation is not None or self._budgets.is_exhausted(account, tokens):
                return reservation
            may_claim = self._budgets.can_claim(account, tokens, urgent)
            max_row_wait_s = self._rows.max_row_wait_s
            left_s = started_s + _wait_limit_s(may_claim, asked, max_row_wait_s) - now_s
            if left_s > 0 and self._rows.can_write_soon(now_s):
                await self._rows.flush_row(min(left_s, max_row_wait_s))
            elif not asked and not self._is_known_short(account, tokens, now_s):
                asked = True
                await self._request_from_peers(account, tokens, now_s)
            else:
                return None

    async def transfer(self, account: AccountId, tokens: int) -> int:
        """Transfer up to ``tokens`` to another entry; returns how many.

        Only a small part of the claim is immediately spendable. While the log answers,
        a row frees more of it, which the requesting entry could get nowhere else.
        """
        now_s = time.monotonic()
        short = self._budgets.transferable_tokens(account, now_s) < tokens
        more = self._budgets.has_locked_tokens(account, now_s)
        if short and more and self._rows.can_write_soon(now_s):
            self._budgets.request_claim(
                account, self._budgets.required_to_transfer(tokens)
            )
            await self._rows.flush_row(ROW_WAIT_S)
        return self._budgets.transfer_out(account, tokens, time.monotonic())

    def _is_known_short(self, account: AccountId, tokens: int, now_s: float) -> bool:
        """Whether other entries recently lacked what the request is short of."""
        missing, until_s = self._shortfalls.get(account, (math.inf, 0.0))
        shortfall = tokens - self._budgets.available_tokens(account, now_s)
        return now_s < until_s and shortfall >= missing

    async def _request_from_peers(
        self, account: AccountId, tokens: int, now_s: float
    ) -> None:
        """Request the missing tokens from the entries that probably hold most."""
        missing = tokens - self._budgets.available_tokens(account, now_s)
        deadline_s = now_s + PEER_REQUESTS_TIMEOUT_S
        asked = self._peers_to_ask(account, now_s)
        for entry in asked:
            member = self._members.member(entry)
            if missing <= 0 or time.monotonic() > deadline_s:
                break
            if member is None:
                continue
            transferred = await self._peer_client.request_transfer(
                member.peer_address, account, missing
            )
            self._budgets.transfer_in(account, transferred)
            if transferred < missing:
                depleted_until_s = time.monotonic() + DEPLETED_TTL_S
                self._depleted_until_s[account, entry] = depleted_until_s
            missing -= transferred
        if missing > 0 and len(asked) < MAX_PEERS_ASKED:
            self._shortfalls[account] = (missing, time.monotonic() + SHORTFALL_TTL_S)

    def _peers_to_ask(self, account: AccountId, now_s: float) -> list[EntryId]:
        """The entries that probably hold most, without those recently depleted."""
        holders = self._budgets.rows.entries_by_unspent(account)
        until_s = self._depleted_until_s
        candidates = [e for e in holders if until_s.get((account, e), now_s) <= now_s]
        return candidates[:MAX_PEERS_ASKED]


def _wait_limit_s(may_claim: bool, asked: bool, max_row_wait_s: float) -> float:
    """How long a request waits for rows, from its start.

    :param may_claim: whether a row could claim the missing tokens. If not, other
        entries hold them, and only asking these helps.
    :param max_row_wait_s: longest time that a request waits for a row in flight.
    """
    if not may_claim:
        return 0.0
    if asked or max_row_wait_s > SLOW_APPEND_S:
        # A slow store is as slow for the other entries, which wait for a row of their
        # own before they transfer tokens.
        return MAX_TOKEN_WAIT_S
    return ROW_WAIT_S


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    """Wait for ``event``, but at most ``timeout_s``; a timeout raises nothing."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
