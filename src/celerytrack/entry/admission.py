"""Admission: the checks of a request, the reservation of its cost and the choice
of a replica. All of it comes before the request is sent to a replica."""

import contextlib
import hashlib
import time
import uuid
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import attrs
from aiohttp import web

from celerytrack.callers.account import Hold
from celerytrack.callers.bodies import BodyReader, BodyRefusedError
from celerytrack.entry.answers import StoredAnswer
from celerytrack.entry.refusals import RefusedError, refuse
from celerytrack.entry.request_bodies import (
    BODY_TIMEOUT_S,
    MAX_BODY_BYTES,
    MalformedRequestError,
    read_json_object,
)
from celerytrack.entry.state import EntryState
from celerytrack.entry.suspects import fingerprint, part_fingerprints_of
from celerytrack.entry.unforeseen import Progress, follow_progress
from celerytrack.escrow import GrantReservation, budget_refusal
from celerytrack.fingerprint import Fingerprint
from celerytrack.ids import ReplicaId, RequestId
from celerytrack.routing.replica_load import Ask, ReplicaLoad
from celerytrack.routing.replicas import retry_after_s
from celerytrack.settings import Account, BackendKind, Config, WorkClass
from celerytrack.strict import is_encodable
from celerytrack.suspects import SuspectState
from celerytrack.verdict import Reason, Refusal, did_not_run, may_have_run

GRANT_WAIT_S = 1.0
"""Timeout of the wait for a grant that was requested."""
UNREACHABLE_WAIT_S = 0.25
"""The same timeout while the ledger does not answer. It covers one lost reply, and
a caller refused during a partition still gets its refusal at once."""
_RETRY_AFTER_S = 2.0
UNKNOWN_CLASS = "?"
"""Class of a request that names none of the configuration. A name of a caller's own
choice would stay in the metrics for good."""
MAX_SHOWN_CHARS = 80
"""Most characters of a caller's text in a refusal and its log line."""


@attrs.frozen
class AdmittedRequest:
    """A request that passed the checks; nothing is reserved for it yet.

    :ivar key: the caller's idempotency key, if it sent one.
    :ivar cache_key: ``account:key``, the key of its stored answer and its intent.
    :ivar progress: how far it has come.
    :ivar hold: the memory that it takes, if it came from a caller.
    """

    body: Any
    account: Account
    work: WorkClass
    key: str | None
    request_id: RequestId
    cache_key: str
    progress: Progress = attrs.field(factory=Progress, eq=False)
    hold: Hold | None = attrs.field(default=None, eq=False)

    @property
    def fingerprint(self) -> Fingerprint:
        """Identifies repeats of the request, whatever their idempotency key."""
        return fingerprint(self.work, self.account.account_id, self.body)

    @property
    def part_fingerprints(self) -> tuple[Fingerprint, ...]:
        """Identify the parts of its prompt that other requests may have."""
        return part_fingerprints_of(self.work, self.body)


def request_id_for(account: str, key: str | None) -> RequestId:
    """The request id; derived from the idempotency key, so that retries share it."""
    if key is None:
        return RequestId(uuid.uuid4().hex)
    return RequestId(hashlib.sha256(f"{account}\x00{key}".encode()).hexdigest()[:24])


def current_config(state: EntryState) -> Config:
    """The configuration in force.

    :raises RefusedError: ``did_not_run`` until the first configuration is read.
    """
    if state.config.config is None:
        raise RefusedError(did_not_run(Reason.NO_CAPACITY, 1.0, "no config yet"))
    return state.config.config


def authenticate(request: web.Request, config: Config) -> Account:
    """The account of the bearer key in the request.

    :raises RefusedError: ``bad_key`` if no account has that key.
    """
    header = request.headers.get("Authorization", "")
    key = header.removeprefix("Bearer ").strip()
    account = config.account_by_key(key) if key else None
    if account is None:
        raise RefusedError(did_not_run(Reason.BAD_KEY, None, "unknown account key"))
    return account


async def admit(
    state: EntryState, request: web.Request, kind: BackendKind, reader: BodyReader
) -> AdmittedRequest:
    """Check a request before anything is reserved for it.

    :raises RefusedError: ``did_not_run`` for a bad body, key or class, while the
        entry is draining, or for a non-idempotent call without an idempotency key.
    """
    name = request.match_info.get("work_class", UNKNOWN_CLASS)
    try:
        authenticate(request, current_config(state))
        body = await read_json_object(request, reader)
    except MalformedRequestError as exc:
        detail = str(exc)
        refusal = did_not_run(Reason.BAD_REQUEST, None, detail)
        raise RefusedError(refusal, _known_class(state, name)) from None
    except BodyRefusedError as exc:
        raise RefusedError(exc.refusal, _known_class(state, name)) from None
    if kind is BackendKind.ENGINE:
        name = str(body.get("model", ""))
    try:
        config = current_config(state)
        # The key may have been removed while the body was read.
        account = authenticate(request, config)
        work = _work_class(config, name, kind)
        if state.draining:
            detail = "entry is draining; ask /v1/route again"
            raise RefusedError(did_not_run(Reason.DRAINING, 0.0, detail))
        key = request.headers.get("Idempotency-Key")
        if key is not None and not is_encodable(key):
            detail = "the Idempotency-Key is not UTF-8"
            raise RefusedError(did_not_run(Reason.BAD_REQUEST, None, detail))
        if not work.idempotent and key is None:
            detail = "a non-idempotent class needs an Idempotency-Key"
            raise RefusedError(did_not_run(Reason.BAD_REQUEST, None, detail))
    except RefusedError as exc:
        raise RefusedError(exc.refusal, _known_class(state, name)) from None
    rid = request_id_for(account.account_id, key)
    cache_key = f"{account.account_id}:{key}"
    return AdmittedRequest(body, account, work, key, rid, cache_key, hold=reader.hold)


def _known_class(state: EntryState, name: str) -> str:
    config = state.config.config
    known = config is not None and config.work_class(name) is not None
    return name if known else UNKNOWN_CLASS


def _work_class(config: Config, name: str, kind: BackendKind) -> WorkClass:
    work = config.work_class(name)
    if work is None or work.kind is not kind:
        detail = f"no {kind.value} class {name[:MAX_SHOWN_CHARS]!r}"
        raise RefusedError(did_not_run(Reason.UNKNOWN_CLASS, None, detail))
    return work


async def handle(
    state: EntryState,
    request: web.Request,
    kind: BackendKind,
    replay: Callable[[StoredAnswer], Awaitable[web.StreamResponse]],
    serve: Callable[[AdmittedRequest], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    """Answer one request: replay a stored answer, serve it, or refuse it.

    :param replay: answers a retry whose answer is still stored.
    :param serve: serves an admitted request; may raise ``RefusedError``.
    """
    timeout_at_s = time.monotonic() + BODY_TIMEOUT_S
    reader = BodyReader(state.callers.account, request, MAX_BODY_BYTES, timeout_at_s)
    try:
        admitted = await admit(state, request, kind, reader)
        return await _answer(state, request, admitted, replay, serve)
    except RefusedError as exc:
        return refuse(state.metrics, exc.work_class, exc.refusal)
    finally:
        state.callers.account.close(reader.hold)


async def _answer(
    state: EntryState,
    request: web.Request,
    admitted: AdmittedRequest,
    replay: Callable[[StoredAnswer], Awaitable[web.StreamResponse]],
    serve: Callable[[AdmittedRequest], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    follow_progress(request, admitted.progress)
    stored = state.answers.get(admitted.cache_key) if admitted.key else None
    if stored is not None:
        return await replay(stored)
    try:
        refuse_quarantined(state, admitted, time.monotonic())
        with _in_progress(state, admitted):
            return await serve(admitted)
    except RefusedError as exc:
        name, rid = admitted.work.name, admitted.request_id
        return refuse(state.metrics, name, exc.refusal, rid)


def suspect_state_of(
    state: EntryState, admitted: AdmittedRequest, now_s: float
) -> SuspectState:
    """Whether the request is suspected of crashing replicas, and how strongly."""
    if not state.suspects.tracker:
        return SuspectState.CLEAR
    return state.suspects.state_of(admitted, admitted.work, now_s)


def refuse_quarantined(
    state: EntryState, admitted: AdmittedRequest, now_s: float
) -> None:
    """Refuse a quarantined request before anything is reserved for it.

    :raises RefusedError: if replicas crashed repeatedly while they ran the request.
    """
    if suspect_state_of(state, admitted, now_s) is SuspectState.QUARANTINED:
        raise RefusedError(state.suspects.quarantine_refusal(admitted, now_s))


@contextlib.contextmanager
def _in_progress(state: EntryState, admitted: AdmittedRequest) -> Iterator[None]:
    """Count a request in flight and lock its idempotency key.

    :raises RefusedError: ``may_have_run`` if a request with the same key is in
        flight. That one may already be running, so this one must not start.
    """
    has_key = admitted.key is not None
    if has_key and admitted.cache_key in state.answers.in_progress:
        raise RefusedError(
            may_have_run(
                Reason.DUPLICATE_IN_FLIGHT, 1.0, "same idempotency key in progress"
            )
        )
    state.begin_request()
    if has_key:
        state.answers.in_progress.add(admitted.cache_key)
    try:
        yield
    finally:
        if has_key:
            state.answers.in_progress.discard(admitted.cache_key)
        state.end_request()


async def reserve(
    state: EntryState, admitted: AdmittedRequest, cost: int
) -> GrantReservation:
    """Reserve ``cost`` tokens, waiting a bounded time for a grant.

    :raises RefusedError: ``did_not_run``; its reason says whether the budget is used
        up, other entries hold it, or the ledger is unreachable.
    """
    manager, account = state.grant_manager, admitted.account.account_id
    started_s = time.monotonic()
    synced = False
    while True:
        now_s = time.monotonic()
        reservation = manager.escrow.reserve(admitted.request_id, account, cost, now_s)
        manager.request_refill(account, cost, now_s)
        if reservation is not None:
            return reservation
        available = manager.escrow.available(account, now_s)
        free = manager.free_tokens(account)
        elsewhere = manager.held_elsewhere_tokens(account)
        wait_s = GRANT_WAIT_S if manager.reachable else UNREACHABLE_WAIT_S
        left_s = started_s + wait_s - now_s
        exhausted = manager.reachable and available + free + elsewhere < cost
        if exhausted and not synced:
            # The replayed ledger may lag behind a top-up that the caller already
            # knows of, and a final refusal based on it would be wrong. Read the
            # ledger to its end once before refusing.
            if not await manager.sync(max(left_s, UNREACHABLE_WAIT_S)):
                detail = "the ledger does not answer"
                raise RefusedError(
                    did_not_run(Reason.LEDGER_UNREACHABLE, _RETRY_AFTER_S, detail)
                )
            synced = True
            continue
        if exhausted or left_s <= 0:
            raise RefusedError(
                budget_refusal(
                    available, free, elsewhere, cost, manager.reachable, _RETRY_AFTER_S
                )
            )
        await manager.wait_for_change(left_s)


def choose_replica(
    state: EntryState, work: WorkClass, ask: Ask, avoid: frozenset[ReplicaId]
) -> ReplicaLoad:
    """Choose the replica to send a request to.

    :param avoid: replicas that failed this request, run a probe or, for a suspect
        request, run another suspect.
    :raises RefusedError: ``no_capacity`` or ``backing_off``, and ``did_not_run``, with
        a ``retry_after_s``.
    """
    replicas = [
        r
        for r in state.view.replicas.values()
        if ask.fits(r) and r.replica_id not in avoid
    ]
    closed = state.notices.closed(replicas, time.monotonic())
    open_replicas = [r for r in replicas if r.replica_id not in closed]
    replica = _choose_open(state, open_replicas, ask, prefer_healthy=bool(avoid))
    if replica is None and closed:
        last_resorts = state.notices.last_resorts(replicas, time.monotonic())
        replica = _choose_open(state, last_resorts, ask, prefer_healthy=False)
    if replica is None:
        raise RefusedError(_no_replica(state, work, replicas, open_replicas))
    return replica


def _choose_open(
    state: EntryState, replicas: list[ReplicaLoad], ask: Ask, prefer_healthy: bool
) -> ReplicaLoad | None:
    now_s, zone = time.time(), state.spec.zone
    if prefer_healthy:
        # A replica without recent failures is preferred. A request that has failed
        # could otherwise spend all its attempts on replicas that fail. The preference
        # also applies if replicas are avoided only because of probes or suspects.
        healthy = [r for r in replicas if r.is_healthy]
        replica = state.choose(healthy, ask, zone, now_s)
        if replica is not None:
            return replica
    return state.choose(replicas, ask, zone, now_s)


def _no_replica(
    state: EntryState,
    work: WorkClass,
    replicas: list[ReplicaLoad],
    open_replicas: list[ReplicaLoad],
) -> Refusal:
    """The refusal if no replica may take a request now."""
    opening = state.notices.next_opening(replicas, time.monotonic())
    if opening is not None and not any(not r.leaving for r in open_replicas):
        return state.notices.refusal_until(opening.opens_in_s)
    return did_not_run(
        Reason.NO_CAPACITY,
        retry_after_s(replicas, work.model, time.time()),
        f"no replica of {work.model} has room for priority {work.priority}",
    )
