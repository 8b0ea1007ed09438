"""Hashes of text that are the same in all processes, without I/O."""

import mmh3


def hash64(text: str, seed: int = 0) -> int:
    """A 64-bit hash of ``text``, which may hold half of a surrogate pair.

    The library gets bytes: text that has no UTF-8 form makes it read a null pointer,
    which ends the process.
    """
    data = text.encode(errors="surrogatepass")
    return mmh3.hash64(data, seed=seed, signed=False)[0]
