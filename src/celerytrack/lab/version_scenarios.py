"""Scenarios of fleets in which a service is upgraded while streams go on, and what came
of them."""

import statistics
from collections import Counter
from collections.abc import Sequence

import attrs

from celerytrack.ids import EntryId

ENDPOINTS = {9: 12, 76: 36, 195: 62}
"""Endpoints of a service by the number of entries before it."""


@attrs.frozen
class VersionScenario:
    """One kind of run.

    :ivar lost_share: share of the messages between entries that are lost.
    :ivar kills: whether entries are killed and start again in turn.
    :ivar cut_share: share of the entries that no message of the others reaches while
        the service is upgraded.
    :ivar log_away: whether no registration is read for a part of the upgrade.
    :ivar same_ids: whether endpoints come back under their id and address.
    :ivar load_share: load as a share of the slots.
    :ivar to_two: whether the old version shrinks to two endpoints at once, and stays.
    :ivar isolated: entries that are cut off from the log and from the others, together,
        from just before the upgrade begins.
    :ivar upgrades: whether a new version joins.
    :ivar leases: whether a view of the registrations supports an only version for the
        time of a lease, and streams begin at a new version after that; otherwise for
        3 s, and at any age once another entry has answered.
    :ivar pins: whether streams keep to their version.
    :ivar keeps_room: whether new work keeps off the last slots of a small version.
    """

    name: str
    entries: int = 9
    lost_share: float = 0.01
    kills: bool = False
    cut_share: float = 0.0
    log_away: bool = False
    same_ids: bool = False
    load_share: float = 0.5
    to_two: bool = False
    isolated: int = 0
    upgrades: bool = True
    leases: bool = True
    pins: bool = True
    keeps_room: bool = True

    @property
    def endpoints(self) -> int:
        return ENDPOINTS[self.entries]


@attrs.define
class VersionOutcome:
    """What came of one run.

    :ivar streams: streams that callers asked for.
    :ivar began: streams of which a first event came.
    :ivar mixed: streams with events of two versions.
    :ivar taken_up: streams that callers took up while two endpoints of their version
        served.
    :ivar went_on: how many of them went on.
    :ivar taken_up_old: those of the old version while just two endpoints served it.
    :ivar went_on_old: how many of these went on.
    :ivar take_ups: tries that took a stream up.
    :ivar unknown: tries refused since nobody knew what began the stream.
    :ivar messages: messages about origins.
    :ivar reads: reads of the registrations.
    :ivar sent_bytes: bytes that each entry sent, by second.
    """

    streams: int = 0
    began: int = 0
    mixed: int = 0
    taken_up: int = 0
    went_on: int = 0
    taken_up_old: int = 0
    went_on_old: int = 0
    take_ups: int = 0
    unknown: int = 0
    reads: int = 0
    messages: int = 0
    lasted_s: float = 0.0
    sent_bytes: Counter[tuple[EntryId, int]] = attrs.field(factory=Counter)

    @property
    def began_share(self) -> float:
        """Share of the streams that began."""
        return self.began / self.streams if self.streams else 1.0

    @property
    def went_on_share(self) -> float:
        """Share of the streams taken up that went on."""
        return self.went_on / self.taken_up if self.taken_up else 1.0

    @property
    def is_broken(self) -> bool:
        """Whether streams were mixed or lost."""
        is_lost = self.taken_up >= 12 and self.went_on_share < self.began_share / 2
        return self.mixed > 2 or is_lost


def summary(
    scenario: VersionScenario, outcomes: Sequence[VersionOutcome]
) -> dict[str, object]:
    """The row of a scenario over all seeds."""
    streams = sum(o.streams for o in outcomes)
    busiest = [max(o.sent_bytes.values(), default=0) for o in outcomes]
    mean_bytes = [
        sum(o.sent_bytes.values()) / scenario.entries / o.lasted_s for o in outcomes
    ]
    taken_up_old = sum(o.taken_up_old for o in outcomes)
    return {
        "entries": scenario.entries,
        "scenario": scenario.name,
        "seeds": len(outcomes),
        "broken_runs": sum(o.is_broken for o in outcomes),
        "streams": streams,
        "mixed": sum(o.mixed for o in outcomes),
        "most_mixed": max(o.mixed for o in outcomes),
        "began_share": _mean([o.began_share for o in outcomes]),
        "went_on_share": _mean([o.went_on_share for o in outcomes]),
        "worst_went_on_share": round(min(o.went_on_share for o in outcomes), 3),
        "taken_up": sum(o.taken_up for o in outcomes),
        "taken_up_old": taken_up_old,
        "went_on_old_share": round(
            sum(o.went_on_old for o in outcomes) / max(1, taken_up_old), 3
        ),
        "unknown": sum(o.unknown for o in outcomes),
        "take_ups": sum(o.take_ups for o in outcomes),
        "reads_per_s": _per_s([o.reads for o in outcomes], outcomes),
        "messages_per_s": _per_s([o.messages for o in outcomes], outcomes),
        "messages_per_stream": round(sum(o.messages for o in outcomes) / streams, 2),
        "bytes_per_s": _mean(mean_bytes),
        "busiest_bytes_per_s": max(busiest),
    }


def _per_s(counts: Sequence[int], outcomes: Sequence[VersionOutcome]) -> float:
    """The mean rate of all entries together."""
    return _mean([n / o.lasted_s for n, o in zip(counts, outcomes, strict=True)])


def _mean(values: Sequence[float]) -> float:
    return round(statistics.fmean(values), 3)
