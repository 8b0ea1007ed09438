"""The processes of a soak, each ended by its process id."""

import asyncio
import json
import os
import pathlib
import signal
import sys

import attrs

from celerytrack.platform.settings import SETTINGS_VARIABLE
from tests.gateway_fleet import free_port
from tests.gateway_processes import ROOT, GatewayProcess
from tests.process_soak.proxy import Proxy

PROGRAM = pathlib.Path(__file__).with_name("endpoint.py")


class EntryProcess(GatewayProcess):
    """An entry of the checkout ``tree``."""

    def __init__(self, i: int, store_address: str, tree: pathlib.Path) -> None:
        super().__init__(i, store_address, grace_s=3.0)
        self._tree = tree

    def clean(self) -> None:
        """Delete the folder of its settings and log."""
        self._folder.cleanup()

    async def spawn(self) -> None:
        """Start the process without waiting until it is ready."""
        with self.log_path.open("ab") as out:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "deploy/entry.py",
                "run",
                cwd=self._tree,
                env={SETTINGS_VARIABLE: str(self._settings)},
                stdout=out,
                stderr=out,
            )


@attrs.frozen
class EndpointOptions:
    """What all endpoints of a soak have in common.

    :ivar share: share of the answers that stutter, for each of their kinds.
    :ivar unframed: whether answers may end with their connection.
    """

    seed: int
    folder: pathlib.Path
    stutters: tuple[str, ...]
    share: float = 0.3
    unframed: bool = True


class EndpointProcess:
    """An endpoint that starts again under another id.

    :ivar version: of the software that it starts with.
    :ivar serves: whether it runs and doesn't leave.
    :param proxied: whether a proxy stands before it. Its answers are framed then: a
        proxy takes connections also where the process is gone.
    """

    def __init__(self, i: int, options: EndpointOptions, proxied: bool) -> None:
        self._i = i
        self._options = options
        self._lifetime = 0
        self.version = 1
        self.serves = False
        self._port = free_port()
        self.proxy = Proxy(free_port(), self._port) if proxied else None
        self._process: asyncio.subprocess.Process | None = None

    @property
    def name(self) -> str:
        """The id of its present lifetime."""
        return f"i-{self._i}-{self._lifetime}"

    def registration(self, state: str = "ready") -> bytes:
        """Its record on the log."""
        port = self.proxy.port if self.proxy is not None else self._port
        data = {
            "service": "s",
            "address": f"127.0.0.1:{port}",
            "zone": "z",
            "slots": 8,
            "state": state,
            "version": f"v{self.version}",
        }
        return json.dumps(data).encode()

    async def start(self) -> None:
        """Start a new lifetime, and wait until it listens."""
        self._lifetime += 1
        options = self._options
        text = json.dumps(
            {
                "name": self.name,
                "version": self.version,
                "port": self._port,
                "seed": f"{options.seed} {self.name}",
                "framed": self.proxy is not None or not options.unframed,
                "stutters": options.stutters,
                "share": options.share,
                "records": str(options.folder / f"records-{self._i}"),
            }
        )
        with (options.folder / f"endpoint-{self._i}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-S",
                str(PROGRAM),
                text,
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )
        assert self._process.stdout is not None
        line = await asyncio.wait_for(self._process.stdout.readline(), 10.0)
        if line != b"up\n":
            raise AssertionError(f"{self.name} did not start")
        self.serves = True

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        self.serves = number is signal.SIGCONT
        if self._process is not None and self._process.returncode is None:
            os.kill(self._process.pid, number)

    async def wait(self, within_s: float) -> None:
        """Wait until the process has ended; kill it after ``within_s``."""
        if self._process is None:
            return
        try:
            await asyncio.wait_for(self._process.wait(), within_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self._process.wait()
