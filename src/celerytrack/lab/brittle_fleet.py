"""A fleet whose endpoints are brittle, in modelled time.

The real knowledge of limits, leases and placement run with modelled messages.
Endpoints, callers and the membership are models.
"""

import asyncio
import collections
import random
import statistics
import time
from collections.abc import Sequence

import attrs

from celerytrack.ids import EndpointId, EntryId
from celerytrack.lab.lease_placement import place
from celerytrack.lab.limit_faults import inject, peer_faults
from celerytrack.lab.limit_scenarios import LimitFault
from celerytrack.lab.peer_fleet import (
    MESSAGE_DELAY_S,
    ModelPeer,
    PeerFleet,
)
from celerytrack.limits.asks import Lease
from celerytrack.limits.room import LeaseOutcome

FALLS_ALLOWED = 2.0
FALLS_SHARE_ALLOWED = 0.1
WARM_UP_S = 6.0
"""Time before the endpoints say that they are brittle."""
ROOMY_S = 3.0
"""Time from then until their room shrinks."""
LEARNING_S = 3.0
"""Time after the room shrinks from which its use counts."""
LASTS_S = 14.0
"""Time from when the room shrinks to the end."""
FAULT_S = 4.0
"""When a fault begins, after the endpoints say that they are brittle."""
CUT_S = 6.0
USUAL_ROOM = 32
DOWN_S = 3.0
REJECTIONS_S = 1.0
MAX_ATTEMPTS = 2
BURST_FACTOR = 5


@attrs.frozen
class BrittleScenario:
    """One kind of run.

    :ivar bears: rejections a second that an endpoint bears.
    :ivar running: requests that one runs at once once its room is small; one waits.
    :ivar run_range_s: how long a request runs.
    :ivar demand: callers' rate as a multiple of what there is room for.
    :ivar bursts: whether callers come at five times the rate in every second second.
    """

    name: str
    bears: int = 3
    entries: int = 9
    endpoints: int = 12
    running: int = 1
    run_range_s: tuple[float, float] = (0.05, 0.15)
    demand: float = 1.3
    bursts: bool = False
    faults: tuple[LimitFault, ...] = ()

    @property
    def room_per_s(self) -> float:
        """Requests a second for which there is room once it is small."""
        return self.endpoints * self.running / statistics.mean(self.run_range_s)

    @property
    def falls_allowed(self) -> float:
        """Falls of all endpoints that are allowed."""
        return FALLS_ALLOWED + FALLS_SHARE_ALLOWED * self.endpoints

    def demand_per_s(self, second: int) -> float:
        """Rate of the callers in a second."""
        factor = BURST_FACTOR if self.bursts and second % 2 else 1
        return factor * self.demand * self.room_per_s


@attrs.define
class BrittleOutcome:
    """What came of one run.

    :ivar used: answers as a share of those for which there was room and demand.
    :ivar control_bytes_per_s: most bytes a second that one entry sent to others.
    """

    falls: int = 0
    rejections: int = 0
    used: float = 0.0
    requests: int = 0
    messages: int = 0
    control_bytes_per_s: float = 0.0


@attrs.define
class _Endpoint:
    """An endpoint that falls over after too many rejections in a second."""

    endpoint_id: EndpointId
    bears: int
    running: int = USUAL_ROOM
    is_brittle: bool = False
    falls: int = 0
    rejections: int = 0
    answered: int = 0
    _present: int = 0
    _fallen: asyncio.Event = attrs.field(factory=asyncio.Event)
    _slots: asyncio.Condition = attrs.field(factory=asyncio.Condition)
    _busy: int = 0
    _rejected_at_s: collections.deque[float] = attrs.field(factory=collections.deque)

    async def run(self, run_s: float) -> LeaseOutcome:
        """Run a request; it fails if the endpoint has no room or falls over."""
        if self._fallen.is_set():
            return LeaseOutcome.FAILED
        if self._present > self.running:
            self._count_rejection(time.monotonic())
            return LeaseOutcome.FAILED
        falls = self.falls
        self._present += 1
        async with self._slots:
            await self._slots.wait_for(lambda: self._busy < self.running)
            self._busy += 1
        await asyncio.sleep(run_s)
        async with self._slots:
            self._busy -= 1
            self._slots.notify()
        self._present -= 1
        if falls != self.falls:
            return LeaseOutcome.FAILED
        self.answered += 1
        return LeaseOutcome.RAN

    def _count_rejection(self, now_s: float) -> None:
        self.rejections += 1
        self._rejected_at_s.append(now_s)
        while self._rejected_at_s[0] <= now_s - REJECTIONS_S:
            self._rejected_at_s.popleft()
        if self.is_brittle and len(self._rejected_at_s) > self.bears:
            self._rejected_at_s.clear()
            self.falls += 1
            self._fallen.set()
            asyncio.get_running_loop().call_later(DOWN_S, self._fallen.clear)


class BrittleFleet:
    """One run of a scenario."""

    def __init__(self, scenario: BrittleScenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._outcome = BrittleOutcome()
        self._fleet = PeerFleet(peer_faults(scenario.faults), self._rng)
        self._endpoints = [
            _Endpoint(EndpointId(f"i-{n}"), scenario.bears)
            for n in range(scenario.endpoints)
        ]

    async def run(self) -> BrittleOutcome:
        """Run the scenario."""
        for number in range(self._scenario.entries):
            self._fleet.start(EntryId(f"e{number}"))
        self._fleet.publish_view()
        await asyncio.sleep(WARM_UP_S)
        for endpoint in self._endpoints:
            endpoint.is_brittle = True
        for fault in self._scenario.faults:
            self._fleet.spawn(self._inject(fault))
        await self._send_requests(ROOMY_S)
        for endpoint in self._endpoints:
            endpoint.running = self._scenario.running
        await self._send_requests(LEARNING_S)
        for endpoint in self._endpoints:
            endpoint.answered = 0
        most = await self._send_requests(LASTS_S - LEARNING_S)
        self._evaluate(most)
        await self._fleet.close()
        return self._outcome

    async def _send_requests(self, lasts_s: float) -> float:
        """Send the callers' requests; returns for how many there was room."""
        most = 0.0
        for second in range(int(lasts_s)):
            rate_per_s = self._scenario.demand_per_s(second)
            most += min(rate_per_s, self._scenario.room_per_s)
            ends_s = time.monotonic() + 1.0
            while time.monotonic() < ends_s:
                await asyncio.sleep(self._rng.expovariate(rate_per_s))
                alive = [e for e in self._fleet.entries.values() if e.alive]
                self._outcome.requests += 1
                self._fleet.spawn(self._serve(self._rng.choice(alive)))
        return most

    async def _serve(self, entry: ModelPeer) -> None:
        asks = entry.notices.limits.asks
        for _ in range(MAX_ATTEMPTS):
            leased = await place(entry, self._endpoints, self._rng)
            if leased is None:
                return
            outcome = await self._attempt(entry, leased.choice)
            if entry.alive:
                asks.end(leased.lease or Lease(leased.choice.endpoint_id), outcome)
            if outcome is LeaseOutcome.RAN:
                return

    async def _attempt(self, entry: ModelPeer, endpoint: _Endpoint) -> LeaseOutcome:
        sent_at_s = time.monotonic()
        await asyncio.sleep(self._rng.uniform(*MESSAGE_DELAY_S))
        rejections = endpoint.rejections
        run_s = self._rng.uniform(*self._scenario.run_range_s)
        outcome = await endpoint.run(run_s)
        rejected = outcome is LeaseOutcome.FAILED and endpoint.rejections > rejections
        await asyncio.sleep(self._rng.uniform(*MESSAGE_DELAY_S))
        if entry.alive and (rejected or outcome is LeaseOutcome.RAN):
            bears = float(endpoint.bears) if endpoint.is_brittle else None
            entry.notices.limits.record_answer(
                endpoint.endpoint_id,
                0,
                None,
                sent_at_s,
                time.monotonic(),
                bears,
                rejected,
            )
        return outcome

    def _evaluate(self, most: float) -> None:
        outcome = self._outcome
        outcome.falls = sum(e.falls for e in self._endpoints)
        outcome.rejections = sum(e.rejections for e in self._endpoints)
        outcome.used = sum(e.answered for e in self._endpoints) / most
        outcome.messages = self._fleet.messages
        outcome.control_bytes_per_s = self._fleet.busiest_bytes_per_s()

    async def _inject(self, fault: LimitFault) -> None:
        await asyncio.sleep(FAULT_S)
        await inject(self._fleet, fault, CUT_S, CUT_S, LASTS_S)


def summary(
    scenario: BrittleScenario, outcomes: Sequence[BrittleOutcome]
) -> dict[str, object]:
    """One row of a table: the figures of all runs of a scenario."""
    requests = sum(o.requests for o in outcomes)
    return {
        "scenario": scenario.name,
        "entries": scenario.entries,
        "runs": len(outcomes),
        "falls_most": max(o.falls for o in outcomes),
        "falls_mean": round(statistics.mean(o.falls for o in outcomes), 2),
        "broken_runs": sum(o.falls > scenario.falls_allowed for o in outcomes),
        "rejections_mean": round(statistics.mean(o.rejections for o in outcomes), 1),
        "used_share": round(statistics.mean(o.used for o in outcomes), 3),
        "used_least": round(min(o.used for o in outcomes), 3),
        "messages_per_request": round(
            sum(o.messages for o in outcomes) / max(1, requests), 2
        ),
        "control_kb_per_s": round(
            max(o.control_bytes_per_s for o in outcomes) / 1_000, 2
        ),
    }
