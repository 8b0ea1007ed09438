"""One modelled instance and the entry process on it."""

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

PEER_S = 0.001
"""Way from entry to entry and back."""
START_S = 0.15
"""Time a process takes from its start to its first call."""
BOOT_STEADY_S = 50_000.0
"""A steady clock after a new start of its instance is elsewhere at random, within
this."""
_T = TypeVar("_T")


class _Gifts:
    """Asks modelled entries for tokens."""

    def __init__(self, me: "ModelEntry", fleet: Sequence["ModelEntry"]) -> None:
        self._me = me
        self._fleet = fleet

    async def request_transfer(
        self, address: str, account: AccountId, tokens: int
    ) -> int:
        """What the entry at ``address``, its number, gave."""
        other = self._fleet[int(address)]
        if self._me.apart or other.apart or other.reservations is None:
            await asyncio.sleep(PEER_REQUEST_TIMEOUT_S)
            return 0
        await asyncio.sleep(PEER_S)
        giving = on_instance(other.clock, other.reservations.transfer(account, tokens))
        return await giving

    async def fetch_row(
        self, address: str, me: EntryId
    ) -> Mapping[AccountId, AccountClaim]:
        """What the entry at ``address`` knows of the row of ``me``."""
        other = self._fleet[int(address)]
        if self._me.apart or other.apart or other.keeper is None:
            await asyncio.sleep(PEER_REQUEST_TIMEOUT_S)
            return {}
        await asyncio.sleep(PEER_S)
        return other.keeper.budgets.restore_hold.known_row(me)


class ModelEntry:
    """One modelled instance and the process on it.

    :param number: its place in the fleet.
    :param totals: the total of each account.
    :param fleet: all entries, this one included.
    :param link_mbps: what its link carries; 0 if it is not told.
    :ivar apart: no other entry reaches it, and it reaches none.
    :ivar reservations: what callers ask; ``None`` while it does not serve.
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
        self.apart = False
        self.clock = Clock()
        self.store = ModelStore(log)
        self.reservations: Reservations | None = None
        self.keeper: ShareSync | None = None
        self._totals = totals
        self._fleet = fleet
        self._link_mbps = link_mbps
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Start the process anew and wait until it serves."""
        loop = asyncio.get_running_loop()
        self.store.eras = eras = EraTracker()
        keeper = ShareSync(
            HedgedStore(self.store),
            EntryId(f"e{self.number}"),
            str(self.number),
            str(self.number),
            Zone("z"),
            _Gifts(self, self._fleet),  # type: ignore[arg-type]
            loop.time() + self.clock.steady_ahead_s,
            self._link_mbps,
            eras,
        )
        self.keeper = keeper
        await asyncio.sleep(START_S)
        keeper.budgets.set_totals(self._totals())
        self.keep(keeper.run())
        while not keeper.started:
            await asyncio.sleep(0.01)
        self.reservations = keeper.reservations

    def keep(self, coro: Coroutine[Any, Any, _T]) -> "asyncio.Task[_T]":
        """Run ``coro`` on this instance until it ends or the instance does."""
        task = on_instance(self.clock, coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def lose_power(self, rng: random.Random) -> None:
        """End the process; the steady clock begins elsewhere."""
        for task in list(self._tasks):
            task.cancel()
        self.reservations = self.keeper = None
        self.clock = Clock(steady_ahead_s=rng.uniform(0, BOOT_STEADY_S))
