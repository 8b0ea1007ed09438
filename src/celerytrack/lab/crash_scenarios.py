"""What a modelled fleet before crashing requests is played through, and what it
comes to."""

import enum
import statistics
from collections.abc import Sequence

import attrs

KNOWN_WITHIN_S = 3.0
"""Within it all entries in touch know that a request ended three endpoints."""
ENDINGS_KNOWN = 3
ENDPOINTS = {9: 12, 76: 30, 195: 62}
"""Endpoints of the service, by the number of entries."""


class CrashFault(enum.Enum):
    """What goes wrong beside the crashing request."""

    NOTES_LOST = "notes lost"
    """A third of all notes is lost."""
    NO_NOTES = "no notes"
    LATE_LOG = "late log"
    """Appends land 0.7 s late."""
    LOG_AWAY = "log away"
    """From before the first ending for 8 s."""
    THIRD_CUT = "a third cut off"
    """From the other entries and the log, from 1 s on for 6 s."""
    THIRD_APART = "a third apart"
    """From the other entries, not from the log, from the start on."""
    STOPS_IN_TURN = "stops in turn"
    """An entry starts again each 0.4 s."""
    OLDER_COPY = "log from an older copy"
    """It is away for 0.5 s after 4 s and has lost all."""


@attrs.frozen
class CrashScenario:
    """One fleet, its load and its faults.

    :ivar crashing: how many different requests end endpoints.
    :ivar remembers: whether entries remember what a request did.
    """

    name: str
    entries: int = 9
    crashing: int = 1
    repeats_per_s: float = 3.0
    lasts_s: float = 24.0
    faults: tuple[CrashFault, ...] = ()
    remembers: bool = True

    @property
    def endpoints(self) -> int:
        """How many endpoints the service has."""
        return ENDPOINTS.get(self.entries, self.entries)

    @property
    def harmless_per_s(self) -> float:
        """Harmless requests a second: two for each endpoint."""
        return 2.0 * self.endpoints


@attrs.define
class CrashOutcome:
    """What one run came to.

    :ivar endings: how many endpoints ended.
    :ivar late: arrivals at endpoints later than the fleet may take to know, sent by
        entries in touch; of the crashing request with most.
    :ivar falsely: harmless requests refused as if they ended endpoints.
    """

    endings: int = 0
    late: int = 0
    harmless: int = 0
    served: int = 0
    falsely: int = 0
    writes: int = 0
    writes_per_s_most: int = 0

    @property
    def served_share(self) -> float:
        """Harmless requests served."""
        return self.served / max(1, self.harmless)


def summary(scenario: CrashScenario, runs: Sequence[CrashOutcome]) -> dict[str, object]:
    """Several runs as one row of a table."""
    return {
        "scenario": scenario.name,
        "entries": scenario.entries,
        "seeds": len(runs),
        "endings_mean": round(statistics.fmean(r.endings for r in runs), 1),
        "endings_most": max(r.endings for r in runs),
        "late_most": max(r.late for r in runs),
        "seeds_broken": sum(r.late > ENDINGS_KNOWN for r in runs),
        "served_share": round(statistics.fmean(r.served_share for r in runs), 4),
        "falsely": sum(r.falsely for r in runs),
        "writes_mean": round(statistics.fmean(r.writes for r in runs), 1),
        "writes_per_s_most": max(r.writes_per_s_most for r in runs),
    }
