"""Case 2: a stream whose connection is reset goes on at a replica that answers 500."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 24
EVENTS = 20
GAP_S = 0.1

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r-ask",
            "host": s.HOST,
            "pathPrefix": "/ask/",
            "kind": "stream",
            "timeoutMs": 10000,
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


class Model:
    """The replicas stream; the grey one answers 500 to two requests in five."""

    def __init__(self, record: s.Record) -> None:
        self._record = record
        self._grey_requests = 0

    async def answer(self, replica, got, writer) -> None:
        last = got.headers.get("last-event-id")
        self._record.write(
            f"replica {replica.replica_id} runs {got.attempt_id}, Last-Event-Id {last}"
        )
        if replica.replica_id == "i-grey" and self._fails():
            body = b"error"
            writer.write(
                s.head("500 Internal Server Error", got.attempt_id, len(body)) + body
            )
            self._record.write(
                f"replica {replica.replica_id} answers 500 to {got.attempt_id}"
            )
            return
        writer.write(s.head("200 OK", got.attempt_id, None))
        for number in range(int(last or 0) + 1, EVENTS + 1):
            writer.write(s.event(number))
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(b"0\r\n\r\n")

    def _fails(self) -> bool:
        self._grey_requests += 1
        return self._grey_requests % 5 in (2, 4)


async def client(entry: s.Entry, number: int, record: s.Record) -> s.Answer:
    headers = {
        "X-Attempt-Id": f"attempt-{number:04d}",
        "X-Model": "m",
        "X-Token-Count": "300,200",
        "X-Prompt-Prefix": f"5c1e07a2:100,91bd{number:04d}:200",
        "X-Deadline-Ms": "10000",
        "Authorization": "Bearer key-1",
    }
    answer = await s.request(entry.front, "POST", "/ask/2f", headers, b"question", 12.0)
    record.write(
        f"client {headers['X-Attempt-Id']}: status {answer.status}, "
        f"{answer.body.count(b'id: ')} events, complete {answer.complete}, "
        f"invalid {answer.invalid or 'nothing'}"
    )
    return answer


async def main() -> int:
    record = s.Record(FOLDER)
    store = s.Store()
    await store.start()
    model = Model(record)
    replicas = [
        s.Replica(name, "tutor", model.answer) for name in ("i-sound", "i-grey")
    ]
    proxies = []
    store.put_config(CONFIG)
    for replica in replicas:
        await replica.start()
        proxy = s.Proxy(replica.address)
        await proxy.start()
        proxies.append(proxy)
        store.put_replica(replica.replica_id, replica.entry(proxy.address))
    entry = s.Entry(1, store.address)
    try:
        await entry.start()
        answers: list[s.Answer] = []
        for round_number in range(3):
            first = round_number * STREAMS
            clients = [
                asyncio.create_task(client(entry, first + i, record))
                for i in range(STREAMS)
            ]
            await asyncio.sleep(0.7)
            if TROUBLE:
                count = sum(proxy.reset_all() for proxy in proxies)
                record.write(f"the proxy resets {count} connections")
            answers += await asyncio.gather(*clients)
            await asyncio.sleep(6.0)
        invalid = [answer.invalid for answer in answers if answer.invalid]
        whole = sum(answer.complete and answer.status == 200 for answer in answers)
        record.write(
            f"{len(answers)} streams, {whole} whole, {len(invalid)} unreadable"
        )
        if not TROUBLE and whole == 0:
            return s.COULD_NOT_RUN
        return s.BROKEN if invalid else s.HELD
    finally:
        await entry.close()
        for part in (*proxies, *replicas):
            await part.stop()
        await store.stop()
        record.close()


if __name__ == "__main__":
    sys.exit(s.run_case(main))
