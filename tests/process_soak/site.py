"""The processes of a soak, and the faults that are played on them."""

import asyncio
import contextlib
import pathlib
import shutil
import signal
from collections.abc import AsyncIterator

import attrs
from aiohttp import web

from celerytrack.platform.topics import CONFIG_KEY, CONFIG_TOPIC, ENDPOINTS_TOPIC
from tests.gateway_fleet import config, free_port
from tests.keyed_log import KeyedLog
from tests.process_soak.plan import Fault
from tests.process_soak.processes import (
    EndpointOptions,
    EndpointProcess,
    EntryProcess,
)


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
