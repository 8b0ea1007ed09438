"""Streams that are taken up after the entries at which they began are lost."""

import asyncio
import time
import unittest
from collections import Counter

import attrs
from nose2.tools import params

from tests.entry_isolation import Isolation, isolate
from tests.raw_versions import NEW, OLD
from tests.version_site import VersionSite, mixed_versions, same_versions

GATEWAYS = 6
STREAMS = 20
KNOWN_S = 3.5
"""Longer than an entry waits after its start before it writes versions."""
TOLD_S = 0.5
"""Time after which a stream is no longer one that has just begun."""
TAKEN_AFTER_S = 3.2
"""Time from the loss until callers leave a stream that has gone silent."""
LEAST_SHARE = 0.95
"""Streams that go on, of those that entries in touch take up."""
BACK_S = 1.2
"""Time in which an entry that was started again reads what there is."""
CUT_S = 3.0
"""Time after a cut in which entries have told each other what they missed."""


@attrs.frozen
class _Case:
    """What happens, in seconds since the first entry is lost.

    :ivar lost: the gateways that are lost. Streams begin at the first of them.
    :ivar apart_s: time between two losses.
    :ivar release_s: when endpoints of a new version join.
    :ivar rolled_back_after_s: time from then until the release is taken back.
    :ivar drains: whether an endpoint of the old one drains then; otherwise it ends.
    :ivar gateways: size of the fleet.
    :ivar cut_before: whether the first of them can't send datagrams as the streams
        begin, until a while before it is lost.
    :ivar taken_s: when the streams are taken up.
    :ivar in_doubt: whether the first gateway doubts what runs at the endpoints as the
        streams begin.
    """

    lost: tuple[int, ...] = (0,)
    apart_s: float = 0.0
    release_s: float = 0.5
    rolled_back_after_s: float | None = None
    drains: bool = True
    gateways: int = GATEWAYS
    cut_before: bool = False
    taken_s: float = TAKEN_AFTER_S
    in_doubt: bool = False


async def _lose(site: VersionSite, case: _Case) -> None:
    for number in case.lost:
        await site.fleet.end_gateway(number)
        if number != case.lost[-1]:
            await asyncio.sleep(case.apart_s)


async def _play(case: _Case) -> tuple[list[str], list[str], list[str]]:
    """The versions that began streams, at which they went on, and of new streams."""
    site = VersionSite(case.gateways)
    async with site.fleet as fleet:
        await asyncio.sleep(KNOWN_S)
        restore = None
        if case.cut_before:
            restore = isolate(fleet, case.lost[:1], Isolation(log=False))
        if case.in_doubt:
            site.doubt_endpoints(case.lost[0])
        begun = await site.begin([case.lost[0]] * STREAMS)
        await asyncio.sleep(TOLD_S)
        if restore is not None:
            restore()
            await asyncio.sleep(CUT_S)

        async def release() -> None:
            await asyncio.sleep(max(0.0, case.release_s))
            await site.release(case.drains)
            if case.rolled_back_after_s is not None:
                await asyncio.sleep(case.rolled_back_after_s)
                site.roll_back()

        releasing = asyncio.create_task(release())
        await asyncio.sleep(max(0.0, -case.release_s))
        lost_s = time.monotonic()
        losing = asyncio.create_task(_lose(site, case))
        await asyncio.gather(releasing, losing)
        await asyncio.sleep(case.taken_s - (time.monotonic() - lost_s))
        taken = await site.take_up(STREAMS)
        at = site.in_touch()
        fresh = await site.begin([at[n % len(at)] for n in range(STREAMS)], "fresh")
        return begun, taken, fresh


class LostEntryTest(unittest.TestCase):
    @params(
        _Case(),
        _Case(release_s=0.0),
        _Case(release_s=-0.02),
        _Case(release_s=-0.3),
        _Case(release_s=-0.6),
        _Case(release_s=2.0),
        _Case(release_s=3.1),
        _Case(rolled_back_after_s=1.5),
        _Case(release_s=-0.3, rolled_back_after_s=0.2),
        _Case(release_s=-2.0, rolled_back_after_s=1.0),
        _Case(drains=False),
        _Case(gateways=3),
        _Case(gateways=2),
        _Case(lost=(0, 1)),
        _Case(lost=(0, 1, 2)),
        _Case(lost=(0, 1, 2), release_s=2.0),
        _Case(lost=(0, 1), apart_s=1.0, release_s=2.0),
        _Case(lost=(0, 1, 2, 3, 4), apart_s=6.0, release_s=25.0, taken_s=26.5),
        _Case(cut_before=True),
        _Case(in_doubt=True),
        _Case(in_doubt=True, release_s=-0.3),
    )
    def test_streams_of_a_lost_entry_go_on_at_their_version(self, case: _Case) -> None:
        """What began a stream while its service had one version was known to one
        entry, and lost with it as a second version came up."""
        begun, taken, fresh = asyncio.run(_play(case))
        self.assertEqual(begun, [OLD] * STREAMS)
        self.assertEqual(mixed_versions(begun, taken), 0, Counter(taken))
        least = LEAST_SHARE * sum(map(bool, fresh))
        self.assertGreaterEqual(
            same_versions(begun, taken), least, (Counter(taken), fresh)
        )

    def test_streams_go_on_after_entries_were_started_again_in_turn(self) -> None:
        """Entries forgot what they had kept for those that were lost before them."""
        begun, taken = asyncio.run(self._play_restarts())
        self.assertEqual(mixed_versions(begun, taken), 0, Counter(taken))
        self.assertGreaterEqual(
            same_versions(begun, taken), LEAST_SHARE * STREAMS, taken
        )

    async def _play_restarts(self) -> tuple[list[str], list[str]]:
        site = VersionSite(GATEWAYS)
        async with site.fleet as fleet:
            await asyncio.sleep(KNOWN_S)
            begun = await site.begin([0] * STREAMS)
            await asyncio.sleep(TOLD_S)
            for number in range(GATEWAYS):
                await fleet.restart_gateway(number)
                await asyncio.sleep(BACK_S)
            await site.release()
            await asyncio.sleep(TAKEN_AFTER_S)
            return begun, await site.take_up(STREAMS)

    def test_streams_go_on_after_the_entry_of_a_take_up_was_lost(self) -> None:
        """What had begun a stream was known to the entry at which it went on alone."""
        begun, taken = asyncio.run(self._play_take_up())
        self.assertEqual(mixed_versions(begun, taken), 0, Counter(taken))
        self.assertGreaterEqual(
            same_versions(begun, taken), LEAST_SHARE * STREAMS, taken
        )

    async def _play_take_up(self) -> tuple[list[str], list[str]]:
        site = VersionSite(GATEWAYS)
        async with site.fleet as fleet:
            await asyncio.sleep(KNOWN_S)
            begun = await site.begin([0] * STREAMS)
            for number in range(GATEWAYS):
                await fleet.end_gateway(number)
            await fleet.start_again(list(range(GATEWAYS)))
            await asyncio.sleep(BACK_S)
            self.assertEqual(await site.take_up(STREAMS, "early"), begun)
            await asyncio.sleep(TOLD_S)
            await fleet.end_gateway(site.in_touch()[0])
            await site.release()
            await asyncio.sleep(TAKEN_AFTER_S)
            return begun, await site.take_up(STREAMS)

    def test_streams_of_a_lost_entry_that_was_cut_off_are_not_mixed(
        self,
    ) -> None:
        """An entry that others saw silent went on to begin streams at a new version."""
        begun, taken = asyncio.run(self._play_cut())
        self.assertEqual(set(begun), {OLD, NEW})
        self.assertEqual(mixed_versions(begun, taken), 0, (begun, taken))

    async def _play_cut(self) -> tuple[list[str], list[str]]:
        site = VersionSite(GATEWAYS)
        async with site.fleet as fleet:
            await asyncio.sleep(KNOWN_S)
            old = await site.begin([0] * (STREAMS // 2))
            isolate(fleet, [0], Isolation(log=False))
            await site.release()
            await asyncio.sleep(TAKEN_AFTER_S)
            new = [await site.ask(f"first{n}", 0) for n in range(len(old), STREAMS)]
            await fleet.end_gateway(0)
            return old + new, await site.take_up(STREAMS)
