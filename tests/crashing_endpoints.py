"""Endpoints that crash on requests with a marker in the body, and repeating callers."""

import asyncio
import itertools
import random
import time
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
from aiohttp import web

from celerytrack.platform.topics import ENDPOINTS_TOPIC
from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet

MARKER = b"crash"
DOWNTIME_S = 2.0
"""Downtime of a crashed endpoint."""
REGISTRATION_TTL_S = 1.5
"""Time until its registration is removed: three heartbeats of half a second."""
WORK_S = 0.05


@attrs.frozen
class Arrival:
    """A request that reached an endpoint."""

    at_s: float
    endpoint: str
    body: bytes


class CrashingEndpoint:
    """An endpoint that crashes on a marked request and comes back under a new id.

    :param work_s: how long a request runs; a marked one crashes the endpoint then.
    :ivar crashes_s: times of its crashes.
    :ivar version: software version from its next start on.
    :ivar vulnerable: whether a marked request crashes it.
    """

    def __init__(
        self,
        fleet: Fleet,
        number: int,
        arrivals: list[Arrival],
        work_s: float = WORK_S,
    ) -> None:
        self.crashes_s: list[float] = []
        self._fleet = fleet
        self._number = number
        self._arrivals = arrivals
        self.version = "v1"
        self.vulnerable = True
        self._work_s = work_s
        self._starts = itertools.count(1)
        self._now: Endpoint | None = None
        self._runner: web.ServerRunner | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen and register under a new id."""
        name = f"i-{self._number}-{next(self._starts)}"
        endpoint = Endpoint(name, self._run)
        if self._now is not None:
            endpoint.port = self._now.port
        self._now = endpoint
        self._runner = await endpoint.start()
        record = self.registration()
        self._fleet.log.put(ENDPOINTS_TOPIC, name, record)

    async def stop(self) -> None:
        """Stop it for good."""
        for task in self._tasks:
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        assert self._now is not None
        body = await request.read()
        name = self._now.name
        self._arrivals.append(Arrival(time.monotonic(), name, body))
        await asyncio.sleep(self._work_s)
        if MARKER in body and self.vulnerable:
            self.crash(name)
            await asyncio.sleep(60)
        echo = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
        if request.path.startswith(("/stream/", "/resume/")):
            return await _event(request, echo)
        return web.Response(body=b"good", headers=echo)

    @property
    def listens(self) -> bool:
        """Whether its process is up."""
        return self._runner is not None

    def registration(self, **fields: object) -> bytes:
        """Its registration record, with some ``fields`` changed."""
        assert self._now is not None
        return self._now.registration(version=self.version, **fields)

    async def replace(self, version: str) -> None:
        """Replace it by another build, under a new id."""
        assert self._now is not None and self._runner is not None
        self._fleet.log.put(ENDPOINTS_TOPIC, self._now.name, b"")
        await self._runner.cleanup()
        self.version = version
        await self.start()

    def crash(self, name: str) -> None:
        """Crash incarnation ``name``; a new one starts later."""
        runner = self._runner
        if runner is None:
            # Another marked request has crashed it.
            return
        self._runner = None
        self.crashes_s.append(time.monotonic())
        for site in runner.sites:
            site._server.close()  # type: ignore[attr-defined]
        assert runner.server is not None
        for connection in runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        task = asyncio.create_task(self._come_back(runner, name))
        self._tasks.add(task)

    async def _come_back(self, runner: web.ServerRunner, name: str) -> None:
        cleanup = asyncio.create_task(runner.cleanup())
        await asyncio.sleep(REGISTRATION_TTL_S)
        self._fleet.log.put(ENDPOINTS_TOPIC, name, b"")
        await asyncio.sleep(DOWNTIME_S - REGISTRATION_TTL_S)
        await cleanup
        await self.start()


async def _event(
    request: web.BaseRequest, headers: dict[str, str]
) -> web.StreamResponse:
    response = web.StreamResponse(headers=headers)
    response.enable_chunked_encoding()
    await response.prepare(request)
    await response.write(b"id: 1\ndata: t1\n\n")
    return response


@attrs.define
class Answers:
    """Answers to callers, by status."""

    by_status: dict[int, int] = attrs.field(factory=dict)

    @property
    def asked(self) -> int:
        """Number of answers of any status."""
        return sum(self.by_status.values())

    def add(self, status: int) -> None:
        """Count an answer; status 0 stands for a failed connection."""
        self.by_status[status] = self.by_status.get(status, 0) + 1


class CrashRun:
    """Callers of harmless requests, and a caller that repeats a crashing request.

    :param endpoints: number of endpoints.
    :ivar started_s: when the first request was sent.
    :ivar arrivals: requests that reached endpoints.
    :ivar marked: answers to the crashing request.
    :ivar harmless: answers to the other requests.
    """

    def __init__(
        self, fleet: Fleet, endpoints: int, seed: int, work_s: float = WORK_S
    ) -> None:
        self.fleet = fleet
        self.arrivals: list[Arrival] = []
        self.endpoints = [
            CrashingEndpoint(fleet, i, self.arrivals, work_s) for i in range(endpoints)
        ]
        self.started_s = time.monotonic()
        self.marked = Answers()
        self.harmless = Answers()
        self._rng = random.Random(seed)
        self._ids = itertools.count()

    async def __aenter__(self) -> "CrashRun":
        for endpoint in self.endpoints:
            await endpoint.start()
        gateways = self.fleet.gateways
        count = len(self.endpoints)
        await self.fleet.wait_until(
            lambda: all(len(g.endpoints.registered_ids()) == count for g in gateways)
        )
        self.started_s = time.monotonic()
        return self

    async def __aexit__(self, *exc: object) -> None:
        for endpoint in self.endpoints:
            await endpoint.stop()

    @property
    def crashes_s(self) -> list[float]:
        """Times of all crashes since the start, in order."""
        crashes_s = (at_s for endpoint in self.endpoints for at_s in endpoint.crashes_s)
        return sorted(at_s - self.started_s for at_s in crashes_s)

    def marked_after(self, at_s: float) -> list[Arrival]:
        """Marked requests that reached endpoints later than ``at_s``."""
        return [
            arrival
            for arrival in self.arrivals
            if MARKER in arrival.body and arrival.at_s - self.started_s > at_s
        ]

    async def ask(
        self,
        answers: Answers,
        body: bytes,
        path: str = "/plain/x",
        gateway: int | None = None,
    ) -> int:
        """Send a request, to a random entry if none is given.

        :returns: the status, or 0 if the connection failed.
        """
        if gateway is None:
            gateway = self._rng.randrange(len(self.fleet.gateways))
        number = next(self._ids)
        try:
            status, _, _ = await self.fleet.ask(
                path, f"r{number}", gateway=gateway, body=body
            )
        except aiohttp.ClientError:
            status = 0
        answers.add(status)
        return status

    async def repeat(
        self, rate_per_s: float, lasts_s: float, send: Callable[[], Awaitable[object]]
    ) -> None:
        """Send at a mean rate without waiting, then wait for all answers."""
        ends_s = time.monotonic() + lasts_s
        tasks = []
        while time.monotonic() < ends_s:
            tasks.append(asyncio.ensure_future(send()))
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
        await asyncio.gather(*tasks)

    async def play(
        self,
        lasts_s: float,
        marked_per_s: float = 3.0,
        harmless_per_s: float = 25.0,
        path: str = "/plain/x",
    ) -> None:
        """Run both kinds of callers concurrently."""
        await asyncio.gather(
            self.repeat(
                marked_per_s, lasts_s, lambda: self.ask(self.marked, MARKER, path)
            ),
            self.repeat(harmless_per_s, lasts_s, self._ask_harmless),
        )

    async def _ask_harmless(self) -> None:
        body = b"harmless %d" % next(self._ids)
        await self.ask(self.harmless, body)
