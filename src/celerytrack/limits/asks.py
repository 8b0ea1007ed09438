"""Gets leases for this entry's requests to limited endpoints.

The owner of an endpoint is asked; while it does not reply, the standby is. An entry
that uses up its leases fast asks for several at once, and what an owner has denied is
not asked for again for a while.
"""

import asyncio
import itertools
import math
import time
from collections import Counter
from collections.abc import Callable

import attrs

from celerytrack.ids import EndpointId, EntryId
from celerytrack.limits.leases import (
    MIN_RATE_PER_S,
    OWNER_RETRY_AFTER_S,
    LeaseDecision,
    LeaseDenied,
    LeaseGranted,
)
from celerytrack.limits.messages import (
    LeaseAsk,
    LeaseEnd,
    LeaseReply,
    LeaseReturn,
    LimitMessage,
)
from celerytrack.limits.room import LeaseOutcome
from celerytrack.limits.tracker import LimitTracker
from celerytrack.notices.owners import EndpointOwners

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
QUEUE_KNOWN_S = 0.1
"""How long the length of an owner's queue counts as known."""
MAX_BATCH = 32
"""Most leases that are asked for at once."""
BATCH_S = 0.1
"""An entry that uses up its leases in less asks for twice as many the next time."""
BATCH_TTL_S = 0.25
"""How long leases may be used."""


@attrs.frozen
class Lease:
    """Permission to send one request to an endpoint.

    :ivar grantor: peer address of the entry that granted it; ``None`` if the endpoint
        has no limit.
    """

    endpoint_id: EndpointId
    nonce: int = 0
    grantor: str | None = None


@attrs.define
class _Batch:
    """Leases of one endpoint that were granted together.

    :ivar size: how many are asked for.
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


@attrs.frozen
class _Denial:
    """The last denial of a lease for an endpoint.

    :ivar until_s: when the next token is due.
    :ivar queue_wait_s: when one was due for a request of ``priority``.
    """

    at_s: float
    until_s: float
    queue_wait_s: float
    priority: int


class LeaseAsks:
    """Leases for this entry's requests.

    :param deliver: delivers a message to the entry at an address.
    :ivar counts: number of decisions, by outcome.
    """

    def __init__(
        self,
        tracker: LimitTracker,
        owners: EndpointOwners,
        deliver: Callable[[str, LimitMessage], None],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._tracker = tracker
        self._owners = owners
        self._deliver = deliver
        self._pending: dict[int, asyncio.Future[LeaseDecision]] = {}
        self._open: dict[EndpointId, set[int]] = {}
        self._nonces = itertools.count(1)
        self._batches: dict[EndpointId, _Batch] = {}
        self._denials: dict[EndpointId, _Denial] = {}
        self._silent_asks: Counter[EntryId] = Counter()
        self._silent_until_s: dict[EntryId, float] = {}

    def denied(self, now_s: float) -> list[EndpointId]:
        """The limited endpoints for which no lease is to be had now."""
        return [i for i, denial in self._denials.items() if denial.until_s > now_s]

    def expected_wait_s(
        self, endpoint_id: EndpointId, priority: int, now_s: float
    ) -> float:
        """Time until a lease for an endpoint is expected."""
        denial = self._denials.get(endpoint_id)
        if denial is None:
            return 0.0
        if now_s - denial.at_s < QUEUE_KNOWN_S and priority >= denial.priority:
            return denial.queue_wait_s
        return max(0.0, denial.until_s - now_s)

    async def acquire(
        self, endpoint_id: EndpointId, priority: int, max_wait_s: float
    ) -> Lease | LeaseDenied:
        """Get a lease for one request to an endpoint.

        :param priority: 0 is the most urgent.
        :param max_wait_s: longest time to wait for a token.
        """
        now_s = time.monotonic()
        report = self._tracker.report(endpoint_id, now_s)
        if report is None or not report.is_limited:
            return Lease(endpoint_id)
        batch = self._batches.setdefault(endpoint_id, _Batch())
        if (kept := batch.take(now_s)) is not None:
            self.counts["granted"] += 1
            return kept
        grantor = self._grantor(endpoint_id, now_s)
        nonce, size = next(self._nonces), batch.next_size(now_s)
        lease = Lease(endpoint_id, nonce, self._owners.address_of(grantor))
        address = self._owners.address
        ask = LeaseAsk(address, nonce, report, priority, max_wait_s, size)
        if report.bears_per_s is not None:
            self._open.setdefault(endpoint_id, set()).add(nonce)
        decision = await self._ask(grantor, lease, ask)
        now_s = time.monotonic()
        if isinstance(decision, LeaseGranted):
            self.counts["granted"] += 1
            batch.fill(lease, decision.count, now_s)
            return lease
        self._close(lease)
        self.counts["denied"] += 1
        self._remember_denial(endpoint_id, decision, priority, now_s)
        return decision

    def give_back(self, lease: Lease, count: int = 1) -> None:
        """Return leases whose requests were not sent."""
        if lease.grantor is None:
            return
        self._close(lease)
        self.counts["returned"] += 1
        address = self._owners.address
        message = LeaseReturn(address, lease.nonce, lease.endpoint_id, count)
        self._deliver(lease.grantor, message)

    def end(self, lease: Lease, outcome: LeaseOutcome) -> None:
        """Report the end of a request to a brittle endpoint, whose room the owner
        learns from it."""
        if lease.grantor is None or not self._close(lease):
            return
        still_open = self._open.get(lease.endpoint_id)
        oldest_nonce = min(still_open) if still_open else lease.nonce
        message = LeaseEnd(
            self._owners.address,
            lease.nonce,
            lease.endpoint_id,
            outcome,
            oldest_nonce,
        )
        self._deliver(lease.grantor, message)

    def on_reply(self, reply: LeaseReply) -> None:
        """Pass the decision of an owner or standby on to the request that waits."""
        future = self._pending.get(reply.nonce)
        if future is not None and not future.done():
            future.set_result(reply.decision)

    def forget(self, endpoint_id: EndpointId) -> None:
        """Forget an endpoint that is gone or has no limit any longer."""
        self._batches.pop(endpoint_id, None)
        self._denials.pop(endpoint_id, None)

    def forget_absent_entries(self) -> None:
        """Forget which entries were silent if they are not live any longer."""
        for entry_id in self._silent_until_s.keys() - self._owners.peers.keys():
            del self._silent_until_s[entry_id]
        for entry_id in self._silent_asks.keys() - self._owners.peers.keys():
            del self._silent_asks[entry_id]

    def _close(self, lease: Lease) -> bool:
        """Forget a lease; returns whether its end is to be reported."""
        nonces = self._open.get(lease.endpoint_id)
        if nonces is None or lease.nonce not in nonces:
            return False
        nonces.remove(lease.nonce)
        if not nonces:
            del self._open[lease.endpoint_id]
        return True

    async def _ask(
        self, grantor: EntryId, lease: Lease, ask: LeaseAsk
    ) -> LeaseDecision:
        assert lease.grantor is not None
        future = asyncio.get_running_loop().create_future()
        self._pending[ask.nonce] = future
        try:
            self._deliver(lease.grantor, ask)
            async with asyncio.timeout(ask.max_wait_s + ASK_TIMEOUT_S):
                decision: LeaseDecision = await future
        except TimeoutError:
            self.give_back(lease, ask.count)
            self._count_silence(grantor, time.monotonic())
            return LeaseDenied(OWNER_RETRY_AFTER_S)
        except asyncio.CancelledError:
            self.give_back(lease, ask.count)
            raise
        finally:
            del self._pending[ask.nonce]
        self._silent_asks.pop(grantor, None)
        return decision

    def _grantor(self, endpoint_id: EndpointId, now_s: float) -> EntryId:
        owner, *standby = self._owners.ranking(endpoint_id)
        if standby and now_s < self._silent_until_s.get(owner, -math.inf):
            return standby[0]
        return owner

    def _count_silence(self, entry_id: EntryId, now_s: float) -> None:
        self.counts["unanswered"] += 1
        self._silent_asks[entry_id] += 1
        if self._silent_asks[entry_id] >= SILENT_ASKS:
            self._silent_until_s[entry_id] = now_s + SILENT_S

    def _remember_denial(
        self,
        endpoint_id: EndpointId,
        denied: LeaseDenied,
        priority: int,
        now_s: float,
    ) -> None:
        limit_per_s = self._tracker.limit_per_s(endpoint_id)
        if limit_per_s is None:
            return
        # Those that wait for a token may give up, or be less urgent than the next
        # request: it asks again when the next token is due.
        token_s = 1.0 / max(limit_per_s, MIN_RATE_PER_S)
        denied_s = max(MIN_DENIED_S, min(denied.retry_after_s, token_s))
        self._denials[endpoint_id] = _Denial(
            now_s, now_s + denied_s, denied.retry_after_s, priority
        )
