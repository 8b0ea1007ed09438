"""Heartbeats between entries: liveness, draining and each entry's load at the replicas.

Each entry publishes a heartbeat several times a second on a ZeroMQ PUB socket and
subscribes to those of its peers. Callers are not given the address of an entry whose
heartbeats are missing. The load in a heartbeat is fresher than the replicas' own
reports, which lag. A heartbeat may be lost or late; the next one replaces it.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable
from typing import Any

import attrs
import msgpack
import zmq
import zmq.asyncio

from celerytrack.events import Event, log_event
from celerytrack.findings import Findings
from celerytrack.ids import EntryId, ReplicaId
from celerytrack.platform.suspect_records import decode_findings, encode_findings
from celerytrack.record_faults import RecordFaults
from celerytrack.routing.replica_load import Load

_log = logging.getLogger(__name__)

HEARTBEAT_S = 0.1
_PING_MS = 1000
"""Pings detect a connection that was lost without a reset."""
_PING_TIMEOUT_MS = 3000


@attrs.frozen
class Heartbeat:
    """One heartbeat.

    :ivar seq: increases within one incarnation (``boot_id``) of the entry.
    :ivar loads: the entry's own load at each replica; absent if it has none there.
    :ivar findings: its findings about requests that crash replicas.
    """

    entry: EntryId
    boot_id: str
    seq: int
    draining: bool
    loads: dict[ReplicaId, Load]
    findings: Findings | None = None

    def to_bytes(self) -> bytes:
        """The wire format of the heartbeat."""
        loads = {r: [n.running, n.prefill_tokens] for r, n in self.loads.items()}
        found = encode_findings(self.findings) if self.findings else b""
        return msgpack.packb(
            [self.entry, self.boot_id, self.seq, self.draining, loads, found]
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> "Heartbeat":
        """Parse the output of :meth:`to_bytes`.

        :raises ValueError: if ``data`` is not a heartbeat.
        """
        try:
            entry, boot_id, seq, draining, loads, *more = msgpack.unpackb(data)
            parsed = {ReplicaId(r): _load(n, t) for r, (n, t) in loads.items()}
            # Releases before crash tracking send no findings.
            findings = decode_findings(more[0]) if more and more[0] else None
            if type(seq) is not int:
                raise TypeError("a sequence number must be whole")
        except (msgpack.UnpackException, TypeError, AttributeError) as exc:
            raise ValueError(f"not a heartbeat: {exc}") from None
        return cls(EntryId(entry), boot_id, seq, draining, parsed, findings)


def _load(running: Any, prefill_tokens: Any) -> Load:
    if type(running) is not int or type(prefill_tokens) is not int:
        raise TypeError("a load must be whole numbers")
    return Load(running, prefill_tokens)


class PeerLink:
    """Owns the sockets between this entry and its peers.

    :param address: ``host:port`` this entry publishes on.
    :param make_heartbeat: makes the next heartbeat, given its sequence number.
    :param on_heartbeat: called with each heartbeat of a peer.
    """

    def __init__(
        self,
        address: str,
        make_heartbeat: Callable[[int], Heartbeat],
        on_heartbeat: Callable[[Heartbeat], None],
    ) -> None:
        self._address = address
        self._make_heartbeat = make_heartbeat
        self._on_heartbeat = on_heartbeat
        self._context = zmq.asyncio.Context()
        self._pub = self._socket(zmq.PUB)
        self._sub = self._socket(zmq.SUB)
        self._sub.setsockopt(zmq.SUBSCRIBE, b"")
        self._connected: set[str] = set()
        self._last_seq: dict[str, int] = {}
        self._faults = RecordFaults(_log, "heartbeats")

    def start(self) -> list[asyncio.Task[None]]:
        """Open the publishing port and start the link's tasks."""
        self._pub.bind(f"tcp://{self._address}")
        return [
            asyncio.create_task(self._publish()),
            asyncio.create_task(self._listen()),
        ]

    def connect(self, address: str) -> None:
        """Subscribe to the peer at ``address``, once."""
        if address != self._address and address not in self._connected:
            self._connected.add(address)
            self._sub.connect(f"tcp://{address}")

    def close(self) -> None:
        self._context.destroy(linger=0)

    def _socket(self, kind: int) -> zmq.asyncio.Socket:
        sock = self._context.socket(kind)
        sock.setsockopt(zmq.LINGER, 0)
        sock.setsockopt(zmq.HEARTBEAT_IVL, _PING_MS)
        sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, _PING_TIMEOUT_MS)
        return sock

    async def _publish(self) -> None:
        for seq in itertools.count():
            await self._pub.send(self._make_heartbeat(seq).to_bytes())
            await asyncio.sleep(HEARTBEAT_S)

    async def _listen(self) -> None:
        while True:
            data = await self._sub.recv()
            try:
                heartbeat = Heartbeat.from_bytes(data)
            except ValueError as exc:
                log_event(_log, Event.PEER_NEWS_BAD, logging.WARNING, error=str(exc))
                continue
            with self._faults.caught(heartbeat.entry):
                self._receive(heartbeat)

    def _receive(self, heartbeat: Heartbeat) -> None:
        # After a reconnect, queued heartbeats of the same incarnation may arrive
        # after a newer one. They must not restore an old state.
        sender = f"{heartbeat.entry}/{heartbeat.boot_id}"
        if heartbeat.seq > self._last_seq.get(sender, -1):
            self._last_seq[sender] = heartbeat.seq
            self._on_heartbeat(heartbeat)
