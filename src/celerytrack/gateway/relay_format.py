"""How a caller's request goes from one entry to another, over HTTP.

The other entry gets it as it is, with one more header. It admits the request by its own
configuration, sends it to one endpoint, and passes the answer on
(:mod:`celerytrack.reachability.relayed`).
"""

import json

import attrs
from attrs import validators as v
from multidict import CIMultiDict, CIMultiDictProxy

from celerytrack.gateway.exchange import AttemptFailure
from celerytrack.ids import EndpointId, EntryId, ServiceName
from celerytrack.origins.origin import StreamOrigin
from celerytrack.platform.http import RELAY_HEADER
from celerytrack.reachability.relayed import (
    NAME,
    RELAYED_HEADER,
    RelayOutcome,
    encode_outcome,
)
from celerytrack.strict import parse_json, strict_converter, structure

MAX_TRIED = 64
"""Most endpoints named in one order."""
_MAX_LEFT_S = 86_400.0
_converter = strict_converter(forbid_extra_keys=False)


@attrs.frozen
class RelayOrder:
    """What an entry asks of another with a request.

    :ivar sender: the entry whose caller sent the request.
    :ivar left_s: time left for the answer.
    :ivar tried: endpoints that are not to be chosen.
    :ivar resume_from: the stream resumes after this event.
    :ivar version: the software version that wrote the events before it; ``None`` if it
        has none or was begun by an earlier release of the entry.
    """

    sender: str = attrs.field(validator=NAME)
    service: str = attrs.field(validator=NAME)
    left_s: float = attrs.field(validator=v.and_(v.ge(0.0), v.le(_MAX_LEFT_S)))
    tried: list[str] = attrs.field(factory=list, validator=v.max_len(MAX_TRIED))
    resume_from: str | None = None
    version: str | None = None

    @property
    def sender_id(self) -> EntryId:
        return EntryId(self.sender)

    @property
    def service_name(self) -> ServiceName:
        return ServiceName(self.service)

    @property
    def origin(self) -> StreamOrigin | None:
        """What wrote the events that the caller has, if it has some."""
        if self.resume_from is None:
            return None
        return StreamOrigin(self.service_name, self.version)

    @property
    def tried_ids(self) -> list[EndpointId]:
        return [EndpointId(endpoint_id) for endpoint_id in self.tried]


def encode_order(order: RelayOrder) -> str:
    """The value of the header of a request to another entry."""
    return json.dumps(attrs.asdict(order))


def decode_order(headers: CIMultiDictProxy[str]) -> RelayOrder:
    """Decode the header of a request from another entry.

    :raises UnreadableError: naming what is wrong.
    """
    raw = headers.get(RELAY_HEADER, "")
    order: RelayOrder = structure(_converter, parse_json(raw), RelayOrder)
    return order


def is_relayed(headers: CIMultiDictProxy[str]) -> bool:
    """Whether a request comes from another entry."""
    return RELAY_HEADER in headers


def answered_headers(
    endpoint_id: EndpointId, writer: StreamOrigin | None
) -> CIMultiDict[str]:
    """The header that goes with an endpoint's answer.

    :param writer: the service and software version of the endpoint.
    """
    version = None if writer is None else writer.version
    outcome = RelayOutcome(endpoint_id, sent=True, version=version)
    return CIMultiDict({RELAYED_HEADER: encode_outcome(outcome)})


def failure_headers(
    failure: AttemptFailure, endpoint_id: EndpointId | None
) -> CIMultiDict[str]:
    """The header of an answer that says that there is no endpoint's answer."""
    outcome = RelayOutcome(
        endpoint=endpoint_id,
        reason=failure.reason,
        verdict=failure.verdict,
        sent=failure.sent,
        retry_after_s=failure.retry_after_s,
        detail=failure.detail,
        helper=failure.helper,
    )
    return CIMultiDict({RELAYED_HEADER: encode_outcome(outcome)})


def failure_of(outcome: RelayOutcome, helper: EntryId) -> AttemptFailure:
    """The failure that another entry reports."""
    assert outcome.reason is not None
    return AttemptFailure(
        outcome.reason,
        outcome.verdict,
        False,
        f"through {helper}: {outcome.detail}",
        sent=outcome.sent,
        retry_after_s=outcome.retry_after_s,
        helper=None if outcome.helper is None else EntryId(outcome.helper),
    )
