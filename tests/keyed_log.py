"""A stand-in for the platform's log: keyed topics over HTTP, with faults.

It can be restored from an older backup; its answers then carry a higher era.
"""

import asyncio
import base64
import copy
import json
import struct
from collections.abc import Callable, Mapping

import attrs
from aiohttp import web

ERA_HEADER = "Store-Era"
_LENGTH = struct.Struct(">I")
_BATCH_HEADER = struct.Struct(">QQ")
_CHUNK_BYTES = 16_384
View = Callable[[str, str, bytes], bytes]
"""The value that a reader gets, of a topic, a key and the value that was written."""
_VIEW = web.AppKey("view", View)


@attrs.define
class Topic:
    """One keyed topic: all records, and each producer's epoch and sequence number."""

    records: list[tuple[str, bytes]] = attrs.field(factory=list)
    first: int = 0
    producers: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    answers: dict[tuple[str, int, int], int] = attrs.field(factory=dict)

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """The newest record of each key that was not deleted."""
        newest = {key: (i, value) for i, (key, value) in enumerate(self.records)}
        return {key: item for key, item in newest.items() if item[1]}


class Link:
    """An entry's network link, which the answers in flight share chunk by chunk.

    :ivar bytes_per_s: bandwidth; 0 for unlimited.
    :ivar carried_bytes: total of the bytes sent.
    """

    def __init__(self) -> None:
        self.bytes_per_s = 0.0
        self.carried_bytes = 0
        self._lock = asyncio.Lock()

    async def send(self, request: web.Request, body: bytes) -> web.StreamResponse:
        """Answer ``request`` with ``body`` at the bandwidth of the link."""
        response = web.StreamResponse()
        response.content_length = len(body)
        try:
            await response.prepare(request)
        except ConnectionResetError:
            return response
        for start in range(0, len(body), _CHUNK_BYTES):
            chunk = body[start : start + _CHUNK_BYTES]
            async with self._lock:
                if self.bytes_per_s:
                    await asyncio.sleep(len(chunk) / self.bytes_per_s)
            try:
                await response.write(chunk)
            except ConnectionResetError:
                # The caller closed the connection; the rest of the answer is lost.
                return response
            self.carried_bytes += len(chunk)
        return response


class KeyedLog:
    """The stand-in's state and faults.

    :ivar down: every call is refused.
    :ivar refused: topics whose calls are all refused.
    :ivar unresponsive: no call is answered.
    :ivar hang_held_reads: reads that are held when it is set are never answered.
    :ivar lose_answers: appends take effect, but are not answered.
    :ivar link: carries the answers to reads.
    :ivar era: increases by one each time the log is restored from an older backup.
    :ivar era_text: header value for the era; ``None`` omits the header.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.era = 1
        self.era_text: Callable[[int], str | None] = str
        self.down = False
        self.refused: set[str] = set()
        self.hang_held_reads = False
        self.unresponsive = False
        self.lose_answers = False
        self.link = Link()
        self.appends = 0
        # By topic and key; kept when the log is restored.
        self._platform_records: dict[tuple[str, str], bytes] = {}
        self._changed = asyncio.Event()

    def topic(self, name: str) -> Topic:
        """The topic ``name``, created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, name: str, key: str, value: bytes) -> None:
        """Write a record as the platform itself does."""
        self._platform_records[name, key] = value
        self._put(name, key, value)

    def _put(self, name: str, key: str, value: bytes) -> None:
        self.topic(name).records.append((key, value))
        self._wake_readers()

    def _wake_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def compact(self, name: str) -> None:
        """Delete all records except the newest of each key."""
        self.topic(name).first = len(self.topic(name).records)

    def copy(self) -> Mapping[str, Topic]:
        """Take a backup of all topics for :meth:`restore`."""
        return copy.deepcopy(self.topics)

    def restore(self, older: Mapping[str, Topic]) -> None:
        """Restore the backup ``older`` at once.

        Records and the producers' epochs and sequence numbers are as they were then,
        offsets are assigned again, and the era increases.
        """
        self.topics = copy.deepcopy(dict(older))
        self.era += 1
        self._wake_readers()

    async def restore_after(
        self,
        older: Mapping[str, Topic],
        away_s: float = 0.0,
        written_again_s: float = 0.0,
    ) -> None:
        """Refuse every call for ``away_s`` and restore ``older``; ``written_again_s``
        later the platform writes again what the log has lost of its records."""
        self.down = True
        self._wake_readers()
        await asyncio.sleep(away_s)
        self.restore(older)
        self.down = False
        await asyncio.sleep(written_again_s)
        self.republish()

    def republish(self) -> None:
        """Write the platform's records again that the log has lost."""
        for (name, key), value in self._platform_records.items():
            newest = dict(self.topic(name).records)
            if newest.get(key, b"") != value:
                self._put(name, key, value)

    async def _add_era_header(self, _: web.Request, answer: web.StreamResponse) -> None:
        text = self.era_text(self.era)
        if text is not None:
            answer.headers[ERA_HEADER] = text

    def make_app(self, view: View | None = None) -> web.Application:
        """The HTTP application.

        :param view: gives the values that this application's readers get.
        """
        app = web.Application()
        app[_VIEW] = view or _as_written
        app.on_response_prepare.append(self._add_era_header)
        app.router.add_post("/log-append", self._append)
        app.router.add_get("/log-read", self._read)
        app.router.add_get("/log-newest", self._newest)
        return app

    async def _wait_until_responsive(self) -> None:
        while self.unresponsive:
            await asyncio.sleep(0.05)

    def _refuses(self, request: web.Request) -> bool:
        return self.down or request.query["topic"] in self.refused

    async def _append(self, request: web.Request) -> web.Response:
        await self._wait_until_responsive()
        if self._refuses(request):
            return web.Response(status=503)
        topic = self.topic(request.query["topic"])
        name = request.query["producer"]
        epoch, sequence = int(request.query["epoch"]), int(request.query["sequence"])
        body = await request.read()
        known_epoch, known_sequence = topic.producers.get(name, (-1, -1))
        repeat = topic.answers.get((name, epoch, sequence))
        if epoch < known_epoch:
            return web.json_response({"reason": "fenced"}, status=409)
        if body and repeat is not None:
            return web.json_response({"offset": repeat, "end": len(topic.records)})
        if epoch == known_epoch and body and sequence != known_sequence + 1:
            expected = {"reason": "seq", "sequence": known_sequence + 1}
            return web.json_response(expected, status=409)
        topic.producers[name] = (epoch, sequence if body else sequence - 1)
        offset = len(topic.records)
        for key, value in _decode(body):
            self._put(request.query["topic"], key, value)
        if body:
            topic.answers[name, epoch, sequence] = offset
            self.appends += 1
        if self.lose_answers and request.transport is not None:
            request.transport.close()
        return web.json_response({"offset": offset, "end": len(topic.records)})

    async def _read(self, request: web.Request) -> web.StreamResponse:
        await self._wait_until_responsive()
        if self._refuses(request):
            return web.Response(status=503)
        name = request.query["topic"]
        start = int(request.query["from"])
        wait_s = int(request.query.get("waitMs", 0)) / 1_000
        if start == len(self.topic(name).records) and wait_s:
            await self._hold_read(name, start, wait_s)
            if self.hang_held_reads:
                await asyncio.sleep(60)
            if self._refuses(request):
                return web.Response(status=503)
        topic = self.topic(name)
        if not topic.first <= start <= len(topic.records):
            return web.json_response({"first": topic.first}, status=410)
        max_bytes = int(request.query.get("maxKb", 1_024)) * 1_024
        body = _BATCH_HEADER.pack(len(topic.records), topic.first)
        view = request.app[_VIEW]
        for key, value in topic.records[start:]:
            seen = view(name, key, value)
            content = bytes([len(key)]) + key.encode() + seen
            if len(body) > _BATCH_HEADER.size and len(body) + len(content) > max_bytes:
                break
            body += _LENGTH.pack(len(content)) + content
        return await self.link.send(request, body)

    async def _hold_read(self, name: str, start: int, wait_s: float) -> None:
        """Hold a read until there is a record at ``start``, or the log is down."""
        try:
            async with asyncio.timeout(wait_s):
                while start == len(self.topic(name).records) and not self.down:
                    await self._changed.wait()
        except TimeoutError:
            return

    async def _newest(self, request: web.Request) -> web.StreamResponse:
        await self._wait_until_responsive()
        if self._refuses(request):
            return web.Response(status=503)
        name = request.query["topic"]
        topic, view = self.topic(name), request.app[_VIEW]
        entries = [
            {
                "key": key,
                "value": base64.b64encode(view(name, key, value)).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(topic.newest().items())
            if key > request.query.get("after", "")
        ]
        page = {"entries": entries, "hasMore": False, "end": len(topic.records)}
        return await self.link.send(request, json.dumps(page).encode())


def _as_written(topic: str, key: str, value: bytes) -> bytes:
    return value


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
