"""Numbered appends of an entry's row."""

import asyncio
import unittest
from unittest import mock

from celerytrack.gateway.row_writer import RowWriter
from celerytrack.ids import EntryId
from celerytrack.platform.topics import ENTRIES_TOPIC
from tests.gateway_fleet import make_store_client
from tests.keyed_log import KeyedLog

ME = EntryId("me")


class DuplicateFenceTest(unittest.IsolatedAsyncioTestCase):
    async def test_rows_after_a_late_duplicate_fence_are_stored(self):
        """Guards against rows that the store takes for repeats and does not store.

        The duplicate of a fence arrives after the first rows and resets their numbers;
        the entry then relies on claims that are not on the log.
        """
        log = KeyedLog()
        client = await make_store_client(self, log)
        with mock.patch.object(client, "set_epoch", wraps=client.set_epoch) as fence:
            writer = RowWriter(client, ME, lambda answered: None)
            await writer.fence()
        await writer.append(b"0")
        for call in fence.call_args_list:
            await client.set_epoch(*call.args)
        for i in range(1, 4):
            async with asyncio.timeout(2.0):
                await writer.append(b"%d" % i)
        written = [value for _, value in log.topic(ENTRIES_TOPIC).records]
        self.assertEqual(written, [b"0", b"1", b"2", b"3"])
