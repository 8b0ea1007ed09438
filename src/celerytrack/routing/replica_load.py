"""One entry's estimate of a replica's load and prefix cache.

A replica's own reports lag, so they are used only where no fresher source
exists. An entry knows exactly which of its own requests run at the replica, and
its peers announce their load there several times a second.
"""

import bisect
from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import NamedTuple

import attrs

from celerytrack.ids import EntryId, ReplicaId, Zone
from celerytrack.prompts import BLOCK_TOKENS

PEER_LOAD_TTL_S = 1.0
"""How long a load that a peer announced is used."""
_MAX_HISTORY = 4096
_CACHE_BLOCKS = 4096
_SLOWNESS_EWMA_WEIGHT = 0.1
_SLOWNESS_RANGE = (0.5, 8.0)
_EJECT_S = 0.5
_EJECT_BACKOFF_FACTOR = 4
_MAX_EJECT_S = 30.0


@attrs.frozen
class Ask:
    """What a request requires of a replica.

    :ivar model: the model or plain service.
    :ivar priority: the class priority; 0 is shed last.
    :ivar blocks: hashes of the prompt's blocks (empty for plain services).
    :ivar version: software version that wrote the part of the answer that the caller
        has; ``None`` if it has none.
    """

    model: str
    priority: int
    blocks: tuple[int, ...] = ()
    version: str | None = None

    def fits(self, replica: "ReplicaLoad") -> bool:
        """Whether a replica may run the request, or go on with its answer."""
        if replica.model != self.model:
            return False
        return self.version is None or self.version == replica.version


class PrefixIndex:
    """The prompt blocks a replica has probably cached, in LRU order.

    Updated by the prompts this entry sends there and by the replica's cache
    events, which arrive late and with gaps. The index has the same bound as the
    replica's own cache, so a block whose eviction event was lost ages out here
    as it does there.
    """

    def __init__(self, capacity_blocks: int = _CACHE_BLOCKS) -> None:
        self.capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def touch(self, blocks: Sequence[int]) -> None:
        """Mark the blocks of one prompt as just used.

        The first block becomes the most recently used. The end of a prompt, which
        no other prompt shares, is then evicted before the prefix that many share.
        """
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.capacity_blocks:
            self._blocks.popitem(last=False)

    def drop(self, block: int) -> None:
        """Remove ``block``, which the replica evicted."""
        self._blocks.pop(block, None)

    def cached_blocks(self, blocks: Sequence[int]) -> int:
        """The length of the cached prefix of ``blocks``.

        A cached block is usable only together with all blocks before it. The usable
        ones therefore form a prefix, which bisection finds.
        """
        return bisect.bisect_left(
            range(len(blocks)), True, key=lambda i: blocks[i] not in self._blocks
        )


class Load(NamedTuple):
    """Work at a replica; a tuple, because each routing decision creates many.

    :ivar running: sequences (or calls) running or queued.
    :ivar prefill_tokens: prompt tokens pending prefill.
    """

    running: int = 0
    prefill_tokens: int = 0


@attrs.define
class Attempt:
    """One request sent to a replica, until it finishes.

    :ivar prefill_tokens: its prompt tokens counted as pending prefill.
    :ivar predicted_s: time to the first token as predicted when it was sent.
    :ivar answered: whether its first token arrived.
    :ivar version: software version that wrote what the caller got; ``None`` if it got
        nothing.
    """

    replica: "ReplicaLoad"
    sent_at_s: float
    prefill_tokens: int
    predicted_s: float
    answered: bool = False
    version: str | None = None

    def record_first_token(self, now_s: float) -> None:
        """Record that its first token arrived, which means that prefill is done."""
        self.answered = True
        self.replica._record_prefill(self.prefill_tokens)
        self.prefill_tokens = 0
        self.replica._update_slowness(
            (now_s - self.sent_at_s) / max(self.predicted_s, 1e-3)
        )

    def finish(self, now_s: float) -> None:
        """Stop counting it, whatever its outcome."""
        self.replica._record_prefill(self.prefill_tokens)
        self.prefill_tokens = 0
        self.replica._record_finish(now_s)


@attrs.define
class ReplicaLoad:
    """One replica's load as this entry sees it.

    Times are wall-clock seconds, because reports carry the replica's clock.

    :ivar capacity: sequences the replica batches at once.
    :ivar version: its software version; empty if it states none.
    :ivar born_ms: start of its incarnation, in Unix milliseconds; 0 if unknown.
    :ivar own: the load from this entry.
    :ivar peers: the load each peer announced, and when it arrived.
    :ivar reported: the replica's last report, which lags.
    :ivar reported_at_s: the moment the report describes.
    :ivar slowness: moving average of actual over predicted time to the first
        token; it detects a slow replica whose reports look healthy.
    :ivar ejected_until_s: until when it gets no new work after failed attempts.
    """

    replica_id: ReplicaId
    zone: Zone
    model: str
    capacity: int = 16
    own: Load = Load()
    peers: dict[EntryId, tuple[float, Load]] = attrs.field(factory=dict)
    reported: Load = Load()
    reported_at_s: float = 0.0
    leaving: bool = False
    slowness: float = 1.0
    ejected_until_s: float = 0.0
    born_ms: int = 0
    version: str = ""
    cache: PrefixIndex = attrs.field(factory=PrefixIndex)
    _own_history: deque[tuple[float, Load]] = attrs.field(
        factory=lambda: deque([(0.0, Load())], maxlen=_MAX_HISTORY)
    )
    """``(time, own from then on)``, starting just before the last report."""
    _failures: int = 0

    def load(self, now_s: float) -> Load:
        """All work there at ``now_s``: this entry's own and that of others.

        Others' work is what peers announced within :data:`PEER_LOAD_TTL_S`. If none
        did (this entry is partitioned, or the only one), it is what the last report
        shows beyond what this entry had there at that moment. Adding later sends to
        the whole report would count twice the requests that have finished since, and
        make a busy replica look full.
        """
        running, prefill_tokens = self.own
        has_peer_load = False
        for at_s, peer in self.peers.values():
            if now_s - at_s <= PEER_LOAD_TTL_S:
                has_peer_load = True
                running += peer.running
                prefill_tokens += peer.prefill_tokens
        if not has_peer_load:
            own_then = self._own_history[0][1]
            running += max(0, self.reported.running - own_then.running)
            prefill_tokens += max(
                0, self.reported.prefill_tokens - own_then.prefill_tokens
            )
        return Load(running, prefill_tokens)

    def uncached_tokens(self, ask: Ask) -> int:
        """Prompt tokens of ``ask`` that this replica would have to prefill."""
        missing = len(ask.blocks) - self.cache.cached_blocks(ask.blocks)
        return missing * BLOCK_TOKENS

    def report(self, load: Load, at_s: float) -> None:
        """Record a load report of the moment ``at_s``; older ones are ignored."""
        if at_s < self.reported_at_s:
            return
        self.reported = load
        self.reported_at_s = at_s
        while len(self._own_history) > 1 and self._own_history[1][0] <= at_s:
            self._own_history.popleft()

    def record_peer_load(self, peer: EntryId, load: Load, now_s: float) -> None:
        """Record the load that ``peer`` announced it has here."""
        self.peers[peer] = (now_s, load)

    def begin_attempt(self, ask: Ask, predicted_s: float, now_s: float) -> Attempt:
        """Count a request that this entry sends at ``now_s``."""
        tokens = self.uncached_tokens(ask)
        self._change_own(1, tokens, now_s)
        self.cache.touch(ask.blocks)
        return Attempt(self, now_s, tokens, predicted_s)

    @property
    def is_healthy(self) -> bool:
        """Whether no attempt has failed since the last successful one."""
        return self._failures == 0

    def can_take_request(self, now_s: float) -> bool:
        """Whether it may take a request at ``now_s``.

        After failures it takes one request at a time once the ejection is over, so
        that a half-open probe costs at most one retry.
        """
        if self.is_healthy:
            return True
        return now_s >= self.ejected_until_s and self.own.running == 0

    def record_success(self) -> None:
        """Record a successful attempt, which ends the ejection."""
        self._failures = 0
        self.ejected_until_s = 0.0

    def record_failure(self, now_s: float) -> None:
        """Eject the replica after a failed attempt, longer each time.

        A replica that fails at once looks idle. Without ejection it would attract
        every request and use up the retries of all of them.
        """
        self._failures += 1
        ejected_s = _EJECT_S * _EJECT_BACKOFF_FACTOR ** min(self._failures - 1, 4)
        self.ejected_until_s = now_s + min(ejected_s, _MAX_EJECT_S)

    def _record_prefill(self, tokens: int) -> None:
        if tokens:
            self._change_own(0, -tokens, self._own_history[-1][0])

    def _record_finish(self, now_s: float) -> None:
        self._change_own(-1, 0, now_s)

    def _change_own(self, running: int, tokens: int, now_s: float) -> None:
        self.own = Load(
            max(0, self.own.running + running),
            max(0, self.own.prefill_tokens + tokens),
        )
        self._own_history.append((now_s, self.own))

    def _update_slowness(self, ratio: float) -> None:
        low, high = _SLOWNESS_RANGE
        clipped = min(max(ratio, low), high)
        self.slowness += _SLOWNESS_EWMA_WEIGHT * (clipped - self.slowness)
