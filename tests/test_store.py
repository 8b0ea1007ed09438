"""Tests of the store's client on a slow link."""

import unittest

from returns.result import Success

from tests.gateway_fleet import make_store_client
from tests.keyed_log import KeyedLog

TOPIC = "keyed.rows"


class BacklogTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a backlog of rows that an entry can never read.

    In a fleet of 76 entries, an entry on a link of 10 Mbit/s was partitioned for 8 s,
    while the others wrote 2 MB of rows. The store chose the size of the answer: 1 MB,
    which takes 0.84 s. The call timed out after 0.7 s and was repeated for ever. The
    reads of the registrations timed out on the same link, so a request reached an
    endpoint 3.5 s after its registration was deleted.
    """

    async def test_a_backlog_is_read_in_answers_that_arrive_in_time(self):
        log = KeyedLog()
        log.link.bytes_per_s = 10e6 / 8
        for i in range(1_000):
            log.put(TOPIC, f"e{i % 76}", bytes(2_000))
        client = await make_store_client(self, log)
        offset = 0
        for _ in range(20):
            match await client.read(TOPIC, offset):
                case Success(batch):
                    offset = batch.next_offset
        self.assertEqual(offset, 1_000)
