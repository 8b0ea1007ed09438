"""In-process gateways with a stand-in log and scripted endpoints."""

import asyncio
import collections
import contextvars
import json
import pathlib
import random
import socket
import time
import unittest
from collections.abc import Awaitable, Callable

import aiohttp
import yarl
from aiohttp import web

from celerytrack.gateway.server import EntryServer
from celerytrack.gateway.state import Gateway
from celerytrack.membership.members import Member
from celerytrack.platform.rows import decode_member
from celerytrack.platform.settings import ProcessSettings
from celerytrack.platform.store import StoreClient
from celerytrack.platform.topics import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    ENDPOINTS_TOPIC,
    ENTRIES_TOPIC,
)
from tests.keyed_log import KeyedLog
from tests.link_cuts import Links, current_gateway

HOST = "h.example"
KEY = "key-of-t"
SEAL_HEADERS = {"X-Response-Seal": "seal"}

Script = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


# Below the ephemeral ports of other processes' connections.
_PORTS = range(12_000, 32_000)
_rng = random.Random()
_given_ports: set[int] = set()
_CLAIM_HOST = "127.0.0.2"
"""Address at which a test process claims the ports that it has given."""
_claims: collections.deque[socket.socket] = collections.deque()
MAX_CLAIMS = 300


def _claim(port: int) -> bool:
    """Claim a port before other test processes on this machine."""
    claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        claim.bind((_CLAIM_HOST, port))
    except OSError:
        claim.close()
        return False
    _claims.append(claim)
    if len(_claims) > MAX_CLAIMS:
        _claims.popleft().close()
    return True


def free_port() -> int:
    """Find a loopback port that is free for TCP and UDP, a new one each time.

    Its user may listen later: until then no other test process gets it.
    """
    while True:
        port = _rng.choice(_PORTS)
        if port in _given_ports or not _claim(port):
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        _given_ports.add(port)
        return port


async def make_store_client(
    test: unittest.IsolatedAsyncioTestCase, log: KeyedLog
) -> StoreClient:
    """Serve ``log`` until ``test`` ends and return a client of it."""
    runner = web.AppRunner(log.make_app(), shutdown_timeout=0.1)
    await runner.setup()
    test.addAsyncCleanup(runner.cleanup)
    port = free_port()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    client = StoreClient(f"127.0.0.1:{port}")
    test.addAsyncCleanup(client.close)
    return client


def config(
    version: int = 1,
    prepaid: int = 1_000_000,
    idle_routes: int = 0,
    **route: object,
) -> bytes:
    """A configuration with plain, once-only, stream and resumable stream routes.

    :param idle_routes: number of further routes, which get no requests.
    """

    def make(prefix: str, kind: str, **more: object) -> dict[str, object]:
        base = {
            "name": prefix,
            "host": HOST,
            "pathPrefix": prefix,
            "kind": kind,
            "timeoutMs": 2_000,
            "goalMs": 300,
            "maxAttempts": 2,
            "service": "s",
        }
        return {**base, **more, **route}

    routes = [
        make("/plain/", "idempotent"),
        make("/once/", "non_idempotent"),
        make("/stream/", "stream", affinity=True),
        make("/resume/", "stream", affinity=True, streamResume=True),
    ]
    routes += [
        make(f"/idle-{i:05}/", "idempotent", public=False, priority=1, affinity=False)
        for i in range(idle_routes)
    ]
    services = [{"name": "s", "connLimit": 100, "engine": {"slots": 8, "stride": 1}}]
    tenants = [{"name": "t", "apiKeys": [KEY], "prepaid": prepaid}]
    data = {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": tenants,
    }
    return json.dumps(data).encode()


class Endpoint:
    """An endpoint that answers with ``script`` and records its requests."""

    def __init__(self, name: str, script: Script) -> None:
        self.name = name
        self.seen: list[web.BaseRequest] = []
        self.callers: list[tuple[str, int]] = []
        self.cancelled = 0
        self._script = script
        self.port = free_port()

    async def start(self) -> web.ServerRunner:
        server = web.Server(self._handle, handler_cancellation=True)
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", self.port).start()
        return runner

    def registration(self, **fields: object) -> bytes:
        data = {
            "service": "s",
            "address": f"127.0.0.1:{self.port}",
            "zone": "z",
            "slots": 8,
            "state": "ready",
        }
        return json.dumps({**data, **fields}).encode()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.seen.append(request)
        assert request.transport is not None
        self.callers.append(request.transport.get_extra_info("peername"))
        try:
            return await self._script(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


class Fleet:
    """A log, endpoints and gateways on their own loopback ports.

    :param config: configuration in force when the gateways start.
    :param link_bytes_per_s: rate at which answers of the log arrive; 0 for no limit.
    :param ready_within_s: time limit for the start of the gateways.
    :param links: links between gateways and endpoints that can be cut.
    """

    def __init__(
        self,
        *endpoints: Endpoint,
        gateways: int = 1,
        config: bytes = config(),
        link_bytes_per_s: float = 0.0,
        ready_within_s: float = 8.0,
        links: Links | None = None,
    ) -> None:
        self.links = links
        self.log = KeyedLog()
        self.log.link.bytes_per_s = link_bytes_per_s
        self.endpoints = endpoints
        self.count = gateways
        self.config = config
        self.ready_within_s = ready_within_s
        self.gateways: list[Gateway] = []
        self.servers: list[EntryServer] = []
        self.http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        )
        self._store_port = free_port()
        self._tasks: list[asyncio.Task[int]] = []
        self._killed: set[int] = set()
        self._runners: list[web.ServerRunner] = []

    async def __aenter__(self) -> "Fleet":
        runner = web.AppRunner(self.log.make_app(), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", self._store_port).start()
        self._runners.append(runner)
        self.log.put(CONFIG_TOPIC, CONFIG_KEY, self.config)
        for endpoint in self.endpoints:
            self._runners.append(await endpoint.start())
            self.log.put(ENDPOINTS_TOPIC, endpoint.name, endpoint.registration())
        if self.links is not None:
            await self.links.open(self.count, (e.port for e in self.endpoints))
        for i in range(self.count):
            self._start_gateway(i)
        try:
            await self.wait_until(self._all_ready, self.ready_within_s)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    def _all_ready(self) -> bool:
        for i, task in enumerate(self._tasks):
            if task.done() and i not in self._killed:
                raise AssertionError(f"a gateway ended: {task.result()}")
        return all(
            gateway.ready
            for i, gateway in enumerate(self.gateways)
            if i not in self._killed
        )

    async def add_gateway(self) -> None:
        """Start another gateway and wait until it is ready."""
        self._start_gateway(len(self.gateways))
        await self.wait_until(self._all_ready, self.ready_within_s)

    async def restart_gateway(self, i: int) -> None:
        """Kill a gateway, and start it again at once under its addresses as the last
        one of the list."""
        await self.end_gateway(i)
        self._run_gateway(self.gateways[i].settings)
        await self.wait_until(self._all_ready, self.ready_within_s)

    async def start_again(self, numbers: list[int]) -> None:
        """Start killed gateways under their addresses as the last ones of the list."""
        for number in numbers:
            self._run_gateway(self.gateways[number].settings)
        await self.wait_until(self._all_ready, self.ready_within_s)

    @property
    def killed(self) -> frozenset[int]:
        """The numbers of the gateways that were killed."""
        return frozenset(self._killed)

    def _start_gateway(self, i: int) -> None:
        settings = ProcessSettings(
            entry_id=f"e{i}",
            ip="127.0.0.1",
            zone="z",
            front_address=f"127.0.0.1:{free_port()}",
            readiness_address=f"127.0.0.1:{free_port()}",
            directory_address=f"127.0.0.1:{free_port()}",
            peer_address=f"127.0.0.1:{free_port()}",
            metrics_address=f"127.0.0.1:{free_port()}",
            store_address=f"127.0.0.1:{self._store_port}",
            grace_s=8.0,
            retry_ratio=0.2,
            retry_slack=50.0,
            max_ttl_s=5.0,
        )
        self._run_gateway(settings)

    def _run_gateway(self, settings: ProcessSettings) -> None:
        gateway = Gateway(settings, time.monotonic())
        server = EntryServer(gateway, pathlib.Path("unused"))
        self.gateways.append(gateway)
        self.servers.append(server)
        context = contextvars.copy_context()
        context.run(current_gateway.set, len(self.gateways) - 1)
        self._tasks.append(asyncio.create_task(server.run(), context=context))

    async def end_gateway(self, i: int) -> None:
        """End a gateway at once, as if its process were killed."""
        self._killed.add(i)
        self._tasks[i].cancel()
        await self.servers[i].abort()
        await asyncio.gather(self._tasks[i], return_exceptions=True)

    async def __aexit__(self, *exc: object) -> None:
        await self.http.close()
        for task in self._tasks:
            task.cancel()
        for server in self.servers:
            await server.abort()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.links is not None:
            await self.links.close()
        for runner in self._runners:
            await runner.cleanup()

    def ended(self) -> bool:
        """Whether all gateways have ended."""
        return all(task.done() for task in self._tasks)

    def newest_row(self, entry: str) -> Member:
        """Newest row of a gateway on the log."""
        key = f"{entry}@127.0.0.1"
        _, raw = self.log.topic(ENTRIES_TOPIC).newest()[key]
        return decode_member(key, raw)

    async def wait_until(
        self, condition: Callable[[], bool], within_s: float = 8.0
    ) -> None:
        deadline_s = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise AssertionError("the condition was not met in time")
            await asyncio.sleep(0.01)

    async def repeat_until(
        self,
        condition: Callable[[], bool],
        act: Callable[[], Awaitable[object]],
        within_s: float = 30.0,
    ) -> None:
        """Repeat ``act`` until ``condition`` holds."""
        deadline_s = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise AssertionError("the condition was not met in time")
            await act()

    async def ask(
        self,
        path: str,
        request_id: str = "r1",
        method: str = "POST",
        gateway: int = 0,
        body: bytes = b"body",
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send one request; returns status, headers and body."""
        address = self.gateways[gateway].settings.front_address
        async with self.http.request(
            method,
            yarl.URL(f"http://{address}{path}", encoded=True),
            data=body if method == "POST" else None,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            headers={
                "Host": HOST,
                "X-Attempt-Id": request_id,
                "X-Deadline-Ms": "3000",
                "Authorization": f"Bearer {KEY}",
                **{k.replace("_", "-"): v for k, v in headers.items()},
            },
        ) as response:
            return response.status, dict(response.headers), await response.read()
