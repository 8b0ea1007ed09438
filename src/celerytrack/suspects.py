"""Quarantine of requests that may have crashed their endpoints, without I/O.

A request that crashes its endpoint is repeated at any entry, and crashes each endpoint
that runs it. Evidence is therefore kept by features of requests, and is the same at all
entries: a grow-only set of crashes and a grow-only set of cleared crashes for each. A
feature is a fingerprint: of a whole request, or of a part of its prompt, which
crashes endpoints whatever else the request holds. A request is as suspect as the
worst of its features.

Harmless requests that run beside a crashing request are suspected too. A request that
succeeds at any entry is cleared of all its crashes. A request that was running in two
crashes is sent only as a probe, by one entry at a time.
"""

import enum
from collections.abc import Collection, Iterable, Sequence

import attrs

from celerytrack.findings import Crash, Evidence, Findings, Probe
from celerytrack.fingerprint import (
    Fingerprint,
    FingerprintPrefix,
    is_part,
    prefix_in,
)
from celerytrack.ids import EndpointId, EntryId
from celerytrack.sound_parts import SoundParts

CRASHES_TO_PROBE = 2
CRASHES_TO_QUARANTINE = 3
QUARANTINE_PERIODS_S = (20.0, 300.0, 3_600.0)
"""How long a request is quarantined after its third, fourth and fifth crash. After the
sixth it stays quarantined until an operator lifts the quarantine: a request known to
crash endpoints may crash at most three more in probes."""
SUSPECT_TTL_S = 900.0
"""How long a request that is not quarantined is remembered after its last crash: long
enough to count three crashes of a request that is repeated every few minutes."""
MAX_SUSPECTS = 4_096
"""Suspects remembered at most: about 1 MB, and far more than the requests that run at
the endpoints that crash within a few minutes."""
EVICTED_SHARE = 0.1
"""Share of the suspects that is evicted at once when there are too many."""
EXPIRE_INTERVAL_S = 1.0
"""Shortest time between two expiry passes. With thousands of suspects one pass takes a
few ms, and peer messages arrive by the dozen."""
MAX_PUBLISHED = 64
"""Most items of each kind in an entry's own record. Evidence against the requests with
the most crashes goes first."""


class SuspectState(enum.Enum):
    """Whether and how a request may be sent to endpoints."""

    CLEAR = "clear"
    WATCHED = "watched"
    """An endpoint crashed while running it; another request may be the cause."""
    PROBE_ONLY = "alone"
    """Several endpoints crashed while they ran the request: one entry at a time may
    send it, as a probe."""
    QUARANTINED = "shut_out"
    """The request is not sent to any endpoint."""


_SEVERITY = list(SuspectState)
"""The states, from the least to the most suspect."""


@attrs.define
class _ActiveProbe:
    """A probe in progress, of this or another entry."""

    entry_id: EntryId
    endpoint_id: EndpointId
    ends_s: float


@attrs.define
class _Suspicion:
    """Crashes of one request, with the times at which this entry learned of them."""

    crashes: dict[Crash, float] = attrs.field(factory=dict)
    cleared: dict[Crash, float] = attrs.field(factory=dict)

    @property
    def uncleared(self) -> list[Crash]:
        return [crash for crash in self.crashes if crash not in self.cleared]

    @property
    def last_change_s(self) -> float:
        times_s = (*self.crashes.values(), *self.cleared.values())
        return max(times_s, default=float("-inf"))

    @property
    def last_uncleared_s(self) -> float:
        return max((self.crashes[c] for c in self.uncleared), default=float("-inf"))


@attrs.frozen
class Suspect:
    """One suspected feature of requests, as operators see it.

    :ivar quarantine_left_s: time until it may be probed; ``None`` if only an operator
        can lift the quarantine.
    """

    fingerprint: Fingerprint
    state: SuspectState
    crashes: tuple[Crash, ...]
    quarantine_left_s: float | None

    @property
    def kind(self) -> str:
        """Whether it is a whole request or a part of prompts."""
        return "part" if is_part(self.fingerprint) else "request"


class SuspectTracker:
    """The suspected requests, as one entry knows them.

    :param entry_id: this entry.
    """

    def __init__(self, entry_id: EntryId) -> None:
        self.entry_id = entry_id
        self.sound_parts = SoundParts()
        self._suspects: dict[Fingerprint, _Suspicion] = {}
        self._quarantinable: set[Fingerprint] = set()
        self._prefix_counts: dict[FingerprintPrefix, int] = {}
        self._probes: dict[Fingerprint, _ActiveProbe] = {}
        self._own_evidence: dict[Evidence, float] = {}
        self._own_cleared: dict[Evidence, float] = {}
        self._next_expiry_s = float("-inf")

    def __len__(self) -> int:
        return len(self._suspects)

    def has_prefix(self, prefix: FingerprintPrefix) -> bool:
        """Whether a suspect's fingerprint begins with ``prefix``.

        The bodies of other requests need not be hashed.
        """
        return prefix in self._prefix_counts

    # -- evidence ------------------------------------------------------------

    def record_crash(
        self, crash: Crash, fingerprints: Iterable[Fingerprint], now_s: float
    ) -> Findings:
        """Record that an endpoint crashed while it ran requests of this entry.

        :returns: what to send to the other entries.
        """
        found = tuple(
            Evidence(fingerprint, crash)
            for fingerprint in fingerprints
            if not self.sound_parts.is_sound(fingerprint, crash.build, now_s)
        )
        for evidence in found:
            self._own_evidence[evidence] = now_s
            self._add_crash(evidence, now_s)
        self.expire(now_s)
        return Findings(self.entry_id, found)

    def merge(self, findings: Findings, complete: bool, now_s: float) -> None:
        """Merge the findings of another entry.

        :param complete: whether they are the entry's complete record, so that its
            probes that are missing there are over.
        """
        for evidence in findings.evidence:
            self._add_crash(evidence, now_s)
        for evidence in findings.cleared:
            self._clear(evidence, now_s)
        if complete:
            self._probes = {
                fingerprint: active
                for fingerprint, active in self._probes.items()
                if active.entry_id != findings.entry_id
            }
        for probe in findings.probes:
            self._merge_probe(findings.entry_id, probe, now_s)
        self.expire(now_s)

    def restore_own(self, findings: Findings, now_s: float) -> None:
        """Restore what this entry found before it was restarted."""
        for evidence in findings.evidence:
            self._own_evidence[evidence] = now_s
            self._add_crash(evidence, now_s)
        for evidence in findings.cleared:
            self._own_cleared[evidence] = now_s
            self._clear(evidence, now_s)

    def record_success(self, fingerprint: Fingerprint, now_s: float) -> Findings:
        """Clear a request that succeeded.

        :returns: what to send to the other entries: nothing for a request with a single
            crash, which no entry probes or quarantines.
        """
        suspicion = self._suspects.get(fingerprint)
        single_crash = suspicion and len(suspicion.uncleared) < CRASHES_TO_PROBE
        findings = self.lift(fingerprint, now_s)
        if single_crash:
            return Findings(self.entry_id)
        self._own_cleared.update(dict.fromkeys(findings.cleared, now_s))
        return findings

    def record_successes(
        self, fingerprints: Iterable[Fingerprint], now_s: float
    ) -> Findings:
        """Clear the features of a request that succeeded.

        :returns: what to send to the other entries.
        """
        found = [self.record_success(f, now_s) for f in fingerprints]
        cleared = tuple(evidence for findings in found for evidence in findings.cleared)
        return Findings(self.entry_id, cleared=cleared)

    def clear_sound(self, now_s: float) -> Findings:
        """Clear the parts that others suspect and that are answered here.

        :returns: what to send to the other entries.
        """
        sound = [f for f in self._suspects if self._is_suspect_but_sound(f, now_s)]
        return self.record_successes(sound, now_s)

    def has_sound_suspects(self, findings: Findings, now_s: float) -> bool:
        """Whether other entries suspect a part that is answered here."""
        return any(
            self._is_suspect_but_sound(e.fingerprint, now_s) for e in findings.evidence
        )

    def _is_suspect_but_sound(self, fingerprint: Fingerprint, now_s: float) -> bool:
        suspicion = self._suspects.get(fingerprint)
        return (
            suspicion is not None
            and len(suspicion.uncleared) >= CRASHES_TO_PROBE
            and self._is_sound(fingerprint, now_s)
        )

    def _is_sound(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Whether each build that crashed under a part has answered it here."""
        builds = {crash.build for crash in self._suspects[fingerprint].uncleared}
        return all(
            self.sound_parts.is_sound(fingerprint, build, now_s) for build in builds
        )

    def lift(self, fingerprint: Fingerprint, now_s: float) -> Findings:
        """Clear a request of all its crashes, which ends its quarantine.

        :returns: what to send to the other entries.
        """
        suspicion = self._suspects.get(fingerprint)
        if suspicion is None:
            return Findings(self.entry_id)
        cleared = tuple(Evidence(fingerprint, crash) for crash in suspicion.uncleared)
        self._probes.pop(fingerprint, None)
        for evidence in cleared:
            self._clear(evidence, now_s)
        return Findings(self.entry_id, cleared=cleared)

    # -- decisions -----------------------------------------------------------

    def state_of(
        self, fingerprint: Fingerprint, builds: Collection[str], now_s: float
    ) -> SuspectState:
        """Whether and how a request may be sent.

        :param builds: builds of the endpoints to which it may be sent. The fault that
            crashed other builds may be fixed in these.
        """
        suspicion = self._suspects.get(fingerprint)
        uncleared = suspicion.uncleared if suspicion else []
        if suspicion is None or not uncleared:
            return SuspectState.CLEAR
        if self._is_sound(fingerprint, now_s):
            return SuspectState.CLEAR
        if len(uncleared) < CRASHES_TO_PROBE:
            return SuspectState.WATCHED
        if len(uncleared) < CRASHES_TO_QUARANTINE:
            return SuspectState.PROBE_ONLY
        left_s = _quarantine_left_s(suspicion, now_s)
        if left_s is None:
            return SuspectState.QUARANTINED
        other_builds = builds and not {c.build for c in uncleared} & set(builds)
        may_probe = left_s <= 0 or other_builds
        return SuspectState.PROBE_ONLY if may_probe else SuspectState.QUARANTINED

    def state_of_request(
        self, features: Collection[Fingerprint], builds: Collection[str], now_s: float
    ) -> SuspectState:
        """Whether and how a request with ``features`` may be sent."""
        states = {self._state_among(f, features, builds, now_s) for f in features}
        return max(states, key=_SEVERITY.index, default=SuspectState.CLEAR)

    def _state_among(
        self,
        fingerprint: Fingerprint,
        features: Collection[Fingerprint],
        builds: Collection[str],
        now_s: float,
    ) -> SuspectState:
        """The state of one of the ``features`` of a request.

        Two features that were in the same crashes can't be told apart by them: without
        the other one, the request is a probe.
        """
        state = self.state_of(fingerprint, builds, now_s)
        if state is SuspectState.QUARANTINED and self._is_explained(
            fingerprint, features
        ):
            return SuspectState.PROBE_ONLY
        return state

    def _is_explained(
        self, fingerprint: Fingerprint, features: Collection[Fingerprint]
    ) -> bool:
        """Whether each crash of a feature was also one of another quarantined feature
        that the request lacks."""
        left = set(self._suspects[fingerprint].uncleared)
        for other in self._quarantinable:
            crashes = self._suspects[other].uncleared
            if other not in features and len(crashes) >= CRASHES_TO_QUARANTINE:
                left.difference_update(crashes)
        return not left

    def to_probe(self, features: Iterable[Fingerprint]) -> list[Fingerprint]:
        """Those of a request's features that only a probe may have, the one with most
        crashes first."""
        counts = {
            f: len(self._suspects[f].uncleared) for f in features if f in self._suspects
        }
        suspects = [f for f, count in counts.items() if count >= CRASHES_TO_PROBE]
        return sorted(suspects, key=lambda f: (-counts[f], f))

    def worst_of(self, features: Iterable[Fingerprint]) -> Fingerprint | None:
        """The feature of a request with most crashes; ``None`` if none has any."""
        return next(iter(self.to_probe(features)), None)

    def retry_after_s(self, fingerprint: Fingerprint, now_s: float) -> float | None:
        """Time until a request that is quarantined or being probed may be sent;
        ``None`` if an operator must lift the quarantine."""
        suspicion = self._suspects.get(fingerprint)
        if suspicion is None:
            return 0.0
        active = self._probes.get(fingerprint)
        probe_s = active.ends_s - now_s if active else 0.0
        if len(suspicion.uncleared) < CRASHES_TO_QUARANTINE:
            return max(0.0, probe_s)
        left_s = _quarantine_left_s(suspicion, now_s)
        return None if left_s is None else max(0.0, left_s, probe_s)

    def begin_probes(self, probes: Sequence[Probe], now_s: float) -> Findings | None:
        """Begin to probe the suspected features of one request.

        :returns: what to send to the other entries; ``None`` if a probe of one of them
            is in progress.
        """
        known = (self._probes.get(probe.fingerprint) for probe in probes)
        if any(active is not None and active.ends_s > now_s for active in known):
            return None
        for probe in probes:
            ends_s = now_s + probe.remaining_s
            self._probes[probe.fingerprint] = _ActiveProbe(
                self.entry_id, probe.endpoint_id, ends_s
            )
        return Findings(self.entry_id, probes=tuple(probes))

    def is_probing(self, fingerprints: Iterable[Fingerprint]) -> bool:
        """Whether this entry has probes of all these features in progress."""
        known = (self._probes.get(fingerprint) for fingerprint in fingerprints)
        return all(
            active is not None and active.entry_id == self.entry_id for active in known
        )

    def cancel_probes(self, fingerprints: Iterable[Fingerprint]) -> Findings:
        """End this entry's probes without a result.

        :returns: what to send to the other entries.
        """
        finished = []
        for fingerprint in fingerprints:
            if self.is_probing([fingerprint]):
                active = self._probes.pop(fingerprint)
                finished.append(Probe(fingerprint, active.endpoint_id, 0.0))
        return Findings(self.entry_id, probes=tuple(finished))

    def probed_endpoints(self, now_s: float) -> set[EndpointId]:
        """The endpoints at which probes are in progress."""
        active = self._probes.values()
        return {probe.endpoint_id for probe in active if probe.ends_s > now_s}

    # -- reports -----------------------------------------------------------------

    def own_findings(self, now_s: float, unix_now_s: float = 0.0) -> Findings:
        """This entry's record: requests with most crashes first, then the newest.

        :param unix_now_s: current Unix time.
        """
        self.expire(now_s)
        evidence = sorted(
            (e for e in self._own_evidence if self._is_uncleared(e)),
            key=lambda e: (
                -len(self._suspects[e.fingerprint].uncleared),
                -self._own_evidence[e],
            ),
        )
        cleared = sorted(
            self._own_cleared, key=lambda e: self._own_cleared[e], reverse=True
        )
        probes = [
            Probe(fingerprint, active.endpoint_id, active.ends_s - now_s)
            for fingerprint, active in self._probes.items()
            if active.entry_id == self.entry_id and active.ends_s > now_s
        ]
        evidence = evidence[:MAX_PUBLISHED]
        return Findings(
            self.entry_id,
            tuple(evidence),
            tuple(cleared[:MAX_PUBLISHED]),
            tuple(probes[:MAX_PUBLISHED]),
            tuple(int(unix_now_s - now_s + self._own_evidence[e]) for e in evidence),
        )

    def list_suspects(self, now_s: float) -> list[Suspect]:
        """All suspected requests, those with most crashes first."""
        found = [
            self.describe(f, now_s) for f, s in self._suspects.items() if s.uncleared
        ]
        return sorted(found, key=lambda s: -len(s.crashes))

    def describe(self, fingerprint: Fingerprint, now_s: float) -> Suspect:
        """The state and the crashes of one request."""
        suspicion = self._suspects.get(fingerprint, _Suspicion())
        return Suspect(
            fingerprint=fingerprint,
            state=self.state_of(fingerprint, (), now_s),
            crashes=tuple(suspicion.uncleared),
            quarantine_left_s=_quarantine_left_s(suspicion, now_s),
        )

    # -- internals ---------------------------------------------------------------

    def expire(self, now_s: float) -> None:
        """Remove expired suspects and, if there are too many, those with the fewest and
        oldest crashes.

        Does nothing if the last pass was less than :data:`EXPIRE_INTERVAL_S` ago and
        there are not too many.
        """
        if now_s < self._next_expiry_s and len(self._suspects) <= MAX_SUSPECTS:
            return
        self._next_expiry_s = now_s + EXPIRE_INTERVAL_S
        self._probes = {f: p for f, p in self._probes.items() if p.ends_s > now_s}
        expired = [f for f, s in self._suspects.items() if _is_expired(s, now_s)]
        for fingerprint in expired:
            self._evict(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            ranked = sorted(
                self._suspects, key=lambda f: _eviction_rank(self._suspects[f])
            )
            for fingerprint in ranked[: int(MAX_SUSPECTS * EVICTED_SHARE)]:
                self._evict(fingerprint)
        for own in (self._own_evidence, self._own_cleared):
            for evidence in [e for e in own if e.fingerprint not in self._suspects]:
                del own[evidence]

    def _evict(self, fingerprint: Fingerprint) -> None:
        del self._suspects[fingerprint]
        self._quarantinable.discard(fingerprint)
        self._probes.pop(fingerprint, None)
        prefix = prefix_in(fingerprint)
        self._prefix_counts[prefix] -= 1
        if not self._prefix_counts[prefix]:
            del self._prefix_counts[prefix]

    def _suspicion(self, fingerprint: Fingerprint) -> _Suspicion:
        suspicion = self._suspects.get(fingerprint)
        if suspicion is None:
            suspicion = self._suspects[fingerprint] = _Suspicion()
            prefix = prefix_in(fingerprint)
            self._prefix_counts[prefix] = self._prefix_counts.get(prefix, 0) + 1
        return suspicion

    def _add_crash(self, evidence: Evidence, now_s: float) -> None:
        suspicion = self._suspicion(evidence.fingerprint)
        if evidence.crash in suspicion.crashes:
            return
        suspicion.crashes[evidence.crash] = now_s
        if len(suspicion.crashes) >= CRASHES_TO_QUARANTINE:
            self._quarantinable.add(evidence.fingerprint)
        active = self._probes.get(evidence.fingerprint)
        if active is not None and active.endpoint_id == evidence.crash.endpoint_id:
            del self._probes[evidence.fingerprint]

    def _clear(self, evidence: Evidence, now_s: float) -> None:
        suspicion = self._suspicion(evidence.fingerprint)
        suspicion.cleared.setdefault(evidence.crash, now_s)
        if not suspicion.uncleared:
            self._probes.pop(evidence.fingerprint, None)

    def _merge_probe(self, entry_id: EntryId, probe: Probe, now_s: float) -> None:
        active = self._probes.get(probe.fingerprint)
        if probe.remaining_s <= 0:
            if active is not None and active.entry_id == entry_id:
                del self._probes[probe.fingerprint]
            return
        # If two entries begin a probe at the same moment, the lower id wins everywhere.
        if active is None or active.ends_s <= now_s or entry_id <= active.entry_id:
            ends_s = now_s + probe.remaining_s
            self._probes[probe.fingerprint] = _ActiveProbe(
                entry_id, probe.endpoint_id, ends_s
            )

    def _is_uncleared(self, evidence: Evidence) -> bool:
        suspicion = self._suspects.get(evidence.fingerprint)
        return suspicion is not None and evidence.crash not in suspicion.cleared


def _quarantine_left_s(suspicion: _Suspicion, now_s: float) -> float | None:
    """Time until a request may be probed; ``None`` if an operator must allow it."""
    step = len(suspicion.uncleared) - CRASHES_TO_QUARANTINE
    if step < 0:
        return 0.0
    if step >= len(QUARANTINE_PERIODS_S):
        return None
    return suspicion.last_uncleared_s + QUARANTINE_PERIODS_S[step] - now_s


def _is_expired(suspicion: _Suspicion, now_s: float) -> bool:
    if len(suspicion.uncleared) >= CRASHES_TO_QUARANTINE:
        return False
    return now_s - suspicion.last_change_s > SUSPECT_TTL_S


def _eviction_rank(suspicion: _Suspicion) -> tuple[int, float]:
    return len(suspicion.uncleared), suspicion.last_change_s
