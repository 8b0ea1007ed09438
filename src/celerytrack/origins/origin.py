"""The origin of a stream: the service and software version that wrote its first event.

Versions of one service may serve side by side, and what two of them write does not fit
together. A stream that has begun goes on only at endpoints of its origin.
"""

import attrs

from celerytrack.ids import ServiceName

VERSION_HEADER = "X-Version"
"""Header in which a replica of the own interface states its software version."""


@attrs.frozen
class StreamOrigin:
    """What wrote the events that the caller of a stream has.

    Versions have no order; they are compared for equality only.

    :ivar version: software version; ``None`` if it is not known, so that the stream can
        go on nowhere.
    """

    service: ServiceName
    version: str | None
