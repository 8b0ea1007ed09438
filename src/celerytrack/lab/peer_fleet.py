"""Entries that know each other and exchange messages, in modelled time.

The real synchronisation of what endpoints say of themselves runs on each entry. The
membership, which each entry sees late, and the messages are models.
"""

import asyncio
import bisect
import math
import random
import time
from collections import Counter
from collections.abc import Coroutine, Iterable
from typing import Any

import attrs

from celerytrack.ids import EntryId
from celerytrack.notices.messages import NoticeMessage, encode_notice_message
from celerytrack.notices.owners import Peer
from celerytrack.notices.sync import NoticeSync

MESSAGE_DELAY_S = (0.0005, 0.003)
MESSAGE_LOSS_SHARE = 0.01
"""Share of messages that are lost without a fault."""
DATAGRAM_OVERHEAD_BYTES = 28
SILENCE_S = 3.5
"""Time until a killed entry counts as silent."""
DOWN_S = 3.0


@attrs.frozen
class PeerFaults:
    """What disturbs the entries' view of each other.

    :ivar view_lag_s: shortest and longest time until an entry sees a change of the
        membership.
    :ivar lost_share: share of messages that are lost.
    """

    view_lag_s: tuple[float, float] = (0.05, 0.5)
    lost_share: float = MESSAGE_LOSS_SHARE


@attrs.define
class ModelPeer:
    """A modelled entry process.

    :ivar cut_off: whether no message reaches it or leaves it.
    :ivar silent_from_s: when the others miss its rows, if it was killed.
    :ivar incarnation: number of its starts before this one.
    :ivar log_lost_at_s: since when it can't read the log either.
    :ivar sent_bytes: bytes that it sent to others, by second.
    """

    entry_id: EntryId
    notices: NoticeSync
    view_lag_s: float
    cut_off: bool = False
    log_lost_at_s: float = math.inf
    alive: bool = True
    silent_from_s: float = math.inf
    incarnation: int = 0
    task: asyncio.Task[None] | None = None
    sent_bytes: Counter[int] = attrs.field(factory=Counter)

    def is_listed(self, now_s: float) -> bool:
        """Whether others count it as live, also after a kill until it is silent."""
        return self.alive or now_s < self.silent_from_s


class PeerFleet:
    """Entries, their membership and their messages.

    :ivar entries: all entries, also those that are down.
    :ivar messages: number of messages sent.
    """

    def __init__(self, faults: PeerFaults, rng: random.Random) -> None:
        self.entries: dict[EntryId, ModelPeer] = {}
        self.messages = 0
        self._faults = faults
        self._rng = rng
        self._views: list[tuple[float, tuple[Peer, ...]]] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run something until it ends or the run does."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """End all that runs."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def start(self, entry_id: EntryId) -> ModelPeer:
        """Start an entry; :meth:`publish_view` makes it known."""
        notices = NoticeSync(
            entry_id,
            entry_id,
            lambda address, message: self._deliver(entry_id, address, message),
            lambda now_s: self._live_peers(entry_id, now_s),
            time.monotonic(),
            self._rng,
            lambda now_s: max(0.0, now_s - self.entries[entry_id].log_lost_at_s),
        )
        lag_s = self._rng.uniform(*self._faults.view_lag_s)
        previous = self.entries.get(entry_id)
        incarnation = previous.incarnation + 1 if previous else 0
        entry = ModelPeer(entry_id, notices, lag_s, incarnation=incarnation)
        entry.task = self.spawn(notices.run())
        self.entries[entry_id] = entry
        return entry

    def publish_view(self) -> None:
        """Make the present membership known, which each entry sees later."""
        peers = tuple(
            Peer(e.entry_id, e.entry_id, str(e.incarnation))
            for e in self.entries.values()
            if e.is_listed(time.monotonic()) and e.log_lost_at_s == math.inf
        )
        self._views.append((time.monotonic(), peers))

    async def cut_a_third(self, lasts_s: float, from_log: bool = False) -> None:
        """Cut a third of the entries off from the others for a time.

        :param from_log: whether they are cut off from the log too, so that the others
            miss their rows.
        """
        cut = list(self.entries.values())[::3]
        for entry in cut:
            entry.cut_off = True
            if from_log:
                entry.log_lost_at_s = time.monotonic()
        if from_log:
            await asyncio.sleep(SILENCE_S)
            self.publish_view()
        await asyncio.sleep(lasts_s)
        for entry in cut:
            entry.cut_off = False
            entry.log_lost_at_s = math.inf
        self.publish_view()

    async def restart_in_turn(self, within_s: float, planned: bool) -> None:
        """Stop or kill all entries one after the other, and start them again."""
        for entry in list(self.entries.values()):
            self.spawn(self._restart(entry, planned))
            await asyncio.sleep(within_s / len(self.entries))

    def busiest_bytes_per_s(self) -> float:
        """Most bytes that one entry sent to others in one second."""
        return max(max(e.sent_bytes.values(), default=0) for e in self.entries.values())

    async def _restart(self, entry: ModelPeer, planned: bool) -> None:
        entry.alive = False
        if planned:
            self.publish_view()
            entry.notices.begin_leaving()
            entry.alive = True
            await asyncio.sleep(1.0)
            entry.alive = False
        if entry.task is not None:
            entry.task.cancel()
        if not planned:
            entry.silent_from_s = time.monotonic() + SILENCE_S
        await asyncio.sleep(DOWN_S)
        self.start(entry.entry_id)
        self.publish_view()

    def _live_peers(self, entry_id: EntryId, now_s: float) -> Iterable[Peer]:
        entry = self.entries.get(entry_id)
        if entry is not None:
            now_s = min(now_s - entry.view_lag_s, entry.log_lost_at_s)
        index = bisect.bisect_right(self._views, now_s, key=lambda view: view[0])
        peers = self._views[max(0, index - 1)][1] if self._views else ()
        return [peer for peer in peers if peer.entry_id != entry_id]

    def _deliver(self, sender: EntryId, address: str, message: NoticeMessage) -> None:
        source = self.entries[sender]
        size = len(encode_notice_message(message)) + DATAGRAM_OVERHEAD_BYTES
        source.sent_bytes[int(time.monotonic())] += size
        self.messages += 1
        target = self.entries.get(EntryId(address))
        if target is None or source.cut_off is not target.cut_off:
            return
        if self._rng.random() < self._faults.lost_share:
            return
        delay_s = self._rng.uniform(*MESSAGE_DELAY_S)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._receive, target, message)

    @staticmethod
    def _receive(target: ModelPeer, message: NoticeMessage) -> None:
        if target.alive:
            target.notices.receive(message)
