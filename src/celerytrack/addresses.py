"""What counts as an address that another party writes, for both interfaces."""

import functools
import ipaddress
import re

_ADDRESS = re.compile(r"([0-9.]{7,15}):([0-9]{1,5})", re.ASCII)
_MAX_PORT = 65_535
_MAX_CHARS = 21
_CACHED = 4_096


def is_address(text: str) -> bool:
    """Whether ``text`` is ``IP:PORT`` with an IPv4 address of a machine.

    A host name is none: it would have to be looked up at each connection, and not every
    text can be encoded as one. The unspecified address is none either: a connection to
    it reaches this machine.
    """
    return len(text) <= _MAX_CHARS and _is_address(text)


@functools.lru_cache(_CACHED)
def _is_address(text: str) -> bool:
    found = _ADDRESS.fullmatch(text)
    if found is None or not 0 < int(found[2]) <= _MAX_PORT:
        return False
    try:
        host = ipaddress.IPv4Address(found[1])
    except ValueError:
        return False
    return not host.is_unspecified
