"""A deployment of one entry, one engine and one service, each its own process, for
tests of an entry's timing. No other test run uses its addresses."""

import asyncio
import contextlib
import json
import pathlib
import tempfile
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import attrs

from tests.fleet import Fleet
from tests.gateway_processes import loopback_ip

ENTRY = "entry-1"
ENGINE = "engine-1"
SERVICE = "service-1"
ACCOUNT = "account-1"
KEY = "key-of-account-1"
STREAM_CLASS = "story"
CALL_CLASS = "lookup"
BUDGET_TOKENS = 5_000_000
MAX_OUTPUT_TOKENS = 400_000
HEADERS = {"Authorization": f"Bearer {KEY}"}


def _address(port: int) -> str:
    return f"{loopback_ip(1)}:{port}"


def _settings() -> dict[str, Any]:
    replicas = [(ENGINE, 7110, "engine", "m"), (SERVICE, 7111, "service", "s")]
    return {
        "deployment": "small",
        "zones": ["z"],
        "platform": {
            "log_address": _address(7100),
            "instances_address": _address(7101),
            "weights_address": _address(7102),
        },
        "entries": [
            {
                "entry_id": ENTRY,
                "address": _address(7120),
                "peer_address": _address(7121),
                "zone": "z",
            }
        ],
        "replicas": [
            {
                "replica_id": name,
                "address": _address(port),
                "zone": "z",
                "kind": kind,
                "model": model,
            }
            for name, port, kind, model in replicas
        ],
    }


def _config() -> dict[str, Any]:
    story = {
        "name": STREAM_CLASS,
        "kind": "engine",
        "model": "m",
        "ttft_target_s": 1.0,
        "max_output_tokens": MAX_OUTPUT_TOKENS,
    }
    lookup = {
        "name": CALL_CLASS,
        "kind": "service",
        "model": "s",
        "ttft_target_s": 1.0,
        "service_cost_tokens": 20,
    }
    return {
        "deployment": "small",
        "classes": [story, lookup],
        "accounts": [{"account_id": ACCOUNT, "key": KEY}],
    }


def small_fleet(token_s: float, **tuning: Any) -> Fleet:
    """Create a fleet without starting it.

    :param token_s: seconds the engine takes per token.
    :param tuning: fields of the entries' tuning.
    """
    with tempfile.TemporaryDirectory(prefix="small-") as name:
        folder = pathlib.Path(name)
        (folder / "fleet.json").write_text(json.dumps(_settings()))
        (folder / "config.json").write_text(json.dumps(_config()))
        engine = ("--token-s", str(token_s))
        return Fleet(name, engine_args=engine, tuning=tuning)


@contextlib.asynccontextmanager
async def started(
    fleet: Fleet, budget_tokens: int = BUDGET_TOKENS
) -> AsyncIterator[Fleet]:
    """Start ``fleet`` and stop it on exit."""
    try:
        await asyncio.to_thread(fleet.start, budget_tokens)
        yield fleet
    finally:
        await asyncio.to_thread(fleet.stop)


@attrs.define
class Outcome:
    """The answer to one request as its caller received it.

    :ivar whole: the answer ended properly.
    :ivar closes: the answer closes its connection.
    :ivar done: the stream ended with ``[DONE]``.
    :ivar error: the refusal, or the error in the last event.
    """

    status: int | None = None
    events: int = 0
    whole: bool = False
    closes: bool = False
    done: bool = False
    error: dict[str, Any] = attrs.field(factory=dict)


async def ask_stream(fleet: Fleet, tokens: int) -> Outcome:
    """Request a stream of ``tokens`` and read it to its end."""
    body = {"model": STREAM_CLASS, "max_tokens": tokens, "messages": []}
    return await _ask(fleet, "/v1/chat/completions", body)


async def ask_call(fleet: Fleet) -> Outcome:
    """Make one service call."""
    return await _ask(fleet, f"/v1/services/{CALL_CLASS}", {})


async def _ask(fleet: Fleet, path: str, body: Any) -> Outcome:
    outcome = Outcome()
    url = f"http://{fleet.fleet.entry(ENTRY).address}{path}"
    async with aiohttp.ClientSession() as http:
        try:
            async with http.post(url, json=body, headers=HEADERS) as answer:
                outcome.status = answer.status
                outcome.closes = answer.headers.get("Connection") == "close"
                async for raw in answer.content:
                    _record_line(outcome, raw.strip().removeprefix(b"data: "))
                outcome.whole = True
        except aiohttp.ClientError:
            pass
    return outcome


def _record_line(outcome: Outcome, line: bytes) -> None:
    if line == b"[DONE]":
        outcome.done = True
    elif line:
        outcome.events += 1
        with contextlib.suppress(json.JSONDecodeError):
            outcome.error = json.loads(line).get("error", {})
