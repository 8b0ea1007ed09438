"""A fleet of which some entries are cut off from all endpoints, in modelled time.

The real choice of endpoints, evidence, checks, states of links and choice of helpers
run on each entry. Endpoints, connections, callers and messages are models.
"""

import asyncio
import itertools
import math
import random
import time
from collections import Counter
from collections.abc import Sequence

import attrs

from celerytrack.ids import EndpointId, EntryId, ServiceName, Zone
from celerytrack.lab.cut_scenarios import CutKind, CutOutcome, CutScenario
from celerytrack.process_end import CONNECT_TIMEOUT_S
from celerytrack.reachability.check import FIRST_CONNECTIONS, CheckTarget
from celerytrack.reachability.helpers import MAX_HELPERS, Helper, HelperChoice
from celerytrack.reachability.links import MAX_CHECK_S
from celerytrack.reachability.messages import LinkNews, encode_link_news
from celerytrack.reachability.monitor import EntryLinks, OwedAnswer, ReachMonitor
from celerytrack.routing.endpoint import Choice, Registration, RequestProfile
from celerytrack.routing.endpoints import EndpointPool
from celerytrack.verdict import Reason

SLOTS = 8
WORK_S = (0.02, 0.06)
DEADLINE_S = 0.6
MESSAGE_DELAY_S = (0.0005, 0.003)
DATAGRAM_OVERHEAD_BYTES = 28
ACK_TIMEOUT_S = 1.5
CONNECTION_IDLE_S = 4.0
CUT_AT_S = 3.0
KNOWN_AFTER_S = 3.0
"""Time after the begin of the cut from which requests count."""
BACK_WITHIN_S = 4.0
"""How long the run goes on after the cut."""
ONCE_ONLY_SHARE = 0.2
MAX_ATTEMPTS = 3
RESTART_S = 1.5
NO_CONNECTION_LIMIT = 1_000_000
S = ServiceName("s")
Z = Zone("z")


@attrs.define
class _Endpoint:
    endpoint_id: EndpointId
    running: int = 0


@attrs.define(eq=False)
class _Entry:
    """One entry process.

    :ivar cut: whether it reaches no endpoint.
    :ivar used_at_s: when its open connection to each endpoint was last used.
    :ivar for_others: requests of other entries in progress.
    """

    entry_id: EntryId
    pool: EndpointPool
    helpers: HelperChoice
    monitor: ReachMonitor
    task: asyncio.Task[None]
    cut: bool = False
    alive: bool = True
    used_at_s: dict[EndpointId, float] = attrs.field(factory=dict)
    owed: dict[int, OwedAnswer] = attrs.field(factory=dict)
    in_progress: int = 0
    for_others: int = 0


@attrs.frozen
class _Call:
    number: int
    sent_at_s: float
    once_only: bool


@attrs.frozen
class _Tried:
    """The end of one attempt.

    :ivar sent: whether the endpoint may have run the request.
    """

    served: bool
    sent: bool = True


class CutFleet:
    """One run of a scenario."""

    def __init__(self, scenario: CutScenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._outcome = CutOutcome()
        self._endpoints = [
            _Endpoint(EndpointId(f"i-{n}")) for n in range(scenario.endpoints)
        ]
        self._entries: list[_Entry] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count()
        self._runs: Counter[int] = Counter()
        self._sent_bytes: Counter[tuple[EntryId, int]] = Counter()
        self._cut_at_s = math.inf

    async def run(self) -> CutOutcome:
        """Run the scenario."""
        scenario = self._scenario
        self._entries = [self._start(n) for n in range(scenario.entries)]
        self._spawn(self._cut())
        if scenario.restarts:
            self._spawn(self._restart_in_turn())
        await self._send_requests()
        await asyncio.sleep(1.0)
        outcome = self._outcome
        outcome.twice = sum(runs > 1 for runs in self._runs.values())
        outcome.control_bytes_per_s = max(self._sent_bytes.values(), default=0)
        for task in [*self._tasks, *(e.task for e in self._entries)]:
            task.cancel()
        return outcome

    # -- entries ------------------------------------------------------------------

    def _start(self, number: int) -> _Entry:
        entry_id = EntryId(f"e{number}")
        rng = random.Random(self._rng.random())
        pool = EndpointPool(Z, rng)
        for endpoint in self._endpoints:
            pool.register(_registration(endpoint.endpoint_id), time.monotonic())
        helpers = HelperChoice(Z, rng)
        links = EntryLinks(
            entry_id,
            time.monotonic(),
            lambda service: [CheckTarget(e.endpoint_id, "") for e in self._endpoints],
            lambda: list(entry.owed.values()),
            lambda news: self._tell(entry, news),
            lambda service, doubted_at_s: self._on_down(entry),
            lambda targets: self._check(entry, targets),
            helpers.expire,
        )
        monitor = ReachMonitor(links, rng)
        task = asyncio.get_running_loop().create_task(monitor.run())
        entry = _Entry(entry_id, pool, helpers, monitor, task)
        return entry

    def _on_down(self, entry: _Entry) -> None:
        self._outcome.false_cuts += not entry.cut
        entry.pool.forgive_unreached(S)

    async def _check(self, entry: _Entry, targets: Sequence[CheckTarget]) -> bool:
        self._outcome.connections += min(len(targets), FIRST_CONNECTIONS)
        if not entry.cut:
            await asyncio.sleep(self._rng.uniform(*MESSAGE_DELAY_S))
            return True
        self._outcome.connections += max(0, len(targets) - FIRST_CONNECTIONS)
        hangs = self._scenario.kind is CutKind.HANG
        await asyncio.sleep(MAX_CHECK_S if hangs else 0.001)
        return False

    def _tell(self, entry: _Entry, news: LinkNews) -> None:
        size = len(encode_link_news(news)) + DATAGRAM_OVERHEAD_BYTES
        loop = asyncio.get_running_loop()
        for other in self._entries:
            if other is entry:
                continue
            self._sent_bytes[entry.entry_id, int(time.monotonic())] += size
            if self._rng.random() >= self._scenario.lost_share:
                delay_s = self._rng.uniform(*MESSAGE_DELAY_S)
                loop.call_later(delay_s, _hear, other, news)

    # -- faults --------------------------------------------------------------------

    async def _cut(self) -> None:
        scenario = self._scenario
        await asyncio.sleep(CUT_AT_S)
        count = round(scenario.cut_share * scenario.entries)
        count -= scenario.spares_one
        self._cut_at_s = time.monotonic()
        for entry in self._entries[:count]:
            entry.cut = True
            if scenario.kind is CutKind.RESET:
                entry.used_at_s.clear()
        await asyncio.sleep(scenario.lasts_s)
        for entry in self._entries:
            entry.cut = False
        ended_s = time.monotonic()
        while any(entry.monitor.is_down(S) for entry in self._entries):
            await asyncio.sleep(0.02)
        self._outcome.back_s = time.monotonic() - ended_s

    async def _restart_in_turn(self) -> None:
        for number, entry in enumerate(list(self._entries)):
            entry.alive = False
            entry.task.cancel()
            await asyncio.sleep(RESTART_S)
            self._entries[number] = self._start(number)
            self._entries[number].cut = entry.cut

    # -- callers --------------------------------------------------------------------

    def _spawn(self, coro: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_requests(self) -> None:
        scenario = self._scenario
        rate_per_s = max(60.0, 2.0 * scenario.entries)
        ends_s = CUT_AT_S + scenario.lasts_s + BACK_WITHIN_S
        while time.monotonic() < ends_s:
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            entry = self._rng.choice(self._entries)
            if entry.alive:
                once_only = self._rng.random() < ONCE_ONLY_SHARE
                call = _Call(next(self._numbers), time.monotonic(), once_only)
                self._spawn(self._serve_and_count(entry, call))

    async def _serve_and_count(self, entry: _Entry, call: _Call) -> None:
        was_cut = entry.cut
        served = False
        try:
            async with asyncio.timeout(DEADLINE_S):
                served = await self._serve(entry, call)
        except TimeoutError:
            pass
        from_s = self._cut_at_s + KNOWN_AFTER_S
        if not entry.alive or not from_s <= call.sent_at_s:
            return
        if call.sent_at_s > self._cut_at_s + self._scenario.lasts_s:
            return
        if was_cut:
            self._outcome.cut_calls += 1
            self._outcome.cut_served += served
        else:
            self._outcome.other_calls += 1
            self._outcome.other_served += served

    async def _serve(self, entry: _Entry, call: _Call) -> bool:
        tried: list[EndpointId] = []
        for _ in range(MAX_ATTEMPTS):
            result = await self._attempt(entry, call, tried)
            if result is None:
                return False
            if result.served:
                return True
            if result.sent and call.once_only:
                return False
        return False

    async def _attempt(
        self, entry: _Entry, call: _Call, tried: list[EndpointId]
    ) -> _Tried | None:
        tracker = entry.monitor.tracker
        if tracker and self._scenario.relays:
            await entry.monitor.settled(S)
            if not tracker.has_direct_room(S, entry.in_progress):
                relayed = await self._relay(entry, call, tried)
                if relayed is not None or entry.monitor.is_down(S):
                    return relayed
        return await self._send(entry, call, tried)

    async def _relay(
        self, entry: _Entry, call: _Call, tried: list[EndpointId]
    ) -> _Tried | None:
        asked: set[EntryId] = set()
        for _ in range(MAX_HELPERS):
            now_s = time.monotonic()
            others = [Helper(e.entry_id, "", Z) for e in self._entries if e.alive]
            others = [h for h in others if h.entry_id != entry.entry_id]
            helper = entry.helpers.choose(others, S, asked, now_s)
            if helper is None:
                return None
            asked.add(helper.entry_id)
            await asyncio.sleep(self._rng.uniform(*MESSAGE_DELAY_S))
            target = next(e for e in self._entries if e.entry_id == helper.entry_id)
            if not target.alive or target.monitor.is_down(S):
                now_s = time.monotonic()
                named = target.helpers.proven(S, now_s) if target.alive else None
                entry.helpers.record_refused(
                    helper.entry_id, S, Reason.ISOLATED, named, now_s
                )
                continue
            entry.helpers.begin(helper)
            target.for_others += 1
            most = max(self._outcome.most_in_progress, target.for_others)
            self._outcome.most_in_progress = most
            try:
                result = await self._send(target, call, tried)
                entry.helpers.record_served(helper.entry_id, S, time.monotonic())
                return result
            finally:
                target.for_others -= 1
                entry.helpers.end(helper)
        return None

    async def _send(
        self, entry: _Entry, call: _Call, tried: list[EndpointId]
    ) -> _Tried | None:
        profile = RequestProfile(S)
        ratio = self._load_ratio(entry)
        choice = entry.pool.choose(
            profile, ratio, NO_CONNECTION_LIMIT, tried, time.monotonic()
        )
        if choice is None:
            return None
        tried.append(choice.endpoint.endpoint_id)
        dispatch = entry.pool.record_dispatch(choice, profile, time.monotonic())
        owed = OwedAnswer(S, time.monotonic(), choice.predicted_s)
        entry.owed[id(owed)] = owed
        entry.in_progress += 1
        try:
            return await self._connect_and_run(entry, choice, call)
        finally:
            entry.in_progress -= 1
            del entry.owed[id(owed)]
            dispatch.finish(time.monotonic(), plain=False)

    def _load_ratio(self, entry: _Entry) -> float:
        now_s = time.monotonic()
        others = (e.entry_id for e in self._entries if e is not entry)
        down = entry.helpers.peer_links.count_down(others, S, now_s)
        return float(max(1, len(self._entries) - down))

    async def _connect_and_run(
        self, entry: _Entry, choice: Choice, call: _Call
    ) -> _Tried:
        endpoint_id = choice.endpoint.endpoint_id
        used_at_s = entry.used_at_s.get(endpoint_id, -math.inf)
        is_open = time.monotonic() - used_at_s < CONNECTION_IDLE_S
        if entry.cut:
            return await self._fail(entry, choice, is_open)
        if not is_open:
            await asyncio.sleep(self._rng.uniform(*MESSAGE_DELAY_S))
            entry.monitor.record_connected(S)
        entry.used_at_s[endpoint_id] = time.monotonic()
        await asyncio.sleep(self._rng.uniform(*MESSAGE_DELAY_S))
        await self._run(endpoint_id, call)
        if entry.cut and self._scenario.kind is CutKind.HANG:
            # The answer is held up by the cut.
            return await self._fail(entry, choice, is_open=True)
        entry.monitor.record_heard(S, time.monotonic())
        entry.monitor.record_answer(S)
        entry.pool.record_success(choice.endpoint)
        return _Tried(served=True)

    async def _run(self, endpoint_id: EndpointId, call: _Call) -> None:
        endpoint = next(e for e in self._endpoints if e.endpoint_id == endpoint_id)
        if call.once_only:
            self._runs[call.number] += 1
        endpoint.running += 1
        try:
            queue = max(1.0, endpoint.running / SLOTS)
            await asyncio.sleep(queue * self._rng.uniform(*WORK_S))
        finally:
            endpoint.running -= 1

    async def _fail(self, entry: _Entry, choice: Choice, is_open: bool) -> _Tried:
        """An attempt behind the cut."""
        hangs = self._scenario.kind is CutKind.HANG
        fails_s = ACK_TIMEOUT_S if is_open else CONNECT_TIMEOUT_S
        await asyncio.sleep(fails_s if hangs else 0.001)
        now_s = time.monotonic()
        endpoint = choice.endpoint
        entry.used_at_s.pop(endpoint.endpoint_id, None)
        entry.pool.record_failure(endpoint, True, now_s)
        if self._scenario.relays:
            entry.monitor.record_failure(S, endpoint.endpoint_id, is_open, now_s)
        return _Tried(served=False, sent=is_open)


def _hear(entry: _Entry, news: LinkNews) -> None:
    if entry.alive:
        entry.helpers.peer_links.record(news, time.monotonic())


def _registration(endpoint_id: EndpointId) -> Registration:
    return Registration(endpoint_id, S, f"{endpoint_id}:1", Z, SLOTS, draining=False)
