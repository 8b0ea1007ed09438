"""HTTP headers and bodies exchanged with callers and endpoints."""

import enum
from collections.abc import Mapping
from typing import Any

import attrs
from multidict import CIMultiDict, CIMultiDictProxy

from celerytrack.answer_heads import AnswerHead
from celerytrack.ids import AccountId, EndpointId, PartId, RequestId
from celerytrack.reachability.relayed import RELAYED_HEADER
from celerytrack.strict import is_encodable

READY_PATH = "/ready"
RESOLVE_PATH = "/resolve"

_REQUEST_ID = "X-Attempt-Id"
_DEADLINE = "X-Deadline-Ms"
_TOKENS = "X-Token-Count"
_PROMPT = "X-Prompt-Prefix"
_MODEL = "X-Model"
_LAST_EVENT = "Last-Event-Id"
_RESUMES = "Resumes"
_SEAL = "X-Response-Seal"
_NOT_RUN = "X-Not-Executed"
_EXPECTED = "X-Expect-Replica"
_NAMED = "X-Replica-Id"
_ACCOUNT = "X-Tenant"
_URGENCY = "X-Request-Urgency"
RELAY_HEADER = "Celerytrack-Relay"
"""Header of a request that an entry sends through another."""
_READ_HEADERS = (_REQUEST_ID, _MODEL, _TOKENS, _PROMPT, _LAST_EVENT, _RESUMES)
"""Headers of a request that are used here and must reach the endpoint as they are."""
_MAX_URGENCY = 9
"""Highest urgency number; 0 is the most urgent."""
_MAX_COUNT_DIGITS = 15
"""Most digits of a token count: more than any prompt needs, and within 64 bits."""
_MAX_ID_CHARS = 128
"""Longest id of an earlier request that is looked up."""
_MAX_DEADLINE_MS = 86_400_000.0
"""Longest deadline that a caller may set: one day."""

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        "Authorization",
        "Content-Length",
        "Expect",
        _ACCOUNT,
        _EXPECTED,
        _DEADLINE,
        _URGENCY,
        _LAST_EVENT,
        "X-Expect-Version",
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
        RELAY_HEADER,
    )
)
_NOT_RELAYED = frozenset({"content-length", "expect", RELAY_HEADER.lower()})
_NOT_RETURNED = frozenset({"content-length", "date", "server", RELAYED_HEADER.lower()})

_FULL_STATUSES = frozenset({429, 503})

SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
"""Headers that the client library would add by default. An endpoint that used an
encoding they offer would return a body that the caller cannot read."""


@attrs.frozen
class RequestFacts:
    """What the headers of a caller's request state.

    :ivar deadline_s: how long the caller waits; ``None`` if not stated.
    :ivar input_tokens: tokens of the prompt.
    :ivar output_tokens: maximum number of generated tokens.
    :ivar parts: ``(key, tokens)`` of the prompt's parts, in order; a key
        identifies the part and all parts before it, for the same model.
    :ivar shared_parts: the model and the id of each part but the last, which belongs to
        the request or its session.
    :ivar last_event_id: last event that the caller got of an aborted stream.
    :ivar resumes: the request that brought the first event of that stream; ``None`` if
        it is not named, or not as one id of another request.
    """

    request_id: RequestId
    host: str
    key: str | None
    deadline_s: float | None
    input_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    shared_parts: tuple[PartId, ...] = ()
    last_event_id: str | None = None
    resumes: RequestId | None = None


class RequestError(ValueError):
    """A caller's headers cannot be decoded."""


def decode_request(
    headers: "CIMultiDictProxy[str] | CIMultiDict[str]",
) -> RequestFacts:
    """Decode a caller's headers.

    :raises RequestError: naming the header.
    """
    request_id = headers.get(_REQUEST_ID)
    if not request_id:
        raise RequestError("the request has no id")
    _check_text(headers)
    tokens = headers.get(_TOKENS)
    prompt = headers.get(_PROMPT)
    try:
        counts = [_count(n) for n in tokens.split(",")] if tokens else [0, 0]
        deadline = headers.get(_DEADLINE)
        deadline_s = _time_s(deadline) if deadline else None
        model = headers.get(_MODEL, "")
        parts = _parts(model, prompt) if prompt else ()
        input_tokens, output_tokens = counts
    except ValueError as exc:
        raise RequestError(f"cannot read the headers: {exc}") from None
    return RequestFacts(
        request_id=RequestId(request_id),
        host=headers.get("Host", "").rsplit(":", 1)[0].lower(),
        key=_bearer(headers.get("Authorization")),
        deadline_s=deadline_s,
        input_tokens=input_tokens,
        output_tokens=output_tokens,
        parts=parts,
        shared_parts=_shared_parts(model, prompt) if prompt else (),
        last_event_id=headers.get(_LAST_EVENT),
        resumes=_resumed_request(headers, request_id),
    )


def _check_text(headers: "CIMultiDictProxy[str] | CIMultiDict[str]") -> None:
    for name in _READ_HEADERS:
        if not all(map(is_encodable, headers.getall(name, ()))):
            # The client library would leave the odd bytes out.
            raise RequestError(f"{name} is not UTF-8")


def _resumed_request(
    headers: "CIMultiDictProxy[str] | CIMultiDict[str]", request_id: str
) -> RequestId | None:
    """The request that began the stream that this one takes up.

    Without the last event it says nothing: the stream begins anew.
    """
    named = set(headers.getall(_RESUMES, ()))
    if len(named) != 1 or _LAST_EVENT not in headers:
        return None
    first = named.pop()
    if not 0 < len(first) <= _MAX_ID_CHARS or first == request_id:
        return None
    return RequestId(first)


def _bearer(value: str | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else None


def _parts(model: str, prompt: str) -> tuple[tuple[str, int], ...]:
    parts = []
    key = model
    for item in prompt.split(","):
        name, _, size = item.strip().partition(":")
        key = f"{key}/{name}"
        parts.append((key, _count(size)))
    return tuple(parts)


def _shared_parts(model: str, prompt: str) -> tuple[PartId, ...]:
    names = (item.strip().partition(":")[0] for item in prompt.split(",")[:-1])
    return tuple(PartId(f"{model}/{name}") for name in names)


def _count(text: str) -> int:
    # Reserving a negative count would add tokens to the account.
    if not text.strip().isdecimal() or len(text) > _MAX_COUNT_DIGITS:
        raise ValueError("a count must be a whole number")
    return int(text)


def _time_s(text: str) -> float:
    time_ms = float(text)
    if not 0 <= time_ms <= _MAX_DEADLINE_MS:
        raise ValueError("a time must be milliseconds from now")
    return time_ms / 1_000


@attrs.frozen
class Envelope:
    """What the system states to an endpoint about a request that it forwards.

    :ivar left_s: time left until the deadline.
    :ivar last_event_id: the stream resumes after this event.
    """

    endpoint_id: EndpointId
    left_s: float
    urgency: int
    account: AccountId | None = None
    last_event_id: str | None = None


def forwarded_headers(
    headers: CIMultiDictProxy[str], envelope: Envelope
) -> CIMultiDict[str]:
    """The headers to send to an endpoint with a caller's request."""
    out = _end_to_end_headers(headers, _NOT_FORWARDED)
    out[_DEADLINE] = str(max(1, int(envelope.left_s * 1_000)))
    out[_EXPECTED] = envelope.endpoint_id
    out[_URGENCY] = str(min(max(envelope.urgency, 0), _MAX_URGENCY))
    if envelope.account is not None:
        out[_ACCOUNT] = envelope.account
    if envelope.last_event_id is not None:
        out[_LAST_EVENT] = envelope.last_event_id
    return out


def relayed_headers(headers: CIMultiDictProxy[str], order: str) -> CIMultiDict[str]:
    """The headers to send to another entry with a caller's request.

    :param order: value of :data:`RELAY_HEADER`.
    """
    out = _end_to_end_headers(headers, _NOT_RELAYED)
    out[RELAY_HEADER] = order
    return out


def returned_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """The headers to return to a caller with an endpoint's answer."""
    return _end_to_end_headers(headers, _NOT_RETURNED)


def _end_to_end_headers(
    headers: CIMultiDictProxy[str], excluded: frozenset[str]
) -> CIMultiDict[str]:
    named = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    dropped = _HOP_BY_HOP | named | excluded
    return CIMultiDict((k, v) for k, v in headers.items() if k.lower() not in dropped)


class Framing(enum.Enum):
    """What tells where the body of an answer ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"
    """The end of its connection."""


def framing_of(headers: CIMultiDictProxy[str]) -> Framing:
    """How the body of an answer is framed."""
    if "Transfer-Encoding" in headers:
        return Framing.CHUNKED
    return Framing.LENGTH if "Content-Length" in headers else Framing.CONNECTION


@attrs.frozen
class AnswerFacts:
    """What the head of an endpoint's answer states.

    :ivar request_id: the request that it answers.
    :ivar did_not_run: the endpoint guarantees that it did not run the request.
    :ivar sealed: whether the answer carries the endpoint's signature.
    :ivar wrong_endpoint: the address now belongs to another endpoint.
    """

    request_id: str | None
    did_not_run: bool
    sealed: bool
    wrong_endpoint: bool


def decode_answer(status: int, headers: CIMultiDictProxy[str]) -> AnswerFacts:
    """Decode the head of an endpoint's answer."""
    return AnswerFacts(
        request_id=headers.get(_REQUEST_ID),
        did_not_run=status == 421 or _NOT_RUN in headers,
        # A seal with odd bytes can't be returned unchanged.
        sealed=_SEAL in headers and is_encodable(headers[_SEAL]),
        wrong_endpoint=status == 421,
    )


def encode_identity_check(address: str, path: str, endpoint_id: EndpointId) -> bytes:
    """A request that asks the process at ``address`` whether it is ``endpoint_id``."""
    lines = (
        f"GET {path} HTTP/1.1",
        f"Host: {address}",
        f"{_EXPECTED}: {endpoint_id}",
        "Connection: close",
    )
    return "\r\n".join((*lines, "", "")).encode()


def names_process(head: AnswerHead, endpoint_id: EndpointId) -> bool | None:
    """Whether the head of the answer to such a request is of ``endpoint_id``.

    :returns: ``None`` if it doesn't say.
    """
    if head.status == 421:
        return False
    named = head.values(_NAMED.lower().encode())
    if named:
        return named == [endpoint_id.encode()]
    # A full endpoint rejects a check like any request, and another one with 421.
    is_rejected = bool(head.values(_NOT_RUN.lower().encode()))
    return True if head.status in _FULL_STATUSES and is_rejected else None


def encode_addresses(addresses: list[str], ttl_s: float) -> dict[str, Any]:
    """The body of an address answer."""
    return {"addresses": addresses, "ttlS": ttl_s}


def caller_zone(query: Mapping[str, str]) -> str:
    """The failure domain named in a caller's query for addresses."""
    return query.get("zone", "")
