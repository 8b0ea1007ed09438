"""State of one endpoint as an entry sees it, and requests to endpoints."""

import math
from collections import OrderedDict

import attrs

from celerytrack.ids import EndpointId, ServiceName, Zone
from celerytrack.origins.origin import StreamOrigin

INITIAL_LATENCY_S = 0.03
"""Assumed latency of a plain call until an endpoint has answered some."""
LATENCY_EWMA_WEIGHT = 0.1
"""Weight of the newest answer in the moving averages of latency and slowness."""
SLOWNESS_RANGE = (0.3, 10.0)
MAX_CACHED_PARTS = 2048
"""Prompt parts remembered per engine. An engine caches several times fewer, so the
limit bounds memory without hiding cached parts."""
CACHE_TTL_S = 20.0
"""A part that was not used for this long may have been evicted by the engine."""


@attrs.frozen
class Registration:
    """The registration record of an endpoint.

    :ivar slots: requests it runs at once.
    :ivar cold_s: remaining warm-up time, in which it is slow.
    :ivar born_ms: start time of this incarnation, in Unix milliseconds; 0 if unknown.
        An endpoint may restart under its id, with an empty cache.
    :ivar sequence: grows with each record of one incarnation.
    :ivar version: software version; empty if unknown.
    """

    endpoint_id: EndpointId
    service: ServiceName
    address: str
    zone: Zone
    slots: int
    draining: bool
    cold_s: float = 0.0
    born_ms: int = 0
    sequence: int = 0
    version: str = ""

    @property
    def build(self) -> str:
        """Service and software version."""
        return f"{self.service} {self.version}"

    @property
    def is_ordered(self) -> bool:
        """Whether records of this endpoint can be put in order."""
        return (self.born_ms, self.sequence) != (0, 0)

    def is_older_than(self, other: "Registration") -> bool:
        """Whether ``other``, a record of the same id, was written after this one.

        Records may arrive out of order. A late record of an earlier incarnation would
        direct requests to a process that is gone. A late record of the same incarnation
        would make a draining endpoint look ready.
        """
        return (self.born_ms, self.sequence) < (other.born_ms, other.sequence)


@attrs.frozen
class RequestProfile:
    """The service and the prompt of a request, by which an endpoint is chosen.

    :ivar parts: ``(key, tokens)`` of the prompt's parts, in order; a key
        identifies the part and all parts before it.
    :ivar origin: what began the stream that the request goes on with; ``None`` if it
        may be sent to any endpoint of the service.
    :ivar resumable: whether its stream may be taken up, at any entry.
    """

    service: ServiceName
    parts: tuple[tuple[str, int], ...] = ()
    origin: StreamOrigin | None = None
    resumable: bool = False

    def fits(self, registration: Registration) -> bool:
        """Whether an endpoint may write the next event of the stream."""
        if self.origin is None:
            return True
        wrote = StreamOrigin(registration.service, registration.version)
        return self.origin == wrote

    @property
    def unshared_tokens(self) -> int:
        """Tokens of the last part, which no other request shares."""
        return self.parts[-1][1] if self.parts else 0

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the whole prompt."""
        return sum(size for _, size in self.parts)

    @property
    def session_key(self) -> str:
        """Key of the last shared part; it determines the home engine."""
        if not self.parts:
            return ""
        return self.parts[-2][0] if len(self.parts) > 1 else self.parts[0][0]


@attrs.define
class Endpoint:
    """One endpoint as this entry sees it.

    :ivar registered_at_s: when this version was first read to be registered here.
    :ivar running: requests of this entry in progress there.
    :ivar pending_prefill_s: engine time to prefill the pending prompts of this entry.
    :ivar peer_prefill_s: engine time to prefill the pending prompts of other entries,
        as of ``peer_prefill_at_s``.
    :ivar latency_s: moving average of the latency of plain calls.
    :ivar slowness: moving average of measured over predicted time to first token.
    :ivar cold_until_s: end of its warm-up.
    :ivar failure_rate: moving average of the share of failed answers.
    :ivar consecutive_failures: connection failures since the last success.
    :ivar ejected_until_s: until when it is ejected.
    :ivar deregistered_at_s: when its registration disappeared; ``None`` while it is
        registered.
    :ivar send_until_s: until when requests may be sent to it: it is leaving.
    :ivar is_unnamed: whether its process answers checks without saying who it is.
    :ivar doubted_at_s: when this entry last had a sign that the process may have ended,
        so that another incarnation may have its address.
    """

    registration: Registration
    registered_at_s: float = -math.inf
    running: int = 0
    pending_prefill_s: float = 0.0
    peer_prefill_s: float = 0.0
    peer_prefill_at_s: float = 0.0
    latency_s: float = INITIAL_LATENCY_S
    slowness: float = 1.0
    cold_until_s: float = 0.0
    failure_rate: float = 0.0
    consecutive_failures: int = 0
    ejected_until_s: float = 0.0
    deregistered_at_s: float | None = None
    send_until_s: float = math.inf
    is_unnamed: bool = False
    doubted_at_s: float | None = None
    _cached_parts: OrderedDict[str, float] = attrs.field(factory=OrderedDict)

    @property
    def endpoint_id(self) -> EndpointId:
        return self.registration.endpoint_id

    def add_peer_prefill(self, work_s: float, now_s: float) -> None:
        """Count a prompt of another entry that takes ``work_s`` to prefill."""
        self.peer_prefill_s = self.peer_prefill_left_s(now_s) + work_s
        self.peer_prefill_at_s = now_s

    def peer_prefill_left_s(self, now_s: float) -> float:
        """Estimated engine time for the pending prompts of other entries."""
        prefilled_s = (now_s - self.peer_prefill_at_s) / self.slowness
        return max(0.0, self.peer_prefill_s - prefilled_s)

    def uncached_tokens(
        self, profile: RequestProfile, at_home: bool, now_s: float
    ) -> int:
        """Tokens of the prompt that this engine would have to prefill.

        :param at_home: whether the engine is the session's home, which has all shared
            parts in its cache.
        """
        shared = len(profile.parts) - 1 if at_home else 0
        tokens = 0
        missing = False
        for i, (key, size) in enumerate(profile.parts):
            cached = now_s - self._cached_parts.get(key, -math.inf) < CACHE_TTL_S
            missing = missing or not (cached or i < shared)
            tokens += size if missing else 0
        return tokens

    def cache_prompt(self, profile: RequestProfile, now_s: float) -> None:
        """Record that the engine has the prompt in its cache."""
        for key, _ in profile.parts:
            self._cached_parts[key] = now_s
            self._cached_parts.move_to_end(key)
        while len(self._cached_parts) > MAX_CACHED_PARTS:
            self._cached_parts.popitem(last=False)


@attrs.frozen
class Choice:
    """An endpoint chosen for a request, with the predictions for it.

    :ivar predicted_s: time to the first output.
    :ivar work_s: engine time to prefill the uncached part of the prompt.
    """

    endpoint: Endpoint
    predicted_s: float
    work_s: float = 0.0


@attrs.frozen
class Opening:
    """The first opening among endpoints that are closed for a time.

    :ivar predicted_s: time to the first output of a request from then on.
    :ivar all_closed: whether no other endpoint may be sent requests now.
    """

    opens_in_s: float
    predicted_s: float
    all_closed: bool


@attrs.define
class Dispatch:
    """One request sent to an endpoint.

    :ivar work_s: engine time to prefill its prompt.
    :ivar prefilled: whether its prompt was prefilled.
    """

    endpoint: Endpoint
    sent_at_s: float
    predicted_s: float
    work_s: float
    prefilled: bool = False
    finished: bool = False

    def record_first_output(self, now_s: float) -> None:
        """Record the arrival of the first output."""
        endpoint = self.endpoint
        self._finish_prefill()
        ratio = (now_s - self.sent_at_s) / max(self.predicted_s, 1e-3)
        low, high = SLOWNESS_RANGE
        ratio = min(max(ratio, low), high)
        endpoint.slowness += LATENCY_EWMA_WEIGHT * (ratio - endpoint.slowness)

    def finish(self, now_s: float, plain: bool) -> None:
        """Record the end of the request, successful or not.

        :param plain: whether the request has no prompt; only such requests update the
            latency.
        """
        if self.finished:
            return
        self.finished = True
        endpoint = self.endpoint
        endpoint.running -= 1
        self._finish_prefill()
        if plain:
            took_s = min(now_s - self.sent_at_s, 1.0)
            endpoint.latency_s += LATENCY_EWMA_WEIGHT * (took_s - endpoint.latency_s)

    def _finish_prefill(self) -> None:
        if not self.prefilled:
            self.prefilled = True
            self.endpoint.pending_prefill_s -= self.work_s
