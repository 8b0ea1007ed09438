"""What one entry knows of one replica: its load and its prefix cache.

Both reports lag and miss things, so what this entry did itself is added: a
burst must not all go to the replica that looked idle a moment ago.
"""

import bisect
from collections import OrderedDict, deque
from collections.abc import Sequence

import attrs

from celerytrack.ids import ReplicaId, Zone
from celerytrack.prompts import BLOCK_TOKENS

_MAX_SENDS = 4096
_CACHE_BLOCKS = 4096
_SLOWNESS_GAIN = 0.1
_SLOWNESS_RANGE = (0.5, 8.0)
_FAILURE_SLOWNESS = 2.0


@attrs.frozen
class Ask:
    """What a request needs of a replica.

    :ivar model: the model or plain service.
    :ivar priority: the class priority; 0 is refused last.
    :ivar blocks: hashes of the prompt's blocks (empty for plain services).
    :ivar output_tokens: the most tokens it may generate.
    """

    model: str
    priority: int
    blocks: tuple[int, ...] = ()
    output_tokens: int = 0


class PrefixIndex:
    """The prompt blocks a replica has probably cached, least recent first.

    Fed by what this entry sent there and by the replica's cache events,
    which come late and with gaps; bounded like the replica's own cache, so
    that what no event took back ages out here as it does there.
    """

    def __init__(self, capacity_blocks: int = _CACHE_BLOCKS) -> None:
        self.capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def touch(self, blocks: Sequence[int]) -> None:
        """These blocks of one prompt were used there just now.

        The first count as used last: the end of a prompt, which no other
        shares, gives way before the prefix that many share.
        """
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.capacity_blocks:
            self._blocks.popitem(last=False)

    def drop(self, block: int) -> None:
        """The replica evicted ``block``."""
        self._blocks.pop(block, None)

    def cached_blocks(self, blocks: Sequence[int]) -> int:
        """How many of the first blocks are there.

        A block is of use only with all before it, so the cached ones are a
        prefix, found by bisection.
        """
        return bisect.bisect_left(
            range(len(blocks)), True, key=lambda i: blocks[i] not in self._blocks
        )


@attrs.define
class _Sent:
    at_s: float
    prefill_tokens: int


@attrs.define
class ReplicaLoad:
    """One replica's load, report lag corrected.

    Times are wall-clock seconds, since reports carry the replica's own.

    :ivar capacity: sequences the replica batches at once.
    :ivar reported_running: sequences running or queued, per the last report.
    :ivar reported_prefill_tokens: prompt tokens not yet read in, the same.
    :ivar reported_at_s: the moment the report describes.
    :ivar in_flight: this entry's requests running there now.
    :ivar slowness: its first tokens' times over the predicted ones, averaged:
        what tells a slow or failing replica whose reports look well.
    """

    replica_id: ReplicaId
    zone: Zone
    model: str
    capacity: int = 16
    reported_running: int = 0
    reported_prefill_tokens: int = 0
    reported_at_s: float = 0.0
    in_flight: int = 0
    leaving: bool = False
    slowness: float = 1.0
    cache: PrefixIndex = attrs.field(factory=PrefixIndex)
    _sends: deque[_Sent] = attrs.field(factory=lambda: deque(maxlen=_MAX_SENDS))
    _sent_tokens: int = 0

    def estimate(self) -> int:
        """Estimated sequences running now."""
        return max(self.reported_running + len(self._sends), self.in_flight)

    def prefill_backlog(self, now_s: float, tokens_per_s: float) -> float:
        """Estimated prompt tokens waiting to be read in at ``now_s``.

        :param tokens_per_s: how fast the replica reads them.
        """
        drained = max(0.0, now_s - self.reported_at_s) * tokens_per_s
        return max(0.0, self.reported_prefill_tokens + self._sent_tokens - drained)

    def uncached_tokens(self, ask: Ask) -> int:
        """Prompt tokens of ``ask`` that this replica would have to read."""
        missing = len(ask.blocks) - self.cache.cached_blocks(ask.blocks)
        return missing * BLOCK_TOKENS

    def report(self, running: int, at_s: float, prefill_tokens: int = 0) -> None:
        """Take a load report describing ``at_s``; older ones are ignored."""
        if at_s < self.reported_at_s:
            return
        self.reported_running = running
        self.reported_prefill_tokens = prefill_tokens
        self.reported_at_s = at_s
        while self._sends and self._sends[0].at_s <= at_s:
            self._sent_tokens -= self._sends.popleft().prefill_tokens

    def sent(self, now_s: float, ask: Ask) -> None:
        """Count a request this entry sends at ``now_s``."""
        tokens = self.uncached_tokens(ask)
        if len(self._sends) == _MAX_SENDS:
            self._sent_tokens -= self._sends[0].prefill_tokens
        self._sends.append(_Sent(now_s, tokens))
        self._sent_tokens += tokens
        self.in_flight += 1
        self.cache.touch(ask.blocks)

    def finished(self) -> None:
        """Count a request of this entry's that ended."""
        self.in_flight = max(self.in_flight - 1, 0)

    def observed(self, took_s: float, predicted_s: float) -> None:
        """Learn from one first token: how long it took against the guess."""
        self._learn(took_s / max(predicted_s, 1e-3))

    def failed(self) -> None:
        """Learn from a failed attempt: as if it had been very slow."""
        self._learn(max(_FAILURE_SLOWNESS, self.slowness * _FAILURE_SLOWNESS))

    def _learn(self, ratio: float) -> None:
        low, high = _SLOWNESS_RANGE
        clipped = min(max(ratio, low), high)
        self.slowness += _SLOWNESS_GAIN * (clipped - self.slowness)
