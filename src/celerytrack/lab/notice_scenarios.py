"""Scenarios of fleets whose endpoints leave or ask for backoffs, and what came of
them."""

import enum
import statistics
from collections.abc import Sequence

import attrs


class NoticeFault(enum.Enum):
    """A fault during a run."""

    LOG_AWAY = "log away for 20 s"
    MESSAGES_LOST = "a third of messages lost"
    NO_MESSAGES = "no messages"
    THIRD_CUT = "a third cut off"
    FROZEN = "entries freeze"
    STOPS = "stops in turn"


class Mechanism(enum.Enum):
    """What entries do with the word of endpoints."""

    ALL = "all"
    NONE = "word ignored"
    RETURN_AT_ONCE = "return at once"
    BACKOFFS_TOLD = "backoffs told to all"


@attrs.frozen
class NoticeScenario:
    """One kind of run.

    :ivar requests_per_s: rate of all callers; 0 for one that grows with the entries.
    :ivar leaves_every_s: an endpoint begins to leave, and another follows it, so often;
        0 for none.
    :ivar leave_at_once: endpoints that leave together, 4 s after the start.
    :ivar rejecting: endpoints that turn requests away in an episode of 8 s.
    :ivar rejects_share: share of the requests that they turn away.
    :ivar backoff_s: backoff that they ask for.
    """

    name: str
    entries: int = 9
    endpoints: int = 12
    requests_per_s: float = 0.0
    lasts_s: float = 24.0
    leaves_every_s: float = 0.0
    leave_at_once: int = 0
    rejecting: int = 0
    rejects_share: float = 0.3
    backoff_s: float = 2.0
    faults: tuple[NoticeFault, ...] = ()
    mechanism: Mechanism = Mechanism.ALL


@attrs.define
class NoticeOutcome:
    """What came of one run.

    :ivar late: requests that were sent later than allowed after their entry had passed
        on that the endpoint leaves.
    :ivar worst_backoff: most requests of one entry at an endpoint in the rest of a
        backoff.
    :ivar broken_backoffs: backoffs with more than are allowed.
    :ivar backoffs: backoffs asked for.
    :ivar at_leaving: requests at endpoints that had begun to leave.
    :ivar interrupted: requests that an endpoint did not finish before it ended.
    :ivar first_instant: most requests at an endpoint in the tenth of a second after the
        end of a backoff, as a multiple of its slots.
    :ivar returned_share: load of the endpoints in the 2 s after their last backoffs, as
        a share of an equal part.
    """

    requests: int = 0
    served: int = 0
    refused: int = 0
    late: int = 0
    worst_backoff: int = 0
    broken_backoffs: int = 0
    backoffs: int = 0
    at_leaving: int = 0
    interrupted: int = 0
    first_instant: float = 0.0
    returned_share: float = 1.0
    messages: int = 0
    control_bytes_per_s: float = 0.0


def summary(
    scenario: NoticeScenario, outcomes: Sequence[NoticeOutcome]
) -> dict[str, object]:
    """One row of a table: the figures of all runs of a scenario."""
    requests = max(1, sum(o.requests for o in outcomes))
    return {
        "scenario": scenario.name,
        "entries": scenario.entries,
        "runs": len(outcomes),
        "late": max(o.late for o in outcomes),
        "late_runs": sum(o.late > 0 for o in outcomes),
        "worst_backoff": max(o.worst_backoff for o in outcomes),
        "broken_runs": sum(o.broken_backoffs > 0 for o in outcomes),
        "backoffs": sum(o.backoffs for o in outcomes),
        "served_share": round(sum(o.served for o in outcomes) / requests, 4),
        "refused_share": round(sum(o.refused for o in outcomes) / requests, 4),
        "at_leaving": round(statistics.mean(o.at_leaving for o in outcomes), 1),
        "interrupted": sum(o.interrupted for o in outcomes),
        "first_instant": round(max(o.first_instant for o in outcomes), 2),
        "returned_share": round(statistics.mean(o.returned_share for o in outcomes), 2),
        "messages_per_run": round(statistics.mean(o.messages for o in outcomes), 1),
        "control_kb_per_s": round(
            max(o.control_bytes_per_s for o in outcomes) / 1_000, 2
        ),
    }
