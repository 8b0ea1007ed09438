"""Which requests may have ended the endpoints that ran them, without I/O.

A request that ends what runs it comes again, at any entry, and each endpoint that runs
it ends too. Evidence therefore belongs to the request, by its fingerprint, and is the
same at all entries: a set of endings that only grows, and a set of those forgiven.

Harmless requests that ran beside it share the blame. One that ends well anywhere is
forgiven all of it; one that was there twice is tried alone, by one entry at a time.
"""

import enum
from collections.abc import Collection, Iterable

import attrs

from celerytrack.findings import Ending, Evidence, Findings, Trial
from celerytrack.fingerprint import Fingerprint, Place, place_in
from celerytrack.ids import EndpointId, EntryId

ENDINGS_TO_TRY_ALONE = 2
ENDINGS_TO_SHUT_OUT = 3
QUARANTINES_S = (20.0, 300.0, 3_600.0)
"""How long a request is shut out after its third, fourth and fifth ending. After the
sixth it stays out until an operator lifts it: three tries are what endpoints may lose
to a request that is known."""
SUSPECT_KEPT_S = 900.0
"""How long a request that is not shut out is remembered after its last ending: one that
comes every few minutes is still known by its third."""
MOST_SUSPECTS = 4_096
"""Requests remembered: about a megabyte, and far more than run at the endpoints that
end within minutes."""
DROPPED_SHARE = 0.1
"""Part of them that is forgotten at once when there are more."""
FORGET_EACH_S = 1.0
"""Shortest time between two looks for what is old: with thousands remembered one takes
some ms, and notes come by the dozen."""
MOST_TOLD = 64
"""Endings in an entry's own record: the ones that count most."""


class Standing(enum.Enum):
    """What a request is taken for."""

    CLEAR = "clear"
    WATCHED = "watched"
    """An endpoint ended under it, which may have been the doing of another."""
    ALONE = "alone"
    """Endpoints ended under it time and again: one entry at a time may try it."""
    SHUT_OUT = "shut_out"
    """It is not sent to any endpoint."""


@attrs.define
class _Held:
    """A trial as this entry knows it."""

    entry_id: EntryId
    endpoint_id: EndpointId
    ends_s: float


@attrs.define
class _Suspicion:
    """What is known of one request; endings by when they were heard of."""

    endings: dict[Ending, float] = attrs.field(factory=dict)
    forgiven: dict[Ending, float] = attrs.field(factory=dict)

    @property
    def counted(self) -> list[Ending]:
        return [ending for ending in self.endings if ending not in self.forgiven]

    @property
    def last_s(self) -> float:
        times_s = (*self.endings.values(), *self.forgiven.values())
        return max(times_s, default=float("-inf"))

    @property
    def last_counted_s(self) -> float:
        return max((self.endings[e] for e in self.counted), default=float("-inf"))


@attrs.frozen
class Suspect:
    """One request under suspicion, for people.

    :ivar free_in_s: when it may be tried again; ``None`` if only an operator's word
        helps.
    """

    fingerprint: Fingerprint
    standing: Standing
    endings: tuple[Ending, ...]
    free_in_s: float | None


class SuspectBook:
    """The requests under suspicion, as one entry knows them.

    :param me: this entry.
    """

    def __init__(self, me: EntryId) -> None:
        self.me = me
        self._known: dict[Fingerprint, _Suspicion] = {}
        self._places: dict[Place, int] = {}
        self._trials: dict[Fingerprint, _Held] = {}
        self._own: dict[Evidence, float] = {}
        self._own_forgiven: dict[Evidence, float] = {}
        self._forget_at_s = float("-inf")

    def __len__(self) -> int:
        return len(self._known)

    def watches(self, place: Place) -> bool:
        """Whether some request at ``place`` is known: others need no fingerprint."""
        return place in self._places

    # -- evidence ------------------------------------------------------------

    def witnessed(
        self, ending: Ending, fingerprints: Iterable[Fingerprint], now_s: float
    ) -> Findings:
        """An endpoint ended under requests of this entry; what to tell the others."""
        seen = tuple(Evidence(fingerprint, ending) for fingerprint in fingerprints)
        for evidence in seen:
            self._own[evidence] = now_s
            self._blame(evidence, now_s)
        self.forget(now_s)
        return Findings(self.me, seen)

    def heard(self, findings: Findings, whole: bool, now_s: float) -> None:
        """Take what another entry found.

        :param whole: whether it is all that the entry has to tell now.
        """
        for evidence in findings.seen:
            self._blame(evidence, now_s)
        for evidence in findings.forgiven:
            self._forgive(evidence, now_s)
        if whole:
            self._trials = {
                fingerprint: held
                for fingerprint, held in self._trials.items()
                if held.entry_id != findings.entry_id
            }
        for trial in findings.trials:
            self._hear_trial(findings.entry_id, trial, now_s)
        self.forget(now_s)

    def adopt(self, findings: Findings, now_s: float) -> None:
        """Take over what an earlier start of this entry found."""
        for evidence in findings.seen:
            self._own[evidence] = now_s
            self._blame(evidence, now_s)
        for evidence in findings.forgiven:
            self._own_forgiven[evidence] = now_s
            self._forgive(evidence, now_s)

    def forgive(self, fingerprint: Fingerprint, now_s: float) -> Findings:
        """A request ended well; what to tell the others.

        One that was there once is forgiven here alone: nobody holds it back.
        """
        suspicion = self._known.get(fingerprint)
        once = suspicion and len(suspicion.counted) < ENDINGS_TO_TRY_ALONE
        findings = self.lift(fingerprint, now_s)
        if once:
            return Findings(self.me)
        self._own_forgiven.update(dict.fromkeys(findings.forgiven, now_s))
        return findings

    def lift(self, fingerprint: Fingerprint, now_s: float) -> Findings:
        """Forgive a request all that it is blamed for; what to tell the others."""
        suspicion = self._known.get(fingerprint)
        if suspicion is None:
            return Findings(self.me)
        told = tuple(Evidence(fingerprint, ending) for ending in suspicion.counted)
        self._trials.pop(fingerprint, None)
        for evidence in told:
            self._forgive(evidence, now_s)
        return Findings(self.me, forgiven=told)

    # -- decisions -----------------------------------------------------------

    def standing(
        self, fingerprint: Fingerprint, builds: Collection[str], now_s: float
    ) -> Standing:
        """What a request is taken for.

        :param builds: of the endpoints it may be sent to. What ended other builds may
            be mended in these.
        """
        suspicion = self._known.get(fingerprint)
        counted = suspicion.counted if suspicion else []
        if suspicion is None or not counted:
            return Standing.CLEAR
        if len(counted) < ENDINGS_TO_TRY_ALONE:
            return Standing.WATCHED
        if len(counted) < ENDINGS_TO_SHUT_OUT:
            return Standing.ALONE
        free_in_s = _free_in_s(suspicion, now_s)
        if free_in_s is None:
            return Standing.SHUT_OUT
        other_builds = builds and not {e.build for e in counted} & set(builds)
        due = free_in_s <= 0 or other_builds
        return Standing.ALONE if due else Standing.SHUT_OUT

    def back_in_s(self, fingerprint: Fingerprint, now_s: float) -> float | None:
        """When a request that is held back may be tried; ``None`` for not by itself."""
        suspicion = self._known.get(fingerprint)
        if suspicion is None:
            return 0.0
        held = self._trials.get(fingerprint)
        trial_s = held.ends_s - now_s if held else 0.0
        if len(suspicion.counted) < ENDINGS_TO_SHUT_OUT:
            return max(0.0, trial_s)
        free_in_s = _free_in_s(suspicion, now_s)
        return None if free_in_s is None else max(0.0, free_in_s, trial_s)

    def claim(self, trial: Trial, now_s: float) -> Findings | None:
        """Begin to try a request alone, unless it is being tried; what to tell."""
        held = self._trials.get(trial.fingerprint)
        if held is not None and held.ends_s > now_s:
            return None
        ends_s = now_s + trial.lasts_s
        self._trials[trial.fingerprint] = _Held(self.me, trial.endpoint_id, ends_s)
        return Findings(self.me, trials=(trial,))

    def holds(self, fingerprint: Fingerprint) -> bool:
        """Whether this entry tries the request."""
        held = self._trials.get(fingerprint)
        return held is not None and held.entry_id == self.me

    def release(self, fingerprint: Fingerprint) -> Findings:
        """This entry's trial ended and showed nothing; what to tell the others."""
        if not self.holds(fingerprint):
            return Findings(self.me)
        held = self._trials.pop(fingerprint)
        over = Trial(fingerprint, held.endpoint_id, 0.0)
        return Findings(self.me, trials=(over,))

    def endpoints_on_trial(self, now_s: float) -> set[EndpointId]:
        """Where requests are tried alone now."""
        held = self._trials.values()
        return {trial.endpoint_id for trial in held if trial.ends_s > now_s}

    # -- what is told ----------------------------------------------------------

    def record(self, now_s: float, day_s: float = 0.0) -> Findings:
        """All that this entry has to tell, the weightiest first.

        :param day_s: the time of day, in Unix seconds.
        """
        self.forget(now_s)
        seen = sorted(
            (e for e in self._own if self._counts(e)),
            key=lambda e: (-len(self._known[e.fingerprint].counted), -self._own[e]),
        )
        forgiven = sorted(
            self._own_forgiven, key=lambda e: self._own_forgiven[e], reverse=True
        )
        trials = [
            Trial(fingerprint, held.endpoint_id, held.ends_s - now_s)
            for fingerprint, held in self._trials.items()
            if held.entry_id == self.me and held.ends_s > now_s
        ]
        seen = seen[:MOST_TOLD]
        return Findings(
            self.me,
            tuple(seen),
            tuple(forgiven[:MOST_TOLD]),
            tuple(trials[:MOST_TOLD]),
            tuple(int(day_s - now_s + self._own[e]) for e in seen),
        )

    def suspects(self, now_s: float) -> list[Suspect]:
        """All requests under suspicion, the weightiest first."""
        found = [self.suspect(f, now_s) for f, s in self._known.items() if s.counted]
        return sorted(found, key=lambda s: -len(s.endings))

    def suspect(self, fingerprint: Fingerprint, now_s: float) -> Suspect:
        """What is known of one request."""
        suspicion = self._known.get(fingerprint, _Suspicion())
        return Suspect(
            fingerprint=fingerprint,
            standing=self.standing(fingerprint, (), now_s),
            endings=tuple(suspicion.counted),
            free_in_s=_free_in_s(suspicion, now_s),
        )

    # -- internals ---------------------------------------------------------------

    def forget(self, now_s: float) -> None:
        """Forget what is old, and the least weighty of what is too much; looked for
        once in a while."""
        if now_s < self._forget_at_s and len(self._known) <= MOST_SUSPECTS:
            return
        self._forget_at_s = now_s + FORGET_EACH_S
        self._trials = {f: h for f, h in self._trials.items() if h.ends_s > now_s}
        old = [f for f, s in self._known.items() if _is_old(s, now_s)]
        for fingerprint in old:
            self._drop(fingerprint)
        if len(self._known) > MOST_SUSPECTS:
            weight = sorted(self._known, key=lambda f: _weight(self._known[f]))
            for fingerprint in weight[: int(MOST_SUSPECTS * DROPPED_SHARE)]:
                self._drop(fingerprint)
        for own in (self._own, self._own_forgiven):
            for evidence in [e for e in own if e.fingerprint not in self._known]:
                del own[evidence]

    def _drop(self, fingerprint: Fingerprint) -> None:
        del self._known[fingerprint]
        self._trials.pop(fingerprint, None)
        place = place_in(fingerprint)
        self._places[place] -= 1
        if not self._places[place]:
            del self._places[place]

    def _suspicion(self, fingerprint: Fingerprint) -> _Suspicion:
        known = self._known.get(fingerprint)
        if known is None:
            known = self._known[fingerprint] = _Suspicion()
            place = place_in(fingerprint)
            self._places[place] = self._places.get(place, 0) + 1
        return known

    def _blame(self, evidence: Evidence, now_s: float) -> None:
        suspicion = self._suspicion(evidence.fingerprint)
        if evidence.ending in suspicion.endings:
            return
        suspicion.endings[evidence.ending] = now_s
        held = self._trials.get(evidence.fingerprint)
        if held is not None and held.endpoint_id == evidence.ending.endpoint_id:
            del self._trials[evidence.fingerprint]

    def _forgive(self, evidence: Evidence, now_s: float) -> None:
        suspicion = self._suspicion(evidence.fingerprint)
        suspicion.forgiven.setdefault(evidence.ending, now_s)
        if not suspicion.counted:
            self._trials.pop(evidence.fingerprint, None)

    def _hear_trial(self, entry_id: EntryId, trial: Trial, now_s: float) -> None:
        held = self._trials.get(trial.fingerprint)
        if trial.lasts_s <= 0:
            if held is not None and held.entry_id == entry_id:
                del self._trials[trial.fingerprint]
            return
        # Of two that begin at the same moment all know which goes on.
        if held is None or held.ends_s <= now_s or entry_id <= held.entry_id:
            ends_s = now_s + trial.lasts_s
            self._trials[trial.fingerprint] = _Held(entry_id, trial.endpoint_id, ends_s)

    def _counts(self, evidence: Evidence) -> bool:
        suspicion = self._known.get(evidence.fingerprint)
        return suspicion is not None and evidence.ending not in suspicion.forgiven


def _free_in_s(suspicion: _Suspicion, now_s: float) -> float | None:
    """When a request may be tried again; ``None`` for not by itself."""
    over = len(suspicion.counted) - ENDINGS_TO_SHUT_OUT
    if over < 0:
        return 0.0
    if over >= len(QUARANTINES_S):
        return None
    return suspicion.last_counted_s + QUARANTINES_S[over] - now_s


def _is_old(suspicion: _Suspicion, now_s: float) -> bool:
    if len(suspicion.counted) >= ENDINGS_TO_SHUT_OUT:
        return False
    return now_s - suspicion.last_s > SUSPECT_KEPT_S


def _weight(suspicion: _Suspicion) -> tuple[int, float]:
    return len(suspicion.counted), suspicion.last_s
