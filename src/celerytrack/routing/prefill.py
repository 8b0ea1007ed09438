"""Prefill times of prompts and the order in which engines prefill them.

An engine prefills the most urgent pending prompt first. Shortest first keeps most first
tokens on time: a hundred short prompts behind one that takes a second would all be
late, while the long prompt is hardly delayed by short ones that overtake it. Prefill is
shared, however: a short prompt beside a long one still waits for a part of it, so the
choice of an endpoint counts all pending prompts.

The order is meant for bursts of long prompts beside a stream of short ones, and for
medium prompts with tight targets beside short prompts with targets twice as long.
"""

import enum

PREFILL_TOKENS_PER_S = 64_000.0
"""Prompt tokens that an engine prefills per second beside its other work. Differences
between engines go into their measured slowness."""
TOKEN_PAIR_S = 0.25e-9
"""Attention time for each pair of a prompt's tokens. It makes a prompt of 50,000 tokens
take a third longer than the linear part alone."""
SHORT_PREFILL_S = 0.1
"""Longest prefill of a short prompt: two may go ahead of a third with a tight
target."""
MEDIUM_PREFILL_S = 0.4
"""Longest prefill of a medium prompt. A longer prompt may be late at any position, and
delays the others most."""
RELAXED_TARGET_S = 1.0
"""A prompt with a target above this can wait for prompts of the next size too: a burst
of long prompts keeps an engine busy for most of a second."""
MAX_URGENCY = 9
"""Highest urgency number; 0 is the most urgent."""


class PromptSize(enum.IntEnum):
    """Class of a prompt by its prefill time."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2


def prefill_s(uncached_tokens: int, prompt_tokens: int) -> float:
    """Time to prefill the last ``uncached_tokens`` of a prompt."""
    pairs = uncached_tokens * (prompt_tokens - uncached_tokens / 2)
    return uncached_tokens / PREFILL_TOKENS_PER_S + pairs * TOKEN_PAIR_S


def size_of(work_s: float) -> PromptSize:
    """The size class of a prompt that takes ``work_s`` to prefill."""
    if work_s <= SHORT_PREFILL_S:
        return PromptSize.SHORT
    return PromptSize.MEDIUM if work_s <= MEDIUM_PREFILL_S else PromptSize.LONG


def urgency(priority: int, work_s: float, target_s: float) -> int:
    """The urgency of a prompt: by its size, then by its priority.

    :param priority: priority of its client account or route; 0 is the most urgent.
    :param target_s: its target for the time to first token. A prompt with a long target
        is put into the next size class, behind medium prompts with tight targets.
    """
    size = size_of(work_s)
    if target_s > RELAXED_TARGET_S:
        size = PromptSize(min(size + 1, PromptSize.LONG))
    ranks = MAX_URGENCY // len(PromptSize)
    rank = min(max(priority, 0), ranks - 1)
    return 1 + size * ranks + rank
