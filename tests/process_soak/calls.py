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
    Share,
    failure_reason,
    is_mixed,
    parse_events,
    plain_faults,
    stream_faults,
)
from tests.process_soak.site import Site

TAKE_UPS = 4
LEAVE_SHARE = 0.5
"""Share of the resumable streams that callers leave to take them up elsewhere."""
LEAVE_AFTER = range(400, 2_500)
"""Bytes of an answer after which they do: its head and some events."""


@attrs.define
class Found:
    """What callers got.

    :ivar counts: answers by kind and what became of them.
    :ivar wrong: broken promises, by kind of answer and of fault.
    :ivar mixed: streams that hold events of two versions, with their tries.
    :ivar begun: new resumable streams, at entries in touch.
    :ivar taken_up: streams that began and were taken up at entries in touch.
    :ivar refused: requests that callers were told did not run.
    """

    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    wrong: collections.Counter[str] = attrs.field(factory=collections.Counter)
    asked: dict[str, str] = attrs.field(factory=dict)
    mixed: list[list[dict[str, object]]] = attrs.field(factory=list)
    begun: Share = attrs.field(factory=Share)
    taken_up: Share = attrs.field(factory=Share)
    refused: set[str] = attrs.field(factory=set)
    evidence: list[dict[str, object]] = attrs.field(factory=list)


@attrs.define
class Stream:
    """What a caller has of a stream.

    :ivar after: its last event; 0 for none.
    :ivar last: its number of events.
    :ivar first: the id of the try that brought its first event.
    :ivar begun_at: number of the entry of that try.
    :ivar tries: the request, the entry and the events of each try.
    """

    kind: str
    name: str
    path: str
    last: int
    after: int = 0
    version: int = 0
    first: str = ""
    begun_at: int = -1
    tries: list[tuple[Request, int, list[Event]]] = attrs.field(factory=list)

    def add(self, request: Request, entry: int, events: list[Event]) -> None:
        """Add the events of one more try."""
        self.tries.append((request, entry, events))
        if not events:
            return
        if not self.first:
            self.first, self.begun_at = request.request_id, entry
        self.after, self.version = events[-1].number, events[-1].version


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

    async def _connect(
        self, rng: random.Random, besides: int | None = None
    ) -> Caller | None:
        """Connect to an entry; to another one than ``besides`` if there is one."""
        numbers = range(len(self._site.entries))
        others = [number for number in numbers if number != besides]
        entry = rng.choice(others or list(numbers))
        caller = Caller(slow=rng.random() < 0.15, entry=entry)
        try:
            await caller.open(self._site.entries[entry].front_address)
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
        reason = failure_reason(answer.body)
        if reason:
            self.found.counts[f"reason {answer.status} {reason}"] += 1
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
        last = rng.randrange(3, 25)
        stream = Stream(kind, name, f"/{kind}/{name}-{last}", last)
        taken: Caller | None = caller
        for turn in range(TAKE_UPS if kind == "resume" else 1):
            besides = None
            if taken is None:
                await asyncio.sleep(0.1)
            else:
                besides = taken.entry
                if await self._try(rng, taken, stream, turn):
                    break
                if taken is not caller:
                    taken.close()
            taken = await self._connect(rng, besides)
        if taken is not None and taken is not caller:
            taken.close()
        if is_mixed(events for _, _, events in stream.tries):
            self.found.mixed.append(_tries(stream))

    async def _try(
        self, rng: random.Random, caller: Caller, stream: Stream, turn: int
    ) -> bool:
        """Make one try of a stream; tell whether it is whole."""
        request = self._request(rng, f"{stream.name}t{turn}", stream.path, stream.after)
        if stream.kind == "resume":
            request = attrs.evolve(request, resumes=stream.first)
            if turn == 0 and rng.random() < LEAVE_SHARE:
                request = attrs.evolve(request, leaves_after=rng.choice(LEAVE_AFTER))
        counts_before = self._counts(stream, caller.entry)
        answer = await self._ask(caller, request)
        if stream.kind == "resume":
            self._count_share(stream, caller.entry, counts_before, answer)
        if answer is None:
            return False
        if answer.status != 200:
            faults = plain_faults(answer, request.request_id)
            self._blame(stream.kind, faults, request, caller)
            return False
        faults = stream_faults(answer, request.request_id, stream.name, stream.after)
        events, _ = parse_events(answer.body)
        faults = self._without_swapped(stream.kind, faults, events)
        self._blame(stream.kind, faults, request, caller)
        if events and stream.version not in (0, events[0].version):
            self._blame(stream.kind, ["version_taken_up"], request, caller)
        if events and not stream.first and stream.kind == "resume":
            self.found.counts[f"begun at version {events[0].version}"] += 1
        stream.add(request, caller.entry, events)
        return answer.looks_whole

    def _counts(self, stream: Stream, entry: int) -> bool:
        """Whether a try tells what entries in touch do with streams."""
        site = self._site
        if not stream.first:
            return site.is_in_touch(entry)
        in_touch = site.is_in_touch(entry) and site.is_in_touch(stream.begun_at)
        goes_on = stream.after < stream.last and site.has_version(stream.version)
        return in_touch and goes_on

    def _count_share(
        self, stream: Stream, entry: int, before: bool, answer: Answer | None
    ) -> None:
        served = answer is not None and answer.status == 200
        kind = "taken up" if stream.first else "begun"
        counts = before and self._counts(stream, entry)
        where = "in touch" if counts else "not in touch"
        if stream.after >= stream.last:
            where = "at its end"
        name = "served" if served else "not"
        if answer is not None and not served:
            name = f"not, {answer.status} {failure_reason(answer.body)}"
        self.found.counts[f"{kind} {where}: {name}"] += 1
        if counts:
            share = self.found.taken_up if stream.first else self.found.begun
            share.record(served)

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


def _tries(stream: Stream) -> list[dict[str, object]]:
    """A stream's tries, for who reads the logs."""
    return [
        {
            "id": request.request_id,
            "resumes": request.resumes,
            "after": request.after,
            "entry": entry,
            "events": [(e.number, e.version, e.run) for e in events],
        }
        for request, entry, events in stream.tries
    ]


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
