"""Tokens for one request: in hand, by the next row, or from another entry."""

import asyncio
import math
import time
from typing import Protocol

from cachetools import LRUCache

from celerytrack.gateway.gifts import GiftClient
from celerytrack.ids import AccountId, EntryId
from celerytrack.members import MembershipView
from celerytrack.prepaid import PrepaidBook, Reservation

WAIT_TOKENS_S = 0.35
"""Longest a request waits for tokens: a row of a slow store comes within it, and with
one that is slower still a caller does better at another entry."""
SLOW_APPEND_S = 0.1
"""A row that has been on its way for this long is not waited for: it takes a tenth of
that as a rule, and the other entries answer sooner."""
FIRST_WAIT_S = 0.06
"""How long a request waits for a row before other entries are asked: an
append and a read back, with room for a slow answer."""
MOST_ASKED = 6
"""Entries asked for tokens, one after the other; each answers within a ms."""
ASKING_S = 0.1
"""How long others are asked for one request: what they have not given by then comes
too late for a caller that waits for a short answer."""
EMPTIED_S = 1.0
"""How long an entry that gave less than it was asked for is passed over for the others:
while the log is away its last row stands, and the same few, emptied long ago, would be
asked again and again beside others that hold the rest."""
EMPTIED_MOST = 4_096
"""Pairs of account and entry of which that is remembered."""
DRY_S = 0.25
"""How long other entries are not asked again for as many tokens of an account as
they did not have: a refusal then costs the caller no wait for them, and a
fleet whose account is used up does not ask itself at every request."""


class RowTask(Protocol):
    """The task that writes this entry's row."""

    def prompt(self, now_s: float) -> bool:
        """Whether a row made now would soon be on the log."""

    async def next_row(self, timeout_s: float) -> None:
        """Have a row written soon, and wait for it for ``timeout_s``."""

    @property
    def soon_s(self) -> float:
        """How long a row may be on its way and still be worth waiting for."""


class Reservations:
    """Finds tokens for requests.

    :param gifts: asks other entries for tokens.
    :param rows: writes the rows that claim tokens.
    """

    def __init__(
        self,
        book: PrepaidBook,
        members: MembershipView,
        gifts: GiftClient,
        rows: RowTask,
    ) -> None:
        self._book = book
        self._members = members
        self._gifts = gifts
        self._rows = rows
        self._lacking: dict[AccountId, tuple[int, float]] = {}
        self._emptied_until_s: LRUCache[tuple[AccountId, EntryId], float]
        self._emptied_until_s = LRUCache(EMPTIED_MOST)

    async def reserve(
        self, account: AccountId, tokens: int, urgent: bool
    ) -> Reservation | None:
        """Set ``tokens`` aside, waiting a short time for more to be claimed.

        :param urgent: whether no request is more urgent.
        :returns: ``None`` if they could not be had in time.
        """
        started_s = time.monotonic()
        asked = False
        while True:
            now_s = time.monotonic()
            held = self._book.reserve(account, tokens, now_s, urgent)
            if held is not None or self._book.exhausted(account, tokens):
                return held
            may_claim = self._book.may_claim(account, tokens, urgent)
            soon_s = self._rows.soon_s
            left_s = started_s + _patience_s(may_claim, asked, soon_s) - now_s
            if left_s > 0 and self._rows.prompt(now_s):
                await self._rows.next_row(min(left_s, soon_s))
            elif not asked and not self._dry(account, tokens, now_s):
                asked = True
                await self._ask(account, tokens, now_s)
            else:
                return None

    async def give(self, account: AccountId, tokens: int) -> int:
        """Give another entry up to ``tokens``; how many it gets.

        What is in hand is little; while the log answers, a row brings more of
        the claim, and the asking entry would get the rest nowhere else.
        """
        now_s = time.monotonic()
        short = self._book.givable_tokens(account, now_s) < tokens
        more = self._book.may_free(account, now_s)
        if short and more and self._rows.prompt(now_s):
            self._book.want(account, self._book.enough_to_give(tokens))
            await self._rows.next_row(FIRST_WAIT_S)
        return self._book.give(account, tokens, time.monotonic())

    def _dry(self, account: AccountId, tokens: int, now_s: float) -> bool:
        """Whether the others just did not have what would be missing now."""
        missing, until_s = self._lacking.get(account, (math.inf, 0.0))
        lacked = tokens - self._book.left_tokens(account, now_s)
        return now_s < until_s and lacked >= missing

    async def _ask(self, account: AccountId, tokens: int, now_s: float) -> None:
        """Ask the entries that probably hold most for what is missing."""
        missing = tokens - self._book.left_tokens(account, now_s)
        ends_s = now_s + ASKING_S
        asked = self._whom_to_ask(account, now_s)
        for entry in asked:
            member = self._members.member(entry)
            if missing <= 0 or time.monotonic() > ends_s:
                break
            if member is None:
                continue
            given = await self._gifts.ask(member.peer_address, account, missing)
            self._book.receive(account, given)
            if given < missing:
                emptied_until_s = time.monotonic() + EMPTIED_S
                self._emptied_until_s[account, entry] = emptied_until_s
            missing -= given
        if missing > 0 and len(asked) < MOST_ASKED:
            self._lacking[account] = (missing, time.monotonic() + DRY_S)

    def _whom_to_ask(self, account: AccountId, now_s: float) -> list[EntryId]:
        """The entries that probably hold most, without those just emptied."""
        held = self._book.rows.richest(account)
        until_s = self._emptied_until_s
        full = [e for e in held if until_s.get((account, e), now_s) <= now_s]
        return full[:MOST_ASKED]


def _patience_s(may_claim: bool, asked: bool, soon_s: float) -> float:
    """How long a request waits for rows, from its start.

    :param may_claim: whether a row could bring what it lacks. Where others hold
        the rest, waiting brings nothing before they were asked.
    :param soon_s: how long a row may be on its way.
    """
    if not may_claim:
        return 0.0
    if asked or soon_s > SLOW_APPEND_S:
        # A slow store answers the others no sooner: asked for a gift, they wait
        # for a row of their own.
        return WAIT_TOKENS_S
    return FIRST_WAIT_S


async def wait_for(event: asyncio.Event, timeout_s: float) -> None:
    """Wait for ``event``, but no longer than ``timeout_s``."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
