"""What an entry answers to another that sent a request through it: the endpoint's
answer, or why there is none."""

import json
import math
from collections.abc import Callable, Mapping

import attrs
from attrs import validators as v

from celerytrack.ids import EndpointId
from celerytrack.strict import UnreadableError, parse_json, strict_converter, structure
from celerytrack.verdict import Reason, Verdict

RELAYED_HEADER = "Celerytrack-Relayed"
"""Header with the outcome; it goes with every answer to a relayed request."""
MAX_NAME_CHARS = 256
NAME: Callable[..., None] = v.and_(v.min_len(1), v.max_len(MAX_NAME_CHARS))
"""Validator of a name in a message between entries."""
UNHANDLED_STATUSES = frozenset({404, 405, 413})
"""Statuses of answers without the header that show that nothing was done: an earlier
release knows no such path, or the body is too large to be read."""
MAX_IN_PROGRESS = 256
"""Most requests of other entries in progress at one, which bounds their memory."""
MAX_DETAIL_CHARS = 300
"""A longer text would not fit into a header."""
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
_converter = strict_converter(forbid_extra_keys=False)


@attrs.frozen
class RelayOutcome:
    """What came of a request that was sent through another entry.

    :ivar endpoint: the endpoint that it was sent to, if any.
    :ivar reason: why there is no endpoint's answer; ``None`` if there is one.
    :ivar sent: whether it may have reached the endpoint.
    :ivar retry_after_s: when an attempt may succeed, if known.
    :ivar helper: another entry that lately served such a request, if this one can't.
    :ivar version: software version of the endpoint that answers; ``None`` if unknown.
    """

    endpoint: str | None = None
    reason: Reason | None = None
    verdict: Verdict = Verdict.DID_NOT_RUN
    sent: bool = False
    retry_after_s: float | None = None
    detail: str = ""
    helper: str | None = None
    version: str | None = None

    @property
    def endpoint_id(self) -> EndpointId | None:
        return None if self.endpoint is None else EndpointId(self.endpoint)


@attrs.frozen
class _Wire:
    endpoint: str | None = None
    reason: str | None = None
    verdict: str = Verdict.DID_NOT_RUN.value
    sent: bool = False
    retry_after_s: float | None = None
    detail: str = ""
    helper: str | None = None
    version: str | None = None


def encode_outcome(outcome: RelayOutcome) -> str:
    """The value of the header."""
    fields = attrs.asdict(outcome)
    fields["reason"] = None if outcome.reason is None else outcome.reason.value
    fields["verdict"] = outcome.verdict.value
    fields["detail"] = outcome.detail[:MAX_DETAIL_CHARS]
    return json.dumps(fields)


def decode_outcome(headers: Mapping[str, str]) -> RelayOutcome:
    """Decode the header of another entry's answer.

    A reason or verdict that is not known here counts as the worst.

    :raises UnreadableError: if it is missing or invalid, so that the answer is no
        entry's.
    """
    raw = headers.get(RELAYED_HEADER)
    if raw is None:
        raise UnreadableError("no answer to a relayed request")
    wire: _Wire = structure(_converter, parse_json(raw), _Wire)
    if wire.reason is None:
        return RelayOutcome(endpoint=wire.endpoint, sent=True, version=wire.version)
    try:
        reason, verdict = Reason(wire.reason), Verdict(wire.verdict)
    except ValueError:
        reason, verdict = Reason.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN
    if reason not in _REASONS:
        reason = Reason.UPSTREAM_FAILED
    retry_after_s = wire.retry_after_s
    if retry_after_s is not None and not 0 <= retry_after_s < math.inf:
        retry_after_s = None
    return RelayOutcome(
        wire.endpoint,
        reason,
        verdict,
        wire.sent,
        retry_after_s,
        wire.detail,
        wire.helper,
    )
