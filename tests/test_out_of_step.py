"""Entries that are out of step while a new version joins: cut off from the log and from
other entries, alone or in a group."""

import asyncio
import math
import time
import unittest
from collections import Counter

import attrs
from nose2.tools import params

from celerytrack.platform.topics import ENDPOINTS_TOPIC
from celerytrack.routing.versions import ESTABLISHED_AFTER_S
from tests.entry_isolation import Isolation, isolate
from tests.gateway_fleet import Fleet
from tests.raw_endpoints import RawEndpoint, RawRequest, answer_head, chunk, event

GATEWAYS = 4
STREAMS_PER_S = 20.0
LASTS_S = 6.0
OLD, NEW = "v1", "v2"
KNOWN_S = 3.5
"""Longer than an entry waits after its start before it writes versions."""
LEAST_NEW = 20
LEASED_S = 0.5
"""Time after a cut in which the last view of the registrations holds for certain."""
FIRST_EVENT_AFTER_S = 0.1
"""Long enough that endpoints which have just joined look no worse than the others."""


class _Endpoint(RawEndpoint):
    """An endpoint whose answers tell its version."""

    def __init__(self, name: str, version: str) -> None:
        super().__init__(name, self._write_answer, keeps=True)
        self.version = version

    def registration(self, **fields: object) -> bytes:
        return super().registration(**{"version": self.version, **fields})

    async def _write_answer(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(FIRST_EVENT_AFTER_S)
        first = int(request.header("Last-Event-Id") or 0) + 1
        version = f"X-Wrote: {self.version}"
        head = answer_head(request, "200 OK", version, "Transfer-Encoding: chunked")
        body = b"".join(chunk(event(number)) for number in range(first, 6))
        writer.write(head + body + chunk(b""))


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


async def _ask(fleet: Fleet, name: str, gateway: int, **headers: str) -> str:
    """The version that answers a stream request; empty if it is refused."""
    status, answered, _ = await fleet.ask("/resume/x", name, gateway=gateway, **headers)
    return answered["X-Wrote"] if status == 200 else ""


async def _play(case: _Case) -> list[_Stream]:
    """Begin streams at the gateways in touch, and take them up at those cut off."""
    old = [_Endpoint(f"i-old-{n}", OLD) for n in range(2)]
    new = [_Endpoint(f"i-new-{n}", NEW) for n in range(2)]
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
            self.assertEqual([s for s in leased if s.after != s.before], [], ways)
        begun_new = sum(s.before == NEW for s in streams)
        self.assertGreater(begun_new, LEAST_NEW, ways)


class ReplacedVersionTest(unittest.IsolatedAsyncioTestCase):
    async def test_streams_are_told_when_the_new_version_takes_them(self) -> None:
        """The last endpoint of a version was replaced: the refusal of a stream named no
        reason, and a time at which it was refused again."""
        old, new = _Endpoint("i-old", OLD), _Endpoint("i-new", NEW)
        async with Fleet(old) as fleet:
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
