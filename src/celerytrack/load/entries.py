"""The load tool's check that callers of all entries are served alike."""

from collections import defaultdict
from collections.abc import Iterable

import attrs

from celerytrack.load.caller import Result

FAILED_ALLOWED = 10
FAILED_SHARE_ALLOWED = 0.02
LEAST_RATIO = 2 / 3


@attrs.frozen
class EntryCheck:
    """First tries at one entry.

    :ivar best_share: share of the first tries that the best entry served.
    """

    address: str
    tries: int
    served: int
    best_share: float

    @property
    def is_behind(self) -> bool:
        """Whether its callers were served far worse than those of the best entry."""
        failed = self.tries - self.served
        allowed = FAILED_ALLOWED + FAILED_SHARE_ALLOWED * self.tries
        return failed > allowed and self.served < LEAST_RATIO * (
            self.best_share * self.tries
        )


def check_entries(results: Iterable[Result]) -> list[EntryCheck]:
    """The first tries at each entry, against those at the best."""
    tries: dict[str, list[bool]] = defaultdict(list)
    for result in results:
        if result.first_entry:
            tries[result.first_entry].append(result.first_served)
    best = max((sum(t) / len(t) for t in tries.values()), default=0.0)
    return [EntryCheck(a, len(t), sum(t), best) for a, t in sorted(tries.items())]
