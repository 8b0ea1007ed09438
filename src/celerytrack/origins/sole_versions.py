"""What proves that a service has had one version only.

A view of the registrations that was read at some time supports it for a while
(:data:`VIEW_LEASE_S`): a stream begins at a new version only after that. If the view of
this entry is too old, the same follows from

- its own next read, which is made at once,
- a view of another entry, or what that one has proved,
- all entries together, whatever the age of their views: whoever reads another version
  lets no stream begin there for as long.

A few entries, the keepers of a service, ask all others on behalf of those that ask
them.
"""

import asyncio
import itertools
import math
import time
from collections.abc import Callable, Collection

import attrs

from celerytrack.ids import EntryId, ServiceName
from celerytrack.origins.messages import (
    OriginMessage,
    SoleVersionAnswer,
    SoleVersionQuery,
)
from celerytrack.origins.ring import Holder
from celerytrack.routing.rendezvous import rendezvous
from celerytrack.routing.versions import VIEW_LEASE_S

KEEPERS = 3
"""Entries that ask all others about a service."""
ASK_AFTER_S = (0.0, 0.06, 0.14)
"""When the entries that have not answered are asked, from the begin of a round on."""
ROUND_S = 0.28
"""Longest that a take-up waits for a proof."""
ROUND_PAUSE_S = 0.25
"""Time after a round without a proof in which no other begins."""
PAUSE_PER_ENTRY_S = 0.005
"""The same for each entry that was asked, more."""
MOST_LOST_SHARE = 0.25
"""Share of the entries asked that are asked again, if they are no more: that many
messages may be lost. If more don't answer, they are cut off."""


@attrs.frozen
class SoleView:
    """The only version of a service, and when nothing showed another.

    :ivar read_at_s: begin of the read of the registrations, or of what is worth the
        same.
    """

    version: str
    read_at_s: float


@attrs.define(eq=False)
class _Round:
    """Questions about a service that take-ups wait for.

    :ivar asked: the entries whose answers together prove it, if all others are asked.
    :ivar askers: the entries on whose behalf others are asked, with their numbers.
    """

    number: int
    service: ServiceName
    version: str
    began_s: float
    asked: dict[EntryId, str] = attrs.field(factory=dict)
    answered: set[EntryId] = attrs.field(factory=set)
    asks_all: bool = False
    askers: dict[EntryId, int] = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: "asyncio.Task[None] | None" = None


class SoleVersions:
    """The services that are proved to have had one version only.

    :param send: sends a message to the entry at an address, without guarantee.
    :param peers: returns the other entries that may have begun streams lately.
    :param view_of: returns what the registrations read here say of a service; ``None``
        if it has several versions, or is not known well enough.
    :param read_now: has the registrations read at once.
    :param address_of: returns the address of an entry, also of one that is silent on
        the log: cut off from it, it asks.
    """

    def __init__(
        self,
        entry_id: EntryId,
        send: Callable[[str, OriginMessage], None],
        peers: Callable[[float], Collection[Holder]],
        view_of: Callable[[ServiceName, float], SoleView | None],
        read_now: Callable[[], None],
        address_of: Callable[[EntryId], str | None],
    ) -> None:
        self._entry_id = entry_id
        self._send = send
        self._peers = peers
        self._view_of = view_of
        self._read_now = read_now
        self._address_of = address_of
        self._numbers = itertools.count()
        self._proofs: dict[ServiceName, SoleView] = {}
        self._rounds: dict[ServiceName, _Round] = {}
        self._paused_until_s: dict[ServiceName, float] = {}

    def known(self, service: ServiceName, now_s: float) -> SoleView | None:
        """The newest proof that a service has had one version only."""
        view = self._view_of(service, now_s)
        proof = self._proofs.get(service)
        if view is None or proof is None or proof.version != view.version:
            return view
        return max(view, proof, key=lambda known: known.read_at_s)

    def supported(
        self, service: ServiceName, began_before_s: float, now_s: float
    ) -> str | None:
        """The only version that can have begun a stream of a service, if that is known.

        :param began_before_s: a time before which the stream began.
        """
        view = self.known(service, now_s)
        if view is None or began_before_s - view.read_at_s > VIEW_LEASE_S:
            return None
        return view.version

    async def find(self, service: ServiceName, began_before_s: float) -> str | None:
        """Like :meth:`supported`, after a question to others if need be."""
        now_s = time.monotonic()
        version = self.supported(service, began_before_s, now_s)
        if version is not None:
            return version
        current = self._begin_round(service, now_s)
        if current is None or current.task is None:
            return None
        await asyncio.shield(current.task)
        return self.supported(service, began_before_s, time.monotonic())

    def receive(
        self, message: SoleVersionQuery | SoleVersionAnswer, now_s: float
    ) -> None:
        """Apply a message of another entry."""
        match message:
            case SoleVersionQuery():
                self._answer(message, now_s)
            case SoleVersionAnswer():
                self._apply_answer(message)

    def on_view(self) -> None:
        """Tell those that wait that the registrations were read."""
        for current in self._rounds.values():
            current.changed.set()

    async def close(self) -> None:
        """End the questions in progress."""
        tasks = [r.task for r in self._rounds.values() if r.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _begin_round(self, service: ServiceName, now_s: float) -> _Round | None:
        """The round about a service that is in progress, or a new one."""
        current = self._rounds.get(service)
        if current is not None:
            return current
        view = self.known(service, now_s)
        if view is None or now_s < self._paused_until_s.get(service, -math.inf):
            return None
        current = _Round(next(self._numbers), service, view.version, now_s)
        self._rounds[service] = current
        current.task = asyncio.create_task(self._run(current))
        return current

    async def _run(self, current: _Round) -> None:
        self._read_now()
        try:
            for wait_until_s in (*ASK_AFTER_S[1:], ROUND_S):
                self._ask(current, is_last=wait_until_s == ROUND_S)
                if await self._is_supported_by(current, current.began_s + wait_until_s):
                    self._tell_askers(current)
                    return
            pause_s = ROUND_PAUSE_S + PAUSE_PER_ENTRY_S * len(current.asked)
            self._paused_until_s[current.service] = time.monotonic() + pause_s
        finally:
            del self._rounds[current.service]

    async def _is_supported_by(self, current: _Round, until_s: float) -> bool:
        """Wait for a proof that supports take-ups that come now."""
        while True:
            now_s = time.monotonic()
            if self.supported(current.service, now_s, now_s) is not None:
                return True
            if now_s >= until_s:
                return False
            current.changed.clear()
            try:
                async with asyncio.timeout(until_s - now_s):
                    await current.changed.wait()
            except TimeoutError:
                continue

    def _ask(self, current: _Round, is_last: bool) -> None:
        peers = {p.entry_id: p.address for p in self._peers(time.monotonic())}
        entries = [self._entry_id, *peers]
        keepers = rendezvous(current.service, entries, KEEPERS)
        if self._entry_id in keepers or current.askers:
            current.asks_all = True
        elif not is_last:
            # Each keeper answers a part of the entries, unless another one is silent.
            keepers = rendezvous(self._entry_id, keepers, 1)
        chosen = {
            entry_id: address
            for entry_id, address in peers.items()
            if current.asks_all or entry_id in keepers
        }
        new = [e for e in chosen if e not in current.asked]
        missing = [e for e in current.asked if e not in current.answered]
        current.asked.update(chosen)
        most_lost = max(KEEPERS, MOST_LOST_SHARE * len(current.asked))
        again = missing if len(missing) <= most_lost else []
        query = SoleVersionQuery(
            self._entry_id, current.number, current.service, not current.asks_all
        )
        for entry_id in (*new, *again):
            self._send(current.asked[entry_id], query)
        self._conclude(current)

    def _answer(self, query: SoleVersionQuery, now_s: float) -> None:
        address = self._address_of(query.asker)
        if address is None:
            return
        view = self.known(query.service, now_s)
        is_old = view is not None and now_s - view.read_at_s > VIEW_LEASE_S
        if is_old and query.passes_on:
            current = self._begin_round(query.service, now_s)
            if current is not None:
                current.askers[query.asker] = query.number
            return
        self._send_answer(address, query.number, view, now_s)

    def _tell_askers(self, current: _Round) -> None:
        now_s = time.monotonic()
        view = self.known(current.service, now_s)
        for asker, number in current.askers.items():
            address = self._address_of(asker)
            if address is not None:
                self._send_answer(address, number, view, now_s)

    def _send_answer(
        self, address: str, number: int, view: SoleView | None, now_s: float
    ) -> None:
        version = None if view is None else view.version
        age_s = 0.0 if view is None else max(0.0, now_s - view.read_at_s)
        answer = SoleVersionAnswer(self._entry_id, number, version, age_s)
        self._send(address, answer)

    def _apply_answer(self, answer: SoleVersionAnswer) -> None:
        for current in self._rounds.values():
            if current.number != answer.number:
                continue
            if answer.entry_id in current.asked and answer.version == current.version:
                current.answered.add(answer.entry_id)
                # Its view was read before it answered, and it answered after that.
                self._record_proof(current, current.began_s - answer.age_s)
                self._conclude(current)

    def _conclude(self, current: _Round) -> None:
        """Conclude from the answers of all entries, once there are all."""
        if current.asks_all and current.answered >= current.asked.keys():
            self._record_proof(current, current.began_s)

    def _record_proof(self, current: _Round, read_at_s: float) -> None:
        known = self._proofs.get(current.service)
        if (
            known is None
            or known.version != current.version
            or known.read_at_s < read_at_s
        ):
            self._proofs[current.service] = SoleView(current.version, read_at_s)
        current.changed.set()
