"""A caller that fetches entry addresses, caches them for ``ttl_s``, connects to an
entry directly and verifies the answers.
"""

import json
import time
import uuid
from typing import Any

import aiohttp
import attrs

from celerytrack.standins.engine import token_text
from celerytrack.standins.service import answer_for


class Outcome:
    """Outcomes of a request, as they stand in reports."""

    DONE = "done"
    REFUSED = "refused"
    CUT = "cut"
    WRONG = "wrong_answer"
    FAILED = "failed"


@attrs.define
class Result:
    """The result of one request.

    :ivar ttft_s: time to the first token, or to the whole answer of a service.
    :ivar gaps_s: times between tokens.
    :ivar key: its idempotency key.
    :ivar first_entry: address of the entry of the first try.
    :ivar first_served: whether the first try was served.
    :ivar versions: software versions that wrote its events.
    """

    work_class: str
    account: str
    outcome: str
    request_id: str = ""
    ttft_s: float | None = None
    gaps_s: list[float] = attrs.field(factory=list)
    reason: str = ""
    verdict: str = ""
    retry_after_s: float | None = None
    key: str = ""
    first_entry: str = ""
    first_served: bool = False
    versions: set[str] = attrs.field(factory=set)


@attrs.define
class Caller:
    """Sends requests for many accounts and caches the entry addresses of each.

    :ivar seed_addresses: entries to fetch the addresses from.
    :ivar keys: account id to account key.
    :ivar routes: by account id: the monotonic time at which its entry addresses expire,
        and the addresses.
    """

    seed_addresses: list[str]
    keys: dict[str, str]
    http: aiohttp.ClientSession
    routes: dict[str, tuple[float, list[str]]] = attrs.field(factory=dict)

    async def _route(self, account: str, refresh: bool = False) -> list[str]:
        now = time.monotonic()
        cached = self.routes.get(account)
        if cached is not None and cached[0] > now and not refresh:
            return cached[1]
        headers = {"Authorization": f"Bearer {self.keys[account]}"}
        for address in self.seed_addresses:
            try:
                async with self.http.get(
                    f"http://{address}/v1/route", headers=headers
                ) as resp:
                    data = await resp.json()
            except (aiohttp.ClientError, TimeoutError):
                continue
            if data.get("entries"):
                self.routes[account] = (now + float(data["ttl_s"]), data["entries"])
                return list(data["entries"])
        return list(self.seed_addresses)

    async def send(
        self,
        work_class: str,
        account: str,
        prompt: str,
        max_tokens: int,
        service: bool,
        key: str | None = None,
        before: tuple[str, ...] = (),
    ) -> Result:
        """Send one request; fail over to the account's other entries.

        :param before: messages of the chat before the prompt.
        """
        key = key or uuid.uuid4().hex
        last = Result(work_class, account, Outcome.FAILED, reason="no entry")
        may_have_run = False
        first: tuple[str, bool] | None = None
        for attempt in range(3):
            entries = await self._route(account, refresh=attempt > 0)
            for address in entries:
                try:
                    if service:
                        last = await self._service(address, work_class, account, key)
                    else:
                        last = await self._chat(
                            address,
                            work_class,
                            account,
                            (*before, prompt),
                            max_tokens,
                            key,
                        )
                except (aiohttp.ClientError, TimeoutError, ConnectionError):
                    last = Result(
                        work_class, account, Outcome.FAILED, reason="connection"
                    )
                    may_have_run = True
                    first = first or (address, False)
                    continue
                first = first or (address, last.outcome == Outcome.DONE)
                if may_have_run and last.outcome == Outcome.REFUSED:
                    # This entry ran nothing, but the entry whose connection failed
                    # may have run the request.
                    last.verdict = "may_have_run"
                # Another entry may be tried only if nothing ran at this one.
                if last.outcome == Outcome.REFUSED and last.reason == "draining":
                    continue
                if last.outcome == Outcome.FAILED:
                    continue
                return _completed(last, key, first)
        return _completed(last, key, first)

    def _headers(self, account: str, key: str) -> dict[str, str]:
        return {"Authorization": f"Bearer {self.keys[account]}", "Idempotency-Key": key}

    async def _service(
        self, address: str, work_class: str, account: str, key: str
    ) -> Result:
        started = time.monotonic()
        async with self.http.post(
            f"http://{address}/v1/services/{work_class}",
            json={"claim": key[:8]},
            headers=self._headers(account, key),
        ) as resp:
            body = await resp.json()
            rid = resp.headers.get("X-Request-Id", "")
        elapsed = time.monotonic() - started
        if "error" in body:
            return _refused(work_class, account, body["error"])
        ok = body == answer_for(body.get("request_id", ""), work_class) and (
            not rid or body.get("request_id") == rid
        )
        return Result(
            work_class,
            account,
            Outcome.DONE if ok else Outcome.WRONG,
            body.get("request_id", ""),
            elapsed,
        )

    async def _chat(
        self,
        address: str,
        work_class: str,
        account: str,
        messages: tuple[str, ...],
        max_tokens: int,
        key: str,
    ) -> Result:
        started = time.monotonic()
        body = {
            "model": work_class,
            "stream": True,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": text} for text in messages],
        }
        async with self.http.post(
            f"http://{address}/v1/chat/completions",
            json=body,
            headers=self._headers(account, key),
        ) as resp:
            if resp.content_type == "application/json":
                return _refused(work_class, account, (await resp.json())["error"])
            rid = resp.headers.get("X-Request-Id", "")
            replayed = resp.headers.get("X-Replayed") == "1"
            result = Result(work_class, account, Outcome.CUT, rid)
            text: list[str] = []
            last_at = started
            async for raw in resp.content:
                line = raw.strip()
                if not line.startswith(b"data: "):
                    continue
                if line == b"data: [DONE]":
                    expected = "".join(token_text(rid, i) for i in range(max_tokens))
                    complete = "".join(text) == expected
                    result.outcome = Outcome.DONE if complete else Outcome.WRONG
                    break
                chunk = json.loads(line[6:])
                if "error" in chunk:
                    error = chunk["error"]
                    result.reason, result.verdict = error["reason"], error["verdict"]
                    break
                now = time.monotonic()
                if result.ttft_s is None:
                    result.ttft_s = now - started
                elif not replayed:
                    result.gaps_s.append(now - last_at)
                last_at = now
                result.versions.add(chunk.get("system_fingerprint", ""))
                text.append(chunk["choices"][0]["delta"]["content"])
            return result


def _completed(result: Result, key: str, first: tuple[str, bool] | None) -> Result:
    result.key = key
    if first is not None:
        result.first_entry, result.first_served = first
    return result


def _refused(work_class: str, account: str, error: dict[str, Any]) -> Result:
    return Result(
        work_class,
        account,
        Outcome.REFUSED,
        reason=error["reason"],
        verdict=error["verdict"],
        retry_after_s=error.get("retry_after_s"),
    )
