"""Which other entry a request goes through while this entry reaches no endpoint.
Without I/O."""

import collections
import math
import random
from collections.abc import Collection, Iterable

import attrs

from celerytrack.ids import EntryId, ServiceName, Zone
from celerytrack.reachability.messages import LinkNews
from celerytrack.verdict import Reason

NEWS_TTL_S = 3.5
"""How long an entry's links count as down without further news; it repeats them each
second."""
REFUSED_S = 1.0
"""How long an entry that refused to help with a service is passed over."""
UNREACHABLE_S = 2.0
"""How long an entry that could not be reached is passed over."""
MAX_HELPERS = 3
"""Entries that one attempt asks, one after the other; each refuses at once."""
PROVEN_S = 3.0
"""How long an entry counts as one that helps after it has served a request."""
EXPLORE_SHARE = 0.1
"""Share of the requests that go to entries of which nothing is known, while others
refuse: the ones that help must not get all load for ever."""
_PASSED_OVER = frozenset({Reason.ISOLATED, Reason.DRAINING, Reason.NO_CONFIG})
"""Reasons for which an entry would refuse the next request too."""
OTHER_ZONE_REQUESTS = 2
"""Requests in progress at a helper in this entry's zone that weigh as much as the
way to another zone."""


@attrs.frozen
class Helper:
    """An entry that requests may go through.

    :ivar address: its peer address.
    """

    entry_id: EntryId
    address: str
    zone: Zone


@attrs.frozen
class _KnownNews:
    news: LinkNews
    read_at_s: float


class PeerLinks:
    """The links of other entries to endpoints, by their own news."""

    def __init__(self) -> None:
        self._known: dict[EntryId, _KnownNews] = {}

    def record(self, news: LinkNews, now_s: float) -> bool:
        """Record news of another entry; returns whether they change anything."""
        known = self._known.get(news.entry_id)
        if known is not None and _is_older(news, known.news):
            # An instance that started again counts from the beginning.
            if now_s - known.read_at_s < NEWS_TTL_S:
                return False
        self._known[news.entry_id] = _KnownNews(news, now_s)
        before = known.news.services if known is not None else frozenset()
        return news.services != before

    def is_down(self, entry: EntryId, service: ServiceName, now_s: float) -> bool:
        """Whether the links of ``entry`` to a service are down."""
        known = self._known.get(entry)
        return (
            known is not None
            and service in known.news.services
            and now_s - known.read_at_s < NEWS_TTL_S
        )

    def count_down(
        self, entries: Iterable[EntryId], service: ServiceName, now_s: float
    ) -> int:
        """How many of ``entries`` have no links to a service."""
        if not self._known:
            return 0
        return sum(self.is_down(entry, service, now_s) for entry in entries)

    def expire(self, now_s: float) -> None:
        """Forget news that are too old."""
        old = [e for e, k in self._known.items() if now_s - k.read_at_s > NEWS_TTL_S]
        for entry in old:
            del self._known[entry]


def _is_older(news: LinkNews, known: LinkNews) -> bool:
    return (news.started_s, news.number) < (known.started_s, known.number)


@attrs.define
class HelperChoice:
    """Chooses among the entries that may help.

    :ivar zone: the zone of this entry.
    :ivar peer_links: what other entries say of their links.
    """

    zone: Zone
    rng: random.Random
    peer_links: PeerLinks = attrs.field(factory=PeerLinks)
    _in_progress: collections.Counter[EntryId] = attrs.field(
        factory=collections.Counter
    )
    _served_at_s: dict[tuple[EntryId, ServiceName], float] = attrs.field(factory=dict)
    _passed_over_until_s: dict[tuple[EntryId, ServiceName], float] = attrs.field(
        factory=dict
    )

    def choose(
        self,
        helpers: Iterable[Helper],
        service: ServiceName,
        tried: Collection[EntryId],
        now_s: float,
    ) -> Helper | None:
        """The entry to go through; ``None`` if there is none.

        :param tried: entries that refused this request.
        """
        candidates = [
            helper
            for helper in helpers
            if helper.entry_id not in tried and self._may_help(helper, service, now_s)
        ]
        if not candidates:
            return None
        if self._are_some_passed_over(service, now_s):
            candidates = self._prefer_proven(candidates, service, now_s)
        return min(candidates, key=lambda h: (self._cost(h), self.rng.random()))

    def record_served(self, entry: EntryId, service: ServiceName, now_s: float) -> None:
        """Record that a request was served through an entry, or is said to be."""
        self._served_at_s[entry, service] = now_s

    def proven(self, service: ServiceName, now_s: float) -> EntryId | None:
        """An entry that lately served a request; ``None`` if none is known."""
        proven = [
            entry
            for (entry, known_service), at_s in self._served_at_s.items()
            if known_service == service and now_s - at_s < PROVEN_S
        ]
        return self.rng.choice(proven) if proven else None

    def record_refused(
        self,
        entry: EntryId,
        service: ServiceName,
        reason: Reason,
        named: EntryId | None,
        now_s: float,
    ) -> None:
        """Record that an entry did not send a request; it is passed over for a while if
        it would not send the next one.

        :param named: an entry that helps, as the one that refused says.
        """
        if reason in _PASSED_OVER:
            self._passed_over_until_s[entry, service] = now_s + REFUSED_S
        if named is not None:
            self.record_served(named, service, now_s)

    def record_unreachable(
        self, entry: EntryId, service: ServiceName, now_s: float
    ) -> None:
        """Record that an entry could not be reached, or takes no requests."""
        self._passed_over_until_s[entry, service] = now_s + UNREACHABLE_S

    def begin(self, helper: Helper) -> None:
        """Count a request that goes through ``helper``."""
        self._in_progress[helper.entry_id] += 1

    def end(self, helper: Helper) -> None:
        """Count the end of a request that went through ``helper``."""
        self._in_progress[helper.entry_id] -= 1

    def expire(self, now_s: float) -> None:
        """Forget what is over."""
        self.peer_links.expire(now_s)
        over = [
            k for k, until_s in self._passed_over_until_s.items() if until_s <= now_s
        ]
        for key in over:
            del self._passed_over_until_s[key]
        served = self._served_at_s
        self._served_at_s = {k: s for k, s in served.items() if now_s - s < PROVEN_S}

    def _are_some_passed_over(self, service: ServiceName, now_s: float) -> bool:
        return any(
            known_service == service and until_s > now_s
            for (_, known_service), until_s in self._passed_over_until_s.items()
        )

    def _prefer_proven(
        self, candidates: list[Helper], service: ServiceName, now_s: float
    ) -> list[Helper]:
        """Those that served lately, while others refuse and no news tell which."""
        proven = [
            helper
            for helper in candidates
            if now_s - self._served_at_s.get((helper.entry_id, service), -math.inf)
            < PROVEN_S
        ]
        if not proven or self.rng.random() < EXPLORE_SHARE:
            return candidates
        return proven

    def _may_help(self, helper: Helper, service: ServiceName, now_s: float) -> bool:
        until_s = self._passed_over_until_s.get((helper.entry_id, service), now_s)
        if until_s > now_s:
            return False
        return not self.peer_links.is_down(helper.entry_id, service, now_s)

    def _cost(self, helper: Helper) -> int:
        far = 0 if helper.zone == self.zone else OTHER_ZONE_REQUESTS
        return self._in_progress[helper.entry_id] + far
