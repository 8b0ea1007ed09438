"""Versions of services on a log that can be read and takes no records."""

import asyncio
import random
import unittest
from unittest import mock

from returns.result import Failure, Result, Success

from celerytrack.gateway import version_records
from celerytrack.gateway.version_records import VersionRecords
from celerytrack.ids import EntryId, ServiceName, Zone
from celerytrack.platform.log_format import Batch
from celerytrack.platform.store import StoreError, StoreErrorKind
from celerytrack.routing.endpoints import EndpointPool

S = ServiceName("s")
WITHIN_S = 1.0


class _FullStore:
    """A store that takes no records.

    :ivar refused: appends that were refused.
    """

    def __init__(self) -> None:
        self.refused = 0

    async def newest(self, topic: str) -> Result[Batch, StoreError]:
        return Success(Batch((), 0, 0))

    async def append(self, *args: object) -> Result[int, StoreError]:
        self.refused += 1
        return Failure(StoreError(StoreErrorKind.REFUSED, "507"))


class VersionRecordsTest(unittest.IsolatedAsyncioTestCase):
    async def test_versions_are_read_again_while_the_log_takes_no_records(self) -> None:
        """After a gap in the registrations each stream that was taken up was refused,
        until the log took a record."""
        store, entry = _FullStore(), EntryId("e")
        pool = EndpointPool(Zone("z"), random.Random(1))
        pool.record_version(S, "v1", 0.0)
        records = VersionRecords(
            store, entry, "e/1", pool, lambda: {S}, lambda: [entry], lambda: 0.0
        )
        with mock.patch.object(version_records, "FIRST_WRITE_AFTER_S", 0.0):
            running = asyncio.create_task(records.run())
            async with asyncio.timeout(WITHIN_S):
                while not store.refused:
                    await asyncio.sleep(0.01)
                records.reload()
                self.assertFalse(records.loaded)
                while not records.loaded:
                    await asyncio.sleep(0.01)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
