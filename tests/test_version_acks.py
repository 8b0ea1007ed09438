"""Versions that entries tell each other of before streams begin there."""

import random
import unittest

from nose2.tools import params

from celerytrack.ids import EndpointId, EntryId, ServiceName, Zone
from celerytrack.origins.messages import OriginMessage, VersionAck, VersionAnnouncement
from celerytrack.origins.ring import Holder
from celerytrack.origins.version_acks import TICK_S, VersionAcks
from celerytrack.routing.endpoint import Registration, RequestProfile
from celerytrack.routing.endpoints import EndpointPool
from celerytrack.routing.versions import ESTABLISHED_AFTER_S

S = ServiceName("s")
OLD, NEW = "v1", "v2"
READ_S = 10.0
BEGINS = RequestProfile(S, resumable=True)


class _Entry:
    """An entry of a fleet, with its view of the endpoints.

    :ivar is_cut: whether it receives nothing.
    """

    def __init__(self, number: int, fleet: "list[_Entry]") -> None:
        self.holder = Holder(EntryId(f"e{number}"), f"a{number}", 0)
        self.pool = EndpointPool(Zone("z"), random.Random(number))
        self.is_cut = False
        self.knows_members = True
        self.sent = 0
        self._fleet = fleet
        self.acks = VersionAcks(
            self.holder.entry_id, self._send, self._peers, lambda: [S], self.pool
        )

    def read(self, version: str, now_s: float) -> None:
        endpoint_id = EndpointId(f"i-{version}")
        registration = Registration(
            endpoint_id, S, "10.0.0.1:1", Zone("z"), 8, False, version=version
        )
        self.pool.register(registration, now_s)

    def begins_at_new(self, now_s: float) -> bool:
        versions = set()
        for _ in range(20):
            choice = self.pool.choose(BEGINS, 1.0, 100, (), now_s)
            if choice is not None:
                versions.add(choice.endpoint.registration.version)
        return NEW in versions

    def _peers(self, now_s: float) -> list[Holder] | None:
        if not self.knows_members:
            return None
        return [e.holder for e in self._fleet if e is not self]

    def _send(self, address: str, message: OriginMessage) -> None:
        self.sent += 1
        entry = next(e for e in self._fleet if e.holder.address == address)
        if entry.is_cut or self.is_cut:
            return
        assert isinstance(message, VersionAnnouncement | VersionAck)
        entry.acks.receive(message, self.holder.address, READ_S)


def _fleet(count: int) -> list[_Entry]:
    fleet: list[_Entry] = []
    fleet.extend(_Entry(number, fleet) for number in range(count))
    for entry in fleet:
        entry.read(OLD, 0.0)
    return fleet


class VersionAcksTest(unittest.TestCase):
    @params(
        # entries, cut, members known, streams begin at the new version
        (1, False, True, True),
        (3, False, True, True),
        (3, True, True, False),
        (3, False, False, False),
    )
    def test_streams_begin_once_all_entries_know_the_version(
        self, count: int, is_cut: bool, knows_members: bool, begin: bool
    ) -> None:
        """A stream began at a version that an entry which was cut off didn't know, or
        waited though all knew it."""
        fleet = _fleet(count)
        first = fleet[0]
        fleet[-1].is_cut = is_cut
        first.knows_members = knows_members
        first.read(NEW, READ_S)
        first.acks.tick(READ_S)
        self.assertEqual(first.begins_at_new(READ_S), begin)

    def test_an_entry_that_acknowledges_a_version_knows_it(self) -> None:
        """It still took the other one for the only one."""
        fleet = _fleet(2)
        fleet[0].read(NEW, READ_S)
        fleet[0].acks.tick(READ_S)
        self.assertTrue(fleet[1].pool.has_versions(S, READ_S))

    def test_an_entry_that_does_not_answer_is_told_for_a_while_only(self) -> None:
        """A row that an ended entry left, or an entry of an earlier release, cost ten
        messages a second from each entry, for as long as two versions served."""
        fleet = _fleet(3)
        first = fleet[0]
        fleet[-1].is_cut = True
        first.read(NEW, READ_S)
        for tick in range(100):
            first.acks.tick(READ_S + tick * TICK_S)
        most = 2 * (ESTABLISHED_AFTER_S / TICK_S + 2) + 2
        self.assertLess(first.sent, most)

    def test_acknowledgements_count_for_a_while_only(self) -> None:
        """An entry that had forgotten a version counted as one that knows it, once the
        row of another one that never answered was gone."""
        fleet = _fleet(3)
        first, last = fleet[0], fleet[-1]
        last.is_cut = True
        first.read(NEW, READ_S)
        first.acks.tick(READ_S)
        fleet.remove(last)
        first.pool.mark_deregistered(EndpointId(f"i-{NEW}"), READ_S + 1.0)
        late_s = READ_S + ESTABLISHED_AFTER_S + 0.1
        first.acks.tick(late_s)
        unestablished = first.pool.unestablished([S], late_s)
        self.assertEqual([u.version for u in unestablished], [NEW])

    @params((False, []), (True, ["e2"]))
    def test_it_is_told_when_a_version_is_established_and_who_is_missing(
        self, is_cut: bool, missing: list[str]
    ) -> None:
        """Nothing said why streams did not begin at a version, or for whom."""
        fleet = _fleet(3)
        first = fleet[0]
        fleet[-1].is_cut = is_cut
        told: list[tuple[str, list[EntryId]]] = []
        first.acks._on_established = lambda subject, names, took_s: told.append(
            (subject.version, names)
        )
        first.read(NEW, READ_S)
        for tick in range(30):
            first.acks.tick(READ_S + tick * TICK_S)
        self.assertEqual([row for row in told if row[0] == NEW], [(NEW, missing)])

    def test_nothing_is_sent_once_a_version_is_established(self) -> None:
        """Each tick cost a message to each entry."""
        fleet = _fleet(3)
        first = fleet[0]
        first.read(NEW, READ_S)
        first.acks.tick(READ_S)
        sent = first.sent
        first.acks.tick(READ_S + 0.1)
        self.assertEqual(first.sent, sent)
