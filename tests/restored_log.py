"""Reference model of the platform's log in virtual time: eras, compaction, answers that
are lost or late, writes that take effect late."""

import asyncio
import copy
import random
import time

import attrs
from returns.result import Failure, Result, Success

from celerytrack.eras import Era, EraStatus, EraTracker
from celerytrack.platform.log_format import Batch, KeyedRecord
from celerytrack.platform.store import (
    CALL_TIMEOUT_S,
    StoreError,
    StoreErrorKind,
    Writer,
)

BACKUP_INTERVAL_S = 0.25
"""Interval between the backups that the log may be restored from."""
MAX_BACKUPS = 24


@attrs.define
class Topic:
    """One keyed topic.

    :ivar first: lowest offset that can still be read.
    """

    records: list[tuple[str, bytes]] = attrs.field(factory=list)
    first: int = 0
    producers: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    answers: dict[tuple[str, int, int], int] = attrs.field(factory=dict)

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """The newest record of each key."""
        return {key: (i, value) for i, (key, value) in enumerate(self.records)}


class RestoredLog:
    """The log and its backups.

    :ivar unavailable: whether calls are neither answered nor executed.
    :ivar era: rises with each restore.
    :ivar confirmed: newest value that the platform wrote, by topic and key.
    :ivar returned_s: time of the last restore.
    :ivar rewritten_s: time when the records lost by it were written again.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.unavailable = False
        self.era = 1
        self.confirmed: dict[tuple[str, str], bytes] = {}
        self._backups: list[dict[str, Topic]] = []
        self.returned_s = self.rewritten_s = float("-inf")

    def topic(self, name: str) -> Topic:
        """The topic ``name``, created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, name: str, key: str, value: bytes) -> None:
        """Write as the platform does."""
        self.confirmed[name, key] = value
        self.topic(name).records.append((key, value))

    def compact(self) -> None:
        """Drop all records but the newest of each key."""
        for topic in self.topics.values():
            topic.first = len(topic.records)

    async def take_backups(self) -> None:
        """Take backups until cancelled."""
        while True:
            if not self.unavailable:
                self._backups.append(copy.deepcopy(self.topics))
                del self._backups[:-MAX_BACKUPS]
            await asyncio.sleep(BACKUP_INTERVAL_S)

    async def restore(
        self, unavailable_s: float, backups_ago: int, rewrite_delay_s: float
    ) -> None:
        """Be unavailable for ``unavailable_s``, restore a backup, and write again what
        the platform wrote since, ``rewrite_delay_s`` later."""
        loop = asyncio.get_running_loop()
        self.unavailable = True
        await asyncio.sleep(unavailable_s)
        backup = self._backups[-min(backups_ago, len(self._backups))]
        self.topics = copy.deepcopy(backup)
        self.era += 1
        self.unavailable = False
        self.returned_s = loop.time()
        self.rewritten_s = self.returned_s + rewrite_delay_s
        await asyncio.sleep(rewrite_delay_s)
        for (name, key), value in self.confirmed.items():
            if dict(self.topic(name).records).get(key) != value:
                self.topic(name).records.append((key, value))

    def append(
        self, name: str, key: str, value: bytes, writer: Writer
    ) -> Result[int, StoreError]:
        """Append one record in the sequence of its writer; an empty value sets the
        writer's epoch instead."""
        topic = self.topic(name)
        epoch, expected = topic.producers.get(writer.name, (0, 0))
        if writer.epoch < epoch:
            return Failure(StoreError(StoreErrorKind.FENCED, "fenced"))
        if not value:
            topic.producers[writer.name] = (writer.epoch, writer.sequence)
            return Success(len(topic.records))
        numbered = (writer.name, writer.epoch, writer.sequence)
        if numbered in topic.answers:
            return Success(topic.answers[numbered])
        if writer.epoch == epoch and writer.sequence != expected:
            kind = StoreErrorKind.OUT_OF_SEQUENCE
            return Failure(StoreError(kind, "sequence", expected))
        topic.producers[writer.name] = (writer.epoch, writer.sequence + 1)
        topic.answers[numbered] = len(topic.records)
        topic.records.append((key, value))
        return Success(len(topic.records) - 1)


class RestoredStore:
    """Model of one entry's store client, with faults.

    :param reports_era: whether answers report their era.
    :ivar cut: whether a network partition drops calls and answers.
    :ivar lost_share: share of calls that are executed but not answered.
    :ivar late_s: longest additional delay before a call is executed.
    :ivar slow_s: longest additional delay of an answer.
    """

    def __init__(
        self, log: RestoredLog, eras: EraTracker, rng: random.Random, reports_era: bool
    ) -> None:
        self.cut = False
        self.lost_share = 0.0
        self.late_s = 0.0
        self.slow_s = 0.0
        self._log = log
        self._eras = eras
        self._rng = rng
        self._reports_era = reports_era
        self._in_flight: set[asyncio.Task[None]] = set()

    async def newest(self, topic: str) -> Result[Batch, StoreError]:
        """The newest record of each key."""

        def query() -> Result[Batch, StoreError]:
            found = self._log.topic(topic)
            newest = sorted((i, k, v) for k, (i, v) in found.newest().items() if v)
            records = tuple(KeyedRecord(i, k, v) for i, k, v in newest)
            end = len(found.records)
            return Success(Batch(records, end, end, self._era()))

        return await self._call(query)

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float = 0.0,
        arriving: asyncio.Event | None = None,
    ) -> Result[Batch, StoreError]:
        """Records from ``offset`` on."""

        def query() -> Result[Batch, StoreError]:
            found = self._log.topic(topic)
            if not found.first <= offset <= len(found.records):
                return Failure(StoreError(StoreErrorKind.TRIMMED, "410"))
            rest = enumerate(found.records[offset:], offset)
            records = tuple(KeyedRecord(i, k, v or None) for i, (k, v) in rest)
            end = len(found.records)
            return Success(Batch(records, end, end, self._era()))

        return await self._call(query)

    async def end(self, topic: str, last_key: str) -> Result[int, StoreError]:
        """The offset behind the last record."""
        return await self._call(lambda: Success(len(self._log.topic(topic).records)))

    async def append(
        self, topic: str, key: str, value: bytes, writer: Writer
    ) -> Result[int, StoreError]:
        """Append one record; returns its offset."""
        return await self._call(lambda: self._log.append(topic, key, value, writer))

    async def set_epoch(self, topic: str, writer: Writer) -> Result[None, StoreError]:
        """Fence off lower epochs of the writer."""
        result = await self.append(topic, writer.name, b"", writer)
        return result.map(lambda _: None)

    async def close(self) -> None:
        """Do nothing: the model has no connections."""

    def _era(self) -> Era | None:
        return Era(self._log.era) if self._reports_era else None

    async def _call(self, operation):
        """Execute ``operation`` and return its result, checked against the era in which
        it was executed."""
        asked_at = self._eras.changes
        answered = asyncio.get_running_loop().create_future()
        # The operation is executed even if the caller has timed out by then.
        task = asyncio.create_task(self._execute(operation, answered))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                result, era = await answered
        except TimeoutError:
            return Failure(StoreError(StoreErrorKind.UNREACHABLE, "no answer"))
        if self._eras.observe(era, asked_at, time.monotonic()) is EraStatus.LATE:
            return Failure(StoreError(StoreErrorKind.OLDER_ERA, f"era {era}"))
        return result

    async def _execute(self, operation, answered) -> None:
        if self.cut:
            return
        await asyncio.sleep(0.002 + self._rng.random() * self.late_s)
        if self._log.unavailable:
            return
        result, era = operation(), self._era()
        if self._rng.random() < self.lost_share:
            return
        await asyncio.sleep(0.002 + self._rng.random() * self.slow_s)
        if not self.cut and not answered.done():
            answered.set_result((result, era))
