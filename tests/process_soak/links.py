"""Links of entries to the log and to each other that can go silent.

Each entry reads the log through a proxy of its own, and finds in the rows of the others
the addresses of proxies that lead to them. What is silent hangs: nothing is refused or
reset. Datagrams are lost.
"""

import asyncio
import contextlib
from collections.abc import Collection

import attrs
import msgpack
from aiohttp import web

from celerytrack.platform.topics import ENTRIES_TOPIC
from tests.gateway_fleet import free_port
from tests.keyed_log import KeyedLog
from tests.process_soak.proxy import Proxy

HOST = "127.0.0.1"
_PEER_ADDRESS = 2
"""Place of the peer address in a row."""


@attrs.frozen
class Cut:
    """Entries that are cut off together; they still reach each other.

    :ivar numbers: of the entries, from 0.
    :ivar log: whether they don't reach the log.
    :ivar peers: whether they and the other entries don't reach each other.
    """

    numbers: frozenset[int]
    log: bool = True
    peers: bool = True


def is_log_silent(cuts: Collection[Cut], number: int) -> bool:
    """Whether the link of an entry to the log is silent."""
    return any(cut.log and number in cut.numbers for cut in cuts)


def are_peers_silent(cuts: Collection[Cut], one: int, other: int) -> bool:
    """Whether the links between two entries are silent."""
    return any(
        cut.peers and (one in cut.numbers) is not (other in cut.numbers) for cut in cuts
    )


class PeerLink(asyncio.DatagramProtocol):
    """Carries datagrams and connections of one entry to another.

    :param target: address of the other entry.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._proxy = Proxy(free_port(), target[1], target[0])
        self._transport: asyncio.DatagramTransport | None = None
        self._silent = False

    @property
    def address(self) -> str:
        """Where the entry reaches the other one."""
        return f"{HOST}:{self._proxy.port}"

    async def start(self) -> None:
        """Listen."""
        await self._proxy.start()
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(HOST, self._proxy.port)
        )

    async def close(self) -> None:
        """End all connections."""
        if self._transport is not None:
            self._transport.close()
        await self._proxy.close()

    def set_silent(self, silent: bool) -> None:
        """Lose datagrams and hold connections back, or carry them."""
        self._silent = silent
        self._proxy.set_silent(silent)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Carry a datagram."""
        if not self._silent and self._transport is not None:
            self._transport.sendto(data, self._target)


def node_of(key: str) -> str:
    """The node of an entry, by the key of its row."""
    return key.partition("@")[0]


def with_peer_address(row: bytes, address: str) -> bytes:
    """The row of an entry with another peer address."""
    fields = msgpack.unpackb(row)
    fields[_PEER_ADDRESS] = address
    return bytes(msgpack.packb(fields))


class Links:
    """All links of the entries.

    :param peers: name and peer address of each entry.
    :ivar store_addresses: where each entry reaches the log.
    """

    def __init__(self, log: KeyedLog, peers: list[tuple[str, tuple[str, int]]]) -> None:
        self.store_addresses: list[str] = []
        self._log = log
        self._names = [name for name, _ in peers]
        self._log_links: list[Proxy] = []
        self._peer_links = {
            (one, other): PeerLink(address)
            for one in range(len(peers))
            for other, (_, address) in enumerate(peers)
            if other != one
        }
        self._cuts: list[Cut] = []

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Open all links; the stack closes them."""
        for link in self._peer_links.values():
            stack.push_async_callback(link.close)
            await link.start()
        for number in range(len(self._names)):
            await self._start_log_link(number, stack)

    async def _start_log_link(
        self, number: int, stack: contextlib.AsyncExitStack
    ) -> None:
        def view(topic: str, key: str, value: bytes) -> bytes:
            if topic != ENTRIES_TOPIC or not value:
                return value
            other = self._names.index(node_of(key))
            if other == number:
                return value
            return with_peer_address(value, self._peer_links[number, other].address)

        app = self._log.make_app(view)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        port = free_port()
        await web.TCPSite(runner, HOST, port).start()
        proxy = Proxy(free_port(), port)
        stack.push_async_callback(proxy.close)
        await proxy.start()
        self._log_links.append(proxy)
        self.store_addresses.append(f"{HOST}:{proxy.port}")

    def begin(self, cut: Cut) -> None:
        """Cut entries off."""
        self._cuts.append(cut)
        self._apply()

    def end(self, cut: Cut) -> None:
        """Bring entries back that :meth:`begin` cut off."""
        self._cuts.remove(cut)
        self._apply()

    def _apply(self) -> None:
        for number, proxy in enumerate(self._log_links):
            proxy.set_silent(is_log_silent(self._cuts, number))
        for (one, other), link in self._peer_links.items():
            link.set_silent(are_peers_silent(self._cuts, one, other))

    def is_in_touch(self, number: int) -> bool:
        """Whether an entry is not cut off."""
        return not any(number in cut.numbers for cut in self._cuts)
