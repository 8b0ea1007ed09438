"""Rate limits of replicas, for the product's own interface.

The messages are the gateway's (:mod:`celerytrack.limits.messages`), as datagrams on the
port of the entry's peer address; its heartbeats use the same port number over TCP.
"""

import logging
import random
import time
from collections.abc import Callable, Collection, Iterable, Sequence

import aiohttp
import attrs
import msgpack

from celerytrack.datagrams import DatagramSocket
from celerytrack.events import Event, log_event
from celerytrack.ids import EndpointId, EntryId, ReplicaId, RequestId
from celerytrack.limits.asks import Lease
from celerytrack.limits.leases import LeaseDenied
from celerytrack.limits.messages import (
    LimitMessage,
    LimitMessageError,
    encode_limit_message,
    limit_message_of,
)
from celerytrack.limits.placement import (
    Candidate,
    LeasePlacer,
    spread_retry_after_s,
)
from celerytrack.limits.sync import LimitSync
from celerytrack.notices.answer import NO_NOTICES
from celerytrack.notices.owners import Peer
from celerytrack.notices.sync import NoticeSync
from celerytrack.platform.notices import decode_notices
from celerytrack.replica_load import ReplicaLoad
from celerytrack.verdict import Reason, Refusal, did_not_run

_log = logging.getLogger(__name__)


@attrs.define
class LeasedReplica:
    """The replica of one attempt, and the lease for it.

    :ivar lease: ``None`` while no replica is limited.
    """

    replica: ReplicaLoad
    lease: Lease | None = None


class EntryLimits:
    """The rate limits of replicas, kept together with the other entries.

    :param address: peer address of this entry.
    :param live_peers: returns the other live entries at a time.
    """

    def __init__(
        self,
        entry_id: EntryId,
        address: str,
        live_peers: Callable[[float], Iterable[Peer]],
    ) -> None:
        self._address = address
        self._socket = DatagramSocket(self._on_data)
        self.sync = LimitSync(
            entry_id, address, self._send, live_peers, time.monotonic()
        )
        self.notices = NoticeSync(self.sync)

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
        replica_id: ReplicaId,
        answer: aiohttp.ClientResponse,
        sent_at_s: float,
        request_id: RequestId,
    ) -> None:
        """Record what a replica says of itself in its answer.

        :param sent_at_s: when its request was sent, on the monotonic clock.
        """
        endpoint_id = EndpointId(replica_id)
        notices = decode_notices(answer.status, answer.headers, time.time())
        if notices is NO_NOTICES and not self.sync.tracker:
            return
        self.notices.record_answer(
            endpoint_id, 0, notices, sent_at_s, request_id, answer.status == 200
        )

    def give_back(self, leased: LeasedReplica) -> None:
        """Return the lease of a request that was not sent."""
        if leased.lease is not None:
            self.sync.asks.give_back(leased.lease)

    def is_limited(self, replica_id: ReplicaId) -> bool:
        """Whether a replica has a limit now."""
        return self.sync.tracker.limit_per_s(EndpointId(replica_id)) is not None

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
            self.sync, priority, lambda replica: not replica.leaving, []
        )
        leased = await placer.lease_best(choose_candidate)
        if leased is not None:
            return LeasedReplica(leased.choice, leased.lease)
        limited = [r for r in may_run if self.is_limited(r.replica_id)]
        candidates = [_candidate(replica, max_wait_s) for replica in limited]
        waited = await placer.lease_in_time(candidates, rng)
        if isinstance(waited, LeaseDenied):
            retry_after_s = spread_retry_after_s(waited, rng)
            detail = "all back ends with room are limited"
            return did_not_run(Reason.RATE_LIMITED, retry_after_s, detail)
        return LeasedReplica(waited.choice, waited.lease)

    def _send(self, address: str, message: LimitMessage) -> None:
        self._socket.send([address], encode_limit_message(message))

    def _on_data(self, data: bytes) -> None:
        try:
            message = limit_message_of(msgpack.unpackb(data))
        except (
            LimitMessageError,
            ValueError,
            TypeError,
            RecursionError,
            msgpack.UnpackException,
        ) as exc:
            log_event(_log, Event.NOTE_REJECTED, logging.WARNING, detail=str(exc))
            return
        self.sync.receive(message)


def _candidate(replica: ReplicaLoad, max_wait_s: float) -> Candidate[ReplicaLoad]:
    return Candidate(EndpointId(replica.replica_id), replica, max_wait_s)
