"""The intent journal: makes a non-idempotent call run at most once.

Before an entry sends a non-idempotent call (an answer-check, a claim
filing) it appends a ``started`` record for the call's idempotency key to
the ``journal`` stream by conditional append; after the call it appends
``done`` with the answer. Any entry that sees a key started answers a retry
with the stored answer, or with ``may_have_run`` while the outcome is
unknown, and never sends the call again.
"""

import enum
from typing import Any

from returns.result import Failure, Success

from celerytrack.entry._tail import catch_up
from celerytrack.logclient import LogClient, LogErrorKind

JOURNAL = "journal"
_ATTEMPTS = 8


class Claim(enum.Enum):
    """The outcome of trying to record an intent."""

    OWNED = "owned"
    """This entry recorded the intent and may send the call once."""
    TAKEN = "taken"
    """Someone recorded it first: do not send the call."""
    UNREACHABLE = "unreachable"
    """The journal could not be written: do not send the call."""


class IntentJournal:
    """This entry's fold of the journal stream, and its writes to it.

    :param owner: this entry process, as ``entry id/boot id``: a restarted
        entry must not take its earlier life's intents for its own.
    """

    def __init__(self, log: LogClient, owner: str) -> None:
        self._log = log
        self._entry = owner
        self.next_offset = 0
        self.intents: dict[str, dict[str, Any]] = {}

    def apply(self, offset: int, record: dict[str, Any]) -> None:
        """Fold one journal record."""
        if offset < self.next_offset:
            return
        key = record["key"]
        if record["type"] == "started":
            self.intents.setdefault(key, dict(record))
        elif record["type"] == "done":
            self.intents[key] = dict(record)
        self.next_offset = offset + 1

    def lookup(self, key: str) -> dict[str, Any] | None:
        """The latest record for ``key``, or ``None``."""
        return self.intents.get(key)

    async def refresh(self) -> bool:
        """Read the journal to its end; ``False`` if unreachable."""
        offset = await catch_up(self._log, JOURNAL, self.next_offset, self.apply)
        return offset is not None

    async def claim(self, key: str, request_id: str) -> Claim:
        """Record the intent to send the call for ``key``."""
        record = {
            "type": "started",
            "key": key,
            "request_id": request_id,
            "entry": self._entry,
        }
        for _ in range(_ATTEMPTS):
            if not await self.refresh():
                return Claim.UNREACHABLE
            if key in self.intents:
                return self._owner(key, request_id)
            match await self._log.append(JOURNAL, [record], self.next_offset):
                case Success(appended):
                    self.apply(appended.first_offset, record)
                    return Claim.OWNED
                case Failure(error) if error.kind in (
                    LogErrorKind.CONFLICT,
                    LogErrorKind.UNKNOWN_OUTCOME,
                ):
                    # Someone else wrote first, or our record landed and its
                    # reply was lost: the next refresh tells which.
                    continue
                case _:
                    return Claim.UNREACHABLE
        return Claim.UNREACHABLE

    def _owner(self, key: str, request_id: str) -> Claim:
        found = self.intents[key]
        ours = found["type"] == "started" and found["entry"] == self._entry
        return (
            Claim.OWNED if ours and found["request_id"] == request_id else Claim.TAKEN
        )

    async def complete(self, key: str, answer: Any) -> bool:
        """Record the answer of ``key``'s call; ``False`` if not written."""
        record = {"type": "done", "key": key, "answer": answer}
        match await self._log.append(JOURNAL, [record]):
            case Success(_):
                return True
        return False
