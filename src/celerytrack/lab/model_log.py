"""The platform's keyed log as a model: delays, cuts, lost and late answers, and a
return from an older copy."""

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
"""Time the store takes to answer a call."""
_SILENCE = Failure(StoreError(StoreErrorKind.UNREACHABLE, "no answer"))
_T = TypeVar("_T")
_AWAY = Failure(StoreError(StoreErrorKind.REFUSED, "503"))


@attrs.frozen
class LogCopy:
    """What a log held at one time."""

    records: tuple[tuple[str, bytes], ...]
    producers: dict[str, tuple[int, int]]
    offsets: dict[tuple[str, int, int], int]


@attrs.define
class ModelLog:
    """One topic, shared by all modelled entries.

    :ivar late_s: how much longer an append takes to land.
    :ivar lost_share: share of reads and appends that are done and not answered.
    :ivar appends: appends so far; ``bytes_in`` and ``bytes_out`` what was sent.
    :ivar away: every call is refused.
    :ivar era: rises by one each time the log comes back from an older copy.
    :ivar asked_s: when each append arrived, whatever became of it.
    """

    rng: random.Random
    late_s: float = 0.0
    lost_share: float = 0.0
    appends: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    away: bool = False
    era: int = 1
    asked_s: list[float] = attrs.field(factory=list)
    records: list[tuple[str, bytes]] = attrs.field(factory=list)
    producers: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    offsets: dict[tuple[str, int, int], int] = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def copy(self) -> LogCopy:
        """What the log holds now."""
        return LogCopy(tuple(self.records), dict(self.producers), dict(self.offsets))

    def restore(self, older: LogCopy) -> None:
        """Hold what ``older`` does: what came after it is gone."""
        self.records = list(older.records)
        self.producers = dict(older.producers)
        self.offsets = dict(older.offsets)
        self.era += 1
        self.wake_readers()

    def append(self, key: str, value: bytes, writer: Writer) -> Result[int, StoreError]:
        """Append one record, in the order of its writer's numbers."""
        epoch, expected = self.producers.get(writer.name, (0, 0))
        if writer.epoch < epoch:
            return Failure(StoreError(StoreErrorKind.FENCED, "fenced"))
        numbered = (writer.name, writer.epoch, writer.sequence)
        if numbered in self.offsets:
            # A repeat gets the answer of the first.
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
        """Fence off appends of lower epochs of the same writer."""
        epoch, _ = self.producers.get(writer.name, (0, 0))
        if writer.epoch < epoch:
            return Failure(StoreError(StoreErrorKind.FENCED, "fenced"))
        self.producers[writer.name] = (writer.epoch, writer.sequence)
        return Success(None)

    def wake_readers(self) -> None:
        """Have held reads look again."""
        self.changed.set()
        self.changed = asyncio.Event()


class ModelStore:
    """What the real store client offers, for one entry.

    :ivar cut: nothing gets through, either way.
    :ivar eras: told the era of each answer; a new one for each start of the entry.
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
        """Records from ``offset`` on, once there is one or ``wait_s`` have passed."""
        if wait_s and not self.cut and not self._log.away:
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
        """The offset behind the last record."""
        log = self._log
        return await self._call(
            ANSWER_S, lambda: Success(len(log.records)), may_be_lost=False
        )

    async def append(
        self, topic: str, key: str, value: bytes, writer: Writer
    ) -> Result[int, StoreError]:
        """Append one record; its offset."""
        log = self._log
        log.asked_s.append(asyncio.get_running_loop().time())
        return await self._call(
            ANSWER_S + log.late_s, lambda: log.append(key, value, writer)
        )

    async def close(self) -> None:
        """There is nothing to close."""

    async def set_epoch(self, topic: str, writer: Writer) -> Result[None, StoreError]:
        """Fence off earlier starts."""
        log = self._log
        log.asked_s.append(asyncio.get_running_loop().time())
        return await self._call(ANSWER_S + log.late_s, lambda: log.set_epoch(writer))

    async def _call(
        self,
        takes_s: float,
        answer: Callable[[], Result[_T, StoreError]],
        may_be_lost: bool = True,
    ) -> Result[_T, StoreError]:
        """What the log answers after ``takes_s``, if it does."""
        asked_at = self.eras.changes
        if self.cut:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return _SILENCE
        await asyncio.sleep(takes_s)
        if self.cut:
            return _SILENCE
        result = _AWAY if self._log.away else answer()
        era = Era(self._log.era)
        if may_be_lost and self._log.rng.random() < self._log.lost_share:
            # Found out by the time limit.
            await asyncio.sleep(CALL_TIMEOUT_S)
            return _SILENCE
        if self.eras.observe(era, asked_at, time.monotonic()) is EraStatus.LATE:
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
