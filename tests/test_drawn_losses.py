"""Losses of entries around a release, drawn from seeds."""

import asyncio
import random
import time
import unittest
from collections import Counter

import aiohttp
import attrs
from nose2.tools import params

from tests.entry_isolation import Isolation, isolate
from tests.raw_versions import OLD
from tests.version_site import VersionSite

SEEDS = (1, 2, 3, 112, 129)
KNOWN_S = 3.5
"""Longer than an entry waits after its start before it writes versions."""
STREAMS_PER_S = 25.0
BEGIN_BEFORE_S = 2.0
BEGIN_AFTER_S = 1.0
TOLD_S = 0.5
"""Time after which a stream is no longer one that has just begun."""
TAKEN_FROM_S = 3.2
"""Time from the loss of an entry until callers leave a stream that has gone silent."""
TAKEN_OVER_S = 3.0
MAX_LOST = 3
LEAST_SHARE = 0.95
"""Streams that go on, of those that entries in touch take up."""


@attrs.frozen
class _Loss:
    """An entry at which no stream is taken up any more.

    :ivar is_killed: otherwise it is cut off from the log and the other entries, and
        streams still begin there.
    """

    gateway: int
    at_s: float
    is_killed: bool


@attrs.frozen
class _Day:
    """What happens, in seconds since the first entry is lost.

    :ivar drains: whether an endpoint of the old version drains at the release;
        otherwise it ends.
    :ivar in_doubt: a gateway that doubts what runs at the endpoints as streams begin.
    """

    gateways: int
    losses: tuple[_Loss, ...]
    release_s: float
    drains: bool
    in_doubt: int | None


@attrs.define
class _Stream:
    number: int
    began_s: float
    version: str
    went_on: str = ""


def _draw(random_: random.Random) -> _Day:
    gateways = random_.randint(3, 7)
    count = random_.randint(1, min(MAX_LOST, gateways - 2))
    lost = random_.sample(range(gateways), count)
    losses = tuple(
        _Loss(
            number, 0.0 if n == 0 else random_.uniform(0.0, 1.5), random_.random() < 0.7
        )
        for n, number in enumerate(lost)
    )
    return _Day(
        gateways,
        losses,
        release_s=random_.uniform(-0.6, 3.0),
        drains=random_.random() < 0.5,
        in_doubt=random_.choice((None, None, lost[0])),
    )


class _Play:
    def __init__(self, day: _Day, random_: random.Random) -> None:
        self._day = day
        self._random = random_
        self._site = VersionSite(day.gateways)
        self._lost: set[int] = set()
        self._killed: set[int] = set()
        self._loss_s = 0.0
        self._streams: list[_Stream] = []

    async def run(self) -> tuple[list[_Stream], list[str]]:
        """The streams, and the versions of new ones at the end."""
        day = self._day
        async with self._site.fleet:
            await asyncio.sleep(KNOWN_S)
            if day.in_doubt is not None:
                self._site.doubt_endpoints(day.in_doubt)
            self._loss_s = time.monotonic() + BEGIN_BEFORE_S
            async with asyncio.TaskGroup() as group:
                group.create_task(self._begin_streams())
                group.create_task(self._release())
                for loss in day.losses:
                    group.create_task(self._lose(loss))
            await self._until(TAKEN_FROM_S)
            await asyncio.gather(*map(self._take_up, self._streams))
            at = self._in_touch()
            fresh = await self._site.begin([at[n % len(at)] for n in range(20)], "new")
            return self._streams, fresh

    def _in_touch(self) -> list[int]:
        return sorted(set(range(self._day.gateways)) - self._lost)

    def _reachable(self) -> list[int]:
        return sorted(set(range(self._day.gateways)) - self._killed)

    async def _until(self, at_s: float) -> None:
        await asyncio.sleep(self._loss_s + at_s - time.monotonic())

    async def _begin_streams(self) -> None:
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < self._loss_s + BEGIN_AFTER_S:
                gateway = self._random.choice(self._reachable())
                number = len(self._streams)
                began_s = time.monotonic() - self._loss_s
                self._streams.append(_Stream(number, began_s, ""))
                group.create_task(self._begin(self._streams[-1], gateway))
                await asyncio.sleep(1 / STREAMS_PER_S)

    async def _begin(self, stream: _Stream, gateway: int) -> None:
        try:
            stream.version = await self._site.ask(f"first{stream.number}", gateway)
        except aiohttp.ClientError:
            # Its entry was lost.
            stream.version = ""

    async def _release(self) -> None:
        await self._until(self._day.release_s)
        await self._site.release(self._day.drains)

    async def _lose(self, loss: _Loss) -> None:
        await self._until(loss.at_s)
        self._lost.add(loss.gateway)
        if loss.is_killed:
            self._killed.add(loss.gateway)
            await self._site.fleet.end_gateway(loss.gateway)
        else:
            isolate(self._site.fleet, [loss.gateway], Isolation())

    async def _take_up(self, stream: _Stream) -> None:
        await asyncio.sleep(self._random.uniform(0.0, TAKEN_OVER_S))
        if stream.version:
            gateway = self._random.choice(self._in_touch())
            stream.went_on = await self._site.take_up_at(stream.number, gateway)


async def _play(day: _Day, random_: random.Random) -> tuple[list[_Stream], list[str]]:
    return await _Play(day, random_).run()


class DrawnLossTest(unittest.TestCase):
    @params(*SEEDS)
    def test_streams_go_on_at_their_version_after_drawn_losses(self, seed: int) -> None:
        """Streams of lost entries were refused, or went on at another version."""
        random_ = random.Random(seed)
        day = _draw(random_)
        streams, fresh = asyncio.run(_play(day, random_))
        mixed = [s for s in streams if s.went_on not in ("", s.version)]
        self.assertEqual(mixed, [], day)
        kept = [s for s in streams if s.version == OLD and s.began_s < -TOLD_S]
        same = sum(s.went_on == s.version for s in kept)
        least = LEAST_SHARE * len(kept) * sum(map(bool, fresh)) / len(fresh)
        ways = Counter((s.version, s.went_on) for s in kept)
        self.assertGreater(len(kept), 20, day)
        self.assertGreaterEqual(same, least, (day, ways, fresh))
