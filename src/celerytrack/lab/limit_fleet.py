"""A fleet whose endpoints name rate limits, in modelled time.

The real knowledge of limits, leases and placement run with modelled messages.
Endpoints, callers and the membership are models.
"""

import asyncio
import bisect
import math
import random
import time
from collections import Counter
from collections.abc import Collection, Coroutine, Iterable
from typing import Any

import attrs

from celerytrack.ids import EndpointId, EntryId
from celerytrack.lab.limit_scenarios import LimitFault, LimitOutcome, LimitScenario
from celerytrack.limits.leases import LeaseDenied
from celerytrack.limits.placement import Candidate, LeasePlacer
from celerytrack.limits.sync import LimitSync
from celerytrack.notices.messages import (
    LeavingNews,
    NoticeMessage,
    encode_notice_message,
)
from celerytrack.notices.owners import Peer
from celerytrack.notices.sync import NoticeSync
from celerytrack.standins.limits import (
    SETTLE_S,
    WINDOW_S,
    allowed_requests,
)

MESSAGE_DELAY_S = (0.0005, 0.003)
MESSAGE_LOSS_SHARE = 0.01
"""Share of messages that are lost without a fault."""
DATAGRAM_OVERHEAD_BYTES = 28
ANSWER_S = (0.02, 0.4)
MAX_WAIT_S = 0.3
"""Time for which a request may wait for a lease."""
VIEW_LAG_S = (0.05, 0.5)
LATE_VIEW_LAG_S = (0.5, 4.0)
SILENCE_S = 3.5
"""Time until a killed entry counts as silent."""
DOWN_S = 3.0
TOLD_BEFORE_S = 0.5
"""Time after which requests count from an entry that passed on the limit."""
WARM_UP_S = 6.0
"""Time before the limits begin, in which the membership settles."""


@attrs.define
class _Entry:
    """A modelled entry process."""

    entry_id: EntryId
    sync: LimitSync
    view_lag_s: float
    cut_off: bool = False
    alive: bool = True
    task: asyncio.Task[None] | None = None
    sent_bytes: Counter[int] = attrs.field(factory=Counter)


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
        self._views: list[tuple[float, tuple[Peer, ...]]] = []
        self._entries: dict[EntryId, _Entry] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._limits_began_s = WARM_UP_S
        self._endpoints = [
            _Endpoint(EndpointId(f"i-{n}"), n < scenario.limited)
            for n in range(scenario.endpoints)
        ]

    async def run(self) -> LimitOutcome:
        """Run the scenario."""
        for number in range(self._scenario.entries):
            self._start(EntryId(f"e{number}"))
        self._publish_view()
        await asyncio.sleep(WARM_UP_S)
        self._limits_began_s = time.monotonic()
        for fault in self._scenario.faults:
            self._spawn(self._inject(fault))
        await self._send_requests()
        self._evaluate(time.monotonic())
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return self._outcome

    def _spawn(self, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # -- entries and their membership ---------------------------------------------

    def _start(self, entry_id: EntryId) -> None:
        late = LimitFault.LATE_ROWS in self._scenario.faults
        lag_s = self._rng.uniform(*(LATE_VIEW_LAG_S if late else VIEW_LAG_S))
        notices = NoticeSync(
            entry_id,
            entry_id,
            lambda address, message: self._deliver(entry_id, address, message),
            lambda now_s: self._live_peers(entry_id, now_s),
            time.monotonic(),
            self._rng,
        )
        entry = _Entry(entry_id, notices.limits, lag_s)
        entry.task = self._spawn(notices.run())
        self._entries[entry_id] = entry

    def _publish_view(self) -> None:
        alive = (e.entry_id for e in self._entries.values() if e.alive)
        peers = tuple(Peer(entry_id, entry_id) for entry_id in alive)
        self._views.append((time.monotonic(), peers))

    def _live_peers(self, entry_id: EntryId, now_s: float) -> Iterable[Peer]:
        entry = self._entries.get(entry_id)
        lag_s = entry.view_lag_s if entry else 0.0
        index = bisect.bisect_right(
            self._views, now_s - lag_s, key=lambda view: view[0]
        )
        peers = self._views[max(0, index - 1)][1] if self._views else ()
        return [peer for peer in peers if peer.entry_id != entry_id]

    def _deliver(self, sender: EntryId, address: str, message: NoticeMessage) -> None:
        source = self._entries[sender]
        size = len(encode_notice_message(message)) + DATAGRAM_OVERHEAD_BYTES
        source.sent_bytes[int(time.monotonic())] += size
        self._outcome.messages += 1
        target = self._entries.get(EntryId(address))
        if target is None or self._is_lost(source, target):
            return
        delay_s = self._rng.uniform(*MESSAGE_DELAY_S)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._receive, target, message)

    def _receive(self, target: _Entry, message: NoticeMessage) -> None:
        if target.alive and not isinstance(message, LeavingNews):
            target.sync.receive(message)

    def _is_lost(self, source: _Entry, target: _Entry) -> bool:
        faults = self._scenario.faults
        if LimitFault.NO_MESSAGES in faults or source.cut_off is not target.cut_off:
            return True
        many = LimitFault.MESSAGES_LOST in faults
        return self._rng.random() < (1 / 3 if many else MESSAGE_LOSS_SHARE)

    # -- callers -------------------------------------------------------------------

    async def _send_requests(self) -> None:
        scenario = self._scenario
        rate_per_s = scenario.demand * scenario.limited * max(0.5, scenario.limit_per_s)
        ends_s = time.monotonic() + scenario.lasts_s
        while time.monotonic() < ends_s:
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            entry = self._pick_entry()
            self._outcome.requests += 1
            self._spawn(self._serve(entry))

    def _pick_entry(self) -> _Entry:
        alive = [e for e in self._entries.values() if e.alive]
        few = alive[: max(1, len(alive) // 10)]
        if self._scenario.uneven and self._rng.random() < 0.9:
            return self._rng.choice(few)
        return self._rng.choice(alive)

    async def _serve(self, entry: _Entry) -> None:
        endpoint = await self._place(entry)
        if endpoint is None:
            return
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
            entry.sync.record_answer(
                endpoint.endpoint_id, 0, limit_per_s, sent_at_s, now_s
            )

    async def _place(self, entry: _Entry) -> _Endpoint | None:
        def choose(
            excluded: Collection[EndpointId],
        ) -> Candidate[_Endpoint] | None:
            allowed = [e for e in self._endpoints if e.endpoint_id not in excluded]
            if not allowed:
                return None
            endpoint = self._rng.choice(allowed)
            return Candidate(endpoint.endpoint_id, endpoint)

        if not entry.sync.tracker:
            return self._rng.choice(self._endpoints)
        placer = LeasePlacer[_Endpoint](entry.sync, 0, lambda endpoint: True, [])
        leased = await placer.lease_best(choose)
        if leased is not None:
            return leased.choice
        limited = [
            Candidate(e.endpoint_id, e, MAX_WAIT_S)
            for e in self._endpoints
            if e.is_limited
        ]
        waited = await placer.lease_in_time(limited, self._rng)
        return None if isinstance(waited, LeaseDenied) else waited.choice

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
        self._outcome.control_bytes_per_s = max(
            max(entry.sent_bytes.values(), default=0)
            for entry in self._entries.values()
        )

    # -- faults ------------------------------------------------------------------------

    async def _inject(self, fault: LimitFault) -> None:
        await asyncio.sleep(4.0)
        match fault:
            case LimitFault.THIRD_CUT:
                await self._cut_a_third()
            case LimitFault.STOPS:
                await self._restart_in_turn(planned=True)
            case LimitFault.KILLS:
                await self._restart_in_turn(planned=False)
            case LimitFault.ADDED:
                for number in range(max(1, self._scenario.entries // 3)):
                    self._start(EntryId(f"new{number}"))
                self._publish_view()

    async def _cut_a_third(self) -> None:
        for entry in list(self._entries.values())[::3]:
            entry.cut_off = True
        await asyncio.sleep(8.0)
        for entry in self._entries.values():
            entry.cut_off = False

    async def _restart_in_turn(self, planned: bool) -> None:
        for entry in list(self._entries.values()):
            self._spawn(self._restart(entry, planned))
            await asyncio.sleep(self._scenario.lasts_s / self._scenario.entries)

    async def _restart(self, entry: _Entry, planned: bool) -> None:
        entry.alive = False
        if planned:
            self._publish_view()
            entry.sync.begin_leaving()
            entry.alive = True
            await asyncio.sleep(1.0)
            entry.alive = False
        if entry.task is not None:
            entry.task.cancel()
        await asyncio.sleep(DOWN_S if planned else SILENCE_S)
        if not planned:
            self._publish_view()
        self._start(entry.entry_id)
        self._publish_view()


def worst_window(times_s: Iterable[float]) -> int:
    """Most arrivals in any ``WINDOW_S``."""
    times_s = sorted(times_s)
    return max(
        (bisect.bisect_right(times_s, t + WINDOW_S) - i for i, t in enumerate(times_s)),
        default=0,
    )
