"""Endpoints of several software versions in one service, whose streams break."""

import asyncio
import random
from collections.abc import Sequence

from aiohttp import web

from celerytrack.platform.topics import ENDPOINTS_TOPIC
from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet
from tests.keyed_log import KeyedLog
from tests.link_cuts import Links

OLD, NEW = "v1.1", "v1.2"
EVENTS = 20
EVENT_PAUSE_S = 0.05
STARTS_AFTER_S = 0.1
REGISTERED_AFTER_S = 0.6


class VersionedEndpoint(Endpoint):
    """An endpoint whose events name the version that wrote them.

    :ivar version: of the software that runs.
    :ivar room: requests that it runs; it rejects more.
    :ivar breaks_share: share of its runs that break after some events.
    """

    def __init__(self, name: str, version: str, rng: random.Random) -> None:
        super().__init__(name, self._run)
        self.version = version
        self.room = 64
        self.breaks_share = 0.0
        self._rng = rng
        self._running = 0
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None

    def registration(self, **fields: object) -> bytes:
        return super().registration(
            **{"version": self.version, "slots": self.room, **fields}
        )

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

    async def end(self) -> None:
        """End at once, with all connections."""
        assert self._runner is not None and self._site is not None
        await self._site.stop()
        server = self._runner.server
        assert isinstance(server, web.Server)
        for connection in server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def come_back_as(
        self,
        version: str,
        log_put: "LogPut",
        starts_after_s: float = STARTS_AFTER_S,
    ) -> None:
        """Start again under the same id and address; the registration follows."""
        await self.replace(version, starts_after_s)
        await asyncio.sleep(REGISTERED_AFTER_S)
        log_put(self)

    async def replace(self, version: str, starts_after_s: float = 0.0) -> None:
        """End; another process takes the address."""
        await self.end()
        await asyncio.sleep(starts_after_s)
        self.version = version
        await self._listen()

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"]}
        if self._running >= self.room:
            headers["X-Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        self._running += 1
        try:
            return await self._stream(request, {**headers, **SEAL_HEADERS})
        finally:
            self._running -= 1

    async def _stream(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        version = self.version
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        breaks_after = None
        if self._rng.random() < self.breaks_share:
            breaks_after = self._rng.randint(first, EVENTS - 1) if first < EVENTS else 0
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            await response.write(f"id: {number}\ndata: {version}\n\n".encode())
            if number == breaks_after:
                assert request.transport is not None
                request.transport.abort()
                raise ConnectionResetError("the run breaks")
        return response


class LogPut:
    """Writes the registrations of endpoints."""

    def __init__(self, log: KeyedLog) -> None:
        self._log = log

    def __call__(self, endpoint: VersionedEndpoint) -> None:
        self._log.put(ENDPOINTS_TOPIC, endpoint.name, endpoint.registration())

    def remove(self, endpoint: VersionedEndpoint) -> None:
        """Write that an endpoint is gone."""
        self._log.put(ENDPOINTS_TOPIC, endpoint.name, b"")


def make_versioned(
    count: int, old: int, seed: int, **attributes: object
) -> list[VersionedEndpoint]:
    """Endpoints of which the first ``old`` run the old version."""
    endpoints = []
    for n in range(count):
        version = OLD if n < old else NEW
        endpoint = VersionedEndpoint(f"i-{n}", version, random.Random(seed + n))
        for name, value in attributes.items():
            setattr(endpoint, name, value)
        endpoints.append(endpoint)
    return endpoints


def fleet_of(
    endpoints: Sequence[VersionedEndpoint],
    gateways: int,
    config: bytes,
    links: Links | None = None,
) -> Fleet:
    """A fleet of gateways before ``endpoints``."""
    return Fleet(
        *endpoints,
        gateways=gateways,
        config=config,
        ready_within_s=15.0,
        links=links,
    )
