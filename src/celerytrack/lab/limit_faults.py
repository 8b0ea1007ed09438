"""Faults of modelled fleets before endpoints that need leases."""

from collections.abc import Collection

from celerytrack.ids import EntryId
from celerytrack.lab.limit_scenarios import LimitFault
from celerytrack.lab.peer_fleet import MESSAGE_LOSS_SHARE, PeerFaults, PeerFleet

LATE_VIEW_LAG_S = (0.5, 4.0)


def peer_faults(faults: Collection[LimitFault]) -> PeerFaults:
    """What is wrong with messages and rows during the whole run."""
    lost_share = MESSAGE_LOSS_SHARE
    if LimitFault.MESSAGES_LOST in faults:
        lost_share = 1 / 3
    if LimitFault.NO_MESSAGES in faults:
        lost_share = 1.0
    if LimitFault.LATE_ROWS in faults:
        return PeerFaults(LATE_VIEW_LAG_S, lost_share)
    return PeerFaults(lost_share=lost_share)


async def inject(
    fleet: PeerFleet,
    fault: LimitFault,
    cut_s: float,
    isolated_s: float,
    lasts_s: float,
) -> None:
    """Inject a fault that begins now.

    :param cut_s: how long a third of the entries is cut off from the others.
    :param isolated_s: how long it is cut off from the log as well.
    :param lasts_s: time within which all entries are restarted.
    """
    match fault:
        case LimitFault.THIRD_CUT:
            await fleet.cut_a_third(cut_s)
        case LimitFault.THIRD_ISOLATED:
            await fleet.cut_a_third(isolated_s, from_log=True)
        case LimitFault.STOPS | LimitFault.KILLS:
            planned = fault is LimitFault.STOPS
            await fleet.restart_in_turn(lasts_s, planned)
        case LimitFault.ADDED:
            for number in range(max(1, len(fleet.entries) // 3)):
                fleet.start(EntryId(f"new{number}"))
            fleet.publish_view()
