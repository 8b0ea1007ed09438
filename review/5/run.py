"""Case 5: requests reach a replica later than drainMs after its entry was removed."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES = 4
ROUNDS = 12
CLIENTS = 8
DRAIN_S = 2.0
SERVES_ON_S = DRAIN_S + 0.06
WORK_S = 0.08
AWAY_S = 1.5
SETTLED_S = 3.2

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r-grade",
            "host": s.HOST,
            "pathPrefix": "/grade/",
            "kind": "non_idempotent",
            "timeoutMs": 600,
            "goalMs": 125,
            "priority": 2,
            "service": "classroom",
            "maxAttempts": 1,
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


class Play:
    """One replica after the other, and when each was confirmed to be gone."""

    def __init__(self, record: s.Record) -> None:
        self.record = record
        self.gone_at_s: dict[str, float] = {}
        self.late: list[float] = []
        self.late_ids: set[str] = set()
        self.late_outcomes: dict[int | None, int] = {}
        self.runs = 0

    async def answer(self, replica, got, writer) -> None:
        self.runs += 1
        gone_at_s = self.gone_at_s.get(replica.replica_id)
        if gone_at_s is not None:
            after_s = time.monotonic() - gone_at_s
            if after_s > DRAIN_S:
                self.late.append(after_s)
                self.late_ids.add(got.attempt_id)
                self.record.write(
                    f"{got.attempt_id} reaches {replica.replica_id} "
                    f"{after_s * 1_000:.0f} ms after its entry was removed"
                )
        await asyncio.sleep(WORK_S)
        writer.write(s.head("200 OK", got.attempt_id, 2) + b"ok")


async def send(
    entry: s.Entry, name: str, play: Play, counts: dict[int | None, int]
) -> None:
    for i in range(100_000):
        headers = {
            "X-Attempt-Id": f"{name}-{i}",
            "X-Deadline-Ms": "600",
            "Authorization": "Bearer key-1",
        }
        got = await s.request(entry.front, "POST", "/grade/2f", headers, b"q", 2.0)
        counts[got.status] = counts.get(got.status, 0) + 1
        if headers["X-Attempt-Id"] in play.late_ids:
            late = play.late_outcomes
            late[got.status] = late.get(got.status, 0) + 1
        await asyncio.sleep(0.2 if got.status == 503 else 0.005)


async def main() -> int:
    record = s.Record(FOLDER)
    store = s.Store()
    await store.start()
    store.put_config(CONFIG)
    play = Play(record)
    entries = [s.Entry(i, store.address) for i in range(ENTRIES)]
    replicas: list[s.Replica] = []
    tasks: list[asyncio.Task[None]] = []
    counts: dict[int | None, int] = {}

    async def add_replica() -> s.Replica:
        replica = s.Replica(f"i-{len(replicas)}", "classroom", play.answer)
        await replica.start()
        replicas.append(replica)
        store.put_replica(replica.replica_id, replica.entry())
        return replica

    try:
        current = await add_replica()
        await asyncio.gather(*(entry.start() for entry in entries))
        for number, entry in enumerate(entries):
            for client in range(CLIENTS):
                name = f"c{number}.{client}"
                tasks.append(asyncio.create_task(send(entry, name, play, counts)))
        await asyncio.sleep(SETTLED_S)
        for _ in range(ROUNDS):
            if not TROUBLE:
                await asyncio.sleep(SERVES_ON_S + AWAY_S + SETTLED_S)
                continue
            # It never says that it drains: its entry goes, and it serves on.
            store.drop_replica(current.replica_id)
            play.gone_at_s[current.replica_id] = time.monotonic()
            record.write(f"the entry of {current.replica_id} is removed")
            await asyncio.sleep(SERVES_ON_S)
            await current.stop()
            record.write(f"{current.replica_id} has ended")
            await asyncio.sleep(AWAY_S)
            current = await add_replica()
            record.write(f"{current.replica_id} is there")
            await asyncio.sleep(SETTLED_S)
        record.write(
            f"{play.runs} runs; {len(play.late)} reached a replica over "
            f"{DRAIN_S * 1_000:.0f} ms after its entry was removed, the last "
            f"{max(play.late, default=0) * 1_000:.0f} ms after, answered "
            f"{play.late_outcomes}; all answers {counts}"
        )
        if not counts.get(200):
            return s.COULD_NOT_RUN
        return s.BROKEN if play.late else s.HELD
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for entry in entries:
            await entry.close()
        for replica in replicas:
            await replica.stop()
        await store.stop()
        record.close()


if __name__ == "__main__":
    sys.exit(s.run_case(main))
