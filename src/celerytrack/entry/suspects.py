"""Quarantine of requests that crash replicas, for the product's own interface.

Each heartbeat carries all findings of its entry, so the next one replaces a lost one,
and a starting entry waits for its peers' heartbeats before it serves. Nothing is
written to the log: if all entries lose power at once, the requests must be detected
again.
"""

import asyncio
import hashlib
import json
import logging
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

import msgpack

from celerytrack.events import Event, log_event
from celerytrack.findings import Crash, Findings, Probe
from celerytrack.fingerprint import (
    MAX_PARTS,
    Fingerprint,
    RequestHead,
    fingerprint_of,
    is_part,
    part_fingerprints,
    prefix_of,
)
from celerytrack.ids import (
    AccountId,
    EndpointId,
    EntryId,
    PartId,
    ReplicaId,
    ServiceName,
)
from celerytrack.process_end import CRASH_DETECTION_S, has_ended
from celerytrack.settings import WorkClass
from celerytrack.suspect_logs import log_quarantined
from celerytrack.suspects import SuspectState, SuspectTracker
from celerytrack.verdict import Reason, Refusal, did_not_run

_log = logging.getLogger(__name__)

PROBE_PROPAGATION_S = 0.15
"""Time until all peers know of a probe: one heartbeat interval and its transmission."""
TYPICAL_PROBE_S = 1.0
"""``Retry-After`` during a half-open probe: most probes have ended by then."""
OPERATOR_LIFT_RETRY_AFTER_S = 3_600.0
"""``Retry-After`` if only an operator or a new release can end the quarantine."""
SAME_CRASH_WINDOW_S = 1
"""Crashes of one replica within the same second count as one. A replica that restarts
keeps its id, so the time tells its crashes apart."""


def fingerprint(work: WorkClass, account: str, body: object) -> Fingerprint:
    """Identifies repeats of a request by its class of work, account and body."""
    raw = json.dumps(body, sort_keys=True).encode()
    head = RequestHead("POST", "", work.name, AccountId(account), len(raw))
    return fingerprint_of(prefix_of(head), raw)


def part_fingerprints_of(work: WorkClass, body: object) -> tuple[Fingerprint, ...]:
    """The parts of a chat prompt: its messages but for the last, which is its own."""
    messages = body.get("messages") if isinstance(body, dict) else None
    if not isinstance(messages, list):
        return ()
    shared = messages[: min(len(messages) - 1, MAX_PARTS)]
    parts = [PartId(_digest_of(message).hexdigest()) for message in shared]
    return part_fingerprints(ServiceName(work.model), parts)


def _digest_of(message: object) -> "hashlib.blake2b":
    """Digest of a message, whatever the order of its fields."""
    fields = sorted(message.items()) if isinstance(message, dict) else message
    try:
        raw: bytes = msgpack.packb(fields)
    except (ValueError, OverflowError):
        # Half of a surrogate pair, or a number of more than 64 bits.
        raw = json.dumps(message, sort_keys=True).encode()
    return hashlib.blake2b(raw, digest_size=16)


class Featured(Protocol):
    """A request whose features are computed on access."""

    @property
    def fingerprint(self) -> Fingerprint:
        """Identifies repeats of the request."""

    @property
    def part_fingerprints(self) -> tuple[Fingerprint, ...]:
        """Identify the parts of its prompt that others may have."""


def features_of(request: Featured) -> tuple[Fingerprint, ...]:
    """What may crash replicas: the request as a whole, or a part of its prompt."""
    return (*request.part_fingerprints, request.fingerprint)


async def _is_reached_by_nobody(replica: ReplicaId) -> bool:
    return False


class EntrySuspects:
    """The requests that this entry suspects of crashing replicas.

    :param is_reached: whether another entry reaches a replica that refuses connections
        here, so that it has not crashed.
    """

    def __init__(
        self,
        entry_id: EntryId,
        is_reached: Callable[[ReplicaId], Awaitable[bool]] = _is_reached_by_nobody,
    ) -> None:
        self._is_reached = is_reached
        self.tracker = SuspectTracker(entry_id)
        self._suspects_in_flight: Counter[ReplicaId] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()

    def heartbeat_findings(self, now_s: float) -> Findings | None:
        """The findings for the next heartbeat."""
        if not self.tracker:
            return None
        self.tracker.clear_sound(now_s)
        findings = self.tracker.own_findings(now_s, time.time())
        return None if findings.is_empty else findings

    def merge(self, findings: Findings, now_s: float) -> None:
        """Merge the findings of a peer's heartbeat."""
        self.tracker.merge(findings, True, now_s)

    def state_of(
        self, request: Featured, work: WorkClass, now_s: float
    ) -> SuspectState:
        """How strongly a request is suspected of crashing replicas."""
        features = features_of(request)
        return self.tracker.state_of_request(features, {work.model}, now_s)

    def quarantine_refusal(self, request: Featured, now_s: float) -> Refusal:
        """The refusal of a request that is quarantined or probed by another entry."""
        fingerprint = self.tracker.worst_of(features_of(request)) or request.fingerprint
        allowed_in_s = self.tracker.retry_after_s(fingerprint, now_s)
        retry_after_s = (
            OPERATOR_LIFT_RETRY_AFTER_S if allowed_in_s is None else allowed_in_s
        )
        kind = "part" if is_part(fingerprint) else "request"
        detail = f"replicas ended under {kind} {fingerprint.hex()}"
        retry_after_s = max(retry_after_s, TYPICAL_PROBE_S)
        return did_not_run(Reason.QUARANTINED, retry_after_s, detail)

    def replicas_to_avoid(
        self, suspect_state: SuspectState, now_s: float
    ) -> frozenset[ReplicaId]:
        """The replicas that a request should not be sent to.

        These are the replicas on which a probe runs and, for a suspect request, also
        those that run another suspect.
        """
        if not self.tracker:
            return frozenset()
        names = {ReplicaId(name) for name in self.tracker.probed_endpoints(now_s)}
        if suspect_state is not SuspectState.CLEAR:
            names.update(self._suspects_in_flight.elements())
        return frozenset(names)

    async def begin_probe(
        self, request: Featured, replica: ReplicaId, lasts_s: float
    ) -> bool:
        """Begin a half-open probe: one entry sends the request, and no other does.

        :returns: whether this entry may send the probe.
        """
        features = self.tracker.to_probe(features_of(request))
        probes = [Probe(f, EndpointId(replica), lasts_s) for f in features]
        if self.tracker.begin_probes(probes, time.monotonic()) is None:
            return False
        try:
            await asyncio.sleep(PROBE_PROPAGATION_S)
        except asyncio.CancelledError:
            # The caller disconnected during the wait.
            self.tracker.cancel_probes(features)
            raise
        return self.tracker.is_probing(features)

    def begin_suspect(self, replica: ReplicaId) -> None:
        """Count a suspect request sent to ``replica``."""
        self._suspects_in_flight[replica] += 1

    def end_suspect(self, replica: ReplicaId) -> None:
        """Count a suspect request at ``replica`` that has ended."""
        self._suspects_in_flight[replica] -= 1

    def cancel_probe(self, request: Featured) -> None:
        """End this entry's probe of the request, if it runs one, without a result."""
        if self.tracker:
            self.tracker.cancel_probes(features_of(request))

    def record_success(self, request: Featured, model: str, now_s: float) -> None:
        """Clear the request and its parts: a replica answered it completely."""
        parts = request.part_fingerprints
        self.tracker.sound_parts.record(parts, model, now_s)
        if not self.tracker:
            return
        features = (*parts, request.fingerprint)
        cleared = self.tracker.record_successes(features, now_s)
        if not cleared.is_empty:
            fingerprint = cleared.cleared[0].fingerprint
            log_event(
                _log,
                Event.SUSPECT_CLEARED,
                logging.WARNING,
                fingerprint=fingerprint.hex(),
                endings=[evidence.crash.endpoint_id for evidence in cleared.cleared],
            )

    def check_for_crash(
        self, request: Featured, replica: ReplicaId, address: str, model: str
    ) -> None:
        """Check whether the replica crashed while it ran the request."""
        features = features_of(request)
        task = asyncio.create_task(self._check(features, replica, address, model))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(
        self,
        features: Sequence[Fingerprint],
        replica: ReplicaId,
        address: str,
        model: str,
    ) -> None:
        at_s = int(time.time()) // SAME_CRASH_WINDOW_S
        try:
            async with asyncio.timeout(CRASH_DETECTION_S):
                has_crashed = await has_ended(address)
        except TimeoutError:
            has_crashed = False
        if not has_crashed or await self._is_reached(replica):
            self.tracker.cancel_probes(features)
            return
        crash = Crash(EndpointId(replica), at_s, model)
        now_s = time.monotonic()
        found = self.tracker.record_crash(crash, features, now_s)
        # Of the features that are cleared by now, the probe is over as well.
        self.tracker.cancel_probes(features)
        fingerprints = [evidence.fingerprint for evidence in found.evidence]
        log_event(
            _log,
            Event.ENDPOINT_ENDED,
            logging.WARNING,
            endpoint=replica,
            fingerprints=[fingerprint.hex() for fingerprint in fingerprints],
        )
        for fingerprint in fingerprints:
            suspect = self.tracker.describe(fingerprint, now_s)
            if suspect.state is SuspectState.QUARANTINED:
                log_quarantined(_log, suspect)
