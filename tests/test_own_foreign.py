"""Entries of the own interface go on while records of others can't be used."""

import asyncio
import copy
import time
import unittest
from typing import Any

import msgpack
from nose2.tools import params

from celerytrack.entry.config_follower import CONFIG_STREAM
from celerytrack.entry.ledger_writer import LEDGER_STREAM
from celerytrack.entry.peers import Heartbeat
from celerytrack.logclient import LogClient
from tests.own_cut_fleet import OwnCutFleet, own_config

IN_FORCE_WITHIN_S = 5.0
MAX_VIEW_AGE_S = 1.5
"""Several reads of the instance list, which this fleet makes some times a second."""
_JUNK: list[Any] = [
    5,
    None,
    "x",
    [],
    {"type": "bills", "bills": 7},
    {"version_of": "x"},
]
_ENTRY = {
    "role": "entry",
    "address": "127.0.0.1:9",
    "peer_address": "127.0.0.1:9",
    "zone": "z",
    "state": "live",
}


class OwnForeignRecordTest(unittest.TestCase):
    def test_a_record_of_the_log_hides_no_later_one(self) -> None:
        """One record that was no record ended the task that reads the configuration,
        and no later one came into force."""
        asyncio.run(self._play_log())

    async def _play_log(self) -> None:
        async with OwnCutFleet(1) as fleet:
            client = LogClient(fleet.settings.platform.log_address, "test")
            for stream in (CONFIG_STREAM, LEDGER_STREAM):
                await client.append(stream, copy.deepcopy(_JUNK))
            await asyncio.sleep(0.5)
            document = own_config()
            document["classes"][0]["max_output_tokens"] = 7
            record = {"type": "config", "config": document, "base_version": None}
            await client.append(CONFIG_STREAM, [{**record, "published_at_s": 0.0}])
            await client.close()
            follower = fleet.entries[0].config
            until_s = time.monotonic() + IN_FORCE_WITHIN_S
            while follower.config.work_class("story").max_output_tokens != 7:
                self.assertLess(time.monotonic(), until_s, "not in force")
                await asyncio.sleep(0.05)
            self.assertEqual(await fleet.call(0, "story", 1), 200)

    def test_an_item_of_the_instance_list_hides_no_other(self) -> None:
        """One item without an id ended the task that reads the list, and an entry went
        on with the replicas that it knew."""
        asyncio.run(self._play_list())

    async def _play_list(self) -> None:
        async with OwnCutFleet(1) as fleet:
            junk: list[Any] = [5, None, {}, {**_ENTRY}, {**_ENTRY, "id": "e\ud83d"}]
            for number, item in enumerate(junk):
                fleet.listed.current[f"junk-{number}"] = item
            for state in fleet.engines[:2]:
                state.knobs["version"] = "v\ud83d"
            await asyncio.sleep(2.0)
            view = fleet.entries[0].view
            self.assertLess(view.age_s(time.monotonic()), MAX_VIEW_AGE_S)
            self.assertEqual(list(view.entries), ["entry-0"])
            for number in range(8):
                self.assertEqual(await fleet.call(0, "story", number), 200)

    @params(
        (["e", "b", "1", False, {}, b""], False),
        (["e", "b", 1, False, {"r": ["x", 0]}, b""], False),
        (["e", "b", 1, False, {"r": [1, 0]}, b""], True),
    )
    def test_a_heartbeat_holds_whole_numbers(self, fields: Any, valid: bool) -> None:
        """A text for a number ended the task that hears the other entries."""
        raw = msgpack.packb(fields)
        if valid:
            self.assertIsInstance(Heartbeat.from_bytes(raw), Heartbeat)
        else:
            self.assertRaises(ValueError, Heartbeat.from_bytes, raw)
