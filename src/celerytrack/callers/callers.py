"""All that callers hold of one process."""

import asyncio
import time
from collections.abc import Callable

from celerytrack.callers.account import MemoryAccount
from celerytrack.callers.connections import ConnectionTable
from celerytrack.callers.limits import CallerLimits, CallerTimes

SWEEP_INTERVAL_S = 0.5
"""Interval at which what callers have taken is looked at."""
FRONT_SHARE = 0.45
"""Share of the descriptors for callers' connections. Each request takes one more for
its endpoint, and the log, other entries and probes take theirs."""


class Callers:
    """The account of callers' bytes, and their connections.

    :param times: returns how long callers may take.
    """

    def __init__(
        self, limits: CallerLimits, times: Callable[[], CallerTimes] = CallerTimes
    ) -> None:
        self.account = MemoryAccount(limits.memory_bytes)
        self.tables: dict[str, ConnectionTable] = {}
        self._limits = limits
        self._times = times

    def table(self, name: str, share: float) -> ConnectionTable:
        """Make the table of the connections to a listening address.

        :param name: of the address, for metrics.
        :param share: of the process's descriptors.
        """
        most = self._limits.connections(share)
        table = ConnectionTable(most, self.account, self._times)
        self.tables[name] = table
        return table

    async def run(self) -> None:
        """Look after holds and connections until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.account.sweep(time.monotonic(), self._times().idle_s)
            for table in self.tables.values():
                table.sweep()
