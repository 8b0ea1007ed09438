"""Whether a back end's process has ended, by what its address does with connections."""

import asyncio
import enum

CONNECT_TIMEOUT_S = 0.5
"""Longest wait for a connection: within a region it takes a few ms, so this
means that the instance is dark."""
CONNECT_PAUSES_S = (0.0, 0.25)
"""When the address is tried: a process that ends may take the connections of others
a moment longer."""
ENDING_KNOWN_S = sum(CONNECT_PAUSES_S) + CONNECT_TIMEOUT_S * len(CONNECT_PAUSES_S)
"""Within it an ended process is known as such."""


class AddressState(enum.Enum):
    """What came of a connection to an address."""

    TAKEN = "taken"
    REFUSED = "refused"
    SILENT = "silent"


async def try_address(address: str) -> AddressState:
    """Connect to ``address`` and close the connection again."""
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
    """Whether the process at ``address`` takes no connections any more."""
    for pause_s in CONNECT_PAUSES_S:
        await asyncio.sleep(pause_s)
        if await try_address(address) is AddressState.REFUSED:
            return True
    return False
