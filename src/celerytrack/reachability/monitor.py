"""Follows whether this entry reaches the endpoints of each service.

Failures put the links in doubt, and so does the silence of all endpoints that owe an
answer; checks settle it. The other entries are told while links are down.
"""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Iterable, Sequence

import attrs

from celerytrack.events import Event, log_event
from celerytrack.ids import EndpointId, EntryId, ServiceName
from celerytrack.reachability.check import CheckTarget, choose_targets, is_any_reached
from celerytrack.reachability.evidence import ReachEvidence
from celerytrack.reachability.links import MAX_CHECK_S, LinkState, LinkTracker
from celerytrack.reachability.messages import LinkNews

_log = logging.getLogger(__name__)

TICK_S = 0.1
NEWS_INTERVAL_S = 1.0
"""Interval of news to the other entries while links are down; one may be lost."""
MIN_SILENCE_S = 0.4
"""Time without any answer from a service that owes one after which its links are in
doubt; a longer one if the answer is expected later."""
SILENCE_FACTOR = 2.0
SILENCE_CHECK_INTERVAL_S = 1.0
"""Shortest time between two checks of a service for its silence: answers that take
longer than expected must not cost a connection each."""
MAX_DOUBT_S = 2 * MAX_CHECK_S
"""Longest wait of a request for the end of a doubt."""


@attrs.frozen
class OwedAnswer:
    """A request that was sent directly and has no answer yet.

    :ivar expected_s: time from then to its first output, as predicted.
    """

    service: ServiceName
    sent_at_s: float
    expected_s: float


@attrs.frozen
class EntryLinks:
    """How the monitor sees and reaches the rest of its entry.

    :ivar targets: the endpoints of a service to which a check may connect.
    :ivar owed: the answers that endpoints owe now.
    :ivar tell: sends news of this entry's links to the other entries.
    :ivar on_down: called when the links to a service turn out to be down, with the
        time at which they came into doubt.
    :ivar check: whether any of several endpoints can be reached.
    :ivar expire: forgets what is too old of other entries; called often.
    """

    entry_id: EntryId
    started_s: float
    targets: Callable[[ServiceName], Sequence[CheckTarget]]
    owed: Callable[[], Iterable[OwedAnswer]]
    tell: Callable[[LinkNews], None]
    on_down: Callable[[ServiceName, float], None]
    check: Callable[[Sequence[CheckTarget]], Awaitable[bool]] = is_any_reached
    expire: Callable[[float], None] = lambda now_s: None


class ReachMonitor:
    """What this entry knows of its links to endpoints.

    :ivar evidence: signs of links that work or fail.
    :ivar tracker: the states of the links; false while all are up.
    """

    def __init__(self, entry: EntryLinks, rng: random.Random) -> None:
        self.evidence = ReachEvidence()
        self.tracker = LinkTracker()
        self._entry = entry
        self._rng = rng
        self._checks: dict[ServiceName, asyncio.Task[None]] = {}
        self._silence_checked_at_s: dict[ServiceName, float] = {}
        self._told: frozenset[ServiceName] = frozenset()
        self._told_at_s = 0.0
        self._news_number = 0

    def is_down(self, service: ServiceName) -> bool:
        """Whether this entry reaches no endpoint of a service."""
        return self.tracker.state(service) is LinkState.DOWN

    async def may_be_cut_off(self, service: ServiceName) -> bool:
        """Whether this entry's own links may be why it reaches no endpoint of a
        service, once a doubt of it is settled.

        Answers of another service since the doubt began show that its links work.
        """
        await self.settled(service)
        doubted_at_s = self.tracker.doubted_at_s(service)
        if doubted_at_s is None or not self.is_down(service):
            return False
        return self.evidence.heard_elsewhere_at_s(service) < doubted_at_s

    def record_heard(self, service: ServiceName, now_s: float) -> None:
        """Record that a part of an answer arrived."""
        self.evidence.record_heard(service, now_s)

    def record_answer(self, service: ServiceName) -> None:
        """Record that a direct request was answered."""
        if self.tracker and self.tracker.record_answer(service):
            _log_up(service)

    def record_connected(self, service: ServiceName) -> None:
        """Record that a new connection to an endpoint was made."""
        self.evidence.record_connected(service)

    def record_failure(
        self, service: ServiceName, endpoint: EndpointId, sent: bool, now_s: float
    ) -> None:
        """Record that an endpoint was not reached, or a connection to it broke.

        :param sent: whether there was a connection.
        """
        if sent:
            self.evidence.record_broken(service, endpoint)
        else:
            self.evidence.record_unconnected(service, endpoint)
        if self.evidence.is_doubtful(service, now_s):
            self._begin_doubt(service, now_s)

    async def settled(self, service: ServiceName) -> None:
        """Wait until the links to a service are not in doubt, for a short time."""
        check = self._checks.get(service)
        if self.tracker.state(service) is LinkState.IN_DOUBT and check is not None:
            await asyncio.wait([check], timeout=MAX_DOUBT_S)

    async def run(self) -> None:
        """Look for silence, check links that are down and tell the other entries of
        them, until cancelled."""
        try:
            while True:
                self.tick(time.monotonic())
                await asyncio.sleep(TICK_S)
        finally:
            for check in self._checks.values():
                check.cancel()

    def tick(self, now_s: float) -> None:
        """Do what is due."""
        for owed in self._entry.owed():
            if self._is_silent(owed, now_s):
                self._silence_checked_at_s[owed.service] = now_s
                self._begin_doubt(owed.service, now_s)
        self._entry.expire(now_s)
        if self.tracker or self._told:
            for service in (
                *self.tracker.in_doubt(),
                *self.tracker.due_checks(now_s),
            ):
                self._start_check(service)
            for service in self.tracker.pop_ended_returns(now_s):
                _log_up(service)
            self._tell_if_due(now_s)

    def _is_silent(self, owed: OwedAnswer, now_s: float) -> bool:
        checked_at_s = self._silence_checked_at_s.get(owed.service, float("-inf"))
        if now_s - checked_at_s < SILENCE_CHECK_INTERVAL_S:
            return False
        heard_at_s = max(owed.sent_at_s, self.evidence.heard_at_s(owed.service))
        limit_s = max(MIN_SILENCE_S, SILENCE_FACTOR * owed.expected_s)
        return now_s - heard_at_s > limit_s

    def _begin_doubt(self, service: ServiceName, now_s: float) -> None:
        if not self.tracker.begin_doubt(service, now_s):
            return
        _log_in_doubt(self.evidence, service, now_s)
        self._start_check(service)

    def _start_check(self, service: ServiceName) -> None:
        check = self._checks.get(service)
        if check is None or check.done():
            self._checks[service] = asyncio.create_task(self._check(service))

    async def _check(self, service: ServiceName) -> None:
        while True:
            before = self.tracker.state(service)
            failed = self.evidence.failed(service)
            targets = choose_targets(self._entry.targets(service), failed, self._rng)
            if before is LinkState.DOWN:
                targets = targets[:1]
            began_s = time.monotonic()
            reached = not targets or await self._entry.check(targets)
            now_s = time.monotonic()
            if reached:
                self.evidence.record_connected(service)
            after = self.tracker.record_check(service, reached, began_s, now_s)
            if after is not LinkState.IN_DOUBT:
                break
        if before is LinkState.IN_DOUBT and after is LinkState.DOWN:
            self._on_down(service, now_s)
        elif after is LinkState.UP:
            _log_up(service)

    def _on_down(self, service: ServiceName, now_s: float) -> None:
        doubted_at_s = self.tracker.doubted_at_s(service) or now_s
        log_event(
            _log,
            Event.LINKS_DOWN,
            logging.WARNING,
            service=service,
            failed=sorted(self.evidence.failed(service)),
            after_ms=round((now_s - doubted_at_s) * 1_000),
        )
        self._entry.on_down(service, doubted_at_s)
        self._tell_if_due(now_s)

    def _tell_if_due(self, now_s: float) -> None:
        down = frozenset(self.tracker.down())
        if down == self._told and (
            not down or now_s - self._told_at_s < NEWS_INTERVAL_S
        ):
            return
        self._told, self._told_at_s = down, now_s
        self._news_number += 1
        entry = self._entry
        news = LinkNews(entry.entry_id, entry.started_s, self._news_number, down)
        entry.tell(news)


def _log_in_doubt(evidence: ReachEvidence, service: ServiceName, now_s: float) -> None:
    silent_s = now_s - evidence.heard_at_s(service)
    log_event(
        _log,
        Event.LINKS_IN_DOUBT,
        service=service,
        failed=sorted(evidence.failed(service)),
        silent_ms=round(silent_s * 1_000) if silent_s < float("inf") else None,
    )


def _log_up(service: ServiceName) -> None:
    log_event(_log, Event.LINKS_UP, service=service)
