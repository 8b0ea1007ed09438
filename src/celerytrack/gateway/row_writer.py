"""Numbered appends of this entry's row; the store rejects duplicates and late ones."""

import asyncio
import logging
from collections.abc import Callable

from returns.result import Failure, Success

from celerytrack.eras import EraTracker
from celerytrack.events import Event, log_event
from celerytrack.gateway.hedged_store import Store
from celerytrack.gateway.tail import RETRY_MAX_S, RETRY_S
from celerytrack.ids import EntryId
from celerytrack.platform.store import StoreErrorKind, Writer
from celerytrack.platform.topics import ENTRIES_TOPIC

_log = logging.getLogger(__name__)


class FencedError(Exception):
    """A later incarnation of this entry writes its row: this process must exit."""


class LogRestoredError(Exception):
    """The log was restored from an older backup: what was written may be lost."""


class RowWriter:
    """Appends this entry's row, one at a time.

    An unanswered append may arrive at the store seconds later. By its number the store
    recognises a repeat, and refuses one that arrives after a later row.

    :param on_contact: called after each attempt with whether the store accepted it.
    :param eras: tracks the era of the log.
    :ivar epoch: fencing token; grows with each incarnation of the entry.
    """

    def __init__(
        self,
        store: Store,
        entry_id: EntryId,
        on_contact: Callable[[bool], None],
        eras: EraTracker | None = None,
    ) -> None:
        self.epoch = 0
        self._store = store
        self._entry_id = entry_id
        self._on_contact = on_contact
        self._eras = EraTracker() if eras is None else eras
        self._sequence = 0

    async def fence(self) -> None:
        """Fence off appends of earlier incarnations."""
        await self._fence(self._raise_epoch)

    async def refence(self) -> None:
        """Fence off appends sent before the log was restored; they may be in flight.

        The restored log may lack the fence that this incarnation set before.

        :raises FencedError: if a later incarnation of this entry writes.
        """
        await self._fence(_raise_fenced)

    async def _fence(self, on_fenced: Callable[[str], None]) -> None:
        self.epoch += 1
        while True:
            writer = Writer(self._entry_id, self.epoch, 0)
            match await self._store.set_epoch(ENTRIES_TOPIC, writer):
                case Success(_):
                    break
                case Failure(error) if error.kind is StoreErrorKind.FENCED:
                    on_fenced(error.detail)
                case Failure(error):
                    self._report_failure(error.kind, error.detail)
                    await asyncio.sleep(RETRY_S)
        # A duplicate of the call may arrive after the first rows and reset the
        # sequence: rows that reuse a number would be taken for repeats. So rows have a
        # higher epoch, which fences off the duplicate too.
        self.epoch += 1
        self._sequence = 0

    def _raise_epoch(self, _: str) -> None:
        self.epoch += 1

    async def append(self, value: bytes) -> int:
        """Append one row; returns its offset.

        :raises FencedError: if a later incarnation of this entry writes.
        :raises LogRestoredError: if the log was restored meanwhile.
        """
        pause_s = RETRY_S
        changes = self._eras.changes
        while True:
            # The number advances only when the store has answered: by it the store
            # recognises a repeat and refuses an append that arrives late.
            writer = Writer(self._entry_id, self.epoch, self._sequence)
            result = await self._store.append(
                ENTRIES_TOPIC, self._entry_id, value, writer
            )
            if changes != self._eras.changes:
                raise LogRestoredError
            match result:
                case Success(offset):
                    self._sequence += 1
                    self._on_contact(True)
                    return offset
                case Failure(error) if error.kind is StoreErrorKind.FENCED:
                    raise FencedError(error.detail)
                case Failure(error):
                    self._report_failure(error.kind, error.detail)
                    if error.kind is StoreErrorKind.OUT_OF_SEQUENCE:
                        self._sequence = self._sequence_after(error.expected)
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, RETRY_MAX_S)

    def _report_failure(self, kind: StoreErrorKind, detail: str) -> None:
        log_event(
            _log,
            Event.ROW_NOT_WRITTEN,
            logging.WARNING,
            kind=kind.value,
            detail=detail,
            sequence=self._sequence,
        )
        self._on_contact(False)

    def _sequence_after(self, expected: int | None) -> int:
        return self._sequence + 1 if expected is None else expected


def _raise_fenced(detail: str) -> None:
    raise FencedError(detail)
