"""Reads and writes the software versions of services on the log."""

import asyncio
import logging
import time
from collections.abc import Callable, Collection

from returns.result import Failure, Success

from celerytrack.events import Event, log_event
from celerytrack.gateway.appender import KeyedAppender
from celerytrack.gateway.hedged_store import Store
from celerytrack.gateway.tail import RETRY_MAX_S, RETRY_S
from celerytrack.ids import EntryId, ServiceName
from celerytrack.origins.recorded import RecordedVersions, RecordKey, ServiceVersion
from celerytrack.origins.sync import Versions
from celerytrack.platform.store import StoreError
from celerytrack.platform.topics import VERSIONS_TOPIC
from celerytrack.platform.version_records import (
    VersionRecordError,
    decode_version,
    encode_version,
)
from celerytrack.routing.rendezvous import rendezvous

_log = logging.getLogger(__name__)

TICK_S = 0.5
WRITERS = 3
"""Entries that write each record."""
FIRST_WRITE_AFTER_S = 2.0
"""Time after the start before the first record is written: entries that start together
know each other by then, so that not all of them write."""


class VersionRecords:
    """Keeps the versions that this entry sees on the log.

    :param versions: the versions of services.
    :param services: returns the services that are configured.
    :param live_entries: returns the live entries, this one included.
    :param known_at_s: returns the time up to which the registrations are known.
    :param name: of this incarnation as a writer.
    :ivar loaded: whether the versions on the log are known here, with all that this
        entry can't have seen itself.
    """

    def __init__(
        self,
        store: Store,
        entry_id: EntryId,
        name: str,
        versions: Versions,
        services: Callable[[], Collection[ServiceName]],
        live_entries: Callable[[], list[EntryId]],
        known_at_s: Callable[[], float],
    ) -> None:
        self.loaded = False
        self._store = store
        self._entry_id = entry_id
        self._versions = versions
        self._services = services
        self._live_entries = live_entries
        self._known_at_s = known_at_s
        self._reload_due = asyncio.Event()
        self._recorded = RecordedVersions(self._is_writer)
        self._appender = KeyedAppender(
            store, VERSIONS_TOPIC, name, self._log_write_failure
        )

    async def run(self) -> None:
        """Load what is on the log and write what changes, until cancelled."""
        # A log that takes no records may still be read.
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._keep_loaded())
            tasks.create_task(self._keep_written())

    async def _keep_loaded(self) -> None:
        while True:
            await self._load()
            await self._reload_due.wait()

    async def _keep_written(self) -> None:
        await asyncio.sleep(FIRST_WRITE_AFTER_S)
        while True:
            if self.loaded:
                await self._write_changes()
            await asyncio.sleep(TICK_S)

    def reload(self) -> None:
        """Read the log again: for a while versions may have come up unseen, or the log
        was restored and may lack some."""
        self.loaded = False
        self._reload_due.set()

    async def _load(self) -> None:
        pause_s = RETRY_S
        while True:
            self._reload_due.clear()
            match await self._store.newest(VERSIONS_TOPIC):
                case Success(batch) if not self._reload_due.is_set():
                    break
                case Success(_):
                    continue
                case Failure(_):
                    await asyncio.sleep(pause_s)
                    pause_s = min(2 * pause_s, RETRY_MAX_S)
        now_s = time.monotonic()
        found = [s for r in batch.records if (s := _decode(r.key, r.value)) is not None]
        self._recorded.load(found, now_s)
        for subject in found:
            self._versions.record_version(subject.service, subject.version, now_s)
        self.loaded = True
        log_event(_log, Event.VERSIONS_LOADED, versions=len(found))

    async def _write_changes(self) -> None:
        seen = list(self._versions.seen_versions())
        known_at_s = self._known_at_s()
        for change in self._recorded.changes(seen, self._services(), known_at_s):
            subject = change.subject
            value = b"" if change.dropped else encode_version(subject)
            await self._appender.append(subject.record_key, value)
            log_event(
                _log,
                Event.VERSION_RECORDED,
                service=subject.service,
                version=subject.version,
                dropped=change.dropped,
            )

    def _is_writer(self, key: RecordKey) -> bool:
        return self._entry_id in rendezvous(key, self._live_entries(), WRITERS)

    def _log_write_failure(self, error: StoreError) -> None:
        log_event(
            _log,
            Event.VERSION_NOT_RECORDED,
            logging.WARNING,
            kind=error.kind.value,
            detail=error.detail,
        )


def _decode(key: str, value: bytes | None) -> ServiceVersion | None:
    if value is None:
        return None
    try:
        return decode_version(value)
    except VersionRecordError as exc:
        detail = f"version {key}: {exc}"
        log_event(_log, Event.NOTE_REJECTED, logging.WARNING, detail=detail)
        return None
