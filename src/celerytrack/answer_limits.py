"""What an endpoint's answer may take of this process, without I/O.

A faulty endpoint sends bytes without end: in a head, in the framing of a body, in an
event, in an answer that is read to its end. Each is bounded, and so are all the answers
of an endpoint together.
"""

import asyncio
from collections.abc import Hashable

import attrs


@attrs.frozen
class AnswerLimits:
    """The bounds of answers.

    :ivar head_bytes: bytes before a head is complete, interim answers included.
    :ivar head_timeout_s: time from the first byte of a head to its end.
    :ivar framing_bytes: bytes of a body in a row that hold nothing of its content:
        sizes and extensions of chunks, trailers.
    :ivar event_bytes: bytes of one event of a stream.
    :ivar body_bytes: bytes of an answer that is read to its end before it is passed on.
    :ivar endpoint_bytes: bytes of all such answers of one endpoint together; the oldest
        one may go on to ``body_bytes``, so that one always gets on.
    :ivar total_bytes: bytes of any body; ``None`` where streams may go on for long.
    """

    head_bytes: int = 65_536
    head_timeout_s: float = 1.0
    framing_bytes: int = 16_384
    event_bytes: int = 262_144
    body_bytes: int = 16_777_216
    endpoint_bytes: int = 8_388_608
    total_bytes: int | None = None


DEFAULT_LIMITS = AnswerLimits()
POLL_LIMITS = AnswerLimits(total_bytes=4_194_304)
"""Of what endpoints, entries and the list of instances say when they are asked."""
LOG_LIMITS = AnswerLimits(total_bytes=67_108_864)
"""Of the log, a page of which may hold a large configuration."""


class AnswerTooLargeError(Exception):
    """An answer is larger than its limit."""


class AnswerBytes:
    """The bytes of answers of one endpoint that are read to their end.

    An answer that doesn't fit beside the others is not read on until one of them ends:
    the endpoint's connections fill up, and it can't send more.
    """

    def __init__(self, limits: AnswerLimits) -> None:
        self._limits = limits
        self._held: dict[Hashable, int] = {}
        self._total = 0
        self._changed = asyncio.Event()

    @property
    def total(self) -> int:
        """Bytes that are held now."""
        return self._total

    def check_length(self, count: int) -> None:
        """Check the length that an answer states.

        :raises AnswerTooLargeError: if it is too large by itself.
        """
        if count > self._limits.body_bytes:
            raise AnswerTooLargeError

    async def reserve(self, answer: Hashable, count: int) -> None:
        """Reserve ``count`` more bytes for an answer, when they fit.

        :raises AnswerTooLargeError: if the answer is too large by itself.
        """
        held = self._held.setdefault(answer, 0)
        if held + count > self._limits.body_bytes:
            raise AnswerTooLargeError
        while not self._fits(answer, count):
            await self._changed.wait()
        self._held[answer] += count
        self._total += count

    def release(self, answer: Hashable) -> None:
        """Give back the bytes of an answer that has ended."""
        self._total -= self._held.pop(answer, 0)
        self._changed.set()
        self._changed = asyncio.Event()

    def _fits(self, answer: Hashable, count: int) -> bool:
        is_oldest = next(iter(self._held)) is answer
        return is_oldest or self._total + count <= self._limits.endpoint_bytes
