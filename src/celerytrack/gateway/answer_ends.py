"""Whether the end of an endpoint's answer is the end of its body."""

import asyncio

import aiohttp


def protocol_of(response: aiohttp.ClientResponse) -> asyncio.BaseProtocol | None:
    connection = response.connection
    """The protocol of an answer's connection, while it has one."""
    return None if connection is None else connection.protocol


def was_reset(
    response: aiohttp.ClientResponse, protocol: asyncio.BaseProtocol | None
) -> bool:
    """Whether a connection reset ended an answer that has no explicit length.

    aiohttp takes any end of the connection as the end of such an answer, so a reset
    would make a truncated answer look complete.
    """
    has_length = (
        "Content-Length" in response.headers or "Transfer-Encoding" in response.headers
    )
    if has_length or protocol is None:
        return False
    exception = getattr(protocol, "exception", lambda: None)()
    return isinstance(exception, aiohttp.ClientOSError)
