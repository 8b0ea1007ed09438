"""A modelled entry before crashing requests: the real keeper of suspects and its
decisions, and a choice of endpoints as simple as it can be."""

import asyncio
import enum
import random
from collections import Counter
from collections.abc import Callable, Sequence

from celerytrack.eras import EraTracker
from celerytrack.findings import Crash, Findings, Probe
from celerytrack.gateway.hedged_store import HedgedStore
from celerytrack.gateway.suspect_sync import SuspectSync
from celerytrack.ids import EndpointId, EntryId
from celerytrack.lab.crash_endpoints import (
    KNOWN_S,
    BrokeOffError,
    ModelEndpoint,
    ModelRequest,
    ModelService,
    NotThereError,
)
from celerytrack.lab.model_log import ModelLog, ModelStore
from celerytrack.lab.virtual_time import Clock, on_instance
from celerytrack.suspects import SuspectState

MOST_ATTEMPTS = 2
MOST_UNSENT = 3
AVOIDED_S = 4.0
SEEN_AFTER_S = 0.002
"""From a break to the refused connection that shows the end of the process."""
START_S = 0.15
"""Time a process takes from its start to its first call."""
TRIAL_S = 5.0
BUILD = "s v1"


class ModelAnswer(enum.Enum):
    """What a caller got."""

    SERVED = "served"
    FAILED = "failed"
    SHUT_OUT = "shut_out"
    AWAY = "away"


Sent = Callable[["CrashEntry", ModelRequest], None]


class CrashEntry:
    """One modelled entry.

    :param remembers: whether what a request did is remembered.
    :param tell: sends a note from this entry.
    :param sent: told each request that reaches an endpoint.
    :ivar apart: no other entry reaches it.
    :ivar moved_s: when it was last started, cut off or reached again.
    """

    def __init__(
        self,
        number: int,
        log: ModelLog,
        service: ModelService,
        remembers: bool,
        tell: Callable[["CrashEntry", Findings], None],
        sent: Sent,
        rng: random.Random,
    ) -> None:
        self.entry_id = EntryId(f"e{number:03}")
        self.apart = False
        self.moved_s = float("-inf")
        self.store = ModelStore(log)
        self.keeper: SuspectSync | None = None
        self._service = service
        self._remembers = remembers
        self._tell = tell
        self._sent = sent
        self._rng = rng
        self._read_s = rng.uniform(0.0, KNOWN_S)
        self._avoided_s: dict[EndpointId, float] = {}
        self._running: Counter[EndpointId] = Counter()
        self._suspects_at: Counter[EndpointId] = Counter()
        self._task: asyncio.Task[None] | None = None
        self._starts = 0

    async def start(self) -> None:
        """Start the process and wait until it serves."""
        self.store.eras = eras = EraTracker()
        self._starts += 1
        await asyncio.sleep(START_S)
        keeper = SuspectSync(
            HedgedStore(self.store),
            self.entry_id,
            str(self._starts),
            eras,
            lambda findings: self._tell(self, findings),
            lambda findings: None,
        )
        if self._remembers:
            self._task = on_instance(Clock(), keeper.run())
            while not keeper.loaded:
                await asyncio.sleep(0.01)
        self.keeper = keeper

    def stop(self) -> None:
        """End the process."""
        if self._task is not None:
            self._task.cancel()
        self.keeper = self._task = None
        self._avoided_s.clear()

    def hear(self, findings: Findings) -> None:
        """A note of another entry arrives."""
        if self.keeper is None or not self._remembers:
            return
        now_s = asyncio.get_running_loop().time()
        for evidence in findings.evidence:
            self._avoided_s[evidence.crash.endpoint_id] = now_s + AVOIDED_S
        self.keeper.receive(findings)

    async def serve(
        self, request: ModelRequest, others: Sequence[EntryId]
    ) -> ModelAnswer:
        """Answer one request."""
        if self.keeper is None:
            return ModelAnswer.AWAY
        tried: list[EndpointId] = []
        sends = unsent = 0
        while sends < MOST_ATTEMPTS and unsent < MOST_UNSENT:
            standing = self._standing(request)
            endpoint = self._choose(standing, tried)
            if standing is SuspectState.QUARANTINED or endpoint is None:
                break
            if standing is SuspectState.PROBE_ONLY and not await self._claim(
                request, endpoint, others
            ):
                return ModelAnswer.SHUT_OUT
            tried.append(endpoint.endpoint_id)
            try:
                await self._run(request, endpoint, standing)
            except NotThereError:
                unsent += 1
                self._avoid(endpoint)
                self._release(request)
                continue
            except BrokeOffError:
                sends += 1
                self._avoid(endpoint)
                asyncio.get_running_loop().call_later(
                    SEEN_AFTER_S, self._saw_ending, request, endpoint
                )
                continue
            self._ended_well(request)
            return ModelAnswer.SERVED
        if self._standing(request) is SuspectState.QUARANTINED:
            return ModelAnswer.SHUT_OUT
        return ModelAnswer.FAILED

    async def _run(
        self, request: ModelRequest, endpoint: ModelEndpoint, standing: SuspectState
    ) -> None:
        name = endpoint.endpoint_id
        self._running[name] += 1
        self._suspects_at[name] += standing is not SuspectState.CLEAR
        try:
            if endpoint.ended_s is None:
                self._sent(self, request)
            await endpoint.run(request)
        finally:
            self._running[name] -= 1
            self._suspects_at[name] -= standing is not SuspectState.CLEAR

    def _standing(self, request: ModelRequest) -> SuspectState:
        if self.keeper is None or not self._remembers:
            return SuspectState.CLEAR
        now_s = asyncio.get_running_loop().time()
        return self.keeper.tracker.state_of(request.fingerprint, {BUILD}, now_s)

    def _choose(
        self, standing: SuspectState, tried: Sequence[EndpointId]
    ) -> ModelEndpoint | None:
        assert self.keeper is not None
        now_s = asyncio.get_running_loop().time()
        known = self._service.registered(now_s, self._read_s)
        known = [e for e in known if e.endpoint_id not in tried]
        sound = [e for e in known if self._avoided_s.get(e.endpoint_id, 0.0) <= now_s]
        apart = self.keeper.tracker.probed_endpoints(now_s)
        if standing is not SuspectState.CLEAR:
            apart |= {name for name, count in self._suspects_at.items() if count}
        free = [e for e in sound if e.endpoint_id not in apart]
        best = free or sound or known
        if not best:
            return None
        return min(
            best, key=lambda e: (self._running[e.endpoint_id], self._rng.random())
        )

    def _avoid(self, endpoint: ModelEndpoint) -> None:
        now_s = asyncio.get_running_loop().time()
        avoided_s = AVOIDED_S if self._remembers else 0.4
        self._avoided_s[endpoint.endpoint_id] = now_s + avoided_s

    async def _claim(
        self,
        request: ModelRequest,
        endpoint: ModelEndpoint,
        others: Sequence[EntryId],
    ) -> bool:
        assert self.keeper is not None
        trial = Probe(request.fingerprint, endpoint.endpoint_id, TRIAL_S)
        return await self.keeper.begin_probe(trial, others)

    def _release(self, request: ModelRequest) -> None:
        if self.keeper is not None:
            self.keeper.publish(self.keeper.tracker.cancel_probe(request.fingerprint))

    def _saw_ending(self, request: ModelRequest, endpoint: ModelEndpoint) -> None:
        if self.keeper is None or not self._remembers:
            return
        now_s = asyncio.get_running_loop().time()
        ending = Crash(endpoint.endpoint_id, 0, BUILD)
        book = self.keeper.tracker
        self.keeper.publish(book.record_crash(ending, [request.fingerprint], now_s))

    def _ended_well(self, request: ModelRequest) -> None:
        if self.keeper is None or not self._remembers:
            return
        now_s = asyncio.get_running_loop().time()
        self.keeper.publish(
            self.keeper.tracker.record_success(request.fingerprint, now_s)
        )
