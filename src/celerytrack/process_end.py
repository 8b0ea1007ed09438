"""Detection of an endpoint's crash by connections to its address."""

import asyncio
import enum

CONNECT_TIMEOUT_S = 0.5
"""Connect timeout. Within a region a connection takes a few ms, so an instance that
exceeds it is unreachable."""
CONNECT_PAUSES_S = (0.0, 0.25)
"""Delays before the connection attempts. A crashing process may accept connections for
a moment longer."""
ENDING_KNOWN_S = sum(CONNECT_PAUSES_S) + CONNECT_TIMEOUT_S * len(CONNECT_PAUSES_S)
"""Longest time that :func:`has_ended` takes."""


class AddressState(enum.Enum):
    """Result of a connection attempt."""

    TAKEN = "taken"
    REFUSED = "refused"
    SILENT = "silent"


async def try_address(address: str) -> AddressState:
    """Connect to ``address`` and close the connection."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return AddressState.REFUSED
    except (OSError, TimeoutError):
        return AddressState.SILENT
    writer.close()
    return AddressState.TAKEN


async def has_ended(address: str) -> bool:
    """Whether ``address`` refuses connections, as that of a crashed process does."""
    for pause_s in CONNECT_PAUSES_S:
        await asyncio.sleep(pause_s)
        if await try_address(address) is AddressState.REFUSED:
            return True
    return False
