"""Case 3: all entries lose power while a release ends; streams change their version."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES = 3
STREAMS = 12
EVENTS = 100
GAP_S = 0.07
TIME_LIMIT_S = 12.0
RELEASE_AT_S = 1.0
DRAINS_AT_S = 1.5
GONE_AFTER_S = 3.0
POWER_LOSS_AT_S = 4.0
DARK_S = 2.0
STREAMS_ALLOWED = 2
RETRIES = 4
RETRY_PAUSE_S = 1.5

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r-ask",
            "host": s.HOST,
            "pathPrefix": "/ask/",
            "kind": "stream",
            "timeoutMs": 12000,
            "goalMs": 300,
            "priority": 0,
            "service": "tutor",
            "maxAttempts": 2,
            "public": False,
            "affinity": True,
            "streamResume": True,
            "gapTargetMs": 250,
        }
    ],
    "services": [
        {
            "name": "tutor",
            "healthPath": "/health",
            "connLimit": 360,
            "engine": {"stride": 7},
        }
    ],
    "limits": {
        "headerBytes": 16384,
        "bodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "hule930", "apiKeys": ["key-1"], "prepaid": 100000000}],
}


class Play:
    def __init__(self, record: s.Record, entries: list[s.Entry]) -> None:
        self.record = record
        self.entries = entries
        self.versions: dict[str, str] = {}
        self.mixed = 0
        self.whole = 0

    async def answer(self, replica, got, writer) -> None:
        """Stream events that say which software version wrote them."""
        last = int(got.headers.get("last-event-id", 0))
        version = self.versions[replica.replica_id]
        self.record.write(
            f"{replica.replica_id} ({version}) runs {got.attempt_id} after event {last}"
        )
        writer.write(s.head("200 OK", got.attempt_id, None))
        for number in range(last + 1, EVENTS + 1):
            data = f"id: {number}\ndata: {version} piece {number}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(b"0\r\n\r\n")

    async def client(self, number: int) -> None:
        """Take a stream up again, at any entry, while there is time left."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + TIME_LIMIT_S
        first_id = f"stream-{number}-0"
        events: list[str] = []
        for attempt in range(1 + RETRIES):
            left_s = until_s - loop.time()
            if left_s <= 0.2:
                break
            attempt_id = f"stream-{number}-{attempt}"
            headers = {
                "X-Attempt-Id": attempt_id,
                "X-Model": "m",
                "X-Token-Count": f"300,{EVENTS * 7}",
                "X-Prompt-Prefix": f"5c1e07a2:100,91bd{number:04d}:200",
                "X-Deadline-Ms": str(int(left_s * 1_000)),
                "Authorization": "Bearer key-1",
            }
            if events:
                headers["Last-Event-Id"] = str(len(events))
                headers["Resumes"] = first_id
            else:
                first_id = attempt_id
            entry = self.entries[(number + attempt) % len(self.entries)]
            try:
                got = await s.request(
                    entry.front, "POST", "/ask/2f", headers, b"q", left_s
                )
            except OSError:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if got.status == 200:
                parts = got.body.split(b"\n\n")[:-1]
                events += [part.decode().split("data: ")[1] for part in parts]
            self.record.write(
                f"client {attempt_id}: status {got.status}, {len(events)} events so far"
            )
            if got.complete and got.status == 200:
                break
            pause_s = float(got.headers.get("retry-after", RETRY_PAUSE_S))
            await asyncio.sleep(pause_s)
        versions = {event.split()[0] for event in events}
        self.mixed += len(versions) > 1
        self.whole += len(events) == EVENTS
        self.record.write(
            f"stream {number}: {len(events)} events of {sorted(versions)}, "
            f"the first {events[:1]}, the last {events[-1:]}"
        )


async def release(play: Play, store: s.Store, old: list[s.Replica]) -> list[s.Replica]:
    """Replace the replicas: the new ones start first, the old ones drain and leave."""
    await asyncio.sleep(RELEASE_AT_S)
    new = [s.Replica(f"i-new-{i}", "tutor", play.answer) for i in range(2)]
    for replica in new:
        play.versions[replica.replica_id] = "v2"
        await replica.start()
        store.put_replica(replica.replica_id, replica.entry(version="v2"))
    play.record.write("the replicas of v2 are ready")
    await asyncio.sleep(DRAINS_AT_S - RELEASE_AT_S)
    for replica in old:
        store.put_replica(
            replica.replica_id, replica.entry(state="draining", sequence=2)
        )
    play.record.write("the replicas of v1 drain")
    await asyncio.sleep(GONE_AFTER_S)
    for replica in old:
        store.drop_replica(replica.replica_id)
        await replica.stop()
    play.record.write("the replicas of v1 are gone")
    return new


async def lose_power(play: Play) -> None:
    """All machines of the system lose power, and are back after ``DARK_S``."""
    await asyncio.sleep(POWER_LOSS_AT_S)
    for entry in play.entries:
        await entry.kill()
    play.record.write("all machines of the system lose power")
    await asyncio.sleep(DARK_S)
    for entry in play.entries:
        await entry.spawn()
    play.record.write("all machines of the system start")


async def main() -> int:
    record = s.Record(FOLDER)
    store = s.Store()
    await store.start()
    store.put_config(CONFIG)
    entries = [s.Entry(i, store.address) for i in range(ENTRIES)]
    play = Play(record, entries)
    old = [s.Replica(f"i-old-{i}", "tutor", play.answer) for i in range(2)]
    new: list[s.Replica] = []
    for replica in old:
        play.versions[replica.replica_id] = "v1"
        await replica.start()
        store.put_replica(replica.replica_id, replica.entry(version="v1"))
    try:
        await asyncio.gather(*(entry.start() for entry in entries))
        await asyncio.sleep(1.5)
        clients = [asyncio.create_task(play.client(i)) for i in range(STREAMS)]
        released = asyncio.create_task(release(play, store, old))
        if TROUBLE:
            await lose_power(play)
        new = await released
        await asyncio.gather(*clients)
        record.write(f"{play.mixed} of {STREAMS} streams hold events of two versions")
        return s.BROKEN if play.mixed > STREAMS_ALLOWED else s.HELD
    finally:
        for entry in entries:
            await entry.close()
        for replica in (*old, *new):
            await replica.stop()
        await store.stop()
        record.close()


if __name__ == "__main__":
    sys.exit(s.run_case(main))
