"""Gateway processes with a stand-in log that is restored from older backups.

The operator and the endpoints write just before each restore, so that the backup lacks
their records. Callers keep connections open, and probes ask each gateway which
configuration is in force.
"""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Coroutine
from typing import Any

import aiohttp
import attrs
from aiohttp import web

from celerytrack.platform.topics import ENDPOINTS_TOPIC
from tests.gateway_fleet import HOST, SEAL_HEADERS, Endpoint, free_port
from tests.gateway_processes import GatewayProcess
from tests.keyed_log import KeyedLog
from tests.version_probe import DEADLINE_MS, PAID_KEY, Operator, VersionProbe

INPUT_TOKENS, OUTPUT_TOKENS = 2_000, 5
LAST_BYTES = (b"done", b"data: t%d\n\n" % OUTPUT_TOKENS)
BACKUP_BEFORE_S = 2.0
WROTE_BEFORE_S = 1.5
"""Time from the writes until the log becomes unavailable; the backup lacks them."""
UNAVAILABLE_S = 0.5
PROBE_S = 0.15
LEAVING_KNOWN_S = 1.2
"""Time within which all gateways read that an endpoint leaves."""
MAX_STOP_S = 8.0
"""The gateways' grace time."""


async def answer(request: web.BaseRequest) -> web.StreamResponse:
    """Answer with a stream on a stream route, else with a plain body."""
    headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
    if not request.path.startswith("/stream/"):
        await asyncio.sleep(0.03)
        return web.Response(body=b"done", headers=headers)
    response = web.StreamResponse(headers=headers)
    response.enable_chunked_encoding()
    await response.prepare(request)
    for i in range(1, OUTPUT_TOKENS + 1):
        await response.write(b"id: %d\ndata: t%d\n\n" % (i, i))
        await asyncio.sleep(0.02)
    return response


LOSS_SLACK_S = 0.2
"""Time after the last byte of a request within which its connection may still close
without an answer (``lossSlackMs``)."""


@attrs.define
class Outcomes:
    """Outcomes of the callers' requests.

    :ivar whole: ids of requests that were answered completely.
    :ivar lost: ids of requests without a complete answer or refusal, with the cause.
    :ivar crossed: those that crossed the close of their connection, and reached no
        endpoint.
    :ivar refused: number of refusals by status.
    """

    whole: set[str] = attrs.field(factory=set)
    lost: dict[str, str] = attrs.field(factory=dict)
    crossed: dict[str, str] = attrs.field(factory=dict)
    refused: dict[int, int] = attrs.field(factory=dict)


class RestoredSite:
    """Gateways, endpoints, callers and a log.

    :param count: number of gateways.
    :param total_tokens: prepaid total of the paid account.
    """

    def __init__(self, count: int, total_tokens: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.log = KeyedLog()
        self.operator = Operator(self.log, total_tokens)
        self.endpoints = [Endpoint(f"i-{i}", answer) for i in range(8)]
        self.gateways: list[GatewayProcess] = []
        self.seen = Outcomes()
        self.exits: list[int | None] = []
        self.traces: list[str] = []
        self._stopped_s: dict[str, float] = {}
        self._asked_s: dict[str, tuple[str, float]] = {}
        self._broken_s: dict[str, float] = {}
        self.left_at: dict[str, int] = {}
        self._count = count
        self._sending = True
        self._ids = 0
        self._sequence = 0
        self.probes: list[VersionProbe] = []
        self._stack = contextlib.AsyncExitStack()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "RestoredSite":
        self.operator.write()
        for endpoint in self.endpoints:
            runner = await endpoint.start()
            self._stack.push_async_callback(runner.cleanup)
            self.register(endpoint)
        port = free_port()
        runner = web.AppRunner(self.log.make_app(), shutdown_timeout=0.1)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", port).start()
        address = f"127.0.0.1:{port}"
        self.gateways = [GatewayProcess(i, address) for i in range(1, self._count + 1)]
        entered = (self._stack.enter_async_context(g) for g in self.gateways)
        await asyncio.gather(*entered)
        return self

    async def __aexit__(self, *exc: object) -> None:
        self.traces = [self._trace(request_id) for request_id in self.seen.lost]
        for request_id in [i for i in self.seen.lost if self._crossed_close(i)]:
            self.seen.crossed[request_id] = self.seen.lost.pop(request_id)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()

    def _crossed_close(self, request_id: str) -> bool:
        """Whether a request was sent as its gateway closed its connections, and reached
        no endpoint."""
        ip, asked_s = self._asked_s[request_id]
        broken_s = self._broken_s.get(request_id, float("inf"))
        stopped_s = self._stopped_s.get(ip, float("inf"))
        in_time = asked_s > stopped_s and broken_s - asked_s < LOSS_SLACK_S
        return in_time and not self._reached(request_id)

    def _reached(self, request_id: str) -> list[str]:
        return [
            e.name
            for e in self.endpoints
            if any(r.headers["X-Attempt-Id"] == request_id for r in e.seen)
        ]

    def _trace(self, request_id: str) -> str:
        """Describe a lost request, to show whether it was sent while its connection was
        being closed: when it was sent, which endpoints received it, and the gateway's
        log lines."""
        ip, asked_s = self._asked_s[request_id]
        stopped_s = self._stopped_s.get(ip)
        after_s = None if stopped_s is None else round(asked_s - stopped_s, 4)
        reached = self._reached(request_id)
        (gateway,) = (g for g in self.gateways if g.ip == ip)
        markers = ("stop_stage", "process_st", f'"{request_id}"')
        lines = gateway.log_path.read_text(errors="replace").splitlines()
        log_lines = [line for line in lines if any(word in line for word in markers)]
        sent = f"{request_id} to {ip}, {after_s} s after its SIGTERM"
        return "\n".join([f"{sent}, reached {reached}", *log_lines])

    def run_in_background(
        self, coro: Coroutine[Any, Any, None]
    ) -> "asyncio.Task[None]":
        """Start ``coro`` as a task that runs until it ends or the site does."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        return task

    def register(self, endpoint: Endpoint, **fields: object) -> None:
        """Have an endpoint write its registration."""
        self._sequence += 1
        record = endpoint.registration(sequence=self._sequence, slots=50, **fields)
        self.log.put(ENDPOINTS_TOPIC, endpoint.name, record)

    # -- events -------------------------------------------------------------

    async def change_and_restore(
        self, round_number: int, rewrite_delay_s: float
    ) -> None:
        """Change the configuration, have one endpoint announce that it leaves, remove
        another one, and restore the log from a backup that lacks all of this."""
        backup = self.log.copy()
        await asyncio.sleep(BACKUP_BEFORE_S - WROTE_BEFORE_S)
        self.operator.write()
        draining, removed = self.endpoints[2 * round_number : 2 * round_number + 2]
        self.register(draining, state="draining")
        self.log.put(ENDPOINTS_TOPIC, removed.name, b"")
        await asyncio.sleep(LEAVING_KNOWN_S)
        self.left_at |= {e.name: len(e.seen) for e in (draining, removed)}
        await asyncio.sleep(WROTE_BEFORE_S - LEAVING_KNOWN_S)
        await self.log.restore_after(backup, UNAVAILABLE_S, rewrite_delay_s)

    async def roll(self, gateways: list[GatewayProcess], apart_s: float) -> None:
        """Do a rolling restart of ``gateways``."""
        stops = []
        for gateway in gateways:
            gateway.signal(signal.SIGTERM)
            self._stopped_s[gateway.ip] = time.monotonic()
            stops.append(self.run_in_background(self._start_again(gateway)))
            await asyncio.sleep(apart_s)
        await asyncio.gather(*stops)

    async def _start_again(self, gateway: GatewayProcess) -> None:
        self.exits.append(await gateway.wait_for_exit(MAX_STOP_S))
        await gateway.start()

    # -- callers ------------------------------------------------------------

    def send_load(self, connections_each: int, pause_s: float) -> None:
        """Start callers with persistent connections, and one probe per gateway."""
        for gateway in self.gateways:
            for _ in range(connections_each):
                self.run_in_background(self._caller(gateway, pause_s))
            self.probes.append(VersionProbe(gateway, self.operator))
            self.run_in_background(self._probe(self.probes[-1]))

    def stop_load(self) -> None:
        """Let callers and probes finish their requests and send no more."""
        self._sending = False

    async def _probe(self, probe: VersionProbe) -> None:
        async with aiohttp.ClientSession() as http:
            while self._sending:
                await probe.ask(http)
                await asyncio.sleep(PROBE_S)

    async def _caller(self, gateway: GatewayProcess, pause_s: float) -> None:
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as http:
            while self._sending:
                await asyncio.sleep(self.rng.expovariate(1 / pause_s))
                self._ids += 1
                await self._request(http, gateway, f"r{self._ids}")

    async def _request(
        self, http: aiohttp.ClientSession, gateway: GatewayProcess, request_id: str
    ) -> None:
        """Send one request; retry it at another gateway after a refusal that promises
        that it did not run."""
        paid = self.rng.random() < 0.6
        path, key = ("/stream/x", PAID_KEY) if paid else ("/once/x", "free")
        for _ in range(3):
            status = await self._ask(http, gateway, path, key, request_id)
            if status not in (429, 503):
                return
            gateway = self.rng.choice(self.gateways)
            await asyncio.sleep(0.1)

    async def _ask(
        self,
        http: aiohttp.ClientSession,
        gateway: GatewayProcess,
        path: str,
        key: str,
        request_id: str,
    ) -> int | None:
        """Send once; returns the status, or 503 if no connection was made."""
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": DEADLINE_MS,
            "Authorization": f"Bearer {key}",
            "X-Token-Count": f"{INPUT_TOKENS},{OUTPUT_TOKENS}",
            "X-Prompt-Prefix": f"{request_id.encode().hex()}:{INPUT_TOKENS}",
        }
        url = f"http://{gateway.front_address}{path}"
        self._asked_s[request_id] = (gateway.ip, time.monotonic())
        try:
            async with http.post(url, data=b"x", headers=headers) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError:
            return 503
        except (aiohttp.ClientError, TimeoutError) as exc:
            self.seen.lost[request_id] = f"{type(exc).__name__} at {gateway.ip}"
            self._broken_s[request_id] = time.monotonic()
            return None
        if response.status == 200 and body.endswith(LAST_BYTES):
            self.seen.whole.add(request_id)
        elif response.status == 200:
            self.seen.lost[request_id] = f"incomplete answer at {gateway.ip}"
        elif response.status in (429, 503, 402):
            self.seen.refused[response.status] = (
                self.seen.refused.get(response.status, 0) + 1
            )
        else:
            self.seen.lost[request_id] = f"{response.status} at {gateway.ip}"
        return response.status
