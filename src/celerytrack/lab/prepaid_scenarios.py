"""Loads and faults for a modelled fleet of entries."""

import enum

import attrs

from celerytrack.ids import AccountId
from celerytrack.lab.recovery_time import SampledRequest


@attrs.frozen
class Work:
    """One class of requests.

    :ivar per_s: requests per second of the whole fleet.
    :ivar input_tokens: median prompt size; ``spread`` is the standard deviation of
        its logarithm. ``output_most`` is reserved, ``output_share`` of it delivered.
    :ivar takes_s: duration of a response; ``target_s`` is the limit to its first token.
    """

    per_s: float
    input_tokens: int
    spread: float
    output_most: int
    output_share: float
    takes_s: float
    target_s: float
    deadline_s: float
    urgent: bool


MIX = (
    Work(16.0, 6_500, 0.8, 210, 0.25, 0.8, 0.6, 6.0, True),
    Work(19.0, 1_800, 0.9, 90, 0.25, 0.5, 1.2, 4.0, False),
    Work(12.0, 600, 0.6, 700, 0.4, 4.0, 1.5, 15.0, False),
)
"""Long prompts with short responses, medium ones, and chats, at the listed rates and
sizes of a deployment of nine entries."""


class FaultKind(enum.Enum):
    """Faults of entries and of the log."""

    POWER = "power"
    """Instances lose power and restart."""
    CUT = "cut"
    """Entries are partitioned from the log and each other, not from callers."""
    REFUSED = "refused"
    """The log refuses entries, which still reach each other."""
    AWAY = "away"
    """The log refuses every call."""
    RESTORED = "restored"
    """The log is unavailable and restored from a backup made ``loses_s`` before."""


@attrs.frozen
class Fault:
    """One fault of a ``share`` of the entries, from ``at_s`` on for ``for_s``.

    :ivar loses_s: how much of its history the log loses with a restore.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    share: float = 1.0
    loses_s: float = 0.0


TWO_CUTS_THEN_POWER = (
    Fault(FaultKind.CUT, 5.0, 8.0),
    Fault(FaultKind.CUT, 24.0, 8.0),
    Fault(FaultKind.POWER, 34.0, 1.4),
)
"""The hardest listed faults for prepaid totals: two long partitions of all entries, and
a power loss of all two seconds after the second."""


@attrs.frozen
class Scenario:
    """One run.

    :ivar mix: the classes of requests.
    :ivar total_factor: totals as a multiple of the demand during ``lasts_s``.
    :ivar hot_factor: factor on the largest account's requests after a third of the run.
    :ivar wide: number of entries with wide links, the first ones, which are advertised
        to callers; with 0 all links are equal.
    :ivar sticky_accounts: number of the largest accounts whose callers stay with one
        entry each: the last entries of the fleet, in turn, whether advertised or not.
    """

    name: str
    entries: int = 9
    accounts: int = 10
    runs_s: float = 48.0
    lasts_s: float = 34.0
    total_factor: float = 1.3
    hot_factor: float = 1.0
    wide: int = 0
    sticky_accounts: int = 0
    late_append_s: float = 0.0
    lost_share: float = 0.0
    faults: tuple[Fault, ...] = ()
    mix: tuple[Work, ...] = MIX

    @property
    def advertised_count(self) -> int:
        """Number of entries that are advertised to callers."""
        return self.wide or self.entries


@attrs.define
class Outcome:
    """The results of a run.

    :ivar overspent_tokens: spent beyond the totals, by all accounts; must be 0.
    :ivar delivered_share: spent share of the totals of accounts whose demand exceeds
        them.
    :ivar requests: the owed requests, in the order of their ends; times are since the
        start of the run.
    :ivar writes_s: when writes arrived at the log, since the start of the run.
    :ivar owed: number of owed requests, among them ``in_target`` and ``refused`` ones;
        ``owed_tokens`` and ``in_target_tokens`` are their largest possible costs.
    """

    overspent_tokens: int = 0
    delivered_share: float = 1.0
    delivered_shares: dict[AccountId, float] = attrs.field(factory=dict)
    asked: int = 0
    owed: int = 0
    in_target: int = 0
    late: int = 0
    refused: int = 0
    owed_tokens: int = 0
    in_target_tokens: int = 0
    appends_per_s: float = 0.0
    bytes_in_per_s: float = 0.0
    bytes_out_per_s: float = 0.0
    requests: list[SampledRequest] = attrs.field(factory=list)
    writes_s: list[float] = attrs.field(factory=list)

    @property
    def refused_share(self) -> float:
        """Refused share of the owed requests."""
        return self.refused / max(1, self.owed)

    @property
    def in_target_share(self) -> float:
        """Share of the owed requests that met their target."""
        return self.in_target / max(1, self.owed)

    @property
    def in_target_tokens_share(self) -> float:
        """Share of the owed requests that met their target, weighted by tokens."""
        return self.in_target_tokens / max(1, self.owed_tokens)
