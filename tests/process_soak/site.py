"""The processes of a soak, and the faults that are played on them."""

import asyncio
import contextlib
import math
import pathlib
import random
import shutil
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

import attrs

from celerytrack.platform.topics import CONFIG_KEY, CONFIG_TOPIC, ENDPOINTS_TOPIC
from tests.gateway_fleet import config
from tests.gateway_processes import PEER_PORT, loopback_ip
from tests.keyed_log import KeyedLog
from tests.process_soak.links import Cut, Links
from tests.process_soak.odd_records import choose_odd_records
from tests.process_soak.plan import CUTS, RELEASE, Fault
from tests.process_soak.processes import (
    EndpointOptions,
    EndpointProcess,
    EntryProcess,
)

SETTLED_S = 2.0
"""Time after which an entry that was out of step or has started is in touch."""
ODD_AT_ONCE = 4


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


class Site:
    """The processes of a soak.

    :ivar ended: entries that ended by themselves.
    """

    def __init__(self, options: Options) -> None:
        self.options = options
        self.log = KeyedLog()
        self.links = Links(self.log, _peers(options.entries))
        self.ended: list[str] = []
        self.entries: list[EntryProcess] = []
        self.endpoints: list[EndpointProcess] = []
        self._busy: set[tuple[str, int]] = set()
        self._back_s: dict[int, float] = {}
        self._stack = contextlib.AsyncExitStack()
        self._started_endpoints = 0
        self._joining: list[EndpointProcess] = []
        self._common = EndpointOptions(
            options.seed, options.folder, options.stutters, unframed=options.unframed
        )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Start all processes, and end them by their ids."""
        options = self.options
        self.log.put(
            CONFIG_TOPIC,
            CONFIG_KEY,
            config(prepaid=10**9, timeoutMs=4_000, maxAttempts=3),
        )
        async with self._stack as stack:
            await self.links.start(stack)
            for _ in range(options.endpoints):
                self.endpoints.append(await self._add_endpoint(version=1))
            for i, address in enumerate(self.links.store_addresses, 1):
                entry = EntryProcess(i, address, options.tree)
                stack.callback(self._keep_log, entry)
                self.entries.append(entry)
            for entry in self.entries:
                stack.push_async_callback(entry.kill)
            await asyncio.gather(*(entry.start() for entry in self.entries))
            yield
            self.ended += [entry.ip for entry in self.entries if not entry.is_running]

    async def _add_endpoint(self, version: int) -> EndpointProcess:
        """Start an endpoint with an id and an address of its own."""
        number = self._started_endpoints
        self._started_endpoints += 1
        endpoint = EndpointProcess(number, self._common, proxied=number % 2 == 1)
        endpoint.version = version
        self._stack.push_async_callback(_end_endpoint, endpoint)
        if endpoint.proxy is not None:
            await endpoint.proxy.start()
        await self._start_endpoint(endpoint)
        return endpoint

    def is_in_touch(self, number: int) -> bool:
        """Whether an entry runs, is linked to all others, and has been for a while."""
        if ("entry", number) in self._busy or not self.links.is_in_touch(number):
            return False
        return time.monotonic() - self._back_s.get(number, -math.inf) > SETTLED_S

    def has_version(self, version: int) -> bool:
        """Whether an endpoint of a version serves."""
        known = [*self.endpoints, *self._joining]
        return any(e.serves and e.version == version for e in known)

    def _keep_log(self, entry: EntryProcess) -> None:
        if entry.log_path.exists():
            shutil.copy(entry.log_path, self.options.folder / f"entry-{entry.ip}.log")
        entry.clean()

    async def _start_endpoint(self, endpoint: EndpointProcess) -> None:
        await endpoint.start()
        self.log.put(ENDPOINTS_TOPIC, endpoint.name, endpoint.registration())

    async def play(self, fault: Fault) -> None:
        """Play one fault, unless a target is still under another one."""
        kind = fault.kind
        if kind in ("reset", "cut_to_endpoint", "cut_to_entry"):
            await self._play_link(fault)
        elif kind in CUTS:
            await self._cut_off(fault)
        elif kind == "odd_records":
            await self._write_odd_records(fault)
        elif kind.startswith("entry"):
            await self._with_targets("entry", fault, self._play_entry)
        elif kind == RELEASE:
            await self._with_targets("endpoint", fault, self._release)
        else:
            await self._with_targets("endpoint", fault, self._play_endpoint)

    async def _with_targets(
        self, what: str, fault: Fault, play: Callable[[Fault], Awaitable[None]]
    ) -> None:
        among = len(self.entries if what == "entry" else self.endpoints)
        targets = {(what, number) for number in fault.targets(among)}
        if targets & self._busy:
            return
        self._busy |= targets
        try:
            await play(fault)
        finally:
            self._busy -= targets
            if what == "entry":
                self._set_back(fault.targets(among))

    def _set_back(self, numbers: Iterable[int]) -> None:
        now_s = time.monotonic()
        self._back_s.update(dict.fromkeys(numbers, now_s))

    async def _cut_off(self, fault: Fault) -> None:
        """Cut entries off from the log, from the others, or from both."""
        numbers = fault.targets(len(self.entries))
        cut = Cut(
            frozenset(numbers),
            log=fault.kind != "entry_cut_peers",
            peers=fault.kind != "entry_cut_log",
        )
        self.links.begin(cut)
        try:
            await asyncio.sleep(fault.for_s)
        finally:
            self.links.end(cut)
            self._set_back(numbers)

    async def _release(self, fault: Fault) -> None:
        """Let endpoints of a new version join, and as many old ones leave."""
        numbers = fault.targets(len(self.endpoints))
        known = [*self.endpoints, *self._joining]
        version = 1 + max(endpoint.version for endpoint in known)
        new = [await self._add_endpoint(version) for _ in numbers]
        self._joining += new
        await asyncio.sleep(fault.for_s)
        old = [self.endpoints[number] for number in numbers]
        for number, endpoint in zip(numbers, new, strict=True):
            self.endpoints[number] = endpoint
            self._joining.remove(endpoint)
        await asyncio.gather(*(self._leave(endpoint) for endpoint in old))

    async def _leave(self, endpoint: EndpointProcess) -> None:
        await self._drain(endpoint)
        await endpoint.wait(4.0)
        self.log.put(ENDPOINTS_TOPIC, endpoint.name, b"")

    async def _drain(self, endpoint: EndpointProcess) -> None:
        endpoint.serves = False
        leaving = endpoint.registration("draining")
        self.log.put(ENDPOINTS_TOPIC, endpoint.name, leaving)
        await asyncio.sleep(0.3)
        endpoint.signal(signal.SIGTERM)

    async def _write_odd_records(self, fault: Fault) -> None:
        """Write odd registrations, and delete them after a while."""
        rng = random.Random(f"odd {self.options.seed} {fault}")
        records = choose_odd_records(rng, ODD_AT_ONCE)
        names = [f"odd-{fault.at_s:.3f}-{number}" for number in range(len(records))]
        for name, record in zip(names, records, strict=True):
            self.log.put(ENDPOINTS_TOPIC, name, record)
        await asyncio.sleep(fault.for_s)
        for name in names:
            self.log.put(ENDPOINTS_TOPIC, name, b"")

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
        if not entry.is_running:
            self.ended.append(entry.ip)
        entry.signal(signal.SIGKILL if fault.kind == "entry_kill" else signal.SIGTERM)
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
            await self._drain(endpoint)
        else:
            endpoint.signal(signal.SIGKILL)
        if fault.kind == "endpoint_upgrade":
            endpoint.version += 1
        await endpoint.wait(4.0)
        await asyncio.sleep(fault.for_s / 2)
        self.log.put(ENDPOINTS_TOPIC, endpoint.name, b"")
        await asyncio.sleep(fault.for_s / 2)
        await self._start_endpoint(endpoint)


def _peers(entries: int) -> list[tuple[str, tuple[str, int]]]:
    """The name and the peer address of each entry."""
    numbers = range(1, entries + 1)
    return [(f"e{number}", (loopback_ip(number), PEER_PORT)) for number in numbers]


async def _end_endpoint(endpoint: EndpointProcess) -> None:
    endpoint.signal(signal.SIGKILL)
    await endpoint.wait(2.0)
    if endpoint.proxy is not None:
        await endpoint.proxy.close()
