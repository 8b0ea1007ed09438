"""The links of this entry to endpoints: what their monitor asks and does."""

import asyncio
import logging
import random
import time
from collections.abc import Iterator
from typing import Protocol

from celerytrack.events import Event, log_event
from celerytrack.gateway.exchange import Exchange
from celerytrack.gateway.peer_messages import PeerMessenger
from celerytrack.gateway.share_sync import ShareSync
from celerytrack.ids import EntryId, ServiceName
from celerytrack.reachability.check import CheckTarget
from celerytrack.reachability.helpers import Helper, HelperChoice
from celerytrack.reachability.messages import LinkNews
from celerytrack.reachability.monitor import EntryLinks, OwedAnswer, ReachMonitor
from celerytrack.routing.endpoints import EndpointPool

_log = logging.getLogger(__name__)


class LinkedEntry(Protocol):
    """What the links of an entry concern in its state."""

    entry_id: EntryId
    started_s: float
    rng: random.Random
    endpoints: EndpointPool
    exchanges: set[Exchange]
    helpers: HelperChoice
    peer_messenger: PeerMessenger
    share_sync: ShareSync
    reach: ReachMonitor


def make_reach(gateway: LinkedEntry) -> ReachMonitor:
    """Make the monitor of a gateway's links."""
    links = EntryLinks(
        gateway.entry_id,
        gateway.started_s,
        lambda service: _check_targets(gateway, service),
        lambda: _owed_answers(gateway),
        lambda news: _tell(gateway, news),
        lambda service, doubted_at_s: _on_links_down(gateway, service, doubted_at_s),
        expire=gateway.helpers.expire,
    )
    return ReachMonitor(links, gateway.rng)


def potential_helpers(gateway: LinkedEntry, now_s: float) -> list[Helper]:
    """The entries that may send a request for this one."""
    split = gateway.share_sync.members.caller_split(now_s)
    return [
        Helper(member.entry_id, member.peer_address, member.zone)
        for member in split.caller_peers
    ]


def record_link_news(gateway: LinkedEntry, news: LinkNews) -> None:
    """Record what another entry says of its links."""
    if news.entry_id == gateway.entry_id:
        return
    if gateway.helpers.peer_links.record(news, time.monotonic()):
        log_event(
            _log, Event.PEER_LINKS, entry=news.entry_id, down=sorted(news.services)
        )


def _check_targets(gateway: LinkedEntry, service: ServiceName) -> list[CheckTarget]:
    return [
        CheckTarget(registration.endpoint_id, registration.address)
        for registration in gateway.endpoints.serving(service, time.monotonic())
    ]


def _owed_answers(gateway: LinkedEntry) -> Iterator[OwedAnswer]:
    for exchange in gateway.exchanges:
        dispatch = exchange.dispatch
        if dispatch is not None:
            yield OwedAnswer(exchange.service, dispatch.sent_at_s, dispatch.predicted_s)


def _tell(gateway: LinkedEntry, news: LinkNews) -> None:
    members = gateway.share_sync.members.live_peers(time.monotonic())
    addresses = [member.peer_address for member in members]
    gateway.peer_messenger.send_link_news(addresses, news)


def _on_links_down(
    gateway: LinkedEntry, service: ServiceName, doubted_at_s: float
) -> None:
    """Take back what failures said of single endpoints, and end attempts that can be
    made elsewhere.

    If anything was heard since the doubt began, open connections live on and are left
    alone. A call that must run at most once may have run, and waits.
    """
    gateway.endpoints.forgive_unreached(service)
    if gateway.reach.evidence.heard_at_s(service) > doubted_at_s:
        return
    now_s = asyncio.get_running_loop().time()
    for exchange in gateway.exchanges:
        timeout = exchange.attempt_timeout
        ends = exchange.service == service and exchange.route.is_retry_safe
        if ends and timeout is not None and not timeout.expired():
            exchange.links_lost = True
            timeout.reschedule(now_s)
