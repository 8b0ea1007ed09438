"""What replicas say of themselves, for the product's own interface.

The messages are the gateway's (:mod:`celerytrack.notices.messages`), as datagrams on
the port of the entry's peer address; its heartbeats use the same port number over TCP.
"""

import logging
import random
import time
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence

import aiohttp
import attrs
import msgpack

from celerytrack.datagrams import DatagramSocket
from celerytrack.events import Event, log_event
from celerytrack.ids import EndpointId, EntryId, ReplicaId, RequestId
from celerytrack.limits.asks import Lease
from celerytrack.limits.leases import LeaseDenied
from celerytrack.limits.placement import (
    MIN_RETRY_AFTER_S,
    Candidate,
    LeasePlacer,
    spread_retry_after_s,
)
from celerytrack.limits.room import LeaseOutcome
from celerytrack.notices.answer import NO_NOTICES
from celerytrack.notices.messages import (
    NoticeMessage,
    NoticeMessageError,
    encode_notice_message,
    notice_message_of,
)
from celerytrack.notices.owners import Peer
from celerytrack.notices.sync import NoticeSync
from celerytrack.notices.waiting import OpeningQueue
from celerytrack.platform.notices import decode_notices
from celerytrack.reachability.messages import (
    LinkNews,
    LinkNewsError,
    encode_link_news,
    is_link_news,
    link_news_of,
)
from celerytrack.record_faults import RecordFaults
from celerytrack.routing.replica_load import ReplicaLoad
from celerytrack.verdict import Reason, Refusal, did_not_run

_log = logging.getLogger(__name__)


@attrs.define
class LeasedReplica:
    """The replica of one attempt, and the lease for it.

    :ivar lease: ``None`` while no replica is limited.
    """

    replica: ReplicaLoad
    lease: Lease | None = None


@attrs.frozen
class ReplicaOpening:
    """The first opening among replicas that are closed for a time."""

    replica: ReplicaLoad
    opens_in_s: float


class EntryNotices:
    """What replicas said of themselves, kept together with the other entries.

    :param address: peer address of this entry.
    :param live_peers: returns the other live entries at a time.
    :param view_age_s: returns how old that knowledge is.
    :param on_link_news: called with what another entry says of its links.
    """

    def __init__(
        self,
        entry_id: EntryId,
        address: str,
        live_peers: Callable[[float], Iterable[Peer]],
        view_age_s: Callable[[float], float],
        rng: random.Random,
        on_link_news: Callable[[LinkNews], None] = lambda news: None,
    ) -> None:
        self._on_link_news = on_link_news
        self._faults = RecordFaults(_log, "peer messages")
        self._address = address
        self._rng = rng
        self._socket = DatagramSocket(self._on_data)
        self._openings: defaultdict[str, OpeningQueue] = defaultdict(OpeningQueue)
        self.sync = NoticeSync(
            entry_id, address, self._send, live_peers, time.monotonic(), rng, view_age_s
        )

    async def run(self) -> None:
        """Receive messages and follow the membership until cancelled."""
        try:
            await self._socket.open(self._address)
        except OSError as exc:
            # Without messages this entry gets no leases; it serves all the same.
            detail = f"{type(exc).__name__}: {exc}"
            log_event(_log, Event.NOTE_FAILED, logging.ERROR, detail=detail)
        await self.sync.run()

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def record_answer(
        self,
        replica: ReplicaLoad,
        answer: aiohttp.ClientResponse,
        sent_at_s: float,
        request_id: RequestId,
    ) -> None:
        """Record what a replica says of itself in its answer.

        :param sent_at_s: when its request was sent, on the monotonic clock.
        """
        notices = decode_notices(answer.status, answer.headers, time.time())
        if notices is NO_NOTICES and not self.sync:
            return
        self.sync.record_answer(
            EndpointId(replica.replica_id),
            replica.born_ms,
            notices,
            sent_at_s,
            request_id,
            succeeded=answer.status == 200,
            now_s=time.monotonic(),
            rejected=answer.status in (429, 503),
        )

    def give_back(self, leased: LeasedReplica) -> None:
        """Return the lease of a request that was not sent."""
        if leased.lease is not None:
            self.sync.limits.asks.give_back(leased.lease)

    def end_lease(self, leased: LeasedReplica, outcome: LeaseOutcome) -> None:
        """Report the end of a request that was sent with a lease."""
        if leased.lease is not None:
            self.sync.limits.asks.end(leased.lease, outcome)

    def is_limited(self, replica_id: ReplicaId) -> bool:
        """Whether a replica has a limit now."""
        return self.sync.limits.tracker.limit_per_s(EndpointId(replica_id)) is not None

    def is_brittle(self, replica: ReplicaLoad) -> bool:
        """Whether a replica said that it falls over under load."""
        endpoint_id = EndpointId(replica.replica_id)
        return self.sync.limits.tracker.bears_per_s(endpoint_id) is not None

    def closed(
        self, replicas: Iterable[ReplicaLoad], now_s: float
    ) -> frozenset[ReplicaId]:
        """The replicas that their own word closes to this entry."""
        if not self.sync.state:
            return frozenset()
        return frozenset(r.replica_id for r in replicas if self._is_closed(r, now_s))

    def last_resorts(
        self, replicas: Iterable[ReplicaLoad], now_s: float
    ) -> list[ReplicaLoad]:
        """The replicas that leave and may be used, if all of ``replicas`` leave."""
        replicas = list(replicas)
        if not all(r.leaving or self.is_leaving(r) for r in replicas):
            return []
        return [
            replica
            for replica in replicas
            if self.sync.state.is_last_resort(
                EndpointId(replica.replica_id), replica.born_ms, now_s
            )
            and self._opens_in_s(replica, now_s) <= 0
        ]

    def next_opening(
        self, replicas: Iterable[ReplicaLoad], now_s: float
    ) -> ReplicaOpening | None:
        """The first opening among the replicas that are closed for a time."""
        if not self.sync.state:
            return None
        openings = [
            ReplicaOpening(replica, self._opens_in_s(replica, now_s))
            for replica in replicas
            if not replica.leaving and not self.is_leaving(replica)
        ]
        closed = [opening for opening in openings if opening.opens_in_s > 0]
        return min(closed, key=lambda opening: opening.opens_in_s, default=None)

    async def wait_for_opening(
        self, opening: ReplicaOpening, priority: int, max_wait_s: float
    ) -> bool:
        """Wait until a replica opens, if that is soon enough."""
        if opening.opens_in_s > max_wait_s:
            return False
        queue = self._openings[opening.replica.model]
        return await queue.wait(priority, opening.opens_in_s, max_wait_s)

    def refusal_until(self, opens_in_s: float) -> Refusal:
        """The refusal of a request while all replicas are closed."""
        retry_after_s = spread_retry_after_s(opens_in_s, self._rng)
        detail = "all back ends leave or back off"
        return did_not_run(Reason.BACKING_OFF, retry_after_s, detail)

    def may_send(self, replica: ReplicaLoad, now_s: float) -> bool:
        """Whether a request that was placed may be sent now."""
        endpoint_id = EndpointId(replica.replica_id)
        return self.sync.state.may_send(endpoint_id, replica.born_ms, now_s)

    def is_leaving(self, replica: ReplicaLoad) -> bool:
        """Whether a replica said that it leaves."""
        endpoint_id = EndpointId(replica.replica_id)
        return self.sync.state.is_leaving(endpoint_id, replica.born_ms)

    def begin_attempt(self, replica_id: ReplicaId) -> Callable[[], None]:
        """Count a request that is sent now; returns what to call when it has ended."""
        returns, endpoint_id = self.sync.state.returns, EndpointId(replica_id)
        if not returns.record_sent(endpoint_id):
            return lambda: None
        return lambda: returns.record_done(endpoint_id)

    def is_backing_off(self, replica: ReplicaLoad) -> bool:
        """Whether a replica asked for a backoff that is not known to be over."""
        endpoint_id = EndpointId(replica.replica_id)
        backoffs = self.sync.state.backoffs
        return backoffs.until_s(endpoint_id, replica.born_ms) is not None

    async def lease(
        self,
        choose: Callable[[Collection[ReplicaId]], ReplicaLoad | None],
        may_run: Sequence[ReplicaLoad],
        priority: int,
        max_wait_s: float,
        rng: random.Random,
    ) -> LeasedReplica | Refusal:
        """Choose a replica and get a lease for it.

        :param choose: returns the best replica, some excluded.
        :param may_run: replicas that may run the request if they are limited.
        """

        def choose_candidate(
            excluded: Collection[EndpointId],
        ) -> Candidate[ReplicaLoad] | None:
            replica = choose([ReplicaId(i) for i in excluded])
            return _candidate(replica, 0.0) if replica else None

        placer = LeasePlacer[ReplicaLoad](
            self.sync.limits, priority, self._is_valid, []
        )
        leased = await placer.lease_best(choose_candidate)
        if leased is not None:
            return LeasedReplica(leased.choice, leased.lease)
        limited = [
            r for r in may_run if self.is_limited(r.replica_id) and self._is_valid(r)
        ]
        candidates = [_candidate(replica, max_wait_s) for replica in limited]
        if not candidates:
            return self._refusal_without_lease(may_run)
        waited = await placer.lease_in_time(candidates, rng)
        if isinstance(waited, LeaseDenied):
            retry_after_s = spread_retry_after_s(waited.retry_after_s, rng)
            detail = "all back ends with room are limited"
            return did_not_run(Reason.RATE_LIMITED, retry_after_s, detail)
        return LeasedReplica(waited.choice, waited.lease)

    def _refusal_without_lease(self, may_run: Sequence[ReplicaLoad]) -> Refusal:
        """The refusal if no replica that has room may be sent a request."""
        opening = self.next_opening(may_run, time.monotonic())
        if opening is not None:
            return self.refusal_until(opening.opens_in_s)
        detail = "no back end has room"
        return did_not_run(Reason.NO_CAPACITY, MIN_RETRY_AFTER_S, detail)

    def _is_valid(self, replica: ReplicaLoad) -> bool:
        now_s = time.monotonic()
        return not replica.leaving and not self._is_closed(replica, now_s)

    def _is_closed(self, replica: ReplicaLoad, now_s: float) -> bool:
        return self.is_leaving(replica) or self._opens_in_s(replica, now_s) > 0

    def _opens_in_s(self, replica: ReplicaLoad, now_s: float) -> float:
        endpoint_id = EndpointId(replica.replica_id)
        return self.sync.state.opens_in_s(endpoint_id, replica.born_ms, now_s)

    def _send(self, address: str, message: NoticeMessage) -> None:
        self._socket.send([address], encode_notice_message(message))

    def tell_links(self, news: LinkNews) -> None:
        """Tell the other entries of this entry's links to replicas."""
        addresses = self.sync.limits.owners.peers.values()
        self._socket.send(addresses, encode_link_news(news))

    def _on_data(self, data: bytes) -> None:
        try:
            fields = msgpack.unpackb(data)
            if is_link_news(fields):
                news = link_news_of(fields)
                with self._faults.caught(LinkNews.__name__):
                    self._on_link_news(news)
                return
            message = notice_message_of(fields)
        except (
            LinkNewsError,
            NoticeMessageError,
            ValueError,
            TypeError,
            RecursionError,
            msgpack.UnpackException,
        ) as exc:
            log_event(_log, Event.NOTE_REJECTED, logging.WARNING, detail=str(exc))
            return
        with self._faults.caught(type(message).__name__):
            self.sync.receive(message)


def _candidate(replica: ReplicaLoad, max_wait_s: float) -> Candidate[ReplicaLoad]:
    return Candidate(EndpointId(replica.replica_id), replica, max_wait_s)
