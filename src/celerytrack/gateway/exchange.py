"""One request on its way: what it asks, what it may still do, what it got."""

import asyncio

import attrs
from aiohttp import web
from multidict import CIMultiDict

from celerytrack.endpoint import Choice, RequestProfile
from celerytrack.fingerprint import (
    Fingerprint,
    FingerprintPrefix,
    RequestHead,
    fingerprint_of,
    prefix_of,
)
from celerytrack.ids import AccountId, EndpointId, ServiceName
from celerytrack.loop_time import loop_time
from celerytrack.platform.http import RequestFacts
from celerytrack.routes import Route
from celerytrack.streams import EventSplitter
from celerytrack.verdict import Reason, Verdict


@attrs.frozen
class PlainAnswer:
    """An endpoint's whole answer."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


@attrs.frozen
class AttemptFailure:
    """An attempt that gave the caller no answer.

    :ivar hard: the endpoint did not connect, broke off or stayed silent.
    :ivar detail: what was seen, for the log.
    :ivar sent: whether anything was sent to the endpoint.
    :ivar gone: another endpoint has its address now: it was not reached, and it is no
        longer there.
    """

    reason: Reason
    verdict: Verdict
    hard: bool
    detail: str
    sent: bool = True
    gone: bool = False

    @property
    def broke(self) -> bool:
        """Whether the endpoint broke off what it had been sent."""
        return self.sent and self.hard and self.verdict is Verdict.MAY_HAVE_RUN


@attrs.define(eq=False)
class Exchange:
    """One caller's request, from its first byte to the end of its answer.

    :ivar started_s: when it was read.
    :ivar ends_s: when its answer must be out: the caller's deadline or the
        route's timeout, whichever is sooner.
    :ivar tried: endpoints chosen for it, in order.
    :ivar unsent: how many of them were not reached: they did not take the connection,
        or another endpoint has their address now.
    :ivar covered_s: when its largest cost was set aside, or found to need none.
    :ivar first_s: when the first piece of its answer came.
    :ivar choice: the endpoint it was last sent to, and what decided it.
    :ivar may_have_run: whether some endpoint may have run it.
    :ivar response: the answer's head went out to the caller.
    :ivar events: the stream's events so far.
    :ivar scope: ends its wait for tokens and its attempts at ``ends_s``.
    """

    request: web.BaseRequest
    facts: RequestFacts
    body: bytes
    route: Route
    service: ServiceName
    account: AccountId | None
    priority: int
    started_s: float
    ends_s: float
    tried: list[EndpointId] = attrs.field(factory=list)
    unsent: int = 0
    covered_s: float | None = None
    first_s: float | None = None
    choice: Choice | None = None
    may_have_run: bool = False
    response: web.StreamResponse | None = None
    events: EventSplitter = attrs.field(factory=EventSplitter)
    scope: asyncio.Timeout | None = None
    _place: FingerprintPrefix | None = None
    _fingerprint: Fingerprint | None = None

    @property
    def place(self) -> FingerprintPrefix:
        """The first half of its fingerprint, made when first asked for."""
        if self._place is None:
            line = RequestHead(
                method=self.request.method,
                host=self.facts.host,
                path=self.request.raw_path,
                account=self.account,
                body_bytes=len(self.body),
            )
            self._place = prefix_of(line)
        return self._place

    @property
    def fingerprint(self) -> Fingerprint:
        """What a repeat of it has as well, made when first asked for."""
        if self._fingerprint is None:
            self._fingerprint = fingerprint_of(self.place, self.body)
        return self._fingerprint

    @property
    def need(self) -> RequestProfile:
        """What it needs of an endpoint."""
        return RequestProfile(self.service, self.facts.parts)

    def end_by(self, at_s: float) -> None:
        """Have it end at ``at_s`` at the latest."""
        if at_s >= self.ends_s:
            return
        self.ends_s = at_s
        if self.scope is not None and not self.scope.expired():
            self.scope.reschedule(loop_time(at_s))

    @property
    def resume_from(self) -> str | None:
        """The event behind which the next attempt goes on."""
        return self.events.last_id or self.facts.last_event_id
