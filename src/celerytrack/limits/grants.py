"""Grants leases for the endpoints that this entry owns, or is the standby of.

The standby grants a smaller share, so that it and an owner that others still reach stay
within what an endpoint tolerates beyond its limit. So does a new owner after a change
of the membership, until all entries have noticed the change or the previous owner hands
over, and an owner that is cut off from the others and the log: two entries may take
themselves for the owner meanwhile.
"""

import asyncio
import logging
import math
import time
from collections.abc import Callable

import attrs
from cachetools import LRUCache

from celerytrack.events import Event, log_event
from celerytrack.ids import EndpointId
from celerytrack.limits.leases import (
    OWNER_RETRY_AFTER_S,
    LeaseDecision,
    LeaseDenied,
    LeaseGranted,
    LeaseQueue,
    LeaseRequest,
)
from celerytrack.limits.messages import (
    LeaseAsk,
    LeaseEnd,
    LeaseReply,
    LeaseReturn,
    LimitMessage,
    OwnerHandover,
)
from celerytrack.limits.room import (
    LearnedRooms,
    LeaseKey,
    LeaseOutcome,
    owner_in_doubt,
    standby_in_doubt,
)
from celerytrack.limits.tracker import LimitTracker
from celerytrack.notices.owners import SETTLE_S, EndpointOwners

_log = logging.getLogger(__name__)

REDUCED_SHARE = 0.4
"""Share of the limit that a standby or a new owner grants: endpoints tolerate half as
much again as their limit, and an old owner may still grant all of it."""
MAX_RETURNABLE = 10_000
"""Most granted leases that may still be returned, to bound memory."""


@attrs.define
class _Grants:
    """Leases of one endpoint.

    :ivar is_owner: whether this entry is the owner, or the standby.
    :ivar full_from_s: from when on it grants all of the limit as the owner.
    :ivar opened_at_s: since when this entry grants leases for the endpoint.
    :ivar handed_over_at_s: when the previous owner handed over.
    """

    queue: LeaseQueue
    is_owner: bool
    full_from_s: float
    opened_at_s: float
    handed_over_at_s: float = -math.inf
    timer: asyncio.TimerHandle | None = None

    def share(self, now_s: float) -> float:
        """Share of the limit that may be granted now."""
        return 1.0 if self.is_owner and now_s >= self.full_from_s else REDUCED_SHARE


class LeaseGrants:
    """The endpoints for which this entry grants leases.

    :param deliver: delivers a message to the entry at an address.
    """

    def __init__(
        self,
        tracker: LimitTracker,
        owners: EndpointOwners,
        deliver: Callable[[str, LimitMessage], None],
    ) -> None:
        self._tracker = tracker
        self._owners = owners
        self._deliver = deliver
        self._grants: dict[EndpointId, _Grants] = {}
        self._rooms = LearnedRooms()
        self._returnable: LRUCache[LeaseKey, int] = LRUCache(MAX_RETURNABLE)

    def rate_per_s(self, endpoint_id: EndpointId, now_s: float) -> float:
        """Leases a second that this entry grants for an endpoint."""
        grants = self._grants.get(endpoint_id)
        limit_per_s = self._tracker.limit_per_s(endpoint_id)
        if grants is None or limit_per_s is None:
            return 0.0
        share = grants.share(now_s)
        if self._owners.is_isolated:
            share = min(share, REDUCED_SHARE)
        return share * limit_per_s

    def on_ask(self, ask: LeaseAsk, now_s: float) -> None:
        """Decide on a request for a lease, now or when a token is there."""
        endpoint_id = ask.report.endpoint_id
        key = (ask.sender, ask.nonce)
        if self._tracker.limit_per_s(endpoint_id) is None:
            self._reply(endpoint_id, key, LeaseGranted(), now_s)
            return
        if not self._owners.may_grant(endpoint_id):
            self._reply(endpoint_id, key, LeaseDenied(OWNER_RETRY_AFTER_S), now_s)
            return
        grants = self._open(endpoint_id, now_s)
        self._decide_waiting(endpoint_id, grants, now_s)
        request = LeaseRequest(key, ask.priority, ask.max_wait_s, ask.count)
        decision = grants.queue.request(request, now_s)
        if decision is not None:
            self._answer(endpoint_id, key, decision, now_s)
        self._schedule(endpoint_id, grants, now_s)

    def on_return(self, message: LeaseReturn, now_s: float) -> None:
        """Take leases back that are not used, or no longer waited for."""
        key = (message.sender, message.nonce)
        grants = self._grants.get(message.endpoint_id)
        left = self._returnable.pop(key, 0)
        returned = min(message.count, left)
        if left > returned:
            self._returnable[key] = left - returned
        if grants is None:
            return
        if not grants.queue.cancel(key):
            grants.queue.add_tokens(returned, now_s)
        if grants.queue.room is not None:
            grants.queue.room.record_end(key, LeaseOutcome.FAILED, now_s)
        self._decide_waiting(message.endpoint_id, grants, now_s)
        self._schedule(message.endpoint_id, grants, now_s)

    def on_end(self, message: LeaseEnd, now_s: float) -> None:
        """Record that the request of a lease has ended."""
        room = self._rooms.get(message.endpoint_id)
        room.record_end((message.sender, message.nonce), message.outcome, now_s)
        room.drop_before(message.sender, message.oldest_nonce)
        grants = self._grants.get(message.endpoint_id)
        if grants is not None:
            self._decide_waiting(message.endpoint_id, grants, now_s)
            self._schedule(message.endpoint_id, grants, now_s)

    def on_rejection(self, endpoint_id: EndpointId, now_s: float) -> None:
        """Grant less for a brittle endpoint that turned a request away."""
        bears_per_s = self._tracker.bears_per_s(endpoint_id)
        if bears_per_s is None or not self._owners.may_grant(endpoint_id):
            return
        grants = self._open(endpoint_id, now_s)
        room = self._rooms.get(endpoint_id)
        room.record_rejection(now_s)
        self._schedule(endpoint_id, grants, now_s)
        log_event(
            _log,
            Event.ROOM_LEARNED,
            endpoint=endpoint_id,
            room=room.limit,
            in_progress=room.in_progress,
            in_doubt=room.in_doubt(now_s),
            rejections=room.rejections(now_s),
            bears_per_s=bears_per_s,
            is_owner=grants.is_owner,
            granting_s=round(now_s - grants.opened_at_s, 1),
        )

    def expire(self, now_s: float) -> None:
        """Forget rooms that are no longer used."""
        self._rooms.expire(now_s)

    def on_handover(self, message: OwnerHandover, now_s: float) -> None:
        """Take an endpoint over from its previous owner."""
        endpoint_id = message.report.endpoint_id
        if self._tracker.limit_per_s(endpoint_id) is None:
            return
        grants = self._open(endpoint_id, now_s)
        grants.handed_over_at_s = grants.full_from_s = now_s
        self.update_rate(endpoint_id, now_s)
        if grants.queue.room is not None:
            grants.queue.room.take_over(int(message.tokens), now_s)
        else:
            grants.queue.add_tokens(message.tokens, now_s)

    def update_rate(self, endpoint_id: EndpointId, now_s: float) -> None:
        """Grant at the rate that holds from now on."""
        grants = self._grants.get(endpoint_id)
        if grants is None:
            return
        bears_per_s = self._tracker.bears_per_s(endpoint_id)
        rate_per_s = self.rate_per_s(endpoint_id, now_s)
        if bears_per_s is None:
            grants.queue.room = None
            grants.queue.set_rate(rate_per_s, now_s)
            return
        grants.queue.room = self._rooms.get(endpoint_id)
        grants.queue.room.max_in_doubt = self._max_in_doubt(
            endpoint_id, grants, bears_per_s, now_s
        )
        grants.queue.set_rate(rate_per_s, now_s, burst_s=0.0)

    def _max_in_doubt(
        self,
        endpoint_id: EndpointId,
        grants: _Grants,
        bears_per_s: float,
        now_s: float,
    ) -> int:
        """Leases of a brittle endpoint whose requests may be rejected in one second."""
        if grants.share(now_s) < 1.0 or self._owners.is_isolated:
            return standby_in_doubt(bears_per_s)
        has_standby = len(self._owners.ranking(endpoint_id)) > 1
        return owner_in_doubt(bears_per_s, has_standby)

    def on_joined(self, address: str, now_s: float) -> None:
        """Forget the leases that an entry had before it restarted."""
        self._rooms.drop_accepted(address, now_s)

    def update_owners(self, now_s: float) -> None:
        """Take over and hand over after a change of the membership."""
        self._rooms.keep_senders({self._owners.address, *self._owners.peers.values()})
        for endpoint_id, grants in list(self._grants.items()):
            is_owner = self._owners.is_own(endpoint_id)
            if grants.is_owner and not is_owner:
                self._hand_over(endpoint_id, grants, now_s)
            elif is_owner and not grants.is_owner:
                recent = now_s - grants.handed_over_at_s < SETTLE_S
                grants.full_from_s = now_s if recent else now_s + SETTLE_S
            grants.is_owner = is_owner
            self.update_rate(endpoint_id, now_s)
            if not self._owners.may_grant(endpoint_id):
                self.close(endpoint_id, now_s)

    def reduce_all(self) -> None:
        """Grant less until the membership has settled: the process stood still."""
        for grants in self._grants.values():
            grants.full_from_s = self._owners.settled_at_s

    def update_rates(self, now_s: float) -> None:
        """Grant at the rates that hold from now on."""
        for endpoint_id in self._grants:
            self.update_rate(endpoint_id, now_s)

    def close(self, endpoint_id: EndpointId, now_s: float) -> None:
        """Grant leases for an endpoint no longer; those who wait ask anew."""
        grants = self._grants.pop(endpoint_id, None)
        if grants is None:
            return
        if grants.timer is not None:
            grants.timer.cancel()
        decision: LeaseDecision = LeaseGranted()
        if self._tracker.limit_per_s(endpoint_id) is not None:
            decision = LeaseDenied(OWNER_RETRY_AFTER_S)
        for request in grants.queue.waiting():
            self._reply(endpoint_id, request.key, decision, now_s)

    def _open(self, endpoint_id: EndpointId, now_s: float) -> _Grants:
        grants = self._grants.get(endpoint_id)
        if grants is None:
            grants = _Grants(
                LeaseQueue(0.0, now_s),
                self._owners.is_own(endpoint_id),
                self._owners.settled_at_s,
                now_s,
            )
            self._grants[endpoint_id] = grants
        self.update_rate(endpoint_id, now_s)
        return grants

    def _hand_over(
        self, endpoint_id: EndpointId, grants: _Grants, now_s: float
    ) -> None:
        report = self._tracker.report(endpoint_id, now_s)
        if report is None or now_s < grants.full_from_s:
            return
        owner = self._owners.owner(endpoint_id)
        tokens = max(0.0, grants.queue.tokens)
        if grants.queue.room is not None:
            tokens = float(grants.queue.room.spare(now_s))
        message = OwnerHandover(report, tokens)
        self._deliver(self._owners.address_of(owner), message)

    def _answer(
        self,
        endpoint_id: EndpointId,
        key: LeaseKey,
        decision: LeaseDecision,
        now_s: float,
    ) -> None:
        if isinstance(decision, LeaseGranted):
            self._returnable[key] = decision.count
        self._reply(endpoint_id, key, decision, now_s)

    def _reply(
        self,
        endpoint_id: EndpointId,
        key: LeaseKey,
        decision: LeaseDecision,
        now_s: float,
    ) -> None:
        sender, nonce = key
        report = self._tracker.report(endpoint_id, now_s)
        self._deliver(sender, LeaseReply(nonce, decision, report))

    def _decide_waiting(
        self, endpoint_id: EndpointId, grants: _Grants, now_s: float
    ) -> None:
        for request, decision in grants.queue.pop_decided(now_s):
            self._answer(endpoint_id, request.key, decision, now_s)

    def _schedule(self, endpoint_id: EndpointId, grants: _Grants, now_s: float) -> None:
        if grants.timer is not None:
            grants.timer.cancel()
            grants.timer = None
        wait_s = grants.queue.next_decision_s(now_s)
        if math.isfinite(wait_s):
            loop = asyncio.get_running_loop()
            grants.timer = loop.call_later(wait_s, self._on_timer, endpoint_id)

    def _on_timer(self, endpoint_id: EndpointId) -> None:
        grants = self._grants.get(endpoint_id)
        if grants is not None:
            now_s = time.monotonic()
            self._decide_waiting(endpoint_id, grants, now_s)
            self._schedule(endpoint_id, grants, now_s)
