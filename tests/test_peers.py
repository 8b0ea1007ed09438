"""Tests of the entries' heartbeats and what is made of them."""

import unittest

import msgpack
from nose2.tools import params

from celerytrack.entry.fleet_view import HEARD_WITHIN_S, EntryInfo, FleetView
from celerytrack.entry.peers import PeerNews
from celerytrack.ids import EntryId, ReplicaId, Zone
from celerytrack.replica_load import Load, ReplicaLoad

E2, R1 = EntryId("entry-2"), ReplicaId("r1")


def _news(**changes) -> PeerNews:
    fields = {"entry": E2, "boot_id": "b", "seq": 1, "draining": False, "loads": {}}
    return PeerNews(**{**fields, **changes})


class PeerNewsTest(unittest.TestCase):
    @params({}, {"draining": True}, {"loads": {R1: Load(3, 1200)}})
    def test_what_is_written_is_read(self, changes):
        news = _news(**changes)
        self.assertEqual(PeerNews.from_bytes(news.to_bytes()), news)

    @params(
        b"", b"GET / HTTP/1.1", msgpack.packb({"a": 1}), msgpack.packb([1, 2, 3, 4, 5])
    )
    def test_other_bytes_are_refused(self, data):
        with self.assertRaises(ValueError):
            PeerNews.from_bytes(data)


class FleetViewTest(unittest.TestCase):
    def _view(self) -> FleetView:
        view = FleetView("127.0.0.1:1", 0.5)
        view.entries[E2] = EntryInfo(E2, "127.0.0.1:2", Zone("z"))
        view.replicas[R1] = ReplicaLoad(R1, Zone("z"), "m")
        return view

    @params(
        # heard ago, draining, listed leaving, named to callers?
        (0.1, False, False, True),
        (HEARD_WITHIN_S + 0.1, False, False, False),
        (0.1, True, False, False),
        (0.1, False, True, False),
    )
    def test_entries_named_to_callers(self, ago_s, draining, leaving, named):
        view = self._view()
        view.heard(_news(draining=draining), 100.0 - ago_s)
        view.entries[E2].leaving = leaving
        self.assertEqual(view.entries[E2].usable(100.0), named)

    @params((0.1, False), (HEARD_WITHIN_S + 0.1, True))
    def test_an_entry_that_speaks_is_not_gone(self, ago_s, gone):
        """Symptom: a live entry's grants are taken back. Sequence: the
        platform's list drops an entry that was cut off from it for a while
        but serves on. Cause: trusting the lagging list over heartbeats."""
        view = self._view()
        view.entries[E2].gone = True
        view.heard(_news(), 100.0 - ago_s)
        self.assertEqual(view.is_gone(E2, 100.0), gone)

    def test_a_load_no_longer_mentioned_is_over(self):
        view = self._view()
        for loads, expected in (({R1: Load(3, 900)}, Load(3, 900)), ({}, Load())):
            view.heard(_news(loads=loads), 100.0)
            self.assertEqual(view.replicas[R1].peers[E2][1], expected)
