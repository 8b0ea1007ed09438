"""How a request goes from one entry to another, over HTTP.

The other entry gets the caller's request as it is, with one more header. It admits the
request by its own configuration, sends it to one endpoint, and passes the answer on,
also with one more header. Both headers end at an entry.
"""

import json
import math
from collections.abc import Callable

import attrs
from attrs import validators as v
from multidict import CIMultiDict, CIMultiDictProxy

from celerytrack.gateway.exchange import AttemptFailure
from celerytrack.ids import EndpointId, EntryId, ServiceName
from celerytrack.platform.http import RELAY_HEADER, RELAYED_HEADER
from celerytrack.strict import (
    UnreadableError,
    parse_json,
    strict_converter,
    structure,
)
from celerytrack.verdict import Reason, Verdict

MAX_TRIED = 64
"""Most endpoints named in one order."""
_MAX_NAME_CHARS = 256
_MAX_LEFT_S = 86_400.0
_REASONS = frozenset(
    {
        Reason.BACKING_OFF,
        Reason.DEADLINE,
        Reason.DRAINING,
        Reason.ISOLATED,
        Reason.NO_CAPACITY,
        Reason.NO_CONFIG,
        Reason.NO_ENDPOINT,
        Reason.QUARANTINED,
        Reason.RATE_LIMITED,
        Reason.UPSTREAM_CUT,
        Reason.UPSTREAM_FAILED,
    }
)
"""Reasons that another entry may give. No refusal of its own admission is passed on:
it may know an older configuration."""
_NAME: Callable[..., None] = v.and_(v.min_len(1), v.max_len(_MAX_NAME_CHARS))
_converter = strict_converter(forbid_extra_keys=False)


@attrs.frozen
class RelayOrder:
    """What an entry asks of another with a request.

    :ivar sender: the entry whose caller sent the request.
    :ivar left_s: time left for the answer.
    :ivar tried: endpoints that are not to be chosen.
    :ivar resume_from: the stream resumes after this event.
    """

    sender: str = attrs.field(validator=_NAME)
    service: str = attrs.field(validator=_NAME)
    left_s: float = attrs.field(validator=v.and_(v.ge(0.0), v.le(_MAX_LEFT_S)))
    tried: list[str] = attrs.field(factory=list, validator=v.max_len(MAX_TRIED))
    resume_from: str | None = None

    @property
    def sender_id(self) -> EntryId:
        return EntryId(self.sender)

    @property
    def service_name(self) -> ServiceName:
        return ServiceName(self.service)

    @property
    def tried_ids(self) -> list[EndpointId]:
        return [EndpointId(endpoint_id) for endpoint_id in self.tried]


@attrs.frozen
class RelayOutcome:
    """What came of a relayed request, beside the endpoint's answer.

    :ivar endpoint: the endpoint that it was sent to, if any.
    :ivar reason: why there is no endpoint's answer; ``None`` if there is one.
    """

    endpoint: str | None = None
    reason: str | None = None
    verdict: str = Verdict.DID_NOT_RUN.value
    sent: bool = False
    retry_after_s: float | None = None
    detail: str = ""


def encode_order(order: RelayOrder) -> str:
    """The value of the header of a request to another entry."""
    return json.dumps(attrs.asdict(order))


def decode_order(headers: CIMultiDictProxy[str]) -> RelayOrder | None:
    """Decode the header of a request from another entry.

    :returns: ``None`` if there is none.
    :raises UnreadableError: naming what is wrong.
    """
    raw = headers.get(RELAY_HEADER)
    if raw is None:
        return None
    order: RelayOrder = structure(_converter, parse_json(raw), RelayOrder)
    return order


def is_relayed(headers: CIMultiDictProxy[str]) -> bool:
    """Whether a request comes from another entry."""
    return RELAY_HEADER in headers


def answered_headers(endpoint_id: EndpointId) -> CIMultiDict[str]:
    """The header that goes with an endpoint's answer."""
    return _outcome_headers(RelayOutcome(endpoint_id))


def failure_headers(
    failure: AttemptFailure, endpoint_id: EndpointId | None
) -> CIMultiDict[str]:
    """The header of an answer that says that there is no endpoint's answer."""
    outcome = RelayOutcome(
        endpoint=endpoint_id,
        reason=failure.reason.value,
        verdict=failure.verdict.value,
        sent=failure.sent,
        retry_after_s=failure.retry_after_s,
        detail=failure.detail,
    )
    return _outcome_headers(outcome)


def _outcome_headers(outcome: RelayOutcome) -> CIMultiDict[str]:
    return CIMultiDict({RELAYED_HEADER: json.dumps(attrs.asdict(outcome))})


def decode_outcome(headers: CIMultiDictProxy[str]) -> RelayOutcome:
    """Decode the header of another entry's answer.

    :raises UnreadableError: if it is missing or invalid, so that the answer is no
        entry's.
    """
    raw = headers.get(RELAYED_HEADER)
    if raw is None:
        raise UnreadableError("no answer to a relayed request")
    outcome: RelayOutcome = structure(_converter, parse_json(raw), RelayOutcome)
    return outcome


def failure_of(outcome: RelayOutcome, helper: EntryId) -> AttemptFailure:
    """The failure that another entry reports.

    What it says of a verdict or reason that is not known here counts as the worst.
    """
    try:
        reason = Reason(outcome.reason)
        verdict = Verdict(outcome.verdict)
    except ValueError:
        reason, verdict = Reason.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN
    if reason not in _REASONS:
        reason = Reason.UPSTREAM_FAILED
    retry_after_s = outcome.retry_after_s
    if retry_after_s is not None and not 0 <= retry_after_s < math.inf:
        retry_after_s = None
    return AttemptFailure(
        reason,
        verdict,
        False,
        f"through {helper}: {outcome.detail}",
        sent=outcome.sent,
        retry_after_s=retry_after_s,
    )
