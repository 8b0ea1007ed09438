"""Gateways in separate processes, started and stopped as on the platform."""

import asyncio
import json
import os
import pathlib
import resource
import signal
import sys
import tempfile
import time
from collections.abc import Callable

import aiohttp

from celerytrack.platform.settings import METRICS_PORT, SETTINGS_VARIABLE

ROOT = pathlib.Path(__file__).resolve().parent.parent
READY_WITHIN_S = 15.0
PEER_PORT = 7340
"""Port at which each gateway listens for the others."""


def loopback_ip(i: int) -> str:
    """Return the address of gateway ``i``, which no concurrent test run uses."""
    high, low = divmod(os.getpid(), 250)
    return f"127.{1 + high % 250}.{1 + low}.{i}"


def settings_text(
    i: int, store_address: str, grace_s: float = 8.0, link_mbps: float = 0.0
) -> str:
    """Return the settings file of gateway ``i``.

    Each gateway has its own IP address, since all use the same port for metrics.
    """
    ip = loopback_ip(i)
    return f"""
node = "e{i}"
ip = "{ip}"
zone = "z"
internalPorts = [{PEER_PORT}, 7355]
[listen]
front = "{ip}:8227"
readiness = "{ip}:8220"
directory = "{ip}:8224"
[bounds]
graceS = {grace_s}
[limits]
linkMbps = {link_mbps}
[platform]
address = "{store_address}"
"""


class GatewayProcess:
    """One gateway process, killed by its process id when the context ends.

    :param i: number of the gateway, from 1.
    :param more_settings: further tables of its settings file.
    :param descriptors: how many it may open; ``None`` for as many as this process.
    """

    def __init__(
        self,
        i: int,
        store_address: str,
        grace_s: float = 8.0,
        more_settings: str = "",
        descriptors: int | None = None,
    ) -> None:
        self.ip = loopback_ip(i)
        self.front_address = f"{self.ip}:8227"
        self._folder = tempfile.TemporaryDirectory()
        self._settings = pathlib.Path(self._folder.name) / "boot.toml"
        text = settings_text(i, store_address, grace_s)
        self._settings.write_text(text + more_settings)
        self._descriptors = descriptors
        self.log_path = pathlib.Path(self._folder.name) / "log"
        self._process: asyncio.subprocess.Process | None = None

    async def __aenter__(self) -> "GatewayProcess":
        await self.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.kill()
        self._folder.cleanup()

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        await self.spawn()
        try:
            await self._wait_ready(time.monotonic() + READY_WITHIN_S)
        except BaseException:
            await self.kill()
            raise

    async def _wait_ready(self, until_s: float) -> None:
        while not await self._is_ready():
            if time.monotonic() > until_s:
                raise AssertionError(self.log_path.read_text()[-2_000:])
            await asyncio.sleep(0.05)

    async def spawn(self) -> None:
        """Start the process without waiting until it is ready."""
        with self.log_path.open("ab") as out:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "deploy/entry.py",
                "run",
                cwd=ROOT,
                env={SETTINGS_VARIABLE: str(self._settings)},
                stdout=out,
                stderr=out,
            )
        if self._descriptors is not None:
            limit = (self._descriptors, self._descriptors)
            resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, limit)

    @property
    def pid(self) -> int:
        """The id of the process."""
        assert self._process is not None
        return self._process.pid

    async def _is_ready(self) -> bool:
        try:
            async with aiohttp.ClientSession() as http:
                async with http.get(f"http://{self.ip}:8220/ready") as answer:
                    return answer.status == 200
        except aiohttp.ClientError:
            return False

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        # asyncio's send_signal polls the process and so takes the exit status that the
        # event loop waits for.
        if self._process.returncode is None:
            os.kill(self._process.pid, number)

    async def wait_for_exit(self, within_s: float) -> int | None:
        """Return the exit status, or ``None`` if there is none after ``within_s``."""
        assert self._process is not None
        try:
            return await asyncio.wait_for(self._process.wait(), within_s)
        except TimeoutError:
            return None

    async def kill(self) -> None:
        """Kill the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def log_records(self, event: str) -> list[dict[str, object]]:
        """Return the log records of one event."""
        lines = self.log_path.read_text().splitlines()
        found = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in found if line.get("message") == event]

    async def metrics(self) -> str:
        """Return the metrics as text."""
        async with aiohttp.ClientSession() as http:
            url = f"http://{self.ip}:{METRICS_PORT}/metrics"
            async with http.get(url) as answer:
                return await answer.text()

    async def wait_until(self, condition: Callable[[], bool], within_s: float) -> None:
        """Wait until ``condition`` holds; fail with the end of the log after
        ``within_s``."""
        timeout_at_s = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > timeout_at_s:
                raise AssertionError(self.log_path.read_text()[-2_000:])
            await asyncio.sleep(0.02)
