"""The calls of a soak, and what callers got."""

import asyncio
import collections
import json
import pathlib
import random
import time
from typing import Any

import attrs

from tests.process_soak.callers import BrokenError, Caller, Request
from tests.process_soak.judging import (
    GAP_BEFORE_CUT,
    PROMISES,
    Answer,
    Event,
    parse_events,
    plain_faults,
    stream_faults,
)
from tests.process_soak.site import Site

TAKE_UPS = 4


@attrs.define
class Found:
    """What callers got.

    :ivar counts: answers by kind and what became of them.
    :ivar wrong: broken promises, by kind of answer and of fault.
    :ivar runs: how often each request ran, by the endpoints' records.
    :ivar refused: requests that callers were told did not run.
    """

    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    wrong: collections.Counter[str] = attrs.field(factory=collections.Counter)
    asked: dict[str, str] = attrs.field(factory=dict)
    refused: set[str] = attrs.field(factory=set)
    evidence: list[dict[str, object]] = attrs.field(factory=list)


class Calls:
    """The callers of a soak.

    :param until_s: time at which they send no more.
    """

    def __init__(self, site: Site, until_s: float) -> None:
        self._site = site
        self._until_s = until_s
        self.found = Found()

    async def run(self, number: int) -> None:
        """Send one request after the other."""
        rng = random.Random(f"caller {self._site.options.seed} {number}")
        caller: Caller | None = None
        count = 0
        while time.monotonic() < self._until_s:
            count += 1
            name = f"c{number}n{count}"
            if caller is None or not caller.is_open or rng.random() < 0.2:
                if caller is not None:
                    caller.close()
                caller = await self._connect(rng)
                if caller is None:
                    await asyncio.sleep(0.05)
                    continue
            kind = rng.choice(("stream", "resume", "resume", "plain", "once"))
            if kind in ("stream", "resume"):
                await self._stream(rng, caller, kind, name)
            else:
                await self._plain(rng, caller, kind, name)
        if caller is not None:
            caller.close()

    async def _connect(self, rng: random.Random) -> Caller | None:
        caller = Caller(slow=rng.random() < 0.15)
        entry = rng.choice(self._site.entries)
        try:
            await caller.open(entry.front_address)
        except (OSError, TimeoutError):
            caller.close()
            return None
        return caller

    def _request(
        self, rng: random.Random, request_id: str, path: str, after: int = 0
    ) -> Request:
        version = "1.0" if rng.random() < 0.2 else "1.1"
        keeps = version == "1.1" and rng.random() < 0.7
        leaves_after = rng.randrange(2_000) if rng.random() < 0.08 else None
        return Request(request_id, path, version, keeps, after, leaves_after)

    async def _ask(self, caller: Caller, request: Request) -> Answer | None:
        self.found.asked[request.request_id] = request.path
        kind = request.path.split("/")[1]
        try:
            answer = await caller.ask(request)
        except BrokenError:
            self.found.counts[f"{kind} without answer"] += 1
            return None
        if answer.status in PROMISES:
            self.found.refused.add(request.request_id)
        name = "whole" if answer.looks_whole else "cut"
        if kind in ("plain", "once") or answer.status != 200:
            name = f"{answer.status} {name}"
        self.found.counts[f"{kind} {name}"] += 1
        return answer

    async def _plain(
        self, rng: random.Random, caller: Caller, kind: str, name: str
    ) -> None:
        request = self._request(rng, name, f"/{kind}/{name}")
        answer = await self._ask(caller, request)
        if answer is not None:
            faults = plain_faults(answer, name)
            self._blame(kind, faults, request, caller)

    async def _stream(
        self, rng: random.Random, caller: Caller, kind: str, name: str
    ) -> None:
        """Ask for a stream, and take it up elsewhere where it broke off."""
        path = f"/{kind}/{name}-{rng.randrange(3, 25)}"
        after, version = 0, 0
        taken: Caller | None = caller
        for turn in range(TAKE_UPS if kind == "resume" else 1):
            if taken is None:
                await asyncio.sleep(0.1)
            else:
                request = self._request(rng, f"{name}t{turn}", path, after)
                answer = await self._ask(taken, request)
                if answer is not None and answer.status == 200:
                    faults = stream_faults(answer, request.request_id, name, after)
                    events, _ = parse_events(answer.body)
                    faults = self._without_swapped(kind, faults, events)
                    self._blame(kind, faults, request, taken)
                    if events and version not in (0, events[0].version):
                        self._blame(kind, ["version_taken_up"], request, taken)
                    after = events[-1].number if events else after
                    version = events[-1].version if events else version
                    if answer.looks_whole:
                        break
                elif answer is not None:
                    faults = plain_faults(answer, request.request_id)
                    self._blame(kind, faults, request, taken)
            if taken is not None and taken is not caller:
                taken.close()
            taken = await self._connect(rng)
        if taken is not None and taken is not caller:
            taken.close()

    def _without_swapped(
        self, kind: str, faults: list[str], events: list[Event]
    ) -> list[str]:
        """The faults without a gap that the endpoint's records explain."""
        if faults != [GAP_BEFORE_CUT]:
            return faults
        records = read_records(self._site.options.folder)
        if stutters(records).get(events[-1].run) != "swapped":
            return faults
        self.found.counts[f"{kind} cut after a swapped event"] += 1
        return []

    def _blame(
        self, kind: str, faults: list[str], request: Request, caller: Caller
    ) -> None:
        for fault in faults:
            self.found.wrong[f"{kind} {fault}"] += 1
        if faults:
            self.found.evidence.append(
                {
                    "faults": faults,
                    "request": attrs.asdict(request),
                    "bytes": caller.received.decode("latin-1"),
                }
            )


def read_records(folder: pathlib.Path) -> list[dict[str, Any]]:
    """The records of all endpoints."""
    lines = [
        line
        for path in sorted(folder.glob("records-*"))
        for line in path.read_text().splitlines()
    ]
    return [json.loads(line) for line in lines]


def stutters(records: list[dict[str, Any]]) -> dict[str, str]:
    """How the stream of each run stuttered."""
    return {r["run"]: r["stutter"] for r in records if r["did"] == "stream"}
