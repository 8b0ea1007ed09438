"""Endpoints that name a rate limit in their answers, and callers of a fleet."""

import asyncio
import itertools
import random
import time
from collections import Counter
from collections.abc import Sequence

import attrs
from aiohttp import web

from celerytrack.lab.limit_fleet import worst_window
from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet

LIMIT_HEADER = "Server-Limit"
WORK_S = 0.05


class LimitedEndpoint:
    """An endpoint that names ``limit`` in each answer, while it is set.

    :ivar limit: value of the header; ``None`` for none.
    :ivar arrivals_s: when requests arrived.
    """

    def __init__(self, name: str, limit: str | None = None) -> None:
        self.limit = limit
        self.arrivals_s: list[float] = []
        self.endpoint = Endpoint(name, self._run)

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        self.arrivals_s.append(time.monotonic())
        headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
        await asyncio.sleep(WORK_S)
        if self.limit is not None:
            headers[LIMIT_HEADER] = self.limit
        return web.Response(body=b"good", headers=headers)

    def worst(self, from_s: float, until_s: float) -> int:
        """Most arrivals in a window between two times."""
        return worst_window(t for t in self.arrivals_s if from_s <= t <= until_s)

    def rate_per_s(self, from_s: float, until_s: float) -> float:
        """Mean rate of arrivals between two times."""
        count = sum(from_s <= t <= until_s for t in self.arrivals_s)
        return count / (until_s - from_s)


@attrs.define
class Callers:
    """Open-loop callers of the gateways of a fleet.

    :ivar weights: share of the callers at each gateway; equal if empty.
    :ivar by_status: number of answers by status.
    :ivar slowest_refusal_s: longest time until a refusal.
    :ivar retry_after_s: ``Retry-After`` of the refusals.
    """

    fleet: Fleet
    rng: random.Random
    weights: Sequence[float] = ()
    by_status: Counter[int] = attrs.field(factory=Counter)
    slowest_refusal_s: float = 0.0
    retry_after_s: list[float] = attrs.field(factory=list)
    _ids: "itertools.count[int]" = attrs.field(factory=itertools.count)

    async def play(
        self, rate_per_s: float, lasts_s: float, path: str = "/plain/x"
    ) -> None:
        """Send requests at a mean rate, then wait for all answers."""
        ends_s = time.monotonic() + lasts_s
        tasks = []
        while time.monotonic() < ends_s:
            tasks.append(asyncio.create_task(self._ask(path)))
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
        await asyncio.gather(*tasks)

    async def _ask(self, path: str) -> None:
        count = len(self.fleet.gateways)
        weights = self.weights or [1.0] * count
        (gateway,) = self.rng.choices(range(count), weights)
        began_s = time.monotonic()
        status, headers, _ = await self.fleet.ask(
            path, f"r{next(self._ids)}", gateway=gateway
        )
        self.by_status[status] += 1
        if status in (429, 503):
            took_s = time.monotonic() - began_s
            self.slowest_refusal_s = max(self.slowest_refusal_s, took_s)
            self.retry_after_s.append(float(headers["Retry-After"]))


def make_endpoints(count: int, limited: int, limit: str) -> list[LimitedEndpoint]:
    """Make ``count`` endpoints, of which the first ``limited`` name ``limit``."""
    return [
        LimitedEndpoint(f"i-{n}", limit if n < limited else None) for n in range(count)
    ]


def fleet_of(endpoints: Sequence[LimitedEndpoint], gateways: int) -> Fleet:
    """A fleet of gateways before ``endpoints``."""
    return Fleet(*(e.endpoint for e in endpoints), gateways=gateways)
