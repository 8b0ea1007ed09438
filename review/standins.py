"""Stand-ins that the scripts of this review share: store, replicas, proxy, clients.

The store is the project's own stand-in (``tests/keyed_log.py``). All addresses are
loopback addresses, and every process that is started here is ended here, by its id.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.keyed_log import KeyedLog  # noqa: E402

HOST = "ficu95.example"
METRICS_PORT = 9102
READY_WITHIN_S = 30.0

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


def run_case(main: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Run a case; returns the exit status, :data:`COULD_NOT_RUN` after an error."""
    try:
        return asyncio.run(main())
    except Exception:
        traceback.print_exc()
        return COULD_NOT_RUN


class Record:
    """Writes ``record.txt`` in the folder of a case, one line an event."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        line = f"{time.monotonic() - self._began_s:8.3f} {text}"
        print(line, file=self._file, flush=True)

    def close(self) -> None:
        self._file.close()


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


def free_port(ip: str = "127.0.0.1") -> int:
    while True:
        port = random.randrange(12_000, 32_000)
        if _is_free(ip, port):
            return port


def free_ip() -> str:
    """A loopback address of its own: the metrics port is the same for all entries."""
    while True:
        ip = ".".join(["127", *(str(random.randrange(1, 250)) for _ in range(3))])
        if _is_free(ip, METRICS_PORT):
            return ip


class Store:
    """The platform's store on a loopback port.

    :ivar delay_s: time by which each answer is late; it may be a slow store.
    """

    def __init__(self) -> None:
        self.log = KeyedLog()
        self.delay_s = 0.0
        self.address = ""
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        app = self.log.make_app()

        @web.middleware
        async def delay(request: web.Request, handler) -> web.StreamResponse:
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            return await handler(request)

        app.middlewares.append(delay)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        port = free_port()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    def put_config(self, config: dict[str, object]) -> None:
        self.log.put("keyed.op", "config", json.dumps(config).encode())

    def put_replica(self, replica_id: str, entry: dict[str, object]) -> None:
        self.log.put("keyed.servers", replica_id, json.dumps(entry).encode())

    def drop_replica(self, replica_id: str) -> None:
        self.log.put("keyed.servers", replica_id, b"")


class Entry:
    """One process of the system, started as ``deploy/system.toml`` says."""

    def __init__(self, number: int, store_address: str, grace_s: float = 8.0) -> None:
        self.ip = free_ip()
        self.front = (self.ip, free_port(self.ip))
        self._ready = (self.ip, free_port(self.ip))
        directory = free_port(self.ip)
        internal = free_port(self.ip)
        self._folder = tempfile.TemporaryDirectory()
        self._settings = pathlib.Path(self._folder.name) / "boot.toml"
        self._settings.write_text(
            f"""
node = "front-nasr-hall-{number}"
role = "entry"
machineClass = "front"
serves = ["front", "directory"]
ip = "{self.ip}"
zone = "nasr-hall"
region = "cairo"
internalPorts = [{internal}, {internal + 15}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
[zones]
nasr-hall = "cairo"
[listen]
front = "{self.front[0]}:{self.front[1]}"
readiness = "{self._ready[0]}:{self._ready[1]}"
directory = "{self.ip}:{directory}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
fdLimit = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
reuseAfterS = 2
stableWindowMs = 3000
drainMs = 2000
graceS = {grace_s}
lossSlackMs = 200
configMs = 2000
revertMs = 250
retryRatio = 0.2
budgetWindowS = 10
retrySlack = 52
recoveryS = 12
passMs = 120
settle_ms = 1500
ttl_max_s = 5
[platform]
address = "{store_address}"
form = "log"
writesPerS = 600
readsPerS = 2000
keep_s = 300
"""
        )
        self.log_path = pathlib.Path(self._folder.name) / "log"
        self._process: asyncio.subprocess.Process | None = None

    async def spawn(self) -> None:
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["CELERYTRACK_SETTINGS"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path.open("ab") as out:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/entry.py",
                "run",
                cwd=ROOT,
                env=env,
                stdout=out,
                stderr=out,
            )

    async def start(self) -> None:
        await self.spawn()
        until_s = time.monotonic() + READY_WITHIN_S
        while not await self.is_ready():
            if time.monotonic() > until_s:
                raise RuntimeError(f"not ready: {self.log_path.read_text()[-1_000:]}")
            await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        try:
            answer = await request(self._ready, "GET", "/ready", {}, b"", 2.0)
        except OSError:
            return False
        return answer.status == 200

    def signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            os.kill(self._process.pid, number)

    async def kill(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def wait(self) -> int | None:
        return None if self._process is None else await self._process.wait()

    @property
    def exit_status(self) -> int | None:
        return None if self._process is None else self._process.returncode

    async def close(self) -> None:
        await self.kill()
        self._folder.cleanup()


class Answer:
    """What a client read.

    :ivar status: ``None`` if the connection ended before a status line.
    :ivar complete: whether the answer ended as its head says.
    :ivar invalid: what is no answer in the protocol; empty if all is.
    """

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.invalid = ""


async def read_answer(
    reader: asyncio.StreamReader,
    answer: Answer,
    on_data: Callable[[bytes], None] = lambda data: None,
) -> None:
    """Read one HTTP/1.1 answer, by its length, in chunks or to the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    if not first.startswith("HTTP/1.1 "):
        answer.invalid = f"status line {first[:60]!r}"
        return
    answer.status = int(first.split()[1])
    for line in lines:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()

    def add(data: bytes) -> None:
        answer.body += data
        on_data(data)

    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            line = (await reader.readuntil(b"\r\n"))[:-2]
            try:
                size = int(line.split(b";")[0], 16)
            except ValueError:
                answer.invalid = f"the size of a chunk is {line[:60]!r}"
                return
            add(await reader.readexactly(size))
            if await reader.readexactly(2) != b"\r\n":
                answer.invalid = "a chunk doesn't end with CRLF"
                return
            if size == 0:
                break
    elif "content-length" in answer.headers:
        add(await reader.readexactly(int(answer.headers["content-length"])))
    else:
        while data := await reader.read(65_536):
            add(data)
    answer.complete = True


async def request(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 15.0,
    on_data: Callable[[bytes], None] = lambda data: None,
) -> Answer:
    """Send one request on a new connection.

    :raises OSError: if no connection is made.
    """
    reader, writer = await asyncio.open_connection(*address)
    answer = Answer()
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        async with asyncio.timeout(timeout_s):
            await read_answer(reader, answer, on_data)
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
        pass
    finally:
        writer.close()
    return answer


class ReplicaRequest:
    """A request as a replica got it."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes) -> None:
        self.line = line
        self.headers = headers
        self.body = body

    @property
    def attempt_id(self) -> str:
        return self.headers.get("x-attempt-id", "")


Handler = Callable[["Replica", ReplicaRequest, asyncio.StreamWriter], Awaitable[None]]


class Replica:
    """A replica that registers itself in the store and answers as its handler says."""

    def __init__(
        self, replica_id: str, service: str, handler: Handler, slots: int = 64
    ) -> None:
        self.replica_id = replica_id
        self.service = service
        self.slots = slots
        self.address = ("127.0.0.1", free_port())
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.address)

    def entry(
        self, address: tuple[str, int] | None = None, **more: object
    ) -> dict[str, object]:
        """The entry in the store; ``address`` is that of a proxy, if there is one."""
        host, port = address or self.address
        return {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": "nasr-hall",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": 1,
            **more,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                line, *rest = head.split("\r\n")[:-2]
                headers = {}
                for item in rest:
                    name, _, value = item.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                got = ReplicaRequest(line, headers, body)
                expected = headers.get("x-expect-replica")
                if expected not in (None, self.replica_id):
                    writer.write(
                        b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                        + f"X-Replica-Id: {self.replica_id}\r\n\r\n".encode()
                    )
                    continue
                await self._handler(self, got, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()


def head(status: str, attempt_id: str, length: int | None) -> bytes:
    """The head of a replica's answer; without ``length`` the body is chunked."""
    framing = (
        "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    )
    kind = "text/event-stream" if length is None else "text/plain"
    return (
        f"HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt_id}\r\n"
        f"X-Response-Seal: seal.{attempt_id}\r\nX-Weight-Versions: 1\r\n"
        f"Content-Type: {kind}\r\n{framing}\r\n\r\n"
    ).encode()


def event(number: int) -> bytes:
    data = f"id: {number}\ndata: piece {number:04d}\n\n".encode()
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Proxy:
    """Passes connections on to one address, and can reset those that are open."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.address = ("127.0.0.1", free_port())
        self._target = target
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.address)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        self._open.add(writer)
        try:
            done, pending = await asyncio.wait(
                [
                    asyncio.create_task(_copy(reader, far_writer)),
                    asyncio.create_task(_copy(far_reader, writer)),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in pending:
                task.cancel()
        finally:
            self._open.discard(writer)
            writer.close()
            far_writer.close()

    def reset_all(self) -> int:
        """Reset the open connections (RST); returns how many."""
        count = 0
        for writer in list(self._open):
            sock = writer.transport.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
            )
            writer.transport.abort()
            count += 1
        return count

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset_all()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    except (ConnectionError, OSError):
        pass
