"""Keeping up with one keyed topic of the platform's store."""

import asyncio
import logging
import time
from collections.abc import Callable

from returns.result import Failure, Result, Success

from celerytrack.eras import Era, EraTracker
from celerytrack.events import Event, log_event
from celerytrack.gateway.hedged_store import Store
from celerytrack.platform.log_format import Batch, KeyedRecord
from celerytrack.platform.store import StoreError, StoreErrorKind

_log = logging.getLogger(__name__)

RETRY_S = 0.2
"""Pause after a failed call: a store that is back is found within it."""
RETRY_MAX_S = 0.3
"""Longest pause between two tries, while the store stays away: two outages may
be half a second apart, and a row written between them keeps its claim locked."""
NEWEST_COST = 4 / 3
"""What a record costs among the newest of each key, against the same in a read: there
it is encoded in base64."""


class KeyedTail:
    """Keeps up with one keyed topic: knows the newest record of each key.

    Records that are superseded by the time they can be read are skipped. Read one by
    one, a topic that is written faster than the link carries it comes ever later, as
    large configurations in quick succession do on a narrow link.

    An offset is one of an era: when the log comes back from a copy, the newest of each
    key is read anew. Going on from an offset of before, the tail would miss what the
    copy has been given below it, and nothing would tell.

    :param apply: takes each record that is read, in the order of the log.
    :param reload: told the keys that exist, after some of the log was not read; what
        is not among them was dropped meanwhile.
    :param caught_up: told up to when all that was written is known, on the steady
        clock, each time that is so.
    :param contact: told when the store is lost and regained.
    :param only_key: the key of the only records that count, if there is one; of a
        backlog the last record is read alone.
    :param eras: the newest era that any answer of the store told; without it, only
        the answers to this tail count.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        apply: Callable[[KeyedRecord], None],
        reload: Callable[[set[str]], None] = lambda keys: None,
        caught_up: Callable[[float], None] = lambda at_s: None,
        contact: Callable[[bool], None] = lambda reachable: None,
        eras: EraTracker | None = None,
        only_key: str | None = None,
    ) -> None:
        self.topic = topic
        self.next_offset: int | None = None
        self.reachable = True
        self._store = store
        self._apply = apply
        self._reload = reload
        self._caught_up = caught_up
        self._on_contact = contact
        self._keys: set[str] = set()
        self._end = 0
        self._end_is_old = False
        self._eras = eras
        self._only_key = only_key
        self._era: Era | None = None

    async def poll(self, wait_s: float = 0.0) -> bool:
        """Read what is new once; whether the store answered.

        :param wait_s: how long the store may hold the call.
        """
        if self._end_is_old and self._one_counts and not await self._find_end():
            return False
        if self.next_offset is None or not self.of_known_era:
            return await self._load_newest()
        left = self._end - self.next_offset
        if left <= len(self._keys) * NEWEST_COST:
            return await self._read(self.next_offset, wait_s)
        log_event(_log, Event.TOPIC_SKIPPED, topic=self.topic, records=left)
        if self._one_counts:
            return await self._read(self._end - 1, 0.0)
        return await self._load_newest()

    @property
    def _one_counts(self) -> bool:
        # A key that was alone when it was read need not stay so: skipping to the
        # last record would pass over all others, time and again.
        return self._keys == {self._only_key}

    @property
    def of_known_era(self) -> bool:
        """Whether what was read is of the newest era that any answer told."""
        if self._eras is None or self._era is None:
            return True
        return self._era == self._eras.known

    def has_read(self, offset: int) -> bool:
        """Whether the record at ``offset`` of the known era was read, or a later one
        of its key."""
        if self.next_offset is None or not self.of_known_era:
            return False
        return self.next_offset > offset

    async def load(self) -> None:
        """Read until the store has answered once."""
        pause_s = RETRY_S
        while not await self.poll():
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, RETRY_MAX_S)

    async def follow(self, interval_s: float, wait_s: float = 0.0) -> None:
        """Poll for ever, ``interval_s`` apart."""
        pause_s = RETRY_S
        while True:
            # After an outage what is known is brought up to date without waiting.
            if await self.poll(wait_s if self.reachable else 0.0):
                pause_s = RETRY_S
                await asyncio.sleep(interval_s)
            else:
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, RETRY_MAX_S)

    async def _find_end(self) -> bool:
        """Ask what was written while the last answer was on its way; whether the
        store answered. Of a topic with one key only the last record counts, and a
        large one takes as long as several that follow it take to be written."""
        (key,) = self._keys
        match await self._store.end(self.topic, key):
            case Success(end):
                self._contact(None)
                self._end = end
                self._end_is_old = False
                return True
            case Failure(error):
                self._contact(error)
        return False

    async def _read(self, offset: int, wait_s: float) -> bool:
        started_s = time.monotonic()
        result = await self._store.read(self.topic, offset, wait_s)
        match result:
            case Failure(error) if error.kind is StoreErrorKind.TRIMMED:
                return await self._load_newest()
            case Success(batch) if self._of_other_era(batch):
                return await self._load_newest()
            case Success(batch):
                skipped = offset != self.next_offset
                if skipped and not {r.key for r in batch.records} <= self._keys:
                    # What was skipped may hold the newest record of our one key.
                    return await self._load_newest()
                if not batch.records and time.monotonic() - started_s >= wait_s:
                    # It was held that long, and nothing came.
                    started_s += wait_s
        return self._take(result, started_s)

    async def _load_newest(self) -> bool:
        started_s = time.monotonic()
        result = await self._store.newest(self.topic)
        match result:
            case Success(batch) if self._overtaken(batch):
                # The log came back from a copy once more meanwhile.
                return False
            case Success(batch):
                self._note_era(batch)
        if not self._take(result, started_s):
            return False
        batch = result.unwrap()
        self._keys = {r.key for r in batch.records if r.value is not None}
        self._reload(set(self._keys))
        return True

    def _overtaken(self, batch: Batch) -> bool:
        return self._eras is not None and batch.era != self._eras.known

    def _of_other_era(self, batch: Batch) -> bool:
        return batch.era != self._era or not self.of_known_era

    def _note_era(self, batch: Batch) -> None:
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

    def _take(self, result: Result[Batch, StoreError], known_at_s: float) -> bool:
        """Apply an answer of the store; whether it is one.

        :param known_at_s: a time before the store made it.
        """
        match result:
            case Success(batch):
                self._contact(None)
                for record in batch.records:
                    self._apply(record)
                    self._note_key(record)
                self.next_offset = batch.next_offset
                self._end = batch.end
                self._end_is_old = bool(batch.records)
                if batch.next_offset >= batch.end:
                    self._caught_up(known_at_s)
                return True
            case Failure(error) if error.kind is StoreErrorKind.OLDER_ERA:
                # The store is there: it answers the next call of its new era.
                return False
            case Failure(error):
                self._contact(error)
        return False

    def _note_key(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._keys.discard(record.key)
        else:
            self._keys.add(record.key)

    def _contact(self, error: StoreError | None) -> None:
        if self.reachable is (error is None):
            return
        self.reachable = error is None
        self._on_contact(self.reachable)
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
