"""Evidence about requests that crash endpoints, as entries exchange it."""

from collections.abc import Iterator

import attrs

from celerytrack.fingerprint import Fingerprint
from celerytrack.ids import EndpointId, EntryId


@attrs.frozen
class Crash:
    """One incarnation of an endpoint crashed while it ran requests.

    :ivar born_ms: start time of the incarnation, which tells restarts under one id
        apart; 0 if unknown.
    :ivar build: service and software version.
    """

    endpoint_id: EndpointId
    born_ms: int = 0
    build: str = ""


@attrs.frozen
class Evidence:
    """A request was running when an endpoint crashed."""

    fingerprint: Fingerprint
    crash: Crash


@attrs.frozen
class Probe:
    """An entry sends a suspected request to one endpoint, apart from other suspects.

    :ivar remaining_s: how much longer the probe may last; 0 if it is over.
    """

    fingerprint: Fingerprint
    endpoint_id: EndpointId
    remaining_s: float


@attrs.frozen
class Findings:
    """What an entry reports to the others, in a peer message or in its record.

    :ivar evidence: evidence that this entry observed.
    :ivar cleared: cleared evidence, of any entry.
    :ivar probes: this entry's probes.
    :ivar observed_at_s: when each item of ``evidence`` was observed, in Unix seconds,
        for operators; empty in peer messages.
    """

    entry_id: EntryId
    evidence: tuple[Evidence, ...] = ()
    cleared: tuple[Evidence, ...] = ()
    probes: tuple[Probe, ...] = ()
    observed_at_s: tuple[int, ...] = ()

    def split(self, most: int) -> Iterator["Findings"]:
        """The same findings in several, each with at most ``most`` items of a kind."""
        lengths = map(len, (self.evidence, self.cleared, self.probes))
        for start in range(0, max(lengths), most):
            part = slice(start, start + most)
            yield Findings(
                self.entry_id,
                self.evidence[part],
                self.cleared[part],
                self.probes[part],
                self.observed_at_s[part],
            )

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to report."""
        return not (self.evidence or self.cleared or self.probes)
