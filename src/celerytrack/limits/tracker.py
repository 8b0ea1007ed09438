"""Rate limits that endpoints name in their answers, as one entry knows them.

An endpoint in need names the requests a second that it takes from all entries
together, in each answer for as long as the limit holds. A brittle one names the
rejections a second that it bears. Without I/O.

Answers overtake each other. An answer was made after its request was sent and before
it arrived here. A limit has therefore ended only if an answer without one belongs to a
request that was sent after the last answer with one had arrived. Both times only grow,
so that reports of several entries can be merged in any order.
"""

import math

import attrs

from celerytrack.ids import EndpointId

UNLIMITED_PER_S = 1e9
"""Limit of an endpoint that names none, but says that it is brittle: its requests need
leases as well."""
MAX_KNOWN_LIMITS = 4_096
"""Most endpoints whose limit is kept, to bound memory."""
MAX_UNCONFIRMED_S = 60.0
"""A limit that no answer has confirmed for this long is dropped: the endpoint is gone,
or gets no requests, and names its limit again if it still has one."""
REPORT_SLACK_S = 0.25
"""Times in a report of another entry count as this much older than it says: the report
was under way, and a time that grew on each way would hide the end of a limit."""
ENDED_KEPT_S = 10.0
"""How long the end of a limit is remembered, against reports that arrive late."""


@attrs.frozen
class LimitReport:
    """What one entry tells another about the limit of an endpoint.

    :ivar born_ms: incarnation of the endpoint; 0 if unknown.
    :ivar limit_per_s: the last limit that it named.
    :ivar named_age_s: time since an answer last named a limit.
    :ivar absent_age_s: time since the newest request was sent whose answer named none;
        infinite if there was no such answer.
    :ivar bears_per_s: rejections a second that it bears, if it is brittle.
    """

    endpoint_id: EndpointId
    born_ms: int
    limit_per_s: float
    named_age_s: float
    absent_age_s: float = math.inf
    bears_per_s: float | None = None

    @property
    def is_limited(self) -> bool:
        """Whether the limit holds, as far as the sender knows."""
        return self.named_age_s < self.absent_age_s


@attrs.frozen
class LimitChange:
    """A limit that began, changed or ended.

    :ivar old_per_s: the limit before; ``None`` if there was none.
    :ivar new_per_s: the limit now; ``None`` if it ended.
    """

    endpoint_id: EndpointId
    old_per_s: float | None
    new_per_s: float | None

    @property
    def began_or_ended(self) -> bool:
        """Whether it changed that the endpoint has a limit at all."""
        return (self.old_per_s is None) is not (self.new_per_s is None)


@attrs.define
class _KnownLimit:
    """The limit of one endpoint.

    :ivar named_at_s: when the newest answer that named a limit arrived.
    :ivar confirmed_at_s: when the newest answer that named ``limit_per_s`` arrived.
    :ivar absent_at_s: when the newest request was sent whose answer named no limit.
    """

    born_ms: int
    limit_per_s: float
    named_at_s: float
    confirmed_at_s: float
    absent_at_s: float = -math.inf
    bears_per_s: float | None = None

    @property
    def now_per_s(self) -> float | None:
        return self.limit_per_s if self.named_at_s > self.absent_at_s else None

    def name(
        self,
        limit_per_s: float,
        sent_at_s: float,
        arrived_at_s: float,
        bears_per_s: float | None,
    ) -> None:
        # Of two answers in doubtful order, the lower limit counts.
        is_lower = limit_per_s <= self.limit_per_s
        if (arrived_at_s if is_lower else sent_at_s) >= self.confirmed_at_s:
            self.limit_per_s = limit_per_s
            self.confirmed_at_s = arrived_at_s
            self.bears_per_s = bears_per_s
        self.named_at_s = max(self.named_at_s, arrived_at_s)


class LimitTracker:
    """The limits of endpoints that this entry knows.

    It is empty, and false, while no endpoint has named a limit.
    """

    def __init__(self) -> None:
        self._known: dict[EndpointId, _KnownLimit] = {}

    def __bool__(self) -> bool:
        return bool(self._known)

    def limit_per_s(self, endpoint_id: EndpointId) -> float | None:
        """The limit of an endpoint; ``None`` if it has none."""
        known = self._known.get(endpoint_id)
        return known.now_per_s if known else None

    def bears_per_s(self, endpoint_id: EndpointId) -> float | None:
        """Rejections a second that a brittle endpoint bears; ``None`` if it is not
        brittle."""
        known = self._known.get(endpoint_id)
        if known is None or known.now_per_s is None:
            return None
        return known.bears_per_s

    def brittle(self) -> dict[EndpointId, float]:
        """The brittle endpoints, and the rejections a second that they bear."""
        bears = ((i, self.bears_per_s(i)) for i in self._known)
        return {i: bears_per_s for i, bears_per_s in bears if bears_per_s is not None}

    def named(self) -> dict[EndpointId, float]:
        """The rate limits that endpoints name now."""
        return {i: v for i, v in self.limited().items() if v < UNLIMITED_PER_S}

    def limited(self) -> dict[EndpointId, float]:
        """The endpoints that need leases now, with :data:`UNLIMITED_PER_S` for those
        that name no limit."""
        limits = ((i, known.now_per_s) for i, known in self._known.items())
        return {i: limit for i, limit in limits if limit is not None}

    def record_named(
        self,
        endpoint_id: EndpointId,
        born_ms: int,
        limit_per_s: float,
        sent_at_s: float,
        arrived_at_s: float,
        bears_per_s: float | None = None,
    ) -> LimitChange | None:
        """Record an answer that named a limit.

        :param limit_per_s: :data:`UNLIMITED_PER_S` if it only said that it is brittle.
        :param sent_at_s: when its request was sent.
        :param bears_per_s: rejections a second that it bears, if it is brittle.
        """
        old_per_s = self.limit_per_s(endpoint_id)
        known = self._known.get(endpoint_id)
        if known is not None and 0 < born_ms < known.born_ms:
            return None
        if known is None or known.born_ms < born_ms:
            if len(self._known) >= MAX_KNOWN_LIMITS:
                return None
            self._known[endpoint_id] = _KnownLimit(
                born_ms,
                limit_per_s,
                arrived_at_s,
                arrived_at_s,
                bears_per_s=bears_per_s,
            )
        elif arrived_at_s > known.absent_at_s:
            known.name(limit_per_s, sent_at_s, arrived_at_s, bears_per_s)
        return self._change(endpoint_id, old_per_s)

    def record_absent(
        self, endpoint_id: EndpointId, born_ms: int, sent_at_s: float
    ) -> LimitChange | None:
        """Record an answer that named no limit.

        :param sent_at_s: when its request was sent.
        """
        known = self._known.get(endpoint_id)
        if known is None or 0 < born_ms < known.born_ms:
            return None
        old_per_s = known.now_per_s
        known.absent_at_s = max(known.absent_at_s, sent_at_s)
        return self._change(endpoint_id, old_per_s)

    def merge(self, report: LimitReport, now_s: float) -> LimitChange | None:
        """Merge what another entry told."""
        endpoint_id, born_ms = report.endpoint_id, report.born_ms
        named_at_s = now_s - report.named_age_s - REPORT_SLACK_S
        old_per_s = self.limit_per_s(endpoint_id)
        if report.is_limited or endpoint_id in self._known:
            self.record_named(
                endpoint_id,
                born_ms,
                report.limit_per_s,
                named_at_s,
                named_at_s,
                report.bears_per_s,
            )
        if math.isfinite(report.absent_age_s):
            absent_at_s = now_s - report.absent_age_s - REPORT_SLACK_S
            self.record_absent(endpoint_id, born_ms, absent_at_s)
        return self._change(endpoint_id, old_per_s)

    def report(self, endpoint_id: EndpointId, now_s: float) -> LimitReport | None:
        """What to tell other entries; ``None`` if nothing is known."""
        known = self._known.get(endpoint_id)
        if known is None:
            return None
        return LimitReport(
            endpoint_id,
            known.born_ms,
            known.limit_per_s,
            max(0.0, now_s - known.named_at_s),
            max(0.0, now_s - known.absent_at_s),
            known.bears_per_s,
        )

    def forget(self, endpoint_id: EndpointId) -> None:
        """Forget an endpoint whose incarnation is gone."""
        self._known.pop(endpoint_id, None)

    def expire(self, now_s: float) -> list[LimitChange]:
        """Drop what is no longer needed, and return the limits that ended by it."""
        changes = []
        for endpoint_id, known in list(self._known.items()):
            newest_s = max(known.named_at_s, known.absent_at_s)
            kept_s = ENDED_KEPT_S if known.now_per_s is None else MAX_UNCONFIRMED_S
            if now_s - newest_s <= kept_s:
                continue
            del self._known[endpoint_id]
            if known.now_per_s is not None:
                changes.append(LimitChange(endpoint_id, known.now_per_s, None))
        return changes

    def _change(
        self, endpoint_id: EndpointId, old_per_s: float | None
    ) -> LimitChange | None:
        new_per_s = self.limit_per_s(endpoint_id)
        if new_per_s == old_per_s:
            return None
        return LimitChange(endpoint_id, old_per_s, new_per_s)
