"""What one entry process knows, shared by its tasks and handlers."""

import collections
import logging
import random
import time
import uuid

from cachetools import LRUCache

from celerytrack.durations import RecentDurations
from celerytrack.endpoints import EndpointPool
from celerytrack.eras import EraChange, EraWatch
from celerytrack.events import Event, log_event
from celerytrack.findings import Crash, Findings
from celerytrack.fingerprint import Fingerprint
from celerytrack.gateway.connections import EndpointConnections
from celerytrack.gateway.ended_endpoints import EndedEndpoint, EndedEndpoints
from celerytrack.gateway.exchange import Exchange
from celerytrack.gateway.gifts import GiftClient
from celerytrack.gateway.hedged_store import HedgedStore
from celerytrack.gateway.peer_notes import (
    NOTE_LEAST_S,
    LeaveNote,
    Note,
    PeerNotes,
    PromptNote,
)
from celerytrack.gateway.share_keeper import ShareKeeper
from celerytrack.gateway.suspect_keeper import SuspectKeeper
from celerytrack.gateway.telemetry import Telemetry
from celerytrack.ids import EndpointId, EntryId, ServiceName
from celerytrack.planned_stop import PlannedStop
from celerytrack.platform.settings import ProcessSettings
from celerytrack.platform.store import StoreClient
from celerytrack.retries import RetryBudget
from celerytrack.routes import RoutingTable
from celerytrack.suspect_logs import log_quarantined
from celerytrack.suspects import MAX_SUSPECTS, SuspectState

_log = logging.getLogger(__name__)

RETRY_SHARE = 0.7
"""Share of the fleet-wide allowance for second attempts that entries use: an
entry counts its own requests only, and callers are not spread evenly."""


class Gateway:
    """State of one entry process.

    :param settings: its place in the deployment.
    :param started_s: when the process began, on the steady clock.
    :ivar exchanges: requests admitted and not yet answered.
    :ivar stop: the planned stop, once it has begun.
    :ivar closing: the planned stop waits for no more requests.
    :ivar durations: how long requests of each route took.
    :ivar config_known_at_s: up to when each configuration that was confirmed is
        known here, on the steady clock.
    :ivar endpoints_known_at_s: the same of the endpoints' registrations.
    :ivar endpoints_took_s: how long the last read of them took.
    :ivar endpoints_reachable: whether the last read of them was answered.
    :ivar suspects: which requests end endpoints.
    :ivar suspects_at: how many requests under suspicion this entry has at each
        endpoint.
    """

    def __init__(self, settings: ProcessSettings, started_s: float) -> None:
        self.settings = settings
        self.started_s = started_s
        self.entry_id = EntryId(f"{settings.entry_id}@{settings.ip}")
        self.boot_id = uuid.uuid4().hex[:8]
        self.rng = random.Random(self.boot_id)
        self.eras = EraWatch()
        self.store = HedgedStore(StoreClient(settings.store_address, self.eras))
        self.gifts = GiftClient()
        self.keeper = ShareKeeper(
            self.store,
            self.entry_id,
            settings.front_address or "",
            settings.peer_address,
            settings.zone,
            self.gifts,
            started_s,
            settings.link_mbps,
            self.eras,
        )
        self.endpoints = EndpointPool(settings.zone, self.rng)
        self.endpoints_known = False
        self.notes = PeerNotes(self._take_note)
        self.table: RoutingTable | None = None
        self.config_known_at_s = float("-inf")
        self.endpoints_known_at_s = float("-inf")
        self.endpoints_took_s = 0.0
        self.endpoints_reachable = True
        self.telemetry = Telemetry()
        self.eras.on_change(self._era_changed)
        self.in_flight = 0
        self.exchanges: set[Exchange] = set()
        self.stop: PlannedStop | None = None
        self.closing = False
        self.durations = RecentDurations()
        self._retries: dict[ServiceName, RetryBudget] = {}
        self.connections = EndpointConnections()
        self.ended_endpoints = EndedEndpoints(
            self.endpoints.is_superseded, self._endpoint_ended
        )
        self.suspects = SuspectKeeper(
            self.store,
            self.entry_id,
            self.boot_id,
            self.eras,
            self._tell_findings,
            self._log_shut_out,
        )
        self.suspects_at: collections.Counter[EndpointId] = collections.Counter()
        self._shut_out: LRUCache[Fingerprint, frozenset[Crash]] = LRUCache(MAX_SUSPECTS)

    @property
    def leaving(self) -> bool:
        """Whether a planned stop has begun: callers are told to go elsewhere."""
        return self.stop is not None

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        return (
            not self.leaving
            and self.table is not None
            and self.endpoints_known
            and self.suspects.started
            and self.keeper.started
        )

    def config_age_s(self, now_s: float) -> float:
        """How old what is known of the configuration is."""
        return now_s - self.config_known_at_s

    def may_deny(self, now_s: float) -> bool:
        """Whether what the configuration here does not have does not exist.

        A route or key that is in force may not have been heard of here: denied for
        good, its callers would not ask another entry.
        """
        return self.config_age_s(now_s) < self.settings.config_in_force_s

    def endpoints_late(self, now_s: float) -> bool:
        """Whether the log answers, but an endpoint's leaving would be known too late.

        On a link that callers fill a read takes seconds, and an endpoint that left
        meanwhile looks ready; a request that is sent to it then waits as long for the
        link again. Without the log, what is known stands.
        """
        age_s = now_s - self.endpoints_known_at_s
        arrives_s = age_s + self.endpoints_took_s
        return self.endpoints_reachable and arrives_s > self.settings.leaving_known_s

    def _era_changed(self, change: EraChange) -> None:
        self.telemetry.store_restores.inc()
        if not self.keeper.started:
            # What was read since this start may be of the copy.
            self.config_known_at_s = float("-inf")
        self.endpoints.on_log_restored()

    def _endpoint_ended(self, ended: EndedEndpoint) -> None:
        self.telemetry.endpoints_ended.inc()
        log_event(
            _log,
            Event.ENDPOINT_ENDED,
            logging.WARNING,
            endpoint=ended.endpoint.endpoint_id,
            fingerprints=sorted(f.hex() for f in ended.broken),
        )
        now_s = time.monotonic()
        registration = ended.endpoint.registration
        self.endpoints.mark_crashed(registration.endpoint_id, now_s)
        ending = Crash(
            registration.endpoint_id, registration.born_ms, registration.build
        )
        found = self.suspects.book.record_crash(ending, ended.broken, now_s)
        self.suspects.publish(found)
        self._log_shut_out(found)

    def _tell_findings(self, findings: Findings) -> None:
        members = self.keeper.members.live_peers(time.monotonic())
        self.suspects.entries = len(members) + 1
        addresses = [member.peer_address for member in members]
        self.notes.tell_findings(addresses, findings)

    def _hear_findings(self, findings: Findings) -> None:
        now_s = time.monotonic()
        for evidence in findings.evidence:
            self.endpoints.mark_crashed(evidence.crash.endpoint_id, now_s)
        self.suspects.hear(findings)

    def _log_shut_out(self, findings: Findings) -> None:
        """Log once who is shut out by what was found."""
        now_s = time.monotonic()
        for fingerprint in {evidence.fingerprint for evidence in findings.evidence}:
            suspect = self.suspects.book.describe(fingerprint, now_s)
            if suspect.state is not SuspectState.QUARANTINED:
                continue
            endings = frozenset(suspect.crashes)
            if self._shut_out.get(fingerprint) == endings:
                continue
            self._shut_out[fingerprint] = endings
            log_quarantined(_log, suspect)

    def count_suspects(self) -> None:
        """Have the metrics tell how many requests are under suspicion."""
        suspects = self.suspects.book.list_suspects(time.monotonic())
        counts = collections.Counter(suspect.state for suspect in suspects)
        for standing in (
            SuspectState.WATCHED,
            SuspectState.PROBE_ONLY,
            SuspectState.QUARANTINED,
        ):
            self.telemetry.suspects.labels(standing.value).set(counts[standing])

    def _take_note(self, note: Note) -> None:
        match note:
            case PromptNote(endpoint_id, work_s):
                self.endpoints.add_peer_prefill(endpoint_id, work_s, time.monotonic())
            case LeaveNote(entry_id, started_s):
                self.keeper.members.mark_leaving(entry_id, started_s)
                log_event(_log, Event.PEER_LEAVING, entry=entry_id)
            case Findings():
                self._hear_findings(note)

    def tell_leaving(self) -> None:
        """Tell the others, who send callers here, that a planned stop has begun."""
        members = self.keeper.members.live_peers(time.monotonic())
        addresses = [member.peer_address for member in members]
        self.notes.tell_leaving(addresses, LeaveNote(self.entry_id, self.started_s))

    def tell_prompt(self, endpoint_id: EndpointId, work_s: float) -> None:
        """Tell the others that have callers of a long prompt sent to an endpoint: in a
        fleet of hundreds a note to each entry would fill the links of those that send
        nothing to engines."""
        if work_s < NOTE_LEAST_S:
            return
        division = self.keeper.members.caller_split(time.monotonic())
        addresses = [member.peer_address for member in division.caller_peers]
        self.notes.tell_prompt(addresses, PromptNote(endpoint_id, work_s))

    def load_times(self, now_s: float) -> float:
        """How many times the work of this entry the fleet does."""
        return self.keeper.members.caller_split(now_s).fleet_load_ratio

    def retry_budget(self, service: ServiceName, now_s: float) -> RetryBudget:
        """The allowance for second attempts at ``service``."""
        budget = self._retries.get(service)
        if budget is None:
            share = RETRY_SHARE * self.settings.retry_slack / 2
            burst = max(
                1.0, share / self.keeper.members.caller_split(now_s).rate_limit_shares
            )
            budget = RetryBudget(self.settings.retry_ratio * RETRY_SHARE, burst)
            self._retries[service] = budget
        return budget

    async def close(self) -> None:
        """Close the connections to endpoints and store."""
        await self.ended_endpoints.close()
        await self.connections.close()
        self.notes.close()
        await self.gifts.close()
        await self.store.close()
