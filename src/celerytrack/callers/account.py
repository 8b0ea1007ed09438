"""The account of the bytes that callers hold of this process, without I/O.

All that grows with what callers send, or leave unread, is held here before it is taken.
When the budget is used up, a caller that stalls yields to one that doesn't; if none
stalls, the newcomer is refused.
"""

import asyncio
import collections
import enum
from collections.abc import Callable

import attrs

STALL_S = 2.0
"""Time without progress after which a caller yields to others in need."""
PROGRESS_BYTES = 16_384
"""Bytes that count as progress. A byte at a time is none."""
SMALL_BYTES = 65_536
"""A request that holds no more may use the whole budget."""
LARGE_SHARE = 0.75
"""Share of the budget for the others, which don't keep small requests out."""


class HoldKind(enum.IntEnum):
    """What the bytes of a hold are; an index, since each request counts some."""

    RECEIVED = 0
    """On a connection, not yet read: heads that aren't complete, requests that wait
    behind another."""
    BODY = 1
    """Of a request: its head, its body, and what the body becomes."""
    ANSWER = 2
    """Of an answer that is read to its end before it is passed on."""
    STREAM = 3
    """Of a stream whose caller takes less than the endpoint sends."""


@attrs.define(eq=False)
class Hold:
    """The bytes that a caller holds in one way.

    :ivar evict: ends it, when it yields to others.
    :ivar held_bytes: how many it holds.
    :ivar progress_at_s: when the caller last sent or took enough to count.
    :ivar heard_at_s: when it last sent or took anything.
    :ivar progress_bytes: what it sent or took since the last progress.
    :ivar unsent: returns how many bytes it has yet to take, while it takes an answer.
    :ivar unsent_bytes: the same, when it was last looked at.
    :ivar took: whether the caller has taken some of an answer that it kept waiting.
    :ivar evicted: whether it has yielded.
    :ivar request: all holds of the same request, if there are several.
    :ivar place: what it keeps from others beside memory, if anything.
    """

    kind: HoldKind
    evict: Callable[[], None]
    progress_at_s: float
    heard_at_s: float
    held_bytes: int = 0
    progress_bytes: int = 0
    unsent: Callable[[], int] | None = None
    unsent_bytes: int = 0
    took: bool = False
    evicted: bool = False
    request: "list[Hold]" = attrs.field(factory=list)
    place: str | None = None


class MemoryAccount:
    """The bytes that callers hold.

    :param budget_bytes: most bytes that all hold together. One that is alone may go
        beyond it, within the limits of a single request.
    :ivar held_bytes: bytes that are held now, by kind.
    :ivar evictions: how many holds yielded, by kind.
    :ivar refusals: how often there was no room, by kind.
    """

    def __init__(self, budget_bytes: int) -> None:
        self.budget_bytes = budget_bytes
        self.total_bytes = 0
        self.held_bytes = [0] * len(HoldKind)
        self._small_bytes = 0
        self.evictions: collections.Counter[HoldKind] = collections.Counter()
        self.refusals: collections.Counter[HoldKind] = collections.Counter()
        # Those that wait for their caller, the longest without progress first.
        self._waiting: collections.OrderedDict[Hold, None] = collections.OrderedDict()
        # Answers that are being read, the oldest first.
        self._reading: dict[Hold, None] = {}
        self._changed = asyncio.Event()

    def open(self, kind: HoldKind, evict: Callable[[], None], now_s: float) -> Hold:
        """Begin a hold that waits for its caller."""
        hold = Hold(kind, evict, now_s, now_s)
        self._waiting[hold] = None
        return hold

    def try_grow(self, hold: Hold, count: int, now_s: float) -> bool:
        """Hold ``count`` more bytes, unless there is no room for them."""
        if hold.evicted:
            return False
        while not self._fits(hold, count):
            if not self._evict_stalled(hold, now_s):
                self.refusals[hold.kind] += 1
                return False
        self._add(hold, count)
        return True

    def grow(self, hold: Hold, count: int, now_s: float) -> None:
        """Hold ``count`` more bytes that are in memory already.

        If they are too many, callers yield that have taken nothing yet, the first of
        them first, and then those that have taken nothing for longest.
        """
        if hold.evicted:
            return
        self._add(hold, count)
        while self.total_bytes > self.budget_bytes:
            if self._evict_stalled(hold, now_s):
                continue
            self._look(now_s)
            unsent = [h for h in self._waiting if h.unsent is not None]
            if not unsent:
                return
            self._evict(next((h for h in unsent if not h.took), unsent[0]))

    async def grow_answer(
        self, hold: Hold, count: int, clock: Callable[[], float]
    ) -> None:
        """Hold ``count`` more bytes of an answer that is being read, when they fit.

        If only answers that are being read hold the budget, the oldest goes on.
        """
        while not self._fits(hold, count):
            if self._evict_stalled(hold, clock()):
                continue
            is_oldest = next(iter(self._reading)) is hold
            if is_oldest and not any(h.unsent for h in self._waiting):
                break
            await self._changed.wait()
        self._add(hold, count)

    def begin_reading(self, hold: Hold) -> None:
        """Let a hold wait for an endpoint's answer, no longer for its caller."""
        self._waiting.pop(hold, None)
        self._reading[hold] = None

    def begin_waiting(
        self, hold: Hold, unsent: Callable[[], int], now_s: float
    ) -> None:
        """Let a hold wait until its caller has taken what it returns."""
        self._reading.pop(hold, None)
        hold.unsent = unsent
        hold.unsent_bytes = unsent()
        hold.progress_at_s = hold.heard_at_s = now_s
        if not hold.evicted:
            self._waiting[hold] = None
            self._waiting.move_to_end(hold)

    def wait_for_caller(self, hold: Hold, now_s: float) -> None:
        """Let a hold wait for more from its caller."""
        hold.progress_at_s = hold.heard_at_s = now_s
        self._waiting[hold] = None

    def stop_waiting(self, hold: Hold) -> None:
        """Let a hold wait for this process, not for its caller: it doesn't yield."""
        self._waiting.pop(hold, None)

    def record_progress(self, hold: Hold, count: int, now_s: float) -> None:
        """Record that the caller sent or took ``count`` bytes."""
        hold.heard_at_s = now_s
        hold.took = hold.unsent is not None
        hold.progress_bytes += count
        if hold.progress_bytes < PROGRESS_BYTES:
            return
        hold.progress_bytes = 0
        hold.progress_at_s = now_s
        if hold in self._waiting:
            self._waiting.move_to_end(hold)

    def rest(self, hold: Hold) -> None:
        """Let a hold wait no longer, since its caller has taken what there was."""
        hold.took = True
        self._waiting.pop(hold, None)
        self.shrink(hold, hold.held_bytes)

    def shrink(self, hold: Hold, count: int) -> None:
        """Give back ``count`` bytes of a hold."""
        self._add(hold, -min(count, hold.held_bytes))
        self._wake()

    def close(self, hold: Hold) -> None:
        """End a hold and give back its bytes."""
        self._waiting.pop(hold, None)
        self._reading.pop(hold, None)
        self._add(hold, -hold.held_bytes)
        self._wake()

    def free_place(self, place: str, now_s: float) -> bool:
        """Have the hold yield that has stalled longest and keeps ``place`` from others,
        if there is one."""
        for hold in self._waiting:
            if now_s - hold.progress_at_s < STALL_S:
                return False
            if hold.place == place:
                self._evict(hold)
                return True
        return False

    def sweep(self, now_s: float, idle_s: float) -> None:
        """Record what callers took, and end the holds of those that are idle."""
        self._look(now_s)
        for hold in list(self._waiting):
            if now_s - hold.heard_at_s > idle_s:
                self._evict(hold)
        self._wake()

    def give_up(self, hold: Hold) -> None:
        """Have a hold yield, unless it has yielded before."""
        if not hold.evicted:
            self._evict(hold)

    def _look(self, now_s: float) -> None:
        """Record which callers have taken something since the last look."""
        for hold in list(self._waiting):
            if hold.unsent is None:
                continue
            unsent_bytes = hold.unsent()
            if unsent_bytes < hold.unsent_bytes:
                self.record_progress(hold, PROGRESS_BYTES, now_s)
            hold.unsent_bytes = unsent_bytes

    def _fits(self, hold: Hold, count: int) -> bool:
        wanted = hold.held_bytes + count
        if self.total_bytes == sum(h.held_bytes for h in hold.request or (hold,)):
            return True
        total_bytes = self.total_bytes + count
        if wanted > SMALL_BYTES:
            return total_bytes <= LARGE_SHARE * self.budget_bytes
        # One that is alone may have gone beyond the budget: others aren't kept out.
        small_bytes = self._small_bytes + count
        small_share = 1 - LARGE_SHARE
        return (
            total_bytes <= self.budget_bytes
            or small_bytes <= small_share * self.budget_bytes
        )

    def _evict_stalled(self, needy: Hold, now_s: float) -> bool:
        for hold in self._waiting:
            if now_s - hold.progress_at_s < STALL_S:
                return False
            if hold is not needy:
                self._evict(hold)
                return True
        return False

    def _evict(self, hold: Hold) -> None:
        hold.evicted = True
        self.evictions[hold.kind] += 1
        self.close(hold)
        hold.evict()

    def _add(self, hold: Hold, count: int) -> None:
        before = hold.held_bytes
        hold.held_bytes += count
        if before <= SMALL_BYTES:
            self._small_bytes -= before
        if hold.held_bytes <= SMALL_BYTES:
            self._small_bytes += hold.held_bytes
        self.total_bytes += count
        self.held_bytes[hold.kind] += count

    def _wake(self) -> None:
        if not self._reading:
            return
        self._changed.set()
        self._changed = asyncio.Event()
