"""Answers kept by idempotency key, so a retry gets the same answer.

Bounded: the oldest answers are forgotten first.
"""

from collections import OrderedDict
from typing import Any

import attrs

_KEEP = 20000


@attrs.frozen
class StoredAnswer:
    """A finished request's answer: streamed text or a service's JSON."""

    request_id: str
    text: str = ""
    body: Any = None


@attrs.define
class AnswerCache:
    """Finished answers and keys in progress, by ``account:key``."""

    done: OrderedDict[str, StoredAnswer] = attrs.field(factory=OrderedDict)
    running: set[str] = attrs.field(factory=set)

    def get(self, key: str) -> StoredAnswer | None:
        """The stored answer for ``key``, or ``None``."""
        return self.done.get(key)

    def put(self, key: str, answer: StoredAnswer) -> None:
        """Keep ``answer`` for ``key``."""
        self.done[key] = answer
        while len(self.done) > _KEEP:
            self.done.popitem(last=False)
