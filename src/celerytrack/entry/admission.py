"""The steps every request passes before it is sent anywhere: the checks,
the reservation of its cost, and the choice of a replica."""

import contextlib
import hashlib
import json
import time
import uuid
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import attrs
from aiohttp import web

from celerytrack.entry.answers import StoredAnswer
from celerytrack.entry.refusals import RefusedError, refuse
from celerytrack.entry.state import EntryState
from celerytrack.entry.suspects import fingerprint
from celerytrack.escrow import Reservation, budget_refusal
from celerytrack.fingerprint import Fingerprint
from celerytrack.ids import ReplicaId, RequestId
from celerytrack.replica_load import Ask, ReplicaLoad
from celerytrack.routing import retry_after_s
from celerytrack.settings import Account, BackendKind, Config, WorkClass
from celerytrack.suspects import SuspectState
from celerytrack.verdict import Reason, did_not_run, may_have_run

GRANT_WAIT_S = 1.0
"""Longest a request waits for a grant that is on its way."""
UNREACHABLE_WAIT_S = 0.25
"""The same while the ledger does not answer: long enough for one lost reply,
short enough that a caller refused in a partition hears it at once."""
_RETRY_AFTER_S = 2.0


@attrs.frozen
class Admitted:
    """A request that passed the checks, before anything is reserved.

    :ivar key: the caller's idempotency key, if it sent one.
    :ivar cache_key: ``account:key``, where answers and intents are kept.
    """

    body: Any
    account: Account
    work: WorkClass
    key: str | None
    request_id: RequestId
    cache_key: str

    @property
    def fingerprint(self) -> Fingerprint:
        """What a repeat of it has as well, whatever its key."""
        return fingerprint(self.work, self.account.account_id, self.body)


def request_id_for(account: str, key: str | None) -> RequestId:
    """The request id: derived from the idempotency key, so retries share it."""
    if key is None:
        return RequestId(uuid.uuid4().hex)
    return RequestId(hashlib.sha256(f"{account}\x00{key}".encode()).hexdigest()[:24])


def current_config(state: EntryState) -> Config:
    """The configuration in force.

    :raises RefusedError: ``did_not_run`` before the first one is read.
    """
    if state.config.config is None:
        raise RefusedError(did_not_run(Reason.NO_CAPACITY, 1.0, "no config yet"))
    return state.config.config


def authenticate(request: web.Request, config: Config) -> Account:
    """The account whose key signs the request.

    :raises RefusedError: ``bad_key`` for an unknown one.
    """
    header = request.headers.get("Authorization", "")
    key = header.removeprefix("Bearer ").strip()
    account = config.account_by_key(key) if key else None
    if account is None:
        raise RefusedError(did_not_run(Reason.BAD_KEY, None, "unknown account key"))
    return account


async def admit(state: EntryState, request: web.Request, kind: BackendKind) -> Admitted:
    """The checks every request passes before anything is reserved.

    :raises RefusedError: ``did_not_run`` for a bad body, key or class,
        while draining, or for a non-idempotent call without a key.
    """
    name = request.match_info.get("work_class", "?")
    try:
        body = await request.json()
    except json.JSONDecodeError:
        body = None
    if not isinstance(body, dict):
        detail = "body is not a JSON object"
        raise RefusedError(did_not_run(Reason.BAD_REQUEST, None, detail), name)
    if kind is BackendKind.ENGINE:
        name = str(body.get("model", ""))
    try:
        config = current_config(state)
        account = authenticate(request, config)
        work = _work_class(config, name, kind)
        if state.draining:
            detail = "entry is draining; ask /v1/route again"
            raise RefusedError(did_not_run(Reason.DRAINING, 0.0, detail))
        key = request.headers.get("Idempotency-Key")
        if not work.idempotent and key is None:
            detail = "a non-idempotent class needs an Idempotency-Key"
            raise RefusedError(did_not_run(Reason.BAD_REQUEST, None, detail))
    except RefusedError as exc:
        raise RefusedError(exc.refusal, name) from None
    rid = request_id_for(account.account_id, key)
    return Admitted(body, account, work, key, rid, f"{account.account_id}:{key}")


def _work_class(config: Config, name: str, kind: BackendKind) -> WorkClass:
    work = config.work_class(name)
    if work is None or work.kind is not kind:
        detail = f"no {kind.value} class {name!r}"
        raise RefusedError(did_not_run(Reason.UNKNOWN_CLASS, None, detail))
    return work


async def handle(
    state: EntryState,
    request: web.Request,
    kind: BackendKind,
    replay: Callable[[StoredAnswer], Awaitable[web.StreamResponse]],
    serve: Callable[[Admitted], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    """Answer one request: replay a stored answer, serve, or refuse.

    :param replay: answers a retry whose answer is still kept.
    :param serve: serves an admitted request; may raise ``RefusedError``.
    """
    try:
        admitted = await admit(state, request, kind)
    except RefusedError as exc:
        return refuse(state.metrics, exc.work_class, exc.refusal)
    stored = state.answers.get(admitted.cache_key) if admitted.key else None
    if stored is not None:
        return await replay(stored)
    try:
        hold_back(state, admitted, time.monotonic())
        with _in_progress(state, admitted):
            return await serve(admitted)
    except RefusedError as exc:
        name, rid = admitted.work.name, admitted.request_id
        return refuse(state.metrics, name, exc.refusal, rid)


def standing_of(state: EntryState, admitted: Admitted, now_s: float) -> SuspectState:
    """What a request is taken for: replicas may have ended under it."""
    if not state.suspects.book:
        return SuspectState.CLEAR
    return state.suspects.standing(admitted.fingerprint, admitted.work, now_s)


def hold_back(state: EntryState, admitted: Admitted, now_s: float) -> None:
    """Refuse at once what no replica gets.

    :raises RefusedError: if replicas ended under the request time and again.
    """
    if standing_of(state, admitted, now_s) is SuspectState.QUARANTINED:
        raise RefusedError(state.suspects.held_back(admitted.fingerprint, now_s))


@contextlib.contextmanager
def _in_progress(state: EntryState, admitted: Admitted) -> Iterator[None]:
    """Count a request in flight, and hold its idempotency key.

    :raises RefusedError: ``may_have_run`` if the same key is in flight:
        the first may already be running, so this one must not start.
    """
    held = admitted.key is not None
    if held and admitted.cache_key in state.answers.running:
        raise RefusedError(
            may_have_run(
                Reason.DUPLICATE_IN_FLIGHT, 1.0, "same idempotency key in progress"
            )
        )
    state.enter()
    if held:
        state.answers.running.add(admitted.cache_key)
    try:
        yield
    finally:
        if held:
            state.answers.running.discard(admitted.cache_key)
        state.leave()


async def reserve(state: EntryState, admitted: Admitted, cost: int) -> Reservation:
    """Reserve ``cost`` tokens, waiting a bounded time for a grant.

    :raises RefusedError: ``did_not_run``, saying whether the budget is used
        up, held by other entries, or the ledger out of reach.
    """
    keeper, account = state.keeper, admitted.account.account_id
    started = time.monotonic()
    synced = False
    while True:
        now = time.monotonic()
        reservation = keeper.book.reserve(admitted.request_id, account, cost, now)
        keeper.want(account, cost, now)
        if reservation is not None:
            return reservation
        available = keeper.book.available(account, now)
        free = keeper.free_tokens(account)
        elsewhere = keeper.elsewhere_tokens(account)
        wait_s = GRANT_WAIT_S if keeper.reachable else UNREACHABLE_WAIT_S
        left_s = started + wait_s - now
        exhausted = keeper.reachable and available + free + elsewhere < cost
        if exhausted and not synced:
            # The fold may lag behind a top-up that the caller knows of: a
            # final refusal from it would be false. Look again, once.
            if not await keeper.sync(max(left_s, UNREACHABLE_WAIT_S)):
                detail = "the ledger does not answer"
                raise RefusedError(
                    did_not_run(Reason.LEDGER_UNREACHABLE, _RETRY_AFTER_S, detail)
                )
            synced = True
            continue
        if exhausted or left_s <= 0:
            raise RefusedError(
                budget_refusal(
                    available, free, elsewhere, cost, keeper.reachable, _RETRY_AFTER_S
                )
            )
        await keeper.wait_changed(left_s)


def place(
    state: EntryState, work: WorkClass, ask: Ask, avoid: frozenset[ReplicaId]
) -> ReplicaLoad:
    """The replica to send a request to.

    :param avoid: replicas that failed this request already.
    :raises RefusedError: ``no_capacity`` / ``did_not_run`` with a time to
        come back.
    """
    now_s = time.time()
    zone = state.spec.zone
    replicas = [r for r in state.view.replicas.values() if r.replica_id not in avoid]
    replica = None
    if avoid:
        # A request that failed once is not put on trial at another replica
        # that failed lately, or it would use up its attempts on trials.
        sound = [r for r in replicas if r.sound]
        replica = state.choose(sound, ask, zone, now_s)
    replica = replica or state.choose(replicas, ask, zone, now_s)
    if replica is None:
        raise RefusedError(
            did_not_run(
                Reason.NO_CAPACITY,
                retry_after_s(replicas, work.model, now_s),
                f"no replica of {work.model} has room for priority {work.priority}",
            )
        )
    return replica
