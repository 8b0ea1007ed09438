"""Keeps what endpoints say of themselves in their answers."""

import logging
import time

from celerytrack.events import Event, log_event
from celerytrack.ids import EndpointId
from celerytrack.limits.sync import LimitSync
from celerytrack.notices.answer import AnswerNotices, NoticeKind, UnreadableNotice
from celerytrack.notices.backoff import BackoffTracker
from celerytrack.notices.leaving import LeavingTracker

_log = logging.getLogger(__name__)

FROM_ANSWER = "answer"
"""Source of what an endpoint itself told this entry."""


class NoticeSync:
    """What endpoints said of themselves, as this entry knows it.

    :param limits: the rate limits of endpoints, shared with the other entries.
    """

    def __init__(self, limits: LimitSync) -> None:
        self.limits = limits
        self.leaving = LeavingTracker()
        self.backoffs = BackoffTracker()

    def record_answer(
        self,
        endpoint_id: EndpointId,
        born_ms: int,
        notices: AnswerNotices,
        sent_at_s: float,
        request_id: str,
        is_sealed: bool = True,
    ) -> None:
        """Record what the endpoint's answer to a request says.

        :param sent_at_s: when the request was sent.
        :param is_sealed: whether the answer tells by its silence that a limit ended.
        """
        now_s = time.monotonic()
        for unreadable in notices.unreadable:
            _log_unreadable(endpoint_id, unreadable, request_id)
        if notices.limit_per_s is not None or (
            self.limits.tracker and is_sealed and notices.is_limit_known
        ):
            self.limits.record_answer(
                endpoint_id, born_ms, notices.limit_per_s, sent_at_s, now_s
            )
        if notices.leaving and self.leaving.record(endpoint_id, born_ms, now_s):
            log_event(
                _log,
                Event.LEAVING_HEARD,
                endpoint=endpoint_id,
                born_ms=born_ms,
                source=FROM_ANSWER,
                request_id=request_id,
            )
        if notices.backoff_s and self.backoffs.record(
            endpoint_id, born_ms, notices.backoff_s, now_s
        ):
            log_event(
                _log,
                Event.BACKOFF_ASKED,
                endpoint=endpoint_id,
                backoff_s=notices.backoff_s,
                request_id=request_id,
            )

    def tick(self, now_s: float) -> None:
        """Note the backoffs that are over."""
        for endpoint_id in self.backoffs.pop_ended(now_s):
            log_event(_log, Event.BACKOFF_ENDED, endpoint=endpoint_id)


def _log_unreadable(
    endpoint_id: EndpointId, unreadable: UnreadableNotice, request_id: str
) -> None:
    is_limit = unreadable.kind is NoticeKind.LIMIT
    log_event(
        _log,
        Event.LIMIT_UNREADABLE if is_limit else Event.NOTICE_UNREADABLE,
        logging.WARNING,
        endpoint=endpoint_id,
        notice=unreadable.kind.value,
        detail=unreadable.detail,
        request_id=request_id,
    )
