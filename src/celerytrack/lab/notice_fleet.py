"""A fleet whose endpoints leave or ask for backoffs, in modelled time.

The real choice of endpoints, and what entries keep and tell of endpoints' words, run
with modelled messages. Endpoints, callers, the log and the membership are models.
"""

import asyncio
import itertools
import math
import random
import time
from collections import defaultdict
from collections.abc import Collection, Mapping

import attrs

from celerytrack.ids import EndpointId, EntryId, RequestId, ServiceName, Zone
from celerytrack.lab.notice_scenarios import (
    Mechanism,
    NoticeFault,
    NoticeOutcome,
    NoticeScenario,
)
from celerytrack.lab.peer_fleet import (
    MESSAGE_DELAY_S,
    MESSAGE_LOSS_SHARE,
    ModelPeer,
    PeerFaults,
    PeerFleet,
)
from celerytrack.notices.answer import AnswerNotices
from celerytrack.notices.waiting import OpeningQueue
from celerytrack.routing.endpoint import Choice, Registration, RequestProfile
from celerytrack.routing.endpoints import EndpointPool
from celerytrack.standins.notices import (
    BACKOFF_SLACK_S,
    LEAVING_SETTLE_S,
    MAX_DURING_BACKOFF,
)

SLOTS = 8
WORK_S = (0.02, 0.06)
"""Time that a request takes at an endpoint with a free slot."""
TARGET_S = 0.3
"""Time within which an answer is in time."""
MAX_ATTEMPTS = 2
LOG_LAG_S = (0.05, 0.7)
"""Time until an entry reads a record of the log."""
LOG_AWAY_S = 20.0
DRAIN_S = 2.5
"""How long an endpoint serves after the log has accepted that it leaves."""
REPLACED_S = 1.0
"""Time until another endpoint follows one that leaves."""
EPISODE_S = 8.0
"""How long an endpoint turns requests away."""
BEGINS_S = 4.0
"""When endpoints begin to leave or to turn requests away."""
CUT_S = 8.0
FREEZE_S = 3.0
WARM_UP_S = 2.0
INSTANT_S = 0.1
RETURN_WITHIN_S = 2.0
"""Time after an episode in which its endpoint's part of the load is looked at."""
NO_CONNECTION_LIMIT = 1_000_000
S = ServiceName("s")
Z = Zone("z")


@attrs.define
class _Endpoint:
    """An endpoint, and what arrived there.

    :ivar leaves_at_s: when it began to leave.
    :ivar ends_at_s: when its process ends.
    :ivar rejects_until_s: end of its episode.
    :ivar told_at_s: when each entry passed on that it leaves.
    :ivar backoffs: when each entry was asked for a backoff, and its end.
    :ivar arrivals_s: when requests of each entry arrived.
    """

    endpoint_id: EndpointId
    leaves_at_s: float = math.inf
    ends_at_s: float = math.inf
    rejects_until_s: float = -math.inf
    running: int = 0
    told_at_s: dict[EntryId, float] = attrs.field(factory=dict)
    backoffs: dict[EntryId, list[tuple[float, float]]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    arrivals_s: dict[EntryId, list[float]] = attrs.field(
        factory=lambda: defaultdict(list)
    )

    def worst_backoffs(self) -> list[int]:
        """Requests in the part that counts of each backoff."""
        return [
            sum(
                asked_s + BACKOFF_SLACK_S < at_s < ends_s
                for at_s in self.arrivals_s[entry_id]
            )
            for entry_id, backoffs in self.backoffs.items()
            for asked_s, ends_s in backoffs
        ]

    def arrived(self, from_s: float, until_s: float) -> int:
        """Requests that arrived between two times."""
        return sum(
            from_s <= at_s < until_s
            for arrivals_s in self.arrivals_s.values()
            for at_s in arrivals_s
        )


@attrs.define
class _Entry:
    """What an entry places requests with.

    :ivar frozen_until_s: until when the process stands still.
    """

    peer: ModelPeer
    pool: EndpointPool
    openings: OpeningQueue = attrs.field(factory=OpeningQueue)
    frozen_until_s: float = -math.inf


class NoticeFleet:
    """One run of a scenario."""

    def __init__(self, scenario: NoticeScenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._outcome = NoticeOutcome()
        self._fleet = PeerFleet(_peer_faults(scenario.faults), self._rng)
        self._entries: dict[EntryId, _Entry] = {}
        self._endpoints: dict[EndpointId, _Endpoint] = {}
        self._records: dict[EndpointId, Registration | None] = {}
        self._numbers = itertools.count()
        self._request_numbers = itertools.count()
        self._log_back_s = -math.inf

    async def run(self) -> NoticeOutcome:
        """Run the scenario."""
        for number in range(self._scenario.entries):
            self._start_entry(EntryId(f"e{number}"))
        self._fleet.publish_view()
        for _ in range(self._scenario.endpoints):
            self._add_endpoint()
        await asyncio.sleep(WARM_UP_S)
        for fault in self._scenario.faults:
            self._fleet.spawn(self._inject(fault))
        self._fleet.spawn(self._change_endpoints())
        await self._send_requests()
        await asyncio.sleep(1.0)
        self._evaluate()
        await self._fleet.close()
        return self._outcome

    # -- the log and the endpoints -----------------------------------------------

    def _add_endpoint(self) -> None:
        endpoint_id = EndpointId(f"i-{next(self._numbers)}")
        self._endpoints[endpoint_id] = _Endpoint(endpoint_id)
        self._write(_registration(endpoint_id))

    def _write(self, record: Registration) -> None:
        """Write a record, which each entry reads some time later."""
        now_s = time.monotonic()
        accepted_s = max(now_s, self._log_back_s)
        self._records[record.endpoint_id] = record
        for entry in self._entries.values():
            read_s = accepted_s + self._rng.uniform(*LOG_LAG_S)
            self._fleet.spawn(self._read_later(entry, record, read_s))

    async def _read_later(
        self, entry: _Entry, record: Registration, read_s: float
    ) -> None:
        while (wait_s := read_s - time.monotonic()) > 0 or entry.peer.cut_off:
            await asyncio.sleep(max(wait_s, 0.2))
        entry.pool.register(record, time.monotonic())

    async def _change_endpoints(self) -> None:
        scenario = self._scenario
        await asyncio.sleep(BEGINS_S)
        present = list(self._endpoints.values())
        for endpoint in present[: scenario.rejecting]:
            endpoint.rejects_until_s = time.monotonic() + EPISODE_S
        for endpoint in present[: scenario.leave_at_once]:
            self._fleet.spawn(self._leave(endpoint))
        if not scenario.leaves_every_s:
            return
        while True:
            endpoint = next(
                e for e in self._endpoints.values() if e.leaves_at_s == math.inf
            )
            self._fleet.spawn(self._leave(endpoint))
            await asyncio.sleep(scenario.leaves_every_s)

    async def _leave(self, endpoint: _Endpoint) -> None:
        now_s = time.monotonic()
        endpoint.leaves_at_s = now_s
        accepted_s = max(now_s, self._log_back_s)
        endpoint.ends_at_s = accepted_s + DRAIN_S
        self._write(_registration(endpoint.endpoint_id, draining=True))
        await asyncio.sleep(REPLACED_S)
        self._add_endpoint()

    # -- entries and callers ------------------------------------------------------

    def _start_entry(self, entry_id: EntryId) -> None:
        peer = self._fleet.start(entry_id)
        rng = random.Random(self._rng.random())
        pool = EndpointPool(Z, rng, peer.notices.state)
        self._entries[entry_id] = _Entry(peer, pool)

    def _usable(self, entry: _Entry) -> _Entry:
        """The present process of an entry, which may have started again."""
        peer = self._fleet.entries[entry.peer.entry_id]
        if peer is not entry.peer:
            pool = EndpointPool(Z, self._rng, peer.notices.state)
            for record in self._records.values():
                if record is not None:
                    pool.register(record, time.monotonic())
            entry.peer, entry.pool, entry.openings = peer, pool, OpeningQueue()
        return entry

    async def _send_requests(self) -> None:
        scenario = self._scenario
        rate_per_s = scenario.requests_per_s or max(60.0, 2.0 * scenario.entries)
        ends_s = time.monotonic() + scenario.lasts_s
        while time.monotonic() < ends_s:
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            entry = self._usable(self._rng.choice(list(self._entries.values())))
            if not entry.peer.alive or time.monotonic() < entry.frozen_until_s:
                continue
            self._outcome.requests += 1
            self._fleet.spawn(self._serve(entry, time.monotonic()))

    async def _serve(self, entry: _Entry, sent_at_s: float) -> None:
        tried: list[EndpointId] = []
        request_id = RequestId(f"r{next(self._request_numbers)}")
        while len(tried) < MAX_ATTEMPTS:
            choice = await self._place(entry, tried, sent_at_s + TARGET_S)
            if choice is None:
                break
            tried.append(choice.endpoint.endpoint_id)
            if await self._attempt(entry, choice, sent_at_s, request_id):
                self._outcome.served += 1
                return
        self._outcome.refused += 1

    async def _place(
        self, entry: _Entry, tried: list[EndpointId], answer_at_s: float
    ) -> Choice | None:
        profile = RequestProfile(S)
        ratio = float(self._scenario.entries)
        while True:
            now_s = time.monotonic()
            choice = entry.pool.choose(
                profile, ratio, NO_CONNECTION_LIMIT, tried, now_s
            )
            if choice is not None:
                return choice
            opening = entry.pool.next_opening(profile, tried, ratio, now_s)
            if opening is None:
                return None
            most_s = answer_at_s - now_s - opening.predicted_s
            if opening.opens_in_s > most_s:
                return None
            if not await entry.openings.wait(0, opening.opens_in_s, most_s):
                return None

    async def _attempt(
        self, entry: _Entry, choice: Choice, sent_at_s: float, request_id: RequestId
    ) -> bool:
        endpoint = self._endpoints[choice.endpoint.endpoint_id]
        dispatch = entry.pool.record_dispatch(
            choice, RequestProfile(S), time.monotonic()
        )
        returns = entry.peer.notices.state.returns
        is_return = returns.record_sent(endpoint.endpoint_id)
        try:
            await asyncio.sleep(self._rng.uniform(*MESSAGE_DELAY_S))
            return await self._run(entry, endpoint, choice, sent_at_s, request_id)
        finally:
            dispatch.finish(time.monotonic(), plain=False)
            if is_return:
                returns.record_done(endpoint.endpoint_id)

    async def _run(
        self,
        entry: _Entry,
        endpoint: _Endpoint,
        choice: Choice,
        sent_at_s: float,
        request_id: RequestId,
    ) -> bool:
        arrived_s = time.monotonic()
        entry_id = entry.peer.entry_id
        self._count_arrival(entry_id, endpoint, sent_at_s, arrived_s)
        if arrived_s >= endpoint.ends_at_s:
            entry.pool.record_failure(choice.endpoint, True, arrived_s)
            return False
        backoff_s = self._rejects(endpoint, arrived_s)
        if backoff_s is None:
            endpoint.running += 1
            queue = max(1.0, endpoint.running / SLOTS)
            await asyncio.sleep(queue * self._rng.uniform(*WORK_S))
            endpoint.running -= 1
            if time.monotonic() >= endpoint.ends_at_s:
                self._outcome.interrupted += 1
                entry.pool.record_failure(choice.endpoint, True, time.monotonic())
                return False
        else:
            ends_s = arrived_s + backoff_s
            endpoint.backoffs[entry_id].append((arrived_s, ends_s))
        await asyncio.sleep(self._rng.uniform(*MESSAGE_DELAY_S))
        self._hear(entry, endpoint, backoff_s, arrived_s, request_id)
        if backoff_s is not None:
            if self._scenario.mechanism is Mechanism.NONE:
                entry.pool.record_failure(choice.endpoint, False, time.monotonic())
            return False
        entry.pool.record_success(choice.endpoint)
        return True

    def _count_arrival(
        self,
        entry_id: EntryId,
        endpoint: _Endpoint,
        sent_at_s: float,
        arrived_s: float,
    ) -> None:
        endpoint.arrivals_s[entry_id].append(arrived_s)
        self._outcome.at_leaving += arrived_s >= endpoint.leaves_at_s
        told_at_s = endpoint.told_at_s.get(entry_id, math.inf)
        self._outcome.late += sent_at_s > told_at_s + LEAVING_SETTLE_S

    def _rejects(self, endpoint: _Endpoint, now_s: float) -> float | None:
        """The backoff that a rejection asks for; ``None`` if the request is run."""
        scenario = self._scenario
        if now_s >= endpoint.rejects_until_s:
            return None
        if self._rng.random() >= scenario.rejects_share:
            return None
        return scenario.backoff_s

    def _hear(
        self,
        entry: _Entry,
        endpoint: _Endpoint,
        backoff_s: float | None,
        arrived_s: float,
        request_id: RequestId,
    ) -> None:
        now_s = time.monotonic()
        leaving = now_s >= endpoint.leaves_at_s
        if leaving:
            endpoint.told_at_s.setdefault(entry.peer.entry_id, now_s)
        mechanism = self._scenario.mechanism
        if mechanism is Mechanism.NONE:
            return
        notices = AnswerNotices(leaving=leaving, backoff_s=backoff_s)
        hearing = [entry]
        if mechanism is Mechanism.BACKOFFS_TOLD and backoff_s is not None:
            hearing = list(self._entries.values())
        for one in hearing:
            one.peer.notices.record_answer(
                endpoint.endpoint_id,
                0,
                notices,
                arrived_s,
                request_id,
                succeeded=backoff_s is None,
                now_s=now_s,
            )
        if mechanism is Mechanism.RETURN_AT_ONCE:
            entry.peer.notices.state.returns.clear()

    # -- faults ---------------------------------------------------------------------

    async def _inject(self, fault: NoticeFault) -> None:
        await asyncio.sleep(BEGINS_S - 1.0)
        match fault:
            case NoticeFault.LOG_AWAY:
                self._log_back_s = time.monotonic() + LOG_AWAY_S
            case NoticeFault.THIRD_CUT:
                await self._fleet.cut_a_third(CUT_S)
            case NoticeFault.STOPS:
                await self._fleet.restart_in_turn(self._scenario.lasts_s, True)
            case NoticeFault.FROZEN:
                await self._freeze_in_turn()

    async def _freeze_in_turn(self) -> None:
        for entry in list(self._entries.values())[::3]:
            entry.frozen_until_s = time.monotonic() + FREEZE_S
            entry.peer.alive = False
            await asyncio.sleep(FREEZE_S)
            entry.peer.alive = True

    # -- what came of it --------------------------------------------------------------

    def _evaluate(self) -> None:
        outcome = self._outcome
        worst = [n for e in self._endpoints.values() for n in e.worst_backoffs()]
        outcome.backoffs = len(worst)
        outcome.worst_backoff = max(worst, default=0)
        outcome.broken_backoffs = sum(n > MAX_DURING_BACKOFF for n in worst)
        outcome.messages = self._fleet.messages
        outcome.control_bytes_per_s = self._fleet.busiest_bytes_per_s()
        rejecting = [
            e for e in self._endpoints.values() if e.rejects_until_s > -math.inf
        ]
        if rejecting:
            outcome.first_instant = max(map(_first_instant, rejecting))
            outcome.returned_share = self._returned_share(rejecting)

    def _returned_share(self, rejecting: Collection[_Endpoint]) -> float:
        """Load of the endpoints after their episode and its last backoff, as a share of
        an equal part."""
        shares = []
        for endpoint in rejecting:
            from_s = endpoint.rejects_until_s + self._scenario.backoff_s
            until_s = from_s + RETURN_WITHIN_S
            total = sum(e.arrived(from_s, until_s) for e in self._endpoints.values())
            equal = max(1.0, total / len(self._endpoints))
            shares.append(endpoint.arrived(from_s, until_s) / equal)
        return sum(shares) / len(shares)


def _first_instant(endpoint: _Endpoint) -> float:
    """Most requests in an instant as the last backoffs of an episode end."""
    ends_s = [end for backoffs in endpoint.backoffs.values() for _, end in backoffs]
    counts = (endpoint.arrived(end, end + INSTANT_S) for end in ends_s)
    return max(counts, default=0) / SLOTS


def _registration(endpoint_id: EndpointId, draining: bool = False) -> Registration:
    return Registration(endpoint_id, S, f"{endpoint_id}:1", Z, SLOTS, draining)


def _peer_faults(faults: Collection[NoticeFault]) -> PeerFaults:
    shares: Mapping[NoticeFault, float] = {
        NoticeFault.MESSAGES_LOST: 1 / 3,
        NoticeFault.NO_MESSAGES: 1.0,
    }
    return PeerFaults(
        lost_share=max([MESSAGE_LOSS_SHARE, *(shares.get(f, 0.0) for f in faults)])
    )
