"""Which entry owns an endpoint that is limited or leaves, by the live entries.

Every entry ranks the live entries for an endpoint by the same rendezvous hash. The
first is the endpoint's *owner*, the second its *standby*. Without I/O.
"""

import random
from collections.abc import Callable, Iterable

import attrs

from celerytrack.ids import EndpointId, EntryId
from celerytrack.routing.rendezvous import rendezvous

SETTLE_S = 4.0
"""Time after which all entries have noticed a change of the membership: heartbeats are
missed for as long before an entry counts as silent."""
STALE_VIEW_S = 1.0
"""Age of the membership from which an owner checks whether the others hear it. If they
don't, they notice its silence later, and another owner follows it."""
CHECK_S = 0.25
"""Shortest time that the others have for their replies."""
MAX_CHECKED = 10
"""Most entries that are asked in one check."""
JOIN_FANOUT = 3
"""Entries that tell one that joined all they know: one may see it late, one message may
be lost."""
FREEZE_S = 2.0
"""A longer pause between two updates means that the process stood still."""


@attrs.frozen
class Peer:
    """Another live entry.

    :ivar incarnation: changes as the entry restarts.
    """

    entry_id: EntryId
    address: str
    incarnation: str = ""


class EndpointOwners:
    """The live entries, and the owners of endpoints among them.

    :param view_age_s: returns how old the membership is that this entry knows.
    :ivar address: peer address of this entry.
    :ivar peers: addresses of the other live entries.
    :ivar settled_at_s: when the last change of the membership will have been noticed
        by all entries.
    """

    def __init__(
        self,
        entry_id: EntryId,
        address: str,
        started_s: float,
        view_age_s: Callable[[float], float] = lambda now_s: 0.0,
    ) -> None:
        self._rng = random.Random(entry_id)
        self.address = address
        self.peers: dict[EntryId, str] = {}
        self._live: dict[EntryId, Peer] = {}
        self.settled_at_s = started_s + SETTLE_S
        self._entry_id = entry_id
        self._leaving = False
        self._updated_at_s = started_s
        self._view_age_s = view_age_s
        self._checked_at_s = started_s
        self._unanswered: set[str] = set()
        self._answered: set[str] = set()
        self._isolated = False
        self._rankings: dict[EndpointId, list[EntryId]] = {}

    def ranking(self, endpoint_id: EndpointId) -> list[EntryId]:
        """The owner of an endpoint and its standby, if there is one."""
        ranked = self._rankings.get(endpoint_id)
        if ranked is None:
            candidates = [*self.peers]
            if not self._leaving or not candidates:
                candidates.append(self._entry_id)
            ranked = [EntryId(i) for i in rendezvous(endpoint_id, candidates, 2)]
            self._rankings[endpoint_id] = ranked
        return ranked

    def owner(self, endpoint_id: EndpointId) -> EntryId:
        """The owner of an endpoint."""
        return self.ranking(endpoint_id)[0]

    def is_own(self, endpoint_id: EndpointId) -> bool:
        """Whether this entry owns an endpoint."""
        return self.owner(endpoint_id) == self._entry_id

    def may_grant(self, endpoint_id: EndpointId) -> bool:
        """Whether this entry is the owner or the standby of an endpoint."""
        return self._entry_id in self.ranking(endpoint_id)

    def address_of(self, entry_id: EntryId) -> str:
        """Peer address of a live entry, which may be this one."""
        return self.address if entry_id == self._entry_id else self.peers[entry_id]

    def tells_joined(self, address: str) -> bool:
        """Whether this entry is among those that tell one that joined all they know."""
        others = [i for i, known in self.peers.items() if known != address]
        tellers = rendezvous(address, [*others, self._entry_id], JOIN_FANOUT)
        return self._entry_id in tellers

    def begin_leaving(self) -> None:
        """Leave this entry out: a planned stop has begun."""
        self._leaving = True
        self._rankings.clear()

    def update(self, peers: Iterable[Peer], now_s: float) -> list[str] | None:
        """Record the other live entries.

        :returns: the addresses of those that joined or restarted; ``None`` if nothing
            changed.
        """
        live = {peer.entry_id: peer for peer in peers}
        if live == self._live:
            return None
        joined = [p.address for i, p in live.items() if self._live.get(i) != p]
        self._live = live
        addresses = {i: peer.address for i, peer in live.items()}
        if addresses != self.peers:
            self.peers = addresses
            self.settled_at_s = now_s + SETTLE_S
            self._rankings.clear()
        return joined

    @property
    def is_isolated(self) -> bool:
        """Whether this entry was cut off from the others and the log at the last check:
        another owner of its endpoints may follow without its knowing."""
        return self._isolated

    def record_reply(self, address: str) -> None:
        """Record that an entry replied to a check."""
        if address in self._unanswered:
            self._unanswered.discard(address)
            self._answered.add(address)

    def end_check(self, now_s: float) -> bool:
        """End the last check: this entry is isolated if fewer than half replied.

        :returns: whether it became isolated, or is so no longer.
        """
        if now_s - self._checked_at_s < CHECK_S:
            return False
        isolated = len(self._answered) < len(self._unanswered)
        changed = isolated is not self._isolated
        self._isolated = isolated
        if changed and not isolated:
            self.settled_at_s = now_s + SETTLE_S
        return changed

    def begin_check(self, now_s: float) -> list[str]:
        """Begin a check if the membership is stale.

        :returns: the addresses of the entries to ask.
        """
        if now_s - self._checked_at_s < CHECK_S:
            return []
        self._checked_at_s = now_s
        asked: list[str] = []
        if self._view_age_s(now_s) > STALE_VIEW_S:
            addresses = list(self.peers.values())
            asked = self._rng.sample(addresses, min(MAX_CHECKED, len(addresses)))
        self._unanswered, self._answered = set(asked), set()
        return asked

    def detect_freeze(self, now_s: float) -> bool:
        """Whether the process stood still since the last call.

        Another entry may own its endpoints meanwhile.
        """
        froze = now_s - self._updated_at_s > FREEZE_S
        if froze:
            self.settled_at_s = now_s + SETTLE_S
        self._updated_at_s = now_s
        return froze

    def forget(self, endpoint_id: EndpointId) -> None:
        """Forget the ranking for an endpoint that is gone."""
        self._rankings.pop(endpoint_id, None)
