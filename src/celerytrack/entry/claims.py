"""Claiming a non-idempotent call, so that it runs at most once.

Before an entry sends such a call (an answer-check, a claim filing) it
records its intent on the ledger; the first intent for an idempotency key
owns the call. A retry anywhere finds the key: it gets the stored answer, or
``may_have_run`` while the outcome is unknown.
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
"""Longest a non-idempotent call waits for its intent to be recorded."""
_MAX_ANSWER_BYTES = 16_384


class ClaimState(enum.Enum):
    """The outcome of claiming a non-idempotent call."""

    OWNED = "owned"
    """The ledger shows our intent first: we may send the call, once."""
    STARTED = "started"
    """Another attempt owns the call and it may have run."""
    FINISHED = "finished"
    """The call ran; its answer is at hand."""
    UNREACHABLE = "unreachable"
    """The intent could not be recorded in time: do not send the call."""


@attrs.frozen
class Claim:
    """Who may send a non-idempotent call.

    :ivar claim_id: this attempt's id, named again when it finishes.
    :ivar answer: the stored answer, when finished.
    """

    state: ClaimState
    claim_id: str = ""
    answer: Any = None


class Claims:
    """This entry's claims on the ledger.

    :param writer: appends the records.
    :param ledger: gives the entry's fold, which a restore replaces.
    """

    def __init__(self, writer: LedgerWriter, ledger: Callable[[], Ledger]) -> None:
        self._writer = writer
        self._ledger = ledger
        self._serial = itertools.count(1)

    async def claim(self, key: str) -> Claim:
        """Record the intent to run the non-idempotent call ``key``.

        The call may be sent only if the fold shows our intent as the first:
        whatever was known before is no proof, since another entry may be
        recording its own at this moment.
        """
        known = self.known_claim(key)
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
        return self.known_claim(key) or Claim(ClaimState.UNREACHABLE)

    def known_claim(self, key: str) -> Claim | None:
        """The claim that the fold shows for ``key``, if any."""
        found = self._ledger().intents.get(key)
        if found is None:
            return None
        if found.state is IntentState.FINISHED:
            return Claim(ClaimState.FINISHED, found.claim_id, found.answer)
        return Claim(ClaimState.STARTED, found.claim_id)

    def abandon(self, key: str, claim_id: str) -> None:
        """Free ``key``: the call it stands for was never sent.

        Queued behind the intent, so it also frees an intent that lands late.
        """
        self._writer.submit({"type": "abandoned", "key": key, "claim_id": claim_id})

    def finish(self, key: str, claim_id: str, answer: Any) -> None:
        """Record the answer of the call ``key`` for its retries."""
        if len(str(answer)) > _MAX_ANSWER_BYTES:
            return
        self._writer.submit(
            {"type": "finished", "key": key, "claim_id": claim_id, "answer": answer}
        )
