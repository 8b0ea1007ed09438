"""A stand-in of the platform's log: keyed topics over HTTP, with faults."""

import asyncio
import base64
import json
import struct

import attrs
from aiohttp import web

_LENGTH = struct.Struct(">I")
_ENDS = struct.Struct(">QQ")
_PIECE_BYTES = 16_384


@attrs.define
class Topic:
    """One keyed topic: all records, and each producer's epoch and number."""

    records: list[tuple[str, bytes]] = attrs.field(factory=list)
    first: int = 0
    producers: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    answers: dict[tuple[str, int, int], int] = attrs.field(factory=dict)

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """The newest record of each key that was not dropped."""
        newest = {key: (i, value) for i, (key, value) in enumerate(self.records)}
        return {key: item for key, item in newest.items() if item[1]}


class Link:
    """An entry's link: the answers on their way share it, a piece at a time.

    :ivar bytes_per_s: how fast they arrive; 0 for at once.
    :ivar carried_bytes: what it carried in all.
    """

    def __init__(self) -> None:
        self.bytes_per_s = 0.0
        self.carried_bytes = 0
        self._turn = asyncio.Lock()

    async def send(self, request: web.Request, body: bytes) -> web.StreamResponse:
        """Answer ``request`` with ``body``, at the pace of the link."""
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        for start in range(0, len(body), _PIECE_BYTES):
            piece = body[start : start + _PIECE_BYTES]
            async with self._turn:
                if self.bytes_per_s:
                    await asyncio.sleep(len(piece) / self.bytes_per_s)
            try:
                await response.write(piece)
            except ConnectionResetError:
                # The caller gave up: what is on its way is lost with it.
                return response
            self.carried_bytes += len(piece)
        return response


class KeyedLog:
    """The stand-in's state and faults.

    :ivar down: every call is refused.
    :ivar silent: no call is answered.
    :ivar deaf: reads that are held when it is set are never answered.
    :ivar lose_answers: appends take effect and are not answered.
    :ivar link: over which answers to reads arrive.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.down = False
        self.deaf = False
        self.silent = False
        self.lose_answers = False
        self.link = Link()
        self.appends = 0
        self._changed = asyncio.Event()

    def topic(self, name: str) -> Topic:
        """The topic ``name``, made on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, name: str, key: str, value: bytes) -> None:
        """Write as the platform itself does."""
        self.topic(name).records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def forget_history(self, name: str) -> None:
        """Drop all records; the newest of each key is kept."""
        self.topic(name).first = len(self.topic(name).records)

    def make_app(self) -> web.Application:
        """The HTTP application."""
        app = web.Application()
        app.router.add_post("/log-append", self._append)
        app.router.add_get("/log-read", self._read)
        app.router.add_get("/log-newest", self._newest)
        return app

    async def _answering(self) -> None:
        while self.silent:
            await asyncio.sleep(0.05)

    async def _append(self, request: web.Request) -> web.Response:
        await self._answering()
        if self.down:
            return web.Response(status=503)
        topic = self.topic(request.query["topic"])
        name = request.query["producer"]
        epoch, number = int(request.query["epoch"]), int(request.query["sequence"])
        body = await request.read()
        known_epoch, known_number = topic.producers.get(name, (-1, -1))
        repeat = topic.answers.get((name, epoch, number))
        if epoch < known_epoch:
            return web.json_response({"reason": "fenced"}, status=409)
        if body and repeat is not None:
            return web.json_response({"offset": repeat, "end": len(topic.records)})
        if epoch == known_epoch and body and number != known_number + 1:
            expected = {"reason": "seq", "sequence": known_number + 1}
            return web.json_response(expected, status=409)
        topic.producers[name] = (epoch, number if body else number - 1)
        offset = len(topic.records)
        for key, value in _decode(body):
            self.put(request.query["topic"], key, value)
        if body:
            topic.answers[name, epoch, number] = offset
            self.appends += 1
        if self.lose_answers and request.transport is not None:
            request.transport.close()
        return web.json_response({"offset": offset, "end": len(topic.records)})

    async def _read(self, request: web.Request) -> web.StreamResponse:
        await self._answering()
        if self.down:
            return web.Response(status=503)
        topic = self.topic(request.query["topic"])
        start = int(request.query["from"])
        wait_s = int(request.query.get("waitMs", 0)) / 1_000
        if start < topic.first:
            return web.json_response({"first": topic.first}, status=410)
        if start >= len(topic.records) and wait_s:
            await self._wait(topic, start, wait_s)
            if self.deaf:
                await asyncio.sleep(60)
        most = int(request.query.get("maxKb", 1_024)) * 1_024
        body = _ENDS.pack(len(topic.records), topic.first)
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            if len(body) > _ENDS.size and len(body) + len(content) > most:
                break
            body += _LENGTH.pack(len(content)) + content
        return await self.link.send(request, body)

    async def _wait(self, topic: Topic, start: int, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                while start >= len(topic.records):
                    await self._changed.wait()
        except TimeoutError:
            return

    async def _newest(self, request: web.Request) -> web.StreamResponse:
        await self._answering()
        if self.down:
            return web.Response(status=503)
        topic = self.topic(request.query["topic"])
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(topic.newest().items())
            if key > request.query.get("after", "")
        ]
        page = {"entries": entries, "hasMore": False, "end": len(topic.records)}
        return await self.link.send(request, json.dumps(page).encode())


def _decode(body: bytes) -> list[tuple[str, bytes]]:
    records = []
    at = 0
    while at < len(body):
        (size,) = _LENGTH.unpack_from(body, at)
        content = body[at + _LENGTH.size : at + _LENGTH.size + size]
        at += _LENGTH.size + size
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:]))
    return records
