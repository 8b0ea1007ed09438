"""Case 1: an entry of another writer in the list of replicas ends every process."""

import asyncio
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES = 3
PLAYED_S = 60.0
CHECK_IN_S = 1.2
RESTART_DELAY_S = 0.5
ENDS_ALLOWED = 2
MACHINES_ALLOWED = 1

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r-seat",
            "host": s.HOST,
            "pathPrefix": "/seat/",
            "kind": "idempotent",
            "timeoutMs": 2000,
            "goalMs": 125,
            "priority": 2,
            "service": "classroom",
            "maxAttempts": 2,
            "public": False,
        }
    ],
    "services": [{"name": "classroom", "healthPath": "/health", "connLimit": 96}],
    "limits": {
        "headerBytes": 16384,
        "bodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "hule930", "apiKeys": ["key-1"]}],
}
LAST_VERSION = b"2026.2-\xed\xa0\xbd" if TROUBLE else b"2026.2-x"
"""The bytes at the end of the first aren't UTF-8: they are half a character."""


async def answer(replica, got, writer) -> None:
    writer.write(s.head("200 OK", got.attempt_id, 2) + b"ok")


async def write_foreign_entries(store: s.Store, record: s.Record) -> None:
    """Check in as two entries of a service that no config names."""
    for sequence in range(1, 1_000):
        for name, version in (("x-1", b"2026.1"), ("x-2", LAST_VERSION)):
            entry = {
                "service": "not-ours",
                "address": "127.0.0.1:9",
                "zone": "nasr-hall",
                "version": "VERSION",
                "slots": 1,
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": sequence,
            }
            raw = json.dumps(entry).encode().replace(b"VERSION", version)
            store.log.put("keyed.servers", name, raw)
            if sequence == 1:
                record.write(f"another writer puts servers/{name}: {raw!r}")
        await asyncio.sleep(CHECK_IN_S)


async def supervise(
    entry: s.Entry, number: int, ends: list[int], record: s.Record
) -> None:
    """Start a process again after its end, as the platform does."""
    while True:
        status = await entry.wait()
        ends[number] += 1
        reason = [
            line
            for line in entry.log_path.read_text().splitlines()
            if "stopping" in line
        ]
        record.write(
            f"machine {number}: its process ends by itself with {status}: {reason[-1:]}"
        )
        await asyncio.sleep(RESTART_DELAY_S)
        await entry.spawn()


async def send(
    entry: s.Entry, number: int, counts: dict[str, int], record: s.Record
) -> None:
    for i in range(1_000):
        headers = {
            "X-Attempt-Id": f"a-{number}-{i}",
            "X-Deadline-Ms": "1500",
            "Authorization": "Bearer key-1",
        }
        try:
            got = await s.request(
                entry.front, "GET", "/seat/2f", headers, timeout_s=2.0
            )
            outcome = str(got.status)
        except OSError as exc:
            outcome = type(exc).__name__
        counts[outcome] = counts.get(outcome, 0) + 1
        record.write(f"client {headers['X-Attempt-Id']} at machine {number}: {outcome}")
        await asyncio.sleep(0.2)


def is_broken(ends: list[int]) -> bool:
    """Whether processes ended by themselves three times on two machines or more."""
    return sum(count > ENDS_ALLOWED for count in ends) > MACHINES_ALLOWED


async def main() -> int:
    record = s.Record(FOLDER)
    store = s.Store()
    await store.start()
    store.put_config(CONFIG)
    replica = s.Replica("i-1", "classroom", answer)
    await replica.start()
    store.put_replica("i-1", replica.entry())
    entries = [s.Entry(i, store.address) for i in range(ENTRIES)]
    tasks: list[asyncio.Task[None]] = []
    try:
        await asyncio.gather(*(entry.start() for entry in entries))
        ends = [0] * ENTRIES
        counts: dict[str, int] = {}
        for i, entry in enumerate(entries):
            tasks.append(asyncio.create_task(supervise(entry, i, ends, record)))
            tasks.append(asyncio.create_task(send(entry, i, counts, record)))
        await asyncio.sleep(4.0)
        tasks.append(asyncio.create_task(write_foreign_entries(store, record)))
        until_s = time.monotonic() + PLAYED_S
        while time.monotonic() < until_s and not is_broken(ends):
            await asyncio.sleep(0.2)
        record.write(f"ends by themselves, by machine: {ends}; answers: {counts}")
        if not counts.get("200"):
            return s.COULD_NOT_RUN
        return s.BROKEN if is_broken(ends) else s.HELD
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for entry in entries:
            await entry.close()
        await replica.stop()
        await store.stop()
        record.close()


if __name__ == "__main__":
    sys.exit(s.run_case(main))
