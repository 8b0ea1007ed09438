"""Records and messages that can't be applied end nothing and cost one line each."""

import unittest

import msgpack
from returns.result import Success

from celerytrack.gateway.peer_messages import PeerMessenger
from celerytrack.gateway.tail import KeyedTail
from celerytrack.platform.log_format import Batch, KeyedRecord

_LOGGER = "celerytrack.gateway.tail"


class _Store:
    """A store that answers each call with the same records."""

    def __init__(self, *keys: str) -> None:
        records = tuple(KeyedRecord(i, key, b"v") for i, key in enumerate(keys))
        self.batch = Batch(records, len(records), len(records))

    async def newest(self, topic: str) -> Success[Batch]:
        return Success(self.batch)


class TailFaultTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_record_that_fails_hides_no_other(self):
        """An exception for one record ended the task that follows its topic."""
        applied: list[str] = []

        def apply(record: KeyedRecord) -> None:
            if record.key == "bad":
                raise OverflowError("x" * 10_000)
            applied.append(record.key)

        tail = KeyedTail(_Store("a", "bad", "b"), "t", apply)
        with self.assertLogs(_LOGGER, "ERROR") as logs:
            for _ in range(3):
                tail.next_offset = None
                self.assertTrue(await tail.poll())
        self.assertEqual(applied, ["a", "b"] * 3)
        self.assertEqual(len(logs.records), 1)
        self.assertLess(len(logs.records[0].detail), 500)


class MessageFaultTest(unittest.TestCase):
    def test_a_message_that_fails_is_logged(self):
        """An exception for one message went to the event loop with its whole trace."""

        def handle(message: object) -> None:
            raise ValueError("x" * 10_000)

        messenger = PeerMessenger(handle)
        with self.assertLogs("celerytrack.gateway.peer_messages", "WARNING") as logs:
            messenger.datagram_received(msgpack.packb(("i-1", 0.1)), None)
        self.assertLess(len(logs.records[0].detail), 500)
