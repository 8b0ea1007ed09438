"""Copies of what began streams, at the entries that keep them for others."""

import asyncio
import unittest

import attrs
from nose2.tools import params

from celerytrack.ids import EndpointId, EntryId, RequestId, Zone
from celerytrack.origins.copy_messages import (
    MAX_KEYS,
    BegunStream,
    CopiesAck,
    CopyMessage,
    KeyedOriginNews,
    OriginCopies,
    StreamGroup,
)
from celerytrack.origins.copy_sender import (
    BACKUPS,
    MAX_UNACKED,
    SEND_AGAIN_AFTER_S,
    CopySender,
    Primary,
    choose_backups,
)
from celerytrack.origins.copy_store import (
    ACK_INTERVAL_S,
    ORPHANED_AFTER_S,
    RESOLVED_WITHIN_S,
    CopyStore,
)
from celerytrack.origins.memory import KEEP_S
from celerytrack.origins.messages import encode_origin_message
from celerytrack.origins.ring import NO_ZONE
from celerytrack.origins.sync import MEMBERS_INTERVAL_S, TICK_S, TOLD_WITHIN_S
from tests.test_origins import OLD_ORIGIN, SERVICE, Network, holders, key_of, stream
from tests.versioned_endpoints import NEW, OLD

STREAMS = 50
DATAGRAM_BYTES = 1_472
"""Most bytes of a datagram that is sent in one piece."""
PRIMARY = Primary(EntryId("e0"), 0.0)


class ChoiceTest(unittest.TestCase):
    @params((2, 1), (9, 3), (9, 1), (195, 5), (195, 1))
    def test_one_failure_domain_never_has_all_copies(
        self, count: int, zones: int
    ) -> None:
        """All copies of a stream were lost with the failure domain of its entry."""
        fleet = [
            attrs.evolve(holder, zone=Zone(f"z{number % zones}"))
            for number, holder in enumerate(holders(count))
        ]
        for own in fleet:
            others = [holder for holder in fleet if holder != own]
            chosen = choose_backups(own.entry_id, own.zone, others)
            self.assertEqual(len(set(chosen)), min(BACKUPS, count - 1))
            elsewhere = [holder for holder in chosen if holder.zone != own.zone]
            self.assertEqual(bool(elsewhere), zones > 1)

    def test_no_entry_keeps_much_more_than_its_part(self) -> None:
        """One entry kept the copies of most others."""
        fleet = holders(195)
        kept = dict.fromkeys(fleet, 0)
        for own in fleet:
            others = [holder for holder in fleet if holder != own]
            for holder in choose_backups(own.entry_id, own.zone, others):
                kept[holder] += 1
        self.assertLess(max(kept.values()), 5 * BACKUPS)


class _Sent:
    """What a sender sent, to whom."""

    def __init__(self) -> None:
        self.messages: list[tuple[str, CopyMessage]] = []

    def __call__(self, address: str, message: CopyMessage) -> None:
        self.messages.append((address, message))

    def pop_batches(self, address: str) -> list[OriginCopies]:
        """The batches to an entry since the last call."""
        sent, self.messages = self.messages, []
        return [m for a, m in sent if a == address and isinstance(m, OriginCopies)]


def _keys_of(batches: list[OriginCopies]) -> list[bytes]:
    return [key for b in batches for group in b.groups for key in group.keys]


class SenderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sent = _Sent()
        self.sender = CopySender(PRIMARY, self.sent)
        self.backup = holders(2)[1]
        self.sender.set_backups([self.backup], [])

    def _add(self, first: int, count: int) -> list[bytes]:
        keys = [key_of(str(number)) for number in range(first, first + count)]
        for key in keys:
            self.sender.add(BegunStream(key, OLD_ORIGIN))
        return list(keys)

    def _acknowledge(self, batches: list[OriginCopies]) -> None:
        numbers = tuple(batch.number for batch in batches)
        self.sender.receive(CopiesAck(self.backup.entry_id, PRIMARY.started_s, numbers))

    def test_what_is_lost_is_sent_again(self) -> None:
        """Streams that began while an entry was cut off were kept by nobody."""
        keys = self._add(0, 3)
        self.sender.flush(0.0)
        first = self.sent.pop_batches(self.backup.address)
        self.sender.flush(SEND_AGAIN_AFTER_S + 0.1)
        again = self.sent.pop_batches(self.backup.address)
        self.assertEqual((_keys_of(first), first), (keys, again))
        self._acknowledge(again)
        self.sender.flush(2 * SEND_AGAIN_AFTER_S + 0.2)
        self.assertEqual(self.sent.pop_batches(self.backup.address), [])

    def test_an_entry_that_acknowledges_nothing_gets_one_batch_at_a_time(self) -> None:
        """Entries of an older release logged each batch as an error."""
        sent = 0
        for tick in range(100):
            self._add(tick, 1)
            self.sender.flush(tick * TICK_S)
            sent += len(self.sent.pop_batches(self.backup.address))
        self.assertLessEqual(sent, 1 + 100 * TICK_S / SEND_AGAIN_AFTER_S)

    def test_an_entry_that_is_cut_off_gets_few_batches_until_it_is_back(self) -> None:
        """All that waited was sent into a cut, or was lost behind it."""
        self._add(0, 1)
        self.sender.flush(0.0)
        self._acknowledge(self.sent.pop_batches(self.backup.address))
        keys = self._add(1, 100 * MAX_KEYS)
        unacked = []
        for tick in range(1, 11):
            self.sender.flush(tick * TICK_S)
            unacked += self.sent.pop_batches(self.backup.address)
        self.assertEqual(len(unacked), MAX_UNACKED)
        got = list(unacked)
        for tick in range(11, 31):
            self._acknowledge(unacked)
            self.sender.flush(tick * TICK_S)
            unacked = self.sent.pop_batches(self.backup.address)
            got += unacked
        self.assertEqual(_keys_of(got), keys)

    def test_acknowledgements_of_an_earlier_incarnation_count_for_nothing(self) -> None:
        """A late acknowledgement stood for a batch that was lost."""
        self._add(0, 1)
        self.sender.flush(0.0)
        (batch,) = self.sent.pop_batches(self.backup.address)
        self.sender.receive(CopiesAck(self.backup.entry_id, -1.0, (batch.number,)))
        self.sender.flush(SEND_AGAIN_AFTER_S + 0.1)
        self.assertEqual(self.sent.pop_batches(self.backup.address), [batch])

    def test_a_full_message_fits_a_datagram(self) -> None:
        """Copies of many streams were too long to be sent."""
        keys = tuple(key_of(str(number)) for number in range(MAX_KEYS))
        entry_id = EntryId("front-nasr-hall-100@10.100.100.100")
        for message in (
            OriginCopies(entry_id, 1e9, 10**9, (StreamGroup(OLD_ORIGIN, keys),)),
            KeyedOriginNews((StreamGroup(OLD_ORIGIN, keys),)),
        ):
            self.assertLess(len(encode_origin_message(message)), DATAGRAM_BYTES)


class StoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sent = _Sent()
        self.store = CopyStore(EntryId("e1"), self.sent, lambda entry_id: "a0")

    def _keep(self, number: int, now_s: float) -> None:
        group = StreamGroup(OLD_ORIGIN, (key_of(str(number)),))
        message = OriginCopies(PRIMARY.entry_id, PRIMARY.started_s, number, (group,))
        self.store.keep(message, now_s)

    def test_batches_are_acknowledged_together(self) -> None:
        """Each batch cost two messages."""
        for number in range(20):
            self._keep(number, number * TICK_S)
            self.store.acknowledge(number * TICK_S)
        acked = [m for _, m in self.sent.messages if isinstance(m, CopiesAck)]
        self.assertLessEqual(len(acked), 2 + 20 * TICK_S / ACK_INTERVAL_S)
        self.store.acknowledge(20 * TICK_S + ACK_INTERVAL_S)
        acked = [m for _, m in self.sent.messages if isinstance(m, CopiesAck)]
        self.assertEqual({n for ack in acked for n in ack.numbers}, set(range(20)))

    def test_old_copies_are_forgotten(self) -> None:
        """What was kept for others grew with each stream."""
        self._keep(0, 0.0)
        list(self.store.pop_orphans({PRIMARY}, KEEP_S + 1))
        self.assertEqual(self.store.services(), set())

    def test_a_batch_that_comes_twice_is_kept_once(self) -> None:
        """Copies were kept again each time that an acknowledgement was lost."""
        self._keep(0, 0.0)
        self._keep(0, 0.1)
        (taken,) = self.store.pop_received(SERVICE, 1.0)
        self.assertEqual(list(taken.streams()), [BegunStream(key_of("0"), OLD_ORIGIN)])

    def test_an_entry_that_is_not_known_yet_is_not_lost(self) -> None:
        """Copies came before the row of an entry that had just started."""
        self._keep(0, 0.0)
        before = list(self.store.pop_orphans(set(), 0.5))
        known = list(self.store.pop_orphans({PRIMARY}, 1.0))
        absent = list(self.store.pop_orphans(set(), ORPHANED_AFTER_S))
        lost = list(self.store.pop_orphans(set(), 2 * ORPHANED_AFTER_S))
        self.assertEqual((before, known, absent, len(lost)), ([], [], [], 1))


class TakeOverTest(unittest.TestCase):
    """What other entries find of streams whose entry is lost."""

    async def _run(self, network: Network, until_s: float) -> None:
        members = [holder.address for holder in network.members]
        live = [address for address in members if address not in network.cut]
        while network.now_s < until_s:
            network.now_s += TICK_S
            for address in live:
                network.entries[address].tick(network.now_s)
            # A message, and its acknowledgement.
            for _ in range(3):
                await asyncio.sleep(0)

    def _network(self, count: int, lost_share: float) -> Network:
        network = Network(count, lost_share)
        network.versions = {OLD}
        for entry in network.entries.values():
            entry._versions_told = True
        return network

    async def _begin(self, network: Network, count: int = STREAMS) -> None:
        for number in range(count):
            name = stream(str(number))
            first = network.entries["a0"]
            first.record_began(name, OLD_ORIGIN, network.now_s)
        await self._run(network, network.now_s + 3 * SEND_AGAIN_AFTER_S)

    def _held_share(self, network: Network) -> float:
        """Streams that another entry than the first one could say the origin of."""
        live = [holder.address for holder in network.members]
        known = 0
        for number in range(STREAMS):
            key = stream(str(number)).key
            found = [
                network.entries[address].memory.find(key, network.now_s)
                for address in live
                if address != "a0"
            ]
            known += any(f is not None and f.origin == OLD_ORIGIN for f in found)
        return known / STREAMS

    @params((2, 0.0), (3, 0.0), (9, 0.0), (9, 0.2), (76, 0.2))
    def test_streams_of_a_lost_entry_are_told(
        self, count: int, lost_share: float
    ) -> None:
        """What began streams was lost with their entry."""
        share = asyncio.run(self._play_loss(count, lost_share))
        self.assertGreaterEqual(share, 0.98)

    async def _play_loss(self, count: int, lost_share: float) -> float:
        network = self._network(count, lost_share)
        await self._begin(network)
        network.cut = {"a0"}
        network.members = network.members[1:]
        network.versions.add(NEW)
        await self._run(network, network.now_s + TOLD_WITHIN_S + 2 * TICK_S)
        return self._held_share(network)

    @params(
        # lost, resolved by the entry before, resolved by others
        (True, False, True),
        (True, True, False),
        (False, True, False),
    )
    def test_streams_that_began_in_doubt_are_resolved_once(
        self, lost: bool, resolved: bool, by_others: bool
    ) -> None:
        """What was in doubt was lost with its entry, or judged twice."""
        share, taken_over = asyncio.run(self._play_doubt(lost, resolved))
        self.assertEqual((share, taken_over), (1.0, by_others))

    async def _play_doubt(self, lost: bool, resolved: bool) -> tuple[float, bool]:
        network = self._network(9, 0.0)
        first = network.entries["a0"]
        for number in range(STREAMS):
            name = stream(str(number))
            first.record_in_doubt(name, SERVICE, EndpointId("i"))
        await self._run(network, network.now_s + 1.0)
        network.versions.add(NEW)
        if resolved:
            await self._begin(network)
        asked = network.resolved
        if lost:
            network.cut = {"a0"}
            network.members = network.members[1:]
        pause_s = RESOLVED_WITHIN_S + 2 * MEMBERS_INTERVAL_S
        await self._run(network, network.now_s + pause_s)
        return self._held_share(network), network.resolved > asked

    def test_copies_follow_the_members(self) -> None:
        """Streams were lost as the entries that kept copies were lost one by one."""
        self.assertEqual(asyncio.run(self._play_losses()), 1.0)

    async def _play_losses(self) -> float:
        network = self._network(9, 0.0)
        await self._begin(network)
        while len(network.members) > 2:
            gone = network.members.pop(0)
            network.cut.add(gone.address)
            pause_s = ORPHANED_AFTER_S + 2 * MEMBERS_INTERVAL_S
            await self._run(network, network.now_s + pause_s)
        network.versions.add(NEW)
        await self._run(network, network.now_s + TOLD_WITHIN_S + 2 * TICK_S)
        return self._held_share(network)

    def test_streams_are_found_after_all_that_were_told_are_lost(self) -> None:
        """Copies were thrown away for holders that had ended just before."""
        self.assertEqual(asyncio.run(self._play_lost_holders()), 1.0)

    async def _play_lost_holders(self) -> float:
        network = self._network(76, 0.0)
        await self._begin(network)
        others = network.members[1:]
        kept = choose_backups(EntryId("e0"), NO_ZONE, others)
        lost = [holder for holder in others if holder not in kept][::2]
        network.cut = {holder.address for holder in lost}
        network.versions.add(NEW)
        await self._run(network, network.now_s + TOLD_WITHIN_S + 2 * TICK_S)
        network.cut.add("a0")
        for holder in (*lost, network.members[0]):
            network.members.remove(holder)
            await self._run(network, network.now_s + 2 * TICK_S)
        asker = next(h for h in network.members if h not in kept)
        found = 0
        for number in range(STREAMS):
            name = stream(str(number))
            finding = await network.entries[asker.address].find(name, network.now_s)
            found += finding.known is not None
        return found / STREAMS

    def test_a_release_without_a_loss_is_told_once(self) -> None:
        """All entries that kept copies told the holders what the first one had."""
        self.assertEqual(*asyncio.run(self._play_release()))

    async def _play_release(self) -> tuple[int, int]:
        network = self._network(9, 0.0)
        await self._begin(network)
        network.versions.add(NEW)
        await self._run(network, network.now_s + TOLD_WITHIN_S)
        sent = network.sent
        await self._run(network, network.now_s + 4 * TOLD_WITHIN_S)
        return sent, network.sent


class NamesTest(unittest.TestCase):
    def test_two_names_have_two_keys(self) -> None:
        """A caller's stream was taken for another account's."""
        names = [
            stream("b", "a"),
            stream("b", "ab"),
            stream("b", None),
            stream("ab", None),
            attrs.evolve(stream("b", None), request_id=RequestId("\ud800")),
        ]
        self.assertEqual(len({name.key for name in names}), len(names))
