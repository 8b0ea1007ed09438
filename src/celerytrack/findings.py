"""What entries tell each other of requests that end endpoints."""

import attrs

from celerytrack.fingerprint import Fingerprint
from celerytrack.ids import EndpointId, EntryId


@attrs.frozen
class Ending:
    """One start of an endpoint ended while it ran requests.

    :ivar born_ms: tells starts under one id apart; 0 if not told.
    :ivar build: the service and the version of its software.
    """

    endpoint_id: EndpointId
    born_ms: int = 0
    build: str = ""


@attrs.frozen
class Evidence:
    """An endpoint ended while it ran a request."""

    fingerprint: Fingerprint
    ending: Ending


@attrs.frozen
class Trial:
    """An entry tries a request alone.

    :ivar lasts_s: how much longer it may last.
    """

    fingerprint: Fingerprint
    endpoint_id: EndpointId
    lasts_s: float


@attrs.frozen
class Findings:
    """What an entry tells the others, in a note or in its record.

    :ivar seen: evidence that it saw itself.
    :ivar forgiven: evidence that counts no more, whoever saw it.
    :ivar trials: its trials in progress.
    :ivar seen_at_s: when it saw each evidence, in Unix seconds, for people; none in
        notes.
    """

    entry_id: EntryId
    seen: tuple[Evidence, ...] = ()
    forgiven: tuple[Evidence, ...] = ()
    trials: tuple[Trial, ...] = ()
    seen_at_s: tuple[int, ...] = ()

    @property
    def empty(self) -> bool:
        """Whether it tells nothing."""
        return not (self.seen or self.forgiven or self.trials)
