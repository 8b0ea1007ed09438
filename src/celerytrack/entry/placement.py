"""Chooses the replica of each attempt of a request, for the own interface."""

import time
from collections.abc import Collection

import attrs

from celerytrack.callers.answers import free_place
from celerytrack.entry.admission import AdmittedRequest, choose_replica
from celerytrack.entry.notices import LeasedReplica
from celerytrack.entry.refusals import RefusedError
from celerytrack.entry.state import EntryState
from celerytrack.ids import ReplicaId
from celerytrack.routing.replica_load import Ask, Attempt, ReplicaLoad
from celerytrack.routing.replicas import Placement, predict_first_token_s
from celerytrack.suspects import SuspectState
from celerytrack.verdict import Refusal, Verdict

RESUME_WAIT_S = 1.0
"""Longest wait of an answer that has begun for a replica: its caller sees a pause."""


@attrs.define
class AttemptHistory:
    """The state of one request's attempts.

    :ivar answer_at_s: until when the first token is in time, on the monotonic clock.
    :ivar streaming: the caller has received a part of the answer.
    :ivar failed_in_row: consecutive failed attempts that produced no token.
    :ivar version: software version that wrote the received part; ``None`` if there is
        none.
    :ivar avoid: replicas that failed the request since its last token.
    :ivar refusal: the answer if no attempt succeeds. Once an attempt may have run it,
        its refusal is kept, however later attempts end.
    """

    answer_at_s: float
    streaming: bool = False
    version: str | None = None
    failed_in_row: int = 0
    avoid: frozenset[ReplicaId] = frozenset()
    refusal: Refusal | None = None

    def next_ask(self, ask: Ask) -> Ask:
        """The next attempt's placement request.

        A started answer gets the top priority: it is not shed in favor of more
        urgent requests, which can still be refused. It goes on at its version only.
        """
        if not self.streaming:
            return ask
        return attrs.evolve(ask, priority=0, version=self.version)

    def record_failure(self, sent: Attempt, refusal: Refusal) -> None:
        """Count a failed attempt; one that produced tokens resets the count."""
        if sent.answered:
            self.streaming = True
            self.version = sent.version
            self.failed_in_row = 0
            self.avoid = frozenset()
        else:
            self.failed_in_row += 1
        self.avoid |= {sent.replica.replica_id}
        if self.refusal is None or refusal.verdict is Verdict.MAY_HAVE_RUN:
            self.refusal = refusal


async def place(
    state: EntryState,
    admitted: AdmittedRequest,
    history: AttemptHistory,
    ask: Ask,
    suspect_state: SuspectState,
) -> LeasedReplica | Refusal:
    """Choose the replica of the next attempt, with a lease if it is limited."""

    def choose(excluded: Collection[ReplicaId]) -> ReplicaLoad | None:
        try:
            return _choose_replica(
                state, admitted, history, ask, suspect_state, frozenset(excluded)
            )
        except RefusedError:
            return None

    may_free = True
    while True:
        try:
            replica = _choose_replica(state, admitted, history, ask, suspect_state)
            break
        except RefusedError as exc:
            if may_free and await free_place(state.callers.account, ask.model):
                may_free = False
                continue
            if not await _wait_for_opening(state, history, ask):
                return exc.refusal
    if not state.notices.sync.limits.tracker:
        return LeasedReplica(replica)
    next_ask = history.next_ask(ask)
    may_run = [
        replica
        for replica in state.view.replicas.values()
        if next_ask.fits(replica)
        and not replica.leaving
        and replica.replica_id not in history.avoid
    ]
    max_wait_s = _max_wait_s(replica, history, next_ask)
    return await state.notices.lease(
        choose, may_run, next_ask.priority, max_wait_s, state.rng
    )


async def _wait_for_opening(
    state: EntryState, history: AttemptHistory, ask: Ask
) -> bool:
    """Wait for a replica that backs off, if an answer from there is in time.

    :returns: whether there may be a replica now.
    """
    next_ask = history.next_ask(ask)
    replicas = (
        replica
        for replica in state.view.replicas.values()
        if next_ask.fits(replica) and replica.replica_id not in history.avoid
    )
    opening = state.notices.next_opening(replicas, time.monotonic())
    if opening is None:
        return False
    max_wait_s = _max_wait_s(opening.replica, history, next_ask)
    return await state.notices.wait_for_opening(opening, next_ask.priority, max_wait_s)


def _max_wait_s(replica: ReplicaLoad, history: AttemptHistory, ask: Ask) -> float:
    if history.streaming:
        return RESUME_WAIT_S
    load = replica.load(time.time())
    first_token_s = predict_first_token_s(replica, load, ask, Placement())
    return max(0.0, history.answer_at_s - first_token_s - time.monotonic())


def _choose_replica(
    state: EntryState,
    admitted: AdmittedRequest,
    history: AttemptHistory,
    ask: Ask,
    suspect_state: SuspectState,
    limited: frozenset[ReplicaId] = frozenset(),
) -> ReplicaLoad:
    """Choose the replica of the next attempt.

    While other replicas have room, a request is not sent to one on which a probe
    runs, and a suspect request is not sent to one that runs another suspect.

    :param limited: replicas whose rate limit leaves no room now.
    :raises RefusedError: if no replica has room.
    """
    next_ask = history.next_ask(ask)
    excluded = history.avoid | limited
    to_avoid = state.suspects.replicas_to_avoid(suspect_state, time.monotonic())
    if to_avoid:
        try:
            return choose_replica(state, admitted.work, next_ask, excluded | to_avoid)
        except RefusedError:
            pass
    return choose_replica(state, admitted.work, next_ask, excluded)
