"""Streams that are taken up after all entries, or some, have lost what they knew."""

import asyncio
import unittest
from collections import Counter

from nose2.tools import params

from celerytrack.platform.topics import ENDPOINTS_TOPIC
from tests.gateway_fleet import Fleet
from tests.raw_versions import NEW, OLD, VersionNamingEndpoint

GATEWAYS = 6
STREAMS = 12
MIXED_ALLOWED = 2
LEAST_SHARE = 0.95
"""Streams that go on, of those that can only have begun at what serves now."""
RECORDED_S = 3.5
"""Longer than an entry waits after its start before it writes versions."""
READ_S = 1.2


class _Site:
    """Endpoints of two versions, and the streams that callers begin and take up."""

    def __init__(self) -> None:
        self.old = [VersionNamingEndpoint(f"i-old-{n}", OLD) for n in range(2)]
        self.new = [VersionNamingEndpoint(f"i-new-{n}", NEW) for n in range(2)]
        self.released = False
        self.fleet = Fleet(*self.old, gateways=GATEWAYS)

    async def release(self) -> None:
        """Start the endpoints of the new version and register them."""
        self.released = True
        for endpoint in self.new:
            await endpoint.start()
            value = endpoint.registration()
            self.fleet.log.put(ENDPOINTS_TOPIC, endpoint.name, value)

    def deregister_old(self) -> None:
        for endpoint in self.old:
            self.fleet.log.put(ENDPOINTS_TOPIC, endpoint.name, b"")

    async def begin(self) -> list[str]:
        """Begin streams; returns the version that wrote each."""
        live = self.live()
        return [await self._stream(n, live[n % len(live)]) for n in range(STREAMS)]

    async def take_up(self) -> list[str]:
        """Take the streams up, each at another entry; returns the version that each
        goes on at, empty if it is refused."""
        live = self.live()
        return [
            await self._stream(
                n,
                live[(n + 1) % len(live)],
                Last_Event_Id="2",
                Resumes=f"s{n}-0",
            )
            for n in range(STREAMS)
        ]

    def live(self) -> list[int]:
        killed = self.fleet.killed
        return [n for n in range(len(self.fleet.gateways)) if n not in killed]

    async def _stream(self, number: int, gateway: int, **headers: str) -> str:
        name = f"s{number}-{1 if headers else 0}"
        status, answered, _ = await self.fleet.ask(
            "/resume/x", name, gateway=gateway, **headers
        )
        if status == 503:
            return ""
        assert status == 200, status
        return answered["X-Wrote"]


async def _lose(site: _Site, one_by_one: bool, dark: bool) -> None:
    """Kill all entries and start them again, at once or one after the other.

    :param dark: whether the old version's endpoints are replaced meanwhile.
    """
    fleet = site.fleet
    numbers = site.live()
    if one_by_one:
        for number in numbers:
            await fleet.restart_gateway(number)
            await asyncio.sleep(READ_S)
    else:
        for number in numbers:
            await fleet.end_gateway(number)
    if dark:
        site.deregister_old()
        if not site.released:
            await site.release()
    if not one_by_one:
        await fleet.start_again(numbers)
    await asyncio.sleep(READ_S)


class LostOriginsTest(unittest.TestCase):
    @params(
        # new version up before, replaced meanwhile, old gone after, one by one
        (True, True, False, False),
        (True, False, True, False),
        (False, True, False, False),
        (True, False, True, True),
    )
    def test_no_stream_goes_on_at_another_version(
        self, up: bool, dark: bool, gone: bool, one_by_one: bool
    ) -> None:
        """All entries lost power as a release ended, and each took the one version
        that was left for the one that began the streams."""
        begun, taken = asyncio.run(self._play(up, dark, gone, one_by_one))
        pairs = zip(begun, taken, strict=True)
        mixed = sum(after not in ("", before) for before, after in pairs)
        self.assertLessEqual(mixed, MIXED_ALLOWED, Counter(taken))

    @params(True, False)
    def test_streams_of_the_only_version_go_on(self, one_by_one: bool) -> None:
        """Entries that know no other version refused what could go on."""
        _, taken = asyncio.run(self._play(False, False, False, one_by_one))
        self.assertGreaterEqual(sum(map(bool, taken)), LEAST_SHARE * STREAMS)

    def test_streams_go_on_after_entries_were_lost_one_by_one_in_a_release(
        self,
    ) -> None:
        """Each entry that had been told of a stream was lost in turn, and what began it
        with the last of them."""
        begun, taken = asyncio.run(self._play_release())
        right = sum(map(str.__eq__, begun, taken))
        self.assertGreaterEqual(right, LEAST_SHARE * STREAMS, Counter(taken))

    async def _play_release(self) -> tuple[list[str], list[str]]:
        site = _Site()
        async with site.fleet:
            await site.release()
            await asyncio.sleep(RECORDED_S)
            begun = await site.begin()
            await _lose(site, one_by_one=True, dark=False)
            return begun, await site.take_up()

    async def _play(
        self, up: bool, dark: bool, gone: bool, one_by_one: bool
    ) -> tuple[list[str], list[str]]:
        site = _Site()
        async with site.fleet:
            await asyncio.sleep(RECORDED_S)
            begun = await site.begin()
            if up:
                await site.release()
                await asyncio.sleep(READ_S)
            if one_by_one and gone:
                site.deregister_old()
                await asyncio.sleep(READ_S)
            await _lose(site, one_by_one, dark)
            if gone:
                site.deregister_old()
                await asyncio.sleep(READ_S)
            return begun, await site.take_up()
