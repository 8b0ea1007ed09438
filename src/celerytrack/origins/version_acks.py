"""Establishes a version that has just been read as soon as all entries know it.

Without their acknowledgements it is established after a time
(:data:`ESTABLISHED_AFTER_S`): an entry that is cut off doesn't answer, nor does one
that has ended. Until then they are told again, and no longer.
"""

import asyncio
import time
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

import attrs

from celerytrack.ids import EntryId, ServiceName
from celerytrack.origins.messages import (
    OriginMessage,
    VersionAck,
    VersionAnnouncement,
)
from celerytrack.origins.recorded import ServiceVersion
from celerytrack.origins.ring import Holder
from celerytrack.routing.versions import ESTABLISHED_AFTER_S

TICK_S = 0.1
"""Interval at which entries that have not answered are told again."""


class NewVersions(Protocol):
    """The versions at which streams may not begin yet."""

    def record_version(self, service: ServiceName, version: str, seen_s: float) -> None:
        """Record that an endpoint of a service had a version at a time."""

    def establish(self, subject: ServiceVersion) -> None:
        """Record that all entries know a version."""

    def is_established(self, subject: ServiceVersion) -> bool:
        """Whether streams may begin at a version."""

    def unestablished(
        self, services: Iterable[ServiceName], now_s: float
    ) -> list[ServiceVersion]:
        """The versions of services with several that some entry may not know."""


@attrs.define
class _Announcement:
    """A version of which the other entries are told.

    :ivar known_by: those that have acknowledged it.
    :ivar told: all others, as of the last tick.
    """

    began_s: float
    known_by: set[Holder] = attrs.field(factory=set)
    told: Collection[Holder] = ()

    def missing(self) -> list[EntryId]:
        """The entries that have not acknowledged the version."""
        return [peer.entry_id for peer in self.told if peer not in self.known_by]

    def is_over(self, now_s: float) -> bool:
        """Whether the time is up: acknowledgements may be outdated by now."""
        return now_s - self.began_s > ESTABLISHED_AFTER_S


@attrs.define
class VersionAcks:
    """The acknowledgements of versions.

    :param send: sends a message to the entry at an address, without guarantee.
    :param peers: returns the other entries that may go on with streams; ``None`` while
        they are not known.
    :param services: returns the services that are configured.
    :param on_established: called with a version that is established, the entries that
        did not acknowledge it, and the time that it took.
    """

    _entry_id: EntryId
    _send: Callable[[str, OriginMessage], None]
    _peers: Callable[[float], Collection[Holder] | None]
    _services: Callable[[], Collection[ServiceName]]
    _versions: NewVersions
    _on_established: Callable[[ServiceVersion, list[EntryId], float], None] = (
        lambda subject, missing, took_s: None
    )
    _announcements: dict[ServiceVersion, _Announcement] = attrs.field(
        factory=dict, init=False
    )

    async def run(self) -> None:
        """Tell the other entries of new versions, until cancelled."""
        while True:
            self.tick(time.monotonic())
            await asyncio.sleep(TICK_S)

    def tick(self, now_s: float) -> None:
        """Tell the entries that have not answered."""
        subjects = self._versions.unestablished(self._services(), now_s)
        peers = self._peers(now_s) if subjects else []
        if peers is None:
            return
        before = self._announcements
        self._announcements = {
            subject: before.get(subject) or _Announcement(now_s) for subject in subjects
        }
        for subject, announcement in before.items():
            if self._versions.is_established(subject):
                took_s = now_s - announcement.began_s
                self._on_established(subject, announcement.missing(), took_s)
        for subject, announcement in self._announcements.items():
            if not announcement.is_over(now_s):
                self._tell(subject, announcement, peers)
                self._check(subject, announcement, peers)

    def receive(
        self,
        message: VersionAnnouncement | VersionAck,
        address: str | None,
        now_s: float,
    ) -> None:
        """Apply a message of another entry.

        :param address: where that entry is; ``None`` if it is not known.
        """
        match message:
            case VersionAnnouncement(_, service, version):
                self._versions.record_version(service, version, now_s)
                if address is not None:
                    self._send(address, VersionAck(self._entry_id, service, version))
            case VersionAck(entry_id, service, version):
                self._record_ack(entry_id, ServiceVersion(service, version), now_s)

    def _tell(
        self,
        subject: ServiceVersion,
        announcement: _Announcement,
        peers: Collection[Holder],
    ) -> None:
        message = VersionAnnouncement(self._entry_id, subject.service, subject.version)
        announcement.told = peers
        for peer in peers:
            if peer not in announcement.known_by:
                self._send(peer.address, message)

    def _record_ack(
        self, entry_id: EntryId, subject: ServiceVersion, now_s: float
    ) -> None:
        announcement = self._announcements.get(subject)
        peers = self._peers(now_s)
        if announcement is None or announcement.is_over(now_s) or peers is None:
            return
        announcement.known_by.update(p for p in peers if p.entry_id == entry_id)
        self._check(subject, announcement, peers)

    def _check(
        self,
        subject: ServiceVersion,
        announcement: _Announcement,
        peers: Collection[Holder],
    ) -> None:
        if all(peer in announcement.known_by for peer in peers):
            self._versions.establish(subject)
