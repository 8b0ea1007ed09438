"""Questions to other entries that are not answered yet."""

import asyncio
import collections
import contextlib
import itertools
from collections.abc import Iterator

import attrs

from celerytrack.ids import AccountId, EntryId
from celerytrack.origins.memory import FoundOrigin
from celerytrack.origins.messages import OriginAnswer

MAX_LOOKUPS = 128
"""Most questions at once, which bounds what invented streams cost."""
MAX_LOOKUPS_OF_ACCOUNT = 32
"""Most questions at once for one client account."""


@attrs.define
class Lookup:
    """One question.

    :ivar number: by which answers name it.
    :ivar awaited: entries that have not answered.
    :ivar found: the first answer that says what began the stream.
    :ivar found_by: the entry that gave it.
    :ivar heard: whether any entry has answered.
    :ivar changed: set when nothing more is awaited.
    """

    number: int
    awaited: set[EntryId] = attrs.field(factory=set)
    found: FoundOrigin | None = None
    found_by: EntryId | None = None
    heard: bool = False
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)


class Lookups:
    """The questions in progress."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._open: dict[int, Lookup] = {}
        self._by_account: collections.Counter[AccountId | None] = collections.Counter()

    @contextlib.contextmanager
    def open(self, account: AccountId | None) -> Iterator[Lookup | None]:
        """A new question for ``account``; ``None`` if there are too many."""
        if (
            len(self._open) >= MAX_LOOKUPS
            or self._by_account[account] >= MAX_LOOKUPS_OF_ACCOUNT
        ):
            yield None
            return
        lookup = Lookup(next(self._numbers))
        self._open[lookup.number] = lookup
        self._by_account[account] += 1
        try:
            yield lookup
        finally:
            del self._open[lookup.number]
            self._by_account[account] -= 1
            if not self._by_account[account]:
                del self._by_account[account]

    def receive(self, answer: OriginAnswer) -> None:
        """Apply an answer; one that comes late or unasked counts for nothing."""
        lookup = self._open.get(answer.number)
        if lookup is None or answer.entry_id not in lookup.awaited:
            return
        lookup.awaited.discard(answer.entry_id)
        lookup.heard = True
        if lookup.found is None and answer.found is not None:
            lookup.found, lookup.found_by = answer.found, answer.entry_id
        if lookup.found is not None or not lookup.awaited:
            lookup.changed.set()
