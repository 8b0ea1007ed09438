"""Which endpoint a request is sent to, without I/O.

Every entry sees only its own share of the work. It assumes that the others
choose as it does, so what it has running at an endpoint stands for as many times
more as the fleet does more work than this entry (``load_times``).

Prompts share parts. A part is read once and then kept by the engine, so that
requests of one session should meet at one engine, whichever entry they come
through. All entries rank the engines of a session by the same rendezvous
hash and so agree on its *home* and its second home without a message; they
leave these only when another engine's predicted first token is much earlier.
"""

import enum
import heapq
import random
from collections.abc import Iterable, Sequence

from cachetools import LRUCache

from celerytrack.endpoint import Choice, Endpoint, Need, Registration, Sent
from celerytrack.ids import EndpointId, ServiceName, Zone
from celerytrack.prefill import PREFILL_TOKENS_PER_S, prefill_s
from celerytrack.restored_registrations import RestoredRegistrations
from celerytrack.routing import rendezvous_weight

RUNNING_S = 0.00015
"""What each running request adds to an engine's first token: its part of the
few steps until then."""
STEP_S = 0.01
"""An engine's first token beyond reading the prompt: two steps and the way."""
LEAVE_HOME_TIMES = 7.0
"""How much more a token of a shared part counts where it is not kept: reading
it takes memory from other sessions there, and the next request of the session
goes home again."""
SECOND_HOME_TIMES = 3.0
"""The same at the second home, where all entries send what the home has no time
for: by then it is probably kept there too, and nowhere else."""
COLD_TIMES = 1.6
"""How much longer an endpoint takes until it is warm: a guess, in the middle of
what caches of compiled code and data cost; its own answers correct it."""
OTHER_ZONE_S = 0.004
"""What another failure domain adds: the way there and back, and the price of
bytes between domains."""
EJECT_S = 0.4
"""First pause after an endpoint failed to connect or answer."""
EJECT_MAX_S = 5.0
"""Longest pause: a replaced endpoint has a new id, so a long one only keeps
away an endpoint that came back."""
FAILURE_GAIN = 0.15
"""Weight of the newest answer in an endpoint's share of failures."""
GREY_SHARE = 0.35
"""An endpoint that fails more than this share of its answers, and more than
:data:`GREY_TIMES` the share of its service, is avoided though it looks well."""
GREY_TIMES = 2.0
GREY_S = 2.0
"""How long a grey endpoint is avoided before one request tries it again."""
GONE_GRACE_S = 1.5
"""An endpoint whose registration lapsed takes work for this long if its
service has no other: registrations lapse when the store is away and are back
within two seconds, and an endpoint that left serves on for two."""
FORGOTTEN_MOST = 1_024
"""Endpoints that left of which the last record is remembered, so that an older
one that lands late does not bring them back."""
ENDED_S = 4.0
"""How long an endpoint whose process ended is avoided: its registration stands until
some heartbeats are missed, and each request sent there loses a connection's time."""
QUEUE_TIMES = 4.0
"""Work beyond this many times an endpoint's slots is not sent to it."""


class Registered(enum.Enum):
    """What a registration changed."""

    NEW = "new"
    STARTED_AGAIN = "started_again"
    """Another process has the id now, which knows nothing of before."""
    CHANGED = "changed"
    """It leaves, or takes work again."""
    SAME = "same"
    STALE = "stale"
    """A later record of it was seen; this one counts for nothing."""


class EndpointBook:
    """All endpoints known, and the choice among them.

    :param zone: the failure domain of this entry.
    """

    def __init__(self, zone: Zone, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._forgotten: LRUCache[EndpointId, Registration] = LRUCache(FORGOTTEN_MOST)
        self.restores = RestoredRegistrations()

    def register(self, registration: Registration, now_s: float) -> Registered:
        """Take a registration as read at ``now_s``."""
        known = self._endpoints.get(registration.endpoint_id)
        last = known.registration if known else None
        last = last or self._forgotten.get(registration.endpoint_id)
        if last is not None and self.restores.is_outdated(registration, last):
            return Registered.STALE
        self.restores.mark_written(registration.endpoint_id)
        if known is None:
            self._add(registration, now_s)
            return Registered.NEW
        if 0 < known.registration.born_ms < registration.born_ms:
            # What was learned and kept belongs to a process that is gone: parts
            # of prompts counted as kept would be read anew, unexpected. Requests
            # of before hold the endpoint of before and end there.
            self._add(registration, now_s)
            return Registered.STARTED_AGAIN
        changed = known.registration.draining is not registration.draining
        known.registration = registration
        known.gone_at_s = None
        return Registered.CHANGED if changed else Registered.SAME

    def restored(self) -> None:
        """The log came back from a copy: who is gone by now comes back by a newer
        record only."""
        gone = (i for i, e in self._endpoints.items() if e.gone_at_s is not None)
        self.restores.on_log_restored({*gone, *self._forgotten})

    def _add(self, registration: Registration, now_s: float) -> None:
        endpoint = Endpoint(registration)
        endpoint.cold_until_s = now_s + registration.cold_s
        self._endpoints[registration.endpoint_id] = endpoint

    def dropped(self, endpoint_id: EndpointId, now_s: float) -> None:
        """The registration of an endpoint is no longer there."""
        known = self._endpoints.get(endpoint_id)
        if known is not None and known.gone_at_s is None:
            known.gone_at_s = now_s

    def disowned(self, endpoint_id: EndpointId, now_s: float) -> None:
        """The newest record of an endpoint is none: it gets no work at once, not
        even where its service has no other."""
        self.dropped(endpoint_id, now_s - GONE_GRACE_S)

    def ended(self, endpoint_id: EndpointId, now_s: float) -> None:
        """The process of an endpoint ended, as far as one entry could see."""
        known = self._endpoints.get(endpoint_id)
        if known is not None:
            avoided_until_s = max(known.avoided_until_s, now_s + ENDED_S)
            known.avoided_until_s = avoided_until_s

    def takes_work(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint that was chosen is still to be sent to."""
        leaves = endpoint.registration.draining or endpoint.gone_at_s is not None
        return not leaves and not self.superseded(endpoint)

    def superseded(self, endpoint: Endpoint) -> bool:
        """Whether another start has the id of ``endpoint``."""
        known = self._endpoints.get(endpoint.endpoint_id)
        return known is not None and known is not endpoint

    def builds(self, service: ServiceName, now_s: float) -> set[str]:
        """The builds of the endpoints of ``service`` that take work."""
        return {e.registration.build for e in self._usable(service, now_s)}

    def ids(self) -> list[EndpointId]:
        """The endpoints whose registration stands."""
        return [i for i, e in self._endpoints.items() if e.gone_at_s is None]

    def forget_gone(self, now_s: float) -> list[Endpoint]:
        """Forget endpoints gone for good; returns them."""
        gone = [
            e
            for e in self._endpoints.values()
            if e.gone_at_s is not None
            and now_s - e.gone_at_s > GONE_GRACE_S
            and e.running == 0
        ]
        for endpoint in gone:
            del self._endpoints[endpoint.endpoint_id]
            self._forgotten[endpoint.endpoint_id] = endpoint.registration
        return gone

    def choose(
        self,
        need: Need,
        load_times: float,
        max_connections: int,
        avoid: Sequence[EndpointId],
        now_s: float,
    ) -> Choice | None:
        """The endpoint with the earliest predicted answer.

        :param load_times: how many times the work of this entry the fleet does.
        :param max_connections: connections one endpoint takes from all.
        :param avoid: endpoints that this request was sent to before.
        :returns: ``None`` if none has room.
        """
        usable = [e for e in self._usable(need.service, now_s) if self._open(e, avoid)]
        room = [e for e in usable if _has_room(e, load_times, max_connections)]
        if not room:
            return None
        homes = self._homes(need, usable)
        sound = [e for e in room if now_s >= e.avoided_until_s] or room

        costs = [
            (self._predict(e, need, homes, load_times, now_s), self._rng.random(), i)
            for i, e in enumerate(sound)
        ]
        predicted_s, _, index = min(costs)
        best = sound[index]
        unread = best.unread(need, _is_home(best, homes), now_s)
        return Choice(best, predicted_s, prefill_s(unread, need.prompt_tokens))

    def send(self, choice: Choice, need: Need, now_s: float) -> Sent:
        """Count a request that is sent to the endpoint chosen now."""
        endpoint = choice.endpoint
        endpoint.running += 1
        endpoint.unread_s += choice.work_s
        endpoint.touch(need, now_s)
        return Sent(endpoint, now_s, choice.predicted_s, choice.work_s)

    def note(self, endpoint_id: EndpointId, work_s: float, now_s: float) -> None:
        """Another entry sent a prompt to an endpoint that takes ``work_s``."""
        known = self._endpoints.get(endpoint_id)
        if known is not None:
            known.note(work_s, now_s)

    def succeeded(self, endpoint: Endpoint) -> None:
        """An answer came and was good."""
        endpoint.failures = 0
        endpoint.failing -= FAILURE_GAIN * endpoint.failing

    def failed(self, endpoint: Endpoint, hard: bool, now_s: float) -> None:
        """An answer failed.

        :param hard: it did not connect, broke off or stayed silent, rather
            than answer that it failed; the next request would fare no better.
        """
        endpoint.failing += FAILURE_GAIN * (1 - endpoint.failing)
        if hard:
            endpoint.failures += 1
            pause_s = min(EJECT_S * 2 ** (endpoint.failures - 1), EJECT_MAX_S)
            endpoint.avoided_until_s = now_s + pause_s
        elif endpoint.failing > max(GREY_SHARE, GREY_TIMES * self._failing(endpoint)):
            endpoint.avoided_until_s = now_s + GREY_S

    # -- internals ---------------------------------------------------------

    def _usable(self, service: ServiceName, now_s: float) -> list[Endpoint]:
        known = [
            e
            for e in self._endpoints.values()
            if e.registration.service == service and not e.registration.draining
        ]
        standing = [e for e in known if e.gone_at_s is None]
        if standing:
            return standing
        return [
            e
            for e in known
            if e.gone_at_s is not None and now_s - e.gone_at_s < GONE_GRACE_S
        ]

    @staticmethod
    def _open(endpoint: Endpoint, avoid: Sequence[EndpointId]) -> bool:
        return endpoint.endpoint_id not in avoid

    def _homes(self, need: Need, usable: Iterable[Endpoint]) -> list[Endpoint]:
        """Where all entries send the session: its home, then its second home."""
        if not need.parts:
            return []
        session = need.session
        return heapq.nlargest(
            2, usable, key=lambda e: rendezvous_weight(session, e.endpoint_id)
        )

    def _predict(
        self,
        endpoint: Endpoint,
        need: Need,
        homes: Sequence[Endpoint],
        load_times: float,
        now_s: float,
    ) -> float:
        slots = max(1, endpoint.registration.slots)
        running = endpoint.running * load_times
        away_s = 0.0 if endpoint.registration.zone == self._zone else OTHER_ZONE_S
        waiting = max(0.0, running / slots - 1.0)
        cold_times = COLD_TIMES if now_s < endpoint.cold_until_s else 1.0
        if not need.parts:
            busy = 1.0 + running / slots + waiting
            seconds = endpoint.latency_s * busy * (1 + endpoint.failing) + away_s
            return cold_times * seconds
        rank = homes.index(endpoint) if endpoint in homes else len(homes)
        unread = endpoint.unread(need, _is_home(endpoint, homes), now_s)
        times = SECOND_HOME_TIMES if rank == 1 else LEAVE_HOME_TIMES
        shared = max(0, unread - need.own_tokens) * (times - 1)
        seconds = prefill_s(unread, need.prompt_tokens) + running * RUNNING_S + STEP_S
        seconds += shared / PREFILL_TOKENS_PER_S
        seconds += endpoint.unread_s + endpoint.noted_unread_s(now_s)
        seconds += waiting * 0.5
        seconds = endpoint.slowness * seconds * (1 + endpoint.failing) + away_s
        return cold_times * seconds

    def _failing(self, endpoint: Endpoint) -> float:
        peers = [
            e.failing
            for e in self._endpoints.values()
            if e.registration.service == endpoint.registration.service
            and e is not endpoint
        ]
        return sum(peers) / len(peers) if peers else 0.0


def _is_home(endpoint: Endpoint, homes: Sequence[Endpoint]) -> bool:
    """Whether all entries send the session there, so that its parts are kept."""
    return bool(homes) and endpoint is homes[0]


def _has_room(endpoint: Endpoint, load_times: float, max_connections: int) -> bool:
    share = max(2.0, max_connections / load_times)
    slots = endpoint.registration.slots
    queue = max(4.0, QUEUE_TIMES * slots / load_times)
    return endpoint.running < min(share, queue)
