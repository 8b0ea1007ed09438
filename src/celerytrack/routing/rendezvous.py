"""Rendezvous (highest random weight) hashing, without I/O.

Accounts map to the live entries by it. An account is then spent on few entries, which
needs few grants and few ledger appends, and an entry that leaves moves only its own
accounts. Sessions map to engines, and endpoints to their owners, in the same way.
"""

from collections.abc import Iterable

from celerytrack.hashing import hash64


def rendezvous_weight(key: str, node: str) -> int:
    """The weight of ``node`` for ``key``; the highest one is chosen."""
    return hash64(f"{key}\x00{node}")


def rendezvous(key: str, nodes: Iterable[str], count: int) -> list[str]:
    """The ``count`` nodes with the highest hash weight for ``key``.

    :param key: what is placed: an account id, or the name of a singleton task.
    :param nodes: candidate node ids.
    :returns: up to ``count`` node ids, best first; stable as nodes come and go.
    """
    return sorted(nodes, key=lambda n: rendezvous_weight(key, n), reverse=True)[:count]
