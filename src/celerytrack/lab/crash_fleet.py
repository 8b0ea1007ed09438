"""A fleet of entries that serves crashing requests, in modelled time.

The real synchronisation of suspects runs on a modelled log and with modelled peer
messages. Endpoints, callers and the choice of endpoints are models.
"""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Coroutine
from typing import Any

import attrs

from celerytrack.findings import Findings
from celerytrack.fingerprint import (
    Fingerprint,
    FingerprintPrefix,
    fingerprint_of,
    part_fingerprint,
)
from celerytrack.ids import EntryId, PartId, ServiceName
from celerytrack.lab.crash_endpoints import ModelRequest, ModelService
from celerytrack.lab.crash_entry import CrashEntry, ModelAnswer
from celerytrack.lab.crash_scenarios import (
    KNOWN_WITHIN_S,
    CrashFault,
    CrashOutcome,
    CrashScenario,
)
from celerytrack.lab.model_log import ModelLog
from celerytrack.lab.peer_fleet import DATAGRAM_OVERHEAD_BYTES
from celerytrack.lab.recovery_time import most_in_a_second
from celerytrack.platform.suspect_records import encode_findings

MESSAGE_DELAY_S = 0.001
"""Delay of a peer message."""
MESSAGE_LOSS_SHARE = 0.01
"""Share of peer messages that are lost without a fault."""
CRASHES_AFTER_S = (0.05, 0.4)
LONG_SHARE, LONG_S, SHORT_S = 0.2, (1.0, 4.0), (0.05, 0.5)
"""Harmless requests: the share of long ones, and the durations of long and short
ones."""
HOT_SHARE, HOT = 0.1, 10
"""Harmless requests: the share of repeated ones, and how many different ones repeat."""
THIRD = 1 / 3
RESTART_PAUSE_S = 0.2
_PREFIX = FingerprintPrefix(b"place!")
_SERVICE = ServiceName("s")
FIRST_PARTS = tuple(part_fingerprint(_SERVICE, PartId(f"first {n}")) for n in range(3))
MIDDLE_PARTS = tuple(
    part_fingerprint(_SERVICE, PartId(f"middle {n}")) for n in range(40)
)


class CrashFleet:
    """One run of a scenario."""

    def __init__(self, scenario: CrashScenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._log = ModelLog(random.Random(seed + 1))
        self._service = ModelService(scenario.endpoints, self._rng)
        self._arrivals: dict[Fingerprint, list[tuple[float, bool]]] = {}
        self._crashes_s: dict[Fingerprint, list[float]] = {}
        self._outcome = CrashOutcome()
        self._log_available_s = float("-inf")
        self._numbers = itertools.count()
        self._sent_bytes: Counter[tuple[EntryId, int]] = Counter()
        self._tasks: list[asyncio.Task[Any]] = []
        self._entries = [
            CrashEntry(
                number,
                self._log,
                self._service,
                scenario.tracking,
                self._announce,
                self._record_arrival,
                random.Random(seed * 1_000 + number),
            )
            for number in range(scenario.entries)
        ]

    async def run(self) -> CrashOutcome:
        """Run the scenario."""
        if CrashFault.LATE_LOG in self._scenario.faults:
            self._log.late_s = 0.7
        await asyncio.gather(*(entry.start() for entry in self._entries))
        self._spawn(self._service.replace_crashed())
        for fault in self._scenario.faults:
            self._spawn(self._inject(fault))
        crashing = [self._crashing(n) for n in range(self._scenario.crashing)]
        for request in crashing:
            self._spawn(self._repeat(request))
        self._spawn(self._send_harmless_requests())
        began_s = asyncio.get_running_loop().time()
        await asyncio.sleep(self._scenario.lasts_s)
        self._evaluate([_culprit(request) for request in crashing], began_s)
        await self._end()
        return self._outcome

    async def _end(self) -> None:
        for entry in self._entries:
            entry.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, coro: Coroutine[Any, Any, Any]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coro))

    def _crashing(self, number: int) -> ModelRequest:
        """A request that crashes endpoints, as a whole or by a part of its prompt."""
        fingerprint = fingerprint_of(_PREFIX, b"crashing %d" % number)
        parts: tuple[Fingerprint, ...] = ()
        if self._scenario.by_part:
            guilty = part_fingerprint(_SERVICE, PartId(f"guilty {number}"))
            parts = FIRST_PARTS[0], guilty
        lasts_s = self._rng.uniform(*CRASHES_AFTER_S)
        return ModelRequest(fingerprint, True, lasts_s, parts)

    # -- callers -------------------------------------------------------------

    async def _repeat(self, request: ModelRequest) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(self._scenario.repeats_per_s))
            if request.parts:
                number = next(self._numbers)
                fingerprint = fingerprint_of(_PREFIX, b"with a part %d" % number)
                request = attrs.evolve(request, fingerprint=fingerprint)
            self._spawn(self._send(request))

    async def _send_harmless_requests(self) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(self._scenario.harmless_per_s))
            self._spawn(self._send_harmless())

    async def _send_harmless(self) -> None:
        hot = self._rng.random() < HOT_SHARE
        number = self._rng.randrange(HOT) if hot else next(self._numbers)
        body = b"hot %d" % number if hot else b"%d" % number
        long = self._rng.random() < LONG_SHARE
        lasts_s = self._rng.uniform(*(LONG_S if long else SHORT_S))
        parts: tuple[Fingerprint, ...] = ()
        if self._scenario.by_part:
            parts = self._rng.choice(FIRST_PARTS), self._rng.choice(MIDDLE_PARTS)
        request = ModelRequest(fingerprint_of(_PREFIX, body), False, lasts_s, parts)
        answer = await self._send(request)
        if answer is ModelAnswer.DOWN:
            return
        self._outcome.harmless += 1
        self._outcome.served += answer is ModelAnswer.SERVED
        self._outcome.falsely_quarantined += answer is ModelAnswer.QUARANTINED

    async def _send(self, request: ModelRequest) -> ModelAnswer:
        entry = self._rng.choice(self._entries)
        others = [e.entry_id for e in self._entries if e is not entry]
        return await entry.serve(request, others)

    # -- peer messages and faults ------------------------------------------------

    def _announce(self, sender: CrashEntry, findings: Findings) -> None:
        loop = asyncio.get_running_loop()
        size = len(encode_findings(findings)) + DATAGRAM_OVERHEAD_BYTES
        others = len(self._entries) - 1
        self._outcome.messages += others
        self._sent_bytes[sender.entry_id, int(loop.time())] += size * others
        for entry in self._entries:
            if entry is not sender and self._reaches(sender, entry):
                loop.call_later(MESSAGE_DELAY_S, entry.receive, findings)

    def _reaches(self, sender: CrashEntry, entry: CrashEntry) -> bool:
        faults = self._scenario.faults
        if sender.partitioned or entry.partitioned or CrashFault.NO_NOTES in faults:
            return False
        lost = THIRD if CrashFault.NOTES_LOST in faults else MESSAGE_LOSS_SHARE
        return self._rng.random() >= lost

    async def _inject(self, fault: CrashFault) -> None:
        third = self._entries[: len(self._entries) // 3]
        match fault:
            case CrashFault.LOG_AWAY:
                self._log.unreachable = True
                await asyncio.sleep(8.0)
                self._end_log_outage()
            case CrashFault.THIRD_APART:
                for entry in third:
                    entry.partitioned = True
            case CrashFault.THIRD_CUT:
                await asyncio.sleep(1.0)
                self._set_partitioned(third, True)
                await asyncio.sleep(6.0)
                self._set_partitioned(third, False)
            case CrashFault.STOPS_IN_TURN:
                for entry in itertools.cycle(self._entries):
                    await self._restart(entry)
                    await asyncio.sleep(RESTART_PAUSE_S)
            case CrashFault.OLDER_COPY:
                older = self._log.copy()
                await asyncio.sleep(4.0)
                self._log.unreachable = True
                await asyncio.sleep(0.5)
                self._log.restore(older)
                self._end_log_outage()

    def _end_log_outage(self) -> None:
        self._log.unreachable = False
        self._log_available_s = asyncio.get_running_loop().time()

    def _set_partitioned(self, entries: list[CrashEntry], partitioned: bool) -> None:
        for entry in entries:
            entry.partitioned = entry.store.cut = partitioned
            entry.last_change_s = asyncio.get_running_loop().time()

    async def _restart(self, entry: CrashEntry) -> None:
        entry.stop()
        await entry.start()
        entry.last_change_s = asyncio.get_running_loop().time()

    # -- evaluation --------------------------------------------------------------

    def _record_arrival(self, entry: CrashEntry, request: ModelRequest) -> None:
        if not request.crashes:
            return
        now_s = asyncio.get_running_loop().time()
        changed_s = max(entry.last_change_s, self._log_available_s)
        changed_lately = now_s - changed_s < KNOWN_WITHIN_S
        connected = not (changed_lately or entry.store.cut or self._log.unreachable)
        culprit = _culprit(request)
        arrivals = self._arrivals.setdefault(culprit, [])
        arrivals.append((now_s, connected))
        crashes_s = self._crashes_s.setdefault(culprit, [])
        crashes_s.append(now_s + request.lasts_s)

    def _evaluate(self, crashing: list[Fingerprint], began_s: float) -> None:
        outcome = self._outcome
        outcome.crashes = self._service.crashes
        late: Counter[Fingerprint] = Counter()
        for fingerprint in crashing:
            crashes_s = sorted(self._crashes_s.get(fingerprint, []))
            counted = self._scenario.crashes_counted
            if len(crashes_s) < counted:
                continue
            from_s = crashes_s[counted - 1] + KNOWN_WITHIN_S
            late[fingerprint] = sum(
                at_s > from_s and connected
                for at_s, connected in self._arrivals[fingerprint]
            )
        outcome.late_arrivals = max(late.values(), default=0)
        outcome.control_bytes_per_s = max(self._sent_bytes.values(), default=0)
        writes_s = [at_s for at_s in self._log.asked_s if at_s >= began_s]
        outcome.writes = len(writes_s)
        outcome.writes_per_s_most = most_in_a_second(writes_s)


def _culprit(request: ModelRequest) -> Fingerprint:
    """What of a crashing request crashes endpoints."""
    return request.parts[-1] if request.parts else request.fingerprint
