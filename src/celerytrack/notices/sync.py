"""Keeps what endpoints say of themselves, and tells the other entries what concerns
them: limits (:mod:`celerytrack.limits.sync`) and leavings. Backoffs are between an
endpoint and one entry.
"""

import asyncio
import itertools
import logging
import random
import time
from collections.abc import Callable, Iterable, Sequence

from celerytrack.events import Event, log_event
from celerytrack.ids import EndpointId, EntryId, RequestId
from celerytrack.limits.sync import TICK_S, LimitSync
from celerytrack.notices.answer import AnswerNotices, NoticeKind, UnreadableNotice
from celerytrack.notices.leaving_sync import LeavingSync
from celerytrack.notices.messages import LeavingNews, NoticeMessage
from celerytrack.notices.owners import Peer
from celerytrack.notices.state import LAST_RESORT_S, EndpointNotices

_log = logging.getLogger(__name__)

CHECKS_PER_TICK = 5
"""Looks at the membership in each tick while something is known that an entry which
joined has to know too."""
RETURN_SPACING_S = 0.005
"""Mean time between the first requests of two entries to an endpoint whose backoffs
end together."""
MAX_RETURN_SPREAD_S = 1.0
"""Longest time by which an entry returns later than it may."""
_FROM_ANSWER = "answer"
"""Source of what an endpoint itself told this entry."""


class NoticeSync:
    """What endpoints said of themselves, as this entry knows it.

    :param address: peer address of this entry.
    :param send: sends a message to the entry at an address, without guarantee.
    :param live_peers: returns the other live entries at a time.
    :param view_age_s: returns how old that knowledge is.
    :ivar state: what placement asks.
    :ivar limits: the rate limits of endpoints.
    """

    def __init__(
        self,
        entry_id: EntryId,
        address: str,
        send: Callable[[str, NoticeMessage], None],
        live_peers: Callable[[float], Iterable[Peer]],
        started_s: float,
        rng: random.Random,
        view_age_s: Callable[[float], float] = lambda now_s: 0.0,
    ) -> None:
        self.state = EndpointNotices()
        self.limits = LimitSync(
            entry_id, address, send, live_peers, started_s, view_age_s
        )
        self._rng = rng
        self._leaving_sync = LeavingSync(self.state.leaving, self.limits.owners, send)
        self._limits_end_at_s: dict[EndpointId, float] = {}

    def __bool__(self) -> bool:
        return bool(self.state) or bool(self.limits.tracker)

    def record_answer(
        self,
        endpoint_id: EndpointId,
        born_ms: int,
        notices: AnswerNotices,
        sent_at_s: float,
        request_id: RequestId,
        succeeded: bool,
        now_s: float,
        rejected: bool = False,
    ) -> None:
        """Record what the endpoint's answer to a request says.

        :param sent_at_s: when the request was sent.
        :param succeeded: whether the endpoint ran the request; only then does it tell
            by its silence that a limit ended.
        :param rejected: whether it turned the request away.
        """
        for unreadable in notices.unreadable:
            _log_unreadable(endpoint_id, unreadable, request_id)
        if notices.leaving:
            self._record_leaving(endpoint_id, born_ms, request_id, now_s)
        if notices.backoff_s:
            self._record_backoff(
                endpoint_id, born_ms, notices.backoff_s, request_id, now_s
            )
        if self.state.returns:
            self.state.returns.record_answer(endpoint_id, sent_at_s, succeeded)
        if self._is_past_last_resort(endpoint_id, born_ms, now_s):
            return
        names_any = notices.limit_per_s is not None or notices.bears_per_s is not None
        if names_any or (self.limits.tracker and succeeded and notices.is_limit_known):
            self.limits.record_answer(
                endpoint_id,
                born_ms,
                notices.limit_per_s,
                sent_at_s,
                now_s,
                notices.bears_per_s,
                rejected,
            )

    def forget(self, endpoint_id: EndpointId) -> None:
        """Forget the limit of an endpoint whose incarnation is gone.

        A leaving is kept, since late records of the incarnation may follow, and a
        backoff until its time is over.
        """
        self.limits.forget(endpoint_id)

    def begin_leaving(self) -> None:
        """Hand all endpoints over: a planned stop has begun."""
        self.limits.begin_leaving()

    async def run(self) -> None:
        """Follow the membership and repeat news until cancelled."""
        for check in itertools.count():
            now_s = time.monotonic()
            if check % CHECKS_PER_TICK == 0:
                self.tick(now_s)
            elif self:
                self._tell_joined(self.limits.follow_members(now_s), now_s)
            await asyncio.sleep(TICK_S / CHECKS_PER_TICK)

    def tick(self, now_s: float) -> None:
        """Follow the membership, repeat news and end what is over."""
        self._tell_joined(self.limits.tick(now_s), now_s)
        if not self.state:
            return
        for endpoint_id in self.state.backoffs.pop_ended(now_s):
            log_event(_log, Event.BACKOFF_ENDED, endpoint=endpoint_id)
        self.state.returns.expire(now_s)
        self._leaving_sync.tick(now_s)
        self._end_limits(now_s)

    def receive(self, message: NoticeMessage) -> None:
        """Handle a message of another entry."""
        if not isinstance(message, LeavingNews):
            self.limits.receive(message)
            return
        now_s = time.monotonic()
        for report in message.reports:
            endpoint_id, born_ms = report.endpoint_id, report.born_ms
            heard_at_s = now_s - report.age_s
            if not self.state.leaving.record(endpoint_id, born_ms, heard_at_s):
                continue
            _log_leaving(endpoint_id, born_ms, message.sender, None)
            self._limits_end_at_s[endpoint_id] = heard_at_s + LAST_RESORT_S
            self._leaving_sync.on_told(endpoint_id, now_s)

    def _tell_joined(self, joined: Sequence[str], now_s: float) -> None:
        if joined and self.state:
            self._leaving_sync.tell_joined(joined, now_s)

    def _record_leaving(
        self,
        endpoint_id: EndpointId,
        born_ms: int,
        request_id: RequestId,
        now_s: float,
    ) -> None:
        if self.state.leaving.record(endpoint_id, born_ms, now_s):
            _log_leaving(endpoint_id, born_ms, _FROM_ANSWER, request_id)
            self._limits_end_at_s[endpoint_id] = now_s + LAST_RESORT_S
            self._leaving_sync.on_heard(endpoint_id, now_s)

    def _record_backoff(
        self,
        endpoint_id: EndpointId,
        born_ms: int,
        backoff_s: float,
        request_id: RequestId,
        now_s: float,
    ) -> None:
        if not self.state.backoffs.record(endpoint_id, born_ms, backoff_s, now_s):
            return
        until_s = self.state.backoffs.until_s(endpoint_id, born_ms) or now_s
        opens_at_s = until_s + self._return_delay_s()
        self.state.returns.begin(endpoint_id, born_ms, opens_at_s)
        log_event(
            _log,
            Event.BACKOFF_ASKED,
            endpoint=endpoint_id,
            backoff_s=backoff_s,
            request_id=request_id,
        )

    def _return_delay_s(self) -> float:
        entries = len(self.limits.owners.peers) + 1
        most_s = min(MAX_RETURN_SPREAD_S, RETURN_SPACING_S * entries)
        return self._rng.uniform(0.0, most_s)

    def _is_past_last_resort(
        self, endpoint_id: EndpointId, born_ms: int, now_s: float
    ) -> bool:
        leaving = self.state.is_leaving(endpoint_id, born_ms)
        return leaving and not self.state.is_last_resort(endpoint_id, born_ms, now_s)

    def _end_limits(self, now_s: float) -> None:
        """End the limits of endpoints that leave and get no requests any more."""
        for endpoint_id, ends_at_s in list(self._limits_end_at_s.items()):
            if now_s >= ends_at_s:
                del self._limits_end_at_s[endpoint_id]
                self.limits.forget(endpoint_id)


def _log_leaving(
    endpoint_id: EndpointId, born_ms: int, source: str, request_id: RequestId | None
) -> None:
    log_event(
        _log,
        Event.LEAVING_HEARD,
        endpoint=endpoint_id,
        born_ms=born_ms,
        source=source,
        request_id=request_id,
    )


def _log_unreadable(
    endpoint_id: EndpointId, unreadable: UnreadableNotice, request_id: RequestId
) -> None:
    is_limit = unreadable.kind in (NoticeKind.LIMIT, NoticeKind.BRITTLE)
    log_event(
        _log,
        Event.LIMIT_UNREADABLE if is_limit else Event.NOTICE_UNREADABLE,
        logging.WARNING,
        endpoint=endpoint_id,
        notice=unreadable.kind.value,
        detail=unreadable.detail,
        request_id=request_id,
    )
