"""Token counts and block hashes of prompts, without I/O."""

from typing import Any

from celerytrack.hashing import hash64

BLOCK_CHARS = 256
"""Characters of a prompt block; engines cache only whole blocks."""
CHARS_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN
_MAX_BLOCKS = 256
_SEED_MASK = 0xFFFFFFFF


def prompt_text(body: dict[str, Any]) -> str:
    """The prompt of a chat request: its messages' contents, joined."""
    messages = body.get("messages") or []
    return "".join(str(m.get("content", "")) for m in messages)


def count_tokens(text: str) -> int:
    """Tokens in a prompt, as entries and the stand-ins count them."""
    return max(1, len(text) // CHARS_PER_TOKEN)


def prompt_blocks(prompt: str) -> tuple[int, ...]:
    """Hashes of the prompt's whole blocks, each chained to those before it.

    Two prompts share their first *n* hashes exactly when they share their
    first *n* blocks, which is what a prefix cache can reuse.
    """
    hashes: list[int] = []
    previous = 0
    count = min(len(prompt) // BLOCK_CHARS, _MAX_BLOCKS)
    for i in range(count):
        block = prompt[i * BLOCK_CHARS : (i + 1) * BLOCK_CHARS]
        previous = hash64(block, previous & _SEED_MASK)
        hashes.append(previous)
    return tuple(hashes)
