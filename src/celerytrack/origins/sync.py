"""Keeps the origins of streams in the memory of entries.

The entry that passes on the first event of a stream records what wrote it. While a
service has several versions, it tells three entries, the stream's holders, which all
entries find by the stream's name alone. Whoever is asked to go on with a stream that it
doesn't know asks these, and two more, since two entries may know different members.

While a service has one version, three entries that are the same for all streams of this
one keep copies instead, and tell the holders in its place if it is lost.
"""

import asyncio
import collections
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs

from celerytrack.ids import EndpointId, EntryId, ServiceName, Zone
from celerytrack.origins.copy_messages import (
    BegunStream,
    CopiesAck,
    CopiesEnd,
    KeyedOriginNews,
    OriginCopies,
)
from celerytrack.origins.copy_sender import CopySender, Primary, choose_backups
from celerytrack.origins.copy_store import CopyStore, TakenOver
from celerytrack.origins.holders import (
    COPIES,
    OwnStream,
    OwnStreams,
    SendMessage,
    StreamHolders,
    drop_old,
)
from celerytrack.origins.lookups import Lookup, Lookups
from celerytrack.origins.memory import (
    KEEP_S,
    FoundOrigin,
    OriginMemory,
    StreamId,
    StreamKey,
)
from celerytrack.origins.messages import (
    MAX_ORIGINS,
    OriginAnswer,
    OriginMessage,
    OriginNews,
    OriginQuery,
    SeenVersion,
    VersionNews,
    VersionQuery,
)
from celerytrack.origins.origin import StreamOrigin
from celerytrack.origins.ring import NO_ZONE, Holder

ASKED = 5
"""Entries that are asked for it."""
ASK_AGAIN_AFTER_S = (0.06, 0.14)
"""When the entries that have not answered, or did not know, are asked again: a message
may be lost, or be on its way to them."""
TICK_S = 0.1
MAX_VERSION_QUERIES = 10
"""How often an entry that starts asks which versions there were."""
MEMBERS_INTERVAL_S = 1.0
"""Interval at which they are read while no holder is told anything."""
TOLD_WITHIN_S = 0.5
"""Time from a service's second version until its streams' holders are told by the
entry at which they began, unless that one is lost."""


@attrs.frozen
class KnownOrigin:
    """What began a stream, and how this entry knows.

    :ivar known_from: the entry that told it; ``None`` if it was known here.
    """

    found: FoundOrigin
    known_from: EntryId | None


@attrs.frozen
class Finding:
    """What came of asking what began a stream.

    :ivar heard: whether an entry answered, or there is no other.
    """

    known: KnownOrigin | None
    heard: bool


class Versions(Protocol):
    """The versions of services, as the registrations and other entries say."""

    def has_versions(self, service: ServiceName, now_s: float) -> bool:
        """Whether a service has several versions, or had until lately."""

    def record_version(self, service: ServiceName, version: str, seen_s: float) -> None:
        """Record that an endpoint of a service had a version at a time."""

    def origin_of_past(
        self, endpoint_id: EndpointId, at_s: float
    ) -> StreamOrigin | None:
        """What ran at an endpoint at a time; ``None`` while that is not known."""

    def seen_versions(self) -> Iterable[tuple[ServiceName, str, float]]:
        """Each service and version, and when it was last seen."""


class OriginSync:
    """The origins of streams that this entry knows or can ask for.

    :param send: sends a message to the entry at an address, without guarantee.
    :param live_holders: returns the live entries, this one included.
    :param address_of: returns the address of any known entry, also of one that leaves.
    :param versions: the versions of services.
    :param started_s: start of this entry.
    :param zone: its failure domain.
    :param on_taken_over: called with copies of other entries' streams that this one
        acts on.
    """

    def __init__(
        self,
        entry_id: EntryId,
        send: SendMessage,
        live_holders: Callable[[float], Iterable[Holder]],
        address_of: Callable[[EntryId], str | None],
        versions: Versions,
        started_s: float,
        zone: Zone = NO_ZONE,
        on_taken_over: Callable[[TakenOver], None] = lambda taken: None,
    ) -> None:
        self._on_taken_over = on_taken_over
        self.memory = OriginMemory()
        self._zone = zone
        self._sender = CopySender(Primary(entry_id, started_s), send)
        self._store = CopyStore(entry_id, send, address_of)
        self._several_since_s: dict[ServiceName, float] = {}
        self._entry_id = entry_id
        self._send = send
        self._address_of = address_of
        self._versions = versions
        self._started_s = started_s
        self._versions_told = False
        self._versions_asked = 0
        self._announced_s: dict[tuple[ServiceName, str], float] = {}
        self._lookups = Lookups()
        self._holders = StreamHolders(
            entry_id,
            send,
            live_holders,
            lambda: self.memory.known_streams(),
            versions.has_versions,
        )
        self._members_at_s = float("-inf")
        self._told_here_s = float("-inf")
        self._untold: collections.defaultdict[ServiceName, OwnStreams]
        self._untold = collections.defaultdict(OrderedDict)

    def record_began(
        self, stream: StreamId, origin: StreamOrigin, now_s: float
    ) -> None:
        """Record that a stream began here, and tell its holders if it matters."""
        key = stream.key
        has_versions = self._versions.has_versions(origin.service, now_s)
        was_in_doubt = self._sender.end_doubt(key)
        copied = was_in_doubt or not has_versions
        self._record_own(key, OwnStream(origin, now_s, stream, copied), now_s)
        if has_versions:
            self._tell_untold(origin.service, now_s)
        else:
            self._sender.add(BegunStream(key, origin))

    def record_in_doubt(
        self, stream: StreamId, service: ServiceName, endpoint_id: EndpointId
    ) -> None:
        """Record that a stream began here, at an endpoint whose version is in doubt."""
        origin = StreamOrigin(service, None)
        self._sender.add(BegunStream(stream.key, origin, endpoint_id))

    def _record_own(self, key: StreamKey, own: OwnStream, now_s: float) -> None:
        self.memory.record(key, own.origin, now_s)
        untold = self._untold[own.origin.service]
        untold[key] = own
        drop_old(untold, now_s)

    async def run(self) -> None:
        """Tell what has come to matter, until cancelled."""
        while True:
            self.tick(time.monotonic())
            await asyncio.sleep(TICK_S)

    def tick(self, now_s: float) -> None:
        """Tell the holders what they may not know: when a service gets a second
        version, and when members change."""
        self._follow_members(now_s)
        self._take_over_untold(now_s)
        for service in list(self._untold):
            if self._untold[service] and self._versions.has_versions(service, now_s):
                self._tell_untold(service, now_s)
        self._sender.flush(now_s)
        self._store.acknowledge(now_s)
        self._holders.hand_over(now_s)
        if not self._versions_told and self._versions_asked < MAX_VERSION_QUERIES:
            self._ask_versions(now_s)

    def receive(self, message: OriginMessage, now_s: float) -> None:
        """Apply a message of another entry about streams or versions."""
        match message:
            case OriginNews(origins):
                self._told_here_s = now_s
                for stream, origin in origins:
                    self.memory.record(stream.key, origin, now_s)
                    self._record_version(origin, now_s)
            case KeyedOriginNews(groups):
                self._told_here_s = now_s
                for group in groups:
                    for key in group.keys:
                        self.memory.record(key, group.origin, now_s)
                    self._record_version(group.origin, now_s)
            case OriginCopies():
                self._store.keep(message, now_s)
            case CopiesAck():
                self._sender.receive(message)
            case CopiesEnd():
                self._keep_told(self._store.pop_ended(message), now_s)
            case OriginQuery(asker, number, stream):
                self._answer(asker, number, stream, now_s)
            case OriginAnswer():
                self._lookups.receive(message)
            case VersionQuery(asker):
                self._answer_versions(asker, now_s)
            case VersionNews(seen):
                self._versions_told = True
                for row in seen:
                    self._announced_s[row.service, row.version] = now_s
                    self._versions.record_version(
                        row.service, row.version, now_s - row.age_s
                    )

    def _record_version(self, origin: StreamOrigin, now_s: float) -> None:
        if origin.version is not None:
            self._versions.record_version(origin.service, origin.version, now_s)

    def knows_versions(self, now_s: float) -> bool:
        """Whether this entry knows of each version that may have begun a stream.

        One that has just started learns from others which versions ended before.
        """
        return self._versions_told or now_s - self._started_s > KEEP_S

    def announce_version(
        self, service: ServiceName, version: str, now_s: float
    ) -> None:
        """Tell all entries of a version of a service that has another as well, unless
        one has told it lately: registrations are read at different moments, and a
        version may come back."""
        announced_s = self._announced_s.get((service, version), float("-inf"))
        if now_s - announced_s < KEEP_S:
            return
        self._announced_s[service, version] = now_s
        self._update_members(now_s)
        news = VersionNews((SeenVersion(service, version, 0.0),))
        for holder in self._holders.others():
            self._send(holder.address, news)

    async def find(self, stream: StreamId, now_s: float) -> Finding:
        """Find what began a stream, here or at other entries."""
        held = self.memory.find(stream.key, now_s)
        if held is not None:
            return Finding(KnownOrigin(held, None), heard=True)
        with self._lookups.open(stream.account) as lookup:
            if lookup is None:
                return Finding(None, heard=False)
            finding = await self._ask(lookup, stream, now_s)
        if finding.known is not None:
            origin = finding.known.found.origin
            self.memory.record(stream.key, origin, time.monotonic())
        return finding

    async def _ask(self, lookup: Lookup, stream: StreamId, now_s: float) -> Finding:
        self._update_members(now_s)
        asked = self._holders.other_holders_of(stream.key, ASKED)
        if not asked:
            return Finding(None, heard=True)
        query = OriginQuery(self._entry_id, lookup.number, stream)
        for wait_s in (*ASK_AGAIN_AFTER_S, ASK_AGAIN_AFTER_S[0]):
            lookup.awaited.update(holder.entry_id for holder in asked)
            lookup.changed.clear()
            for holder in asked:
                self._send(holder.address, query)
            await _wait(lookup, wait_s)
            if lookup.found is not None:
                return Finding(KnownOrigin(lookup.found, lookup.found_by), heard=True)
        return Finding(None, lookup.heard)

    def _answer(
        self, asker: EntryId, number: int, stream: StreamId, now_s: float
    ) -> None:
        address = self._address_of(asker)
        if address is not None:
            found = self.memory.find(stream.key, now_s)
            self._send(address, OriginAnswer(self._entry_id, number, found))

    def _ask_versions(self, now_s: float) -> None:
        self._versions_asked += 1
        self._update_members(now_s)
        for holder in self._holders.others()[:COPIES]:
            self._send(holder.address, VersionQuery(self._entry_id))

    def _answer_versions(self, asker: EntryId, now_s: float) -> None:
        address = self._address_of(asker)
        if address is None:
            return
        several = (
            row
            for row in list(self._versions.seen_versions())
            if self._versions.has_versions(row[0], now_s)
        )
        newest = sorted(several, key=lambda row: -row[2])
        seen = tuple(
            SeenVersion(service, version, max(0.0, now_s - seen_s))
            for service, version, seen_s in newest[:MAX_ORIGINS]
        )
        self._send(address, VersionNews(seen))

    def _follow_members(self, now_s: float) -> None:
        if self._holders.has_told or now_s - self._told_here_s <= KEEP_S:
            self._update_members(now_s)
        if now_s - self._members_at_s < MEMBERS_INTERVAL_S:
            return
        self._members_at_s = now_s
        self._update_members(now_s)
        live = {Primary(h.entry_id, h.started_s) for h in self._holders.members}
        self._take_over(self._store.pop_orphans(live, now_s), now_s)
        resolved = self._store.pop_resolved(self._versions.origin_of_past, now_s)
        self._take_over(resolved, now_s)

    def _take_over_untold(self, now_s: float) -> None:
        """Take over the streams whose holders the entry at which they began has not
        told in time, and may not tell."""
        for service in self._store.services():
            if not self._versions.has_versions(service, now_s):
                self._several_since_s.pop(service, None)
                continue
            since_s = self._several_since_s.setdefault(service, now_s)
            before_s = now_s - TOLD_WITHIN_S
            if since_s <= before_s:
                copies = self._store.pop_received(service, before_s)
                self._take_over(copies, now_s)

    def _take_over(self, copies: Iterable[TakenOver], now_s: float) -> None:
        """Treat streams of other entries as if they had begun here."""
        for taken in copies:
            self._on_taken_over(taken)
            has_versions = self._versions.has_versions(taken.service, now_s)
            untold = self._untold[taken.service]
            for stream in taken.streams():
                if stream.key in self._holders or stream.key in untold:
                    continue
                own = OwnStream(stream.origin, now_s, None, not has_versions)
                self._record_own(stream.key, own, now_s)
                if not has_versions:
                    self._sender.add(stream)

    def _keep_told(self, copies: Iterable[TakenOver], now_s: float) -> None:
        """Go on knowing streams of other entries whose holders were told: these may be
        lost before the membership shows it."""
        for taken in copies:
            self._told_here_s = now_s
            for stream in taken.streams():
                self.memory.record(stream.key, stream.origin, now_s)

    def _tell_untold(self, service: ServiceName, now_s: float) -> None:
        self._update_members(now_s)
        untold = self._untold.pop(service)
        self._holders.tell(untold, now_s)
        if any(own.copied for own in untold.values()):
            self._sender.end(service)

    def _update_members(self, now_s: float) -> None:
        if self._holders.update(now_s):
            self._update_backups()

    def _update_backups(self) -> None:
        untold = [
            BegunStream(key, own.origin)
            for streams in self._untold.values()
            for key, own in streams.items()
        ]
        others = self._holders.others()
        backups = choose_backups(self._entry_id, self._zone, others)
        self._sender.set_backups(backups, untold)


async def _wait(lookup: Lookup, wait_s: float) -> None:
    """Wait for an answer that says what began the stream."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + wait_s
    try:
        async with asyncio.timeout_at(until_s):
            await lookup.changed.wait()
    except TimeoutError:
        return
    if lookup.found is None:
        # All said that they don't know: news of the stream may still be on its way.
        await asyncio.sleep(max(0.0, until_s - loop.time()))
