"""Endpoints that say that they leave or ask for a backoff, and callers of a fleet."""

import asyncio
import itertools
import random
import time
from collections import Counter, defaultdict
from collections.abc import Sequence

import attrs
from aiohttp import web

from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet

LEAVING_HEADER = "Server-Leaving"
WORK_S = 0.03
DRAIN_S = 2.0
"""Time after the first answer that says so from which an endpoint gets nothing more."""
BACKOFF_SLACK_S = 0.5
"""Part of a backoff in which requests on their way may still arrive."""
MAX_DURING_BACKOFF = 2
"""Most requests of one entry that may arrive in the rest of a backoff."""


@attrs.frozen
class _Backoff:
    gateway: int
    asked_at_s: float
    ends_at_s: float


class NoticingEndpoint:
    """An endpoint that leaves, or turns some requests away and asks for a backoff.

    :ivar leaving: value of the header that says that it leaves; ``None`` for none.
    :ivar retry_after: value of ``Retry-After`` of the requests that it turns away.
    :ivar rejects_share: share of the requests that it turns away.
    :ivar arrivals_s: when requests arrived, by the gateway that sent them.
    """

    def __init__(self, name: str, rng: random.Random) -> None:
        self.leaving: str | None = None
        self.retry_after: str | None = None
        self.rejects_share = 0.0
        self.arrivals_s: dict[int, list[float]] = defaultdict(list)
        self.request_ids: list[str] = []
        self.backoffs: list[_Backoff] = []
        self.endpoint = Endpoint(name, self._run)
        self._rng = rng

    @property
    def name(self) -> str:
        return self.endpoint.name

    @property
    def arrivals(self) -> int:
        """Number of requests that arrived."""
        return sum(map(len, self.arrivals_s.values()))

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        now_s = time.monotonic()
        request_id = request.headers["X-Attempt-Id"]
        gateway = gateway_of(request_id)
        self.arrivals_s[gateway].append(now_s)
        self.request_ids.append(request_id)
        headers = {"X-Attempt-Id": request_id, "X-Endpoint": self.name}
        if self.leaving is not None:
            headers[LEAVING_HEADER] = self.leaving
        if self._rng.random() < self.rejects_share:
            return self._reject(gateway, headers, now_s)
        await asyncio.sleep(WORK_S)
        return web.Response(body=b"good", headers={**headers, **SEAL_HEADERS})

    def _reject(
        self, gateway: int, headers: dict[str, str], now_s: float
    ) -> web.Response:
        headers["X-Not-Executed"] = "1"
        if self.retry_after is not None:
            headers["Retry-After"] = self.retry_after
            ends_at_s = now_s + float(self.retry_after)
            self.backoffs.append(_Backoff(gateway, now_s, ends_at_s))
        return web.Response(status=503, headers=headers)

    def most_during_backoff(self) -> int:
        """Most requests of one gateway in the part of a backoff that counts."""
        counts = (
            sum(
                backoff.asked_at_s + BACKOFF_SLACK_S < at_s < backoff.ends_at_s
                for at_s in self.arrivals_s[backoff.gateway]
            )
            for backoff in self.backoffs
        )
        return max(counts, default=0)


def gateway_of(request_id: str) -> int:
    """The gateway to which a request with this id was sent."""
    return int(request_id.split("-")[0])


@attrs.define
class NoticeCallers:
    """Open-loop callers of the gateways of a fleet.

    :ivar sent_at_s: when each request was sent.
    :ivar told_at_s: when a gateway first passed on that an endpoint leaves.
    :ivar worst_lag_s: longest time by which the event loop, which all gateways share,
        was late.
    """

    fleet: Fleet
    rng: random.Random
    by_status: Counter[int] = attrs.field(factory=Counter)
    sent_at_s: dict[str, float] = attrs.field(factory=dict)
    told_at_s: dict[tuple[int, str], float] = attrs.field(factory=dict)
    retry_after_s: list[float] = attrs.field(factory=list)
    slowest_refusal_s: float = 0.0
    worst_lag_s: float = 0.0
    _ids: "itertools.count[int]" = attrs.field(factory=itertools.count)

    async def play(
        self, rate_per_s: float, lasts_s: float, path: str = "/plain/x"
    ) -> None:
        """Send requests at a mean rate, then wait for all answers."""
        ends_s = time.monotonic() + lasts_s
        tasks = []
        while time.monotonic() < ends_s:
            tasks.append(asyncio.create_task(self.ask(path)))
            pause_s = self.rng.expovariate(rate_per_s)
            due_s = time.monotonic() + pause_s
            await asyncio.sleep(pause_s)
            self.worst_lag_s = max(self.worst_lag_s, time.monotonic() - due_s)
        await asyncio.gather(*tasks)

    async def ask(
        self, path: str = "/plain/x", gateway: int | None = None, **headers: str
    ) -> int:
        """Send one request, to a random gateway unless one is given."""
        if gateway is None:
            gateway = self.rng.randrange(len(self.fleet.gateways))
        request_id = f"{gateway}-{next(self._ids)}"
        sent_at_s = self.sent_at_s[request_id] = time.monotonic()
        status, got, _ = await self.fleet.ask(
            path, request_id, gateway=gateway, **headers
        )
        now_s = time.monotonic()
        self.by_status[status] += 1
        if got.get(LEAVING_HEADER) == "1":
            self.told_at_s.setdefault((gateway, got["X-Endpoint"]), now_s)
        if status == 503:
            self.slowest_refusal_s = max(self.slowest_refusal_s, now_s - sent_at_s)
            self.retry_after_s.append(float(got["Retry-After"]))
        return status

    def late_at_leaving(self, endpoints: Sequence[NoticingEndpoint]) -> int:
        """Requests sent later than allowed after the gateway had passed the word on."""
        return sum(
            self.sent_at_s[request_id]
            > self.told_at_s.get((gateway_of(request_id), endpoint.name), float("inf"))
            + DRAIN_S
            for endpoint in endpoints
            for request_id in endpoint.request_ids
        )


def make_noticing(count: int, seed: int) -> list[NoticingEndpoint]:
    """Make endpoints that say nothing of themselves yet."""
    return [NoticingEndpoint(f"i-{n}", random.Random(seed + n)) for n in range(count)]


def fleet_of(endpoints: Sequence[NoticingEndpoint], gateways: int) -> Fleet:
    """A fleet of gateways before ``endpoints``."""
    return Fleet(*(e.endpoint for e in endpoints), gateways=gateways)
