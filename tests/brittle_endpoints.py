"""Endpoints that say that they are brittle: they fall over if they have to turn too
many requests away in a second."""

import asyncio
import itertools
import random
import time
from collections import Counter, deque
from collections.abc import Callable

import aiohttp
import attrs
from aiohttp import web

from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet

BRITTLE_HEADER = "Server-Brittle"
WORK_RANGE_S = (0.05, 0.15)
DOWN_S = 3.0
USUAL_ROOM = 32


class BrittleEndpoint(Endpoint):
    """An endpoint that falls over after more than ``bears`` rejections in a second.

    :param work_range_s: how long a request runs.
    :ivar bears: value of the header; ``None`` while it is not brittle.
    :ivar room: requests that it runs and lets wait.
    :ivar keeps_port: whether it accepts connections while it is down, and breaks them.
    :ivar on_restart: called as it is back after a fall.
    :ivar falls: how often it fell over.
    :ivar answered: requests that it answered.
    :ivar answered_small: those that came while its room was smaller than usual.
    """

    def __init__(
        self,
        name: str,
        rng: random.Random,
        work_range_s: tuple[float, float] = WORK_RANGE_S,
    ) -> None:
        super().__init__(name, self._run)
        self._work_range_s = work_range_s
        self.keeps_port = False
        self.on_restart: Callable[[BrittleEndpoint], None] = lambda endpoint: None
        self._down = False
        self.bears: int | None = None
        self.room = USUAL_ROOM
        self.running = USUAL_ROOM
        self.falls = 0
        self.rejections = 0
        self.answered = 0
        self.answered_small = 0
        self.down_s = 0.0
        self._present = 0
        self._recent: deque[float] = deque()
        self._rng = rng
        self._slots = asyncio.Condition()
        self._busy = 0
        self._site: web.TCPSite | None = None
        self._runner: web.ServerRunner | None = None
        self._restart: asyncio.Task[None] | None = None

    async def start(self) -> web.ServerRunner:
        self._runner = web.ServerRunner(
            web.Server(self._handle, handler_cancellation=True), shutdown_timeout=0.1
        )
        await self._runner.setup()
        await self._listen()
        return self._runner

    async def _listen(self) -> None:
        assert self._runner is not None
        self._site = web.TCPSite(self._runner, "127.0.0.1", self.port)
        await self._site.start()

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._down:
            assert request.transport is not None
            request.transport.abort()
        headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"]}
        if self.bears is not None:
            headers[BRITTLE_HEADER] = str(self.bears)
        if self._present >= self.room:
            self._count_rejection(time.monotonic())
            headers["X-Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        self._present += 1
        is_small = self.room < USUAL_ROOM
        try:
            async with self._slots:
                await self._slots.wait_for(lambda: self._busy < self.running)
                self._busy += 1
            try:
                await asyncio.sleep(self._rng.uniform(*self._work_range_s))
            finally:
                self._busy -= 1
                async with self._slots:
                    self._slots.notify()
        finally:
            self._present -= 1
        self.answered += 1
        self.answered_small += is_small
        return web.Response(body=b"good", headers={**headers, **SEAL_HEADERS})

    def _count_rejection(self, now_s: float) -> None:
        self.rejections += 1
        self._recent.append(now_s)
        while self._recent[0] < now_s - 1.0:
            self._recent.popleft()
        if self.bears is not None and len(self._recent) > self.bears:
            self._recent.clear()
            self.falls += 1
            self._restart = asyncio.create_task(self._fall())

    def end_by_itself(self) -> None:
        """End its process, which is back after a while."""
        self._restart = asyncio.create_task(self._fall())

    async def _fall(self) -> None:
        assert self._runner is not None and self._site is not None
        began_s = time.monotonic()
        self._down = True
        if not self.keeps_port:
            await self._site.stop()
        server = self._runner.server
        assert isinstance(server, web.Server)
        for connection in server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await asyncio.sleep(DOWN_S)
        self.down_s += time.monotonic() - began_s
        self._down = False
        if not self.keeps_port:
            await self._listen()
        self.on_restart(self)


@attrs.define
class BrittleCallers:
    """Open-loop callers of a fleet before brittle endpoints.

    :ivar once_every: one request in so many is a once-only call.
    :ivar gateways: the gateways that they call; all if empty.
    """

    fleet: Fleet
    rng: random.Random
    once_every: int = 5
    gateways: list[int] = attrs.field(factory=list)
    by_status: Counter[int] = attrs.field(factory=Counter)
    _ids: "itertools.count[int]" = attrs.field(factory=itertools.count)

    async def play(self, rate_per_s: float, lasts_s: float) -> int:
        """Send requests at a mean rate at most, then wait for all answers.

        :returns: the number of requests.
        """
        ends_s = time.monotonic() + lasts_s
        tasks = []
        while time.monotonic() < ends_s:
            tasks.append(asyncio.create_task(self._ask()))
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
        await asyncio.gather(*tasks)
        return len(tasks)

    async def _ask(self) -> None:
        gateway = self.rng.choice(self.gateways or range(len(self.fleet.gateways)))
        number = next(self._ids)
        path = "/once/x" if number % self.once_every == 0 else "/plain/x"
        try:
            status, _, _ = await self.fleet.ask(path, f"b{number}", gateway=gateway)
        except aiohttp.ClientError:
            # Its gateway was killed.
            status = 0
        self.by_status[status] += 1


def make_brittle(
    count: int, seed: int, work_range_s: tuple[float, float] = WORK_RANGE_S
) -> list[BrittleEndpoint]:
    """Make endpoints that are not brittle yet."""
    return [
        BrittleEndpoint(f"i-{n}", random.Random(seed + n), work_range_s)
        for n in range(count)
    ]
