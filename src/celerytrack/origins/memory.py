"""The origins of streams that one entry knows, without I/O."""

import hashlib
from collections import OrderedDict
from typing import NewType

import attrs

from celerytrack.hashing import hash64
from celerytrack.ids import AccountId, RequestId
from celerytrack.origins.origin import StreamOrigin

KEEP_S = 60.0
"""How long the origin of a stream is kept after it was recorded or asked for: longer
than a caller's tries of one stream last."""
MAX_STREAMS = 65_536
"""Most streams whose origin is kept; the oldest is dropped first."""
PLACE_BYTES = 8
KEY_BYTES = PLACE_BYTES + 8

StreamKey = NewType("StreamKey", bytes)
"""Digest of a stream's name, the same at all entries: its place on the ring of holders,
and bytes by which no caller can find a name that is taken for another's."""


@attrs.frozen
class StreamId:
    """A stream, named by the request that brought its first event.

    Only its own client account can name it.

    :ivar account: ``None`` if its route needs no key.
    """

    account: AccountId | None
    request_id: RequestId

    @property
    def key(self) -> StreamKey:
        """The digest of the name; computed anew each time."""
        text = f"{self.account or ''}\x00{self.request_id}"
        place = hash64(text).to_bytes(PLACE_BYTES)
        data = text.encode(errors="surrogatepass")
        digest = hashlib.blake2b(data, digest_size=KEY_BYTES - PLACE_BYTES).digest()
        return StreamKey(place + digest)


@attrs.define
class _Known:
    origin: StreamOrigin
    began_s: float
    used_s: float


@attrs.frozen
class FoundOrigin:
    """The origin of a stream, and how long ago the stream began."""

    origin: StreamOrigin
    age_s: float


class OriginMemory:
    """The origins of streams, bounded in number and time."""

    def __init__(self) -> None:
        self._streams: OrderedDict[StreamKey, _Known] = OrderedDict()

    def __len__(self) -> int:
        return len(self._streams)

    def record(self, stream: StreamKey, origin: StreamOrigin, now_s: float) -> None:
        """Record what began a stream.

        If two streams have one name, neither is known by it.
        """
        known = self._streams.get(stream)
        if known is not None and known.origin != origin:
            origin = attrs.evolve(origin, version=None)
        began_s = now_s if known is None else known.began_s
        self._streams[stream] = _Known(origin, began_s, now_s)
        self._streams.move_to_end(stream)
        self._expire(now_s)

    def find(self, stream: StreamKey, now_s: float) -> FoundOrigin | None:
        """What began a stream, if it is known."""
        known = self._streams.get(stream)
        if known is None or now_s - known.used_s > KEEP_S:
            return None
        known.used_s = now_s
        self._streams.move_to_end(stream)
        return FoundOrigin(known.origin, now_s - known.began_s)

    def known_streams(self) -> list[tuple[StreamKey, StreamOrigin]]:
        """The streams whose origin is known."""
        return [
            (stream, known.origin)
            for stream, known in self._streams.items()
            if known.origin.version is not None
        ]

    def _expire(self, now_s: float) -> None:
        while self._streams:
            oldest = next(iter(self._streams.values()))
            is_old = now_s - oldest.used_s > KEEP_S
            if not is_old and len(self._streams) <= MAX_STREAMS:
                return
            self._streams.popitem(last=False)
