"""What entries know of the streams that callers may take up."""

import asyncio
import random
import time
import unittest

import msgpack
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict
from nose2.tools import params

from celerytrack.ids import AccountId, EndpointId, EntryId, RequestId, ServiceName
from celerytrack.origins import memory as memory_module
from celerytrack.origins.copy_messages import (
    COPY_KINDS,
    MAX_ACKED,
    MAX_KEYS,
    CopiesAck,
    CopiesEnd,
    KeyedOriginNews,
    OriginCopies,
    StreamGroup,
)
from celerytrack.origins.copy_sender import BACKUPS
from celerytrack.origins.holders import COPIES
from celerytrack.origins.lookups import MAX_LOOKUPS_OF_ACCOUNT, Lookups
from celerytrack.origins.memory import (
    KEEP_S,
    FoundOrigin,
    OriginMemory,
    StreamId,
    StreamKey,
)
from celerytrack.origins.message_fields import OriginMessageError
from celerytrack.origins.messages import (
    EndpointEnded,
    OriginAnswer,
    OriginMessage,
    OriginNews,
    OriginQuery,
    SeenVersion,
    SoleVersionAnswer,
    SoleVersionQuery,
    VersionAck,
    VersionAnnouncement,
    VersionNews,
    VersionQuery,
    encode_origin_message,
    is_origin_message,
    origin_message_of,
)
from celerytrack.origins.origin import StreamOrigin
from celerytrack.origins.ring import Holder, HolderRing
from celerytrack.origins.sync import OriginSync
from celerytrack.platform.http import decode_request
from celerytrack.routing.endpoints import RegistrationChange
from celerytrack.routing.versions import ESTABLISHED_AFTER_S
from tests.gateway_fleet import Fleet, config
from tests.versioned_endpoints import NEW, OLD, fleet_of, make_versioned

SERVICE = ServiceName("s")
OLD_ORIGIN = StreamOrigin(SERVICE, OLD)
NEW_ORIGIN = StreamOrigin(SERVICE, NEW)


def stream(name: str = "r1", account: str | None = "t") -> StreamId:
    return StreamId(None if account is None else AccountId(account), RequestId(name))


def key_of(name: str = "r1", account: str | None = "t") -> StreamKey:
    return stream(name, account).key


class MemoryTest(unittest.TestCase):
    def test_a_name_used_for_two_streams_names_neither(self) -> None:
        """One of two streams of the same name went on at the other's version."""
        known = OriginMemory()
        known.record(key_of(), OLD_ORIGIN, 0.0)
        known.record(key_of(), NEW_ORIGIN, 1.0)
        found = known.find(key_of(), 1.0)
        self.assertEqual(found, FoundOrigin(StreamOrigin(SERVICE, None), 1.0))

    def test_another_account_learns_nothing(self) -> None:
        """A caller could ask for the streams of others by their ids."""
        known = OriginMemory()
        known.record(key_of(), OLD_ORIGIN, 0.0)
        self.assertIsNone(known.find(key_of(account="other"), 0.0))
        self.assertIsNone(known.find(key_of(account=None), 0.0))

    def test_old_streams_are_forgotten(self) -> None:
        """Memory grew with each stream."""
        known = OriginMemory()
        known.record(key_of("a"), OLD_ORIGIN, 0.0)
        known.record(key_of("b"), OLD_ORIGIN, KEEP_S)
        self.assertIsNotNone(known.find(key_of("a"), KEEP_S))
        known.record(key_of("c"), OLD_ORIGIN, 2 * KEEP_S + 1)
        self.assertEqual(len(known), 1)

    def test_the_oldest_streams_make_room(self) -> None:
        """A flood of streams took unlimited memory."""
        known = OriginMemory()
        for number in range(memory_module.MAX_STREAMS + 5):
            known.record(key_of(str(number)), OLD_ORIGIN, 0.0)
        self.assertEqual(len(known), memory_module.MAX_STREAMS)
        self.assertIsNone(known.find(key_of("0"), 0.0))


def holders(count: int) -> list[Holder]:
    return [Holder(EntryId(f"e{n}"), f"a{n}", 0.0) for n in range(count)]


class RingTest(unittest.TestCase):
    def test_one_entry_less_moves_only_its_streams(self) -> None:
        """An entry that ended moved the streams of all others."""
        everyone = holders(9)
        before, after = HolderRing(everyone), HolderRing(everyone[1:])
        for number in range(500):
            name = key_of(str(number))
            told = before.holders_of(name, COPIES)
            left = [holder for holder in told if holder != everyone[0]]
            self.assertLessEqual(set(left), set(after.holders_of(name, COPIES)))

    @params(9, 76, 195)
    def test_no_entry_holds_much_more_than_its_part(self, count: int) -> None:
        """One entry was told of most streams."""
        ring = HolderRing(holders(count))
        held = dict.fromkeys(holders(count), 0)
        for number in range(200 * count):
            for holder in ring.holders_of(key_of(str(number)), COPIES):
                held[holder] += 1
        self.assertLess(max(held.values()), 3 * 200 * COPIES)

    def test_few_entries_are_named_once_each(self) -> None:
        """A fleet of two entries had no third one."""
        self.assertEqual(len(HolderRing(holders(2)).holders_of(key_of(), COPIES)), 2)
        self.assertEqual(HolderRing().holders_of(key_of(), COPIES), [])


_names = st.text(min_size=1, max_size=40)
_streams = st.builds(StreamId, st.none() | _names.map(AccountId), _names.map(RequestId))
_origins = st.builds(
    StreamOrigin, _names.map(ServiceName), st.none() | st.text(max_size=40)
)
_ages_s = st.floats(0, 1e6)
_numbers = st.integers(0, 2**62)
_keys = (
    st.lists(_streams, min_size=1, max_size=5)
    .map(lambda names: [name.key for name in names])
    .map(tuple)
)
_in_doubt = st.builds(StreamOrigin, _names.map(ServiceName), st.none())
_groups = st.lists(
    st.builds(StreamGroup, _origins, _keys)
    | st.builds(StreamGroup, _in_doubt, _keys, _names.map(EndpointId)),
    max_size=MAX_KEYS // 5,
).map(tuple)
_times_s = st.floats(allow_nan=False, allow_infinity=False)
_messages = (
    st.builds(OriginCopies, _names.map(EntryId), _times_s, _numbers, _groups)
    | st.builds(
        CopiesAck,
        _names.map(EntryId),
        _times_s,
        st.lists(_numbers, max_size=MAX_ACKED).map(tuple),
    )
    | st.builds(CopiesEnd, _names.map(EntryId), _times_s, _names.map(ServiceName))
    | st.builds(KeyedOriginNews, _groups)
    | st.builds(
        OriginNews, st.lists(st.tuples(_streams, _origins), max_size=12).map(tuple)
    )
    | st.builds(OriginQuery, _names.map(EntryId), _numbers, _streams)
    | st.builds(
        OriginAnswer,
        _names.map(EntryId),
        _numbers,
        st.none() | st.builds(FoundOrigin, _origins, _ages_s),
    )
    | st.builds(VersionQuery, _names.map(EntryId))
    | st.builds(
        SoleVersionQuery,
        _names.map(EntryId),
        _numbers,
        _names.map(ServiceName),
        st.booleans(),
    )
    | st.builds(
        SoleVersionAnswer,
        _names.map(EntryId),
        _numbers,
        st.none() | st.text(max_size=40),
        _ages_s,
    )
    | st.builds(
        VersionAnnouncement,
        _names.map(EntryId),
        _names.map(ServiceName),
        st.text(max_size=40),
    )
    | st.builds(
        VersionAck, _names.map(EntryId), _names.map(ServiceName), st.text(max_size=40)
    )
    | st.builds(EndpointEnded, _names.map(EndpointId), _numbers)
    | st.builds(
        VersionNews,
        st.lists(
            st.builds(
                SeenVersion, _names.map(ServiceName), st.text(max_size=40), _ages_s
            ),
            max_size=12,
        ).map(tuple),
    )
)
_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=5),
    max_leaves=12,
)
_bytes = st.none() | st.binary(max_size=40) | _json


class MessageTest(unittest.TestCase):
    @given(_messages)
    def test_a_message_is_read_as_it_was_written(self, message: OriginMessage) -> None:
        """A field was lost on the way."""
        fields = msgpack.unpackb(encode_origin_message(message))
        self.assertTrue(is_origin_message(fields))
        self.assertEqual(origin_message_of(fields), message)

    @given(
        st.sampled_from(
            [
                "stream-origins",
                "stream-origin?",
                "stream-origin",
                "versions",
                "versions?",
                "sole-version?",
                "sole-version",
                "version?",
                "version-known",
                "endpoint-ended",
                *sorted(COPY_KINDS),
            ]
        ),
        st.lists(
            _json | st.lists(st.lists(_bytes, max_size=3), max_size=3), max_size=5
        ),
    )
    def test_a_message_of_anything_is_read_or_rejected(
        self, kind: str, rest: list[object]
    ) -> None:
        """A malformed datagram ended the entry."""
        try:
            origin_message_of([kind, *rest])
        except OriginMessageError:
            return

    def test_a_full_message_fits_a_datagram(self) -> None:
        """News of several streams were too long to be sent."""
        name = "x" * 100
        one = (stream(name, "a" * 50), StreamOrigin(ServiceName(name), "v" * 100))
        message = OriginNews((one,) * 12)
        self.assertLess(len(encode_origin_message(message)), 8_000)


class Network:
    """Entries that exchange messages, of which some are lost.

    :ivar cut: entries that receive nothing.
    :ivar sent: number of messages.
    :ivar now_s: time at which messages arrive.
    :ivar resolved: how often it was asked what ran at an endpoint.
    """

    def __init__(self, count: int, lost_share: float = 0.0, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.lost_share = lost_share
        self.cut: set[str] = set()
        self.sent = 0
        self.now_s = 1.0
        self.resolved = 0
        self.versions = {OLD, NEW}
        self.members = holders(count)
        self.entries = {
            h.address: OriginSync(
                h.entry_id,
                self.send,
                lambda now_s: self.members,
                self.address_of,
                self,
                0.0,
            )
            for h in self.members
        }

    def address_of(self, entry_id: EntryId) -> str:
        return "a" + entry_id[1:]

    def has_versions(self, service: ServiceName, now_s: float) -> bool:
        return len(self.versions) > 1

    def record_version(self, service: ServiceName, version: str, seen_s: float) -> None:
        self.versions.add(version)

    def origin_of_past(self, endpoint_id: EndpointId, at_s: float) -> StreamOrigin:
        self.resolved += 1
        return OLD_ORIGIN

    def seen_versions(self) -> list[tuple[ServiceName, str, float]]:
        return [(SERVICE, version, 0.0) for version in self.versions]

    def send(self, address: str, message: OriginMessage) -> None:
        self.sent += 1
        if self.rng.random() >= self.lost_share and address not in self.cut:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, address, encode_origin_message(message))

    def _deliver(self, address: str, data: bytes) -> None:
        message = origin_message_of(msgpack.unpackb(data))
        self.entries[address].receive(message, self.now_s)

    async def found_share(self, count: int) -> float:
        """Share of streams, each begun at one entry, that another finds."""
        found = 0
        for number in range(count):
            first, other = self.rng.sample(sorted(set(self.entries) - self.cut), 2)
            name = stream(str(number))
            self.entries[first].record_began(name, OLD_ORIGIN, 1.0)
            await asyncio.sleep(0.001)
            known = (await self.entries[other].find(name, 1.0)).known
            found += known is not None and known.found.origin == OLD_ORIGIN
        return found / count


class SyncTest(unittest.IsolatedAsyncioTestCase):
    @params((9, 0.0, 1.0), (9, 0.1, 1.0), (76, 0.1, 1.0), (195, 0.3, 0.95))
    def test_any_entry_finds_what_began_a_stream(
        self, count: int, lost_share: float, least: float
    ) -> None:
        """An entry that a stream was taken up at did not know its version."""
        share = asyncio.run(Network(count, lost_share).found_share(60))
        self.assertGreaterEqual(share, least)

    async def test_streams_are_found_after_two_holders_ended(self) -> None:
        """A stream was lost with the entries that knew it."""
        network = Network(9)
        begun = [stream(str(n)) for n in range(50)]
        for name in begun:
            network.entries["a0"].record_began(name, OLD_ORIGIN, 1.0)
        await asyncio.sleep(0.01)
        network.cut = {"a1", "a2"}
        for name in begun:
            finding = await network.entries["a5"].find(name, 1.0)
            self.assertIsNotNone(finding.known)

    async def test_a_new_member_is_told_of_streams_in_its_part(self) -> None:
        """Entries that started in turn forgot what those before them knew."""
        network = Network(6)
        first = network.entries["a0"]
        for number in range(50):
            first.record_began(stream(str(number)), OLD_ORIGIN, 1.0)
        network.members = [
            Holder(h.entry_id, h.address, 5.0 if h.address != "a0" else 0.0)
            for h in network.members
        ]
        for address, entry in network.entries.items():
            if address != "a0":
                entry.memory = OriginMemory()
        first.tick(2.0)
        await asyncio.sleep(0.01)
        held = sum(len(entry.memory) for entry in network.entries.values())
        self.assertGreaterEqual(held, 50 * COPIES)

    async def test_one_version_costs_a_message_to_each_backup(self) -> None:
        """Each stream was told to others though it could go on anywhere."""
        network = Network(9)
        network.versions = {OLD}
        entry = network.entries["a0"]
        for number in range(50):
            entry.record_began(stream(str(number)), OLD_ORIGIN, 1.0)
        self.assertEqual(network.sent, 0)
        entry.receive(VersionNews(()), 1.0)
        entry.tick(1.1)
        self.assertEqual(network.sent, BACKUPS)
        network.versions.add(NEW)
        entry.tick(1.5)
        await asyncio.sleep(0.01)
        finding = await network.entries["a8"].find(stream("0"), 2.0)
        self.assertIsNotNone(finding.known)

    async def test_a_version_that_comes_back_is_told_again(self) -> None:
        """A version that was rolled back to later was told to nobody."""
        network = Network(6)
        entry = network.entries["a0"]
        entry.announce_version(SERVICE, OLD, 1.0)
        entry.announce_version(SERVICE, OLD, 2.0)
        self.assertEqual(network.sent, 5)
        entry.announce_version(SERVICE, OLD, 2.0 + KEEP_S)
        self.assertEqual(network.sent, 10)

    async def test_an_entry_that_hears_nobody_knows_that(self) -> None:
        """One that was cut off took its silence for the word of all others."""
        network = Network(6)
        finding = await network.entries["a5"].find(stream(), 1.0)
        self.assertEqual((finding.known, finding.heard), (None, True))
        network.lost_share = 1.0
        finding = await network.entries["a5"].find(stream("r2"), 1.0)
        self.assertEqual((finding.known, finding.heard), (None, False))


class LookupTest(unittest.TestCase):
    def test_one_account_asks_only_so_often_at_once(self) -> None:
        """Invented streams of one caller kept others from asking."""
        lookups = Lookups()
        opened = [lookups.open(AccountId("t")) for _ in range(MAX_LOOKUPS_OF_ACCOUNT)]
        self.assertNotIn(None, [lookup.__enter__() for lookup in opened])
        with lookups.open(AccountId("t")) as refused, lookups.open(None) as other:
            self.assertIsNone(refused)
            self.assertIsNotNone(other)

    def test_answers_that_nobody_awaits_count_for_nothing(self) -> None:
        """A late or invented answer decided another question."""
        lookups = Lookups()
        found = FoundOrigin(OLD_ORIGIN, 0.0)
        with lookups.open(None) as lookup:
            assert lookup is not None
            lookup.awaited.add(EntryId("e1"))
            lookups.receive(OriginAnswer(EntryId("e2"), lookup.number, found))
            lookups.receive(OriginAnswer(EntryId("e1"), lookup.number + 1, found))
            self.assertIsNone(lookup.found)
            lookups.receive(OriginAnswer(EntryId("e1"), lookup.number, found))
            self.assertEqual(lookup.found_by, "e1")


class HeaderTest(unittest.TestCase):
    @params(
        ([("Resumes", "r1"), ("Last-Event-Id", "3")], "r1"),
        ([("Resumes", "r1")], None),
        ([("Last-Event-Id", "3")], None),
        ([("Resumes", "r1"), ("Resumes", "r1"), ("Last-Event-Id", "3")], "r1"),
        ([("Resumes", "r1"), ("Resumes", "r2"), ("Last-Event-Id", "3")], None),
        ([("Resumes", "me"), ("Last-Event-Id", "3")], None),
        ([("Resumes", ""), ("Last-Event-Id", "3")], None),
        ([("Resumes", "x" * 129), ("Last-Event-Id", "3")], None),
    )
    def test_only_one_other_request_is_resumed(
        self, headers: list[tuple[str, str]], first: str | None
    ) -> None:
        """A request named its stream in a way that could mean several."""
        all_headers = CIMultiDict([("X-Attempt-Id", "me"), ("Host", "h"), *headers])
        self.assertEqual(decode_request(all_headers).resumes, first)


async def _know_all(fleet: Fleet, endpoints: set[str]) -> None:
    """Wait until all gateways know each other, and these endpoints alone."""
    peers = len(fleet.gateways) - 1
    await fleet.wait_until(
        lambda: all(
            set(gateway.endpoints.registered_ids()) == endpoints
            and len(gateway.share_sync.members.live_peers(time.monotonic())) == peers
            for gateway in fleet.gateways
        ),
        30.0,
    )


async def _ask_as_told(fleet: Fleet, name: str, gateway: int, **headers: str) -> int:
    """Ask for a stream, and again after its Retry-After while a busy machine's entry
    says that it can't know of endpoints in time; no other refusal is repeated."""
    ends_s = time.monotonic() + 20.0
    while True:
        status, got, body = await fleet.ask(
            "/resume/x", name, gateway=gateway, X_Deadline_Ms="20000", **headers
        )
        is_late = status == 503 and b"what is known of endpoints is too old" in body
        if not is_late or time.monotonic() > ends_s:
            return status
        await asyncio.sleep(float(got["Retry-After"]))


class TakeUpTest(unittest.IsolatedAsyncioTestCase):
    async def test_streams_that_nobody_knows_are_refused_at_once(self) -> None:
        """A stream went on at a version that nothing spoke for."""
        endpoints = make_versioned(4, 2, 1)
        async with fleet_of(endpoints, 3, config(timeoutMs=4_000)) as fleet:
            for name, headers in enumerate(
                (
                    {"Last_Event_Id": "3"},
                    {"Last_Event_Id": "3", "Resumes": "invented"},
                    {"Last_Event_Id": "3", "Resumes": f"u{2}"},
                )
            ):
                status, got, _ = await fleet.ask("/resume/x", f"u{name}", **headers)
                self.assertEqual(status, 503)
                self.assertGreater(float(got["Retry-After"]), 0.0)
            self.assertEqual(sum(len(e.seen) for e in endpoints), 0)

    async def test_a_stream_goes_on_where_there_is_one_version(self) -> None:
        """A stream of a service that never had another version was refused."""
        endpoints = make_versioned(4, 4, 1)
        async with fleet_of(endpoints, 3, config(timeoutMs=4_000)) as fleet:
            await asyncio.sleep(0.5)
            status, _, body = await fleet.ask(
                "/resume/x", "u1", Last_Event_Id="18", Resumes="invented"
            )
            self.assertEqual((status, body.count(b"\n\n")), (200, 2))

    async def test_a_stream_of_the_last_moment_with_one_version_goes_on(self) -> None:
        """A stream was begun before a second version came, and taken up after it."""
        endpoints = make_versioned(4, 4, 1)
        async with fleet_of(endpoints[:3], 3, config(timeoutMs=4_000)) as fleet:
            first = asyncio.create_task(fleet.ask("/resume/x", "first", gateway=0))
            await asyncio.sleep(0.2)
            endpoints[3].version = NEW
            fleet.log.put("keyed.servers", "i-3", endpoints[3].registration())
            await asyncio.sleep(1.5)
            await first
            for gateway in range(3):
                status, _, body = await fleet.ask(
                    "/resume/x",
                    f"next{gateway}",
                    gateway=gateway,
                    Last_Event_Id="18",
                    Resumes="first",
                )
                self.assertEqual((status, body.count(OLD.encode())), (200, 2))

    async def test_a_stream_of_a_split_route_goes_on_at_its_service(self) -> None:
        """A stream went on at the other service of its route, where the same version's
        name stood for other software, or was refused."""
        split = [{"service": "s", "weight": 1.0}, {"service": "s2", "weight": 1.0}]
        routes = config(timeoutMs=20_000, service=None, trafficSplit=split)
        endpoints = make_versioned(4, 4, 1)
        async with fleet_of(endpoints, 9, routes) as fleet:
            for endpoint in endpoints[2:]:
                raw = endpoint.registration(service="s2")
                fleet.log.put("keyed.servers", f"{endpoint.name}b", raw)
                fleet.log.put("keyed.servers", endpoint.name, b"")
            await _know_all(fleet, {"i-0", "i-1", "i-2b", "i-3b"})
            for number in range(8):
                name = f"first{number}"
                seen = [len(e.seen) for e in endpoints]
                status = await _ask_as_told(fleet, name, 0)
                self.assertEqual(status, 200)
                began = [len(e.seen) for e in endpoints]
                status = await _ask_as_told(
                    fleet, f"next{number}", 1 + number, Last_Event_Id="19", Resumes=name
                )
                self.assertEqual(status, 200)
                went_on = [len(e.seen) for e in endpoints]
                at_first = [a > b for a, b in zip(began, seen, strict=True)]
                at_next = [a > b for a, b in zip(went_on, began, strict=True)]
                self.assertEqual(any(at_first[:2]), any(at_next[:2]))

    async def test_an_entry_with_old_registrations_asks_the_others(self) -> None:
        """An entry that had missed a second version, by its log and by a message that
        was lost, took streams of it for those of the only version that it knew."""
        endpoints = make_versioned(2, 1, 1)
        async with fleet_of(endpoints[:1], 3, config(timeoutMs=4_000)) as fleet:
            behind = fleet.gateways[2]
            register = behind.endpoints.register
            behind.endpoints.register = lambda *_: RegistrationChange.SAME  # type: ignore[method-assign]
            behind.endpoints.record_version = lambda *_: None  # type: ignore[method-assign]
            behind.endpoints_view_age_s = lambda now_s: 9.0  # type: ignore[method-assign]
            runner = await endpoints[1].start()
            self.addAsyncCleanup(runner.cleanup)
            fleet.log.put("keyed.servers", "i-1", endpoints[1].registration())
            fleet.log.put(
                "keyed.servers", "i-0", endpoints[0].registration(state="draining")
            )
            # Read by then, and established.
            await asyncio.sleep(1.0 + ESTABLISHED_AFTER_S)
            _, _, body = await fleet.ask("/resume/x", "first", gateway=0)
            self.assertIn(NEW.encode(), body)
            status, _, _ = await fleet.ask(
                "/resume/x", "next", gateway=2, Last_Event_Id="9", Resumes="first"
            )
            self.assertEqual((status, len(endpoints[0].seen)), (503, 0))
            status, _, _ = await fleet.ask(
                "/resume/x", "other", gateway=2, Last_Event_Id="9", Resumes="invented"
            )
            self.assertEqual((status, len(endpoints[0].seen)), (503, 0))
            behind.endpoints.register = register  # type: ignore[method-assign]
