"""The store's client on a slow link."""

import unittest

from returns.result import Success

from tests.gateway_fleet import make_store_client
from tests.keyed_log import KeyedLog

TOPIC = "keyed.rows"


class BacklogTest(unittest.IsolatedAsyncioTestCase):
    """Symptom: on a fleet of 76 entries a request reached an endpoint 3.5 s after
    its registration was gone; entries that had been cut off never read the rows
    of the others again.

    Sequence: an entry on a link of 10 Mbit/s is cut off for 8 s, in which the
    others write 2 MB of rows. It asks for them; the answer, 1 MB, takes 0.84 s, the
    call is given up after 0.7 s, and it asks again, for ever. Meanwhile its reads of
    the registrations time out on the same link.
    Cause: how much one answer holds was left to the store.
    """

    async def test_it_is_read_in_answers_that_arrive_in_time(self):
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
