"""The links of this entry to replicas, for the own interface: what their monitor asks
and does."""

import asyncio
import contextlib
import logging
import random
import time
from collections import defaultdict
from collections.abc import Iterator
from typing import Protocol

import aiohttp

from celerytrack.entry.fleet_view import FleetView
from celerytrack.entry.notices import EntryNotices
from celerytrack.entry.relay_format import REPLICA_PATH
from celerytrack.events import Event, log_event
from celerytrack.ids import EndpointId, EntryId, ReplicaId, ServiceName
from celerytrack.reachability.check import CheckTarget
from celerytrack.reachability.helpers import Helper, HelperChoice
from celerytrack.reachability.messages import LinkNews
from celerytrack.reachability.monitor import EntryLinks, ReachMonitor

_log = logging.getLogger(__name__)

MAX_ASKED = 3
"""Entries that are asked whether they reach a replica."""
ASK_TIMEOUT_S = 0.3


class LinkedEntry(Protocol):
    """What the links of an entry concern in its state."""

    entry_id: EntryId
    rng: random.Random
    view: FleetView
    notices: EntryNotices
    helpers: HelperChoice
    reach: ReachMonitor
    ended_with_links: defaultdict[str, set[asyncio.Timeout]]

    @property
    def relay_session(self) -> aiohttp.ClientSession:
        """The HTTP session for requests through other entries."""


def make_reach(state: LinkedEntry) -> ReachMonitor:
    """Make the monitor of an entry's links.

    Polls of the replicas find silence, so no owed answers are watched for it.
    """
    links = EntryLinks(
        state.entry_id,
        time.monotonic(),
        lambda service: _check_targets(state, service),
        lambda: (),
        state.notices.tell_links,
        lambda service, doubted_at_s: _on_links_down(state, service, doubted_at_s),
        expire=state.helpers.expire,
    )
    return ReachMonitor(links, state.rng)


def potential_helpers(state: LinkedEntry, now_s: float) -> list[Helper]:
    """The entries that may send a request for this one."""
    return [
        Helper(entry_id, info.relay_address, info.zone)
        for entry_id, info in state.view.entries.items()
        if entry_id != state.entry_id and info.relay_address and info.is_usable(now_s)
    ]


@contextlib.contextmanager
def ended_if_links_fail(
    state: LinkedEntry, model: str, may_repeat: bool
) -> Iterator[asyncio.Timeout]:
    """A timeout that expires when this entry reaches no replica of ``model``.

    :param may_repeat: whether the attempt may be made again elsewhere; otherwise it is
        left to its own end.
    """
    timeout = asyncio.timeout(None)
    if may_repeat:
        state.ended_with_links[model].add(timeout)
    try:
        yield timeout
    finally:
        state.ended_with_links[model].discard(timeout)


def record_link_news(state: LinkedEntry, news: LinkNews) -> None:
    """Record what another entry says of its links."""
    if news.entry_id == state.entry_id:
        return
    if state.helpers.peer_links.record(news, time.monotonic()):
        log_event(
            _log, Event.PEER_LINKS, entry=news.entry_id, down=sorted(news.services)
        )


async def is_reached_elsewhere(state: LinkedEntry, replica_id: ReplicaId) -> bool:
    """Whether a replica that refuses connections here has not ended: another entry
    reaches it, or this one reaches none."""
    replica = state.view.replicas.get(replica_id)
    if replica is None:
        return False
    service = ServiceName(replica.model)
    seen_by = None
    reached = await state.reach.may_be_cut_off(service)
    if not reached:
        helpers = potential_helpers(state, time.monotonic())
        asked = state.rng.sample(helpers, min(MAX_ASKED, len(helpers)))
        answers = await asyncio.gather(
            *(_is_reached_by(state, helper, replica_id) for helper in asked)
        )
        reached = any(answers)
        seen_by = asked[answers.index(True)].entry_id if reached else None
    if reached:
        log_event(
            _log,
            Event.CRASH_UNCONFIRMED,
            logging.WARNING,
            endpoint=replica_id,
            seen_by=seen_by,
        )
    return reached


async def _is_reached_by(
    state: LinkedEntry, helper: Helper, replica_id: ReplicaId
) -> bool:
    timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT_S)
    try:
        async with state.relay_session.get(
            f"http://{helper.address}{REPLICA_PATH}",
            params={"replica": replica_id},
            timeout=timeout,
        ) as answer:
            return answer.status == 204
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False


def _check_targets(state: LinkedEntry, service: ServiceName) -> list[CheckTarget]:
    return [
        CheckTarget(EndpointId(replica_id), state.view.addresses[replica_id])
        for replica_id, replica in state.view.replicas.items()
        if replica.model == service and not replica.leaving
    ]


def _on_links_down(
    state: LinkedEntry, service: ServiceName, doubted_at_s: float
) -> None:
    """Take back what failures said of single replicas, and end attempts that can be
    made elsewhere, unless open connections live on."""
    for replica in state.view.replicas.values():
        if replica.model == service:
            replica.record_success()
    if state.reach.evidence.heard_at_s(service) > doubted_at_s:
        return
    now_s = asyncio.get_running_loop().time()
    for timeout in state.ended_with_links[service]:
        if not timeout.expired():
            timeout.reschedule(now_s)
