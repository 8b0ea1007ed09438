"""The task that keeps this entry's row on the log and its prepaid shares.

It owns the topic of the entries' rows: it folds all rows into the
:class:`~celerytrack.prepaid.PrepaidBook` and the
:class:`~celerytrack.members.MemberView`, and writes this entry's row, one
append at a time, numbered, so that an append that lands late or twice is
recognised by the store and never overwrites a later one.
"""

import asyncio
import logging
import math
import time

from returns.result import Failure, Success

from celerytrack.events import Event, log_event
from celerytrack.gateway.gifts import GiftClient
from celerytrack.gateway.tail import RETRY_MAX_S, RETRY_S, KeyedTail
from celerytrack.ids import AccountId, EntryId, Zone
from celerytrack.members import (
    Member,
    MemberState,
    MemberView,
    age_at_power_s,
    age_at_start_s,
    beat_interval_s,
    urgent_gap_s,
)
from celerytrack.platform.rows import RowError, decode_member, encode_member
from celerytrack.platform.store import (
    KeyedRecord,
    StoreClient,
    StoreErrorKind,
    Writer,
)
from celerytrack.platform.topics import ENTRIES_TOPIC
from celerytrack.prepaid import PrepaidBook, Reservation

_log = logging.getLogger(__name__)

DRY_S = 0.25
"""How long other entries are not asked again for as many tokens of an account as
they did not have: a refusal then costs the caller no wait of up to 0.1 s, and a
fleet whose account is used up does not ask itself at every request."""
WAIT_TOKENS_S = 0.35
"""Longest a request waits for tokens: an append and a read take 10 ms each,
and a store slowed fiftyfold 400 ms; a caller does better at another entry."""

SLOW_APPEND_S = 0.1
"""A row that has been on its way for this long is not waited for: it takes
10 ms as a rule, and the other entries answer sooner."""
FIRST_WAIT_S = 0.06
"""How long a request waits for a row before other entries are asked: an
append and a read back, with room for a slow answer."""
RECONSIDER_S = 8.0
"""How long after its start an entry looks for others that lost power with it:
they start within a second of each other, and write a row a second later."""
MOST_ASKED = 6
"""Entries asked for tokens, one after the other; each answers within a ms."""


class FencedError(Exception):
    """A later start of this entry writes its row: this process must end."""


class ShareKeeper:
    """Owns the entries' rows.

    :param entry_id: the row's key, distinct for every instance.
    :param gifts: asks other entries for tokens.
    :param started_s: when this process began, on the steady clock.
    """

    def __init__(
        self,
        store: StoreClient,
        entry_id: EntryId,
        front_address: str,
        peer_address: str,
        zone: Zone,
        gifts: GiftClient,
        started_s: float,
    ) -> None:
        self.book = PrepaidBook(entry_id)
        self.members = MemberView(entry_id)
        self.state = MemberState.SERVING
        self.epoch = 0
        self.started = False
        self._store = store
        self._entry_id = entry_id
        self._front_address = front_address
        self._peer_address = peer_address
        self._gifts = gifts
        self._started_s = started_s
        self._zone = zone
        self._sequence = 0
        self._lacking: dict[AccountId, tuple[int, float]] = {}
        self._sent_s: float | None = None
        self._left_at_s: float | None = None
        self._doubtful: Member | None = None
        self._tail = KeyedTail(store, ENTRIES_TOPIC, self._apply, self._reload)
        self._wake = asyncio.Event()
        self._changed = asyncio.Event()

    @property
    def reachable(self) -> bool:
        """Whether the last read of the rows was answered."""
        return self._tail.reachable

    # -- what request handlers ask ----------------------------------------

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
            held = self.book.reserve(account, tokens, now_s, urgent)
            if held is not None:
                return held
            if self.book.exhausted(account, tokens):
                return None
            if asked:
                patience_s = WAIT_TOKENS_S
            elif self.book.may_claim(account, tokens):
                patience_s = FIRST_WAIT_S
            else:
                # Others hold the rest: a row of ours would bring nothing.
                patience_s = 0.0
            left_s = started_s + patience_s - now_s
            if left_s > 0 and self._prompt(now_s):
                self._wake.set()
                await self._wait_changed(min(left_s, SLOW_APPEND_S))
            elif not asked and not self._dry(account, tokens, now_s):
                asked = True
                await self._ask(account, tokens, now_s)
            else:
                return None

    def _prompt(self, now_s: float) -> bool:
        """Whether a row made now would soon be on the log.

        A store that has just gone silent is found out only when the call runs
        into its timeout: every request of those 1.5 s would wait for nothing.
        """
        pending_s = 0.0 if self._sent_s is None else now_s - self._sent_s
        return self._tail.reachable and pending_s < SLOW_APPEND_S

    def _dry(self, account: AccountId, tokens: int, now_s: float) -> bool:
        """Whether the others just did not have what would be missing now."""
        missing, until_s = self._lacking.get(account, (math.inf, 0.0))
        lacked = tokens - self.book.left_tokens(account, now_s)
        return now_s < until_s and lacked >= missing

    async def give(self, account: AccountId, tokens: int) -> int:
        """Give another entry up to ``tokens``; how many it gets.

        What is in hand is little; while the log answers, a row brings more of
        the claim, and the asking entry would get the rest nowhere else.
        """
        now_s = time.monotonic()
        if self.book.givable_tokens(account, now_s) < tokens and self._prompt(now_s):
            self.book.want(account, self.book.enough_to_give(tokens))
            self._wake.set()
            await self._wait_changed(FIRST_WAIT_S)
        return self.book.give(account, tokens, time.monotonic())

    async def _wait_changed(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _ask(self, account: AccountId, tokens: int, now_s: float) -> None:
        """Ask the entries that probably hold most for what is missing."""
        missing = tokens - self.book.left_tokens(account, now_s)
        for entry in self.book.richest(account, MOST_ASKED):
            member = self.members.member(entry)
            if member is None or missing <= 0:
                continue
            given = await self._gifts.ask(member.peer_address, account, missing)
            self.book.receive(account, given)
            missing -= given
        if missing > 0:
            self._lacking[account] = (missing, time.monotonic() + DRY_S)

    # -- the task ----------------------------------------------------------

    async def run(self) -> None:
        """Take the row over, then keep it up to date for ever."""
        await self._take_over()
        written_s = float("-inf")
        while True:
            now_s = time.monotonic()
            entries = self.members.count(now_s)
            urgent = self.book.plan(entries, now_s)
            interval_s = beat_interval_s(entries)
            if urgent or now_s - written_s >= interval_s:
                log_event(_log, Event.SHARES, shares=self.book.summary(now_s))
                await self._write()
                written_s = time.monotonic()
                gap_s = urgent_gap_s(entries)
                await asyncio.sleep(gap_s)
                interval_s -= gap_s
            self._wake.clear()
            try:
                async with asyncio.timeout(interval_s):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def leave(self) -> None:
        """Publish that this entry takes no new callers."""
        self.state = MemberState.LEAVING
        self._wake.set()

    async def _take_over(self) -> None:
        # Fence first, then read: an append of the earlier start that is
        # still on its way would otherwise land after the row was read.
        await self._tail.load()
        self.epoch += 1
        while True:
            writer = Writer(self._entry_id, self.epoch, 0)
            match await self._store.set_epoch(ENTRIES_TOPIC, writer):
                case Success(_):
                    break
                case Failure(error) if error.kind is StoreErrorKind.FENCED:
                    self.epoch += 1
                case _:
                    await asyncio.sleep(RETRY_S)
        while not await self._tail.poll():
            await asyncio.sleep(RETRY_S)
        last = self.members.member(self._entry_id)
        age_s = None
        if last is not None:
            age_s = age_at_start_s(last, self._started_s, _clock_offset_s())
            self._left_at_s = last.made_at_s
            self._doubtful = last if age_s is None else None
        self.book.adopt(age_s)
        self.started = True
        log_event(
            _log,
            Event.SHARES_TAKEN_OVER,
            epoch=self.epoch,
            age_s=age_s,
            lost=self.book.lost(),
            last_made_s=last.made_s if last else None,
            started_s=self._started_s,
            clock_moved_s=_clock_offset_s() - last.clock_offset_s if last else None,
        )

    async def _write(self) -> None:
        now_s = time.monotonic()
        member = Member(
            entry_id=self._entry_id,
            epoch=self.epoch,
            front_address=self._front_address,
            peer_address=self._peer_address,
            zone=self._zone,
            state=self.state,
            made_s=now_s,
            clock_offset_s=_clock_offset_s(),
            started_s=self._started_s,
            left_at_s=self._left_at_s,
            shares=self.book.next_row(now_s),
        )
        self._sent_s = now_s
        offset = await self._append(encode_member(member))
        if self._tail.next_offset == offset:
            # Nobody wrote in between: no need to read our own row back.
            self._fold(member)
            self._tail.next_offset = offset + 1
        pause_s = RETRY_S
        while self._tail.next_offset is None or self._tail.next_offset <= offset:
            if not await self._tail.poll():
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, RETRY_MAX_S)
        self._sent_s = None
        self.members.read_ok(time.monotonic())
        self.book.row_folded()
        self._reconsider(member)
        self._notify()

    def _reconsider(self, mine: Member) -> None:
        """See whether all lost power together, so that the rest of the claim
        that was adopted as spent is free."""
        left = self._doubtful
        if left is None:
            return
        rows = self.members.members()
        others = [row for entry, row in rows.items() if entry != self._entry_id]
        age_s = age_at_power_s(mine, others)
        if age_s is not None:
            self.book.free_beyond(left.shares, age_s)
            log_event(
                _log,
                Event.SHARES_FREED,
                age_s=age_s,
                others=len(others),
                lost=self.book.lost(),
            )
        elif time.monotonic() - self._started_s < RECONSIDER_S:
            return
        self._doubtful = None

    async def _append(self, value: bytes) -> int:
        pause_s = RETRY_S
        while True:
            # The number moves on only once the store has answered: a repeat
            # is recognised by it, and one that lands late is refused.
            writer = Writer(self._entry_id, self.epoch, self._sequence)
            result = await self._store.append(
                ENTRIES_TOPIC, self._entry_id, value, writer
            )
            match result:
                case Success(offset):
                    self._tail.reachable = True
                    self._sequence += 1
                    return offset
                case Failure(error) if error.kind is StoreErrorKind.FENCED:
                    raise FencedError(error.detail)
                case Failure(error):
                    log_event(
                        _log,
                        Event.ROW_NOT_WRITTEN,
                        logging.WARNING,
                        kind=error.kind.value,
                        detail=error.detail,
                        sequence=self._sequence,
                    )
                    self._tail.reachable = False
                    if error.kind is StoreErrorKind.OUT_OF_SEQUENCE:
                        self._sequence = self._next_sequence(error.expected)
                    self._notify()
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, RETRY_MAX_S)

    def _next_sequence(self, expected: int | None) -> int:
        return self._sequence + 1 if expected is None else expected

    # -- the fold ----------------------------------------------------------

    def _apply(self, record: KeyedRecord) -> None:
        if record.value is None:
            self.members.dropped(EntryId(record.key))
            self.book.fold(EntryId(record.key), {})
            return
        try:
            self._fold(decode_member(record.key, record.value))
        except RowError as exc:
            self.book.unreadable(EntryId(record.key))
            log_event(_log, Event.ROW_REJECTED, logging.ERROR, detail=str(exc))

    def _fold(self, member: Member) -> None:
        self.members.fold(member, time.monotonic())
        self.book.fold(member.entry_id, member.shares)
        if member.entry_id == self._entry_id:
            self.epoch = max(self.epoch, member.epoch)

    def _reload(self, keys: set[str]) -> None:
        self.book.keep_only({EntryId(key) for key in keys})

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _clock_offset_s() -> float:
    return time.time() - time.monotonic()
