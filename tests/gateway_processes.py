"""Gateways as processes of their own, as the platform starts and stops them."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import Callable

import aiohttp

from celerytrack.platform.settings import METRICS_PORT, SETTINGS_VARIABLE

ROOT = pathlib.Path(__file__).resolve().parent.parent
READY_WITHIN_S = 15.0


def loopback_ip(i: int) -> str:
    """The address of the gateway ``i`` of this test run, which others do not use."""
    high, low = divmod(os.getpid(), 250)
    return f"127.{1 + high % 250}.{1 + low}.{i}"


def settings_text(
    i: int, store_address: str, grace_s: float = 8.0, link_mbps: float = 0.0
) -> str:
    """The settings file of the gateway ``i``.

    Each has an address of its own, since the port of the metrics is the same for all.
    """
    ip = loopback_ip(i)
    return f"""
node = "e{i}"
ip = "{ip}"
zone = "z"
internalPorts = [7340, 7355]
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
    """One gateway; ended by its process id, whatever becomes of the test.

    :param i: which one, from 1.
    """

    def __init__(self, i: int, store_address: str, grace_s: float = 8.0) -> None:
        self.ip = loopback_ip(i)
        self.front_address = f"{self.ip}:8227"
        self._folder = tempfile.TemporaryDirectory()
        self._settings = pathlib.Path(self._folder.name) / "boot.toml"
        self._settings.write_text(settings_text(i, store_address, grace_s))
        self.log_path = pathlib.Path(self._folder.name) / "log"
        self._process: asyncio.subprocess.Process | None = None

    async def __aenter__(self) -> "GatewayProcess":
        await self.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.kill()
        self._folder.cleanup()

    async def start(self) -> None:
        """Start it and wait until it is ready."""
        await self.spawn()
        ends_s = time.monotonic() + READY_WITHIN_S
        while not await self._ready():
            if time.monotonic() > ends_s:
                raise AssertionError(self.log_path.read_text()[-2_000:])
            await asyncio.sleep(0.05)

    async def spawn(self) -> None:
        """Start it."""
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

    async def _ready(self) -> bool:
        try:
            async with aiohttp.ClientSession() as http:
                async with http.get(f"http://{self.ip}:8220/ready") as answer:
                    return answer.status == 200
        except aiohttp.ClientError:
            return False

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        assert self._process is not None
        # The library's own way takes an exit status that the event loop waits for.
        if self._process.returncode is None:
            os.kill(self._process.pid, number)

    async def wait_for_exit(self, within_s: float) -> int | None:
        """Its exit status, or ``None`` if it still runs after ``within_s``."""
        assert self._process is not None
        try:
            return await asyncio.wait_for(self._process.wait(), within_s)
        except TimeoutError:
            return None

    async def kill(self) -> None:
        """End it at once if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def log_records(self, event: str) -> list[dict[str, object]]:
        """What it logged of one event."""
        lines = self.log_path.read_text().splitlines()
        found = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in found if line.get("message") == event]

    async def metrics(self) -> str:
        """Its metrics as text."""
        async with aiohttp.ClientSession() as http:
            url = f"http://{self.ip}:{METRICS_PORT}/metrics"
            async with http.get(url) as answer:
                return await answer.text()

    async def until(self, holds: Callable[[], bool], within_s: float) -> None:
        """Wait for a condition on its log."""
        ends_s = time.monotonic() + within_s
        while not holds():
            if time.monotonic() > ends_s:
                raise AssertionError(self.log_path.read_text()[-2_000:])
            await asyncio.sleep(0.02)
