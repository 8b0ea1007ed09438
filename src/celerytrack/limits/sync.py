"""Keeps the rate limits of endpoints in the sum over all entries.

Each limited endpoint has an owner among the entries
(:mod:`celerytrack.notices.owners`). Before a request is sent to a limited endpoint, the
owner grants a lease for it (:mod:`celerytrack.limits.grants`,
:mod:`celerytrack.limits.asks`); no other request is sent there.

Nothing is written to the log. What an entry knows of limits is repeated by the owner
while they hold, is part of each request for a lease and its reply, and comes with each
answer of the endpoint itself.
"""

import logging
import time
from collections.abc import Callable, Iterable, Sequence

from celerytrack.events import Event, log_event
from celerytrack.ids import EndpointId, EntryId
from celerytrack.limits.asks import LeaseAsks
from celerytrack.limits.grants import LeaseGrants
from celerytrack.limits.messages import (
    MAX_REPORTS,
    LeaseAsk,
    LeaseEnd,
    LeaseReply,
    LeaseReturn,
    LimitMessage,
    LimitNews,
    OwnerHandover,
    PeerCheck,
    PeerReply,
    Rejection,
)
from celerytrack.limits.tracker import (
    UNLIMITED_PER_S,
    LimitChange,
    LimitReport,
    LimitTracker,
)
from celerytrack.notices.owners import EndpointOwners, Peer

_log = logging.getLogger(__name__)

TICK_S = 0.5
"""Interval at which the membership is compared and news are repeated."""
ANNOUNCE_S = 5.0
"""Interval at which an owner repeats the limits of its endpoints."""
BEGAN_REPEAT_S = 1.0
"""When an owner repeats a limit that has begun, for those that did not get the news."""
ENDED_NEWS_S = 2.0
"""How long an entry repeats to the owner that a limit has ended."""
_FROM_ANSWER = "answer"
"""Source of what an endpoint itself told this entry."""
_PRESUMED = "presumed"
"""Source of what is only taken for true."""


class LimitSync:
    """The limits of endpoints, shared with the other entries.

    :param address: peer address of this entry.
    :param send: sends a message to the entry at an address, without guarantee.
    :param live_peers: returns the other live entries at a time.
    :param view_age_s: returns how old that knowledge is.
    :ivar tracker: the limits as this entry knows them; false if there are none.
    :ivar asks: leases for this entry's requests.
    :ivar grants: leases that this entry grants.
    """

    def __init__(
        self,
        entry_id: EntryId,
        address: str,
        send: Callable[[str, LimitMessage], None],
        live_peers: Callable[[float], Iterable[Peer]],
        started_s: float,
        view_age_s: Callable[[float], float],
    ) -> None:
        self.tracker = LimitTracker()
        self.owners = EndpointOwners(entry_id, address, started_s, view_age_s)
        self.asks = LeaseAsks(self.tracker, self.owners, self._deliver)
        self.grants = LeaseGrants(self.tracker, self.owners, self._deliver)
        self._address = address
        self._send = send
        self._live_peers = live_peers
        self._announced_at_s = started_s
        self._began_at_s: dict[EndpointId, float] = {}
        self._ended_at_s: dict[EndpointId, float] = {}
        self._owned: set[EndpointId] = set()

    def record_answer(
        self,
        endpoint_id: EndpointId,
        born_ms: int,
        limit_per_s: float | None,
        sent_at_s: float,
        now_s: float,
        bears_per_s: float | None = None,
        rejected: bool = False,
    ) -> None:
        """Record what the answer of an endpoint says.

        :param limit_per_s: the limit that it names; ``None`` if it names none.
        :param sent_at_s: when its request was sent.
        :param bears_per_s: rejections a second that it bears, if it is brittle.
        :param rejected: whether it turned the request away.
        """
        if bears_per_s is not None and limit_per_s is None:
            limit_per_s = UNLIMITED_PER_S
        if limit_per_s is None:
            change = self.tracker.record_absent(endpoint_id, born_ms, sent_at_s)
        else:
            change = self.tracker.record_named(
                endpoint_id, born_ms, limit_per_s, sent_at_s, now_s, bears_per_s
            )
        if change is not None:
            self._on_change(change, _FROM_ANSWER, now_s)
        if rejected and self.tracker.bears_per_s(endpoint_id) is not None:
            self._report_rejection(endpoint_id)

    def presume_brittle(
        self, endpoint_id: EndpointId, born_ms: int, bears_per_s: float, now_s: float
    ) -> None:
        """Take an endpoint that has said nothing yet for brittle, until it answers.

        :param bears_per_s: rejections a second that others of its service bear.
        """
        change = self.tracker.record_named(
            endpoint_id, born_ms, UNLIMITED_PER_S, now_s, now_s, bears_per_s
        )
        if change is not None:
            self._on_change(change, _PRESUMED, now_s)

    def forget(self, endpoint_id: EndpointId) -> None:
        """Forget an endpoint whose incarnation is gone."""
        if self.tracker:
            self.tracker.forget(endpoint_id)
            self._drop(endpoint_id, time.monotonic())
            self.owners.forget(endpoint_id)

    def begin_leaving(self) -> None:
        """Hand all endpoints over: a planned stop has begun."""
        self.owners.begin_leaving()
        self.grants.update_owners(time.monotonic())

    def tick(self, now_s: float) -> list[str]:
        """Compare the membership and repeat news that are due.

        :returns: the addresses of entries that joined.
        """
        if self.owners.detect_freeze(now_s):
            self.grants.reduce_all()
        self._check_isolation(now_s)
        joined = self.follow_members(now_s)
        if self.tracker:
            self.grants.expire(now_s)
            for change in self.tracker.expire(now_s):
                self._on_change(change, "unconfirmed", now_s)
            self._repeat_begun(now_s)
            self._repeat_ended(now_s)
        return joined

    def follow_members(self, now_s: float) -> list[str]:
        """Compare the membership, and tell those that joined what is known.

        :returns: the addresses of entries that joined.
        """
        joined = self.owners.update(self._live_peers(now_s), now_s)
        if joined is None:
            return []
        self.asks.forget_absent_entries()
        self.grants.update_owners(now_s)
        for address in joined:
            self.grants.on_joined(address, now_s)
        limited = set(self.tracker.limited())
        own = {i for i in limited if self.owners.is_own(i)}
        for address in joined:
            # One that joined may be the owner now, and knows nothing yet.
            tells_all = self.owners.tells_joined(address)
            told = limited if tells_all else limited & (self._owned | own)
            self._announce(sorted(told), [address], now_s)
        return joined

    # -- messages ---------------------------------------------------------------

    def receive(self, message: LimitMessage) -> None:
        """Handle a message of another entry, or of this one to itself."""
        now_s = time.monotonic()
        match message:
            case LeaseAsk():
                self._merge(message.report, message.sender, now_s)
                self.grants.on_ask(message, now_s)
            case LeaseReply():
                if message.report is not None:
                    self._merge(message.report, "reply", now_s)
                self.asks.on_reply(message)
            case LeaseReturn():
                self.grants.on_return(message, now_s)
            case LeaseEnd():
                self.grants.on_end(message, now_s)
            case LimitNews():
                self._on_news(message, now_s)
            case Rejection(_, endpoint_id):
                self.grants.on_rejection(endpoint_id, now_s)
            case PeerCheck(sender):
                self._send(sender, PeerReply(self._address))
            case PeerReply(sender):
                self.owners.record_reply(sender)
            case OwnerHandover():
                self._merge(message.report, "handover", now_s)
                self.grants.on_handover(message, now_s)

    def _report_rejection(self, endpoint_id: EndpointId) -> None:
        """Tell those that grant leases for a brittle endpoint that it has no room."""
        for entry in self.owners.ranking(endpoint_id)[:2]:
            message = Rejection(self._address, endpoint_id)
            self._deliver(self.owners.address_of(entry), message)

    def _check_isolation(self, now_s: float) -> None:
        if self.owners.end_check(now_s):
            log_event(
                _log,
                Event.OWNER_ISOLATED,
                logging.WARNING,
                in_force=self.owners.is_isolated,
            )
            if not self.owners.is_isolated:
                self.grants.reduce_all()
            self.grants.update_rates(now_s)
        if self.tracker:
            for address in self.owners.begin_check(now_s):
                self._send(address, PeerCheck(self._address))

    def _deliver(self, address: str, message: LimitMessage) -> None:
        if address == self._address:
            self.receive(message)
        else:
            self._send(address, message)

    def _merge(self, report: LimitReport, source: str, now_s: float) -> None:
        change = self.tracker.merge(report, now_s)
        if change is not None:
            self._on_change(change, source, now_s)

    def _on_news(self, news: LimitNews, now_s: float) -> None:
        for report in news.reports:
            self._merge(report, news.sender, now_s)
            known = self.tracker.report(report.endpoint_id, now_s)
            if known is None or known.is_limited is report.is_limited:
                continue
            if self.owners.is_own(report.endpoint_id):
                self._announce([report.endpoint_id], [news.sender], now_s)

    def _on_change(self, change: LimitChange, source: str, now_s: float) -> None:
        endpoint_id = change.endpoint_id
        owner = self.owners.owner(endpoint_id)
        _log_change(change, source, owner)
        self.grants.update_rate(endpoint_id, now_s)
        if change.new_per_s is None:
            self._ended_at_s[endpoint_id] = now_s
            self._drop(endpoint_id, now_s)
        if not self.owners.is_own(endpoint_id):
            if source == _FROM_ANSWER:
                self._announce([endpoint_id], [self.owners.peers[owner]], now_s)
        elif change.began_or_ended:
            self._announce([endpoint_id], self.owners.peers.values(), now_s)
            if change.new_per_s is not None:
                self._began_at_s[endpoint_id] = now_s
                self._owned.add(endpoint_id)

    def _drop(self, endpoint_id: EndpointId, now_s: float) -> None:
        self.asks.forget(endpoint_id)
        self.grants.close(endpoint_id, now_s)

    def _announce(
        self, endpoint_ids: Sequence[EndpointId], addresses: Iterable[str], now_s: float
    ) -> None:
        known = (self.tracker.report(i, now_s) for i in endpoint_ids)
        reports = [report for report in known if report is not None]
        for start in range(0, len(reports), MAX_REPORTS):
            news = LimitNews(self._address, tuple(reports[start : start + MAX_REPORTS]))
            for address in addresses:
                self._send(address, news)

    def _repeat_begun(self, now_s: float) -> None:
        own = [i for i in self.tracker.limited() if self.owners.is_own(i)]
        self._owned = set(own)
        due = [
            endpoint_id
            for endpoint_id, began_at_s in self._began_at_s.items()
            if now_s - began_at_s >= BEGAN_REPEAT_S
        ]
        for endpoint_id in due:
            del self._began_at_s[endpoint_id]
        if now_s - self._announced_at_s >= ANNOUNCE_S:
            self._announced_at_s = now_s
            due = own
        if due:
            self._announce(due, self.owners.peers.values(), now_s)

    def _repeat_ended(self, now_s: float) -> None:
        for endpoint_id, ended_at_s in list(self._ended_at_s.items()):
            if now_s - ended_at_s > ENDED_NEWS_S:
                del self._ended_at_s[endpoint_id]
            elif not self.owners.is_own(endpoint_id):
                owner = self.owners.owner(endpoint_id)
                self._announce([endpoint_id], [self.owners.peers[owner]], now_s)


def _log_change(change: LimitChange, source: str, owner: EntryId) -> None:
    event = Event.LIMIT_CHANGED
    if change.old_per_s is None:
        event = Event.LIMIT_BEGAN
    elif change.new_per_s is None:
        event = Event.LIMIT_ENDED
    log_event(
        _log,
        event,
        endpoint=change.endpoint_id,
        limit_per_s=_shown(change.new_per_s),
        old_per_s=_shown(change.old_per_s),
        source=source,
        owner=owner,
    )


def _shown(limit_per_s: float | None) -> float | None:
    return None if limit_per_s == UNLIMITED_PER_S else limit_per_s
