"""State of an entry process, shared by its tasks and handlers."""

import asyncio
import collections
import logging
import random
import time
import uuid
from collections.abc import Callable, Collection

from celerytrack.answer_limits import AnswerBytes
from celerytrack.callers.callers import Callers
from celerytrack.callers.limits import CallerTimes
from celerytrack.callers.metrics import register_callers
from celerytrack.durations import RecentDurations
from celerytrack.eras import EraChange, EraTracker
from celerytrack.events import Event, log_event
from celerytrack.findings import Findings
from celerytrack.gateway.connections import EndpointConnections
from celerytrack.gateway.crash_detector import CrashDetector
from celerytrack.gateway.crash_findings import CrashFindings
from celerytrack.gateway.endpoint_doubts import EndpointDoubts
from celerytrack.gateway.endpoint_queries import ask_witnesses, is_reached_elsewhere
from celerytrack.gateway.exchange import Exchange
from celerytrack.gateway.hedged_store import HedgedStore
from celerytrack.gateway.identity_checks import NamingChecks
from celerytrack.gateway.peer_messages import (
    MIN_PROMPT_WORK_S,
    LeavingMessage,
    LongPromptMessage,
    PeerMessage,
    PeerMessenger,
)
from celerytrack.gateway.peer_requests import PeerClient
from celerytrack.gateway.reach import make_reach, record_link_news
from celerytrack.gateway.share_sync import ShareSync
from celerytrack.gateway.suspect_sync import SuspectSync
from celerytrack.gateway.telemetry import Telemetry
from celerytrack.gateway.version_records import VersionRecords
from celerytrack.ids import EndpointId, EntryId, ServiceName
from celerytrack.limits.metrics import register_limits
from celerytrack.membership.member import Member
from celerytrack.notices.metrics import register_notices
from celerytrack.notices.owners import Peer
from celerytrack.notices.sync import NoticeSync
from celerytrack.notices.waiting import OpeningQueue
from celerytrack.origins.copy_messages import (
    CopiesAck,
    CopiesEnd,
    KeyedOriginNews,
    OriginCopies,
)
from celerytrack.origins.copy_store import TakenOver
from celerytrack.origins.messages import (
    EndpointEnded,
    OriginAnswer,
    OriginNews,
    OriginQuery,
    SoleVersionAnswer,
    SoleVersionQuery,
    VersionAck,
    VersionAnnouncement,
    VersionNews,
    VersionQuery,
)
from celerytrack.origins.recorded import ServiceVersion
from celerytrack.origins.ring import Holder
from celerytrack.origins.sole_versions import SoleVersions, SoleView
from celerytrack.origins.sync import OriginSync
from celerytrack.origins.unresolved import UnresolvedOrigins
from celerytrack.origins.version_acks import VersionAcks
from celerytrack.planned_stop import PlannedStop
from celerytrack.platform.settings import ProcessSettings
from celerytrack.platform.store import StoreClient
from celerytrack.reachability.helpers import HelperChoice
from celerytrack.reachability.messages import LinkNews
from celerytrack.routing.endpoint import Endpoint
from celerytrack.routing.endpoints import EndpointPool
from celerytrack.routing.leaving_bounds import LeavingBounds
from celerytrack.routing.retries import RetryBudget
from celerytrack.routing.routes import DEFAULT_HEALTH_PATH, RoutingTable
from celerytrack.routing.versions import VIEW_LEASE_S

_log = logging.getLogger(__name__)

MAX_MISSING_SHOWN = 8
"""Most entries that one log line names."""
RETRY_SHARE = 0.7
"""Part of the fleet-wide retry budget that entries use: an entry counts only its own
requests, and callers are not spread evenly."""


class Gateway:
    """State of one entry process.

    :param settings: settings of the process.
    :param started_s: start of the process on the monotonic clock.
    :ivar exchanges: requests admitted and not yet answered.
    :ivar stop: the planned stop, once it has begun.
    :ivar closing: whether the planned stop no longer waits for requests.
    :ivar durations: how long requests of each route took.
    :ivar config_known_at_s: time on the monotonic clock up to which every confirmed
        configuration is known here.
    :ivar endpoints_known_at_s: the same for the endpoints' registrations.
    :ivar complete_view_at_s: the same, without reads of a log that has lost some in a
        restore, which may not be written again yet.
    :ivar endpoints_read_time_s: duration of the last read of the registrations.
    :ivar endpoints_read: set by each read of the registrations.
    :ivar endpoints_reachable: whether the store answered that read.
    :ivar notices: what endpoints say of themselves in their answers.
    :ivar origins: what began the streams that callers may take up.
    :ivar sole_versions: the services that are proved to have had one version only.
    :ivar version_acks: the versions that all entries know.
    :ivar read_endpoints_now: has the registrations read at once.
    :ivar version_records: the versions of services on the log.
    :ivar endpoint_doubts: checks whether endpoints have started again.
    :ivar naming_checks: checks whether endpoints say who they are.
    :ivar unresolved_origins: streams that began at endpoints that were in doubt.
    :ivar reach: whether this entry reaches the endpoints.
    :ivar helpers: the entries that requests go through while it reaches none.
    :ivar relayed_bytes: answers of other entries that are read to their end.
    :ivar callers: what callers hold of this process.
    :ivar relays_in_progress: requests of other entries in progress here.
    :ivar openings: requests that wait for an endpoint to open, by service.
    :ivar suspect_sync: tracks which requests crash endpoints, here and elsewhere.
    :ivar crash_findings: what crashes of endpoints say of requests.
    :ivar suspects_in_flight: number of suspected requests that this entry has in
        flight at each endpoint.
    """

    def __init__(self, settings: ProcessSettings, started_s: float) -> None:
        self.settings = settings
        self.started_s = started_s
        self.entry_id = EntryId(f"{settings.entry_id}@{settings.ip}")
        self.boot_id = uuid.uuid4().hex[:8]
        self.rng = random.Random(self.boot_id)
        self.callers = Callers(settings.caller_limits, self._caller_times)
        self.eras = EraTracker()
        self.store = HedgedStore(StoreClient(settings.store_address, self.eras))
        self.peer_client = PeerClient()
        self.share_sync = ShareSync(
            self.store,
            self.entry_id,
            settings.front_address or "",
            settings.peer_address,
            settings.zone,
            self.peer_client,
            started_s,
            settings.link_mbps,
            self.eras,
        )
        self.peer_messenger = PeerMessenger(self._on_peer_message)
        self.notices = NoticeSync(
            self.entry_id,
            settings.peer_address,
            self.peer_messenger.send_notice_message,
            self._notice_peers,
            started_s,
            self.rng,
            self.share_sync.members.read_age_s,
        )
        self.openings: collections.defaultdict[ServiceName, OpeningQueue] = (
            collections.defaultdict(OpeningQueue)
        )
        bounds = LeavingBounds(settings.leaving_known_s, settings.endpoint_heartbeat_s)
        self.endpoints = EndpointPool(
            settings.zone, self.rng, self.notices.state, bounds
        )
        self.origins = OriginSync(
            self.entry_id,
            self.peer_messenger.send_origin_message,
            self._origin_holders,
            self._peer_address,
            self.endpoints,
            started_s,
            settings.zone,
            _log_taken_over,
        )
        self.version_records = VersionRecords(
            self.store,
            self.entry_id,
            f"{self.entry_id}/{self.boot_id}",
            self.endpoints,
            self.configured_services,
            self._live_entries,
            lambda: self.endpoints.known_at_s,
        )
        self.sole_versions = SoleVersions(
            self.entry_id,
            self.peer_messenger.send_origin_message,
            self._possible_holders,
            self._sole_view,
            lambda: self.read_endpoints_now(),
            self._peer_address,
        )
        self.read_endpoints_now: Callable[[], None] = lambda: None
        self.version_acks = VersionAcks(
            self.entry_id,
            self.peer_messenger.send_origin_message,
            self._known_holders,
            self.configured_services,
            self.endpoints,
            _log_established,
        )
        self.unresolved_origins = UnresolvedOrigins()
        self.endpoint_doubts = EndpointDoubts(
            self.endpoints,
            lambda endpoint: is_reached_elsewhere(self, endpoint),
            self._tell_endpoint_ended,
            self.rng,
            lambda endpoint, sign_s: ask_witnesses(self, endpoint, sign_s),
            self.resolve_origins,
        )
        self.naming_checks = NamingChecks()
        self.endpoints_known = False
        self.routing_table: RoutingTable | None = None
        self._services: frozenset[ServiceName] = frozenset()
        self._services_of: RoutingTable | None = None
        self.config_known_at_s = float("-inf")
        self.endpoints_known_at_s = float("-inf")
        self.complete_view_at_s = float("-inf")
        self.endpoints_read_time_s = 0.0
        self.endpoints_reachable = True
        self.endpoints_read = asyncio.Event()
        self.telemetry = Telemetry()
        register_limits(self.telemetry.registry, self.notices.limits)
        register_notices(self.telemetry.registry, self.notices)
        register_callers(self.telemetry.registry, self.callers)
        self.eras.on_change(self._on_era_change)
        self.in_flight = 0
        self.exchanges: set[Exchange] = set()
        self.stop: PlannedStop | None = None
        self.closing = False
        self.durations = RecentDurations()
        self._retry_budgets: dict[ServiceName, RetryBudget] = {}
        self.helpers = HelperChoice(settings.zone, self.rng)
        self.relays_in_progress = 0
        self.reach = make_reach(self)
        self.connections = EndpointConnections(
            self._may_send,
            lambda endpoint: self.reach.record_connected(endpoint.registration.service),
            self._doubt_endpoint,
            settings.answer_limits,
        )
        self.relayed_bytes = AnswerBytes(settings.answer_limits)
        self.crash_findings: CrashFindings
        self.crash_detector = CrashDetector(
            self.endpoints.is_superseded,
            self._ends_by_itself,
            lambda endpoint: is_reached_elsewhere(self, endpoint),
            lambda crashed: self.crash_findings.on_crash(crashed),
        )
        self.suspect_sync = SuspectSync(
            self.store,
            self.entry_id,
            self.boot_id,
            self.eras,
            self._send_findings,
            lambda findings: self.crash_findings.on_merged(findings),
        )
        self.crash_findings = CrashFindings(
            self.suspect_sync, self.endpoints.mark_crashed, self.telemetry, self.rng
        )
        self.suspects_in_flight: collections.Counter[EndpointId] = collections.Counter()

    @property
    def leaving(self) -> bool:
        """Whether a planned stop has begun: callers are sent to other entries."""
        return self.stop is not None

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        return (
            not self.leaving
            and self.routing_table is not None
            and self.endpoints_known
            and self.suspect_sync.loaded
            and self.share_sync.started
        )

    def config_age_s(self, now_s: float) -> float:
        """Age of the known configuration."""
        return now_s - self.config_known_at_s

    def may_deny(self, now_s: float) -> bool:
        """Whether a route or key that is missing here certainly does not exist.

        If the known configuration is too old, the route or key may be in force
        elsewhere: after a final refusal its callers would not try another entry.
        """
        return self.config_age_s(now_s) < self.settings.config_in_force_s

    def endpoints_view_age_s(self, now_s: float) -> float:
        """Age of the known registrations."""
        return now_s - self.endpoints_known_at_s

    def is_endpoint_view_stale(self, now_s: float) -> bool:
        """Whether the log answers, but too slowly to learn in time that an endpoint
        leaves.

        On a link saturated by callers a read takes seconds, and an endpoint that left
        meanwhile looks ready; a request sent to it then waits as long for the link
        again. While the log is unreachable, the known registrations stay valid.
        """
        age_s = now_s - self.endpoints_known_at_s
        arrives_s = age_s + self.endpoints_read_time_s
        return self.endpoints_reachable and arrives_s > self.settings.leaving_known_s

    def _on_era_change(self, change: EraChange) -> None:
        self.telemetry.store_restores.inc()
        if not self.share_sync.started:
            # What this process has read so far may be from the backup.
            self.config_known_at_s = float("-inf")
        self.endpoints.on_log_restored()
        self.version_records.reload()

    def _send_findings(self, findings: Findings) -> None:
        members = self.share_sync.members.live_peers(time.monotonic())
        self.suspect_sync.entry_count = len(members) + 1
        addresses = [member.peer_address for member in members]
        self.peer_messenger.send_findings(addresses, findings)

    def _on_peer_message(self, message: PeerMessage) -> None:
        match message:
            case LongPromptMessage(endpoint_id, work_s):
                self.endpoints.add_peer_prefill(endpoint_id, work_s, time.monotonic())
            case LeavingMessage(entry_id, started_s):
                self.share_sync.members.mark_leaving(entry_id, started_s)
                log_event(_log, Event.PEER_LEAVING, entry=entry_id)
                self.notices.tick(time.monotonic())
            case Findings():
                self.crash_findings.receive(message)
            case LinkNews():
                record_link_news(self, message)
            case EndpointEnded():
                self.endpoint_doubts.receive(message, time.monotonic())
            case (
                OriginNews()
                | OriginQuery()
                | OriginAnswer()
                | VersionNews()
                | VersionQuery()
                | OriginCopies()
                | CopiesAck()
                | CopiesEnd()
                | KeyedOriginNews()
            ):
                self.origins.receive(message, time.monotonic())
            case VersionAnnouncement(asker):
                address = self._peer_address(asker)
                self.version_acks.receive(message, address, time.monotonic())
            case VersionAck():
                self.version_acks.receive(message, None, time.monotonic())
            case SoleVersionQuery() | SoleVersionAnswer():
                self.sole_versions.receive(message, time.monotonic())
            case _:
                self.notices.receive(message)

    def _peer_address(self, entry_id: EntryId) -> str | None:
        member = self.share_sync.members.member(entry_id)
        return None if member is None else member.peer_address

    def configured_services(self) -> Collection[ServiceName]:
        """The services that the configuration in force names."""
        table = self.routing_table
        if table is not self._services_of:
            routes = table.routes if table else ()
            named = (service for route in routes for service, _ in route.services)
            listed = table.services if table else ()
            self._services = frozenset((*named, *listed))
            self._services_of = table
        return self._services

    def _live_entries(self) -> list[EntryId]:
        members = self.share_sync.members.live_peers(time.monotonic())
        return [self.entry_id, *(member.entry_id for member in members)]

    def _origin_holders(self, now_s: float) -> list[Holder]:
        holders = list(map(_holder_of, self.share_sync.members.live_peers(now_s)))
        if not self.leaving:
            address = self.settings.peer_address or ""
            zone = self.settings.zone
            holders.append(Holder(self.entry_id, address, self.started_s, zone))
        return holders

    def _possible_holders(self, now_s: float) -> list[Holder]:
        return list(map(_holder_of, self.share_sync.members.possible_peers()))

    def _caller_times(self) -> CallerTimes:
        return self.routing_table.caller_times if self.routing_table else CallerTimes()

    def _known_holders(self, now_s: float) -> list[Holder] | None:
        members = self.share_sync.members
        if not self.share_sync.started or members.read_age_s(now_s) > VIEW_LEASE_S:
            return None
        # One whose rows are not written may read on, and have a view lease.
        return list(map(_holder_of, members.known_peers()))

    def _sole_view(self, service: ServiceName, now_s: float) -> SoleView | None:
        if not self.version_records.loaded:
            # Which versions there were before this entry started is not known.
            return None
        versions = self.endpoints.versions(service, now_s)
        if not versions or self.endpoints.has_versions(service, now_s):
            return None
        view_at_s = now_s - self.endpoints_view_age_s(now_s)
        read_at_s = min(view_at_s, self.complete_view_at_s)
        return SoleView(next(iter(versions)), read_at_s)

    def _notice_peers(self, now_s: float) -> list[Peer]:
        members = self.share_sync.members.live_peers(now_s)
        return [
            Peer(member.entry_id, member.peer_address, str(member.started_s))
            for member in members
        ]

    def _ends_by_itself(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint that ends is no sign against the requests that it ran."""
        tracker = self.notices.limits.tracker
        is_brittle = tracker.bears_per_s(endpoint.endpoint_id) is not None
        return is_brittle or self.endpoints.is_leaving(endpoint)

    def resolve_origins(self) -> None:
        """Record the origins that the newest registrations tell."""
        if not self.unresolved_origins:
            return
        now_s = time.monotonic()
        origin_at = self.endpoints.origin_at
        for stream, origin in self.unresolved_origins.pop_resolved(origin_at, now_s):
            self.origins.record_began(stream, origin, now_s)

    def _tell_endpoint_ended(self, ended: EndpointEnded) -> None:
        for member in self.share_sync.members.live_peers(time.monotonic()):
            self.peer_messenger.send_origin_message(member.peer_address, ended)

    def _doubt_endpoint(self, endpoint: Endpoint, announced: bool) -> None:
        self.endpoint_doubts.record_sign(endpoint, time.monotonic(), announced)

    def _may_send(self, endpoint: Endpoint) -> bool:
        return self.endpoints.may_send(endpoint, time.monotonic())

    def announce_leaving(self) -> None:
        """Announce the planned stop, so that no entry sends callers here any longer."""
        self.notices.begin_leaving()
        members = self.share_sync.members.live_peers(time.monotonic())
        addresses = [member.peer_address for member in members]
        self.peer_messenger.send_leaving(
            addresses, LeavingMessage(self.entry_id, self.started_s)
        )

    def announce_prompt(self, endpoint_id: EndpointId, work_s: float) -> None:
        """Announce a long prompt sent to an endpoint to the other entries that have
        callers.

        In a fleet of hundreds, a message to every entry would fill the links of those
        that send nothing to engines.
        """
        if work_s < MIN_PROMPT_WORK_S:
            return
        split = self.share_sync.members.caller_split(time.monotonic())
        addresses = [member.peer_address for member in split.caller_peers]
        self.peer_messenger.send_long_prompt(
            addresses, LongPromptMessage(endpoint_id, work_s)
        )

    def fleet_load_ratio(self, service: ServiceName, now_s: float) -> float:
        """Load of the fleet at a service as a multiple of this entry's load.

        Entries whose links are down send through the others.
        """
        split = self.share_sync.members.caller_split(now_s)
        peers = (member.entry_id for member in split.caller_peers)
        down = self.helpers.peer_links.count_down(peers, service, now_s)
        if not down:
            return split.fleet_load_ratio
        sending = (split.caller_entries - down) / split.caller_entries
        return max(1.0, split.fleet_load_ratio * sending)

    def max_connections(self, service: ServiceName) -> int:
        """Connections that each endpoint of ``service`` accepts from all entries."""
        assert self.routing_table is not None
        known = self.routing_table.services.get(service)
        return known.max_connections if known else 1

    def health_path(self, service: ServiceName) -> str:
        """The path at which an endpoint of ``service`` says who it is."""
        known = self.routing_table.services.get(service) if self.routing_table else None
        return known.health_path if known else DEFAULT_HEALTH_PATH

    def retry_budget(self, service: ServiceName, now_s: float) -> RetryBudget:
        """The retry budget for ``service``, with this entry's share of the burst."""
        shares = self.share_sync.members.caller_split(now_s).rate_limit_shares
        burst = RETRY_SHARE * self.settings.retry_slack / 2 / shares
        budget = self._retry_budgets.get(service)
        if budget is None:
            ratio = self.settings.retry_ratio * RETRY_SHARE
            budget = RetryBudget(ratio, burst, self.rng)
            self._retry_budgets[service] = budget
        elif budget.burst != burst:
            budget.resize(burst)
        return budget

    async def close(self) -> None:
        """Close all connections."""
        await self.crash_detector.close()
        await self.endpoint_doubts.close()
        await self.sole_versions.close()
        await self.naming_checks.close()
        await self.connections.close()
        self.peer_messenger.close()
        await self.peer_client.close()
        await self.store.close()


def _holder_of(member: Member) -> Holder:
    return Holder(member.entry_id, member.peer_address, member.started_s, member.zone)


def _log_taken_over(taken: TakenOver) -> None:
    log_event(
        _log,
        Event.STREAMS_TAKEN_OVER,
        entry=taken.primary.entry_id,
        service=taken.service,
        streams=sum(len(group.keys) for group in taken.groups),
    )


def _log_established(
    subject: ServiceVersion, missing: list[EntryId], took_s: float
) -> None:
    log_event(
        _log,
        Event.VERSION_ESTABLISHED,
        service=subject.service,
        version=subject.version,
        took_ms=round(took_s * 1_000),
        missing=missing[:MAX_MISSING_SHOWN],
    )
