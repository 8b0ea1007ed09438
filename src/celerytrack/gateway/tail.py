"""Tails one keyed topic of the platform's store."""

import asyncio
import logging
import time
from collections.abc import Callable

from returns.result import Failure, Result, Success

from celerytrack.eras import Era, EraTracker
from celerytrack.events import Event, log_event
from celerytrack.gateway.hedged_store import Store
from celerytrack.gateway.read_turns import ReadTurn, StatedEnds, size_of
from celerytrack.platform.log_format import Batch, KeyedRecord
from celerytrack.platform.store import StoreError, StoreErrorKind
from celerytrack.record_faults import RecordFaults

_log = logging.getLogger(__name__)

RETRY_S = 0.2
"""Pause after a failed call: bounds how late a store that recovered is noticed."""
RETRY_MAX_S = 0.3
"""Longest pause between two attempts while the store is unreachable: two outages may be
half a second apart, and a claim stays locked unless a row is written between them."""
MIN_PAUSE_S = 0.1
"""Shortest pause between two reads, however urgent the next one is."""
NEWEST_COST_RATIO = 4 / 3
"""Cost of a record in a query for the newest of each key, relative to its cost in a
read: the query encodes it in base64."""


class KeyedTail:
    """Follows one keyed topic, so that the newest record of each key is known.

    Records that are superseded before they can be read are skipped. Read one by one,
    a topic that is written faster than the link carries it would lag further and
    further behind, as large configurations in quick succession do on a narrow link.

    An offset is valid in one era only: when the log is restored from a backup, the
    newest record of each key is read anew. If the tail continued from its old offset,
    it would silently miss what was appended below that offset after the restore.

    A log that goes on beyond an answer is read on at once, in bounded turns. Otherwise
    each large record of another writer would delay all later ones by an interval.

    :param apply: called with each record read, in the order of the log.
    :param on_reload: called with the existing keys after a part of the log was skipped;
        any other key was dropped meanwhile.
    :param on_caught_up: called each time the tail has caught up with an end of the
        topic that an answer stated, with the time on the monotonic clock before which
        everything written is known.
    :param on_reachability: called when the store becomes unreachable or is reachable
        again.
    :param only_key: the only key whose records matter, if there is one; of a backlog
        only the last record is read.
    :param eras: tracks the newest era in any answer of the store; without it, only
        answers to this tail count.
    :ivar last_read_s: how long the last answer took.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        apply: Callable[[KeyedRecord], None],
        on_reload: Callable[[set[str]], None] = lambda keys: None,
        on_caught_up: Callable[[float], None] = lambda at_s: None,
        on_reachability: Callable[[bool], None] = lambda reachable: None,
        eras: EraTracker | None = None,
        only_key: str | None = None,
    ) -> None:
        self.topic = topic
        self.next_offset: int | None = None
        self.reachable = True
        self.last_read_s = 0.0
        self._store = store
        self._apply = apply
        self._on_reload = on_reload
        self._on_caught_up = on_caught_up
        self._on_reachability = on_reachability
        self._keys: set[str] = set()
        self._end = 0
        self._end_is_stale = False
        self._stated_ends = StatedEnds()
        self._read_bytes = 0
        self._apply_s = 0.0
        self._eras = eras
        self._only_key = only_key
        self._era: Era | None = None
        self._faults = RecordFaults(_log, topic)
        self._is_urgent = asyncio.Event()

    async def poll(self, wait_s: float = 0.0) -> bool:
        """Read new records once; returns whether the store answered.

        :param wait_s: how long the store may hold the call (long poll).
        """
        if self._end_is_stale and self._single_key and not await self._refresh_end():
            return False
        if self.next_offset is None or not self.is_current_era:
            return await self._load_newest()
        left = self._end - self.next_offset
        if left <= len(self._keys) * NEWEST_COST_RATIO:
            return await self._read(self.next_offset, wait_s)
        log_event(_log, Event.TOPIC_SKIPPED, topic=self.topic, records=left)
        if self._single_key:
            return await self._read(self._end - 1, 0.0)
        return await self._load_newest()

    @property
    def _single_key(self) -> bool:
        # One key read so far does not make it the only one: others may follow, and
        # skipping to the last record would miss theirs again and again.
        return self._keys == {self._only_key}

    @property
    def is_current_era(self) -> bool:
        """Whether the records read are of the newest era in any answer."""
        if self._eras is None or self._era is None:
            return True
        return self._era == self._eras.known

    def has_read(self, offset: int) -> bool:
        """Whether the record at ``offset`` of the current era was read, or a later one
        of its key."""
        if self.next_offset is None or not self.is_current_era:
            return False
        return self.next_offset > offset

    async def load(self) -> None:
        """Poll until the store has answered once."""
        pause_s = RETRY_S
        while not await self.poll():
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, RETRY_MAX_S)

    async def follow(self, interval_s: float, wait_s: float = 0.0) -> None:
        """Read in turns until cancelled, ``interval_s`` apart.

        If a turn ends before the log does, the next one follows sooner.
        """
        pause_s = RETRY_S
        while True:
            # After an outage the first read is no long poll: it returns at once.
            self._is_urgent.clear()
            is_held = self.reachable and not self._is_behind
            turn = await self.read_turn(wait_s if is_held else 0.0)
            if turn is None:
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, RETRY_MAX_S)
                continue
            pause_s = RETRY_S
            now_s = time.monotonic()
            # A turn with room left read all, or met an answer that held no record.
            is_cut = self._is_behind and not turn.has_room(now_s)
            rest_s = turn.pause_s(now_s) if is_cut else interval_s
            await self._pause(min(interval_s, rest_s))

    async def read_turn(self, wait_s: float = 0.0) -> ReadTurn | None:
        """Read new records, and on at once while the log goes on and the turn has room.

        :param wait_s: how long the store may hold the first call (long poll).
        :returns: the turn; ``None`` if the store did not answer.
        """
        begun_s = time.monotonic()
        if not await self.poll(wait_s):
            return None
        turn = ReadTurn(time.monotonic() if wait_s else begun_s)
        turn.left_bytes -= self._read_bytes
        while self._is_behind and turn.has_room(time.monotonic()):
            before = self.next_offset
            # Applying an answer occupies the event loop: requests get as much of it.
            await asyncio.sleep(self._apply_s)
            if not await self.poll():
                return None
            if self.next_offset == before:
                break
            turn.left_bytes -= self._read_bytes
        return turn

    @property
    def _is_behind(self) -> bool:
        return self.next_offset is not None and self.next_offset < self._end

    def read_now(self) -> None:
        """Have the next poll begin at once, or soon after the one in progress."""
        self._is_urgent.set()

    async def _pause(self, interval_s: float) -> None:
        shortest_s = min(MIN_PAUSE_S, interval_s)
        await asyncio.sleep(shortest_s)
        try:
            async with asyncio.timeout(interval_s - shortest_s):
                await self._is_urgent.wait()
        except TimeoutError:
            return

    async def _refresh_end(self) -> bool:
        """Query the end of the topic again; returns whether the store answered.

        In a topic with one key only the last record matters. While a large record is
        being transferred, several newer ones may be written.
        """
        (key,) = self._keys
        match await self._store.end(self.topic, key):
            case Success(end):
                self._update_reachability(None)
                self._end = end
                self._end_is_stale = False
                return True
            case Failure(error):
                self._update_reachability(error)
        return False

    async def _read(self, offset: int, wait_s: float) -> bool:
        started_s = time.monotonic()
        result = await self._store.read(self.topic, offset, wait_s)
        match result:
            case Failure(error) if error.kind is StoreErrorKind.TRIMMED:
                return await self._load_newest()
            case Success(batch) if self._is_of_other_era(batch):
                return await self._load_newest()
            case Success(batch):
                skipped = offset != self.next_offset
                if skipped and not {r.key for r in batch.records} <= self._keys:
                    # The skipped part may hold the newest record of the only key.
                    return await self._load_newest()
                if not batch.records and time.monotonic() - started_s >= wait_s:
                    # The store held the call all that time and no record arrived.
                    started_s += wait_s
        return self._apply_result(result, started_s)

    async def _load_newest(self) -> bool:
        started_s = time.monotonic()
        result = await self._store.newest(self.topic)
        match result:
            case Success(batch) if self._is_outdated(batch):
                # The log was restored once more meanwhile.
                return False
            case Success(batch):
                self._set_era(batch)
                # Offsets may be assigned anew in another era.
                self._stated_ends.clear()
        if not self._apply_result(result, started_s):
            return False
        batch = result.unwrap()
        self._keys = {r.key for r in batch.records if r.value is not None}
        self._on_reload(set(self._keys))
        return True

    def _is_outdated(self, batch: Batch) -> bool:
        return self._eras is not None and batch.era != self._eras.known

    def _is_of_other_era(self, batch: Batch) -> bool:
        return batch.era != self._era or not self.is_current_era

    def _set_era(self, batch: Batch) -> None:
        if self._era is not None and batch.era != self._era:
            log_event(
                _log,
                Event.ERA_TOPIC_READ,
                topic=self.topic,
                old=self._era,
                new=batch.era,
                offset=self.next_offset,
                end=batch.end,
                keys=len(batch.records),
            )
        self._era = batch.era

    def _apply_result(
        self, result: Result[Batch, StoreError], complete_at_s: float
    ) -> bool:
        """Apply an answer of the store; returns whether there was one.

        :param complete_at_s: a time before the store made the answer. Once the end that
            it states is reached, all records written before are known.
        """
        match result:
            case Success(batch):
                self._update_reachability(None)
                begun_s = time.monotonic()
                for record in batch.records:
                    with self._faults.caught(record.key):
                        self._apply(record)
                    self._track_key(record)
                self._apply_s = time.monotonic() - begun_s
                self.next_offset = batch.next_offset
                self._end = batch.end
                self._end_is_stale = bool(batch.records)
                self._read_bytes = size_of(batch)
                self.last_read_s = time.monotonic() - complete_at_s
                self._stated_ends.note(batch.end, complete_at_s)
                known_at_s = self._stated_ends.pop_reached(batch.next_offset)
                if known_at_s is not None:
                    self._on_caught_up(known_at_s)
                return True
            case Failure(error) if error.kind is StoreErrorKind.OLDER_ERA:
                # The store is reachable: it answers the next call in its new era.
                return False
            case Failure(error):
                self._update_reachability(error)
        return False

    def _track_key(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._keys.discard(record.key)
        else:
            self._keys.add(record.key)

    def _update_reachability(self, error: StoreError | None) -> None:
        if self.reachable is (error is None):
            return
        self.reachable = error is None
        self._on_reachability(self.reachable)
        if error is None:
            log_event(_log, Event.STORE_REGAINED, topic=self.topic)
        else:
            log_event(
                _log,
                Event.STORE_LOST,
                logging.WARNING,
                topic=self.topic,
                kind=error.kind.value,
                detail=error.detail,
            )
