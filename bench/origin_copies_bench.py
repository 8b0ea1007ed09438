"""Bench: what copies of what began streams cost while nothing is released.

``python -m bench.origin_copies_bench [--entries 9,76,195,462] [--rates 0,5,39]
[--duration-s 10]`` runs the real keeping of origins on all entries, in modelled time.
Streams begin at each entry at the rates given. Each message is encoded, goes through a
socket on loopback, and is decoded. Figures are for one entry and second: datagrams sent
(as many are received), their bytes with headers of 28 B, and the processor time of all
that it does for origins. Last, the memory of an entry after a minute.
"""

import argparse
import gc
import random
import socket
import time
import tracemalloc
from collections.abc import Iterable

import msgpack

from celerytrack.ids import AccountId, EndpointId, EntryId, RequestId, ServiceName, Zone
from celerytrack.origins.memory import KEEP_S, StreamId
from celerytrack.origins.messages import (
    OriginMessage,
    encode_origin_message,
    origin_message_of,
)
from celerytrack.origins.origin import StreamOrigin
from celerytrack.origins.ring import Holder
from celerytrack.origins.sync import TICK_S, OriginSync

HEADER_BYTES = 28
"""Headers of IP and UDP."""
MAX_DATAGRAM_BYTES = 65_536
MAX_IN_SOCKET = 32
"""Most datagrams that wait in the socket, which drops them when it is full."""
ORIGIN = StreamOrigin(ServiceName("inference-large"), "2026.11.3")
ZONES = 8
STARTED_S = 1e9
WARM_UP_S = 3.0
MEMORY_ENTRIES = 9


class _OneVersion:
    """A service that has one version."""

    def has_versions(self, service: ServiceName, now_s: float) -> bool:
        return False

    def record_version(self, service: ServiceName, version: str, seen_s: float) -> None:
        """Nothing is to be recorded."""

    def origin_of_past(self, endpoint_id: EndpointId, at_s: float) -> None:
        return None

    def seen_versions(self) -> Iterable[tuple[ServiceName, str, float]]:
        return ()


class _Wire:
    """A socket that each datagram goes through, and what went."""

    def __init__(self) -> None:
        self.entries: dict[str, OriginSync] = {}
        self.now_s = 0.0
        self.datagrams = 0
        self.bytes_sent = 0
        self._waiting: list[str] = []
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))

    def send(self, address: str, message: OriginMessage) -> None:
        data = encode_origin_message(message)
        self.datagrams += 1
        self.bytes_sent += len(data) + HEADER_BYTES
        self._socket.sendto(data, self._socket.getsockname())
        self._waiting.append(address)
        if len(self._waiting) >= MAX_IN_SOCKET:
            self.deliver()

    def deliver(self) -> None:
        """Hand over what was sent."""
        waiting, self._waiting = self._waiting, []
        for address in waiting:
            data = self._socket.recv(MAX_DATAGRAM_BYTES)
            message = origin_message_of(msgpack.unpackb(data))
            self.entries[address].receive(message, self.now_s)

    def close(self) -> None:
        self._socket.close()


class _Fleet:
    """All entries, and the streams that begin at them."""

    def __init__(self, entries: int, wire: _Wire) -> None:
        self._wire = wire
        self._random = random.Random(entries)
        self._holders = [
            Holder(EntryId(f"gateway-{n}"), f"10.0.0.{n}:7000", STARTED_S, _zone(n))
            for n in range(entries)
        ]
        self._addresses = {h.entry_id: h.address for h in self._holders}
        wire.entries = {h.address: self._entry(h) for h in self._holders}

    def _entry(self, holder: Holder) -> OriginSync:
        return OriginSync(
            holder.entry_id,
            self._wire.send,
            lambda now_s: self._holders,
            self._addresses.get,
            _OneVersion(),
            STARTED_S,
            holder.zone,
        )

    def play(self, rate: float, from_s: float, duration_s: float) -> None:
        """Begin ``rate`` streams a second at each entry."""
        ticks = round(duration_s / TICK_S)
        for tick in range(ticks):
            self._wire.now_s = now_s = from_s + tick * TICK_S
            for entry in self._wire.entries.values():
                for _ in range(_count(rate * TICK_S, self._random)):
                    entry.record_began(self._stream(), ORIGIN, now_s)
                entry.tick(now_s)
            self._wire.deliver()

    def _stream(self) -> StreamId:
        number = self._random.getrandbits(128)
        return StreamId(AccountId("customer-4711"), RequestId(f"{number:032x}"))


def _zone(number: int) -> Zone:
    return Zone(f"zone-{number % ZONES}")


def _count(mean: float, random_: random.Random) -> int:
    return int(mean) + (random_.random() < mean % 1)


def _measure(entries: int, rate: float, duration_s: float) -> str:
    wire = _Wire()
    fleet = _Fleet(entries, wire)
    fleet.play(rate, 0.0, WARM_UP_S)
    datagrams, bytes_sent = wire.datagrams, wire.bytes_sent
    gc.collect()
    start_s = time.process_time()
    fleet.play(rate, WARM_UP_S, duration_s)
    used_s = time.process_time() - start_s
    wire.close()
    entry_seconds = entries * duration_s
    return (
        f"entries={entries} streams_per_s={rate:g} "
        f"datagrams_per_s={(wire.datagrams - datagrams) / entry_seconds:.1f} "
        f"bytes_per_s={(wire.bytes_sent - bytes_sent) / entry_seconds:.0f} "
        f"cpu_ms_per_s={1e3 * used_s / entry_seconds:.2f}"
    )


def _memory(entries: int, rate: float) -> str:
    tracemalloc.start()
    wire = _Wire()
    fleet = _Fleet(entries, wire)
    fleet.play(rate, 0.0, KEEP_S)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    wire.close()
    return (
        f"entries={entries} streams_per_s={rate:g} memory_kb={used / entries / 1e3:.0f}"
    )


def main() -> None:
    """Print a row for each size and rate."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", default="9,76,195,462")
    parser.add_argument("--rates", default="0,5,39")
    parser.add_argument("--duration-s", type=float, default=10.0)
    args = parser.parse_args()
    for entries in map(int, args.entries.split(",")):
        for rate in map(float, args.rates.split(",")):
            print(_measure(entries, rate, args.duration_s), flush=True)
    for rate in map(float, args.rates.split(",")):
        print(_memory(MEMORY_ENTRIES, rate), flush=True)


if __name__ == "__main__":
    main()
