"""The task that publishes this entry's row and follows those of all entries.

It folds each row of the entries topic into the
:class:`~celerytrack.prepaid.PrepaidBudgets` and the
:class:`~celerytrack.membership.members.MembershipView`, and appends this entry's row,
one append at a time. Appends are numbered: the store recognises one that arrives late
or twice, so it never overwrites a later row.
"""

import asyncio
import logging
import time

from celerytrack.eras import Era, EraChange, EraTracker
from celerytrack.events import Event, log_event
from celerytrack.gateway.hedged_store import Store
from celerytrack.gateway.last_row import PreviousRow, clock_offset_s
from celerytrack.gateway.peer_requests import PeerClient
from celerytrack.gateway.reservations import (
    MAX_TOKEN_WAIT_S,
    SLOW_APPEND_S,
    Reservations,
    wait_for_event,
)
from celerytrack.gateway.restore_logs import log_hold_ended, log_restored
from celerytrack.gateway.row_writer import FencedError, LogRestoredError, RowWriter
from celerytrack.gateway.tail import RETRY_MAX_S, RETRY_S, KeyedTail
from celerytrack.ids import EntryId, Zone
from celerytrack.membership.member import rows_of_other_eras
from celerytrack.membership.members import (
    Member,
    MembershipView,
    MemberState,
)
from celerytrack.membership.row_rate import RowRateLimiter, heartbeat_interval_s
from celerytrack.platform.log_format import KeyedRecord
from celerytrack.platform.rows import RowError, decode_member, encode_member
from celerytrack.platform.topics import ENTRIES_TOPIC
from celerytrack.prepaid import PrepaidBudgets

_log = logging.getLogger(__name__)

ROW_TIME_EWMA_WEIGHT = 0.3
"""Weight of the newest row in the average row time: a store that becomes slow shows
after three rows."""
MAX_RECALL_PEERS = 20
"""Most entries asked for this entry's row: each that was alive when the log was
restored knows it."""
MIN_WAIT_S = 0.001
"""Shortest wait for the next due row: the rest of an interval may be below the
resolution of the clock."""


class ShareSync:
    """Publishes this entry's row and folds those of all entries.

    :param entry_id: key of the row; it differs from instance to instance.
    :param peer_client: client for requests to other entries.
    :param started_s: start of this process on the monotonic clock.
    :param link_mbps: capacity of the instance's link; 0 if unknown.
    :param eras: tracks the era of the log.
    """

    def __init__(
        self,
        store: Store,
        entry_id: EntryId,
        front_address: str,
        peer_address: str,
        zone: Zone,
        peer_client: PeerClient,
        started_s: float,
        link_mbps: float = 0.0,
        eras: EraTracker | None = None,
    ) -> None:
        self.budgets = PrepaidBudgets(entry_id)
        self.members = MembershipView(entry_id, link_mbps)
        self._row_limiter = RowRateLimiter()
        self.state = MemberState.SERVING
        self.started = False
        self._store = store
        self._peer_client = peer_client
        self._entry_id = entry_id
        self._front_address = front_address
        self._peer_address = peer_address
        self._started_s = started_s
        self._zone = zone
        self._eras = EraTracker() if eras is None else eras
        self._eras.on_change(self._on_era_change)
        self._handled_era_changes = 0
        self._superseded = False
        self._writer = RowWriter(store, entry_id, self._on_append_result, self._eras)
        self._append_started_s: float | None = None
        self._previous_row = PreviousRow(started_s)
        self._row_due = False
        self._tail = KeyedTail(
            store,
            ENTRIES_TOPIC,
            self._apply_record,
            self._drop_missing,
            eras=self._eras,
        )
        self._wake = asyncio.Event()
        self._rows_made = 0
        self._rows_folded = 0
        self._changed = asyncio.Event()
        self.reservations = Reservations(self.budgets, self.members, peer_client, self)

    @property
    def reachable(self) -> bool:
        """Whether the store answered the last read of the rows."""
        return self._tail.reachable

    # -- what reservations need ---------------------------------------------

    def can_write_soon(self, now_s: float) -> bool:
        """Whether a row made now would soon be on the log.

        A store that has just stopped answering is detected only when the call times
        out: every request until then would wait in vain.
        """
        pending_s = (
            0.0 if self._append_started_s is None else now_s - self._append_started_s
        )
        return self._tail.reachable and pending_s < self.max_row_wait_s

    @property
    def max_row_wait_s(self) -> float:
        """Longest time that a request waits for a row in flight. A store that is slow
        but available completes the append within twice its usual time."""
        return max(SLOW_APPEND_S, 2 * self.budgets.row_round_trip_s)

    async def flush_row(self, timeout_s: float) -> None:
        """Request an early row and wait up to ``timeout_s`` until it is folded."""
        self._wake.set()
        await wait_for_event(self._changed, timeout_s)

    # -- the task ----------------------------------------------------------

    async def run(self) -> None:
        """Take over the row, then update it until cancelled."""
        await self._take_over()
        written_s = float("-inf")
        while True:
            if self._needs_refencing:
                await self._refence()
                self._row_due = True
            now_s = time.monotonic()
            split = self.members.caller_split(now_s)
            entries = split.rate_limit_shares
            urgent = self._plan(split.account_shares, now_s)
            interval_s = heartbeat_interval_s(entries)
            if urgent or self._row_due or now_s - written_s >= interval_s:
                self._row_due = False
                log_event(_log, Event.SHARES, shares=self.budgets.summary(now_s))
                await self._write_row()
                written_s = time.monotonic()
                await asyncio.sleep(self._row_limiter.next_delay_s(entries, written_s))
            self._wake.clear()
            left_s = written_s + interval_s - time.monotonic()
            if self._row_due or self._needs_refencing:
                left_s = 0.0
            await wait_for_event(self._wake, max(MIN_WAIT_S, left_s))

    def publish_leaving(self) -> None:
        """Publish at once that this entry accepts no new callers."""
        self.state = MemberState.LEAVING
        self._row_due = True
        self._wake.set()

    async def publish_final_row(self, until_s: float) -> None:
        """Return unspent tokens and wait for the row that says so.

        The wait ends at ``until_s`` at the latest.
        """
        self.budgets.return_unspent()
        self.publish_leaving()
        made = self._rows_made
        while self._rows_folded <= made:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                return
            await wait_for_event(self._changed, left_s)

    async def _take_over(self) -> None:
        # Fence before reading: an append of the previous incarnation that is still in
        # flight could otherwise arrive after its row was read.
        self._handled_era_changes = self._eras.changes
        await self._tail.load()
        await self._writer.fence()
        while not await self._tail.poll():
            await asyncio.sleep(RETRY_S)
        last = self.members.member(self._entry_id)
        await self._recover_own_row(last)
        age_s = self._previous_row.estimate_age_s(last, self._eras.known)
        self.budgets.adopt(age_s)
        self._detect_earlier_restore()
        self.started = True
        log_event(
            _log,
            Event.SHARES_TAKEN_OVER,
            epoch=self._writer.epoch,
            age_s=age_s,
            lost=self.budgets.lost_tokens(),
            last_made_s=last.made_s if last else None,
            started_s=self._started_s,
            clock_moved_s=clock_offset_s() - last.clock_offset_s if last else None,
        )

    async def _recover_own_row(self, last: Member | None) -> None:
        """Ask other entries for this entry's row if the log may have lost the newest
        one: what the previous incarnation claimed in it may be spent."""
        era = self._eras.known
        if era is None or (last is not None and last.era in (None, era)):
            return
        others = self.members.live_peers(time.monotonic())[:MAX_RECALL_PEERS]
        queries = (
            self._peer_client.fetch_row(m.peer_address, self._entry_id) for m in others
        )
        for row in await asyncio.gather(*queries):
            self.budgets.merge_own_row(row)

    def _plan(self, account_shares: float, now_s: float) -> bool:
        was_holding = self.budgets.restore_hold.active
        urgent = self.budgets.plan(account_shares, now_s)
        if was_holding and not self.budgets.restore_hold.active:
            log_hold_ended(self.budgets.restore_hold, self._eras.known)
        return urgent

    async def _write_row(self) -> None:
        try:
            await self._append_row()
        except LogRestoredError:
            # The restored log may lack the row: the next one is made in the new era.
            self._append_started_s = None

    async def _append_row(self) -> None:
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
            left_at_s=self._previous_row.left_at_s,
            clock_lead_s=self.members.clock_lead_s(offset_s),
            link_mbps=self.members.link_mbps,
            era=self._eras.known,
            shares=self.budgets.make_row(now_s),
        )
        self._append_started_s = now_s
        changes = self._eras.changes
        offset = await self._writer.append(encode_member(member))
        if self._tail.next_offset == offset and self._tail.is_current_era:
            # No other entry wrote in between: the row need not be read back.
            self._fold(member)
            self._tail.next_offset = offset + 1
        pause_s = RETRY_S
        while not self._tail.has_read(offset):
            if not await self._tail.poll():
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, RETRY_MAX_S)
            if changes != self._eras.changes:
                raise LogRestoredError
        self._append_started_s = None
        self._update_row_time(time.monotonic() - now_s)
        self.members.record_read(time.monotonic())
        self.budgets.confirm_row()
        self._rows_folded = self._rows_made
        self._previous_row.resolve_age(member, self.members, self.budgets)
        self._notify_waiters()

    def _update_row_time(self, took_s: float) -> None:
        # A row that was retried during an outage says nothing about the next one.
        took_s = min(took_s, MAX_TOKEN_WAIT_S)
        known_s = self.budgets.row_round_trip_s
        self.budgets.row_round_trip_s = known_s + ROW_TIME_EWMA_WEIGHT * (
            took_s - known_s
        )

    # -- a restored log ---------------------------------------------------

    def _on_era_change(self, change: EraChange) -> None:
        """Hold claims at once: what other tasks read next is from the backup."""
        alive = self.members.recent_writers()
        if not self.started:
            alive = set(self._rows_of_other_eras())
        awaited = alive - {self._entry_id}
        self.budgets.on_log_restored(change.new, awaited, change.seen_at_s)
        log_restored(change, self._tail.next_offset, awaited)
        self._wake.set()

    @property
    def _needs_refencing(self) -> bool:
        """Whether the log was restored since this entry's row was fenced."""
        return self._handled_era_changes != self._eras.changes

    async def _refence(self) -> None:
        self._handled_era_changes = self._eras.changes
        try:
            await self._writer.refence()
        except FencedError:
            # A backup may hold higher epochs of earlier incarnations, from before an
            # earlier restore. A later incarnation, if there is one, has a row on the
            # log.
            while not await self._tail.poll():
                await asyncio.sleep(RETRY_S)
            if self._superseded:
                raise
            await self._writer.fence()

    def _detect_earlier_restore(self) -> None:
        """Rows of an earlier era, read at startup, show that the log may just have
        been restored."""
        others = self._rows_of_other_eras()
        if others:
            self._eras.observe_stored(max(others.values()), time.monotonic())

    def _rows_of_other_eras(self) -> dict[EntryId, Era]:
        return rows_of_other_eras(self.members.members().values(), self._eras.known)

    # -- the fold ----------------------------------------------------------

    def _apply_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            self.members.remove(EntryId(record.key))
            self.budgets.fold(EntryId(record.key), {})
            return
        try:
            self._fold(decode_member(record.key, record.value))
        except RowError as exc:
            self.budgets.mark_unreadable(EntryId(record.key))
            log_event(_log, Event.ROW_REJECTED, logging.ERROR, detail=str(exc))

    def _fold(self, member: Member) -> None:
        self.members.fold(member, time.monotonic())
        self.budgets.fold(member.entry_id, member.shares, member.era)
        if member.entry_id == self._entry_id:
            self._observe_own_row(member)

    def _observe_own_row(self, member: Member) -> None:
        if not self.started:
            self._writer.epoch = max(self._writer.epoch, member.epoch)
        elif member.started_s != self._started_s:
            started_at_s = self._started_s + clock_offset_s()
            self._superseded |= member.started_at_s > started_at_s

    def _drop_missing(self, keys: set[str]) -> None:
        self.budgets.retain_entries({EntryId(key) for key in keys})

    def _on_append_result(self, accepted: bool) -> None:
        self._tail.reachable = accepted
        if not accepted:
            # Requests that wait for a row are better served by another entry.
            self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
