"""Heartbeats between entries and their use in the view of the fleet."""

import unittest

import msgpack
from nose2.tools import params

from celerytrack.entry.fleet_view import HEARTBEAT_TIMEOUT_S, EntryInfo, FleetView
from celerytrack.entry.peers import Heartbeat
from celerytrack.ids import EntryId, ReplicaId, Zone
from celerytrack.routing.replica_load import Load, ReplicaLoad

E2, R1 = EntryId("entry-2"), ReplicaId("r1")


def _heartbeat(**changes) -> Heartbeat:
    fields = {"entry": E2, "boot_id": "b", "seq": 1, "draining": False, "loads": {}}
    return Heartbeat(**{**fields, **changes})


class HeartbeatTest(unittest.TestCase):
    @params({}, {"draining": True}, {"loads": {R1: Load(3, 1200)}})
    def test_round_trip(self, changes):
        heartbeat = _heartbeat(**changes)
        self.assertEqual(Heartbeat.from_bytes(heartbeat.to_bytes()), heartbeat)

    @params(
        b"", b"GET / HTTP/1.1", msgpack.packb({"a": 1}), msgpack.packb([1, 2, 3, 4, 5])
    )
    def test_other_bytes_are_refused(self, data):
        with self.assertRaises(ValueError):
            Heartbeat.from_bytes(data)


class FleetViewTest(unittest.TestCase):
    def _view(self) -> FleetView:
        view = FleetView("127.0.0.1:1", 0.5)
        view.entries[E2] = EntryInfo(E2, "127.0.0.1:2", Zone("z"))
        view.replicas[R1] = ReplicaLoad(R1, Zone("z"), "m")
        return view

    @params(
        # age of the last heartbeat, draining, listed as leaving, usable
        (0.1, False, False, True),
        (HEARTBEAT_TIMEOUT_S + 0.1, False, False, False),
        (0.1, True, False, False),
        (0.1, False, True, False),
    )
    def test_entries_whose_address_callers_get(self, age_s, draining, leaving, usable):
        view = self._view()
        view.record_heartbeat(_heartbeat(draining=draining), 100.0 - age_s)
        view.entries[E2].leaving = leaving
        self.assertEqual(view.entries[E2].is_usable(100.0), usable)

    @params((0.1, False), (HEARTBEAT_TIMEOUT_S + 0.1, True))
    def test_an_entry_with_heartbeats_is_not_gone(self, age_s, gone):
        """Guards against reclaiming the grants of a live entry. The platform's list
        drops an entry that was cut off from it for a while but still serves, and the
        lagging list was trusted over the entry's heartbeats."""
        view = self._view()
        view.entries[E2].gone = True
        view.record_heartbeat(_heartbeat(), 100.0 - age_s)
        self.assertEqual(view.is_gone(E2, 100.0), gone)

    def test_a_restart_shows_in_the_heartbeats(self):
        """An entry that was back within their timeout was told nothing of limits."""
        view = self._view()
        for boot_id in ("b", "c"):
            view.record_heartbeat(_heartbeat(boot_id=boot_id), 100.0)
            self.assertEqual(view.entries[E2].boot_id, boot_id)

    def test_a_replica_missing_in_a_heartbeat_has_no_load(self):
        view = self._view()
        for loads, expected in (({R1: Load(3, 900)}, Load(3, 900)), ({}, Load())):
            view.record_heartbeat(_heartbeat(loads=loads), 100.0)
            self.assertEqual(view.replicas[R1].peers[E2][1], expected)
