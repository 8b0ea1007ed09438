"""Cuts entries of a test fleet off from the log, and from the datagrams of others.

Endpoints and callers reach them all the time. What is cut goes silent: nothing is
refused, no connection is reset.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import Any

import attrs
from returns.result import Failure, Result

from celerytrack.gateway.state import Gateway
from celerytrack.platform.store import CALL_TIMEOUT_S, StoreError, StoreErrorKind
from tests.gateway_fleet import Fleet


@attrs.frozen
class Isolation:
    """What entries are cut off from.

    :ivar log: the platform's log.
    :ivar datagrams: the messages of the entries that are not cut off with them.
    """

    log: bool = True
    datagrams: bool = True


def isolate(
    fleet: Fleet, numbers: Collection[int], isolation: Isolation
) -> Callable[[], None]:
    """Cut the gateways with ``numbers`` off, together; the result brings them back."""
    restores: list[Callable[[], None]] = []
    if isolation.log:
        restores += [_silence_log(fleet.gateways[n]) for n in numbers]
    if isolation.datagrams:
        inside = {fleet.gateways[n].settings.peer_address for n in numbers}
        restores += [_silence_datagrams(g, inside) for g in fleet.gateways]

    def restore() -> None:
        for undo in restores:
            undo()

    return restore


def _silence_log(gateway: Gateway) -> Callable[[], None]:
    client: Any = gateway.store._store
    call: Callable[..., Awaitable[Result[bytes, StoreError]]] = client._call
    is_cut = True

    async def call_over_cut_link(
        *args: Any, extra_s: float = 0.0, **more: Any
    ) -> Result[bytes, StoreError]:
        if not is_cut:
            return await call(*args, extra_s=extra_s, **more)
        await asyncio.sleep(CALL_TIMEOUT_S + extra_s)
        return Failure(StoreError(StoreErrorKind.UNREACHABLE, "silent"))

    def restore() -> None:
        nonlocal is_cut
        is_cut = False

    client._call = call_over_cut_link
    return restore


def _silence_datagrams(
    gateway: Gateway, inside: Collection[str | None]
) -> Callable[[], None]:
    messenger: Any = gateway.peer_messenger
    send: Callable[[Iterable[str], bytes], None] = messenger.send
    is_inside = gateway.settings.peer_address in inside

    def send_on_own_side(addresses: Iterable[str], data: bytes) -> None:
        send([a for a in addresses if (a in inside) is is_inside], data)

    def restore() -> None:
        del messenger.send

    messenger.send = send_on_own_side
    return restore
