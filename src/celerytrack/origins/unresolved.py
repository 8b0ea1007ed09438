"""Streams that began at endpoints whose software version was in doubt, without I/O."""

from collections import OrderedDict
from collections.abc import Callable

import attrs

from celerytrack.ids import EndpointId
from celerytrack.origins.memory import KEEP_S, StreamId
from celerytrack.origins.origin import StreamOrigin

MAX_UNRESOLVED = 4_096


@attrs.frozen
class _Begun:
    endpoint_id: EndpointId
    began_s: float


class UnresolvedOrigins:
    """The streams that began at endpoints that may have started again.

    Their origin is known once it is known again what runs at the endpoint.
    """

    def __init__(self) -> None:
        self._streams: OrderedDict[StreamId, _Begun] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self._streams)

    def add(self, stream: StreamId, endpoint_id: EndpointId, now_s: float) -> None:
        """Keep a stream until its origin is known."""
        self._streams[stream] = _Begun(endpoint_id, now_s)
        if len(self._streams) > MAX_UNRESOLVED:
            self._streams.popitem(last=False)

    def pop_resolved(
        self, origin_of: Callable[[EndpointId], StreamOrigin | None], now_s: float
    ) -> list[tuple[StreamId, StreamOrigin]]:
        """Remove the streams whose origin is known, and return them.

        :param origin_of: what runs at an endpoint; ``None`` while it is in doubt.
        """
        resolved = []
        for stream, begun in list(self._streams.items()):
            origin = origin_of(begun.endpoint_id)
            if origin is not None:
                resolved.append((stream, origin))
            if origin is not None or now_s - begun.began_s > KEEP_S:
                del self._streams[stream]
        return resolved
