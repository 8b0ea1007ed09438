"""Numbered appends of this entry's row, so that none counts twice or late."""

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
    """A later start of this entry writes its row: this process must end."""


class RestoredError(Exception):
    """The log came back from an older copy: what was written may be lost."""


class RowWriter:
    """Appends this entry's row, one at a time.

    An append without an answer may land seconds later. Its number lets the
    store recognise a repeat, and refuse one that lands after a later row.

    :param on_contact: told after each try whether the store took it.
    :param eras: the era of the log.
    :ivar epoch: grows with each start of the entry.
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
        """Refuse appends of earlier starts from now on."""
        await self._fence(self._pass_earlier_start)

    async def fence_again(self) -> None:
        """Refuse what was sent before the log came back, which may still be on its way.

        The log may have lost that this start fenced off the ones before.

        :raises FencedError: if a later start of this entry writes.
        """
        await self._fence(_give_way)

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
                    self._failed(error.kind, error.detail)
                    await asyncio.sleep(RETRY_S)
        # Made twice, the call may land once more behind rows, and numbers begin anew:
        # rows that repeat a number would be taken for those before them. Theirs is a
        # higher epoch, which fences the call off too.
        self.epoch += 1
        self._sequence = 0

    def _pass_earlier_start(self, _: str) -> None:
        self.epoch += 1

    async def append(self, value: bytes) -> int:
        """Append one row; its offset.

        :raises FencedError: if a later start of this entry writes.
        :raises RestoredError: if the log came back from a copy meanwhile.
        """
        pause_s = RETRY_S
        changes = self._eras.changes
        while True:
            # The number moves on only once the store has answered: a repeat
            # is recognised by it, and one that lands late is refused.
            writer = Writer(self._entry_id, self.epoch, self._sequence)
            result = await self._store.append(
                ENTRIES_TOPIC, self._entry_id, value, writer
            )
            if changes != self._eras.changes:
                raise RestoredError
            match result:
                case Success(offset):
                    self._sequence += 1
                    self._on_contact(True)
                    return offset
                case Failure(error) if error.kind is StoreErrorKind.FENCED:
                    raise FencedError(error.detail)
                case Failure(error):
                    self._failed(error.kind, error.detail)
                    if error.kind is StoreErrorKind.OUT_OF_SEQUENCE:
                        self._sequence = self._next(error.expected)
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, RETRY_MAX_S)

    def _failed(self, kind: StoreErrorKind, detail: str) -> None:
        log_event(
            _log,
            Event.ROW_NOT_WRITTEN,
            logging.WARNING,
            kind=kind.value,
            detail=detail,
            sequence=self._sequence,
        )
        self._on_contact(False)

    def _next(self, expected: int | None) -> int:
        return self._sequence + 1 if expected is None else expected


def _give_way(detail: str) -> None:
    raise FencedError(detail)
