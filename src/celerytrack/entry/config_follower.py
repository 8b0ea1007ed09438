"""The task that keeps this entry's configuration up to date.

Operators publish a complete :class:`~celerytrack.settings.Config` as one record on
the ``config`` stream; its offset is its version. The follower long-polls the stream,
applies each newer valid version at once and never returns to an older one. Since the
log's retention is limited, an entry rewrites the record in force, with the same
version, once that record is old. The append is conditional, so only one entry does.
"""

import asyncio
import logging
import time
from typing import Any

from returns.result import Failure, Success

from celerytrack.entry._tail import read_past_unreadable
from celerytrack.events import Event, log_event
from celerytrack.logclient import LogClient, LogErrorKind
from celerytrack.record_faults import RecordFaults
from celerytrack.settings import Config, SettingsError, structure

_log = logging.getLogger(__name__)

CONFIG_STREAM = "config"
_RETRY_S = 0.2


def config_record(
    config: dict[str, Any], base_version: int | None, now_s: float
) -> dict[str, Any]:
    """A record of the ``config`` stream, as ``celerytrackctl apply`` writes it."""
    return {
        "type": "config",
        "config": config,
        "base_version": base_version,
        "published_at_s": now_s,
    }


class ConfigFollower:
    """Keeps :attr:`config` at the newest valid version on the log.

    :param log: client of the platform log.
    :param republish_after_s: age at which the record in force is rewritten; must be
        well below the log's retention time. 0 disables rewriting.
    """

    def __init__(self, log: LogClient, republish_after_s: float = 0.0) -> None:
        self._log = log
        self._republish_after_s = republish_after_s
        self.config: Config | None = None
        self.version = -1
        self._next_offset = 0
        self._record: dict[str, Any] | None = None
        self._changed = asyncio.Event()
        self._faults = RecordFaults(_log, CONFIG_STREAM)

    async def load_last(self) -> bool:
        """Apply the last record; ``False`` if the log is unreachable."""
        match await self._log.last(CONFIG_STREAM):
            case Success(None):
                return True
            case Success((offset, record)):
                with self._faults.caught(offset):
                    self._apply(offset, record)
                self._next_offset = offset + 1
                return True
            case Failure(error) if error.kind is LogErrorKind.UNREADABLE:
                # The records before it are read one after the other.
                return True
        return False

    async def wait_for_config(self) -> Config:
        """Wait until a configuration is in force and return it."""
        while self.config is None:
            self._changed.clear()
            await self._changed.wait()
        return self.config

    async def run(self) -> None:
        """Follow the stream forever."""
        while not await self.load_last():
            await asyncio.sleep(_RETRY_S)
        while True:
            result = await read_past_unreadable(
                self._log, CONFIG_STREAM, self._next_offset, self._faults, wait_s=1.0
            )
            match result:
                case Success(batch):
                    for offset, record in batch.records:
                        with self._faults.caught(offset):
                            self._apply(offset, record)
                    self._next_offset = batch.next_offset
                    await self._maybe_republish(time.time())
                case Failure(error) if error.kind is LogErrorKind.TRIMMED:
                    self._next_offset = error.start_offset or 0
                    await self.load_last()
                case _:
                    await asyncio.sleep(_RETRY_S)

    def _apply(self, offset: int, record: dict[str, Any]) -> None:
        version = int(record.get("version_of", offset))
        if version <= self.version:
            if version < self.version:
                log_event(
                    _log,
                    Event.CONFIG_IGNORED_STALE,
                    version=version,
                    in_force=self.version,
                )
            return
        try:
            config = structure(record["config"], Config)
        except (SettingsError, KeyError) as exc:
            log_event(
                _log,
                Event.SETTINGS_REJECTED,
                logging.ERROR,
                version=version,
                error=str(exc),
            )
            return
        self.config = config
        self.version = version
        self._record = record
        self._changed.set()
        log_event(
            _log, Event.CONFIG_APPLIED, version=version, deployment=config.deployment
        )

    async def _maybe_republish(self, now_s: float) -> None:
        record = self._record
        if record is None or self._republish_after_s <= 0:
            return
        if now_s - float(record.get("published_at_s", now_s)) < self._republish_after_s:
            return
        fresh = {**record, "version_of": self.version, "published_at_s": now_s}
        match await self._log.append(CONFIG_STREAM, [fresh], self._next_offset):
            case Success(_):
                self._record = fresh
                log_event(_log, Event.CONFIG_SNAPSHOT_WRITTEN, version=self.version)
