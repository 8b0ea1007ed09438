"""How long engines take to read prompts, and in which order they should.

An engine takes the more urgent of the prompts that wait at it first. Shortest
first keeps most first tokens early: a hundred short ones behind one that takes a
second would all be late, while it hardly notices that they went ahead. Reading is
shared, though: a short prompt beside a long one still waits for part of it, so a choice
counts all that waits.

Load patterns answered: bursts of long prompts beside a stream of short ones; medium
prompts that have little time beside short ones that have twice as much.
"""

import enum

PREFILL_TOKENS_PER_S = 64_000.0
"""Prompt tokens that an engine reads a second beside its other work; how an engine
differs is learned as its slowness."""
PAIR_S = 0.25e-9
"""Time an engine takes for each pair of a prompt's tokens: a prompt of 50,000 tokens
takes a third more than its tokens alone."""
SHORT_S = 0.1
"""A short prompt's reading time at most: two may go ahead of a third that has little
time."""
MEDIUM_S = 0.4
"""A medium prompt's reading time at most: a longer one is at risk wherever it stands,
and holds up most."""
PATIENT_S = 1.0
"""A target above this leaves time for those of the next size too: a burst of long
prompts keeps an engine reading for most of a second."""
URGENCIES = 9
"""The highest number of an urgency; 0 is the most urgent."""


class Size(enum.IntEnum):
    """How long an engine is busy with a prompt."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2


def prefill_s(unread_tokens: int, prompt_tokens: int) -> float:
    """How long an engine takes to read the last ``unread_tokens`` of a prompt."""
    pairs = unread_tokens * (prompt_tokens - unread_tokens / 2)
    return unread_tokens / PREFILL_TOKENS_PER_S + pairs * PAIR_S


def size_of(work_s: float) -> Size:
    """The size of a prompt that takes ``work_s`` to read."""
    if work_s <= SHORT_S:
        return Size.SHORT
    return Size.MEDIUM if work_s <= MEDIUM_S else Size.LONG


def urgency(priority: int, work_s: float, target_s: float) -> int:
    """The urgency of a prompt: its size first, then its rank.

    :param priority: rank of its client account or route; 0 is the highest.
    :param target_s: its target for the first token. Those with much time go with
        the next size, and a medium prompt with little time before them.
    """
    size = size_of(work_s)
    if target_s > PATIENT_S:
        size = Size(min(size + 1, Size.LONG))
    ranks = URGENCIES // len(Size)
    rank = min(max(priority, 0), ranks - 1)
    return 1 + size * ranks + rank
