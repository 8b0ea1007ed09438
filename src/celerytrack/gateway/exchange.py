"""The state of one request while it is processed."""

import asyncio

import attrs
from aiohttp import web
from multidict import CIMultiDict

from celerytrack.callers.account import Hold, MemoryAccount
from celerytrack.fingerprint import (
    Fingerprint,
    FingerprintPrefix,
    RequestHead,
    fingerprint_of,
    part_fingerprints,
    prefix_of,
)
from celerytrack.ids import AccountId, EndpointId, EntryId, ServiceName
from celerytrack.loop_time import loop_time
from celerytrack.origins.origin import StreamOrigin
from celerytrack.platform.http import Framing, RequestFacts
from celerytrack.routing.endpoint import Choice, Dispatch, RequestProfile
from celerytrack.routing.routes import Route
from celerytrack.streams import EventSplitter
from celerytrack.verdict import Reason, Verdict


@attrs.frozen
class BufferedAnswer:
    """An endpoint's answer that was read completely before it is passed on."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


@attrs.frozen
class AttemptFailure:
    """An attempt that yielded no answer for the caller.

    :ivar hard: the endpoint did not accept the connection, broke it or did not respond.
    :ivar detail: the observed error, for the log.
    :ivar sent: whether anything was sent to the endpoint.
    :ivar address_reused: another endpoint has the address now, so the endpoint was not
        reached and no longer exists.
    :ivar retry_after_s: when an attempt may succeed, if known.
    :ivar is_final: whether no other attempt can mend it.
    :ivar helper: an entry that may help where another could not.
    :ivar withheld: whether the endpoint's word came before the request was sent.
    :ivar links_down: whether the attempt was given up since this entry reaches no
        endpoint, which says nothing of the one it was sent to.
    """

    reason: Reason
    verdict: Verdict
    hard: bool
    detail: str
    sent: bool = True
    address_reused: bool = False
    retry_after_s: float | None = None
    withheld: bool = False
    links_down: bool = False
    is_final: bool = False
    helper: EntryId | None = None

    @property
    def was_interrupted(self) -> bool:
        """Whether the endpoint failed after the request was sent to it."""
        return self.sent and self.hard and self.verdict is Verdict.MAY_HAVE_RUN


@attrs.define(eq=False)
class Exchange:
    """One request, from its first byte to the end of its answer.

    Times are on the monotonic clock.

    :ivar started_s: when the request was read.
    :ivar deadline_at_s: by when the answer must be sent: the caller's deadline or the
        route's timeout, whichever is sooner.
    :ivar tried: endpoints chosen so far, in order.
    :ivar unreached: how many of them were not reached: they did not accept the
        connection, or another endpoint has their address now.
    :ivar limited: endpoints that were not chosen because their rate limit left no room.
    :ivar withheld: endpoints that were not chosen because they leave or back off.
    :ivar event_tokens: most output tokens in one event of the service as the request
        was admitted; ``None`` if it was not configured.
    :ivar reserved_at_s: when the maximum cost was reserved, or found to need no
        reservation.
    :ivar first_data_at_s: when the first events of the answer arrived.
    :ivar choice: the endpoint of the last attempt, and its predicted times.
    :ivar dispatch: the attempt in progress from here, if any.
    :ivar attempt_timeout: ends that attempt alone.
    :ivar links_lost: whether it was ended since this entry reaches no endpoint.
    :ivar sender: the entry whose caller sent the request, if not this one.
    :ivar through: the entries that the request went through.
    :ivar sent_unknown: how often another entry may have sent it to an endpoint that is
        not known.
    :ivar may_have_run: whether an endpoint may have run the request.
    :ivar response: the stream to the caller, once it has begun.
    :ivar origin: what wrote the events that the caller has, once it has some.
    :ivar infers_origin: whether that is known since nothing else can have begun the
        stream, so that no entry may have recorded it.
    :ivar origin_endpoint: the endpoint that wrote the first of them, if this entry
        sent the request there.
    :ivar writer: what writes the answer of the attempt in progress.
    :ivar framing: of the last answer of an endpoint.
    :ivar events: parser of the stream, which counts the events relayed so far.
    :ivar probed: suspected features of the request for which this attempt is a probe.
    :ivar body_hold: the memory that its head and body take.
    :ivar answer_hold: the memory that its whole answer takes.
    :ivar timeout: ends the wait for tokens and the attempts at ``deadline_at_s``.
    """

    request: web.BaseRequest
    facts: RequestFacts
    body: bytes
    route: Route
    service: ServiceName
    account: AccountId | None
    priority: int
    started_s: float
    deadline_at_s: float
    tried: list[EndpointId] = attrs.field(factory=list)
    unreached: int = 0
    limited: list[EndpointId] = attrs.field(factory=list)
    withheld: set[EndpointId] = attrs.field(factory=set)
    event_tokens: int | None = None
    reserved_at_s: float | None = None
    first_data_at_s: float | None = None
    choice: Choice | None = None
    dispatch: Dispatch | None = None
    attempt_timeout: asyncio.Timeout | None = None
    links_lost: bool = False
    sender: EntryId | None = None
    through: list[EntryId] = attrs.field(factory=list)
    sent_unknown: int = 0
    may_have_run: bool = False
    response: web.StreamResponse | None = None
    origin: StreamOrigin | None = None
    infers_origin: bool = False
    origin_endpoint: EndpointId | None = None
    writer: StreamOrigin | None = None
    framing: Framing | None = None
    events: EventSplitter = attrs.field(factory=EventSplitter)
    probed: list[Fingerprint] = attrs.field(factory=list)
    timeout: asyncio.Timeout | None = None
    body_hold: Hold | None = None
    answer_hold: Hold | None = None
    _fingerprint_prefix: FingerprintPrefix | None = None
    _fingerprint: Fingerprint | None = None

    @property
    def fingerprint_prefix(self) -> FingerprintPrefix:
        """The first half of the fingerprint, computed on first use."""
        if self._fingerprint_prefix is None:
            head = RequestHead(
                method=self.request.method,
                host=self.facts.host,
                path=self.request.raw_path,
                account=self.account,
                body_bytes=len(self.body),
            )
            self._fingerprint_prefix = prefix_of(head)
        return self._fingerprint_prefix

    @property
    def fingerprint(self) -> Fingerprint:
        """The value that all repeats of the request share, computed on first use."""
        if self._fingerprint is None:
            self._fingerprint = fingerprint_of(self.fingerprint_prefix, self.body)
        return self._fingerprint

    @property
    def part_fingerprints(self) -> tuple[Fingerprint, ...]:
        """The values that all requests share whose prompts have the same parts."""
        return part_fingerprints(self.service, self.facts.shared_parts)

    @property
    def profile(self) -> RequestProfile:
        """What decides which endpoints may run the request, and how soon."""
        return RequestProfile(
            self.service, self.facts.parts, self.origin, self.route.resumable
        )

    def release_memory(self, account: MemoryAccount) -> None:
        """Give back the memory that the request takes, once it is over."""
        for hold in (self.body_hold, self.answer_hold):
            if hold is not None:
                account.close(hold)

    def shorten_deadline(self, at_s: float) -> None:
        """Set the deadline to ``at_s`` unless it is already earlier."""
        if at_s >= self.deadline_at_s:
            return
        self.deadline_at_s = at_s
        if self.timeout is not None and not self.timeout.expired():
            self.timeout.reschedule(loop_time(at_s))

    @property
    def takes_up(self) -> bool:
        """Whether the caller goes on with a stream that an earlier request began."""
        return self.route.resumable and bool(self.facts.last_event_id)

    @property
    def resume_from(self) -> str | None:
        """The id of the event after which the next attempt resumes the stream."""
        return self.events.last_id or self.facts.last_event_id
