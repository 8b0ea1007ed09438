"""An endpoint as a process of its own: raw bytes, seeded, sound or stuttering.

It writes each request that it runs, and each that it refuses, into its records before
it answers. It uses the standard library only, so that it starts fast.
"""

import asyncio
import json
import os
import random
import re
import signal
import sys
from typing import Any

STREAM_STUTTERS = (
    "twice",
    "again",
    "late",
    "swapped",
    "cut_same",
    "cut_new_run",
    "short",
)
PLAIN_STUTTERS = ("plain_short", "interim")
EXTRA_STUTTERS = ("extra_at_once", "extra_late", "extra_halves", "extra_garbage")
STUTTERS = STREAM_STUTTERS + PLAIN_STUTTERS + EXTRA_STUTTERS


class Endpoint:
    """One lifetime of an endpoint.

    :ivar framed: whether each answer has a length or is chunked.
    """

    def __init__(self, options: dict[str, Any]) -> None:
        self.name = str(options["name"])
        self.version = int(options["version"])
        self.framed = bool(options["framed"])
        self.stutters = [str(name) for name in options["stutters"]]
        self.share = float(options["share"])
        self.rng = random.Random(options["seed"])
        self.runs = 0
        self.leaving = False
        self.active = 0
        self._records = os.open(
            options["records"], os.O_WRONLY | os.O_CREAT | os.O_APPEND
        )

    def record(self, **fields: object) -> None:
        """Write one line that a kill doesn't lose."""
        line = json.dumps({"endpoint": self.name, **fields}) + "\n"
        os.write(self._records, line.encode())

    def stutter(self, known: tuple[str, ...]) -> str:
        """The stutter of the next answer, or an empty text."""
        names = [name for name in known if name in self.stutters]
        if not names or self.rng.random() >= self.share:
            return ""
        return self.rng.choice(names)

    def next_run(self) -> str:
        """The name of a new run."""
        self.runs += 1
        return f"{self.name}.{self.runs}"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        connection = Connection(self, writer)
        try:
            while not self.leaving:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                await reader.readexactly(int(_header(head, "Content-Length") or 0))
                self.active += 1
                try:
                    keeps = await connection.answer(head)
                finally:
                    self.active -= 1
                if not keeps:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            connection.end()
            writer.close()


class Connection:
    """The answers on one connection of an endpoint."""

    def __init__(self, endpoint: Endpoint, writer: asyncio.StreamWriter) -> None:
        self._endpoint = endpoint
        self._writer = writer
        self._lock = asyncio.Lock()
        self._extra: asyncio.Task[None] | None = None
        self._earlier_id = ""

    def end(self) -> None:
        """Write no more."""
        if self._extra is not None:
            self._extra.cancel()

    async def answer(self, head: str) -> bool:
        """Answer one request; tell whether the connection stays open."""
        endpoint, rng = self._endpoint, self._endpoint.rng
        path = head.split(" ", 2)[1]
        request_id = _header(head, "X-Attempt-Id")
        fields = {"id": request_id, "path": path}
        expected = _header(head, "X-Expect-Replica")
        if expected not in ("", endpoint.name):
            await self._refuse("421 Another", fields)
            return True
        if path == "/health":
            named = (f"X-Replica-Id: {endpoint.name}",)
            await self._write_plain("", "200 OK", b"", "length", named)
            return True
        if rng.random() < 0.03:
            await self._refuse("503 Full", fields)
            return True
        run = endpoint.next_run()
        after = int(_header(head, "Last-Event-Id") or 0)
        endpoint.record(did="run", run=run, after=after, **fields)
        framings = ["length", "chunked", "chunked"]
        framings += [] if endpoint.framed else ["end"]
        framing = rng.choice(framings)
        await asyncio.sleep(rng.uniform(0.002, 0.03))
        if path.startswith(("/stream/", "/resume/")):
            framing = "chunked" if framing == "length" else framing
            is_whole = await self._stream(path, request_id, run, after, framing)
            if not is_whole:
                return False
        else:
            fails = rng.random() < 0.05
            status = "500 Failed" if fails else "200 OK"
            size = rng.choice((0, 50, 3_000, 40_000))
            body = _plain_body(request_id, run, size)
            stutter = endpoint.stutter(PLAIN_STUTTERS)
            endpoint.record(
                did="plain", id=request_id, run=run, stutter=stutter, framing=framing
            )
            if stutter == "interim":
                await self._send(_interim(request_id))
            if stutter == "plain_short" and framing != "end":
                await self._write_part(request_id, status, body, framing)
                return False
            await self._write_plain(request_id, status, body, framing, ())
        self._start_extra(request_id, run, framing)
        self._earlier_id = request_id
        return framing != "end"

    async def _refuse(self, status: str, fields: dict[str, str]) -> None:
        self._endpoint.record(did="refused", status=status, **fields)
        request_id = fields["id"]
        body = json.dumps({"request": request_id, "refused": True}).encode()
        await self._write_plain(
            request_id, status, body, "length", ("X-Not-Executed: 1",)
        )

    async def _write_part(
        self, request_id: str, status: str, body: bytes, framing: str
    ) -> None:
        """Write an answer that ends inside its body."""
        async with self._lock:
            head = _head(request_id, request_id, status, framing, len(body), ())
            await self._send(head + _framed(body, framing)[:-1])

    async def _send(self, data: bytes) -> None:
        """Write in pieces of any size."""
        rng = self._endpoint.rng
        if len(data) > 20 and rng.random() < 0.2:
            at = rng.randrange(1, len(data))
            self._writer.write(data[:at])
            await self._writer.drain()
            await asyncio.sleep(0.005)
            data = data[at:]
        self._writer.write(data)
        await self._writer.drain()

    async def _write_plain(
        self,
        request_id: str,
        status: str,
        body: bytes,
        framing: str,
        headers: tuple[str, ...],
    ) -> None:
        async with self._lock:
            head = _head(request_id, request_id, status, framing, len(body), headers)
            await self._send(head)
            half = len(body) // 2
            for part in (body[:half], body[half:]):
                if part:
                    await self._send(_framed(part, framing))
                await asyncio.sleep(0.002)
            if framing == "chunked":
                await self._send(b"0\r\n\r\n")

    async def _stream(
        self, path: str, request_id: str, run: str, after: int, framing: str
    ) -> bool:
        """Write a stream; tell whether it was ended as whole."""
        endpoint, rng = self._endpoint, self._endpoint.rng
        stutter = endpoint.stutter(STREAM_STUTTERS)
        token, _, count = path.rsplit("/", 1)[1].partition("-")
        last = int(count)
        end = rng.choice(("\n", "\n", "\r\n"))

        def make(number: int, name: str = run, begun_after: int = after) -> bytes:
            return _event(token, name, endpoint.version, number, last, begun_after, end)

        new_run = endpoint.next_run() if stutter == "cut_new_run" else run
        pieces = _pieces(make, after, last, stutter, new_run, rng)
        endpoint.record(
            did="stream", id=request_id, run=run, stutter=stutter, framing=framing
        )
        pause_s = rng.choice((0.0, 0.01, 0.04))
        is_short = stutter == "short" and framing == "chunked"
        if is_short:
            pieces = pieces[: len(pieces) // 2]
        async with self._lock:
            if endpoint.stutter(("interim",)):
                await self._send(_interim(request_id))
            await self._send(
                _head(request_id, request_id, "200 OK", framing, 0, STREAM)
            )
            for piece in pieces:
                await self._send(_framed(piece, framing))
                await asyncio.sleep(pause_s)
            if framing == "chunked" and not is_short:
                await self._send(b"0\r\n\r\n")
        return not is_short

    def _start_extra(self, request_id: str, run: str, framing: str) -> None:
        kind = self._endpoint.stutter(EXTRA_STUTTERS)
        if kind and framing != "end":
            if self._extra is not None:
                self._extra.cancel()
            work = self._write_extra(kind, request_id, run)
            self._extra = asyncio.create_task(work)

    async def _write_extra(self, kind: str, request_id: str, run: str) -> None:
        rng = self._endpoint.rng
        named = rng.choice((request_id, self._earlier_id, ""))
        status = rng.choice(("200 OK", "500 Failed", "404 None", "503 Full"))
        headers = ("X-Not-Executed: 1",) if status.startswith("503") else ()
        body = _plain_body(request_id, run, rng.choice((0, 200)))
        seal_of = named or request_id
        data = _head(named, seal_of, status, "length", len(body), headers) + body
        if kind == "extra_garbage":
            data = rng.choice((b"\r\n", b"garbage\r\n\r\n", body + data, data[9:]))
        self._endpoint.record(did=kind, id=request_id, named=named, status=status)
        try:
            if kind != "extra_at_once":
                await asyncio.sleep(rng.uniform(0.002, 0.3))
            # An answer in work is not broken by another one.
            async with self._lock:
                at = len(data) // 2 if kind == "extra_halves" else len(data)
                self._writer.write(data[:at])
                await self._writer.drain()
                if data[at:]:
                    await asyncio.sleep(rng.uniform(0.002, 0.1))
                    self._writer.write(data[at:])
                    await self._writer.drain()
        except ConnectionError:
            return


STREAM = ("Content-Type: text/event-stream",)


def _header(head: str, name: str) -> str:
    found = re.search(rf"^{name}: *(.*?)\r$", head, re.M | re.I)
    return found[1] if found else ""


def _head(
    request_id: str,
    seal_of: str,
    status: str,
    framing: str,
    size: int,
    headers: tuple[str, ...],
) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"X-Response-Seal: seal.{seal_of}", *headers]
    if request_id:
        lines.append(f"X-Attempt-Id: {request_id}")
    if framing == "length":
        lines.append(f"Content-Length: {size}")
    elif framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
    return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\n"


def _interim(request_id: str) -> bytes:
    return f"HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: {request_id}\r\n\r\n".encode()


def _framed(data: bytes, framing: str) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if framing == "chunked" else data


def _plain_body(request_id: str, run: str, size: int) -> bytes:
    fields = {"request": request_id, "run": run, "fill": "x" * size, "end": True}
    return json.dumps(fields).encode()


def _event(
    token: str, run: str, version: int, number: int, last: int, after: int, end: str
) -> bytes:
    data = {
        "stream": token,
        "run": run,
        "version": version,
        "number": number,
        "last": last,
        "after": after,
        "fill": "y" * 60,
    }
    return f"id: {number}{end}data: {json.dumps(data)}{end}{end}".encode()


def _pieces(
    make: Any, after: int, last: int, stutter: str, new_run: str, rng: random.Random
) -> list[bytes]:
    """The events of a stream as they are written."""
    numbers = range(after + 1, last + 1)
    events = [make(number) for number in numbers]
    if len(events) < 3:
        return events
    at = rng.randrange(2, len(events))
    if stutter == "twice":
        return [event for event in events for _ in range(2)]
    if stutter == "again":
        return events[:at] + events[rng.randrange(at) :]
    if stutter == "late":
        return [*events[:at], events[rng.randrange(at - 1)], *events[at:]]
    if stutter == "swapped":
        events[at - 1], events[at] = events[at], events[at - 1]
    if stutter in ("cut_same", "cut_new_run"):
        cut = events[at][: rng.randrange(1, len(events[at]) - 2)]
        return events[:at] + [cut] + [make(number, new_run) for number in numbers]
    return events


async def _run(options: dict[str, Any]) -> None:
    endpoint = Endpoint(options)
    server = await asyncio.start_server(
        endpoint.serve, "127.0.0.1", int(options["port"])
    )
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    print("up", flush=True)
    await stop.wait()
    endpoint.leaving = True
    server.close()
    for _ in range(60):
        if not endpoint.active:
            break
        await asyncio.sleep(0.05)
    os._exit(0)


if __name__ == "__main__":
    asyncio.run(_run(json.loads(sys.argv[1])))
