"""Callers that read resumable streams, leave some, and take broken ones up again."""

import asyncio
import itertools
import random
import time

import aiohttp
import attrs
import yarl

from tests.gateway_fleet import HOST, KEY, Fleet
from tests.versioned_endpoints import EVENTS

TAKE_UP_AFTER_S = 0.05
MAX_TRIES = 3
MAX_PLAY_S = 60.0
RETRY_AFTER_MAX_S = 1.0


@attrs.define
class Stream:
    """One stream over all tries of its caller.

    :ivar versions: of the events that the caller has.
    :ivar last: number of the last of them.
    :ivar wrong: events that came twice or out of order.
    :ivar first_id: the try that brought the first event.
    :ivar began: whether a first event came.
    :ivar refusals: bodies of the answers of entries that refused a try.
    :ivar trace: id, gateway, status and event numbers of each try.
    :ivar taken_up: tries that took the stream up.
    :ivar went_on: whether one of them brought an event.
    """

    number: int
    began_s: float
    versions: set[str] = attrs.field(factory=set)
    last: int = 0
    wrong: int = 0
    first_id: str | None = None
    began: bool = False
    taken_up: int = 0
    went_on: bool = False
    taken_up_s: float = 0.0
    refusals: list[str] = attrs.field(factory=list)
    trace: list[tuple[str, int, int, str]] = attrs.field(factory=list)

    @property
    def complete(self) -> bool:
        return self.last == EVENTS


@attrs.define
class StreamCallers:
    """Open-loop callers of a fleet's gateways.

    :ivar leaves_share: share of the callers that leave a stream in the middle and take
        it up at another gateway.
    :ivar tries: most tries of one stream.
    :ivar alive: the gateways that callers know.
    :ivar worst_lag_s: longest time by which the event loop was late.
    """

    fleet: Fleet
    rng: random.Random
    leaves_share: float = 0.0
    tries: int = MAX_TRIES
    streams: list[Stream] = attrs.field(factory=list)
    alive: list[int] = attrs.field(factory=list)
    worst_lag_s: float = 0.0
    _ids: "itertools.count[int]" = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.alive = list(range(len(self.fleet.gateways)))

    async def play(self, rate_per_s: float, lasts_s: float, least: int = 0) -> None:
        """Begin streams at a mean rate, then wait until all have ended.

        :param least: streams that are begun at least, however long it takes.
        """
        begun_s = time.monotonic()
        tasks: list[asyncio.Task[Stream]] = []
        while time.monotonic() < begun_s + lasts_s or len(tasks) < least:
            if time.monotonic() > begun_s + MAX_PLAY_S:
                break
            tasks.append(asyncio.create_task(self.read()))
            pause_s = self.rng.expovariate(rate_per_s)
            due_s = time.monotonic() + pause_s
            await asyncio.sleep(pause_s)
            self.worst_lag_s = max(self.worst_lag_s, time.monotonic() - due_s)
        await asyncio.gather(*tasks)

    async def read(self) -> Stream:
        """Read one stream, over several tries."""
        stream = Stream(next(self._ids), time.monotonic())
        self.streams.append(stream)
        leaves_after = None
        if self.rng.random() < self.leaves_share:
            leaves_after = self.rng.randint(1, EVENTS - 1)
        gateway = self.rng.choice(self.alive)
        for number in range(self.tries):
            taken_up = stream.began
            if taken_up and not stream.taken_up:
                stream.taken_up_s = time.monotonic()
            stream.taken_up += taken_up
            had = stream.last
            retry_after_s = await self._try(stream, number, gateway, leaves_after)
            leaves_after = None
            stream.went_on |= taken_up and stream.last > had
            if stream.complete:
                break
            await asyncio.sleep(max(TAKE_UP_AFTER_S, retry_after_s))
            others = [g for g in self.alive if g != gateway]
            gateway = self.rng.choice(others or self.alive)
        return stream

    async def _try(
        self, stream: Stream, number: int, gateway: int, leaves_after: int | None
    ) -> float:
        """One try; returns how long the gateway asks to wait."""
        request_id = f"s{stream.number}-{number}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "8000",
            "Authorization": f"Bearer {KEY}",
        }
        if stream.first_id is not None:
            headers["Last-Event-Id"] = str(stream.last)
            headers["Resumes"] = stream.first_id
        address = self.fleet.gateways[gateway].settings.front_address
        url = yarl.URL(f"http://{address}/resume/x")
        had, status = stream.last, 0
        try:
            async with self.fleet.http.post(
                url,
                data=f"body {stream.number}".encode(),
                headers=headers,
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            ) as response:
                status = response.status
                if status != 200:
                    stream.refusals.append((await response.read()).decode())
                    wait_s = float(response.headers.get("Retry-After", "0"))
                    return min(wait_s, RETRY_AFTER_MAX_S)
                await self._read_events(stream, request_id, response, leaves_after)
        except aiohttp.ClientError:
            pass
        finally:
            stream.trace.append((request_id, gateway, status, f"{had}-{stream.last}"))
        return 0.0

    async def _read_events(
        self,
        stream: Stream,
        request_id: str,
        response: aiohttp.ClientResponse,
        leaves_after: int | None,
    ) -> None:
        buffer = b""
        async for data in response.content.iter_any():
            *events, buffer = (buffer + data).split(b"\n\n")
            for event in events:
                number, version = _parse(event)
                stream.wrong += number != stream.last + 1
                stream.last = number
                stream.versions.add(version)
                if stream.first_id is None:
                    stream.first_id = request_id
                    stream.began = True
                if number == leaves_after:
                    response.close()
                    return

    @property
    def mixed(self) -> list[Stream]:
        """Streams with events of several versions."""
        return [s for s in self.streams if len(s.versions) > 1]

    def taken_up(self, from_s: float = 0.0, version: str | None = None) -> list[Stream]:
        """Streams that were taken up after a time, of one version if given."""
        return [
            s
            for s in self.streams
            if s.taken_up
            and s.taken_up_s >= from_s
            and (version is None or version in s.versions)
        ]

    def went_on_share(self, from_s: float = 0.0, version: str | None = None) -> float:
        """Share of the streams taken up that went on."""
        taken = self.taken_up(from_s, version)
        return sum(s.went_on for s in taken) / len(taken) if taken else 1.0

    def began_share(self, from_s: float = 0.0) -> float:
        """Share of the streams that began."""
        begun = [s for s in self.streams if s.began_s >= from_s]
        return sum(s.began for s in begun) / len(begun) if begun else 1.0


def _parse(event: bytes) -> tuple[int, str]:
    fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
    return int(fields["id"]), fields["data"]
