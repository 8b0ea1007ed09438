"""Recovery of the service and load on the log after an outage of the log."""

from collections.abc import Iterable, Sequence

import attrs

BIN_S = 0.25
NORMAL_WITHIN = 0.05
"""Largest shortfall of the share of requests on time, compared with runs without the
fault, at which service counts as normal."""
STABLE_BINS = 4
"""Number of consecutive bins in which service must be normal."""
STORM_S = 5.0
"""Time after the beginning of the outage in which writes count towards the peak."""


@attrs.frozen
class SampledRequest:
    """A request that should be served.

    :ivar in_target: whether it was served on time.
    """

    sent_s: float
    in_target: bool


def normal_again_s(
    played: Iterable[SampledRequest],
    without: Iterable[SampledRequest],
    back_s: float,
    ends_s: float,
) -> float:
    """Time from ``back_s`` to the first second in which service is as it would be
    without the fault. Service may degrade again later.

    :param played: requests of all runs with the fault, which ends at ``back_s``.
    :param without: requests of the runs without it.
    :param ends_s: end of the comparison, which counts if service never is normal.
    """
    bins = int((ends_s - back_s) / BIN_S)
    shares = _shares(played, back_s, bins)
    usual = _shares(without, back_s, bins)
    normal = [s >= u - NORMAL_WITHIN for s, u in zip(shares, usual, strict=True)]
    for first in range(bins - STABLE_BINS + 1):
        if all(normal[first : first + STABLE_BINS]):
            return first * BIN_S
    return ends_s - back_s


def _shares(
    requests: Iterable[SampledRequest], back_s: float, bins: int
) -> list[float]:
    """Share of the requests sent in each bin that were served on time; 1 if none."""
    sent, served = [0] * bins, [0] * bins
    for request in requests:
        bin_number = int((request.sent_s - back_s) // BIN_S)
        if 0 <= bin_number < bins:
            sent[bin_number] += 1
            served[bin_number] += request.in_target
    return [s / n if n else 1.0 for s, n in zip(served, sent, strict=True)]


def most_writes_per_s(writes_s: Sequence[float], from_s: float) -> int:
    """Most writes within one second, soon after ``from_s``."""
    soon = (at_s for at_s in writes_s if from_s <= at_s < from_s + STORM_S)
    return most_in_a_second(soon)


def most_in_a_second(times_s: Iterable[float]) -> int:
    """Largest number of ``times_s`` within one second."""
    ordered = sorted(times_s)
    first = most = 0
    for last, at_s in enumerate(ordered):
        while at_s - ordered[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most
