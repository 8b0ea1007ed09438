"""Loads and faults that a modelled fleet of entries is played under."""

import enum

import attrs

from celerytrack.ids import AccountId
from celerytrack.lab.after_return import SampledRequest


@attrs.frozen
class Work:
    """One class of requests.

    :ivar per_s: requests a second in all.
    :ivar input_tokens: median size of the prompt, with ``spread`` (of the
        logarithm); ``output_most`` is reserved, ``output_share`` of it delivered.
    :ivar takes_s: how long an answer takes; ``target_s`` until its first piece.
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
"""Long prompts with short answers, middling ones, and chats: rates and sizes as
listed of a deployment of nine entries."""


class FaultKind(enum.Enum):
    """What may happen to entries."""

    POWER = "power"
    """Instances lose power and start anew."""
    CUT = "cut"
    """Entries reach neither the log nor each other; callers reach them."""
    REFUSED = "refused"
    """The log turns entries away; they reach each other."""
    AWAY = "away"
    """The log refuses every call."""
    RESTORED = "restored"
    """The log is away, and comes back from a copy made ``loses_s`` before."""


@attrs.frozen
class Fault:
    """One fault: ``share`` of the entries, from ``at_s`` on for ``for_s``.

    :ivar loses_s: how much of its history the log has lost when it comes back.
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
"""The hardest load listed for prepaid totals: two long cuts of all entries, and a
loss of power of all two seconds after the second."""


@attrs.frozen
class Scenario:
    """One run.

    :ivar mix: the classes of requests.
    :ivar total_times: totals against what is asked for in ``lasts_s``.
    :ivar hot_times: how much more than usual the largest account sends from a
        third of the run on.
    :ivar wide: entries with wide links, the first ones, which callers are told of;
        with 0 all links are alike.
    :ivar kept: the largest accounts whose callers keep to one entry each: the last
        entries of the fleet, in turn, whether callers are told of them or not.
    """

    name: str
    entries: int = 9
    accounts: int = 10
    runs_s: float = 48.0
    lasts_s: float = 34.0
    total_times: float = 1.3
    hot_times: float = 1.0
    wide: int = 0
    kept: int = 0
    late_append_s: float = 0.0
    lost_share: float = 0.0
    faults: tuple[Fault, ...] = ()
    mix: tuple[Work, ...] = MIX

    @property
    def told(self) -> int:
        """How many entries callers are told of."""
        return self.wide or self.entries


@attrs.define
class Outcome:
    """What a run came to.

    :ivar overspent_tokens: beyond the totals, by all accounts; must be 0.
    :ivar delivered_share: spent of the totals of accounts that were asked for
        more than they have.
    :ivar requests: those that were owed, by when they ended; times are since the
        run began.
    :ivar writes_s: when appends arrived at the log, since the run began.
    :ivar owed: requests owed, of which ``in_target`` and ``refused`` ones;
        ``owed_tokens`` and ``in_target_tokens`` at their most.
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
        """Refused of those owed."""
        return self.refused / max(1, self.owed)

    @property
    def in_target_share(self) -> float:
        """Answered in time, of those owed."""
        return self.in_target / max(1, self.owed)

    @property
    def in_target_tokens_share(self) -> float:
        """The same by tokens: a request is worth more the larger it is."""
        return self.in_target_tokens / max(1, self.owed_tokens)
