"""A modelled instance and the entry process on it."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any, TypeVar

from celerytrack.eras import EraTracker
from celerytrack.gateway.hedged_store import HedgedStore
from celerytrack.gateway.peer_requests import PEER_REQUEST_TIMEOUT_S
from celerytrack.gateway.reservations import Reservations
from celerytrack.gateway.share_sync import ShareSync
from celerytrack.ids import AccountId, EntryId, Zone
from celerytrack.lab.model_log import ModelLog, ModelStore
from celerytrack.lab.virtual_time import Clock, on_instance
from celerytrack.prepaid import AccountClaim

PEER_ROUND_TRIP_S = 0.001
"""Round trip between two entries."""
START_S = 0.15
"""Time from the start of a process to its first call."""
MAX_BOOT_MONOTONIC_S = 50_000.0
"""Upper bound of the random monotonic clock reading after a restart of an instance."""
_PORT = 7_340
_T = TypeVar("_T")


def address_of(number: int) -> str:
    """The address of the entry with a number."""
    return f"10.0.{number >> 8}.{number & 255}:{_PORT}"


def number_at(address: str) -> int:
    """The number of the entry at an address."""
    high, low = address.partition(":")[0].split(".")[2:]
    return int(high) * 256 + int(low)


class _PeerClient:
    """Sends peer requests to modelled entries."""

    def __init__(self, me: "ModelEntry", fleet: Sequence["ModelEntry"]) -> None:
        self._me = me
        self._fleet = fleet

    async def request_transfer(
        self, address: str, account: AccountId, tokens: int
    ) -> int:
        """Tokens that the entry at ``address`` transferred."""
        other = self._fleet[number_at(address)]
        if self._me.partitioned or other.partitioned or other.reservations is None:
            await asyncio.sleep(PEER_REQUEST_TIMEOUT_S)
            return 0
        await asyncio.sleep(PEER_ROUND_TRIP_S)
        transfer = on_instance(
            other.clock, other.reservations.transfer(account, tokens)
        )
        return await transfer

    async def fetch_row(
        self, address: str, entry_id: EntryId
    ) -> Mapping[AccountId, AccountClaim]:
        """The row of ``entry_id`` as the entry at ``address`` knows it."""
        other = self._fleet[number_at(address)]
        if self._me.partitioned or other.partitioned or other.share_sync is None:
            await asyncio.sleep(PEER_REQUEST_TIMEOUT_S)
            return {}
        await asyncio.sleep(PEER_ROUND_TRIP_S)
        return other.share_sync.budgets.restore_hold.known_row(entry_id)


class ModelEntry:
    """A modelled instance and the entry process on it.

    :param number: its index in the fleet.
    :param totals: returns the total of each account.
    :param fleet: all entries, including this one.
    :param link_mbps: capacity of its link; 0 if unknown.
    :ivar partitioned: whether it is partitioned from all other entries.
    :ivar reservations: serves callers' requests; ``None`` while it does not serve.
    """

    def __init__(
        self,
        number: int,
        log: ModelLog,
        totals: Callable[[], Mapping[AccountId, int]],
        fleet: Sequence["ModelEntry"],
        link_mbps: float = 0.0,
    ) -> None:
        self.number = number
        self.partitioned = False
        self.clock = Clock()
        self.store = ModelStore(log)
        self.reservations: Reservations | None = None
        self.share_sync: ShareSync | None = None
        self._totals = totals
        self._fleet = fleet
        self._link_mbps = link_mbps
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Start a new process and wait until it serves."""
        loop = asyncio.get_running_loop()
        self.store.eras = eras = EraTracker()
        share_sync = ShareSync(
            HedgedStore(self.store),
            EntryId(f"e{self.number}"),
            address_of(self.number),
            address_of(self.number),
            Zone("z"),
            _PeerClient(self, self._fleet),  # type: ignore[arg-type]
            loop.time() + self.clock.monotonic_ahead_s,
            self._link_mbps,
            eras,
        )
        self.share_sync = share_sync
        await asyncio.sleep(START_S)
        share_sync.budgets.set_totals(self._totals())
        self.spawn(share_sync.run())
        while not share_sync.started:
            await asyncio.sleep(0.01)
        self.reservations = share_sync.reservations

    def spawn(self, coro: Coroutine[Any, Any, _T]) -> "asyncio.Task[_T]":
        """Run ``coro`` on this instance until it ends or the instance does."""
        task = on_instance(self.clock, coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def lose_power(self, rng: random.Random) -> None:
        """End the process and reset the monotonic clock to a random reading."""
        for task in list(self._tasks):
            task.cancel()
        self.reservations = self.share_sync = None
        self.clock = Clock(monotonic_ahead_s=rng.uniform(0, MAX_BOOT_MONOTONIC_S))
