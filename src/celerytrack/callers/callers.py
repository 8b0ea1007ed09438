"""All that callers hold of one process."""

import asyncio
import collections
import logging
import time
from collections.abc import Callable

from celerytrack.callers.account import HoldKind, MemoryAccount
from celerytrack.callers.connections import ConnectionTable
from celerytrack.callers.limits import CallerLimits, CallerTimes
from celerytrack.events import Event, log_event

_log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 0.5
"""Interval at which what callers have taken is looked at."""
LOG_INTERVAL_S = 5.0
"""Least time between two lines about callers that were turned away."""
SHARES = {
    "front": 0.32,
    "peer": 0.08,
    "relay": 0.08,
    "directory": 0.06,
    "readiness": 0.05,
    "metrics": 0.02,
}
"""Shares of the descriptors for connections to the listening addresses. Each request
on the first three takes one more, for its endpoint: all of it is under the whole."""


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

    def table(self, name: str) -> ConnectionTable:
        """Make the table of the connections to a listening address.

        :param name: of the address in :data:`SHARES`.
        """
        most = self._limits.connections(SHARES[name])
        table = ConnectionTable(most, self.account, self._times)
        self.tables[name] = table
        return table

    async def run(self) -> None:
        """Look after holds and connections until cancelled."""
        logged = self._turned_away()
        logged_at_s = time.monotonic()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = time.monotonic()
            self.account.sweep(now_s, self._times().idle_s)
            for table in self.tables.values():
                table.sweep()
            counts = self._turned_away()
            if counts != logged and now_s - logged_at_s >= LOG_INTERVAL_S:
                self._log(counts - logged)
                logged, logged_at_s = counts, now_s

    def _turned_away(self) -> "collections.Counter[str]":
        counts: collections.Counter[str] = collections.Counter()
        for kind in HoldKind:
            name = kind.name.lower()
            counts[f"evicted_{name}"] = self.account.evictions[kind]
            counts[f"refused_{name}"] = self.account.refusals[kind]
        for name, table in self.tables.items():
            counts[f"closed_{name}"] = table.closed
            counts[f"refused_{name}"] = table.refused
            counts[f"given_up_{name}"] = table.given_up
        return counts

    def _log(self, turned_away: "collections.Counter[str]") -> None:
        log_event(
            _log,
            Event.CALLERS_TURNED_AWAY,
            logging.WARNING,
            held_bytes=self.account.total_bytes,
            budget_bytes=self.account.budget_bytes,
            connections={name: len(table) for name, table in self.tables.items()},
            counts=dict(turned_away),
        )
