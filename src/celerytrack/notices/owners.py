"""Which entry owns a limited endpoint, by the live entries.

Every entry ranks the live entries for an endpoint by the same rendezvous hash. The
first is the endpoint's *owner*, the second its *standby*. Without I/O.
"""

from collections.abc import Iterable

import attrs

from celerytrack.ids import EndpointId, EntryId
from celerytrack.routing import rendezvous

SETTLE_S = 4.0
"""Time after which all entries have noticed a change of the membership: heartbeats are
missed for as long before an entry counts as silent."""
FREEZE_S = 2.0
"""A longer pause between two updates means that the process stood still."""


@attrs.frozen
class Peer:
    """Another live entry."""

    entry_id: EntryId
    address: str


class EndpointOwners:
    """The live entries, and the owners of endpoints among them.

    :ivar address: peer address of this entry.
    :ivar peers: addresses of the other live entries.
    :ivar settled_at_s: when the last change of the membership will have been noticed
        by all entries.
    """

    def __init__(self, entry_id: EntryId, address: str, started_s: float) -> None:
        self.address = address
        self.peers: dict[EntryId, str] = {}
        self.settled_at_s = started_s + SETTLE_S
        self._entry_id = entry_id
        self._leaving = False
        self._updated_at_s = started_s
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

    def begin_leaving(self) -> None:
        """Leave this entry out: a planned stop has begun."""
        self._leaving = True
        self._rankings.clear()

    def update(self, peers: Iterable[Peer], now_s: float) -> list[str] | None:
        """Record the other live entries.

        :returns: the addresses of those that joined; ``None`` if nothing changed.
        """
        peers_by_id = {peer.entry_id: peer.address for peer in peers}
        if peers_by_id == self.peers:
            return None
        joined = [a for i, a in peers_by_id.items() if i not in self.peers]
        self.peers = peers_by_id
        self.settled_at_s = now_s + SETTLE_S
        self._rankings.clear()
        return joined

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
