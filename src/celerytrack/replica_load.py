"""What one entry knows of one replica: its load and its prefix cache.

A replica's own reports lag, so they are used only for what nothing fresher
tells: an entry knows exactly what it has running there itself, and hears
from its peers several times a second what they have.
"""

import bisect
from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import NamedTuple

import attrs

from celerytrack.ids import EntryId, ReplicaId, Zone
from celerytrack.prompts import BLOCK_TOKENS

PEER_LOAD_TTL_S = 1.0
"""How long what a peer said of its own load counts."""
_HISTORY = 4096
_CACHE_BLOCKS = 4096
_SLOWNESS_GAIN = 0.1
_SLOWNESS_RANGE = (0.5, 8.0)
_EJECT_S = 0.5
_EJECT_GROWTH = 4
_EJECT_MAX_S = 30.0


@attrs.frozen
class Ask:
    """What a request needs of a replica.

    :ivar model: the model or plain service.
    :ivar priority: the class priority; 0 is refused last.
    :ivar blocks: hashes of the prompt's blocks (empty for plain services).
    """

    model: str
    priority: int
    blocks: tuple[int, ...] = ()


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


class Load(NamedTuple):
    """Work at a replica; a tuple, since every choice makes many of them.

    :ivar running: sequences (or calls) running or queued.
    :ivar prefill_tokens: prompt tokens that are still to be read in.
    """

    running: int = 0
    prefill_tokens: int = 0


@attrs.define
class Attempt:
    """One request sent to a replica, until it ends.

    :ivar prefill_tokens: prompt tokens counted as not read in yet.
    :ivar predicted_s: the first token's time as predicted when it was sent.
    :ivar answered: whether its first token came.
    """

    replica: "ReplicaLoad"
    sent_at_s: float
    prefill_tokens: int
    predicted_s: float
    answered: bool = False

    def record_first_token(self, now_s: float) -> None:
        """Its first token came: the prompt is read in."""
        self.answered = True
        self.replica._read_in(self.prefill_tokens)
        self.prefill_tokens = 0
        self.replica._learn((now_s - self.sent_at_s) / max(self.predicted_s, 1e-3))

    def finish(self, now_s: float) -> None:
        """It ended, well or not."""
        self.replica._read_in(self.prefill_tokens)
        self.prefill_tokens = 0
        self.replica._ended(now_s)


@attrs.define
class ReplicaLoad:
    """One replica's load as this entry sees it.

    Times are wall-clock seconds, since reports carry the replica's own.

    :ivar capacity: sequences the replica batches at once.
    :ivar own: what this entry has there now.
    :ivar peers: what each peer said it has there, and when.
    :ivar reported: the replica's last report, which lags.
    :ivar reported_at_s: the moment the report describes.
    :ivar slowness: its first tokens' times over the predicted ones, averaged:
        what tells a slow replica whose reports look well.
    :ivar ejected_until_s: takes no new work before, after failed attempts.
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
    cache: PrefixIndex = attrs.field(factory=PrefixIndex)
    _own_history: deque[tuple[float, Load]] = attrs.field(
        factory=lambda: deque([(0.0, Load())], maxlen=_HISTORY)
    )
    """``(time, own from then on)``, from just before the last report."""
    _failures: int = 0

    def load(self, now_s: float) -> Load:
        """All work there at ``now_s``: this entry's own and that of others.

        Others' work is what peers said lately. With no fresh word from any
        (this entry is cut off, or alone), it is what the last report shows
        beyond what this entry had there at that moment: adding later sends
        to the whole report would count those twice that ended since, and
        make a busy replica look full.
        """
        running, prefill_tokens = self.own
        heard = False
        for at_s, peer in self.peers.values():
            if now_s - at_s <= PEER_LOAD_TTL_S:
                heard = True
                running += peer.running
                prefill_tokens += peer.prefill_tokens
        if not heard:
            then = self._own_history[0][1]
            running += max(0, self.reported.running - then.running)
            prefill_tokens += max(0, self.reported.prefill_tokens - then.prefill_tokens)
        return Load(running, prefill_tokens)

    def uncached_tokens(self, ask: Ask) -> int:
        """Prompt tokens of ``ask`` that this replica would have to read."""
        missing = len(ask.blocks) - self.cache.cached_blocks(ask.blocks)
        return missing * BLOCK_TOKENS

    def report(self, load: Load, at_s: float) -> None:
        """Take a load report describing ``at_s``; older ones are ignored."""
        if at_s < self.reported_at_s:
            return
        self.reported = load
        self.reported_at_s = at_s
        while len(self._own_history) > 1 and self._own_history[1][0] <= at_s:
            self._own_history.popleft()

    def record_peer_load(self, peer: EntryId, load: Load, now_s: float) -> None:
        """Take a peer's word on what it has here."""
        self.peers[peer] = (now_s, load)

    def begin_attempt(self, ask: Ask, predicted_s: float, now_s: float) -> Attempt:
        """Count a request this entry sends at ``now_s``."""
        tokens = self.uncached_tokens(ask)
        self._set_own(1, tokens, now_s)
        self.cache.touch(ask.blocks)
        return Attempt(self, now_s, tokens, predicted_s)

    @property
    def is_healthy(self) -> bool:
        """Whether its last attempt went well."""
        return self._failures == 0

    def can_take_request(self, now_s: float) -> bool:
        """Whether it may take work at ``now_s``: after failures, one request
        at a time once the ejection is over, so a trial costs one retry."""
        if self.is_healthy:
            return True
        return now_s >= self.ejected_until_s and self.own.running == 0

    def record_success(self) -> None:
        """An attempt here went well: it is trusted again."""
        self._failures = 0
        self.ejected_until_s = 0.0

    def record_failure(self, now_s: float) -> None:
        """An attempt here failed: no new work for a while, longer each time.

        A replica that fails at once looks idle, so without this it would
        draw every request and use up the retries of all of them.
        """
        self._failures += 1
        away_s = _EJECT_S * _EJECT_GROWTH ** min(self._failures - 1, 4)
        self.ejected_until_s = now_s + min(away_s, _EJECT_MAX_S)

    def _read_in(self, tokens: int) -> None:
        if tokens:
            self._set_own(0, -tokens, self._own_history[-1][0])

    def _ended(self, now_s: float) -> None:
        self._set_own(-1, 0, now_s)

    def _set_own(self, running: int, tokens: int, now_s: float) -> None:
        self.own = Load(
            max(0, self.own.running + running),
            max(0, self.own.prefill_tokens + tokens),
        )
        self._own_history.append((now_s, self.own))

    def _learn(self, ratio: float) -> None:
        low, high = _SLOWNESS_RANGE
        clipped = min(max(ratio, low), high)
        self.slowness += _SLOWNESS_GAIN * (clipped - self.slowness)
