"""One endpoint as an entry sees it, and what a request needs of one."""

import math
from collections import OrderedDict

import attrs

from celerytrack.ids import EndpointId, ServiceName, Zone

SERVICE_S = 0.03
"""What a plain call takes until an endpoint's own time is learned."""
LATENCY_GAIN = 0.1
"""Weight of the newest answer in an endpoint's learned time."""
SLOWNESS_RANGE = (0.3, 10.0)
CACHE_PARTS = 2048
"""Prompt parts remembered per engine: several times what one keeps, so this bounds
memory, not knowledge."""
CACHE_KEPT_S = 20.0
"""A part not used for this long may have yielded to others."""


@attrs.frozen
class Registration:
    """What an endpoint registered of itself.

    :ivar slots: requests it runs at once.
    :ivar cold_s: how much longer it stays slow after its start.
    :ivar born_ms: when this start of it began, in Unix milliseconds; it may start
        again under its id, and knows nothing of before then. 0 if not told.
    :ivar sequence: grows with each record of one start.
    :ivar version: of its software; empty if not told.
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
        """The service and the version of its software."""
        return f"{self.service} {self.version}"

    @property
    def numbered(self) -> bool:
        """Whether the records of this endpoint tell their order."""
        return (self.born_ms, self.sequence) != (0, 0)

    def older_than(self, other: "Registration") -> bool:
        """Whether ``other`` was written after this record, of the same id.

        A record may arrive behind a later one. Of an older start it would send
        work to a process that is gone; of the same start it would make an
        endpoint that has said it leaves look ready again.
        """
        return (self.born_ms, self.sequence) < (other.born_ms, other.sequence)


@attrs.frozen
class Need:
    """What a request needs of an endpoint.

    :ivar parts: ``(key, tokens)`` of the prompt's parts, in order; a key
        stands for the part and all before it.
    """

    service: ServiceName
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def own_tokens(self) -> int:
        """Tokens of the part that no other request shares."""
        return self.parts[-1][1] if self.parts else 0

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the whole prompt."""
        return sum(size for _, size in self.parts)

    @property
    def session(self) -> str:
        """What decides the home engine: the last part that others share."""
        if not self.parts:
            return ""
        return self.parts[-2][0] if len(self.parts) > 1 else self.parts[0][0]


@attrs.define
class Endpoint:
    """One endpoint as this entry sees it.

    :ivar running: requests this entry has there.
    :ivar unread_s: engine time of the prompts this entry sent that are not read.
    :ivar noted_s: engine time of the prompts that other entries told of, as far
        as they were not read at ``noted_at_s``.
    :ivar latency_s: learned time of a plain call.
    :ivar slowness: learned ratio of first tokens to predicted ones.
    :ivar cold_until_s: until when it is slow after its start.
    :ivar failing: learned share of failed answers.
    """

    registration: Registration
    running: int = 0
    unread_s: float = 0.0
    noted_s: float = 0.0
    noted_at_s: float = 0.0
    latency_s: float = SERVICE_S
    slowness: float = 1.0
    cold_until_s: float = 0.0
    failing: float = 0.0
    failures: int = 0
    avoided_until_s: float = 0.0
    gone_at_s: float | None = None
    _parts: OrderedDict[str, float] = attrs.field(factory=OrderedDict)

    @property
    def endpoint_id(self) -> EndpointId:
        """The id of this start of the endpoint."""
        return self.registration.endpoint_id

    def note(self, work_s: float, now_s: float) -> None:
        """Another entry sent a prompt here that takes ``work_s`` to read."""
        self.noted_s = self.noted_unread_s(now_s) + work_s
        self.noted_at_s = now_s

    def noted_unread_s(self, now_s: float) -> float:
        """Engine time of other entries' prompts that are probably not read yet."""
        read_s = (now_s - self.noted_at_s) / self.slowness
        return max(0.0, self.noted_s - read_s)

    def unread(self, need: Need, at_home: bool, now_s: float) -> int:
        """Tokens of the prompt that this engine would have to read."""
        kept = len(need.parts) - 1 if at_home else 0
        tokens = 0
        missing = False
        for i, (key, size) in enumerate(need.parts):
            known = now_s - self._parts.get(key, -math.inf) < CACHE_KEPT_S
            missing = missing or not (known or i < kept)
            tokens += size if missing else 0
        return tokens

    def touch(self, need: Need, now_s: float) -> None:
        """The prompt was read here."""
        for key, _ in need.parts:
            self._parts[key] = now_s
            self._parts.move_to_end(key)
        while len(self._parts) > CACHE_PARTS:
            self._parts.popitem(last=False)


@attrs.frozen
class Choice:
    """An endpoint chosen for a request, and what decided it.

    :ivar predicted_s: time to the first piece of the answer.
    :ivar work_s: engine time to read its prompt, less what is kept there.
    """

    endpoint: Endpoint
    predicted_s: float
    work_s: float = 0.0


@attrs.define
class Sent:
    """One request at an endpoint, until it ends.

    :ivar work_s: engine time to read its prompt.
    :ivar read: whether its prompt was read.
    """

    endpoint: Endpoint
    at_s: float
    predicted_s: float
    work_s: float
    read: bool = False
    ended: bool = False

    def answered(self, now_s: float) -> None:
        """The first piece of the answer came."""
        endpoint = self.endpoint
        self._was_read()
        ratio = (now_s - self.at_s) / max(self.predicted_s, 1e-3)
        low, high = SLOWNESS_RANGE
        ratio = min(max(ratio, low), high)
        endpoint.slowness += LATENCY_GAIN * (ratio - endpoint.slowness)

    def end(self, now_s: float, plain: bool) -> None:
        """The request ended here, well or not."""
        if self.ended:
            return
        self.ended = True
        endpoint = self.endpoint
        endpoint.running -= 1
        self._was_read()
        if plain:
            took_s = min(now_s - self.at_s, 1.0)
            endpoint.latency_s += LATENCY_GAIN * (took_s - endpoint.latency_s)

    def _was_read(self) -> None:
        if not self.read:
            self.read = True
            self.endpoint.unread_s -= self.work_s
