"""One soak: a site of processes, its callers, and the faults of a plan."""

import asyncio
import collections
import contextlib
import json
import pathlib
import random
import shutil
import signal
import time
from collections.abc import AsyncIterator
from typing import Any

import attrs
from aiohttp import web

from celerytrack.platform.topics import CONFIG_KEY, CONFIG_TOPIC, ENDPOINTS_TOPIC
from tests.gateway_fleet import config, free_port
from tests.keyed_log import KeyedLog
from tests.process_soak.callers import BrokenError, Caller, Request
from tests.process_soak.judging import (
    GAP_BEFORE_CUT,
    PROMISES,
    Answer,
    Event,
    parse_events,
    plain_faults,
    record_faults,
    stream_faults,
)
from tests.process_soak.plan import Fault, make_plan
from tests.process_soak.processes import (
    EndpointOptions,
    EndpointProcess,
    EntryProcess,
)

TAKE_UPS = 4


@attrs.frozen
class Options:
    """What is played.

    :ivar tree: the checkout whose entries run.
    :ivar folder: for records and logs.
    :ivar unframed: whether answers of endpoints may end with their connection.
    """

    seed: int
    seconds: float
    entries: int
    endpoints: int
    faults: tuple[str, ...]
    stutters: tuple[str, ...]
    tree: pathlib.Path
    folder: pathlib.Path
    callers: int = 16
    unframed: bool = True


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


class Site:
    """The processes of a soak."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.log = KeyedLog()
        self.entries: list[EntryProcess] = []
        self.endpoints: list[EndpointProcess] = []
        self._busy: set[tuple[str, int]] = set()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Start all processes, and end them by their ids."""
        options = self.options
        self.log.put(
            CONFIG_TOPIC,
            CONFIG_KEY,
            config(prepaid=10**9, timeoutMs=4_000, maxAttempts=3),
        )
        async with contextlib.AsyncExitStack() as stack:
            runner = web.AppRunner(self.log.make_app(), shutdown_timeout=0.1)
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            port = free_port()
            await web.TCPSite(runner, "127.0.0.1", port).start()
            common = EndpointOptions(
                options.seed,
                options.folder,
                options.stutters,
                unframed=options.unframed,
            )
            for i in range(options.endpoints):
                endpoint = EndpointProcess(i, common, proxied=i % 2 == 1)
                self.endpoints.append(endpoint)
                stack.push_async_callback(_end_endpoint, endpoint)
                if endpoint.proxy is not None:
                    await endpoint.proxy.start()
                await self._start_endpoint(endpoint)
            for i in range(1, options.entries + 1):
                entry = EntryProcess(i, f"127.0.0.1:{port}", options.tree)
                stack.callback(self._keep_log, entry)
                self.entries.append(entry)
            for entry in self.entries:
                stack.push_async_callback(entry.kill)
            await asyncio.gather(*(entry.start() for entry in self.entries))
            yield

    def _keep_log(self, entry: EntryProcess) -> None:
        if entry.log_path.exists():
            shutil.copy(entry.log_path, self.options.folder / f"entry-{entry.ip}.log")
        entry.clean()

    async def _start_endpoint(self, endpoint: EndpointProcess) -> None:
        await endpoint.start()
        self.log.put(ENDPOINTS_TOPIC, endpoint.name, endpoint.registration())

    async def play(self, fault: Fault) -> None:
        """Play one fault, unless its target is still under another one."""
        kind = fault.kind
        target = ("entry" if kind.startswith("entry") else "endpoint", fault.target)
        if kind in ("reset", "cut_to_endpoint", "cut_to_entry"):
            await self._play_link(fault)
        elif target not in self._busy:
            self._busy.add(target)
            try:
                if target[0] == "entry":
                    await self._play_entry(fault)
                else:
                    await self._play_endpoint(fault)
            finally:
                self._busy.discard(target)

    async def _play_link(self, fault: Fault) -> None:
        proxies = [e.proxy for e in self.endpoints if e.proxy is not None]
        if not proxies:
            return
        proxy = proxies[fault.target % len(proxies)]
        if fault.kind == "reset":
            proxy.reset()
            return
        name = "cut_forth" if fault.kind == "cut_to_endpoint" else "cut_back"
        setattr(proxy, name, True)
        await asyncio.sleep(fault.for_s)
        setattr(proxy, name, False)

    async def _play_entry(self, fault: Fault) -> None:
        entry = self.entries[fault.target]
        if fault.kind == "entry_pause":
            entry.signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(fault.for_s)
            finally:
                entry.signal(signal.SIGCONT)
            return
        if fault.kind == "entry_kill":
            entry.signal(signal.SIGKILL)
        else:
            entry.signal(signal.SIGTERM)
        if await entry.wait_for_exit(6.0) is None:
            await entry.kill()
        await asyncio.sleep(fault.for_s)
        await entry.spawn()

    async def _restart_over_pause(self, endpoint: EndpointProcess) -> None:
        """Start an endpoint again before any entry can see that it ended."""
        for entry in self.entries:
            entry.signal(signal.SIGSTOP)
        try:
            endpoint.signal(signal.SIGKILL)
            await endpoint.wait(4.0)
            older = endpoint.name
            await endpoint.start()
        finally:
            for entry in self.entries:
                entry.signal(signal.SIGCONT)
        self.log.put(ENDPOINTS_TOPIC, older, b"")
        self.log.put(ENDPOINTS_TOPIC, endpoint.name, endpoint.registration())

    async def _play_endpoint(self, fault: Fault) -> None:
        endpoint = self.endpoints[fault.target]
        if fault.kind == "restart_over_pause":
            await self._restart_over_pause(endpoint)
            return
        if fault.kind == "endpoint_pause":
            endpoint.signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(fault.for_s)
            finally:
                endpoint.signal(signal.SIGCONT)
            return
        if fault.kind == "endpoint_term":
            leaving = endpoint.registration("draining")
            self.log.put(ENDPOINTS_TOPIC, endpoint.name, leaving)
            await asyncio.sleep(0.3)
            endpoint.signal(signal.SIGTERM)
        else:
            endpoint.signal(signal.SIGKILL)
        if fault.kind == "endpoint_upgrade":
            endpoint.version += 1
        await endpoint.wait(4.0)
        await asyncio.sleep(fault.for_s / 2)
        self.log.put(ENDPOINTS_TOPIC, endpoint.name, b"")
        await asyncio.sleep(fault.for_s / 2)
        await self._start_endpoint(endpoint)


async def _end_endpoint(endpoint: EndpointProcess) -> None:
    endpoint.signal(signal.SIGKILL)
    await endpoint.wait(2.0)
    if endpoint.proxy is not None:
        await endpoint.proxy.close()


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


def _runs(records: list[dict[str, Any]]) -> collections.Counter[str]:
    """How often each request ran."""
    return collections.Counter(r["id"] for r in records if r["did"] == "run")


async def soak(options: Options) -> Found:
    """Play one seed."""
    plan = make_plan(
        options.seed,
        options.seconds,
        options.entries,
        options.endpoints,
        options.faults,
    )
    text = "\n".join(str(fault) for fault in plan)
    (options.folder / "plan.txt").write_text(f"{text}\n")
    site = Site(options)
    async with site.running():
        begin_s = time.monotonic()
        calls = Calls(site, begin_s + options.seconds)
        async with asyncio.TaskGroup() as group:
            for number in range(options.callers):
                group.create_task(calls.run(number))
            for fault in plan:
                group.create_task(_play_at(site, fault, begin_s))
    found = calls.found
    once = [name for name, path in found.asked.items() if not _repeats(path)]
    runs = _runs(read_records(options.folder))
    for name, fault_name in record_faults(runs, found.refused, once):
        found.wrong[f"{found.asked[name].split('/')[1]} {fault_name}"] += 1
        found.evidence.append({"faults": [fault_name], "request": name})
    if found.evidence:
        (options.folder / "evidence.json").write_text(
            json.dumps(found.evidence, indent=1)
        )
    return found


def _repeats(path: str) -> bool:
    return path.startswith(("/plain/", "/resume/"))


async def _play_at(site: Site, fault: Fault, begin_s: float) -> None:
    await asyncio.sleep(max(0.0, begin_s + fault.at_s - time.monotonic()))
    await site.play(fault)
