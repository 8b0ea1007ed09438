"""Requests that end replicas, before the product's own interface.

Heartbeats carry all that an entry has found: one that is lost is replaced by the next,
and an entry that starts hears the others before it serves. Nothing of it is on the log:
when all entries lose power at once, a request that was known must be found again.
"""

import asyncio
import json
import logging
import time
from collections import Counter
from typing import Protocol

from celerytrack.events import Event, log_event
from celerytrack.findings import Crash, Findings, Probe
from celerytrack.fingerprint import Fingerprint, RequestHead, fingerprint_of, prefix_of
from celerytrack.ids import AccountId, EndpointId, EntryId, ReplicaId
from celerytrack.process_end import CRASH_DETECTION_S, has_ended
from celerytrack.settings import WorkClass
from celerytrack.suspect_logs import log_quarantined
from celerytrack.suspects import SuspectState, SuspectTracker
from celerytrack.verdict import Reason, Refusal, did_not_run

_log = logging.getLogger(__name__)

TOLD_S = 0.15
"""How long after a claim the others have heard of it: a heartbeat and its way."""
TRIAL_USUALLY_S = 1.0
"""When to come back while a request is tried: most trials have ended by then."""
NOT_BY_ITSELF_S = 3_600.0
"""When to come back if only new software helps."""
ONE_ENDING_S = 1
"""Endings of one replica within the same second are one: a replica that starts again
keeps its id."""


def fingerprint(work: WorkClass, account: str, body: object) -> Fingerprint:
    """What a repeat of a request has as well: class of work, caller and body."""
    raw = json.dumps(body, sort_keys=True).encode()
    line = RequestHead("POST", "", work.name, AccountId(account), len(raw))
    return fingerprint_of(prefix_of(line), raw)


class Fingerprinted(Protocol):
    """A request whose fingerprint is made when asked for."""

    @property
    def fingerprint(self) -> Fingerprint:
        """What a repeat of it has as well."""


class EntrySuspects:
    """Which requests end replicas, as this entry knows it."""

    def __init__(self, entry_id: EntryId) -> None:
        self.book = SuspectTracker(entry_id)
        self._at: Counter[ReplicaId] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()

    def findings(self, now_s: float) -> Findings | None:
        """What the next heartbeat tells."""
        if not self.book:
            return None
        findings = self.book.own_findings(now_s, time.time())
        return None if findings.is_empty else findings

    def hear(self, findings: Findings, now_s: float) -> None:
        """Take what another entry's heartbeat tells."""
        self.book.merge(findings, True, now_s)

    def standing(
        self, known: Fingerprint, work: WorkClass, now_s: float
    ) -> SuspectState:
        """What a request is taken for."""
        return self.book.state_of(known, {work.model}, now_s)

    def held_back(self, known: Fingerprint, now_s: float) -> Refusal:
        """The refusal of a request that no replica gets now."""
        back_in_s = self.book.retry_after_s(known, now_s)
        after_s = NOT_BY_ITSELF_S if back_in_s is None else back_in_s
        detail = f"replicas ended under request {known.hex()}"
        after_s = max(after_s, TRIAL_USUALLY_S)
        return did_not_run(Reason.QUARANTINED, after_s, detail)

    def apart(self, standing: SuspectState, now_s: float) -> frozenset[ReplicaId]:
        """The replicas that a request should not meet."""
        if not self.book:
            return frozenset()
        names = {ReplicaId(name) for name in self.book.probed_endpoints(now_s)}
        if standing is not SuspectState.CLEAR:
            names.update(self._at.elements())
        return frozenset(names)

    async def claim(
        self, known: Fingerprint, replica: ReplicaId, lasts_s: float
    ) -> bool:
        """Begin to try a request alone; whether this entry may."""
        trial = Probe(known, EndpointId(replica), lasts_s)
        if self.book.begin_probe(trial, time.monotonic()) is None:
            return False
        try:
            await asyncio.sleep(TOLD_S)
        except asyncio.CancelledError:
            # The caller left meanwhile.
            self.book.cancel_probe(known)
            raise
        return self.book.is_probing(known)

    def sent(self, replica: ReplicaId) -> None:
        """A request under suspicion is at ``replica``."""
        self._at[replica] += 1

    def over(self, replica: ReplicaId) -> None:
        """It is there no more."""
        self._at[replica] -= 1

    def release(self, request: Fingerprinted) -> None:
        """A trial of the request, if there is one, showed nothing."""
        if self.book:
            self.book.cancel_probe(request.fingerprint)

    def ended_well(self, request: Fingerprinted, now_s: float) -> None:
        """A replica answered the request whole."""
        if not self.book:
            return
        known = request.fingerprint
        told = self.book.record_success(known, now_s)
        if not told.is_empty:
            log_event(
                _log,
                Event.SUSPECT_CLEARED,
                logging.WARNING,
                fingerprint=known.hex(),
                endings=[evidence.crash.endpoint_id for evidence in told.cleared],
            )

    def broke(
        self, known: Fingerprint, replica: ReplicaId, address: str, model: str
    ) -> None:
        """The request broke at a replica: find out whether that ended."""
        task = asyncio.create_task(self._find_out(known, replica, address, model))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _find_out(
        self, known: Fingerprint, replica: ReplicaId, address: str, model: str
    ) -> None:
        at_s = int(time.time()) // ONE_ENDING_S
        try:
            async with asyncio.timeout(CRASH_DETECTION_S):
                ended = await has_ended(address)
        except TimeoutError:
            ended = False
        if not ended:
            self.book.cancel_probe(known)
            return
        ending = Crash(EndpointId(replica), at_s, model)
        now_s = time.monotonic()
        self.book.record_crash(ending, [known], now_s)
        log_event(
            _log,
            Event.ENDPOINT_ENDED,
            logging.WARNING,
            endpoint=replica,
            fingerprints=[known.hex()],
        )
        suspect = self.book.describe(known, now_s)
        if suspect.state is SuspectState.QUARANTINED:
            log_quarantined(_log, suspect)
