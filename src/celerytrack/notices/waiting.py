"""Requests that wait for an endpoint to open, the most urgent first."""

import asyncio
import heapq
import itertools

MAX_WAITING = 1_000
"""Most requests that wait, to bound memory."""

_Waiting = tuple[int, int, "asyncio.Future[None]"]


class OpeningQueue:
    """Requests of one service that wait until some endpoint opens."""

    def __init__(self) -> None:
        self._waiting: list[_Waiting] = []
        self._numbers = itertools.count()

    async def wait(self, priority: int, wait_s: float, at_most_s: float) -> bool:
        """Wait for an opening.

        Each waiting request has a timer that wakes the most urgent one, which looks
        for an endpoint and waits again if there is none. A timer is not cancelled with
        its request: another one may have been woken by the timer of the next.

        :param priority: 0 is the most urgent.
        :param wait_s: time until the next opening.
        :param at_most_s: longest time to wait while more urgent requests go first.
        :returns: whether there may be an endpoint now.
        """
        if len(self._waiting) >= MAX_WAITING:
            return False
        loop = asyncio.get_running_loop()
        future: asyncio.Future[None] = loop.create_future()
        item = (priority, next(self._numbers), future)
        heapq.heappush(self._waiting, item)
        loop.call_later(wait_s, self._wake_first)
        try:
            async with asyncio.timeout(at_most_s):
                await future
        except TimeoutError:
            return False
        finally:
            if item in self._waiting:
                self._waiting.remove(item)
                heapq.heapify(self._waiting)
        return True

    def _wake_first(self) -> None:
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
