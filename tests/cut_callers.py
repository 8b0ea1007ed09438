"""Callers of gateways of which some are cut off from all endpoints."""

import asyncio
import itertools
import random
import time
from collections.abc import Collection, Sequence

import aiohttp
import attrs
from aiohttp import web

from celerytrack.gateway.state import Gateway
from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet
from tests.link_cuts import Links

KNOWN_AFTER_S = 3.0
"""Time after the begin of a cut from which its callers count."""
FAILED_ALLOWED = 10
FAILED_SHARE_ALLOWED = 0.02
LEAST_RATIO = 2 / 3
PATHS = ("/plain/x", "/once/x", "/stream/x", "/resume/x", "/plain/y")


@attrs.frozen
class Call:
    """One request of a caller, and its first answer.

    :ivar status: 0 if the connection broke.
    """

    gateway: int
    path: str
    sent_s: float
    took_s: float
    status: int

    @property
    def served(self) -> bool:
        return self.status == 200


@attrs.frozen
class Served:
    """How often the first tries at some gateways were served."""

    calls: int
    failed: int

    @classmethod
    def of(cls, calls: Collection[Call]) -> "Served":
        return cls(len(calls), sum(not call.served for call in calls))

    @property
    def share(self) -> float:
        return 1 - self.failed / self.calls if self.calls else 1.0


def make_working(count: int, work_s: float = 0.03) -> list[Endpoint]:
    """Endpoints that answer after ``work_s``; streams have five events."""

    async def run(request: web.BaseRequest) -> web.StreamResponse:
        echo = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
        if request.path.split("/")[1] not in ("stream", "resume"):
            await asyncio.sleep(work_s)
            return web.Response(body=b"good", headers=echo)
        response = web.StreamResponse(headers=echo)
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, 6):
            await asyncio.sleep(work_s / 5)
            await response.write(f"id: {number}\ndata: t{number}\n\n".encode())
        return response

    return [Endpoint(f"i-{n}", run) for n in range(count)]


@attrs.define
class CutCallers:
    """Open-loop callers of a fleet's gateways, each of which keeps to its gateway.

    :ivar begun_s: when the current play began.
    :ivar worst_lag_s: longest time by which the event loop was late.
    """

    fleet: Fleet
    rng: random.Random
    paths: Sequence[str] = PATHS
    same_body: float = 0.0
    calls: list[Call] = attrs.field(factory=list)
    worst_lag_s: float = 0.0
    begun_s: float = 0.0
    _ids: "itertools.count[int]" = attrs.field(factory=itertools.count)

    async def play(self, rate_per_s: float, lasts_s: float) -> None:
        """Send requests at a mean rate, then wait for all answers."""
        self.begun_s = time.monotonic()
        ends_s = self.begun_s + lasts_s
        tasks = []
        while time.monotonic() < ends_s:
            gateway = self.rng.randrange(len(self.fleet.gateways))
            path = self.rng.choice(self.paths)
            tasks.append(asyncio.create_task(self.ask(gateway, path)))
            pause_s = self.rng.expovariate(rate_per_s)
            due_s = time.monotonic() + pause_s
            await asyncio.sleep(pause_s)
            self.worst_lag_s = max(self.worst_lag_s, time.monotonic() - due_s)
        await asyncio.gather(*tasks)

    async def ask(self, gateway: int, path: str = "/plain/x") -> int:
        """Send one request, without another try."""
        number = next(self._ids)
        same = self.rng.random() < self.same_body
        body = b"same" if same else f"body {number}".encode()
        sent_s = time.monotonic()
        try:
            status, _, _ = await self.fleet.ask(
                path, f"{gateway}-{number}", gateway=gateway, body=body
            )
        except aiohttp.ClientError:
            status = 0
        took_s = time.monotonic() - sent_s
        self.calls.append(Call(gateway, path, sent_s, took_s, status))
        return status

    def counted(self, gateways: Collection[int], from_s: float) -> list[Call]:
        """The calls at some gateways from a time of the play on."""
        return [
            call
            for call in self.calls
            if call.gateway in gateways and call.sent_s >= self.begun_s + from_s
        ]


def is_served_alike(cut: Served, others: Served) -> bool:
    """Whether callers of cut entries are served about as well as the others."""
    allowed = FAILED_ALLOWED + FAILED_SHARE_ALLOWED * cut.calls
    return cut.failed <= allowed or cut.share >= LEAST_RATIO * others.share


def cut_fleet(
    endpoints: Sequence[Endpoint], gateways: int, **more: object
) -> tuple[Fleet, Links]:
    """A fleet whose links can be cut."""
    links = Links()
    return Fleet(*endpoints, gateways=gateways, links=links, **more), links  # type: ignore[arg-type]


def ended_endpoints(gateways: Collection[Gateway]) -> float:
    """How many endpoints these gateways said to have ended."""
    return sum(gateway.telemetry.endpoints_ended._value.get() for gateway in gateways)
