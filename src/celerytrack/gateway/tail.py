"""Following one keyed topic of the platform's store."""

import asyncio
import logging
from collections.abc import Callable

from returns.result import Failure, Success

from celerytrack.events import Event, log_event
from celerytrack.platform.log_format import Batch, KeyedRecord
from celerytrack.platform.store import StoreClient, StoreError, StoreErrorKind

_log = logging.getLogger(__name__)

RETRY_S = 0.2
"""Pause after a failed call: a store that is back is found within it."""
RETRY_MAX_S = 0.3
"""Longest pause between two tries, while the store stays away: two outages may
be half a second apart, and a row written between them keeps its claim locked."""


class KeyedTail:
    """Folds one keyed topic, from its newest records on.

    :param apply: takes each record, in the order of the log.
    :param reload: told the keys that exist, after the history was lost; what
        is not among them was dropped meanwhile.
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        apply: Callable[[KeyedRecord], None],
        reload: Callable[[set[str]], None] = lambda keys: None,
    ) -> None:
        self.topic = topic
        self.next_offset: int | None = None
        self.reachable = True
        self._store = store
        self._apply = apply
        self._reload = reload

    async def poll(self, wait_s: float = 0.0) -> bool:
        """Read what is new once; whether the store answered.

        :param wait_s: how long the store may hold the call.
        """
        if self.next_offset is None:
            return self._taken(await self._store.newest(self.topic), reloaded=True)
        result = await self._store.read(self.topic, self.next_offset, wait_s)
        match result:
            case Failure(error) if error.kind is StoreErrorKind.TRIMMED:
                self.next_offset = None
                newest = await self._store.newest(self.topic)
                return self._taken(newest, reloaded=True)
        return self._taken(result, reloaded=False)

    async def load(self) -> None:
        """Read until the store has answered once."""
        pause_s = RETRY_S
        while not await self.poll():
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, RETRY_MAX_S)

    async def follow(self, interval_s: float, wait_s: float = 0.0) -> None:
        """Poll for ever, ``interval_s`` apart."""
        pause_s = RETRY_S
        while True:
            if await self.poll(wait_s):
                pause_s = RETRY_S
                await asyncio.sleep(interval_s)
            else:
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, RETRY_MAX_S)

    def _taken(self, result: object, reloaded: bool) -> bool:
        match result:
            case Success(Batch(records, next_offset)):
                self._contact(None)
                for record in records:
                    self._apply(record)
                if reloaded:
                    self._reload({r.key for r in records if r.value is not None})
                self.next_offset = next_offset
                return True
            case Failure(error):
                self._contact(error)
        return False

    def _contact(self, error: StoreError | None) -> None:
        if self.reachable is (error is None):
            return
        self.reachable = error is None
        if error is None:
            log_event(_log, Event.STORE_REGAINED, topic=self.topic)
        else:
            log_event(
                _log,
                Event.STORE_LOST,
                logging.WARNING,
                topic=self.topic,
                kind=error.kind.value,
                detail=error.detail,
            )
