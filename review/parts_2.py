"""Parts of the scripts of cases 6 to 10: store, replicas, entries and callers.

They follow PROTOCOL.md and DEPLOY.md of the users; all is on loopback addresses.
"""

import asyncio
import base64
import copy
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from urllib.parse import unquote_plus

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
HOST = "h.example"
KEY = "key-of-tenant"
TENANT = "tenant"
HEARTBEAT_S = 1.2


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, written to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self._began_s = time.monotonic()

    def line(self, text):
        self._file.write(f"{time.monotonic() - self._began_s:8.3f}  {text}\n")
        self._file.flush()


def free_network():
    """A loopback network of three bytes for the addresses of one run."""
    rng = random.Random(os.getpid() ^ time.time_ns())
    return f"127.{rng.randint(20, 250)}.{rng.randint(1, 250)}"


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


# -- HTTP on raw connections --------------------------------------------------


async def read_head(reader):
    """The first line and the headers (names in lower case) of a message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, sep, value = line.partition(":")
        if sep:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """A body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


# -- the platform's store -----------------------------------------------------


class Topic:
    def __init__(self):
        self.records = []
        self.producers = {}


class Store:
    """The platform's store: keyed topics of one partition.

    :ivar era: value of ``Store-Era``; rises by one with each restore.
    """

    def __init__(self, record):
        self.topics = {}
        self.era = 1
        self.is_away = False
        self._platform = {}
        self._record = record
        self._changed = asyncio.Event()
        self._open = set()

    async def start(self, ip):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def close(self):
        self._server.close()
        for writer in self._open:
            writer.transport.abort()

    def put(self, topic, key, value):
        """Write a record as the operator and the replicas do."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._platform[topic, key] = raw
        self._append(topic, [(key, raw)])

    def newest(self, topic):
        found = {}
        for offset, (key, value) in enumerate(self._topic(topic).records):
            found[key] = (offset, value)
        return {key: item for key, item in found.items() if item[1]}

    def copy(self):
        return copy.deepcopy(self.topics)

    async def restore(self, older, away_s, again_s):
        """Be away for a moment, and come back from ``older``; then the operator and the
        replicas write again what they had written."""
        self.is_away = True
        await asyncio.sleep(away_s)
        self.topics = copy.deepcopy(older)
        self.era += 1
        self.is_away = False
        self._wake()
        await asyncio.sleep(again_s)
        for (topic, key), value in list(self._platform.items()):
            if self.newest(topic).get(key, (0, b""))[1] != value:
                self._append(topic, [(key, value)])

    def _topic(self, name):
        return self.topics.setdefault(name, Topic())

    def _append(self, name, pairs):
        self._topic(name).records.extend(pairs)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                params = {}
                for item in query.split("&"):
                    name, _, value = item.partition("=")
                    params[name] = unquote_plus(value)
                status, answer = await self.answer(method, path, params, body)
                if status is None:
                    break
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Length: {len(answer)}\r\n"
                    f"Store-Era: {self.era}\r\n\r\n"
                )
                writer.write(head.encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            return
        finally:
            self._open.discard(writer)
            writer.close()

    async def answer(self, method, path, params, body):
        """The status and body of an answer."""
        if self.is_away:
            return 503, b""
        topic = params.get("topic", "")
        if path == "/log-append":
            return self._answer_append(topic, params, body)
        if path == "/log-read":
            return await self._answer_read(topic, params)
        if path == "/log-newest":
            return self._answer_newest(topic, params)
        return 404, b""

    def _answer_append(self, name, params, body):
        topic = self._topic(name)
        producer = params.get("producer")
        if producer is not None:
            epoch, sequence = int(params["epoch"]), int(params["sequence"])
            known = topic.producers.setdefault(producer, [-1, -1, []])
            if epoch < known[0]:
                return 409, json.dumps({"reason": "fenced"}).encode()
            if epoch > known[0]:
                known[:] = [epoch, None, []]
            for number, offset in known[2][-5:]:
                if body and number == sequence:
                    answer = {"offset": offset, "end": len(topic.records)}
                    return 200, json.dumps(answer).encode()
            if body and known[1] is not None and sequence != known[1] + 1:
                answer = {"reason": "seq", "sequence": known[1] + 1}
                return 409, json.dumps(answer).encode()
        offset = len(topic.records)
        if body:
            self._append(name, _pairs(body))
            if producer is not None:
                known[1] = sequence
                known[2].append((sequence, offset))
        answer = {"offset": offset, "end": len(topic.records)}
        return 200, json.dumps(answer).encode()

    async def _answer_read(self, name, params):
        start, wait_s = int(params["from"]), int(params.get("waitMs", 0)) / 1000
        until_s = time.monotonic() + wait_s
        while len(self._topic(name).records) == start and not self.is_away:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                break
        if self.is_away:
            return 503, b""
        records = self._topic(name).records
        if start > len(records):
            return 410, json.dumps({"first": 0}).encode()
        most = int(params.get("maxKb", 1024)) * 1024
        answer = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            if len(answer) > 16 and len(answer) + len(content) > most:
                break
            answer += struct.pack(">I", len(content)) + content
        return 200, answer

    def _answer_newest(self, name, params):
        found = sorted(self.newest(name).items())
        found = [item for item in found if item[0] > params.get("after", "")]
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in found[:500]
        ]
        page = {
            "entries": entries,
            "hasMore": len(found) > 500,
            "end": len(self._topic(name).records),
        }
        return 200, json.dumps(page).encode()


def _pairs(body):
    found, at = [], 0
    while at < len(body):
        (size,) = struct.unpack_from(">I", body, at)
        content = body[at + 4 : at + 4 + size]
        at += 4 + size
        end = 1 + content[0]
        found.append((content[1:end].decode(), content[end:]))
    return found


# -- replicas -----------------------------------------------------------------


class Replica:
    """A replica that registers itself and serves as its subclass says.

    :ivar runs: id of each request that it has begun to work on, in their order.
    """

    def __init__(self, record, store, service, replica_id, **fields):
        self.record = record
        self.store = store
        self.service = service
        self.replica_id = replica_id
        self.runs = []
        self.fields = {"state": "ready", "version": "v1", "slots": 64, **fields}
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._open = set()

    async def start(self, ip, port=0):
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"
        self._beats = asyncio.create_task(self._beat())

    def register(self):
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z",
            "coldLeftMs": 0,
            "sequence": self._sequence,
            "born": self.born,
            **self.fields,
        }
        self.store.put("keyed.servers", self.replica_id, entry)

    async def _beat(self):
        while True:
            if not self.store.is_away:
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def close(self):
        self._beats.cancel()
        self._server.close()
        for writer in self._open:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.handle(first, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            self._open.discard(writer)
            writer.close()

    async def handle(self, first, headers, body, writer):
        path = first.split(" ")[1]
        expected = headers.get("x-expect-replica", self.replica_id)
        if expected != self.replica_id:
            writer.write(
                b"HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        elif path == "/health":
            writer.write(
                f"HTTP/1.1 200 OK\r\nX-Replica-Id: {self.replica_id}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
        else:
            request_id = headers.get("x-attempt-id", "")
            self.runs.append(request_id)
            self.record.line(f"{self.replica_id} runs {request_id}")
            await self.run(request_id, first, headers, body, writer)

    async def run(self, request_id, first, headers, body, writer):
        answer = f"answer of {self.replica_id} to {request_id}".encode()
        writer.write(answer_head(request_id, len(answer)) + answer)


class Engine(Replica):
    """A model replica: streams events of ``stride`` tokens, every ``pause_s``."""

    stride = 20
    pause_s = 0.01

    async def run(self, request_id, first, headers, body, writer):
        tokens = int(headers["x-token-count"].split(",")[1])
        after = int(headers.get("last-event-id") or 0)
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Response-Seal: seal.{request_id}\r\nX-Weight-Versions: 1\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(after + self.stride, tokens + 1, self.stride):
            await asyncio.sleep(self.pause_s)
            event = f"id: {number}\ndata: piece {number} of {request_id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def answer_head(request_id, length, status="200 OK"):
    return (
        f"HTTP/1.1 {status}\r\nX-Attempt-Id: {request_id}\r\n"
        f"X-Response-Seal: seal.{request_id}\r\nContent-Length: {length}\r\n\r\n"
    ).encode()


class Link:
    """A link to a replica that can be cut: bytes are held up while it is.

    New connections are made through it too.
    """

    def __init__(self, target):
        self._target = target
        self._whole = asyncio.Event()
        self._whole.set()
        self._open = set()

    async def start(self, ip):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def cut(self):
        self._whole.clear()

    def heal(self):
        self._whole.set()

    def close(self):
        self._server.close()
        for writer in self._open:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            await self._whole.wait()
            there = await asyncio.open_connection(*self._target)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        self._open.add(there[1])
        await asyncio.gather(
            self._pass_on(reader, there[1]), self._pass_on(there[0], writer)
        )

    async def _pass_on(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self._whole.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()


# -- entries ------------------------------------------------------------------


class Entry:
    """One process of the system, started by the command of the deploy file."""

    def __init__(self, record, number, ip, store_address, more=""):
        self.name = f"front-{number}"
        self.ip = ip
        self._ports = [free_port(ip) for _ in range(4)]
        self.front = (ip, self._ports[0])
        self._record = record
        self._folder = tempfile.TemporaryDirectory()
        self._settings = pathlib.Path(self._folder.name) / "boot.toml"
        self._log = pathlib.Path(self._folder.name) / "log"
        self._process = None
        text = settings_text(self.name, ip, self._ports, store_address)
        self._settings.write_text(text + more)

    async def start(self, within_s=20.0):
        with self._log.open("ab") as out:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/entry.py",
                "run",
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(DEPS),
                    "CELERYTRACK_SETTINGS": str(self._settings),
                },
                stdout=out,
                stderr=out,
            )
        until_s = time.monotonic() + within_s
        while not await self.is_ready():
            if time.monotonic() > until_s:
                raise CannotRunError(f"{self.name} isn't ready: {self.log()[-1500:]}")
            await asyncio.sleep(0.05)
        self._record.line(f"{self.name} is ready")

    async def is_ready(self):
        try:
            answer = await ask(
                (self.ip, self._ports[1]), "GET", "/ready", {}, within_s=1.0
            )
        except (TimeoutError, OSError):
            return False
        return answer.status == 200

    def log(self):
        return self._log.read_text() if self._log.exists() else ""

    def signal(self, number):
        if self._process.returncode is None:
            self._record.line(f"{self.name} gets {signal.Signals(number).name}")
            os.kill(self._process.pid, number)

    async def ended(self, within_s):
        await asyncio.wait_for(self._process.wait(), within_s)
        self._record.line(f"{self.name} has ended: {self._process.returncode}")

    async def close(self):
        if self._process is not None and self._process.returncode is None:
            os.kill(self._process.pid, signal.SIGCONT)
            os.kill(self._process.pid, signal.SIGKILL)
            await self._process.wait()
        self._folder.cleanup()


def settings_text(name, ip, ports, store_address):
    front, readiness, directory, internal = ports
    return f"""node = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","directory"]
ip = "{ip}"
zone = "z"
region = "r"
internalPorts = [{internal},{internal + 1}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
[zones]
z = "r"
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
fdLimit = 4100
linkMbps = 1000.0
[bounds]
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
revertMs = 250
outerMs = 5000
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
parts = 12
appendMs = 2.0
keep_s = 300
"""


# -- callers ------------------------------------------------------------------


class Answer:
    """One answer; ``is_whole`` tells whether it came to its end."""

    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers = status, headers
        self.body, self.is_whole = body, is_whole


async def ask(target, method, path, headers, body=b"", within_s=15.0):
    """Send a request on a new connection and read its answer."""
    return await asyncio.wait_for(_ask(target, method, path, headers, body), within_s)


async def _ask(target, method, path, headers, body):
    reader, writer = await asyncio.open_connection(*target)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join((*lines, "", "")).encode() + body)
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader):
    first, headers = await read_head(reader)
    status = int(first.split(" ")[1])
    body, is_whole = b"", True
    try:
        if "chunked" in headers.get("transfer-encoding", "").lower():
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                part = await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    break
                body += part
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        is_whole = False
    return Answer(status, headers, body, is_whole)


class Callers:
    """Sends requests with ids of their own, and notes their answers."""

    def __init__(self, record):
        self._record = record
        self._count = 0
        self.sent = {}

    async def send(
        self, entry, path, tokens=None, deadline_ms=10_000, method="POST", **more
    ):
        self._count += 1
        request_id = f"{os.getpid():x}{self._count:06x}"
        headers = {
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": deadline_ms,
            "Authorization": f"Bearer {KEY}",
        }
        if tokens is not None:
            headers["X-Model"] = "m"
            headers["X-Token-Count"] = f"{tokens[0]},{tokens[1]}"
            headers["X-Prompt-Prefix"] = f"{self._count:x}:{tokens[0]}"
        headers.update(more.pop("headers", {}))
        self.sent[request_id] = tokens
        self._record.line(f"{request_id} {path} sent to {entry.name} {tokens or ''}")
        try:
            answer = await ask(entry.front, method, path, headers, **more)
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as exc:
            self._record.line(f"{request_id} got no answer: {exc!r}")
            return request_id, None
        text = answer.body[:90] if answer.status != 200 else b""
        whole = "" if answer.is_whole else ", cut off"
        self._record.line(
            f"{request_id} answered {answer.status}{whole}, {len(answer.body)} bytes"
            f" {text!r}"
        )
        return request_id, answer


def config(version, services, routes, prepaid=None, keys=(KEY,)):
    """A configuration of one tenant."""
    tenant = {"name": TENANT, "apiKeys": list(keys)}
    if prepaid is not None:
        tenant["prepaid"] = prepaid
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [tenant],
        "limits": {
            "headerBytes": 16384,
            "bodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 20000,
        },
    }


def route(prefix, kind, service, **more):
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 12000,
        "goalMs": 800,
        "maxAttempts": 2,
        "priority": 1,
        "public": False,
        **more,
    }


def main(folder, case):
    """Run ``case(record, trouble)`` and exit as the issue says.

    ``case`` returns whether the rule was broken.
    """
    if not DEPS.is_dir():
        print("build the deploy file first")
        sys.exit(2)
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"trouble: {trouble}")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except (TimeoutError, CannotRunError, AssertionError) as exc:
        record.line(f"the case could not run: {exc!r}")
        print(f"could not run: {exc!r}")
        sys.exit(2)
    record.line("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
