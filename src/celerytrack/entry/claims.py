"""Claims on non-idempotent calls, so that each call runs at most once.

Before an entry sends such a call (an answer-check, a claim filing) it records an
intent on the ledger. The first intent for an idempotency key owns the call. A retry
at any entry finds that intent and gets the stored answer, or ``may_have_run`` while
the outcome is unknown.
"""

import asyncio
import enum
import itertools
from collections.abc import Callable
from typing import Any

import attrs

from celerytrack.entry.ledger_writer import LedgerWriter
from celerytrack.ledger import IntentState, Ledger

_CLAIM_WAIT_S = 2.0
"""Timeout of the wait for an intent to be recorded on the ledger."""
_MAX_ANSWER_BYTES = 16_384


class ClaimState(enum.Enum):
    """The outcome of claiming a non-idempotent call."""

    OWNED = "owned"
    """This attempt's intent is the first on the ledger: it may send the call once."""
    STARTED = "started"
    """Another attempt owns the call and it may have run."""
    FINISHED = "finished"
    """The call ran and its answer is stored."""
    UNREACHABLE = "unreachable"
    """The intent was not recorded in time, so the call must not be sent."""


@attrs.frozen
class Claim:
    """The result of claiming a non-idempotent call.

    :ivar claim_id: id of the attempt that owns the call; its ``finished`` or
        ``abandoned`` record repeats it.
    :ivar answer: the stored answer if the call has finished.
    """

    state: ClaimState
    claim_id: str = ""
    answer: Any = None


class Claims:
    """This entry's claims on the ledger.

    :param writer: appends the records.
    :param ledger: returns the entry's replayed ledger; restoring a snapshot replaces
        that object.
    """

    def __init__(self, writer: LedgerWriter, ledger: Callable[[], Ledger]) -> None:
        self._writer = writer
        self._ledger = ledger
        self._serial = itertools.count(1)

    async def claim(self, key: str) -> Claim:
        """Record the intent to run the non-idempotent call ``key``.

        The call may be sent only once the replayed ledger shows this intent as the
        first. Its state before that proves nothing, since another entry may be
        recording its own intent at the same moment.
        """
        known = self.find_claim(key)
        if known is not None:
            return known
        claim_id = f"{self._writer.writer_id}.{next(self._serial)}"
        folded = asyncio.Event()
        self._writer.submit(
            {"type": "intent", "key": key, "claim_id": claim_id},
            lambda _: folded.set(),
        )
        try:
            await asyncio.wait_for(folded.wait(), _CLAIM_WAIT_S)
        except TimeoutError:
            self.abandon(key, claim_id)
            return Claim(ClaimState.UNREACHABLE)
        found = self._ledger().intents.get(key)
        if found is not None and found.claim_id == claim_id:
            return Claim(ClaimState.OWNED, claim_id)
        return self.find_claim(key) or Claim(ClaimState.UNREACHABLE)

    def find_claim(self, key: str) -> Claim | None:
        """The claim on ``key`` in the replayed ledger, if there is one."""
        found = self._ledger().intents.get(key)
        if found is None:
            return None
        if found.state is IntentState.FINISHED:
            return Claim(ClaimState.FINISHED, found.claim_id, found.answer)
        return Claim(ClaimState.STARTED, found.claim_id)

    def abandon(self, key: str, claim_id: str) -> None:
        """Free ``key``, whose call was never sent.

        The record is queued after the intent, so it also cancels an intent that
        reaches the ledger late.
        """
        self._writer.submit({"type": "abandoned", "key": key, "claim_id": claim_id})

    def finish(self, key: str, claim_id: str, answer: Any) -> None:
        """Record the answer of the call ``key`` for its retries."""
        if len(str(answer)) > _MAX_ANSWER_BYTES:
            return
        self._writer.submit(
            {"type": "finished", "key": key, "claim_id": claim_id, "answer": answer}
        )
