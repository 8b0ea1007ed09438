"""The task that shares with all entries which requests end endpoints.

What this entry finds goes to the others twice: at once in a note, which may be lost,
and in this entry's record on the log, which outlives the entry and is read by whoever
starts or comes back. There is no record while there is nothing to tell.
"""

import asyncio
import logging
import time
from collections.abc import Callable, Sequence

from returns.result import Failure, Success

from celerytrack.eras import EraWatch
from celerytrack.events import Event, log_event
from celerytrack.findings import Findings, Probe
from celerytrack.fingerprint import Fingerprint
from celerytrack.gateway.hedged_store import Store
from celerytrack.gateway.tail import RETRY_MAX_S, RETRY_S, KeyedTail
from celerytrack.ids import EntryId
from celerytrack.platform.log_format import KeyedRecord
from celerytrack.platform.store import StoreErrorKind, Writer
from celerytrack.platform.suspect_records import (
    FindingsError,
    decode_findings,
    encode_findings,
)
from celerytrack.platform.topics import SUSPECTS_TOPIC
from celerytrack.routing import rendezvous
from celerytrack.suspects import SuspectTracker

_log = logging.getLogger(__name__)

READ_WAIT_S = 2.0
"""How long the store may hold a read: a record is read as it is written, and a store
that is silent is found out within the time in which all must know."""
READ_PAUSE_S = 0.02
"""Pause between two reads: records that come together are read together."""
TOLD_WITHIN_S = 0.5
"""Longest wait until the others can know of a trial: a slow store answers in less."""
WRITE_PAUSE_S = 0.1
"""Shortest time between two records of this entry."""
PAUSE_PER_ENTRY_S = 0.002
"""What each entry adds to it, so that all together write no more than a store takes."""


class SuspectKeeper:
    """Owns this entry's record of suspects, and reads those of the others.

    :param boot_id: names this start as a writer.
    :param tell: sends a note to the other entries.
    :param on_change: told after others' findings were taken.
    """

    def __init__(
        self,
        store: Store,
        entry_id: EntryId,
        boot_id: str,
        eras: EraWatch,
        tell: Callable[[Findings], None],
        on_change: Callable[[Findings], None],
    ) -> None:
        self.book = SuspectTracker(entry_id)
        self.started = False
        self.entries = 1
        self._store = store
        self._entry_id = entry_id
        self._name = f"{entry_id}/{boot_id}"
        self._tell = tell
        self._on_change = on_change
        self._tail = KeyedTail(
            store, SUSPECTS_TOPIC, self._apply, self._reload, eras=eras
        )
        self._on_log = b""
        self._sequence = 0
        self._changes = 0
        self._written = 0
        self._writing = True
        self._due = asyncio.Event()
        self._done = asyncio.Event()

    async def run(self) -> None:
        """Read what is known, then keep up with it and write for ever."""
        await self._tail.load()
        self.started = True
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._tail.follow(READ_PAUSE_S, READ_WAIT_S))
            tasks.create_task(self._write_for_ever())

    def publish(self, findings: Findings) -> None:
        """Tell the others, now and on the log."""
        if findings.is_empty:
            return
        self._tell(findings)
        self._change()

    def hear(self, findings: Findings) -> None:
        """Take a note of another entry."""
        self.book.merge(findings, False, time.monotonic())
        self._on_change(findings)

    async def claim(self, trial: Probe, others: Sequence[EntryId]) -> bool:
        """Begin to try a request alone; whether this entry may.

        While the log takes nothing, some may not hear of it: then the first in line
        among the entries alive may, and no other.

        :param others: the other entries alive.
        """
        findings = self.book.begin_probe(trial, time.monotonic())
        if findings is None:
            return False
        self.publish(findings)
        try:
            told = self._writing and await self._is_on_log(TOLD_WITHIN_S)
        except asyncio.CancelledError:
            # The caller left meanwhile, or its time is up.
            self.publish(self.book.cancel_probe(trial.fingerprint))
            raise
        may = told or self._first_in_line(trial.fingerprint, others)
        if may and self.book.is_probing(trial.fingerprint):
            return True
        self.publish(self.book.cancel_probe(trial.fingerprint))
        return False

    def _first_in_line(
        self, fingerprint: Fingerprint, others: Sequence[EntryId]
    ) -> bool:
        first = rendezvous(fingerprint.hex(), [*others, self._entry_id], 1)
        return first == [self._entry_id]

    async def _is_on_log(self, within_s: float) -> bool:
        """Wait until all that was published is on the log; whether it is in time."""
        wanted = self._changes
        try:
            async with asyncio.timeout(within_s):
                while self._written < wanted:
                    await self._done.wait()
        except TimeoutError:
            return False
        return True

    # -- writing ----------------------------------------------------------------

    def _change(self) -> None:
        self._changes += 1
        self._due.set()

    async def _write_for_ever(self) -> None:
        while True:
            await self._due.wait()
            self._due.clear()
            changes = self._changes
            value = self._value()
            if value != self._on_log:
                await self._append(value)
            self._written = changes
            self._done.set()
            self._done = asyncio.Event()
            await asyncio.sleep(WRITE_PAUSE_S + self.entries * PAUSE_PER_ENTRY_S)

    def _value(self) -> bytes:
        record = self.book.own_findings(time.monotonic(), time.time())
        return b"" if record.is_empty else encode_findings(record)

    async def _append(self, value: bytes) -> None:
        """Append ``value`` as this entry's record, until the store has answered."""
        pause_s = RETRY_S
        while True:
            # Sent again with other bytes, the number would get the first's answer.
            writer = Writer(self._name, 1, self._sequence)
            match await self._store.append(
                SUSPECTS_TOPIC, self._entry_id, value, writer
            ):
                case Success(_):
                    self._sequence += 1
                    self._on_log = value
                    self._writing = True
                    return
                case Failure(error):
                    self._failed(error.kind, error.detail)
                    if error.kind is StoreErrorKind.OUT_OF_SEQUENCE:
                        expected = error.expected
                        following = self._sequence + 1
                        self._sequence = following if expected is None else expected
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, RETRY_MAX_S)

    def _failed(self, kind: StoreErrorKind, detail: str) -> None:
        self._writing = False
        log_event(
            _log,
            Event.SUSPECTS_NOT_WRITTEN,
            logging.WARNING,
            kind=kind.value,
            detail=detail,
        )

    # -- reading -----------------------------------------------------------------

    def _apply(self, record: KeyedRecord) -> None:
        mine = record.key == self._entry_id
        value = record.value or b""
        if mine and self.started:
            self._read_own(value)
            return
        entry_id = EntryId(record.key)
        try:
            findings = decode_findings(value) if value else Findings(entry_id)
        except FindingsError as exc:
            detail = f"record of {record.key}: {exc}"
            log_event(_log, Event.NOTE_REJECTED, logging.ERROR, detail=detail)
            return
        now_s = time.monotonic()
        if mine:
            self._on_log = value
            self.book.restore_own(findings, now_s)
        else:
            self.book.merge(findings, True, now_s)
        self._on_change(findings)

    def _read_own(self, value: bytes) -> None:
        """An append of before landed late, or the log came back from a copy: what it
        holds of this entry is not what was written last."""
        if value != self._on_log:
            self._on_log = value
            self._change()

    def _reload(self, keys: set[str]) -> None:
        if self.started and self._on_log and self._entry_id not in keys:
            self._read_own(b"")
