"""The entry instance: the HTTP front for callers and its tasks.

For callers:

- ``GET /v1/route``: which entry addresses this account should use, and for
  how long to keep the answer (``ttl_s``).
- ``POST /v1/chat/completions``: OpenAI-compatible; ``model`` names the class
  of work; ``stream: true`` answers as server-sent events.
- ``POST /v1/services/{class}``: a plain-service call, JSON in and out.
- ``GET /metrics``, ``GET /healthz``, ``GET /status``; ``POST /admin/drain``.

A refusal is a JSON body ``{"error": {"reason", "verdict", "retry_after_s"}}``
with a ``Retry-After`` header when the caller may come back.
"""

import asyncio
import contextlib
import hashlib
import json
import logging
import time
import uuid
from collections.abc import Iterator
from typing import Any

import aiohttp
import attrs
from aiohttp import web
from prometheus_client import generate_latest

from celerytrack.entry.answers import AnswerCache, StoredAnswer
from celerytrack.entry.bills import Bill, BillWriter
from celerytrack.entry.config_follower import ConfigFollower
from celerytrack.entry.fleet_view import EntryInfo, FleetView
from celerytrack.entry.journal import Claim, IntentJournal
from celerytrack.entry.ledger_keeper import LedgerKeeper
from celerytrack.entry.metrics import EntryMetrics
from celerytrack.escrow import Reservation, budget_refusal
from celerytrack.events import Event, log_event
from celerytrack.ids import AccountId, EntryId, RequestId
from celerytrack.logclient import LogClient
from celerytrack.routing import ReplicaLoad, make_chooser, rendezvous, retry_after_s
from celerytrack.settings import (
    Account,
    BackendKind,
    Config,
    FleetSettings,
    GrantPolicy,
    WorkClass,
)
from celerytrack.standins.engine import count_tokens
from celerytrack.verdict import Reason, Refusal, did_not_run, may_have_run

_log = logging.getLogger(__name__)

ENTRIES_PER_ACCOUNT = 2
"""Entries named in an address answer: the first, and one to fail over to."""
GRANT_WAIT_S = 1.0
"""Longest a request waits for a grant before it is refused."""
BILL_WAIT_S = 2.0
"""Longest the end of a stream waits for its bill to be on the log."""
_RESUME_TRIES = 2


class RefusedError(Exception):
    """Raised inside a handler to answer with a :class:`Refusal`.

    :param work_class: the class named by the request, for metrics.
    """

    def __init__(self, refusal: Refusal, work_class: str = "?") -> None:
        super().__init__(refusal.reason.value)
        self.refusal = refusal
        self.work_class = work_class


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


def refusal_response(refusal: Refusal) -> web.Response:
    """The HTTP response for ``refusal``."""
    headers = {}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(refusal.retry_after_s)))
    return web.json_response(
        refusal.to_json(), status=refusal.http_status, headers=headers
    )


def request_id_for(account: str, key: str | None) -> RequestId:
    """The request id: derived from the idempotency key, so retries share it."""
    if key is None:
        return RequestId(uuid.uuid4().hex)
    return RequestId(hashlib.sha256(f"{account}\x00{key}".encode()).hexdigest()[:24])


class Entry:
    """One entry instance: its state, tasks and HTTP handlers.

    :param fleet: the layout read at start.
    :param entry_id: which entry of ``fleet`` this process is.
    """

    def __init__(self, fleet: FleetSettings, entry_id: str) -> None:
        self.spec = fleet.entry(entry_id)
        self.fleet = fleet
        self.entry_id = EntryId(entry_id)
        self.boot_id = uuid.uuid4().hex[:8]
        self.log = LogClient(fleet.platform.log_address, entry_id)
        self.config = ConfigFollower(self.log, republish_after_s=300.0)
        self.view = FleetView(
            fleet.platform.instances_address, fleet.tuning.instance_poll_s
        )
        self.keeper = LedgerKeeper(
            self.log,
            self.entry_id,
            self.boot_id,
            self._grant_policy,
            self._writes_snapshot,
        )
        self.bills = BillWriter(
            self.log, self.entry_id, self.boot_id, fleet.tuning.bill_flush_s
        )
        self.journal = IntentJournal(self.log, f"{entry_id}/{self.boot_id}")
        self.answers = AnswerCache()
        self.choose = make_chooser(fleet.tuning.placement)
        self.metrics = EntryMetrics()
        self.draining = False
        self.in_flight = 0
        self._idle = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._upstream: aiohttp.ClientSession | None = None

    def _grant_policy(self) -> GrantPolicy:
        return self.config.config.grant if self.config.config else GrantPolicy()

    def _writes_snapshot(self, k: int) -> bool:
        live = [e for e, info in self.view.entries.items() if not info.leaving]
        return rendezvous(str(k), live or [self.entry_id], 1)[0] == self.entry_id

    async def start(self) -> None:
        """Read the platform's state and start the tasks."""
        self._upstream = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=2.0,
                sock_read=self.fleet.tuning.upstream_timeout_s,
            )
        )
        await self.view.refresh()
        self._tasks = [
            asyncio.create_task(self.config.run()),
            asyncio.create_task(self.view.run()),
            asyncio.create_task(self.bills.run()),
        ]
        self._tasks += await self.keeper.start()
        await asyncio.wait_for(self.config.wait_for_config(), 30.0)
        log_event(
            _log,
            Event.PROCESS_STARTED,
            entry=self.entry_id,
            address=self.spec.address,
            zone=self.spec.zone,
            config_version=self.config.version,
        )

    async def drain(self) -> None:
        """Planned stop: take no new work, finish streams, bill, settle."""
        if self.draining:
            return
        self.draining = True
        log_event(
            _log, Event.ENTRY_DRAINING, entry=self.entry_id, in_flight=self.in_flight
        )
        deadline = time.monotonic() + self.fleet.tuning.drain_grace_s
        while self.in_flight and time.monotonic() < deadline:
            self._idle.clear()
            try:
                await asyncio.wait_for(self._idle.wait(), 0.5)
            except TimeoutError:
                pass
        await self.bills.flush()
        await self.keeper.settle_all()

    async def stop(self) -> None:
        """Cancel the tasks and close sessions."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._upstream is not None:
            await self._upstream.close()
        await self.view.close()
        await self.log.close()

    # -- shared admission steps -------------------------------------------

    def _current(self) -> Config:
        config = self.config.config
        if config is None:
            raise RefusedError(did_not_run(Reason.NO_CAPACITY, 1.0, "no config yet"))
        return config

    def _authenticate(self, request: web.Request, config: Config) -> Account:
        header = request.headers.get("Authorization", "")
        key = header.removeprefix("Bearer ").strip()
        account = config.account_by_key(key) if key else None
        if account is None:
            raise RefusedError(did_not_run(Reason.BAD_KEY, None, "unknown account key"))
        return account

    def _work_class(self, config: Config, name: str, kind: BackendKind) -> WorkClass:
        work = config.work_class(name)
        if work is None or work.kind is not kind:
            raise RefusedError(
                did_not_run(
                    Reason.UNKNOWN_CLASS, None, f"no {kind.value} class {name!r}"
                )
            )
        return work

    def _refuse_if_draining(self) -> None:
        if self.draining:
            raise RefusedError(
                did_not_run(
                    Reason.DRAINING, 0.0, "entry is draining; ask /v1/route again"
                )
            )

    async def _admit(self, request: web.Request, kind: BackendKind) -> Admitted:
        """The checks every request passes before anything is reserved.

        :raises RefusedError: ``did_not_run`` for a bad body, key or class,
            while draining, or for a non-idempotent call without a key.
        """
        name = request.match_info.get("work_class", "?")
        try:
            body = await request.json()
        except json.JSONDecodeError:
            raise RefusedError(
                did_not_run(Reason.BAD_REQUEST, None, "body is not JSON"), name
            ) from None
        if kind is BackendKind.ENGINE:
            name = str(body.get("model", ""))
        try:
            config = self._current()
            account = self._authenticate(request, config)
            work = self._work_class(config, name, kind)
            self._refuse_if_draining()
        except RefusedError as exc:
            raise RefusedError(exc.refusal, name) from None
        key = request.headers.get("Idempotency-Key")
        if not work.idempotent and key is None:
            raise RefusedError(
                did_not_run(
                    Reason.BAD_REQUEST,
                    None,
                    "a non-idempotent class needs an Idempotency-Key",
                ),
                name,
            )
        return Admitted(
            body,
            account,
            work,
            key,
            request_id_for(account.account_id, key),
            f"{account.account_id}:{key}",
        )

    def _stored(self, admitted: Admitted) -> StoredAnswer | None:
        """The answer kept for this idempotency key, if any."""
        if admitted.key is None:
            return None
        return self.answers.get(admitted.cache_key)

    @contextlib.contextmanager
    def _in_progress(self, admitted: Admitted) -> Iterator[None]:
        """Count a request in flight, and hold its idempotency key.

        :raises RefusedError: ``may_have_run`` if the same key is in flight:
            the first may already be running, so this one must not start.
        """
        held = admitted.key is not None
        if held and admitted.cache_key in self.answers.running:
            raise RefusedError(
                may_have_run(
                    Reason.DUPLICATE_IN_FLIGHT, 1.0, "same idempotency key in progress"
                )
            )
        self._enter()
        if held:
            self.answers.running.add(admitted.cache_key)
        try:
            yield
        finally:
            if held:
                self.answers.running.discard(admitted.cache_key)
            self._leave()

    async def _reserve(
        self, rid: RequestId, account: AccountId, cost: int
    ) -> Reservation:
        """Reserve ``cost`` tokens, taking a grant if needed (bounded wait)."""
        deadline = time.monotonic() + GRANT_WAIT_S
        while True:
            now = time.monotonic()
            reservation = self.keeper.book.reserve(rid, account, cost, now)
            self.keeper.want(account, cost, now)
            if reservation is not None:
                return reservation
            free = self.keeper.free_tokens(account)
            if self.keeper.reachable and free < cost - self.keeper.book.available(
                account, now
            ):
                break
            if now >= deadline:
                break
            await self.keeper.wait_changed(deadline - now)
        now = time.monotonic()
        raise RefusedError(
            budget_refusal(
                self.keeper.book.available(account, now),
                self.keeper.free_tokens(account),
                cost,
                self.keeper.reachable,
                2.0,
            )
        )

    def _place(
        self, work: WorkClass, prompt: str, reservation: Reservation
    ) -> ReplicaLoad:
        """The replica for a request, or a ``no_capacity`` refusal.

        :raises RefusedError: ``did_not_run`` with ``Retry-After``; the
            reservation is released first.
        """
        replicas = list(self.view.replicas.values())
        replica = self.choose(
            replicas, work.model, prompt, self.spec.zone, work.priority
        )
        if replica is None:
            self.keeper.book.release(reservation)
            raise RefusedError(
                did_not_run(
                    Reason.NO_CAPACITY,
                    retry_after_s(replicas, work.model),
                    f"no replica of {work.model} has room for priority {work.priority}",
                )
            )
        return replica

    def _refuse(self, work_class: str, refusal: Refusal) -> web.Response:
        self.metrics.refusals.labels(refusal.reason.value, refusal.verdict.value).inc()
        self.metrics.requests.labels(work_class, "refused").inc()
        log_event(
            _log,
            Event.REQUEST_REFUSED,
            work_class=work_class,
            reason=refusal.reason.value,
            verdict=refusal.verdict.value,
        )
        return refusal_response(refusal)

    def _enter(self) -> None:
        self.in_flight += 1
        self.metrics.in_flight.set(self.in_flight)

    def _leave(self) -> None:
        self.in_flight -= 1
        self.metrics.in_flight.set(self.in_flight)
        if self.in_flight == 0:
            self._idle.set()

    async def _bill(
        self, reservation: Reservation, work: WorkClass, spent_tokens: int
    ) -> None:
        tokens = self.keeper.book.commit(reservation, spent_tokens)
        self.metrics.billed_tokens.inc(tokens)
        done = self.bills.submit(
            Bill(reservation.request_id, reservation.account, work.name, tokens)
        )
        try:
            await asyncio.wait_for(asyncio.shield(done), BILL_WAIT_S)
        except TimeoutError:
            # The log is down: the bill stays queued and is appended when it
            # comes back; the caller is not held longer for it.
            log_event(
                _log,
                Event.BILLS_FLUSH_FAILED,
                logging.WARNING,
                request_id=reservation.request_id,
            )

    # -- handlers ---------------------------------------------------------

    async def route(self, request: web.Request) -> web.Response:
        """``GET /v1/route``: the entries an account should use."""
        try:
            config = self._current()
            account = self._authenticate(request, config)
        except RefusedError as exc:
            return refusal_response(exc.refusal)
        now = time.monotonic()
        within_s = self.fleet.tuning.instance_poll_s * 3
        live = {e: i for e, i in self.view.entries.items() if i.usable(now, within_s)}
        if self.draining:
            live.pop(self.entry_id, None)
        else:
            live[self.entry_id] = self.view.entries.get(self.entry_id) or _self_info(
                self
            )
        chosen = [
            EntryId(e)
            for e in rendezvous(account.account_id, list(live), ENTRIES_PER_ACCOUNT)
        ]
        return web.json_response(
            {
                "entries": [live[e].address for e in chosen],
                "ttl_s": self.fleet.tuning.route_ttl_s,
            }
        )

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """``POST /v1/chat/completions``: admit, route, stream, bill."""
        started = time.monotonic()
        try:
            admitted = await self._admit(request, BackendKind.ENGINE)
        except RefusedError as exc:
            return self._refuse(exc.work_class, exc.refusal)
        stored = self._stored(admitted)
        if stored is not None:
            log_event(_log, Event.REQUEST_REPLAYED, request_id=admitted.request_id)
            return await self._replay_stream(request, stored, admitted.work.name)
        try:
            with self._in_progress(admitted):
                return await self._serve_chat(request, admitted, started)
        except RefusedError as exc:
            return self._refuse(admitted.work.name, exc.refusal)

    async def _serve_chat(
        self, request: web.Request, admitted: Admitted, started: float
    ) -> web.StreamResponse:
        body, account, work = admitted.body, admitted.account, admitted.work
        rid = admitted.request_id
        cache_key = admitted.cache_key if admitted.key is not None else None
        messages = body.get("messages") or []
        prompt = "".join(str(m.get("content", "")) for m in messages)
        max_tokens = min(
            int(body.get("max_tokens") or work.max_output_tokens),
            work.max_output_tokens,
        )
        cost = count_tokens(prompt) + max_tokens
        reservation = await self._reserve(rid, account.account_id, cost)
        replica = self._place(work, prompt, reservation)
        address = self.view.addresses[replica.replica_id]
        upstream_body = {
            "model": work.model,
            "messages": messages,
            "max_tokens": max_tokens,
            "stream": True,
            "priority": work.priority,
        }
        replica.sent(time.time())
        try:
            return await self._relay(
                request,
                address,
                upstream_body,
                rid,
                reservation,
                work,
                prompt,
                max_tokens,
                cache_key,
                started,
            )
        finally:
            replica.finished()

    async def _relay(
        self,
        request: web.Request,
        address: str,
        upstream_body: dict[str, Any],
        rid: RequestId,
        reservation: Reservation,
        work: WorkClass,
        prompt: str,
        max_tokens: int,
        cache_key: str | None,
        started: float,
    ) -> web.StreamResponse:
        assert self._upstream is not None
        headers = {"X-Request-Id": rid}
        url = f"http://{address}/v1/chat/completions"
        try:
            upstream = await self._upstream.post(
                url, json=upstream_body, headers=headers
            )
        except (aiohttp.ClientConnectorError, TimeoutError):
            # Connection refused or never made: the engine never saw it.
            self.keeper.book.release(reservation)
            raise RefusedError(
                did_not_run(Reason.UPSTREAM_FAILED, 1.0, "engine unreachable")
            ) from None
        except aiohttp.ClientError:
            self.keeper.book.release(reservation)
            raise RefusedError(
                may_have_run(Reason.UPSTREAM_FAILED, 1.0, "engine failed")
            ) from None
        if upstream.status != 200:
            upstream.release()
            self.keeper.book.release(reservation)
            raise RefusedError(
                did_not_run(
                    Reason.UPSTREAM_FAILED, 1.0, f"engine answered {upstream.status}"
                )
            )
        resp = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "X-Request-Id": rid}
        )
        await resp.prepare(request)
        parts: list[str] = []
        tries = 0
        complete = False
        while True:
            try:
                complete = await self._pump(upstream, resp, rid, parts, work, started)
                break
            except (aiohttp.ClientError, TimeoutError, ConnectionError):
                upstream.release()
                tries += 1
                if tries > _RESUME_TRIES:
                    break
                # The engine cut the stream: resume by request id and offset,
                # so the caller still gets the whole answer, once.
                resume = f"http://{address}/v1/streams/{rid}"
                try:
                    upstream = await self._upstream.get(
                        resume, params={"offset": len(parts), "count": max_tokens}
                    )
                except aiohttp.ClientError:
                    break
            finally:
                upstream.release()
        if not complete:
            self.keeper.book.release(reservation)
            log_event(
                _log,
                Event.REQUEST_CUT,
                logging.WARNING,
                request_id=rid,
                tokens=len(parts),
            )
            refusal = may_have_run(Reason.UPSTREAM_CUT, 1.0, "engine stream cut")
            await resp.write(f"data: {json.dumps(refusal.to_json())}\n\n".encode())
            return resp
        text = "".join(parts)
        await self._bill(reservation, work, count_tokens(prompt) + len(parts))
        if cache_key is not None:
            self.answers.put(cache_key, StoredAnswer(rid, text))
        await resp.write(b"data: [DONE]\n\n")
        self.metrics.requests.labels(work.name, "done").inc()
        log_event(
            _log, Event.REQUEST_DONE, logging.DEBUG, request_id=rid, tokens=len(parts)
        )
        return resp

    async def _pump(
        self,
        upstream: aiohttp.ClientResponse,
        resp: web.StreamResponse,
        rid: RequestId,
        parts: list[str],
        work: WorkClass,
        started: float,
    ) -> bool:
        """Relay chunks until ``[DONE]`` (``True``) or the stream ends."""
        async for raw in upstream.content:
            line = raw.strip()
            if not line.startswith(b"data: "):
                continue
            data = line[6:]
            if data == b"[DONE]":
                self.metrics.tokens.labels(work.name).inc(len(parts))
                return True
            chunk = json.loads(data)
            # Only this request's tokens go to its caller: a chunk for any
            # other id means the engine mixed streams, and is dropped.
            if chunk.get("id") != rid:
                continue
            if not parts:
                self.metrics.ttft.labels(work.name).observe(time.monotonic() - started)
            parts.append(chunk["choices"][0]["delta"].get("content", ""))
            await resp.write(line + b"\n\n")
        return False

    async def _replay_stream(
        self, request: web.Request, stored: StoredAnswer, name: str
    ) -> web.StreamResponse:
        resp = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Request-Id": stored.request_id,
                "X-Replayed": "1",
            }
        )
        await resp.prepare(request)
        chunk = {
            "id": stored.request_id,
            "object": "chat.completion.chunk",
            "model": name,
            "choices": [
                {
                    "index": 0,
                    "delta": {"content": stored.text},
                    "finish_reason": "length",
                }
            ],
        }
        await resp.write(f"data: {json.dumps(chunk)}\n\ndata: [DONE]\n\n".encode())
        return resp

    async def service_call(self, request: web.Request) -> web.Response:
        """``POST /v1/services/{class}``: a plain-service call, JSON body."""
        started = time.monotonic()
        try:
            admitted = await self._admit(request, BackendKind.SERVICE)
        except RefusedError as exc:
            return self._refuse(exc.work_class, exc.refusal)
        stored = self._stored(admitted)
        if stored is not None:
            return web.json_response(stored.body, headers={"X-Replayed": "1"})
        try:
            with self._in_progress(admitted):
                answer = await self._serve_service(admitted, started)
        except RefusedError as exc:
            return self._refuse(admitted.work.name, exc.refusal)
        if admitted.key is not None:
            self.answers.put(
                admitted.cache_key, StoredAnswer(admitted.request_id, body=answer)
            )
        return web.json_response(answer, headers={"X-Request-Id": admitted.request_id})

    async def _serve_service(self, admitted: Admitted, started: float) -> Any:
        assert self._upstream is not None
        body, account, work = admitted.body, admitted.account, admitted.work
        rid, cache_key = admitted.request_id, admitted.cache_key
        reservation = await self._reserve(
            rid, account.account_id, work.service_cost_tokens
        )
        replica = self._place(work, "", reservation)
        if not work.idempotent:
            # The intent is recorded only once budget and a replica are
            # found: an intent recorded for a call then refused would make
            # every later retry look started ("may have run") for ever.
            try:
                done = await self._claim_once(cache_key, rid)
            except RefusedError:
                self.keeper.book.release(reservation)
                raise
            if done is not None:
                self.keeper.book.release(reservation)
                return done
        url = f"http://{self.view.addresses[replica.replica_id]}/call/{work.name}"
        replica.sent(time.time())
        try:
            async with self._upstream.post(
                url, json=body, headers={"X-Request-Id": rid}
            ) as resp:
                if resp.status != 200:
                    raise aiohttp.ClientResponseError(
                        resp.request_info, (), status=resp.status
                    )
                answer = await resp.json()
        except aiohttp.ClientConnectorError:
            self.keeper.book.release(reservation)
            raise RefusedError(
                did_not_run(Reason.UPSTREAM_FAILED, 1.0, "service unreachable")
            ) from None
        except (aiohttp.ClientError, TimeoutError):
            self.keeper.book.release(reservation)
            raise RefusedError(
                may_have_run(Reason.UPSTREAM_FAILED, 1.0, "service failed")
            ) from None
        finally:
            replica.finished()
        self.metrics.ttft.labels(work.name).observe(time.monotonic() - started)
        if not work.idempotent:
            await self.journal.complete(cache_key, answer)
        await self._bill(reservation, work, work.service_cost_tokens)
        self.metrics.requests.labels(work.name, "done").inc()
        return answer

    async def _claim_once(self, cache_key: str, rid: RequestId) -> Any:
        """Record the intent of a non-idempotent call, or explain why not.

        :returns: the stored answer if the call already finished elsewhere,
            ``None`` if this entry now owns the call.
        :raises RefusedError: if it may be running elsewhere, or the
            journal cannot be written (then nothing was sent).
        """
        claim = await self.journal.claim(cache_key, rid)
        if claim is Claim.OWNED:
            log_event(_log, Event.INTENT_RECORDED, request_id=rid)
            return None
        if claim is Claim.UNREACHABLE:
            raise RefusedError(
                did_not_run(
                    Reason.LEDGER_UNREACHABLE, 2.0, "intent journal unreachable"
                )
            )
        found = self.journal.lookup(cache_key) or {}
        if found.get("type") == "done":
            return found["answer"]
        raise RefusedError(
            may_have_run(
                Reason.DUPLICATE_IN_FLIGHT, 2.0, "this call was started before"
            )
        )

    async def health(self, request: web.Request) -> web.Response:
        """``GET /healthz``: alive, and whether draining."""
        return web.json_response({"ok": True, "draining": self.draining})

    async def status(self, request: web.Request) -> web.Response:
        """``GET /status``: what an operator checks."""
        now = time.monotonic()
        held = sum(g.available(now) for g in self.keeper.book.grants.values())
        self.metrics.held_tokens.set(held)
        return web.json_response(
            {
                "entry": self.entry_id,
                "zone": self.spec.zone,
                "config_version": self.config.version,
                "draining": self.draining,
                "in_flight": self.in_flight,
                "ledger_offset": self.keeper.ledger.next_offset,
                "ledger_reachable": self.keeper.reachable,
                "held_tokens": held,
                "grants": len(self.keeper.book.grants),
                "bill_backlog": self.bills.backlog,
                "leaving_replicas": sorted(
                    r for r, v in self.view.replicas.items() if v.leaving
                ),
            }
        )

    async def metrics_page(self, request: web.Request) -> web.Response:
        """``GET /metrics`` for Prometheus."""
        return web.Response(
            body=generate_latest(self.metrics.registry), content_type="text/plain"
        )

    async def admin_drain(self, request: web.Request) -> web.Response:
        """``POST /admin/drain``: start a planned stop."""
        asyncio.get_running_loop().create_task(self.drain())
        return web.json_response({"ok": True, "draining": True})


def _self_info(entry: Entry) -> EntryInfo:
    return EntryInfo(entry.entry_id, entry.spec.address, entry.spec.zone)


def make_app(entry: Entry) -> web.Application:
    """The entry's aiohttp application."""
    app = web.Application()
    app.add_routes(
        [
            web.get("/v1/route", entry.route),
            web.post("/v1/chat/completions", entry.chat),
            web.post("/v1/services/{work_class}", entry.service_call),
            web.get("/healthz", entry.health),
            web.get("/status", entry.status),
            web.get("/metrics", entry.metrics_page),
            web.post("/admin/drain", entry.admin_drain),
        ]
    )
    return app
