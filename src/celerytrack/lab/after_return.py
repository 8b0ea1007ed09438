"""How service and the log fare after the log's return, from what runs noted."""

from collections.abc import Iterable, Sequence

import attrs

BIN_S = 0.25
NORMAL_WITHIN = 0.05
"""Share of requests by which service may be below that without the fault."""
STAYS_BINS = 4
"""For how many bins in turn service must be normal."""
STORM_S = 5.0
"""How long after the log went away its writes count as those that follow."""


@attrs.frozen
class Owed:
    """A request that was owed: when it was sent, and whether it was served in time."""

    sent_s: float
    in_target: bool


def normal_again_s(
    played: Iterable[Owed], without: Iterable[Owed], back_s: float, ends_s: float
) -> float:
    """How long after ``back_s`` the first second begins in which service is as it
    would be without the fault; it may fall again later.

    :param played: requests of all runs; ``without`` those of the runs without it.
    :param ends_s: until when runs are compared; if service never is, until then.
    """
    bins = int((ends_s - back_s) / BIN_S)
    shares = _shares(played, back_s, bins)
    usual = _shares(without, back_s, bins)
    normal = [s >= u - NORMAL_WITHIN for s, u in zip(shares, usual, strict=True)]
    for first in range(bins - STAYS_BINS + 1):
        if all(normal[first : first + STAYS_BINS]):
            return first * BIN_S
    return ends_s - back_s


def _shares(requests: Iterable[Owed], back_s: float, bins: int) -> list[float]:
    """Of those sent in each bin, the share served in time; 1 if there are none."""
    sent, served = [0] * bins, [0] * bins
    for request in requests:
        place = int((request.sent_s - back_s) // BIN_S)
        if 0 <= place < bins:
            sent[place] += 1
            served[place] += request.in_target
    return [s / n if n else 1.0 for s, n in zip(served, sent, strict=True)]


def most_writes_per_s(writes_s: Sequence[float], from_s: float) -> int:
    """The most writes within a second soon after ``from_s``."""
    soon = (at_s for at_s in writes_s if from_s <= at_s < from_s + STORM_S)
    return most_in_a_second(soon)


def most_in_a_second(times_s: Iterable[float]) -> int:
    """The most of ``times_s`` that lie within one second."""
    ordered = sorted(times_s)
    first = most = 0
    for last, at_s in enumerate(ordered):
        while at_s - ordered[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most
