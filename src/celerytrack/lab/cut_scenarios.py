"""Scenarios of fleets in which entries are cut off from all endpoints, and what came of
them."""

import enum
import statistics
from collections.abc import Sequence

import attrs


class CutKind(enum.Enum):
    """What the connections of cut entries to endpoints do."""

    HANG = "hang"
    RESET = "reset"


@attrs.frozen
class CutScenario:
    """One kind of run.

    :ivar cut_share: share of the entries that are cut off; one is left if
        ``spares_one``.
    :ivar lost_share: share of the messages between entries that are lost.
    :ivar log_away: whether no entry sees changes of the membership meanwhile.
    :ivar restarts: whether entries stop and start in turn.
    :ivar relays: whether requests may go through other entries.
    """

    name: str
    entries: int = 9
    endpoints: int = 12
    kind: CutKind = CutKind.HANG
    cut_share: float = 1 / 3
    spares_one: bool = False
    lost_share: float = 0.01
    restarts: bool = False
    relays: bool = True
    lasts_s: float = 10.0


@attrs.define
class CutOutcome:
    """What came of one run.

    :ivar cut_calls: requests at cut entries from 3 s after the cut on.
    :ivar cut_served: how many of them were served in time.
    :ivar false_cuts: entries with links that took them for cut.
    :ivar twice: once-only calls that ran twice.
    :ivar most_in_progress: most requests of others in progress at one entry.
    :ivar connections: connections made by checks.
    :ivar back_s: time after the end of the cut until the last entry sends directly.
    """

    cut_calls: int = 0
    cut_served: int = 0
    other_calls: int = 0
    other_served: int = 0
    false_cuts: int = 0
    twice: int = 0
    most_in_progress: int = 0
    connections: int = 0
    back_s: float = 0.0
    control_bytes_per_s: float = 0.0

    @property
    def cut_share(self) -> float:
        """Share of the requests at cut entries that were served."""
        return self.cut_served / self.cut_calls if self.cut_calls else 1.0

    @property
    def other_share(self) -> float:
        """Share of the requests at the others that were served."""
        return self.other_served / self.other_calls if self.other_calls else 1.0

    @property
    def is_broken(self) -> bool:
        """Whether callers of cut entries were served far worse than the others."""
        if not self.other_calls:
            return False
        failed = self.cut_calls - self.cut_served
        allowed = 10 + 0.02 * self.cut_calls
        return failed > allowed and self.cut_share < 2 / 3 * self.other_share


def summary(scenario: CutScenario, outcomes: Sequence[CutOutcome]) -> dict[str, object]:
    """The row of a scenario over all seeds."""
    return {
        "entries": scenario.entries,
        "scenario": scenario.name,
        "seeds": len(outcomes),
        "broken_runs": sum(o.is_broken for o in outcomes),
        "cut_served_share": _mean([o.cut_share for o in outcomes]),
        "other_served_share": _mean([o.other_share for o in outcomes]),
        "worst_cut_share": round(min(o.cut_share for o in outcomes), 3),
        "false_cuts": sum(o.false_cuts for o in outcomes),
        "twice": sum(o.twice for o in outcomes),
        "most_in_progress": max(o.most_in_progress for o in outcomes),
        "connections": _mean([float(o.connections) for o in outcomes]),
        "back_s": _mean([o.back_s for o in outcomes]),
        "control_bytes_per_s": _mean([o.control_bytes_per_s for o in outcomes]),
    }


def _mean(values: Sequence[float]) -> float:
    return round(statistics.fmean(values), 3)
