"""Keeps the rate limits of endpoints in the sum over all entries.

Each limited endpoint has an *owner* among the entries: the first in rendezvous order of
the live ones. Before a request is sent to a limited endpoint, the owner grants a lease
for it (:mod:`celerytrack.limit_leases`); no other request is sent there. An entry that
cannot reach the owner asks the *standby*, the second in that order, which grants a
smaller share, so that both together stay within what an endpoint tolerates beyond its
limit.

Views of the membership differ for a while after it changed, and two entries may then
take themselves for the owner. A new owner therefore grants the smaller share until the
change has settled, or until the previous owner hands over.

Nothing is written to the log. What an entry knows is repeated by the owner while the
limit holds, is part of each request for a lease and its reply, and comes with each
answer of the endpoint itself.
"""

import asyncio
import itertools
import logging
import math
import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

import attrs
from cachetools import LRUCache

from celerytrack.endpoint_limits import LimitChange, LimitReport, LimitTracker
from celerytrack.events import Event, log_event
from celerytrack.ids import EndpointId, EntryId
from celerytrack.limit_leases import (
    MIN_RATE_PER_S,
    LeaseDecision,
    LeaseDenied,
    LeaseGranted,
    LeaseQueue,
    LeaseRequest,
)
from celerytrack.limit_messages import (
    MAX_REPORTS,
    LeaseAsk,
    LeaseReply,
    LeaseReturn,
    LimitMessage,
    LimitNews,
    OwnerHandover,
)
from celerytrack.routing import rendezvous

_log = logging.getLogger(__name__)

TICK_S = 0.5
"""Interval at which the membership is compared and news are repeated."""
FREEZE_S = 2.0
"""A longer pause between two ticks means that the process stood still."""
SETTLE_S = 4.0
"""Time after which all entries have noticed a change of the membership: heartbeats are
missed for as long before an entry counts as silent."""
REDUCED_SHARE = 0.4
"""Share of the limit that a standby or a new owner grants: endpoints tolerate half as
much again as their limit, and an old owner may still grant all of it."""
ASK_TIMEOUT_S = 0.06
"""Longest wait for a reply. Entries are milliseconds apart, and the request that waits
can go to another endpoint."""
SILENT_ASKS = 2
"""Requests in a row without reply after which an owner counts as unreachable."""
SILENT_S = 1.0
"""How long the standby is asked instead."""
MIN_DENIED_S = 0.05
"""Shortest time for which an entry does not ask again after a denial. Tokens are kept
for longer, so that none is lost by it."""
MAX_BATCH = 32
BATCH_S = 0.1
"""An entry that uses up a lease in less asks for twice as many requests the next
time."""
BATCH_TTL_S = 0.25
"""How long the requests of one lease may be sent."""
QUEUE_KNOWN_S = 0.1
"""How long the length of an owner's queue counts as known."""
OWNER_RETRY_AFTER_S = 0.2
"""When to ask again after no reply, or one of an entry that isn't the owner."""
ANNOUNCE_S = 5.0
"""Interval at which an owner repeats the limits of its endpoints."""
BEGAN_REPEAT_S = 1.0
"""When an owner repeats a limit that has begun, for those that did not get the news."""
ENDED_NEWS_S = 2.0
"""How long an entry repeats to the owner that a limit has ended."""
MAX_RETURNABLE = 10_000
"""Granted leases that may still be returned."""


@attrs.frozen
class Peer:
    """Another live entry."""

    entry_id: EntryId
    address: str


@attrs.frozen
class Lease:
    """Permission to send one request to an endpoint.

    :ivar grantor: peer address of the entry that granted it; ``None`` if the endpoint
        has no limit.
    """

    endpoint_id: EndpointId
    nonce: int = 0
    grantor: str | None = None


@attrs.frozen
class _QueueWait:
    """The wait for a token that an owner told a request of some priority."""

    known_at_s: float
    wait_s: float
    priority: int


@attrs.define
class _Batch:
    """Leases of one endpoint that this entry was granted together.

    :ivar size: how many it asks for.
    """

    size: int = 1
    granted_at_s: float = -math.inf
    left: int = 0
    lease: Lease | None = None

    def take(self, now_s: float) -> Lease | None:
        """Take one of the leases that are left."""
        if self.left <= 0 or now_s - self.granted_at_s > BATCH_TTL_S:
            return None
        self.left -= 1
        return self.lease

    def next_size(self, now_s: float) -> int:
        """How many leases to ask for, as the last ones are used up or too old."""
        used_up_s = now_s - self.granted_at_s
        if used_up_s < BATCH_S:
            self.size = min(2 * self.size, MAX_BATCH)
        elif used_up_s > BATCH_TTL_S:
            self.size = max(1, self.size // 2)
        return self.size

    def fill(self, lease: Lease, count: int, now_s: float) -> None:
        """Record what was granted; one of the leases is taken at once."""
        self.lease, self.left, self.granted_at_s = lease, count - 1, now_s


@attrs.define
class _OwnedLimit:
    """A limited endpoint for which this entry grants leases.

    :ivar full_from_s: from when on it grants all of the limit, as the owner.
    :ivar handed_over_at_s: when the previous owner handed it over.
    """

    queue: LeaseQueue
    full_from_s: float
    is_first: bool
    handed_over_at_s: float = -math.inf
    timer: asyncio.TimerHandle | None = None


class LimitSync:
    """Knows the limits of endpoints, asks for leases and grants them.

    :param address: peer address of this entry.
    :param send: sends a message to the entry at an address, without guarantee.
    :param live_peers: returns the other live entries at a time.
    :ivar leaving: whether a planned stop has begun: another entry becomes the owner.
    :ivar counts: number of lease decisions, by outcome.
    """

    def __init__(
        self,
        entry_id: EntryId,
        address: str,
        send: Callable[[str, LimitMessage], None],
        live_peers: Callable[[float], Iterable[Peer]],
        started_s: float,
    ) -> None:
        self.tracker = LimitTracker()
        self.counts: Counter[str] = Counter()
        self._entry_id = entry_id
        self._address = address
        self._send = send
        self._live_peers = live_peers
        self._leaving = False
        self._peers: dict[EntryId, str] = {}
        self._changed_at_s = started_s
        self._ticked_at_s = started_s
        self._announced_at_s = started_s
        self._owned: dict[EndpointId, _OwnedLimit] = {}
        self._owners: dict[EndpointId, list[EntryId]] = {}
        self._pending: dict[int, asyncio.Future[LeaseDecision]] = {}
        self._nonces = itertools.count(1)
        self._granted: LRUCache[tuple[str, int], EndpointId] = LRUCache(MAX_RETURNABLE)
        self._denied_until_s: dict[EndpointId, float] = {}
        self._silent_asks: Counter[EntryId] = Counter()
        self._silent_until_s: dict[EntryId, float] = {}
        self._began_at_s: dict[EndpointId, float] = {}
        self._ended_at_s: dict[EndpointId, float] = {}
        self._batches: dict[EndpointId, _Batch] = {}
        self._queue_waits: dict[EndpointId, _QueueWait] = {}

    # -- what endpoints answer -------------------------------------------------

    def record_answer(
        self,
        endpoint_id: EndpointId,
        born_ms: int,
        limit_per_s: float | None,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Record what the answer of an endpoint says.

        :param limit_per_s: the limit that it names; ``None`` if it names none.
        :param sent_at_s: when its request was sent.
        """
        if limit_per_s is None:
            if not self.tracker:
                return
            change = self.tracker.record_absent(endpoint_id, born_ms, sent_at_s)
        else:
            change = self.tracker.record_named(
                endpoint_id, born_ms, limit_per_s, sent_at_s, now_s
            )
        if change is not None:
            self._on_change(change, "answer", now_s)

    def forget(self, endpoint_id: EndpointId) -> None:
        """Forget an endpoint whose incarnation is gone."""
        if self.tracker:
            self.tracker.forget(endpoint_id)
            self._disown(endpoint_id)
            self._denied_until_s.pop(endpoint_id, None)
            self._batches.pop(endpoint_id, None)
            self._queue_waits.pop(endpoint_id, None)

    # -- leases for this entry's requests -----------------------------------------

    def denied(self, now_s: float) -> dict[EndpointId, float]:
        """The limited endpoints for which no lease is to be had now, and in how many
        seconds to ask again."""
        if not self._denied_until_s:
            return {}
        limited = self.tracker.limited()
        self._denied_until_s = {
            i: until_s
            for i, until_s in self._denied_until_s.items()
            if until_s > now_s and i in limited
        }
        return {i: until_s - now_s for i, until_s in self._denied_until_s.items()}

    def expected_wait_s(
        self, endpoint_id: EndpointId, priority: int, now_s: float
    ) -> float:
        """When a token of a limited endpoint is expected for a request."""
        known = self._queue_waits.get(endpoint_id)
        if (
            known is not None
            and now_s - known.known_at_s < QUEUE_KNOWN_S
            and priority >= known.priority
        ):
            return known.wait_s
        return max(0.0, self._denied_until_s.get(endpoint_id, 0.0) - now_s)

    async def acquire(
        self, endpoint_id: EndpointId, priority: int, max_wait_s: float
    ) -> Lease | LeaseDenied:
        """Get a lease for one request to an endpoint.

        :param priority: 0 is the most urgent.
        :param max_wait_s: longest time to wait for a token.
        """
        if self.tracker.limit_per_s(endpoint_id) is None:
            return Lease(endpoint_id)
        now_s = time.monotonic()
        batch = self._batches.setdefault(endpoint_id, _Batch())
        if (kept := batch.take(now_s)) is not None:
            self.counts["granted"] += 1
            return kept
        nonce = next(self._nonces)
        grantor = self._grantor(endpoint_id, now_s)
        address = self._address if grantor == self._entry_id else self._peers[grantor]
        report = self.tracker.report(endpoint_id, now_s)
        assert report is not None
        size = batch.next_size(now_s)
        ask = LeaseAsk(self._address, nonce, report, priority, max_wait_s, size)
        decision = await self._ask(grantor, address, ask)
        if isinstance(decision, LeaseGranted):
            self.counts["granted"] += 1
            lease = Lease(endpoint_id, nonce, address)
            batch.fill(lease, decision.count, time.monotonic())
            return lease
        self.counts["denied"] += 1
        denied_at_s = time.monotonic()
        self._queue_waits[endpoint_id] = _QueueWait(
            denied_at_s, decision.retry_after_s, priority
        )
        self._remember_denial(endpoint_id, decision, denied_at_s)
        return decision

    def _remember_denial(
        self, endpoint_id: EndpointId, denied: LeaseDenied, now_s: float
    ) -> None:
        limit_per_s = self.tracker.limit_per_s(endpoint_id)
        if limit_per_s is None:
            return
        # Those that wait for a token may give up, or be less urgent than the next
        # request: it asks again when the next token is due.
        token_s = 1.0 / max(limit_per_s, MIN_RATE_PER_S)
        denied_s = max(MIN_DENIED_S, min(denied.retry_after_s, token_s))
        self._denied_until_s[endpoint_id] = now_s + denied_s

    def give_back(self, lease: Lease) -> None:
        """Return a lease whose request was not sent."""
        if lease.grantor is not None:
            self.counts["returned"] += 1
            message = LeaseReturn(self._address, lease.nonce, lease.endpoint_id)
            self._deliver(lease.grantor, message)

    async def _ask(
        self, grantor: EntryId, address: str, ask: LeaseAsk
    ) -> LeaseDecision:
        future = asyncio.get_running_loop().create_future()
        self._pending[ask.nonce] = future
        give_back = Lease(ask.report.endpoint_id, ask.nonce, address)
        try:
            self._deliver(address, ask)
            async with asyncio.timeout(ask.max_wait_s + ASK_TIMEOUT_S):
                decision: LeaseDecision = await future
        except TimeoutError:
            self.give_back(give_back)
            self._count_silence(grantor, time.monotonic())
            return LeaseDenied(OWNER_RETRY_AFTER_S)
        except asyncio.CancelledError:
            self.give_back(give_back)
            raise
        finally:
            del self._pending[ask.nonce]
        self._silent_asks.pop(grantor, None)
        return decision

    def _grantor(self, endpoint_id: EndpointId, now_s: float) -> EntryId:
        first, *others = self._ranking(endpoint_id)
        if others and now_s < self._silent_until_s.get(first, -math.inf):
            return others[0]
        return first

    def _count_silence(self, entry_id: EntryId, now_s: float) -> None:
        self.counts["unanswered"] += 1
        self._silent_asks[entry_id] += 1
        if self._silent_asks[entry_id] >= SILENT_ASKS:
            self._silent_until_s[entry_id] = now_s + SILENT_S

    # -- messages ---------------------------------------------------------------

    def receive(self, message: LimitMessage) -> None:
        """Handle a message of another entry."""
        now_s = time.monotonic()
        match message:
            case LeaseAsk():
                self._on_ask(message, now_s)
            case LeaseReply():
                self._on_reply(message, now_s)
            case LeaseReturn():
                self._on_return(message, now_s)
            case LimitNews():
                self._on_news(message, now_s)
            case OwnerHandover():
                self._on_handover(message, now_s)

    def _deliver(self, address: str, message: LimitMessage) -> None:
        if address == self._address:
            self.receive(message)
        else:
            self._send(address, message)

    def _on_reply(self, reply: LeaseReply, now_s: float) -> None:
        if reply.report is not None:
            self._merge(reply.report, "reply", now_s)
        future = self._pending.get(reply.nonce)
        if future is not None and not future.done():
            future.set_result(reply.decision)

    def _on_news(self, news: LimitNews, now_s: float) -> None:
        for report in news.reports:
            self._merge(report, news.sender, now_s)
            known = self.tracker.report(report.endpoint_id, now_s)
            if known is None or known.is_limited is report.is_limited:
                continue
            if self._ranking(report.endpoint_id)[0] == self._entry_id:
                self._deliver(news.sender, LimitNews(self._address, (known,)))

    def _merge(self, report: LimitReport, source: str, now_s: float) -> None:
        change = self.tracker.merge(report, now_s)
        if change is not None:
            self._on_change(change, source, now_s)

    def _on_change(self, change: LimitChange, source: str, now_s: float) -> None:
        endpoint_id = change.endpoint_id
        owners = self._ranking(endpoint_id)
        _log_change(change, source, owners[0])
        is_owner = owners[0] == self._entry_id
        owned = self._owned.get(endpoint_id)
        if owned is not None and change.new_per_s is not None:
            owned.queue.set_rate(
                self._rate_per_s(owned, change.new_per_s, now_s), now_s
            )
        if change.new_per_s is None:
            self._ended_at_s[endpoint_id] = now_s
            self._denied_until_s.pop(endpoint_id, None)
            self._batches.pop(endpoint_id, None)
            self._queue_waits.pop(endpoint_id, None)
            self._disown(endpoint_id)
        if is_owner and change.began_or_ended:
            self._announce([endpoint_id], self._peers.values(), now_s)
            if change.new_per_s is not None:
                self._began_at_s[endpoint_id] = now_s
        elif not is_owner and source == "answer":
            self._announce([endpoint_id], [self._peers[owners[0]]], now_s)

    def _announce(
        self, endpoint_ids: Sequence[EndpointId], addresses: Iterable[str], now_s: float
    ) -> None:
        known = (self.tracker.report(i, now_s) for i in endpoint_ids)
        reports = [report for report in known if report is not None]
        for start in range(0, len(reports), MAX_REPORTS):
            news = LimitNews(self._address, tuple(reports[start : start + MAX_REPORTS]))
            for address in addresses:
                self._send(address, news)

    # -- leases for all entries ------------------------------------------------

    def _on_ask(self, ask: LeaseAsk, now_s: float) -> None:
        endpoint_id = ask.report.endpoint_id
        self._merge(ask.report, ask.sender, now_s)
        limit_per_s = self.tracker.limit_per_s(endpoint_id)
        if limit_per_s is None:
            self._reply(ask.sender, ask.nonce, endpoint_id, LeaseGranted(), now_s)
            return
        if self._entry_id not in self._ranking(endpoint_id):
            denied = LeaseDenied(OWNER_RETRY_AFTER_S)
            self._reply(ask.sender, ask.nonce, endpoint_id, denied, now_s)
            return
        owned = self._own(endpoint_id, limit_per_s, now_s)
        self._decide_waiting(endpoint_id, owned, now_s)
        request = LeaseRequest(
            (ask.sender, ask.nonce), ask.priority, ask.max_wait_s, ask.count
        )
        decision = owned.queue.request(request, now_s)
        if decision is not None:
            self._answer(endpoint_id, request.key, decision, now_s)
        self._schedule(endpoint_id, owned, now_s)

    def _own(
        self, endpoint_id: EndpointId, limit_per_s: float, now_s: float
    ) -> _OwnedLimit:
        """The bucket of an endpoint, at the rate that this entry may grant now."""
        owned = self._owned.get(endpoint_id)
        if owned is None:
            is_first = self._ranking(endpoint_id)[0] == self._entry_id
            full_from_s = self._changed_at_s + SETTLE_S
            owned = _OwnedLimit(LeaseQueue(0.0, now_s), full_from_s, is_first)
            self._owned[endpoint_id] = owned
        owned.queue.set_rate(self._rate_per_s(owned, limit_per_s, now_s), now_s)
        return owned

    def _rate_per_s(
        self, owned: _OwnedLimit, limit_per_s: float, now_s: float
    ) -> float:
        full = owned.is_first and now_s >= owned.full_from_s
        return limit_per_s if full else REDUCED_SHARE * limit_per_s

    def _answer(
        self,
        endpoint_id: EndpointId,
        key: tuple[str, int],
        decision: LeaseDecision,
        now_s: float,
    ) -> None:
        if isinstance(decision, LeaseGranted):
            self._granted[key] = endpoint_id
        sender, nonce = key
        self._reply(sender, nonce, endpoint_id, decision, now_s)

    def _reply(
        self,
        sender: str,
        nonce: int,
        endpoint_id: EndpointId,
        decision: LeaseDecision,
        now_s: float,
    ) -> None:
        report = self.tracker.report(endpoint_id, now_s)
        self._deliver(sender, LeaseReply(nonce, decision, report))

    def _on_return(self, message: LeaseReturn, now_s: float) -> None:
        key = (message.sender, message.nonce)
        owned = self._owned.get(message.endpoint_id)
        was_granted = self._granted.pop(key, None) == message.endpoint_id
        if owned is None:
            return
        if not owned.queue.cancel(key) and was_granted:
            owned.queue.add_tokens(1.0, now_s)
        self._decide_waiting(message.endpoint_id, owned, now_s)
        self._schedule(message.endpoint_id, owned, now_s)

    def _decide_waiting(
        self, endpoint_id: EndpointId, owned: _OwnedLimit, now_s: float
    ) -> None:
        for request, decision in owned.queue.pop_decided(now_s):
            self._answer(endpoint_id, request.key, decision, now_s)

    def _schedule(
        self, endpoint_id: EndpointId, owned: _OwnedLimit, now_s: float
    ) -> None:
        if owned.timer is not None:
            owned.timer.cancel()
            owned.timer = None
        wait_s = owned.queue.next_decision_s(now_s)
        if math.isfinite(wait_s):
            loop = asyncio.get_running_loop()
            owned.timer = loop.call_later(wait_s, self._on_timer, endpoint_id)

    def _on_timer(self, endpoint_id: EndpointId) -> None:
        owned = self._owned.get(endpoint_id)
        if owned is not None:
            now_s = time.monotonic()
            self._decide_waiting(endpoint_id, owned, now_s)
            self._schedule(endpoint_id, owned, now_s)

    def _disown(self, endpoint_id: EndpointId) -> None:
        """Grant leases for an endpoint no longer; those who wait ask anew."""
        owned = self._owned.pop(endpoint_id, None)
        if owned is None:
            return
        if owned.timer is not None:
            owned.timer.cancel()
        now_s = time.monotonic()
        decision: LeaseDecision = LeaseGranted()
        if self.tracker.limit_per_s(endpoint_id) is not None:
            decision = LeaseDenied(OWNER_RETRY_AFTER_S)
        for request in owned.queue.waiting():
            self._answer(endpoint_id, request.key, decision, now_s)

    # -- who owns an endpoint ---------------------------------------------------

    def _ranking(self, endpoint_id: EndpointId) -> list[EntryId]:
        """The owner of an endpoint and its standby, if there is one."""
        owners = self._owners.get(endpoint_id)
        if owners is None:
            candidates = [*self._peers]
            if not self._leaving or not candidates:
                candidates.append(self._entry_id)
            ranked = rendezvous(endpoint_id, candidates, 2)
            owners = self._owners[endpoint_id] = [EntryId(i) for i in ranked]
        return owners

    def _on_handover(self, message: OwnerHandover, now_s: float) -> None:
        endpoint_id = message.report.endpoint_id
        self._merge(message.report, "handover", now_s)
        limit_per_s = self.tracker.limit_per_s(endpoint_id)
        if limit_per_s is None:
            return
        owned = self._own(endpoint_id, limit_per_s, now_s)
        owned.handed_over_at_s = now_s
        owned.full_from_s = now_s
        owned.queue.add_tokens(message.tokens, now_s)
        owned.queue.set_rate(self._rate_per_s(owned, limit_per_s, now_s), now_s)

    def begin_leaving(self) -> None:
        """Hand all endpoints over: a planned stop has begun."""
        self._leaving = True
        self._refresh_owners(time.monotonic())

    def tick(self, now_s: float) -> None:
        """Notice changes of the membership and repeat news; every ``TICK_S``."""
        if now_s - self._ticked_at_s > FREEZE_S:
            # Others may have taken over meanwhile.
            self._changed_at_s = now_s
            for owned in self._owned.values():
                owned.full_from_s = now_s + SETTLE_S
        self._ticked_at_s = now_s
        peers = {peer.entry_id: peer.address for peer in self._live_peers(now_s)}
        joined = [address for i, address in peers.items() if i not in self._peers]
        if peers != self._peers:
            self._peers = peers
            self._changed_at_s = now_s
            self._refresh_owners(now_s)
        if not self.tracker:
            return
        for change in self.tracker.expire(now_s):
            self._on_change(change, "unconfirmed", now_s)
        self._repeat_news(joined, now_s)

    def _refresh_owners(self, now_s: float) -> None:
        self._owners.clear()
        for endpoint_id, owned in list(self._owned.items()):
            owners = self._ranking(endpoint_id)
            is_first = owners[0] == self._entry_id
            if owned.is_first and not is_first:
                self._hand_over(endpoint_id, owned, owners[0], now_s)
            elif is_first and not owned.is_first:
                recent = now_s - owned.handed_over_at_s < SETTLE_S
                owned.full_from_s = now_s if recent else now_s + SETTLE_S
            owned.is_first = is_first
            if self._entry_id not in owners:
                self._disown(endpoint_id)

    def _hand_over(
        self,
        endpoint_id: EndpointId,
        owned: _OwnedLimit,
        owner: EntryId,
        now_s: float,
    ) -> None:
        report = self.tracker.report(endpoint_id, now_s)
        address = self._peers.get(owner)
        if report is None or address is None:
            return
        if now_s >= owned.full_from_s:
            self._send(address, OwnerHandover(report, max(0.0, owned.queue.tokens)))

    def _repeat_news(self, joined: Sequence[str], now_s: float) -> None:
        owned = [
            endpoint_id
            for endpoint_id in self.tracker.limited()
            if self._ranking(endpoint_id)[0] == self._entry_id
        ]
        if joined:
            self._announce(owned, joined, now_s)
        began = [
            endpoint_id
            for endpoint_id, began_at_s in self._began_at_s.items()
            if now_s - began_at_s >= BEGAN_REPEAT_S
        ]
        for endpoint_id in began:
            del self._began_at_s[endpoint_id]
        if now_s - self._announced_at_s >= ANNOUNCE_S:
            self._announced_at_s = now_s
            self._announce(owned, self._peers.values(), now_s)
        elif began:
            self._announce(began, self._peers.values(), now_s)
        for endpoint_id, ended_at_s in list(self._ended_at_s.items()):
            if now_s - ended_at_s > ENDED_NEWS_S:
                del self._ended_at_s[endpoint_id]
                continue
            owner = self._ranking(endpoint_id)[0]
            if owner != self._entry_id:
                self._announce([endpoint_id], [self._peers[owner]], now_s)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick(time.monotonic())
            await asyncio.sleep(TICK_S)


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
        limit_per_s=change.new_per_s,
        old_per_s=change.old_per_s,
        source=source,
        owner=owner,
    )
