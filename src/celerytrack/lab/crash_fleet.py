"""A fleet of entries before requests that end endpoints, in modelled time.

The real keepers of suspects run on a modelled log and tell each other by modelled
notes; endpoints, callers and the choice among endpoints are models.
"""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Coroutine
from typing import Any

from celerytrack.findings import Findings
from celerytrack.fingerprint import Fingerprint, FingerprintPrefix, fingerprint_of
from celerytrack.lab.after_return import most_in_a_second
from celerytrack.lab.crash_endpoints import ModelRequest, ModelService
from celerytrack.lab.crash_entry import CrashEntry, ModelAnswer
from celerytrack.lab.crash_scenarios import (
    ENDINGS_KNOWN,
    KNOWN_WITHIN_S,
    CrashFault,
    CrashOutcome,
    CrashScenario,
)
from celerytrack.lab.model_log import ModelLog

NOTE_S = 0.001
"""Way of a note."""
NOTE_LOST_SHARE = 0.01
"""Share of notes lost with no fault."""
CRASHES_AFTER_S = (0.05, 0.4)
LONG_SHARE, LONG_S, SHORT_S = 0.2, (1.0, 4.0), (0.05, 0.5)
"""Harmless requests: what share lasts long, and how long they last."""
HOT_SHARE, HOT = 0.1, 10
"""What share of harmless requests are repeats of a few."""
THIRD = 1 / 3
STOPS_PAUSE_S = 0.2
_PLACE = FingerprintPrefix(b"place!")


class CrashFleet:
    """One run of a scenario."""

    def __init__(self, scenario: CrashScenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._log = ModelLog(random.Random(seed + 1))
        self._service = ModelService(scenario.endpoints, self._rng)
        self._arrivals: dict[Fingerprint, list[tuple[float, bool]]] = {}
        self._endings_s: dict[Fingerprint, list[float]] = {}
        self._outcome = CrashOutcome()
        self._log_back_s = float("-inf")
        self._numbers = itertools.count()
        self._tasks: list[asyncio.Task[Any]] = []
        self._entries = [
            CrashEntry(
                number,
                self._log,
                self._service,
                scenario.remembers,
                self._tell,
                self._sent,
                random.Random(seed * 1_000 + number),
            )
            for number in range(scenario.entries)
        ]

    async def run(self) -> CrashOutcome:
        """Play the scenario."""
        if CrashFault.LATE_LOG in self._scenario.faults:
            self._log.late_s = 0.7
        await asyncio.gather(*(entry.start() for entry in self._entries))
        self._keep(self._service.replace_ended())
        for fault in self._scenario.faults:
            self._keep(self._play(fault))
        crashing = [
            ModelRequest(
                fingerprint_of(_PLACE, b"crashing %d" % n),
                True,
                self._rng.uniform(*CRASHES_AFTER_S),
            )
            for n in range(self._scenario.crashing)
        ]
        for request in crashing:
            self._keep(self._repeat(request))
        self._keep(self._harmless())
        began_s = asyncio.get_running_loop().time()
        await asyncio.sleep(self._scenario.lasts_s)
        self._judge([request.fingerprint for request in crashing], began_s)
        await self._end()
        return self._outcome

    async def _end(self) -> None:
        for entry in self._entries:
            entry.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _keep(self, coro: Coroutine[Any, Any, Any]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coro))

    # -- callers -------------------------------------------------------------

    async def _repeat(self, request: ModelRequest) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(self._scenario.repeats_per_s))
            self._keep(self._ask(request))

    async def _harmless(self) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(self._scenario.harmless_per_s))
            self._keep(self._ask_harmless())

    async def _ask_harmless(self) -> None:
        hot = self._rng.random() < HOT_SHARE
        number = self._rng.randrange(HOT) if hot else next(self._numbers)
        body = b"hot %d" % number if hot else b"%d" % number
        long = self._rng.random() < LONG_SHARE
        lasts_s = self._rng.uniform(*(LONG_S if long else SHORT_S))
        request = ModelRequest(fingerprint_of(_PLACE, body), False, lasts_s)
        answer = await self._ask(request)
        if answer is ModelAnswer.AWAY:
            return
        self._outcome.harmless += 1
        self._outcome.served += answer is ModelAnswer.SERVED
        self._outcome.falsely += answer is ModelAnswer.SHUT_OUT

    async def _ask(self, request: ModelRequest) -> ModelAnswer:
        entry = self._rng.choice(self._entries)
        others = [e.entry_id for e in self._entries if e is not entry]
        return await entry.serve(request, others)

    # -- what is between entries -----------------------------------------------

    def _tell(self, sender: CrashEntry, findings: Findings) -> None:
        loop = asyncio.get_running_loop()
        for entry in self._entries:
            if entry is not sender and self._reaches(sender, entry):
                loop.call_later(NOTE_S, entry.hear, findings)

    def _reaches(self, sender: CrashEntry, entry: CrashEntry) -> bool:
        faults = self._scenario.faults
        if sender.apart or entry.apart or CrashFault.NO_NOTES in faults:
            return False
        lost = THIRD if CrashFault.NOTES_LOST in faults else NOTE_LOST_SHARE
        return self._rng.random() >= lost

    async def _play(self, fault: CrashFault) -> None:
        third = self._entries[: len(self._entries) // 3]
        match fault:
            case CrashFault.LOG_AWAY:
                self._log.away = True
                await asyncio.sleep(8.0)
                self._log_is_back()
            case CrashFault.THIRD_APART:
                for entry in third:
                    entry.apart = True
            case CrashFault.THIRD_CUT:
                await asyncio.sleep(1.0)
                self._cut(third, True)
                await asyncio.sleep(6.0)
                self._cut(third, False)
            case CrashFault.STOPS_IN_TURN:
                for entry in itertools.cycle(self._entries):
                    await self._start_again(entry)
                    await asyncio.sleep(STOPS_PAUSE_S)
            case CrashFault.OLDER_COPY:
                older = self._log.copy()
                await asyncio.sleep(4.0)
                self._log.away = True
                await asyncio.sleep(0.5)
                self._log.restore(older)
                self._log_is_back()

    def _log_is_back(self) -> None:
        self._log.away = False
        self._log_back_s = asyncio.get_running_loop().time()

    def _cut(self, entries: list[CrashEntry], cut: bool) -> None:
        for entry in entries:
            entry.apart = entry.store.cut = cut
            entry.moved_s = asyncio.get_running_loop().time()

    async def _start_again(self, entry: CrashEntry) -> None:
        entry.stop()
        await entry.start()
        entry.moved_s = asyncio.get_running_loop().time()

    # -- what is judged ----------------------------------------------------------

    def _sent(self, entry: CrashEntry, request: ModelRequest) -> None:
        if not request.crashes:
            return
        now_s = asyncio.get_running_loop().time()
        moved_s = max(entry.moved_s, self._log_back_s)
        moved = now_s - moved_s < KNOWN_WITHIN_S
        in_touch = not (moved or entry.store.cut or self._log.away)
        arrivals = self._arrivals.setdefault(request.fingerprint, [])
        arrivals.append((now_s, in_touch))
        endings_s = self._endings_s.setdefault(request.fingerprint, [])
        endings_s.append(now_s + request.lasts_s)

    def _judge(self, crashing: list[Fingerprint], began_s: float) -> None:
        outcome = self._outcome
        outcome.endings = self._service.endings
        late: Counter[Fingerprint] = Counter()
        for fingerprint in crashing:
            endings_s = sorted(self._endings_s.get(fingerprint, []))
            if len(endings_s) < ENDINGS_KNOWN:
                continue
            from_s = endings_s[ENDINGS_KNOWN - 1] + KNOWN_WITHIN_S
            late[fingerprint] = sum(
                at_s > from_s and in_touch
                for at_s, in_touch in self._arrivals[fingerprint]
            )
        outcome.late = max(late.values(), default=0)
        writes_s = [at_s for at_s in self._log.asked_s if at_s >= began_s]
        outcome.writes = len(writes_s)
        outcome.writes_per_s_most = most_in_a_second(writes_s)
