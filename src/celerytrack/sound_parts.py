"""Parts of prompts that endpoints answered lately, without I/O.

A part that crashes each endpoint is never answered. One that is answered all the time,
a system prompt above all, is therefore no suspect when an endpoint crashes.
"""

from collections.abc import Iterable

from cachetools import LRUCache

from celerytrack.fingerprint import Fingerprint

SOUND_S = 60.0
"""How long an answer shows that a part is sound."""
MAX_SOUND_PARTS = 8_192
"""Most parts that are remembered, about a megabyte."""


class SoundParts:
    """The parts that endpoints of one build answered lately."""

    def __init__(self) -> None:
        self._answered: LRUCache[Fingerprint, tuple[str, float]] = LRUCache(
            MAX_SOUND_PARTS
        )

    def record(self, parts: Iterable[Fingerprint], build: str, now_s: float) -> None:
        """Record that an endpoint answered a prompt with ``parts`` completely."""
        for part in parts:
            self._answered[part] = (build, now_s)

    def is_sound(self, part: Fingerprint, build: str, now_s: float) -> bool:
        """Whether endpoints of a build answer prompts with ``part``."""
        answered_build, at_s = self._answered.get(part, ("", float("-inf")))
        return answered_build == build and now_s - at_s < SOUND_S
