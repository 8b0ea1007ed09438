"""Answers kept by idempotency key, so a retry gets the same answer.

Bounded in bytes; the answers least recently used are forgotten first. A
retry whose answer was forgotten runs again and is still not billed twice:
the ledger remembers request ids for longer.
"""

import json
from typing import Any

import attrs
from cachetools import LRUCache

KEPT_BYTES = 16 * 1024 * 1024
_OVERHEAD_BYTES = 512


@attrs.frozen
class StoredAnswer:
    """A finished request's answer: a stream's events or a service's JSON."""

    request_id: str
    stream: bytes = b""
    body: Any = None

    @property
    def size_bytes(self) -> int:
        """About what keeping it costs."""
        body = 0 if self.body is None else len(json.dumps(self.body))
        return len(self.stream) + body + _OVERHEAD_BYTES


def _cache() -> LRUCache[str, StoredAnswer]:
    return LRUCache(KEPT_BYTES, getsizeof=lambda answer: answer.size_bytes)


@attrs.define
class AnswerCache:
    """Finished answers and keys in progress, by ``account:key``."""

    done: LRUCache[str, StoredAnswer] = attrs.field(factory=_cache)
    running: set[str] = attrs.field(factory=set)

    def get(self, key: str) -> StoredAnswer | None:
        """The stored answer for ``key``, or ``None``."""
        return self.done.get(key)

    def put(self, key: str, answer: StoredAnswer) -> None:
        """Keep ``answer`` for ``key``, if it is not too large to keep."""
        if answer.size_bytes <= KEPT_BYTES:
            self.done[key] = answer
