"""Which versions of services are on the log, and what is to be written, without I/O.

An entry that starts can't have seen which version began a stream that is taken up. If
all entries have just started, no other one has either. The log has it: a version is
written there when it comes up and dropped once no stream of it can be taken up.
"""

import hashlib
from collections.abc import Callable, Collection, Iterable
from typing import NewType

import attrs

from celerytrack.ids import ServiceName
from celerytrack.origins.memory import KEEP_S

DROP_AFTER_S = KEEP_S + 15.0
"""Time after which a version that is seen no more is dropped from the log. Entries read
the registrations at different moments."""
KEY_BYTES = 12

RecordKey = NewType("RecordKey", str)
"""Key of a version's record, the same at all entries."""


@attrs.frozen
class ServiceVersion:
    """A software version of the endpoints of a service."""

    service: ServiceName
    version: str

    @property
    def record_key(self) -> RecordKey:
        """The key of its record: names may be longer than a key."""
        text = f"{len(self.service)}:{self.service}{self.version}"
        return RecordKey(
            hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).hexdigest()
        )


@attrs.frozen
class RecordChange:
    """A record to write, or to drop."""

    subject: ServiceVersion
    dropped: bool


class RecordedVersions:
    """The versions that are on the log, as far as this entry knows.

    :param is_writer: whether this entry is one of those that write a record. Asked once
        for each change: with hundreds of entries the answer is costly.
    """

    def __init__(self, is_writer: Callable[[RecordKey], bool]) -> None:
        self._is_writer = is_writer
        self._last_seen_s: dict[ServiceVersion, float] = {}

    def load(self, found: Iterable[ServiceVersion], now_s: float) -> None:
        """Set what was read from the log; each may have been there until now."""
        self._last_seen_s = dict.fromkeys(found, now_s)

    def changes(
        self,
        seen: Iterable[tuple[ServiceName, str, float]],
        services: Collection[ServiceName],
        known_at_s: float,
    ) -> list[RecordChange]:
        """What this entry has to write now.

        :param seen: services and versions, and when each was last seen.
        :param services: the services that are configured; of others nothing is written.
        :param known_at_s: time up to which the registrations are known: while the log
            is away, nothing is seen.
        """
        changes = []
        for service, version, seen_s in seen:
            if service not in services or known_at_s - seen_s > KEEP_S:
                continue
            subject = ServiceVersion(service, version)
            if subject not in self._last_seen_s:
                changes.append(RecordChange(subject, dropped=False))
            known_s = self._last_seen_s.get(subject, seen_s)
            self._last_seen_s[subject] = max(seen_s, known_s)
        for subject, seen_s in list(self._last_seen_s.items()):
            if known_at_s - seen_s > DROP_AFTER_S:
                del self._last_seen_s[subject]
                changes.append(RecordChange(subject, dropped=True))
        return [c for c in changes if self._is_writer(c.subject.record_key)]
