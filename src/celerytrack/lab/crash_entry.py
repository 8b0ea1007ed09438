"""A modelled entry that serves crashing requests.

It synchronises suspects and decides about them with the real code, and chooses
endpoints in a minimal way.
"""

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
    DISCOVERY_S,
    ConnectionBrokenError,
    EndpointDownError,
    ModelEndpoint,
    ModelRequest,
    ModelService,
)
from celerytrack.lab.model_log import ModelLog, ModelStore
from celerytrack.lab.virtual_time import Clock, on_instance
from celerytrack.suspects import SuspectState

MAX_ATTEMPTS = 2
MAX_UNSENT = 3
EJECTION_S = 4.0
CRASH_SEEN_AFTER_S = 0.002
"""Time from a broken request to the refused connection that shows the crash."""
START_S = 0.15
"""Time from the start of a process to its first call."""
PROBE_S = 5.0
BUILD = "s v1"


class ModelAnswer(enum.Enum):
    """Outcome of a request for its caller."""

    SERVED = "served"
    FAILED = "failed"
    QUARANTINED = "shut_out"
    DOWN = "away"


OnSent = Callable[["CrashEntry", ModelRequest], None]


class CrashEntry:
    """One modelled entry.

    :param tracking: whether it tracks the requests that crash endpoints.
    :param announce: sends a peer message from this entry.
    :param on_sent: called for each request that reaches an endpoint.
    :ivar partitioned: whether it is partitioned from all other entries.
    :ivar last_change_s: when it was last restarted, partitioned or reconnected.
    """

    def __init__(
        self,
        number: int,
        log: ModelLog,
        service: ModelService,
        tracking: bool,
        announce: Callable[["CrashEntry", Findings], None],
        on_sent: OnSent,
        rng: random.Random,
    ) -> None:
        self.entry_id = EntryId(f"e{number:03}")
        self.partitioned = False
        self.last_change_s = float("-inf")
        self.store = ModelStore(log)
        self.sync: SuspectSync | None = None
        self._service = service
        self._tracking = tracking
        self._announce = announce
        self._on_sent = on_sent
        self._rng = rng
        self._read_s = rng.uniform(0.0, DISCOVERY_S)
        self._ejected_until_s: dict[EndpointId, float] = {}
        self._running: Counter[EndpointId] = Counter()
        self._suspects_at: Counter[EndpointId] = Counter()
        self._task: asyncio.Task[None] | None = None
        self._starts = 0

    async def start(self) -> None:
        """Start the process and wait until it serves."""
        self.store.eras = eras = EraTracker()
        self._starts += 1
        await asyncio.sleep(START_S)
        sync = SuspectSync(
            HedgedStore(self.store),
            self.entry_id,
            str(self._starts),
            eras,
            lambda findings: self._announce(self, findings),
            lambda findings: None,
        )
        if self._tracking:
            self._task = on_instance(Clock(), sync.run())
            while not sync.loaded:
                await asyncio.sleep(0.01)
        self.sync = sync

    def stop(self) -> None:
        """End the process."""
        if self._task is not None:
            self._task.cancel()
        self.sync = self._task = None
        self._ejected_until_s.clear()

    def receive(self, findings: Findings) -> None:
        """Receive a peer message of another entry."""
        if self.sync is None or not self._tracking:
            return
        now_s = asyncio.get_running_loop().time()
        for evidence in findings.evidence:
            self._ejected_until_s[evidence.crash.endpoint_id] = now_s + EJECTION_S
        self.sync.receive(findings)

    async def serve(
        self, request: ModelRequest, others: Sequence[EntryId]
    ) -> ModelAnswer:
        """Answer one request."""
        if self.sync is None:
            return ModelAnswer.DOWN
        tried: list[EndpointId] = []
        sends = unsent = 0
        while sends < MAX_ATTEMPTS and unsent < MAX_UNSENT:
            state = self._state_of(request)
            endpoint = self._choose(state, tried)
            if state is SuspectState.QUARANTINED or endpoint is None:
                break
            if state is SuspectState.PROBE_ONLY and not await self._begin_probe(
                request, endpoint, others
            ):
                return ModelAnswer.QUARANTINED
            tried.append(endpoint.endpoint_id)
            try:
                await self._run(request, endpoint, state)
            except EndpointDownError:
                unsent += 1
                self._eject(endpoint)
                self._cancel_probe(request)
                continue
            except ConnectionBrokenError:
                sends += 1
                self._eject(endpoint)
                asyncio.get_running_loop().call_later(
                    CRASH_SEEN_AFTER_S, self._record_crash, request, endpoint
                )
                continue
            self._record_success(request)
            return ModelAnswer.SERVED
        if self._state_of(request) is SuspectState.QUARANTINED:
            return ModelAnswer.QUARANTINED
        return ModelAnswer.FAILED

    async def _run(
        self, request: ModelRequest, endpoint: ModelEndpoint, state: SuspectState
    ) -> None:
        name = endpoint.endpoint_id
        self._running[name] += 1
        self._suspects_at[name] += state is not SuspectState.CLEAR
        try:
            if endpoint.crashed_at_s is None:
                self._on_sent(self, request)
            await endpoint.run(request)
        finally:
            self._running[name] -= 1
            self._suspects_at[name] -= state is not SuspectState.CLEAR

    def _state_of(self, request: ModelRequest) -> SuspectState:
        if self.sync is None or not self._tracking:
            return SuspectState.CLEAR
        now_s = asyncio.get_running_loop().time()
        return self.sync.tracker.state_of_request(request.features, {BUILD}, now_s)

    def _choose(
        self, state: SuspectState, tried: Sequence[EndpointId]
    ) -> ModelEndpoint | None:
        assert self.sync is not None
        now_s = asyncio.get_running_loop().time()
        candidates = self._service.registered(now_s, self._read_s)
        candidates = [e for e in candidates if e.endpoint_id not in tried]
        healthy = [
            e
            for e in candidates
            if self._ejected_until_s.get(e.endpoint_id, 0.0) <= now_s
        ]
        isolated = self.sync.tracker.probed_endpoints(now_s)
        if state is not SuspectState.CLEAR:
            isolated |= {name for name, count in self._suspects_at.items() if count}
        free = [e for e in healthy if e.endpoint_id not in isolated]
        best = free or healthy or candidates
        if not best:
            return None
        return min(
            best, key=lambda e: (self._running[e.endpoint_id], self._rng.random())
        )

    def _eject(self, endpoint: ModelEndpoint) -> None:
        now_s = asyncio.get_running_loop().time()
        ejection_s = EJECTION_S if self._tracking else 0.4
        self._ejected_until_s[endpoint.endpoint_id] = now_s + ejection_s

    async def _begin_probe(
        self,
        request: ModelRequest,
        endpoint: ModelEndpoint,
        others: Sequence[EntryId],
    ) -> bool:
        assert self.sync is not None
        features = self.sync.tracker.to_probe(request.features)
        probes = [Probe(f, endpoint.endpoint_id, PROBE_S) for f in features]
        return await self.sync.begin_probes(probes, others)

    def _cancel_probe(self, request: ModelRequest) -> None:
        if self.sync is not None:
            self.sync.publish(self.sync.tracker.cancel_probes(request.features))

    def _record_crash(self, request: ModelRequest, endpoint: ModelEndpoint) -> None:
        if self.sync is None or not self._tracking:
            return
        now_s = asyncio.get_running_loop().time()
        crash = Crash(endpoint.endpoint_id, 0, BUILD)
        tracker = self.sync.tracker
        self.sync.publish(tracker.record_crash(crash, request.features, now_s))

    def _record_success(self, request: ModelRequest) -> None:
        if self.sync is None or not self._tracking:
            return
        now_s = asyncio.get_running_loop().time()
        tracker = self.sync.tracker
        tracker.sound_parts.record(request.parts, BUILD, now_s)
        self.sync.publish(tracker.record_successes(request.features, now_s))
