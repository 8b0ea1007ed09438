"""A fleet whose endpoints name rate limits, in modelled time.

The real knowledge of limits, leases and placement run with modelled messages.
Endpoints, callers and the membership are models.
"""

import asyncio
import bisect
import math
import random
import time
from collections.abc import Iterable

import attrs

from celerytrack.ids import EndpointId, EntryId
from celerytrack.lab.lease_placement import place
from celerytrack.lab.limit_faults import inject, peer_faults
from celerytrack.lab.limit_scenarios import LimitFault, LimitOutcome, LimitScenario
from celerytrack.lab.peer_fleet import (
    MESSAGE_DELAY_S,
    ModelPeer,
    PeerFleet,
)
from celerytrack.standins.limits import (
    SETTLE_S,
    WINDOW_S,
    allowed_requests,
)

ANSWER_S = (0.02, 0.4)
TOLD_BEFORE_S = 0.5
"""Time after which requests count from an entry that passed on the limit."""
FAULT_S = 4.0
"""When a fault begins, after the limits."""
CUT_S = 8.0
"""How long a third of the entries is cut off."""
ISOLATED_S = 12.0
"""How long it lasts after the others have missed the rows of those cut off."""
WARM_UP_S = 6.0
"""Time before the limits begin, in which the membership settles."""


@attrs.define
class _Endpoint:
    """An endpoint, and what arrived there.

    :ivar told_at_s: when each entry first got an answer that names its limit.
    :ivar told_arrivals_s: the arrivals from entries that had been told before.
    """

    endpoint_id: EndpointId
    is_limited: bool
    arrivals_s: list[float] = attrs.field(factory=list)
    told_arrivals_s: list[float] = attrs.field(factory=list)
    told_at_s: dict[EntryId, float] = attrs.field(factory=dict)

    def record_arrival(self, sender: EntryId, now_s: float) -> None:
        """Record a request that arrived."""
        self.arrivals_s.append(now_s)
        if now_s - self.told_at_s.get(sender, math.inf) >= TOLD_BEFORE_S:
            self.told_arrivals_s.append(now_s)


class LimitFleet:
    """One run of a scenario."""

    def __init__(self, scenario: LimitScenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._outcome = LimitOutcome()
        self._fleet = PeerFleet(peer_faults(scenario.faults), self._rng)
        self._limits_began_s = WARM_UP_S
        self._endpoints = [
            _Endpoint(EndpointId(f"i-{n}"), n < scenario.limited)
            for n in range(scenario.endpoints)
        ]

    async def run(self) -> LimitOutcome:
        """Run the scenario."""
        for number in range(self._scenario.entries):
            self._fleet.start(EntryId(f"e{number}"))
        self._fleet.publish_view()
        await asyncio.sleep(WARM_UP_S)
        self._limits_began_s = time.monotonic()
        for fault in self._scenario.faults:
            self._fleet.spawn(self._inject(fault))
        await self._send_requests()
        self._evaluate(time.monotonic())
        await self._fleet.close()
        return self._outcome

    # -- callers -------------------------------------------------------------------

    async def _send_requests(self) -> None:
        scenario = self._scenario
        rate_per_s = scenario.demand * scenario.limited * max(0.5, scenario.limit_per_s)
        ends_s = time.monotonic() + scenario.lasts_s
        while time.monotonic() < ends_s:
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            entry = self._pick_entry()
            self._outcome.requests += 1
            self._fleet.spawn(self._serve(entry))

    def _pick_entry(self) -> ModelPeer:
        alive = [e for e in self._fleet.entries.values() if e.alive]
        few = alive[: max(1, len(alive) // 10)]
        if self._scenario.uneven and self._rng.random() < 0.9:
            return self._rng.choice(few)
        return self._rng.choice(alive)

    async def _serve(self, entry: ModelPeer) -> None:
        leased = await place(entry, self._endpoints, self._rng)
        if leased is None:
            return
        endpoint = leased.choice
        self._outcome.served += 1
        sent_at_s = time.monotonic()
        await asyncio.sleep(self._rng.uniform(*MESSAGE_DELAY_S))
        endpoint.record_arrival(entry.entry_id, time.monotonic())
        await asyncio.sleep(self._rng.uniform(*ANSWER_S))
        limit_per_s = self._limit_per_s(endpoint)
        now_s = time.monotonic()
        if limit_per_s is not None:
            endpoint.told_at_s.setdefault(entry.entry_id, now_s)
        if self._scenario.reads_limits:
            entry.notices.limits.record_answer(
                endpoint.endpoint_id, 0, limit_per_s, sent_at_s, now_s
            )

    # -- endpoints ---------------------------------------------------------------------

    def _limit_per_s(self, endpoint: _Endpoint) -> float | None:
        if not endpoint.is_limited:
            return None
        limit_per_s = self._scenario.limit_per_s
        if LimitFault.CHANGES in self._scenario.faults:
            return limit_per_s * (1.0 + 0.2 * (int(time.monotonic()) % 2))
        return limit_per_s

    def _evaluate(self, ended_s: float) -> None:
        scenario = self._scenario
        from_s = self._limits_began_s + SETTLE_S
        highest = 1.2 if LimitFault.CHANGES in scenario.faults else 1.0
        allowed = allowed_requests(scenario.limit_per_s * highest)
        rates_per_s = []
        for endpoint in self._endpoints:
            if not endpoint.is_limited:
                continue
            times_s = [t for t in endpoint.arrivals_s if from_s <= t]
            told_s = [t for t in endpoint.told_arrivals_s if from_s <= t]
            worst = worst_window(told_s) / allowed
            self._outcome.worst = max(self._outcome.worst, worst)
            worst_of_all = worst_window(times_s) / allowed
            self._outcome.worst_of_all = max(self._outcome.worst_of_all, worst_of_all)
            rates_per_s.append(len(times_s) / (ended_s - from_s))
        mean_per_s = sum(rates_per_s) / len(rates_per_s)
        self._outcome.used = mean_per_s / scenario.limit_per_s
        self._outcome.messages = self._fleet.messages
        self._outcome.control_bytes_per_s = self._fleet.busiest_bytes_per_s()

    # -- faults ------------------------------------------------------------------------

    async def _inject(self, fault: LimitFault) -> None:
        await asyncio.sleep(FAULT_S)
        await inject(self._fleet, fault, CUT_S, ISOLATED_S, self._scenario.lasts_s)


def worst_window(times_s: Iterable[float]) -> int:
    """Most arrivals in any ``WINDOW_S``."""
    times_s = sorted(times_s)
    return max(
        (bisect.bisect_right(times_s, t + WINDOW_S) - i for i, t in enumerate(times_s)),
        default=0,
    )
