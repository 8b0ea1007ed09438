"""Replication of suspected poison requests among all entries.

Each finding of this entry is published twice: at once in a peer message, which may be
lost, and in this entry's record on the log, which outlives the entry and is read by
entries that start or reconnect. An entry without findings has no record.
"""

import asyncio
import logging
import time
from collections.abc import Callable, Sequence

from celerytrack.eras import EraTracker
from celerytrack.events import Event, log_event
from celerytrack.findings import Findings, Probe
from celerytrack.fingerprint import Fingerprint
from celerytrack.gateway.appender import KeyedAppender
from celerytrack.gateway.hedged_store import Store
from celerytrack.gateway.tail import KeyedTail
from celerytrack.ids import EntryId
from celerytrack.platform.log_format import KeyedRecord
from celerytrack.platform.store import StoreError
from celerytrack.platform.suspect_records import (
    FindingsError,
    decode_findings,
    encode_findings,
)
from celerytrack.platform.topics import SUSPECTS_TOPIC
from celerytrack.routing.rendezvous import rendezvous
from celerytrack.suspects import SuspectTracker

_log = logging.getLogger(__name__)

READ_WAIT_S = 2.0
"""Longest time the store may hold a read open. A held read returns as soon as a record
is written, and an unresponsive store is detected within the time in which all entries
must know of a suspect."""
READ_PAUSE_S = 0.02
"""Pause between two reads, so that records written together are read together."""
PUBLISH_TIMEOUT_S = 0.5
"""Longest wait until a probe is on the log, where the other entries can read it. A slow
store answers in less."""
MAX_SENT = 100
"""Most items of each kind in a peer message, some 6 KB: prompts of many parts name as
many features in one crash."""
WRITE_PAUSE_S = 0.1
"""Shortest time between two records of this entry."""
WRITE_PAUSE_PER_ENTRY_S = 0.002
"""Added to ``WRITE_PAUSE_S`` for each entry, so that the total write rate of the fleet
stays within what the store accepts."""


class SuspectSync:
    """Writes this entry's record of suspects and reads the records of other entries.

    :param boot_id: id of this process's incarnation, part of its name as a writer.
    :param broadcast: sends a peer message to the other entries.
    :param on_change: called after findings of another entry, or of this entry's earlier
        incarnation, are merged.
    :ivar loaded: whether all records were read once.
    :ivar entry_count: number of live entries, this one included; sets the write rate.
    """

    def __init__(
        self,
        store: Store,
        entry_id: EntryId,
        boot_id: str,
        eras: EraTracker,
        broadcast: Callable[[Findings], None],
        on_change: Callable[[Findings], None],
    ) -> None:
        self.tracker = SuspectTracker(entry_id)
        self.loaded = False
        self.entry_count = 1
        self._store = store
        self._entry_id = entry_id
        self._appender = KeyedAppender(
            store, SUSPECTS_TOPIC, f"{entry_id}/{boot_id}", self._log_write_failure
        )
        self._broadcast = broadcast
        self._on_change = on_change
        self._tail = KeyedTail(
            store, SUSPECTS_TOPIC, self._apply, self._reload, eras=eras
        )
        self._logged_value = b""
        self._changes = 0
        self._written_changes = 0
        self._log_writable = True
        self._write_due = asyncio.Event()
        self._write_done = asyncio.Event()

    async def run(self) -> None:
        """Load all records, then follow the topic and write changes until cancelled."""
        await self._tail.load()
        self.loaded = True
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._tail.follow(READ_PAUSE_S, READ_WAIT_S))
            tasks.create_task(self._write_changes())

    def publish(self, findings: Findings) -> None:
        """Send findings to the other entries in a peer message and through the log."""
        if findings.is_empty:
            return
        for part in findings.split(MAX_SENT):
            self._broadcast(part)
        self._schedule_write()

    def receive(self, findings: Findings) -> None:
        """Merge the findings in a peer message of another entry."""
        self.tracker.merge(findings, False, time.monotonic())
        self._on_change(findings)

    async def begin_probes(
        self, probes: Sequence[Probe], others: Sequence[EntryId]
    ) -> bool:
        """Begin a half-open probe of the suspected features of one request: one entry
        sends it, and no other sends one with any of them.

        While the log accepts no records, some entries may not learn of the probe. Then
        only the entry that comes first in rendezvous order among the live ones may send
        it.

        :param others: the other live entries.
        :return: whether this entry may send the probe.
        """
        fingerprints = [probe.fingerprint for probe in probes]
        findings = self.tracker.begin_probes(probes, time.monotonic())
        if findings is None:
            return False
        self.publish(findings)
        try:
            logged = self._log_writable and await self._wait_logged(PUBLISH_TIMEOUT_S)
        except asyncio.CancelledError:
            # The caller has disconnected, or the deadline has passed.
            self.publish(self.tracker.cancel_probes(fingerprints))
            raise
        allowed = logged or self._is_preferred(fingerprints[0], others)
        if allowed and self.tracker.is_probing(fingerprints):
            return True
        self.publish(self.tracker.cancel_probes(fingerprints))
        return False

    def _is_preferred(
        self, fingerprint: Fingerprint, others: Sequence[EntryId]
    ) -> bool:
        first = rendezvous(fingerprint.hex(), [*others, self._entry_id], 1)
        return first == [self._entry_id]

    async def _wait_logged(self, timeout_s: float) -> bool:
        """Wait for the published changes to be on the log; returns whether they are."""
        wanted = self._changes
        try:
            async with asyncio.timeout(timeout_s):
                while self._written_changes < wanted:
                    await self._write_done.wait()
        except TimeoutError:
            return False
        return True

    # -- writing ----------------------------------------------------------------

    def _schedule_write(self) -> None:
        self._changes += 1
        self._write_due.set()

    async def _write_changes(self) -> None:
        while True:
            await self._write_due.wait()
            self._write_due.clear()
            changes = self._changes
            value = self._encode_record()
            if value != self._logged_value:
                await self._append(value)
            self._written_changes = changes
            self._write_done.set()
            self._write_done = asyncio.Event()
            await asyncio.sleep(
                WRITE_PAUSE_S + self.entry_count * WRITE_PAUSE_PER_ENTRY_S
            )

    def _encode_record(self) -> bytes:
        record = self.tracker.own_findings(time.monotonic(), time.time())
        return b"" if record.is_empty else encode_findings(record)

    async def _append(self, value: bytes) -> None:
        """Append ``value`` as this entry's record."""
        await self._appender.append(self._entry_id, value)
        self._logged_value = value
        self._log_writable = True

    def _log_write_failure(self, error: StoreError) -> None:
        self._log_writable = False
        log_event(
            _log,
            Event.SUSPECTS_NOT_WRITTEN,
            logging.WARNING,
            kind=error.kind.value,
            detail=error.detail,
        )

    # -- reading -----------------------------------------------------------------

    def _apply(self, record: KeyedRecord) -> None:
        is_own = record.key == self._entry_id
        value = record.value or b""
        if is_own and self.loaded:
            self._check_own_record(value)
            return
        entry_id = EntryId(record.key)
        try:
            findings = decode_findings(value) if value else Findings(entry_id)
        except FindingsError as exc:
            detail = f"record of {record.key}: {exc}"
            log_event(_log, Event.NOTE_REJECTED, logging.ERROR, detail=detail)
            return
        now_s = time.monotonic()
        if is_own:
            self._logged_value = value
            self.tracker.restore_own(findings, now_s)
        else:
            self.tracker.merge(findings, True, now_s)
        self._on_change(findings)

    def _check_own_record(self, value: bytes) -> None:
        """Write this entry's record again if the log holds another version of it.

        This happens when an earlier append takes effect late, or when the log was
        restored from an older backup.
        """
        if value != self._logged_value:
            self._logged_value = value
            self._schedule_write()

    def _reload(self, keys: set[str]) -> None:
        if self.loaded and self._logged_value and self._entry_id not in keys:
            self._check_own_record(b"")
