"""A fleet before a service whose software is upgraded, in modelled time.

The real choice of endpoints and the real keeping of origins run on each entry.
Endpoints, callers, messages and the reads of registrations are models.
"""

import asyncio
import itertools
import random
import time

import attrs

from celerytrack.ids import EndpointId, EntryId, RequestId, ServiceName, Zone
from celerytrack.lab.version_scenarios import VersionOutcome, VersionScenario
from celerytrack.origins.memory import StreamId
from celerytrack.origins.messages import (
    OriginMessage,
    SoleVersionAnswer,
    SoleVersionQuery,
    encode_origin_message,
)
from celerytrack.origins.origin import StreamOrigin
from celerytrack.origins.ring import Holder
from celerytrack.origins.sole_versions import SoleVersions, SoleView
from celerytrack.origins.sync import Finding, OriginSync
from celerytrack.routing.endpoint import Endpoint, Registration, RequestProfile
from celerytrack.routing.endpoints import EndpointPool

OLD, NEW = "v1", "v2"
SLOTS = 8
RUN_S = (1.0, 3.0)
FIRST_EVENT_S = 0.05
STEP_S = 0.05
BREAKS_SHARE = 0.1
LEAVES_SHARE = 0.1
TAKE_UP_AFTER_S = (0.03, 0.08)
MAX_ATTEMPTS = 2
TRIES = 3
SMALL = 2
"""Endpoints of a version that has shrunk."""
RETRY_AFTER_S = 0.1
POLL_S = 0.6
MIN_PAUSE_S = 0.1
DRAIN_S = 2.5
REGISTERED_AFTER_S = 0.6
DOWN_S = 1.0
UPGRADE_AT_S = 4.0
UPGRADE_LASTS_S = 24.0
RUN_LASTS_S = 36.0
SILENCE_S = 3.5
FRESH_VIEW_S = 3.0
"""Age of the registrations that is trusted without leases."""
ISOLATED_BEFORE_S = 0.1
ISOLATED_FOR_S = 8.0
MESSAGE_DELAY_S = (0.0005, 0.003)
DATAGRAM_OVERHEAD_BYTES = 28
NO_CONNECTION_LIMIT = 1_000_000
S = ServiceName("s")
Z = Zone("z")


@attrs.define(eq=False)
class _Process:
    """A process of an endpoint.

    :ivar ended: set when it has ended.
    """

    endpoint_id: EndpointId
    version: str
    running: int = 0
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.frozen
class _Record:
    """A change of a registration on the log."""

    at_s: float
    endpoint_id: EndpointId
    registration: Registration | None


@attrs.define(eq=False)
class _Entry:
    """One entry process.

    :ivar read: records of the log that it has read.
    :ivar connected: endpoints to which it has connections.
    """

    holder: Holder
    pool: EndpointPool
    origins: OriginSync
    sole_versions: SoleVersions
    is_urgent: asyncio.Event
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)
    alive: bool = True
    cut: bool = False
    log_silent: bool = False
    read: int = 0
    connected: set[_Process] = attrs.field(factory=set)


@attrs.define
class _Stream:
    """A caller's stream.

    :ivar left_s: time that the rest of it takes.
    """

    number: int
    left_s: float
    versions: set[str] = attrs.field(factory=set)
    first_id: RequestId | None = None


@attrs.define
class _Try:
    """One try of a stream.

    :ivar origin: what the stream keeps to.
    :ivar in_doubt: whether it began at an endpoint that was in doubt.
    """

    request_id: RequestId
    origin: StreamOrigin | None = None
    in_doubt: bool = False
    tried: list[EndpointId] = attrs.field(factory=list)


class VersionFleet:
    """One run of a scenario."""

    def __init__(self, scenario: VersionScenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._outcome = VersionOutcome()
        self._processes: dict[EndpointId, _Process] = {}
        self._log: list[_Record] = []
        self._log_away = False
        self._entries: list[_Entry] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count()

    async def run(self) -> VersionOutcome:
        """Run the scenario."""
        scenario = self._scenario
        for number in range(scenario.endpoints):
            self._begin(EndpointId(f"i-{number}"), OLD)
        for number in range(scenario.entries):
            self._entries.append(self._start(number))
        if scenario.upgrades:
            self._spawn(self._upgrade())
        if scenario.isolated:
            self._spawn(self._isolate())
        if scenario.kills:
            self._spawn(self._kill_in_turn())
        if scenario.cut_share or scenario.log_away:
            self._spawn(self._disturb())
        await self._ask_for_streams()
        await asyncio.sleep(RUN_S[1] * TRIES)
        self._outcome.lasted_s = RUN_LASTS_S
        for task in [*self._tasks, *(t for e in self._entries for t in e.tasks)]:
            task.cancel()
        return self._outcome

    def _spawn(self, coro: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- entries -------------------------------------------------------------------

    def _start(self, number: int) -> _Entry:
        entry_id = EntryId(f"e-{number}")
        holder = Holder(entry_id, str(number), time.monotonic())
        pool = EndpointPool(Z, random.Random(self._rng.random()))
        if not self._scenario.keeps_room:
            pool._keep_room = lambda available, *_: available  # type: ignore[method-assign]
        origins = OriginSync(
            entry_id,
            lambda address, message: self._send(entry, address, message),
            lambda now_s: [e.holder for e in self._entries if self._is_listed(e)],
            lambda entry_id: entry_id.split("-")[1],
            pool,
            time.monotonic(),
        )
        is_urgent = asyncio.Event()
        sole_versions = SoleVersions(
            entry_id,
            lambda address, message: self._send(entry, address, message),
            lambda now_s: [
                e.holder for e in self._entries if self._is_listed(e) and e is not entry
            ],
            lambda service, now_s: _sole_view(pool, now_s),
            is_urgent.set,
            lambda entry_id: entry_id.split("-")[1],
        )
        entry = _Entry(holder, pool, origins, sole_versions, is_urgent)
        self._read_log(entry)
        loop = asyncio.get_running_loop()
        entry.tasks = [
            loop.create_task(origins.run()),
            loop.create_task(self._follow_log(entry)),
        ]
        return entry

    def _is_listed(self, entry: _Entry) -> bool:
        """Whether the entries know a member: one that was killed for a while yet."""
        return entry.alive or entry.holder.started_s < 0

    async def _follow_log(self, entry: _Entry) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, POLL_S))
        while True:
            entry.is_urgent.clear()
            self._outcome.reads += 1
            if not self._log_away and not entry.log_silent:
                self._read_log(entry, announce=True)
                entry.sole_versions.on_view()
            await asyncio.sleep(MIN_PAUSE_S)
            try:
                async with asyncio.timeout(POLL_S - MIN_PAUSE_S):
                    await entry.is_urgent.wait()
            except TimeoutError:
                continue

    def _read_log(self, entry: _Entry, announce: bool = False) -> None:
        now_s = time.monotonic()
        for record in self._log[entry.read :]:
            self._apply(entry, record, announce, now_s)
        entry.read = len(self._log)
        entry.pool.known_at_s = now_s
        entry.pool.evict_deregistered(now_s)

    def _apply(
        self, entry: _Entry, record: _Record, announce: bool, now_s: float
    ) -> None:
        if record.registration is None:
            entry.pool.mark_deregistered(record.endpoint_id, now_s)
            return
        entry.pool.register(record.registration, now_s)
        version = record.registration.version
        if announce and self._scenario.pins and entry.pool.has_versions(S, now_s):
            entry.origins.announce_version(S, version, now_s)

    def _send(self, sender: _Entry, address: str, message: OriginMessage) -> None:
        data = encode_origin_message(message)
        size = len(data) + DATAGRAM_OVERHEAD_BYTES
        second = int(time.monotonic())
        self._outcome.sent_bytes[sender.holder.entry_id, second] += size
        self._outcome.messages += 1
        target = self._entries[int(address)]
        if sender.cut is not target.cut:
            return
        if self._rng.random() >= self._scenario.lost_share:
            delay_s = self._rng.uniform(*MESSAGE_DELAY_S)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, _receive, target, message)

    async def _kill_in_turn(self) -> None:
        pause_s = UPGRADE_LASTS_S / len(self._entries)
        await asyncio.sleep(UPGRADE_AT_S)
        for number in range(len(self._entries)):
            self._spawn(self._kill(number))
            await asyncio.sleep(pause_s)

    async def _kill(self, number: int) -> None:
        entry = self._entries[number]
        entry.alive = False
        listed = entry.holder
        entry.holder = attrs.evolve(listed, started_s=-1.0)
        for task in entry.tasks:
            task.cancel()
        await asyncio.sleep(SILENCE_S)
        self._entries[number] = self._start(number)
        self._entries[number].cut = entry.cut

    async def _disturb(self) -> None:
        scenario = self._scenario
        await asyncio.sleep(UPGRADE_AT_S + 2.0)
        self._log_away = scenario.log_away
        cut = self._entries[: round(scenario.cut_share * scenario.entries)]
        for entry in cut:
            entry.cut = True
        await asyncio.sleep(UPGRADE_LASTS_S / 2)
        self._log_away = False
        for entry in self._entries:
            entry.cut = False

    async def _isolate(self) -> None:
        await asyncio.sleep(UPGRADE_AT_S - ISOLATED_BEFORE_S)
        for is_cut in (True, False):
            for entry in self._entries[: self._scenario.isolated]:
                entry.cut = entry.log_silent = is_cut
            await asyncio.sleep(ISOLATED_FOR_S)

    # -- endpoints -----------------------------------------------------------------

    def _begin(self, endpoint_id: EndpointId, version: str) -> None:
        self._processes[endpoint_id] = _Process(endpoint_id, version)
        self._register(endpoint_id, draining=False)

    def _register(self, endpoint_id: EndpointId, draining: bool) -> None:
        process = self._processes[endpoint_id]
        registration = Registration(
            endpoint_id,
            S,
            f"{endpoint_id}:1",
            Z,
            SLOTS,
            draining,
            version=process.version,
        )
        self._log.append(_Record(time.monotonic(), endpoint_id, registration))

    async def _upgrade(self) -> None:
        scenario = self._scenario
        await asyncio.sleep(UPGRADE_AT_S)
        names = list(self._processes)
        pause_s = UPGRADE_LASTS_S / len(names)
        if scenario.to_two:
            for name in names[: len(names) // 2]:
                self._begin(EndpointId(f"{name}b"), NEW)
            await asyncio.sleep(4.0)
            names, pause_s = names[: len(names) - 2], 0.1
        for name in names:
            if scenario.same_ids:
                self._spawn(self._come_back(name))
            else:
                self._spawn(self._replace(name))
            await asyncio.sleep(pause_s)

    async def _replace(self, endpoint_id: EndpointId) -> None:
        if not self._scenario.to_two:
            self._begin(EndpointId(f"{endpoint_id}b"), NEW)
        self._register(endpoint_id, draining=True)
        await asyncio.sleep(DRAIN_S)
        self._log.append(_Record(time.monotonic(), endpoint_id, None))
        await asyncio.sleep(DRAIN_S)
        self._processes.pop(endpoint_id).ended.set()

    async def _come_back(self, endpoint_id: EndpointId) -> None:
        self._end(endpoint_id)
        await asyncio.sleep(DOWN_S)
        self._processes[endpoint_id] = _Process(endpoint_id, NEW)
        await asyncio.sleep(REGISTERED_AFTER_S)
        self._register(endpoint_id, draining=False)

    def _end(self, endpoint_id: EndpointId) -> None:
        """End a process; the entries with connections see it."""
        process = self._processes.pop(endpoint_id)
        process.ended.set()
        if not self._scenario.pins:
            return
        now_s = time.monotonic()
        seen = [e for e in self._entries if process in e.connected]
        for entry in self._entries if seen else ():
            if not entry.cut:
                entry.pool.doubt_incarnation(endpoint_id, 0, now_s)
        for entry in seen:
            entry.pool.doubt_incarnation(endpoint_id, 0, now_s)

    def _serving(self, version: str) -> int:
        return sum(p.version == version for p in self._processes.values())

    # -- callers -------------------------------------------------------------------

    async def _ask_for_streams(self) -> None:
        scenario = self._scenario
        mean_s = sum(RUN_S) / 2
        rate_per_s = scenario.load_share * scenario.endpoints * SLOTS / mean_s
        while time.monotonic() < RUN_LASTS_S:
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            stream = _Stream(next(self._numbers), self._rng.uniform(*RUN_S))
            self._spawn(self._read(stream))

    async def _read(self, stream: _Stream) -> None:
        """Read a stream over several tries."""
        outcome = self._outcome
        outcome.streams += 1
        taken_up = taken_up_old = went_on = False
        failed = 0
        for number in itertools.count():
            entry = self._rng.choice([e for e in self._entries if e.alive])
            had_s, begun = stream.left_s, bool(stream.versions)
            if begun:
                version = next(iter(stream.versions))
                taken_up = taken_up or self._serving(version) >= 2
                taken_up_old = taken_up_old or (
                    version == OLD and 2 <= self._serving(OLD) <= SMALL
                )
            served = await self._try(entry, stream, number)
            went_on = went_on or (begun and stream.left_s < had_s)
            failed = 0 if stream.left_s < had_s else failed + 1
            if stream.left_s <= 0 or failed == TRIES:
                break
            wait_s = self._rng.uniform(*TAKE_UP_AFTER_S)
            await asyncio.sleep(wait_s + (0.0 if served else RETRY_AFTER_S))
        outcome.began += bool(stream.versions)
        outcome.mixed += len(stream.versions) > 1
        outcome.taken_up += taken_up
        outcome.went_on += taken_up and went_on
        outcome.taken_up_old += taken_up_old
        outcome.went_on_old += taken_up_old and went_on

    async def _try(self, entry: _Entry, stream: _Stream, number: int) -> bool:
        """One try; returns whether an endpoint was sent the request."""
        attempt = _Try(RequestId(f"{stream.number}-{number}"))
        if stream.first_id is not None and self._scenario.pins:
            self._outcome.take_ups += 1
            find = self._find if self._scenario.leases else self._find_without_leases
            attempt.origin = await find(entry, stream.first_id)
            if attempt.origin is None:
                self._outcome.unknown += 1
                return False
        for _ in range(MAX_ATTEMPTS):
            chosen = self._choose(entry, attempt)
            if chosen is None:
                return bool(attempt.tried)
            attempt.tried.append(chosen.endpoint_id)
            if await self._run(entry, chosen, stream, attempt):
                break
        return True

    def _record_first_event(
        self, entry: _Entry, endpoint: Endpoint, stream: _Stream, attempt: _Try
    ) -> None:
        if stream.first_id is not None:
            return
        stream.first_id = attempt.request_id
        if not self._scenario.pins:
            return
        attempt.origin = entry.pool.origin_at(endpoint.endpoint_id)
        attempt.in_doubt = attempt.origin is None
        if attempt.origin is not None:
            name = StreamId(None, attempt.request_id)
            entry.origins.record_began(name, attempt.origin, time.monotonic())

    async def _find(self, entry: _Entry, first_id: RequestId) -> StreamOrigin | None:
        now_s = time.monotonic()
        sole = entry.sole_versions
        knows = entry.origins.knows_versions(now_s)
        version = sole.supported(S, now_s, now_s) if knows else None
        if version is not None:
            return StreamOrigin(S, version)
        asking = asyncio.ensure_future(
            entry.origins.find(StreamId(None, first_id), now_s)
        )
        proving = asyncio.ensure_future(sole.find(S, now_s) if knows else _nothing())
        await asyncio.wait((asking, proving), return_when=asyncio.FIRST_COMPLETED)
        if not (asking.done() and asking.result().known):
            version = await proving
        if version is not None:
            asking.cancel()
            return StreamOrigin(S, version)
        return _version_known(await asking)

    async def _find_without_leases(
        self, entry: _Entry, first_id: RequestId
    ) -> StreamOrigin | None:
        now_s = time.monotonic()
        versions = entry.pool.versions(S, now_s)
        sole = StreamOrigin(S, next(iter(versions))) if len(versions) == 1 else None
        is_fresh = now_s - entry.pool.known_at_s <= FRESH_VIEW_S
        if sole is not None and entry.origins.knows_versions(now_s) and is_fresh:
            return sole
        finding = await entry.origins.find(StreamId(None, first_id), now_s)
        if finding.known is None and finding.heard:
            return sole
        return _version_known(finding)

    def _choose(self, entry: _Entry, attempt: _Try) -> Endpoint | None:
        if attempt.in_doubt:
            return None
        choice = entry.pool.choose(
            RequestProfile(S, (), attempt.origin, self._scenario.leases),
            float(len(self._entries)),
            NO_CONNECTION_LIMIT,
            attempt.tried,
            time.monotonic(),
        )
        return None if choice is None else choice.endpoint

    async def _run(
        self, entry: _Entry, endpoint: Endpoint, stream: _Stream, attempt: _Try
    ) -> bool:
        """Run a part of a stream; returns whether the try ends with it."""
        process = self._processes.get(endpoint.endpoint_id)
        if process is None or process.running >= SLOTS:
            await asyncio.sleep(self._rng.uniform(*MESSAGE_DELAY_S))
            if process is None and self._scenario.pins:
                entry.pool.doubt(endpoint, time.monotonic())
            return False
        process.running += 1
        endpoint.running += 1
        entry.connected.add(process)
        try:
            await asyncio.sleep(FIRST_EVENT_S)
            if process.ended.is_set() or not entry.alive:
                return not entry.alive
            stream.versions.add(process.version)
            self._record_first_event(entry, endpoint, stream, attempt)
            return await self._read_part(entry, process, stream)
        finally:
            process.running -= 1
            endpoint.running -= 1

    async def _read_part(
        self, entry: _Entry, process: _Process, stream: _Stream
    ) -> bool:
        draw = self._rng.random()
        breaks, leaves = draw < BREAKS_SHARE, draw > 1 - LEAVES_SHARE
        part_s = stream.left_s * (self._rng.random() if breaks or leaves else 1.0)
        ends_s = time.monotonic() + part_s
        while time.monotonic() < ends_s:
            await asyncio.sleep(min(STEP_S, ends_s - time.monotonic()))
            stream.left_s -= STEP_S
            if not entry.alive:
                return True
            if process.ended.is_set():
                return False
        return not breaks or stream.left_s <= 0


def _receive(target: _Entry, message: OriginMessage) -> None:
    if not target.alive:
        return
    if isinstance(message, SoleVersionQuery | SoleVersionAnswer):
        target.sole_versions.receive(message, time.monotonic())
    else:
        target.origins.receive(message, time.monotonic())


def _sole_view(pool: EndpointPool, now_s: float) -> SoleView | None:
    versions = pool.versions(S, now_s)
    return (
        SoleView(next(iter(versions)), pool.known_at_s) if len(versions) == 1 else None
    )


def _version_known(finding: Finding) -> StreamOrigin | None:
    known = finding.known
    if known is None or known.found.origin.version is None:
        return None
    return known.found.origin


async def _nothing() -> str | None:
    return None
