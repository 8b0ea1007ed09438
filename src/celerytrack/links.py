"""Which entries take callers, by what their links carry, without I/O.

Load pattern answered: a few entries with wide links among many with narrow ones, before
callers that are spread evenly over the addresses that they are told.
"""

from collections.abc import Sequence

UNEQUAL_TIMES = 8.0
"""An entry whose link carries this many times less than the best one's takes callers
only where the others are too few: its part of the callers would fill its link."""
ABLE_SHARE = 1 / 3
"""Part of what all links carry that the entries left must have together, so that their
load at most triples."""
ABLE_LEAST = 4
"""Entries that must be left, so that the loss of one or two is borne."""


def least_link_mbps(links_mbps: Sequence[float]) -> float:
    """The smallest link with which an entry takes callers; 0 if all do.

    Few entries with wide links serve callers better than all: an account is divided
    among fewer, each knows more of what the engines have to do, and rows are fewer.

    :param links_mbps: what the link of each entry carries.
    """
    least_mbps = max(links_mbps, default=0.0) / UNEQUAL_TIMES
    able_mbps = [mbps for mbps in links_mbps if mbps >= least_mbps]
    enough = sum(able_mbps) >= ABLE_SHARE * sum(links_mbps)
    return least_mbps if enough and len(able_mbps) >= ABLE_LEAST else 0.0
