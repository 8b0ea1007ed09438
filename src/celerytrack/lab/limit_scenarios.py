"""Scenarios of fleets whose endpoints name rate limits, and what came of them."""

import enum
import statistics
from collections.abc import Sequence

import attrs


class LimitFault(enum.Enum):
    """A fault during a run."""

    MESSAGES_LOST = "a third of messages lost"
    NO_MESSAGES = "no messages"
    LATE_ROWS = "late rows"
    THIRD_CUT = "a third cut off"
    THIRD_ISOLATED = "a third cut off from entries and log"
    STOPS = "stops in turn"
    KILLS = "kills"
    ADDED = "entries added"
    CHANGES = "limits change each second"


@attrs.frozen
class LimitScenario:
    """One kind of run.

    :ivar endpoints: number of endpoints of the service.
    :ivar limited: how many of them name a limit.
    :ivar demand: callers' rate as a multiple of what all limits allow together.
    :ivar uneven: whether a tenth of the entries have nine tenths of the callers.
    :ivar reads_limits: whether entries read limits at all.
    """

    name: str
    limit_per_s: float = 2.5
    entries: int = 9
    endpoints: int = 12
    limited: int = 12
    demand: float = 2.0
    lasts_s: float = 24.0
    uneven: bool = False
    faults: tuple[LimitFault, ...] = ()
    reads_limits: bool = True


@attrs.define
class LimitOutcome:
    """What came of one run.

    :ivar worst: most requests in 4 s at one endpoint, from entries that had passed on
        its limit before, as a share of what is allowed.
    :ivar worst_of_all: the same from all entries.
    :ivar used: mean rate at the limited endpoints, as a share of the limit.
    :ivar control_bytes_per_s: most bytes a second that one entry sent to others.
    """

    worst: float = 0.0
    worst_of_all: float = 0.0
    used: float = 0.0
    requests: int = 0
    served: int = 0
    messages: int = 0
    control_bytes_per_s: float = 0.0


def summary(
    scenario: LimitScenario, outcomes: Sequence[LimitOutcome]
) -> dict[str, object]:
    """One row of a table: the figures of all runs of a scenario."""
    requests = sum(o.requests for o in outcomes)
    return {
        "scenario": scenario.name,
        "entries": scenario.entries,
        "limit_per_s": scenario.limit_per_s,
        "runs": len(outcomes),
        "worst_of_allowed": round(max(o.worst for o in outcomes), 2),
        "worst_from_all": round(max(o.worst_of_all for o in outcomes), 2),
        "exceeded_runs": sum(o.worst > 1.0 for o in outcomes),
        "used_share": round(statistics.mean(o.used for o in outcomes), 3),
        "used_least": round(min(o.used for o in outcomes), 3),
        "served_share": round(sum(o.served for o in outcomes) / max(1, requests), 3),
        "messages_per_request": round(
            sum(o.messages for o in outcomes) / max(1, requests), 2
        ),
        "control_kb_per_s": round(
            max(o.control_bytes_per_s for o in outcomes) / 1_000, 2
        ),
    }
