"""Entries that are out of step while a new version joins: cut off from the log and from
other entries, alone or in a group."""

import asyncio
import math
import time
import unittest
from collections import Counter

import attrs
from nose2.tools import params

from celerytrack.ids import ServiceName
from celerytrack.origins.recorded import ServiceVersion
from celerytrack.platform.topics import ENDPOINTS_TOPIC, VERSIONS_TOPIC
from celerytrack.platform.version_records import encode_version
from celerytrack.routing.versions import ESTABLISHED_AFTER_S
from tests.entry_isolation import Isolation, isolate
from tests.gateway_fleet import Fleet
from tests.raw_versions import NEW, OLD, VersionNamingEndpoint

GATEWAYS = 4
STREAMS_PER_S = 20.0
LASTS_S = 6.0
KNOWN_S = 3.5
"""Longer than an entry waits after its start before it writes versions."""
LEAST_NEW = 20
ACKNOWLEDGED_S = 0.4
"""Time in which entries in touch tell each other of a version, on a busy machine."""
LEASED_S = 0.5
"""Time after a cut in which the last view of the registrations holds for certain."""
LARGE_RECORD_BYTES = 200_000
TAKE_UPS = 12
"""Take-ups at once: fewer than the slots of two endpoints."""
REFUSED_WITHIN_S = 0.4
LONG_CUT_S = 8.0
"""Longer than entries without a new row count as alive."""
WRITTEN_AGAIN_S = 1.9
"""Time after a restore of the log in which the platform writes again what it lost."""
LEAST_SHARE = 0.95
"""Share of the take-ups that go on, where one version is proved."""
FIRST_EVENT_AFTER_S = 0.1
"""Long enough that endpoints which have just joined look no worse than the others."""


@attrs.frozen
class _Stream:
    """The version that began a stream, and the one that went on with it.

    :ivar taken_after_s: time of the take-up since the entries were cut off.
    :ivar after: empty if the take-up was refused.
    """

    taken_after_s: float
    before: str
    after: str


@attrs.frozen
class _Case:
    """What happens, in seconds since the entries are cut off.

    :ivar cut: the gateways that are cut off, together.
    :ivar joins_after_s: when endpoints of the new version join.
    :ivar taken_after_s: how long after its begin a stream is taken up.
    """

    cut: tuple[int, ...]
    joins_after_s: float = 0.0
    taken_after_s: float = 0.0
    isolation: Isolation = Isolation()


def slow_endpoint(name: str, version: str) -> VersionNamingEndpoint:
    return VersionNamingEndpoint(name, version, FIRST_EVENT_AFTER_S)


async def _ask(fleet: Fleet, name: str, gateway: int, **headers: str) -> str:
    """The version that answers a stream request; empty if it is refused."""
    status, answered, _ = await fleet.ask("/resume/x", name, gateway=gateway, **headers)
    return answered["X-Wrote"] if status == 200 else ""


async def _play(case: _Case) -> list[_Stream]:
    """Begin streams at the gateways in touch, and take them up at those cut off."""
    old = [slow_endpoint(f"i-old-{n}", OLD) for n in range(2)]
    new = [slow_endpoint(f"i-new-{n}", NEW) for n in range(2)]
    in_touch = [n for n in range(GATEWAYS) if n not in case.cut]
    async with Fleet(*old, gateways=GATEWAYS) as fleet:
        await asyncio.sleep(KNOWN_S)
        isolate(fleet, case.cut, case.isolation)
        cut_s = time.monotonic()

        async def join() -> None:
            await asyncio.sleep(case.joins_after_s)
            for endpoint in new:
                await endpoint.start()
                value = endpoint.registration()
                fleet.log.put(ENDPOINTS_TOPIC, endpoint.name, value)

        async def stream(number: int) -> _Stream:
            before = await _ask(fleet, f"s{number}", in_touch[number % len(in_touch)])
            await asyncio.sleep(case.taken_after_s)
            taken_s = time.monotonic() - cut_s
            taker = case.cut[number % len(case.cut)]
            resumes = {"Last-Event-Id": "2", "Resumes": f"s{number}"}
            after = await _ask(fleet, f"t{number}", taker, **resumes)
            return _Stream(taken_s, before, after)

        joining = asyncio.create_task(join())
        streams = []
        for number in range(int(STREAMS_PER_S * LASTS_S)):
            streams.append(asyncio.create_task(stream(number)))
            await asyncio.sleep(1 / STREAMS_PER_S)
        await joining
        return list(await asyncio.gather(*streams))


class OutOfStepTest(unittest.TestCase):
    @params(
        _Case((3,)),
        _Case((3,), joins_after_s=0.5),
        _Case((3,), joins_after_s=1.5),
        _Case((3,), taken_after_s=4.0),
        _Case((2, 3)),
        _Case((2, 3), taken_after_s=4.0),
        _Case((2, 3), joins_after_s=2.5),
        _Case((3,), isolation=Isolation(datagrams=False)),
        _Case((3,), isolation=Isolation(log=False)),
    )
    def test_no_stream_goes_on_at_the_only_version_that_an_entry_knows(
        self, case: _Case
    ) -> None:
        """An entry that was cut off took the one version that it knew for the one that
        began a stream, while others had read the registration of a new one."""
        streams = [s for s in asyncio.run(_play(case)) if s.before]
        ways = Counter((s.before, s.after) for s in streams)
        mixed = [s for s in streams if s.after not in ("", s.before)]
        self.assertEqual(mixed, [], ways)
        if case.isolation.log:
            leased = [s for s in streams if s.taken_after_s < LEASED_S]
            of_known = [s for s in leased if s.before == OLD]
            self.assertEqual([s for s in of_known if s.after != OLD], [], ways)
        begun_new = sum(s.before == NEW for s in streams)
        self.assertGreater(begun_new, LEAST_NEW, ways)


async def _play_replaced(gateways: int) -> list[str]:
    """Begin streams at each gateway once all have read that the version is another."""
    old, new = slow_endpoint("i-old", OLD), slow_endpoint("i-new", NEW)
    async with Fleet(old, gateways=gateways) as fleet:
        runner = await new.start()
        fleet.log.put(ENDPOINTS_TOPIC, new.name, new.registration())
        fleet.log.put(ENDPOINTS_TOPIC, old.name, b"")
        pools = [gateway.endpoints for gateway in fleet.gateways]
        await fleet.wait_until(
            lambda: all(pool.registered_ids() == [new.name] for pool in pools)
        )
        await asyncio.sleep(ACKNOWLEDGED_S)
        begun = [await _ask(fleet, f"r{number}", number) for number in range(gateways)]
        await runner.cleanup()
        return begun


class ReplacedVersionTest(unittest.IsolatedAsyncioTestCase):
    async def test_streams_are_told_when_the_new_version_takes_them(self) -> None:
        """The last endpoint of a version was replaced: the refusal of a stream named no
        reason, and a time at which it was refused again."""
        old, new = slow_endpoint("i-old", OLD), slow_endpoint("i-new", NEW)
        async with Fleet(old, gateways=2) as fleet:
            isolate(fleet, [1], Isolation())
            self.addAsyncCleanup((await new.start()).cleanup)
            fleet.log.put(ENDPOINTS_TOPIC, new.name, new.registration())
            fleet.log.put(ENDPOINTS_TOPIC, old.name, b"")
            pool = fleet.gateways[0].endpoints
            await fleet.wait_until(lambda: pool.registered_ids() == [new.name])
            status, headers, body = await fleet.ask("/resume/x", "r1")
            self.assertEqual(status, 503)
            self.assertIn(b"established", body)
            retry_after_s = float(headers["Retry-After"])
            self.assertLessEqual(retry_after_s, math.ceil(ESTABLISHED_AFTER_S))
            status, _, _ = await fleet.ask("/plain/x", "r2")
            self.assertEqual(status, 200)
            await asyncio.sleep(retry_after_s)
            self.assertEqual(await _ask(fleet, "r3", 0), NEW)

    @params(1, 4)
    def test_streams_begin_at_once_where_all_entries_know_the_version(
        self, gateways: int
    ) -> None:
        """Streams waited for the leases of entries that had long known the version, or
        that don't exist: for 1.6 s in each release, and after each start."""
        # A coroutine with parameters would not be awaited.
        begun = asyncio.run(_play_replaced(gateways))
        self.assertEqual(begun, [NEW] * gateways)


@attrs.frozen
class _TakeUp:
    """A take-up in a service with one version.

    :ivar at_s: time since the begin of the fault.
    """

    at_s: float
    took_s: float
    status: int
    headers: dict[str, str]


async def _take_up(fleet: Fleet, number: int, gateway: int, since_s: float) -> _TakeUp:
    resumes = {"Last-Event-Id": "2", "Resumes": f"s{number}"}
    started_s = time.monotonic()
    status, headers, _ = await fleet.ask(
        "/resume/x", f"t{number}", gateway=gateway, **resumes
    )
    took_s = time.monotonic() - started_s
    return _TakeUp(started_s - since_s, took_s, status, headers)


async def _play_one_version(
    cut: tuple[int, ...], isolation: Isolation, lasts_s: float
) -> list[_TakeUp]:
    """Take streams of the only version up at entries that are cut off.

    The entry at which they began has ended.
    """
    endpoints = [slow_endpoint(f"i-old-{n}", OLD) for n in range(2)]
    async with Fleet(*endpoints, gateways=GATEWAYS) as fleet:
        await asyncio.sleep(KNOWN_S)
        isolate(fleet, cut, isolation)
        cut_s = time.monotonic()
        streams = []
        for number in range(int(STREAMS_PER_S * lasts_s)):
            taker = cut[number % len(cut)]
            taking_up = _take_up(fleet, number, taker, cut_s)
            streams.append(asyncio.create_task(taking_up))
            await asyncio.sleep(1 / STREAMS_PER_S)
        return list(await asyncio.gather(*streams))


async def _play_standing_still(
    stands_s: float, joins: bool
) -> Counter[tuple[str, str]]:
    """Take streams up at an entry as it wakes, which has seen nothing for a while.

    If no version joins, all entries stand still, and the one at which the streams began
    has ended.
    """
    old = [slow_endpoint(f"i-old-{n}", OLD) for n in range(2)]
    new = [slow_endpoint(f"i-new-{n}", NEW) for n in range(2)]
    taker = GATEWAYS - 1
    async with Fleet(*old, gateways=GATEWAYS) as fleet:
        await asyncio.sleep(KNOWN_S)
        before = [OLD] * TAKE_UPS
        if joins:
            wake = isolate(fleet, (taker,), Isolation())
            for endpoint in new:
                await endpoint.start()
                fleet.log.put(ENDPOINTS_TOPIC, endpoint.name, endpoint.registration())
            await asyncio.sleep(stands_s)
            begun = [_ask(fleet, f"s{n}", n % taker) for n in range(TAKE_UPS)]
            before = await asyncio.gather(*begun)
            wake()
        resumes = [{"Last-Event-Id": "2", "Resumes": f"s{n}"} for n in range(TAKE_UPS)]
        waiting = [
            asyncio.create_task(_ask(fleet, f"t{n}", taker, **resumes[n]))
            for n in range(TAKE_UPS)
        ]
        await asyncio.sleep(0)
        time.sleep(0.0 if joins else stands_s)
        return Counter(zip(before, await asyncio.gather(*waiting), strict=True))


class OneVersionTest(unittest.TestCase):
    @params((3,), (0, 1, 2, 3))
    def test_streams_of_the_only_version_go_on_while_the_log_is_silent(
        self, *cut: int
    ) -> None:
        """Entries refused to go on with streams of a service that had one version only,
        though others had a view of the registrations, or were all in touch."""
        isolation = Isolation(datagrams=False)
        taken = asyncio.run(_play_one_version(cut, isolation, lasts_s=4.0))
        refused = [t for t in taken if t.status != 200]
        self.assertLessEqual(len(refused), (1 - LEAST_SHARE) * len(taken), refused)

    @params((3,), (1, 2, 3))
    def test_entries_in_touch_tell_those_whose_rows_are_old(self, *cut: int) -> None:
        """Entries that could neither read nor write the log for longer than it takes
        to count as silent were not answered by those that could."""
        isolation = Isolation(datagrams=False)
        taken = asyncio.run(_play_one_version(cut, isolation, lasts_s=LONG_CUT_S))
        refused = [t for t in taken if t.status != 200]
        self.assertLessEqual(len(refused), (1 - LEAST_SHARE) * len(taken), refused)

    @params((3,), (2, 3))
    def test_entries_that_are_cut_off_refuse_soon(self, *cut: int) -> None:
        """A caller waited for an entry that could not tell what began its stream."""
        taken = asyncio.run(_play_one_version(cut, Isolation(), lasts_s=4.0))
        refused = [t for t in taken if t.status != 200]
        late = [t for t in taken if t.at_s > 2.0]
        self.assertEqual([t for t in late if t.status != 503], [])
        self.assertEqual([t for t in refused if "Retry-After" not in t.headers], [])
        slow = [t for t in refused if t.took_s > REFUSED_WITHIN_S]
        self.assertEqual(slow, [])

    @params(1.2, 2.0, 4.0)
    def test_streams_of_the_only_version_go_on_at_an_entry_that_stood_still(
        self, stands_s: float
    ) -> None:
        """A process that woke refused what came meanwhile, before it read anything."""
        ways = asyncio.run(_play_standing_still(stands_s, joins=False))
        self.assertEqual(ways, {(OLD, OLD): TAKE_UPS})

    @params(1.2, 2.0, 4.0)
    def test_an_entry_that_stood_still_mixes_no_versions(self, stands_s: float) -> None:
        """A process that woke took its old view of the registrations for a new one."""
        ways = asyncio.run(_play_standing_still(stands_s, joins=True))
        mixed = [way for way in ways if way[1] not in ("", way[0])]
        self.assertEqual(mixed, [], ways)
        if stands_s > 2 * ESTABLISHED_AFTER_S:
            self.assertIn(NEW, {before for before, _ in ways})


async def _play_restored_log() -> list[_Stream]:
    """Take streams up at an entry that reads a log which was restored from a backup."""
    old = [slow_endpoint(f"i-old-{n}", OLD) for n in range(2)]
    new = [slow_endpoint(f"i-new-{n}", NEW) for n in range(2)]
    taker = GATEWAYS - 1
    async with Fleet(*old, gateways=GATEWAYS) as fleet:
        await asyncio.sleep(KNOWN_S)
        isolate(fleet, (taker,), Isolation(log=False))
        reach_log = isolate(fleet, (taker,), Isolation(datagrams=False))
        backup = fleet.log.copy()
        for endpoint in new:
            await endpoint.start()
            fleet.log.put(ENDPOINTS_TOPIC, endpoint.name, endpoint.registration())
        await asyncio.sleep(ESTABLISHED_AFTER_S + 1.0)
        names = range(LEAST_NEW)
        before = {n: await _ask(fleet, f"s{n}", n % taker) for n in names}
        reach_log()
        # The others write nothing that the log has lost.
        isolate(fleet, range(taker), Isolation(datagrams=False))
        fleet.log.restore(backup)
        restored_s = time.monotonic()
        streams = []
        for number in names:
            resumes = {"Last-Event-Id": "2", "Resumes": f"s{number}"}
            after = await _ask(fleet, f"t{number}", taker, **resumes)
            at_s = time.monotonic() - restored_s
            streams.append(_Stream(at_s, before[number], after))
            if at_s > WRITTEN_AGAIN_S:
                break
        return streams


class RestoredLogTest(unittest.TestCase):
    def test_a_log_that_lost_registrations_supports_no_only_version(self) -> None:
        """An entry read a log that was restored from a backup, which lacked the newest
        version, and took streams of that for streams of the only one."""
        streams = asyncio.run(_play_restored_log())
        mixed = [s for s in streams if s.after not in ("", s.before)]
        self.assertEqual(mixed, [], streams)
        self.assertIn(NEW, {s.before for s in streams})


class SkippedRegistrationsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_version_that_came_and_went_in_a_skipped_part_is_read(self) -> None:
        """The newest registrations were read at once in place of many, and a version
        that was only in those between had never been there for this entry."""
        endpoint = slow_endpoint("i-old", OLD)
        async with Fleet(endpoint) as fleet:
            (gateway,) = fleet.gateways
            await fleet.wait_until(lambda: gateway.version_records.loaded)
            recorded = ServiceVersion(ServiceName("s"), NEW)
            # Another entry saw it, and recorded it.
            fleet.log.put(VERSIONS_TOPIC, recorded.record_key, encode_version(recorded))
            # One read brings no more than this.
            fleet.log.put(ENDPOINTS_TOPIC, "i-odd", b"x" * LARGE_RECORD_BYTES)
            for _ in range(5):
                joined = endpoint.registration(version=NEW)
                fleet.log.put(ENDPOINTS_TOPIC, "i-new", joined)
            fleet.log.put(ENDPOINTS_TOPIC, "i-new", b"")
            await asyncio.sleep(2.0)
            versions = gateway.endpoints.versions(recorded.service, time.monotonic())
            self.assertEqual(versions, {OLD, NEW})
