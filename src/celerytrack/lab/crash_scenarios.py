"""Scenarios of a modelled fleet that serves crashing requests, and their outcomes."""

import enum
import statistics
from collections.abc import Sequence

import attrs

KNOWN_WITHIN_S = 3.0
"""Longest time until all connected entries know that a request crashed three
endpoints."""
CRASHES_TO_QUARANTINE = 3
CRASHES_OF_A_PART = 5
ENDPOINTS = {9: 12, 76: 30, 195: 62}
"""Endpoints of the service, by the number of entries."""


class CrashFault(enum.Enum):
    """Fault that occurs beside the crashing requests."""

    NOTES_LOST = "notes lost"
    """A third of all peer messages is lost."""
    NO_NOTES = "no notes"
    LATE_LOG = "late log"
    """Appends land 0.7 s late."""
    LOG_AWAY = "log away"
    """From before the first crash for 8 s."""
    THIRD_CUT = "a third cut off"
    """A third of the entries is partitioned from the others and the log after 1 s, for
    6 s."""
    THIRD_APART = "a third apart"
    """A third of the entries is partitioned from the others, not from the log, all the
    time."""
    STOPS_IN_TURN = "stops in turn"
    """An entry restarts each 0.4 s."""
    OLDER_COPY = "log from an older copy"
    """After 4 s the log is unavailable for 0.5 s and restored without any records."""


@attrs.frozen
class CrashScenario:
    """One fleet, its load and its faults.

    :ivar crashing: number of different requests that crash endpoints.
    :ivar by_part: whether it is a part of their prompts that does: then no two of these
        requests are alike, and their other parts are those of harmless ones.
    :ivar tracking: whether entries track the requests that crash endpoints.
    """

    name: str
    entries: int = 9
    crashing: int = 1
    repeats_per_s: float = 3.0
    lasts_s: float = 24.0
    faults: tuple[CrashFault, ...] = ()
    tracking: bool = True
    by_part: bool = False

    @property
    def crashes_counted(self) -> int:
        """Crashes after which no more than a few requests may reach endpoints."""
        return CRASHES_OF_A_PART if self.by_part else CRASHES_TO_QUARANTINE

    @property
    def endpoints(self) -> int:
        """Number of endpoints of the service."""
        return ENDPOINTS.get(self.entries, self.entries)

    @property
    def harmless_per_s(self) -> float:
        """Rate of harmless requests: two for each endpoint."""
        return 2.0 * self.endpoints


@attrs.define
class CrashOutcome:
    """Outcome of one run.

    :ivar crashes: number of endpoint crashes.
    :ivar late_arrivals: arrivals at endpoints more than :data:`KNOWN_WITHIN_S` after
        the crash that should quarantine the request, sent by connected entries; of the
        crashing request with most of them.
    :ivar falsely_quarantined: harmless requests that were refused as crashing.
    :ivar messages: peer messages that entries sent.
    :ivar control_bytes_per_s: most bytes a second that one entry sent in them.
    """

    crashes: int = 0
    late_arrivals: int = 0
    harmless: int = 0
    served: int = 0
    falsely_quarantined: int = 0
    writes: int = 0
    writes_per_s_most: int = 0
    messages: int = 0
    control_bytes_per_s: int = 0

    @property
    def served_share(self) -> float:
        """Share of the harmless requests that were served."""
        return self.served / max(1, self.harmless)


def summary(scenario: CrashScenario, runs: Sequence[CrashOutcome]) -> dict[str, object]:
    """Several runs of a scenario as one row of a table."""
    return {
        "scenario": scenario.name,
        "entries": scenario.entries,
        "seeds": len(runs),
        "endings_mean": round(statistics.fmean(r.crashes for r in runs), 1),
        "endings_most": max(r.crashes for r in runs),
        "late_most": max(r.late_arrivals for r in runs),
        "seeds_broken": sum(r.late_arrivals > CRASHES_TO_QUARANTINE for r in runs),
        "served_share": round(statistics.fmean(r.served_share for r in runs), 4),
        "falsely": sum(r.falsely_quarantined for r in runs),
        "writes_mean": round(statistics.fmean(r.writes for r in runs), 1),
        "writes_per_s_most": max(r.writes_per_s_most for r in runs),
        "messages_mean": round(statistics.fmean(r.messages for r in runs)),
        "control_kb_per_s": round(max(r.control_bytes_per_s for r in runs) / 1_000, 1),
    }
