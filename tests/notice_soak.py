"""A fleet whose endpoints, log, messages and gateways change in overlapping series.

Callers keep sending on open connections, also to gateways that stop, until these are
gone.
"""

import asyncio
import random
import time

import aiohttp
import attrs

from celerytrack.platform.topics import ENDPOINTS_TOPIC
from tests.gateway_fleet import Fleet
from tests.noticing_endpoints import NoticeCallers, NoticingEndpoint, fleet_of

ENDPOINTS = 8
GATEWAYS = 4
LASTS_S = 16.0
RATE_PER_S = 40.0
DRAIN_S = 3.0
"""How long an endpoint that leaves goes on serving."""


@attrs.define
class Soaked:
    """What came of one run.

    :ivar lost: requests without an answer at a gateway that had not stopped.
    """

    late: int
    worst_backoff: int
    backoffs: int
    leavings: int
    statuses: dict[int, int]
    lost: list[str]


@attrs.define
class NoticeSoak:
    """One run with one seed."""

    rng: random.Random
    fleet: Fleet = attrs.field(init=False)
    endpoints: list[NoticingEndpoint] = attrs.field(factory=list)
    stopped: set[int] = attrs.field(factory=set)
    known: set[int] = attrs.field(factory=set)
    lost: list[str] = attrs.field(factory=list)

    async def run(self) -> Soaked:
        """Play the run."""
        self.endpoints = [self._make(number) for number in range(ENDPOINTS)]
        self.fleet = fleet_of(self.endpoints, GATEWAYS)
        async with self.fleet:
            callers = NoticeCallers(self.fleet, self.rng)
            changes = [
                asyncio.create_task(series())
                for series in (
                    self._leave_in_series,
                    self._reject_in_series,
                    self._lose_the_log,
                    self._lose_messages,
                    self._replace_gateways,
                )
            ]
            await self._call(callers)
            for change in changes:
                change.cancel()
            await asyncio.gather(*changes, return_exceptions=True)
        return Soaked(
            late=callers.late_at_leaving(self.endpoints),
            worst_backoff=max(e.most_during_backoff() for e in self.endpoints),
            backoffs=sum(len(e.backoffs) for e in self.endpoints),
            leavings=len(callers.told_at_s),
            statuses=dict(callers.by_status),
            lost=self.lost,
        )

    def _make(self, number: int) -> NoticingEndpoint:
        return NoticingEndpoint(f"i-{number}", random.Random(self.rng.random()))

    # -- callers -------------------------------------------------------------------

    async def _call(self, callers: NoticeCallers) -> None:
        ends_s = time.monotonic() + LASTS_S
        tasks = []
        while time.monotonic() < ends_s:
            gateway = self.rng.choice(self._known_gateways())
            tasks.append(asyncio.create_task(self._ask(callers, gateway)))
            await asyncio.sleep(self.rng.expovariate(RATE_PER_S))
        await asyncio.gather(*tasks)

    def _known_gateways(self) -> list[int]:
        """The gateways whose address callers have: those that have been ready."""
        for number, gateway in enumerate(self.fleet.gateways):
            if gateway.ready:
                self.known.add(number)
        return sorted(self.known)

    async def _ask(self, callers: NoticeCallers, gateway: int) -> None:
        path = self.rng.choice(("/plain/x", "/once/x"))
        try:
            await callers.ask(path, gateway)
        except (aiohttp.ClientError, OSError) as exc:
            if gateway not in self.stopped:
                ready = self.fleet.gateways[gateway].ready
                self.lost.append(f"{path} at {gateway}, ready {ready}: {exc!r}")

    # -- changes -------------------------------------------------------------------

    async def _leave_in_series(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            serving = [e for e in self.endpoints if e.leaving is None]
            if len(serving) > 3:
                asyncio.create_task(self._leave(self.rng.choice(serving)))

    async def _leave(self, endpoint: NoticingEndpoint) -> None:
        endpoint.leaving = "1"
        record = endpoint.endpoint.registration(sequence=2)
        await asyncio.sleep(self.rng.uniform(0.0, DRAIN_S))
        self.fleet.log.put(ENDPOINTS_TOPIC, endpoint.name, record)
        follower = self._make(len(self.endpoints))
        self.endpoints.append(follower)
        self.fleet._runners.append(await follower.endpoint.start())
        record = follower.endpoint.registration()
        self.fleet.log.put(ENDPOINTS_TOPIC, follower.name, record)
        await asyncio.sleep(DRAIN_S)
        record = endpoint.endpoint.registration(state="draining", sequence=3)
        self.fleet.log.put(ENDPOINTS_TOPIC, endpoint.name, record)

    async def _reject_in_series(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            endpoint = self.rng.choice(self.endpoints)
            endpoint.rejects_share = self.rng.choice((0.2, 0.6, 1.0))
            endpoint.retry_after = self.rng.choice(("0.4", "1", "2", "3.5"))
            loop = asyncio.get_running_loop()
            loop.call_later(self.rng.uniform(0.5, 3.0), self._accept, endpoint)

    @staticmethod
    def _accept(endpoint: NoticingEndpoint) -> None:
        endpoint.rejects_share = 0.0

    async def _lose_the_log(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(2.0, 5.0))
            self.fleet.log.down = True
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            self.fleet.log.down = False

    async def _lose_messages(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(1.0, 4.0))
            messenger = self.rng.choice(self.fleet.gateways).peer_messenger
            messenger.send = lambda addresses, data: None  # type: ignore[method-assign]
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            del messenger.send

    async def _replace_gateways(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(2.0, 6.0))
            running = set(range(len(self.fleet.gateways))) - self.stopped
            if len(running) > 2:
                number = self.rng.choice(sorted(running))
                self.stopped.add(number)
                self.fleet.servers[number].stop()
            self.fleet._start_gateway(len(self.fleet.gateways))
