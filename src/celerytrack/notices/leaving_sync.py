"""Tells the other entries which endpoints leave.

An endpoint says it to whoever it answers. An entry that hears it first tells the
endpoint's owner among the entries, which tells all others, repeats it for those whose
message was lost, and tells it to entries that start.
"""

from collections.abc import Callable, Iterable, Sequence

from celerytrack.ids import EndpointId
from celerytrack.limits.messages import MAX_REPORTS
from celerytrack.notices.leaving import LeavingTracker
from celerytrack.notices.messages import LeavingNews
from celerytrack.notices.owners import EndpointOwners

TOLD_S = 30.0
"""How long it is told; the log carries it by then."""
REPEAT_S = 1.0
"""First interval at which an owner repeats it, for those whose message was lost."""
ANNOUNCE_S = 5.0
"""Interval at which it repeats it later."""
TELL_OWNER_S = 2.0
"""How long an entry repeats it to the owner."""


class LeavingSync:
    """What this entry tells of endpoints that leave.

    :param send: sends a message to the entry at an address, without guarantee.
    """

    def __init__(
        self,
        tracker: LeavingTracker,
        owners: EndpointOwners,
        send: Callable[[str, LeavingNews], None],
    ) -> None:
        self._tracker = tracker
        self._owners = owners
        self._send = send
        self._told_from_s: dict[EndpointId, float] = {}
        self._next_repeat_s: dict[EndpointId, float] = {}
        self._owned: set[EndpointId] = set()

    def on_heard(self, endpoint_id: EndpointId, now_s: float) -> None:
        """Tell that an endpoint leaves, as this entry learns it."""
        self._told_from_s[endpoint_id] = now_s
        self._next_repeat_s[endpoint_id] = now_s + REPEAT_S
        if self._owners.is_own(endpoint_id):
            self._owned.add(endpoint_id)
            self._announce([endpoint_id], self._owners.peers.values(), now_s)
        else:
            self._tell_owner(endpoint_id, now_s)

    def on_told(self, endpoint_id: EndpointId, now_s: float) -> None:
        """Pass on what another entry told, if that is for this entry to do."""
        if self._owners.is_own(endpoint_id):
            self.on_heard(endpoint_id, now_s)
        else:
            # A later owner goes on telling it.
            self._told_from_s[endpoint_id] = now_s - TELL_OWNER_S
            self._next_repeat_s[endpoint_id] = now_s + ANNOUNCE_S

    def tell_joined(self, joined: Sequence[str], now_s: float) -> None:
        """Tell entries that joined what this one tells, or told until they did."""
        # One that joined may be the owner now, and knows nothing yet.
        own = {i for i in self._told_from_s if self._owners.is_own(i)}
        told = (self._owned | own).intersection(self._told_from_s)
        self._announce(sorted(told), joined, now_s)

    def tick(self, now_s: float) -> None:
        """Repeat what is due."""
        for endpoint_id, from_s in list(self._told_from_s.items()):
            if now_s - from_s > TOLD_S:
                del self._told_from_s[endpoint_id]
                del self._next_repeat_s[endpoint_id]
                self._owners.forget(endpoint_id)
            elif now_s - from_s < TELL_OWNER_S and not self._owners.is_own(endpoint_id):
                self._tell_owner(endpoint_id, now_s)
        own = [i for i in self._told_from_s if self._owners.is_own(i)]
        self._owned = set(own)
        due = [i for i in own if now_s >= self._next_repeat_s[i]]
        for endpoint_id in due:
            self._next_repeat_s[endpoint_id] = now_s + ANNOUNCE_S
        if due:
            self._announce(due, self._owners.peers.values(), now_s)

    def _tell_owner(self, endpoint_id: EndpointId, now_s: float) -> None:
        owner = self._owners.owner(endpoint_id)
        self._announce([endpoint_id], [self._owners.address_of(owner)], now_s)

    def _announce(
        self, endpoint_ids: Sequence[EndpointId], addresses: Iterable[str], now_s: float
    ) -> None:
        known = (self._tracker.report(i, now_s) for i in endpoint_ids)
        reports = [report for report in known if report is not None]
        for start in range(0, len(reports), MAX_REPORTS):
            some = tuple(reports[start : start + MAX_REPORTS])
            news = LeavingNews(self._owners.address, some)
            for address in addresses:
                self._send(address, news)
