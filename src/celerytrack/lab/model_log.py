"""The platform's keyed log as a model: delays, cuts, lost and late answers, and a
return from an older copy."""

import asyncio
import random

import attrs
from returns.result import Failure, Result, Success

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

    def copy(self) -> LogCopy:
        """What the log holds now."""
        return LogCopy(tuple(self.records), dict(self.producers), dict(self.offsets))

    def restore(self, older: LogCopy) -> None:
        """Hold what ``older`` does: what came after it is gone."""
        self.records = list(older.records)
        self.producers = dict(older.producers)
        self.offsets = dict(older.offsets)
        self.era += 1

    def append(self, key: str, value: bytes, writer: Writer) -> Result[int, StoreError]:
        """Append one record, in the order of its writer's numbers."""
        epoch, expected = self.producers.get(writer.name, (0, 0))
        if writer.epoch < epoch:
            return Failure(StoreError(StoreErrorKind.FENCED, "fenced"))
        numbered = (writer.name, writer.epoch, writer.sequence)
        if value and numbered in self.offsets:
            # A repeat gets the answer of the first.
            return Success(self.offsets[numbered])
        if writer.epoch == epoch and value and writer.sequence != expected:
            kind = StoreErrorKind.OUT_OF_SEQUENCE
            return Failure(StoreError(kind, "sequence", expected))
        if not value:
            self.producers[writer.name] = (writer.epoch, writer.sequence)
            return Success(len(self.records))
        self.producers[writer.name] = (writer.epoch, writer.sequence + 1)
        self.offsets[numbered] = len(self.records)
        self.records.append((key, value))
        self.appends += 1
        self.bytes_in += len(encode_keyed(key, value))
        return Success(len(self.records) - 1)


class ModelStore:
    """What the real store client offers, for one entry.

    :ivar cut: nothing gets through, either way.
    """

    def __init__(self, log: ModelLog) -> None:
        self.cut = False
        self._log = log

    async def newest(self, topic: str) -> Result[Batch, StoreError]:
        """The newest record of each key."""
        if failed := await self._failed(ANSWER_S):
            return failed
        newest = {key: (i, v) for i, (key, v) in enumerate(self._log.records)}
        records = tuple(KeyedRecord(i, key, v) for key, (i, v) in newest.items())
        end = len(self._log.records)
        return Success(Batch(records, end, end))

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float = 0.0,
        arriving: asyncio.Event | None = None,
    ) -> Result[Batch, StoreError]:
        """Records from ``offset`` on."""
        if failed := await self._failed(ANSWER_S):
            return failed
        if await self._lost():
            return _SILENCE
        if offset > len(self._log.records):
            return Failure(StoreError(StoreErrorKind.TRIMMED, "410"))
        found = self._log.records[offset:]
        self._log.bytes_out += sum(len(encode_keyed(k, v)) for k, v in found)
        records = (KeyedRecord(offset + i, k, v) for i, (k, v) in enumerate(found))
        end = offset + len(found)
        return Success(Batch(tuple(records), end, end))

    async def end(self, topic: str, last_key: str) -> Result[int, StoreError]:
        """The offset behind the last record."""
        if failed := await self._failed(ANSWER_S):
            return failed
        return Success(len(self._log.records))

    async def append(
        self, topic: str, key: str, value: bytes, writer: Writer
    ) -> Result[int, StoreError]:
        """Append one record; its offset."""
        self._log.asked_s.append(asyncio.get_running_loop().time())
        if failed := await self._failed(ANSWER_S + self._log.late_s):
            return failed
        result = self._log.append(key, value, writer)
        return _SILENCE if await self._lost() else result

    async def _lost(self) -> bool:
        """Whether the answer to a call is lost, found out by the time limit."""
        lost = self._log.rng.random() < self._log.lost_share
        if lost:
            await asyncio.sleep(CALL_TIMEOUT_S)
        return lost

    async def close(self) -> None:
        """There is nothing to close."""

    async def set_epoch(self, topic: str, writer: Writer) -> Result[None, StoreError]:
        """Fence off earlier starts."""
        result = await self.append(topic, writer.name, b"", writer)
        return result.map(lambda _: None)

    async def _failed(self, takes_s: float) -> Failure[StoreError] | None:
        """Why the log does not answer a call of ``takes_s``, if so."""
        if self.cut:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return _SILENCE
        await asyncio.sleep(takes_s)
        if self.cut:
            return _SILENCE
        return _AWAY if self._log.away else None
