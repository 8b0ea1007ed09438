"""Cache of finished answers by idempotency key, so that a retry gets the same answer.

The cache is bounded in bytes and evicts the least recently used answers. A retry
whose answer was evicted runs again but is not billed twice, since the ledger keeps
request ids for longer.
"""

import attrs
from cachetools import LRUCache

MAX_CACHE_BYTES = 16 * 1024 * 1024
_OVERHEAD_BYTES = 512


@attrs.frozen
class StoredAnswer:
    """The answer of a finished request.

    :ivar stream: the events of a streamed answer.
    :ivar text: the JSON text that a service call answered.
    """

    request_id: str
    stream: bytes = b""
    text: str = ""

    @property
    def size_bytes(self) -> int:
        """Approximate memory that the stored answer takes."""
        return len(self.stream) + len(self.text) + _OVERHEAD_BYTES


def _make_cache() -> LRUCache[str, StoredAnswer]:
    return LRUCache(MAX_CACHE_BYTES, getsizeof=lambda answer: answer.size_bytes)


@attrs.define
class AnswerCache:
    """Finished answers, and the keys of requests in progress, by ``account:key``."""

    done: LRUCache[str, StoredAnswer] = attrs.field(factory=_make_cache)
    in_progress: set[str] = attrs.field(factory=set)

    def get(self, key: str) -> StoredAnswer | None:
        return self.done.get(key)

    def put(self, key: str, answer: StoredAnswer) -> None:
        """Store ``answer`` for ``key`` unless it is larger than the whole cache."""
        if answer.size_bytes <= MAX_CACHE_BYTES:
            self.done[key] = answer
