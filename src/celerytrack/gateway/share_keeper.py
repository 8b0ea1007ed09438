"""The task that keeps this entry's row on the log and its prepaid shares.

It owns the topic of the entries' rows: it folds all rows into the
:class:`~celerytrack.prepaid.PrepaidBook` and the
:class:`~celerytrack.members.MemberView`, and writes this entry's row, one
append at a time, numbered, so that an append that lands late or twice is
recognised by the store and never overwrites a later one.
"""

import asyncio
import logging
import time

from celerytrack.eras import Era, EraChange, EraWatch
from celerytrack.events import Event, log_event
from celerytrack.gateway.gifts import GiftClient
from celerytrack.gateway.hedged_store import Store
from celerytrack.gateway.last_row import LastRow, clock_offset_s
from celerytrack.gateway.reservations import (
    SLOW_APPEND_S,
    WAIT_TOKENS_S,
    Reservations,
    wait_for,
)
from celerytrack.gateway.restore_logs import log_hold_over, log_restored
from celerytrack.gateway.row_writer import FencedError, RestoredError, RowWriter
from celerytrack.gateway.tail import RETRY_MAX_S, RETRY_S, KeyedTail
from celerytrack.ids import EntryId, Zone
from celerytrack.member import rows_of_other_eras
from celerytrack.members import (
    Member,
    MembershipView,
    MemberState,
)
from celerytrack.platform.log_format import KeyedRecord
from celerytrack.platform.rows import RowError, decode_member, encode_member
from celerytrack.platform.topics import ENTRIES_TOPIC
from celerytrack.prepaid import PrepaidBook
from celerytrack.row_pace import RowPace, beat_interval_s

_log = logging.getLogger(__name__)

ROW_TIME_GAIN = 0.3
"""Weight of the newest row in how long rows take: a store that turns slow is known
after three."""
MOST_ASKED = 20
"""Entries asked at most: each that was alive as the log came back knows the row."""
LEAST_WAIT_S = 0.001
"""Shortest wait for the next row that is due: what is left of an interval may be less
than a clock tells apart."""


class ShareKeeper:
    """Owns the entries' rows.

    :param entry_id: the row's key, distinct for every instance.
    :param gifts: asks other entries for tokens.
    :param started_s: when this process began, on the steady clock.
    :param link_mbps: what the instance's link carries; 0 if it is not told.
    :param eras: the era of the log.
    """

    def __init__(
        self,
        store: Store,
        entry_id: EntryId,
        front_address: str,
        peer_address: str,
        zone: Zone,
        gifts: GiftClient,
        started_s: float,
        link_mbps: float = 0.0,
        eras: EraWatch | None = None,
    ) -> None:
        self.book = PrepaidBook(entry_id)
        self.members = MembershipView(entry_id, link_mbps)
        self._pace = RowPace()
        self.state = MemberState.SERVING
        self.started = False
        self._store = store
        self._gifts = gifts
        self._entry_id = entry_id
        self._front_address = front_address
        self._peer_address = peer_address
        self._started_s = started_s
        self._zone = zone
        self._eras = EraWatch() if eras is None else eras
        self._eras.on_change(self._era_changed)
        self._eras_handled = 0
        self._later_start_seen = False
        self._writer = RowWriter(store, entry_id, self._contact, self._eras)
        self._sent_s: float | None = None
        self._last_row = LastRow(started_s)
        self._row_due = False
        self._tail = KeyedTail(
            store, ENTRIES_TOPIC, self._apply, self._reload, eras=self._eras
        )
        self._wake = asyncio.Event()
        self._rows_made = 0
        self._rows_folded = 0
        self._changed = asyncio.Event()
        self.reservations = Reservations(self.book, self.members, gifts, self)

    @property
    def reachable(self) -> bool:
        """Whether the last read of the rows was answered."""
        return self._tail.reachable

    # -- what reservations need ---------------------------------------------

    def prompt(self, now_s: float) -> bool:
        """Whether a row made now would soon be on the log.

        A store that has just gone silent is found out only when the call runs
        into its timeout: every request until then would wait for nothing.
        """
        pending_s = 0.0 if self._sent_s is None else now_s - self._sent_s
        return self._tail.reachable and pending_s < self.soon_s

    @property
    def soon_s(self) -> float:
        """How long a row may be on its way and still be worth waiting for: a store
        that is slow, and not away, brings it in twice its usual time."""
        return max(SLOW_APPEND_S, 2 * self.book.row_time_s)

    async def next_row(self, timeout_s: float) -> None:
        """Have a row written soon, and wait for it for ``timeout_s``."""
        self._wake.set()
        await wait_for(self._changed, timeout_s)

    # -- the task ----------------------------------------------------------

    async def run(self) -> None:
        """Take the row over, then keep it up to date for ever."""
        await self._take_over()
        written_s = float("-inf")
        while True:
            if self._restored:
                await self._fence_again()
                self._row_due = True
            now_s = time.monotonic()
            division = self.members.caller_split(now_s)
            entries = division.rate_limit_shares
            urgent = self._plan(division.account_shares, now_s)
            interval_s = beat_interval_s(entries)
            if urgent or self._row_due or now_s - written_s >= interval_s:
                self._row_due = False
                log_event(_log, Event.SHARES, shares=self.book.summary(now_s))
                await self._write_row()
                written_s = time.monotonic()
                await asyncio.sleep(self._pace.pause_s(entries, written_s))
            self._wake.clear()
            left_s = written_s + interval_s - time.monotonic()
            if self._row_due or self._restored:
                left_s = 0.0
            await wait_for(self._wake, max(LEAST_WAIT_S, left_s))

    def leave(self) -> None:
        """Publish at once that this entry takes no new callers."""
        self.state = MemberState.LEAVING
        self._row_due = True
        self._wake.set()

    async def publish_last(self, ends_s: float) -> None:
        """Publish what is left unspent, and wait for that row until ``ends_s``."""
        self.book.return_unspent()
        self.leave()
        made = self._rows_made
        while self._rows_folded <= made:
            left_s = ends_s - time.monotonic()
            if left_s <= 0:
                return
            await wait_for(self._changed, left_s)

    async def _take_over(self) -> None:
        # Fence first, then read: an append of the earlier start that is
        # still on its way would otherwise land after the row was read.
        self._eras_handled = self._eras.changes
        await self._tail.load()
        await self._writer.fence()
        while not await self._tail.poll():
            await asyncio.sleep(RETRY_S)
        last = self.members.member(self._entry_id)
        await self._recall(last)
        age_s = self._last_row.age_s(last, self._eras.known)
        self.book.adopt(age_s)
        self._learn_of_restore()
        self.started = True
        log_event(
            _log,
            Event.SHARES_TAKEN_OVER,
            epoch=self._writer.epoch,
            age_s=age_s,
            lost=self.book.lost(),
            last_made_s=last.made_s if last else None,
            started_s=self._started_s,
            clock_moved_s=clock_offset_s() - last.clock_offset_s if last else None,
        )

    async def _recall(self, last: Member | None) -> None:
        """Ask the others what they know of this entry's row, if the log may have lost
        the newest: what the start before had claimed by it may be spent."""
        era = self._eras.known
        if era is None or (last is not None and last.era in (None, era)):
            return
        others = self.members.live_peers(time.monotonic())[:MOST_ASKED]
        asked = (self._gifts.ask_row(m.peer_address, self._entry_id) for m in others)
        for row in await asyncio.gather(*asked):
            self.book.recall(row)

    def _plan(self, parts: float, now_s: float) -> bool:
        held = self.book.guard.holding
        urgent = self.book.plan(parts, now_s)
        if held and not self.book.guard.holding:
            log_hold_over(self.book.guard, self._eras.known)
        return urgent

    async def _write_row(self) -> None:
        try:
            await self._write()
        except RestoredError:
            # It may be lost with the copy: the next one is made in the new era.
            self._sent_s = None

    async def _write(self) -> None:
        now_s = time.monotonic()
        self._rows_made += 1
        offset_s = clock_offset_s()
        member = Member(
            entry_id=self._entry_id,
            epoch=self._writer.epoch,
            front_address=self._front_address,
            peer_address=self._peer_address,
            zone=self._zone,
            state=self.state,
            made_s=now_s,
            clock_offset_s=offset_s,
            started_s=self._started_s,
            left_at_s=self._last_row.left_at_s,
            clock_lead_s=self.members.clock_lead_s(offset_s),
            link_mbps=self.members.link_mbps,
            era=self._eras.known,
            shares=self.book.next_row(now_s),
        )
        self._sent_s = now_s
        changes = self._eras.changes
        offset = await self._writer.append(encode_member(member))
        if self._tail.next_offset == offset and self._tail.of_known_era:
            # Nobody wrote in between: no need to read our own row back.
            self._fold(member)
            self._tail.next_offset = offset + 1
        pause_s = RETRY_S
        while not self._tail.has_read(offset):
            if not await self._tail.poll():
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, RETRY_MAX_S)
            if changes != self._eras.changes:
                raise RestoredError
        self._sent_s = None
        self._learn_row_time(time.monotonic() - now_s)
        self.members.record_read(time.monotonic())
        self.book.row_folded()
        self._rows_folded = self._rows_made
        self._last_row.reconsider(member, self.members, self.book)
        self._notify()

    def _learn_row_time(self, took_s: float) -> None:
        # A row that was sent again through an outage tells nothing of the next.
        took_s = min(took_s, WAIT_TOKENS_S)
        known_s = self.book.row_time_s
        self.book.row_time_s = known_s + ROW_TIME_GAIN * (took_s - known_s)

    # -- a log that came back from a copy -------------------------------------

    def _era_changed(self, change: EraChange) -> None:
        """Hold at once: what other tasks read next is of the copy."""
        alive = self.members.recent_writers()
        if not self.started:
            alive = set(self._rows_of_other_eras())
        awaited = alive - {self._entry_id}
        self.book.rose(change.new, awaited, change.seen_at_s)
        log_restored(change, self._tail.next_offset, awaited)
        self._wake.set()

    @property
    def _restored(self) -> bool:
        """Whether the log came back from a copy since this entry's row was fenced."""
        return self._eras_handled != self._eras.changes

    async def _fence_again(self) -> None:
        self._eras_handled = self._eras.changes
        try:
            await self._writer.fence_again()
        except FencedError:
            # A copy may hold higher epochs of earlier starts, from before the log came
            # back another time. A later start has a row there.
            while not await self._tail.poll():
                await asyncio.sleep(RETRY_S)
            if self._later_start_seen:
                raise
            await self._writer.fence()

    def _learn_of_restore(self) -> None:
        """At a start, rows of an earlier era tell that the log may just be back."""
        others = self._rows_of_other_eras()
        if others:
            self._eras.learn(max(others.values()), time.monotonic())

    def _rows_of_other_eras(self) -> dict[EntryId, Era]:
        return rows_of_other_eras(self.members.members().values(), self._eras.known)

    # -- the fold ----------------------------------------------------------

    def _apply(self, record: KeyedRecord) -> None:
        if record.value is None:
            self.members.remove(EntryId(record.key))
            self.book.fold(EntryId(record.key), {})
            return
        try:
            self._fold(decode_member(record.key, record.value))
        except RowError as exc:
            self.book.unreadable(EntryId(record.key))
            log_event(_log, Event.ROW_REJECTED, logging.ERROR, detail=str(exc))

    def _fold(self, member: Member) -> None:
        self.members.fold(member, time.monotonic())
        self.book.fold(member.entry_id, member.shares, member.era)
        if member.entry_id == self._entry_id:
            self._note_own(member)

    def _note_own(self, member: Member) -> None:
        if not self.started:
            self._writer.epoch = max(self._writer.epoch, member.epoch)
        elif member.started_s != self._started_s:
            started_at_s = self._started_s + clock_offset_s()
            self._later_start_seen |= member.started_at_s > started_at_s

    def _reload(self, keys: set[str]) -> None:
        self.book.keep_only({EntryId(key) for key in keys})

    def _contact(self, answered: bool) -> None:
        self._tail.reachable = answered
        if not answered:
            # Requests that wait for a row are better served elsewhere.
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
