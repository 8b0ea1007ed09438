"""Connections to endpoints' addresses that tell whether their processes ended."""

import asyncio
import math
import time

import attrs

from celerytrack.process_end import ConnectResult, probe_address

MAX_WAIT_S = 0.25
"""Longest time for which the end of an answer waits: a refusal comes within a few ms,
also where the connections that are accepted take long."""


@attrs.define
class _Probe:
    task: asyncio.Task[ConnectResult]
    began_s: float = math.inf


class EndProbes:
    """Probes of addresses that refuse connections if their process has ended.

    Many answers end at once with their process; they share one probe.
    """

    def __init__(self) -> None:
        self._probe_of: dict[str, _Probe] = {}

    async def refuses(self, address: str, ended_s: float) -> bool:
        """Whether an address refuses a connection that is made after ``ended_s``.

        It doesn't if there is no result in :data:`MAX_WAIT_S`.
        """
        until_s = time.monotonic() + MAX_WAIT_S
        while True:
            probe = self._probe_of.get(address) or self._begin(address)
            # A timeout that cancels would drop a result that is there if the loop is
            # late.
            left_s = max(0.0, until_s - time.monotonic())
            done, _ = await asyncio.wait([probe.task], timeout=left_s)
            if not done:
                return False
            # One that began before the answer ended may have been accepted before.
            refused = probe.task.result() is ConnectResult.REFUSED
            if refused or probe.began_s >= ended_s:
                return refused

    def _begin(self, address: str) -> _Probe:
        async def connect() -> ConnectResult:
            probe.began_s = time.monotonic()
            return await probe_address(address)

        probe = _Probe(asyncio.get_running_loop().create_task(connect()))
        self._probe_of[address] = probe
        probe.task.add_done_callback(lambda done: self._forget(address, probe))
        return probe

    def _forget(self, address: str, probe: _Probe) -> None:
        if self._probe_of.get(address) is probe:
            del self._probe_of[address]
