"""Evidence about requests that crash endpoints, as entries exchange it."""

import attrs

from celerytrack.fingerprint import Fingerprint
from celerytrack.ids import EndpointId, EntryId


@attrs.frozen
class Ending:
    """One process of an endpoint crashed while it ran requests.

    :ivar born_ms: start time of the process, which tells restarts under one id apart;
        0 if unknown.
    :ivar build: service and software version.
    """

    endpoint_id: EndpointId
    born_ms: int = 0
    build: str = ""


@attrs.frozen
class Evidence:
    """A request was running when an endpoint crashed."""

    fingerprint: Fingerprint
    ending: Ending


@attrs.frozen
class Trial:
    """An entry sends a suspected request to one endpoint, apart from other suspects.

    :ivar lasts_s: how much longer the probe may last; 0 if it is over.
    """

    fingerprint: Fingerprint
    endpoint_id: EndpointId
    lasts_s: float


@attrs.frozen
class Findings:
    """What an entry reports to the others, in a note or in its record.

    :ivar seen: evidence that this entry observed.
    :ivar forgiven: cleared evidence, of any entry.
    :ivar trials: this entry's probes.
    :ivar seen_at_s: when each item of ``seen`` was observed, in Unix seconds, for
        operators; empty in notes.
    """

    entry_id: EntryId
    seen: tuple[Evidence, ...] = ()
    forgiven: tuple[Evidence, ...] = ()
    trials: tuple[Trial, ...] = ()
    seen_at_s: tuple[int, ...] = ()

    @property
    def empty(self) -> bool:
        """Whether there is nothing to report."""
        return not (self.seen or self.forgiven or self.trials)
