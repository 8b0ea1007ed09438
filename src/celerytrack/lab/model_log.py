"""A model of the platform's keyed log: delays, partitions, lost and late replies, and
restores from an older backup."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import TypeVar

import attrs
from returns.result import Failure, Result, Success

from celerytrack.eras import Era, EraStatus, EraTracker
from celerytrack.platform.log_format import Batch, KeyedRecord, encode_keyed
from celerytrack.platform.store import (
    CALL_TIMEOUT_S,
    StoreError,
    StoreErrorKind,
    Writer,
)

ANSWER_S = 0.004
"""Time that the store takes to reply to a call."""
_NO_REPLY = Failure(StoreError(StoreErrorKind.UNREACHABLE, "no answer"))
_T = TypeVar("_T")
_UNAVAILABLE = Failure(StoreError(StoreErrorKind.REFUSED, "503"))


@attrs.frozen
class LogCopy:
    """A backup: the content of a log at one time."""

    records: tuple[tuple[str, bytes], ...]
    producers: dict[str, tuple[int, int]]
    offsets: dict[tuple[str, int, int], int]


@attrs.define
class ModelLog:
    """One topic that all modelled entries share.

    :ivar late_s: additional time before an append lands.
    :ivar lost_share: share of reads and appends that are executed without a reply.
    :ivar appends: appends so far; ``bytes_in`` and ``bytes_out`` count their traffic.
    :ivar unreachable: whether the log is unavailable and refuses every call.
    :ivar era: rises by one with each restore from an older backup.
    :ivar asked_s: when each append or :meth:`set_epoch` arrived, whatever its result.
    """

    rng: random.Random
    late_s: float = 0.0
    lost_share: float = 0.0
    appends: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    unreachable: bool = False
    era: int = 1
    asked_s: list[float] = attrs.field(factory=list)
    records: list[tuple[str, bytes]] = attrs.field(factory=list)
    producers: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    offsets: dict[tuple[str, int, int], int] = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def copy(self) -> LogCopy:
        """A backup of the present content."""
        return LogCopy(tuple(self.records), dict(self.producers), dict(self.offsets))

    def restore(self, older: LogCopy) -> None:
        """Restore the backup ``older``; records appended since are lost."""
        self.records = list(older.records)
        self.producers = dict(older.producers)
        self.offsets = dict(older.offsets)
        self.era += 1
        self.wake_readers()

    def append(self, key: str, value: bytes, writer: Writer) -> Result[int, StoreError]:
        """Append one record, in the order of its writer's sequence numbers."""
        epoch, expected = self.producers.get(writer.name, (0, 0))
        if writer.epoch < epoch:
            return Failure(StoreError(StoreErrorKind.FENCED, "fenced"))
        numbered = (writer.name, writer.epoch, writer.sequence)
        if numbered in self.offsets:
            # A repeat gets the reply of the first append.
            return Success(self.offsets[numbered])
        if writer.epoch == epoch and writer.sequence != expected:
            kind = StoreErrorKind.OUT_OF_SEQUENCE
            return Failure(StoreError(kind, "sequence", expected))
        self.producers[writer.name] = (writer.epoch, writer.sequence + 1)
        self.offsets[numbered] = len(self.records)
        self.records.append((key, value))
        self.appends += 1
        self.bytes_in += len(encode_keyed(key, value))
        self.wake_readers()
        return Success(len(self.records) - 1)

    def set_epoch(self, writer: Writer) -> Result[None, StoreError]:
        """Fence off appends of lower epochs by the same writer."""
        epoch, _ = self.producers.get(writer.name, (0, 0))
        if writer.epoch < epoch:
            return Failure(StoreError(StoreErrorKind.FENCED, "fenced"))
        self.producers[writer.name] = (writer.epoch, writer.sequence)
        return Success(None)

    def wake_readers(self) -> None:
        """Wake the reads that wait for records."""
        self.changed.set()
        self.changed = asyncio.Event()


class ModelStore:
    """One entry's client of the modelled log, with the real client's interface.

    :ivar cut: whether the entry is partitioned from the log.
    :ivar eras: observes the era of each reply; a new one per incarnation of the entry.
    """

    def __init__(self, log: ModelLog) -> None:
        self.cut = False
        self.eras = EraTracker()
        self._log = log

    async def newest(self, topic: str) -> Result[Batch, StoreError]:
        """The newest record of each key."""
        return await self._call(ANSWER_S, self._newest, may_be_lost=False)

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float = 0.0,
        arriving: asyncio.Event | None = None,
    ) -> Result[Batch, StoreError]:
        """Records from ``offset`` on, once there is one or ``wait_s`` has passed."""
        if wait_s and not self.cut and not self._log.unreachable:
            await self._hold(offset, wait_s)
        return await self._call(ANSWER_S, lambda: self._records(offset))

    async def _hold(self, offset: int, wait_s: float) -> None:
        log = self._log
        era = log.era
        try:
            async with asyncio.timeout(wait_s):
                while offset == len(log.records) and era == log.era:
                    await log.changed.wait()
        except TimeoutError:
            return

    async def end(self, topic: str, last_key: str) -> Result[int, StoreError]:
        """The offset after the last record."""
        log = self._log
        return await self._call(
            ANSWER_S, lambda: Success(len(log.records)), may_be_lost=False
        )

    async def append(
        self, topic: str, key: str, value: bytes, writer: Writer
    ) -> Result[int, StoreError]:
        """Append one record; returns its offset."""
        log = self._log
        log.asked_s.append(asyncio.get_running_loop().time())
        return await self._call(
            ANSWER_S + log.late_s, lambda: log.append(key, value, writer)
        )

    async def close(self) -> None:
        """Do nothing: there is nothing to close."""

    async def set_epoch(self, topic: str, writer: Writer) -> Result[None, StoreError]:
        """Fence off earlier incarnations."""
        log = self._log
        log.asked_s.append(asyncio.get_running_loop().time())
        return await self._call(ANSWER_S + log.late_s, lambda: log.set_epoch(writer))

    async def _call(
        self,
        takes_s: float,
        execute: Callable[[], Result[_T, StoreError]],
        may_be_lost: bool = True,
    ) -> Result[_T, StoreError]:
        """The log's reply after ``takes_s``, or a failure without one."""
        changes_at_call = self.eras.changes
        if self.cut:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return _NO_REPLY
        await asyncio.sleep(takes_s)
        if self.cut:
            return _NO_REPLY
        result = _UNAVAILABLE if self._log.unreachable else execute()
        era = Era(self._log.era)
        if may_be_lost and self._log.rng.random() < self._log.lost_share:
            # The caller notices only by the timeout.
            await asyncio.sleep(CALL_TIMEOUT_S)
            return _NO_REPLY
        if self.eras.observe(era, changes_at_call, time.monotonic()) is EraStatus.LATE:
            return Failure(StoreError(StoreErrorKind.OLDER_ERA, f"era {era}"))
        return result

    def _newest(self) -> Result[Batch, StoreError]:
        newest = {key: (i, v) for i, (key, v) in enumerate(self._log.records)}
        records = tuple(KeyedRecord(i, key, v) for key, (i, v) in newest.items() if v)
        end = len(self._log.records)
        return Success(Batch(records, end, end, Era(self._log.era)))

    def _records(self, offset: int) -> Result[Batch, StoreError]:
        log = self._log
        if offset > len(log.records):
            return Failure(StoreError(StoreErrorKind.TRIMMED, "410"))
        found = log.records[offset:]
        log.bytes_out += sum(len(encode_keyed(k, v)) for k, v in found)
        records = (
            KeyedRecord(offset + i, k, v or None) for i, (k, v) in enumerate(found)
        )
        end = offset + len(found)
        return Success(Batch(tuple(records), end, end, Era(log.era)))
