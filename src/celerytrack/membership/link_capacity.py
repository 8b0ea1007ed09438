"""Which entries take callers, by the capacity of their network links, without I/O.

Meant for fleets in which a few entries have wide links and many have narrow ones, while
callers spread evenly over the addresses that they get.
"""

from collections.abc import Sequence

NARROW_LINK_FACTOR = 8.0
"""An entry whose link is this many times narrower than the widest takes callers only if
the other entries are too few. Its share of the callers would saturate its link."""
MIN_CAPACITY_SHARE = 1 / 3
"""Smallest share of the total link capacity that the remaining entries must have, so
that their load at most triples."""
MIN_ENTRIES = 4
"""Smallest number of remaining entries, so that one or two may fail."""


def min_caller_link_mbps(links_mbps: Sequence[float]) -> float:
    """The narrowest link with which an entry takes callers; 0 if all entries do.

    A few entries with wide links serve callers better than all entries would: accounts
    are divided among fewer entries, each sees more of the engines' load, and fewer rows
    are written.

    :param links_mbps: link capacity of each entry.
    """
    min_mbps = max(links_mbps, default=0.0) / NARROW_LINK_FACTOR
    wide_mbps = [mbps for mbps in links_mbps if mbps >= min_mbps]
    has_capacity = sum(wide_mbps) >= MIN_CAPACITY_SHARE * sum(links_mbps)
    return min_mbps if has_capacity and len(wide_mbps) >= MIN_ENTRIES else 0.0
