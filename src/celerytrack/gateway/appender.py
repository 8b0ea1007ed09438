"""Appends records to a keyed topic until the store has them."""

import asyncio
from collections.abc import Callable

from returns.result import Failure, Success

from celerytrack.gateway.hedged_store import Store
from celerytrack.gateway.tail import RETRY_MAX_S, RETRY_S
from celerytrack.platform.store import StoreError, StoreErrorKind, Writer


class KeyedAppender:
    """Appends to one topic, one record after the other.

    :param name: of this incarnation of the writer.
    :param on_failure: called with the error of each append that failed.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        name: str,
        on_failure: Callable[[StoreError], None],
    ) -> None:
        self._store = store
        self._topic = topic
        self._name = name
        self._on_failure = on_failure
        self._sequence = 0

    async def append(self, key: str, value: bytes) -> None:
        """Append one record, retrying until the store answers."""
        pause_s = RETRY_S
        while True:
            # A retry repeats the same bytes: the store answers a repeated sequence
            # number as it answered the first append, whatever the bytes are.
            writer = Writer(self._name, 1, self._sequence)
            match await self._store.append(self._topic, key, value, writer):
                case Success(_):
                    self._sequence += 1
                    return
                case Failure(error):
                    self._on_failure(error)
                    if error.kind is StoreErrorKind.OUT_OF_SEQUENCE:
                        expected = error.expected
                        following = self._sequence + 1
                        self._sequence = following if expected is None else expected
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, RETRY_MAX_S)
