"""What crashes of endpoints say of the requests that they ran, here and elsewhere."""

import asyncio
import collections
import logging
import random
import time
from collections.abc import Callable

from cachetools import LRUCache

from celerytrack.events import Event, log_event
from celerytrack.findings import Crash, Findings
from celerytrack.fingerprint import Fingerprint
from celerytrack.gateway.crash_detector import CrashedEndpoint
from celerytrack.gateway.suspect_sync import SuspectSync
from celerytrack.gateway.telemetry import Telemetry
from celerytrack.suspect_logs import log_quarantined
from celerytrack.suspects import MAX_SUSPECTS, SuspectState

_log = logging.getLogger(__name__)

CLEAR_SPREAD_S = 0.2
"""Longest time until an entry tells the others that a part which they suspect is
answered."""


class CrashFindings:
    """Records crashes, and what other entries find, and logs what follows.

    :param mark_crashed: called with each incarnation that crashed, and the time.
    """

    def __init__(
        self,
        sync: SuspectSync,
        mark_crashed: Callable[[Crash, float], None],
        telemetry: Telemetry,
        rng: random.Random,
    ) -> None:
        self._sync = sync
        self._mark_crashed = mark_crashed
        self._telemetry = telemetry
        self._rng = rng
        self._logged_quarantines: LRUCache[Fingerprint, frozenset[Crash]] = LRUCache(
            MAX_SUSPECTS
        )

    def on_crash(self, crashed: CrashedEndpoint) -> None:
        """Record that an endpoint crashed while it ran requests of this entry."""
        self._telemetry.endpoints_ended.inc()
        registration = crashed.endpoint.registration
        log_event(
            _log,
            Event.ENDPOINT_ENDED,
            logging.WARNING,
            endpoint=registration.endpoint_id,
            fingerprints=sorted(r.fingerprint.hex() for r in crashed.interrupted),
            parts=crashed.most_shared_parts(),
        )
        now_s = time.monotonic()
        crash = Crash(
            registration.endpoint_id, registration.born_ms, registration.build
        )
        self._mark_crashed(crash, now_s)
        found = self._sync.tracker.record_crash(crash, crashed.features(), now_s)
        self._sync.publish(found)
        self._log_quarantined(found)

    def receive(self, findings: Findings) -> None:
        """Record what another entry found, as a peer message tells it."""
        now_s = time.monotonic()
        for evidence in findings.evidence:
            self._mark_crashed(evidence.crash, now_s)
        self._sync.receive(findings)

    def on_merged(self, findings: Findings) -> None:
        """Act on findings of another entry, or of an earlier incarnation of this
        one, that were merged."""
        self._log_quarantined(findings)
        if self._sync.tracker.has_sound_suspects(findings, time.monotonic()):
            # Most entries know so at once; the first one that says it is enough.
            delay_s = self._rng.uniform(0.0, CLEAR_SPREAD_S)
            asyncio.get_running_loop().call_later(delay_s, self._clear_sound_parts)

    def update_metrics(self) -> None:
        """Update the gauges of suspected requests and parts."""
        suspects = self._sync.tracker.list_suspects(time.monotonic())
        counts = collections.Counter(suspect.state for suspect in suspects)
        for state in (
            SuspectState.WATCHED,
            SuspectState.PROBE_ONLY,
            SuspectState.QUARANTINED,
        ):
            self._telemetry.suspects.labels(state.value).set(counts[state])

    def _clear_sound_parts(self) -> None:
        """Tell the other entries that parts which they suspect are answered here."""
        cleared = self._sync.tracker.clear_sound(time.monotonic())
        self._sync.publish(cleared)
        for fingerprint in {evidence.fingerprint for evidence in cleared.cleared}:
            log_event(
                _log,
                Event.SUSPECT_CLEARED,
                logging.WARNING,
                fingerprint=fingerprint.hex(),
                endings=[
                    evidence.crash.endpoint_id
                    for evidence in cleared.cleared
                    if evidence.fingerprint == fingerprint
                ],
            )

    def _log_quarantined(self, findings: Findings) -> None:
        """Log newly quarantined requests, once for the same set of crashes."""
        now_s = time.monotonic()
        for fingerprint in {evidence.fingerprint for evidence in findings.evidence}:
            suspect = self._sync.tracker.describe(fingerprint, now_s)
            if suspect.state is not SuspectState.QUARANTINED:
                continue
            crashes = frozenset(suspect.crashes)
            if self._logged_quarantines.get(fingerprint) == crashes:
                continue
            self._logged_quarantines[fingerprint] = crashes
            log_quarantined(_log, suspect)
