"""Endpoints that crash on a part of a prompt, and callers whose prompts share parts."""

import asyncio
import itertools
import random
import time
from collections import Counter
from collections.abc import Sequence

import aiohttp
import attrs
from aiohttp import web

from tests.crashing_endpoints import Arrival, CrashingEndpoint
from tests.gateway_fleet import SEAL_HEADERS, Fleet

PROMPT_HEADER = "X-Prompt-Prefix"
EVENTS = 10
EVENT_PAUSE_S = 0.02
FIRST_PARTS = ("a0", "a1", "a2")
MIDDLE_PARTS = tuple(f"b{n:02}" for n in range(20))
GUILTY_EVERY_S = 0.3


class PartCrashingEndpoint(CrashingEndpoint):
    """An endpoint that crashes as it answers a prompt with a guilty part.

    :param guilty: the parts that crash it, unless they are the last.
    :param crash_after_events: events of the answer that it writes before.
    """

    def __init__(
        self,
        fleet: Fleet,
        number: int,
        arrivals: list[Arrival],
        guilty: Sequence[str],
        crash_after_events: int,
    ) -> None:
        super().__init__(fleet, number, arrivals)
        self._guilty = frozenset(guilty)
        self._crash_after_events = crash_after_events

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        assert self._now is not None
        name = self._now.name
        prompt = request.headers[PROMPT_HEADER]
        self._arrivals.append(Arrival(time.monotonic(), name, prompt.encode()))
        parts = [item.partition(":")[0] for item in prompt.split(",")]
        crashes = not self._guilty.isdisjoint(parts[:-1])
        echo = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
        response = web.StreamResponse(headers=echo)
        response.enable_chunked_encoding()
        await asyncio.sleep(EVENT_PAUSE_S)
        if crashes and self._crash_after_events == 0:
            self.crash(name)
            await asyncio.sleep(60)
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, EVENTS + 1):
            await response.write(b"id: %d\ndata: t\n\n" % number)
            await asyncio.sleep(EVENT_PAUSE_S)
            if crashes and number >= self._crash_after_events:
                self.crash(name)
                await asyncio.sleep(60)
        return response


@attrs.define
class Begun:
    """Sound requests, and how many of them began.

    :ivar sent_s: times at which they were sent.
    :ivar began_s: the same of those that began at the first attempt.
    """

    sent_s: list[float] = attrs.field(factory=list)
    began_s: list[float] = attrs.field(factory=list)

    def share(self, from_s: float, until_s: float) -> float:
        """Share of the requests sent between two times that began."""
        sent = sum(from_s <= t < until_s for t in self.sent_s)
        return sum(from_s <= t < until_s for t in self.began_s) / max(1, sent)


class PartsRun:
    """Callers of sound prompts, and callers of prompts with guilty parts.

    :param guilty: the guilty parts; each has callers of its own.
    :ivar arrivals: prompts that reached endpoints.
    :ivar shares_first: sound requests with a first part that guilty ones have.
    :ivar others: sound requests with another first part.
    """

    def __init__(
        self,
        fleet: Fleet,
        endpoints: int,
        guilty: Sequence[str],
        rng: random.Random,
        crash_after_events: int = 0,
    ) -> None:
        self.fleet = fleet
        self.guilty = guilty
        self.arrivals: list[Arrival] = []
        self.endpoints = [
            PartCrashingEndpoint(fleet, i, self.arrivals, guilty, crash_after_events)
            for i in range(endpoints)
        ]
        self.shares_first = Begun()
        self.others = Begun()
        self.guilty_statuses: Counter[int] = Counter()
        self._rng = rng
        self._ids = itertools.count()
        self.gateways = list(range(len(fleet.gateways)))

    async def __aenter__(self) -> "PartsRun":
        for endpoint in self.endpoints:
            await endpoint.start()
        count = len(self.endpoints)
        await self.fleet.wait_until(
            lambda: all(
                len(g.endpoints.registered_ids()) == count for g in self.fleet.gateways
            )
        )
        return self

    async def __aexit__(self, *exc: object) -> None:
        for endpoint in self.endpoints:
            await endpoint.stop()

    def fifth_crash_s(self) -> float:
        """When the fifth endpoint crashed."""
        crashes_s = sorted(t for e in self.endpoints for t in e.crashes_s)
        return crashes_s[min(4, len(crashes_s) - 1)]

    def reached_after(self, part: str, at_s: float) -> int:
        """Requests with a part that reached endpoints later than ``at_s``."""
        return sum(
            arrival.at_s > at_s and part in _parts(arrival.body.decode())
            for arrival in self.arrivals
        )

    async def play_sound(self, rate_per_s: float, lasts_s: float) -> None:
        """Send sound prompts at a mean rate, then wait for all answers."""
        ends_s = time.monotonic() + lasts_s
        tasks = []
        while time.monotonic() < ends_s:
            tasks.append(asyncio.create_task(self._ask_sound()))
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
        await asyncio.gather(*tasks)

    async def play_guilty(self, part: str, lasts_s: float) -> None:
        """Send prompts with a guilty part, in the first place or in the middle."""
        ends_s = time.monotonic() + lasts_s
        tasks = []
        while time.monotonic() < ends_s:
            tasks.append(asyncio.create_task(self._ask_guilty(part)))
            await asyncio.sleep(GUILTY_EVERY_S)
        await asyncio.gather(*tasks)

    async def _ask_sound(self) -> None:
        first = self._rng.choice(FIRST_PARTS)
        begun = self.shares_first if first == FIRST_PARTS[0] else self.others
        sent_s = time.monotonic()
        begun.sent_s.append(sent_s)
        if await self._ask(first, self._rng.choice(MIDDLE_PARTS)) == 200:
            begun.began_s.append(sent_s)

    async def _ask_guilty(self, part: str) -> None:
        beside = self._rng.choice(MIDDLE_PARTS)
        parts = (part, beside) if part.startswith("a") else (FIRST_PARTS[0], part)
        self.guilty_statuses[await self._ask(*parts)] += 1

    async def _ask(self, first: str, middle: str) -> int:
        """Send a request; returns its status, 0 if its connection broke."""
        number = next(self._ids)
        prompt = f"{first}:100,{middle}:50,c{number}:10"
        try:
            status, _, _ = await self.fleet.ask(
                "/resume/x",
                f"p{number}",
                gateway=self._rng.choice(self.gateways),
                body=b"body %d" % number,
                **{PROMPT_HEADER: prompt, "X-Model": "m", "X-Token-Count": "160,10"},
            )
        except aiohttp.ClientPayloadError:
            return 200
        except aiohttp.ClientError:
            return 0
        return status


def _parts(prompt: str) -> list[str]:
    return [item.partition(":")[0] for item in prompt.split(",")[:-1]]
