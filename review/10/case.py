"""Streams that are taken up are refused: a machine is lost as a release begins."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import parts_2 as parts  # noqa: E402

ENTRIES = 6
TOKENS = (300, 1200)
"""Input and most output tokens of each stream."""
STREAMS = 20
DARK_S = 3.5
"""Time for which the machine has no power."""
RELEASE_AFTER_S = 0.5
"""From the loss of power until the first replica of the new version is ready."""
GAP_S = 3.2
"""Gap after which a client leaves a stream: four times the objective."""


class Engine(parts.Engine):
    """Names its software version in each event."""

    pause_s = 0.1

    async def run(self, request_id, first, headers, body, writer):
        version = self.fields["version"]
        tokens = int(headers["x-token-count"].split(",")[1])
        after = int(headers.get("last-event-id") or 0)
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Response-Seal: seal.{request_id}\r\nX-Weight-Versions: 1\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(after + self.stride, tokens + 1, self.stride):
            event = f"id: {number}\ndata: {version} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")


class Link(parts.Link):
    """The link of the machine that loses power; it ends with the script."""

    async def _serve(self, reader, writer):
        try:
            await super()._serve(reader, writer)
        except asyncio.CancelledError:
            writer.transport.abort()


async def case(record, trouble):
    network = parts.free_network()
    store = parts.Store(record)
    await store.start(f"{network}.1")
    services = [
        {
            "name": "llm",
            "connLimit": 360,
            "healthPath": "/health",
            "engine": {"stride": Engine.stride},
        }
    ]
    routes = [
        parts.route(
            "/draft/",
            "stream",
            "llm",
            affinity=True,
            streamResume=True,
            gapTargetMs=250,
        )
    ]
    store.put("keyed.op", "config", parts.config(1, services, routes))
    engines = []
    for number in range(4):
        engine = Engine(record, store, "llm", f"i-{number + 1}")
        engines.append(engine)
    for number, engine in enumerate(engines[:3]):
        await engine.start(f"{network}.{20 + number}")
    entries = [
        parts.Entry(record, n + 1, f"{network}.{40 + n}", store.address)
        for n in range(ENTRIES)
    ]
    lost, others = entries[0], entries[1:]
    callers = parts.Callers(record)
    link = None
    try:
        await asyncio.gather(*(entry.start() for entry in entries))
        link = Link(lost.front)
        await link.start(f"{network}.60")
        ip, port = link.address.split(":")
        front = (ip, int(port))
        await asyncio.sleep(4.0)
        streams = []
        for number in range(STREAMS):
            streams.append(asyncio.create_task(first_try(record, front, number)))
            await asyncio.sleep(0.03)
        await asyncio.sleep(1.5)
        if trouble:
            record.line(f"the machine of {lost.name} loses power")
            link.cut()
            lost.signal(signal.SIGKILL)
            await lost.ended(5.0)
        await asyncio.sleep(RELEASE_AFTER_S)
        new = engines[3]
        new.fields["version"] = "v2"
        await new.start(f"{network}.23")
        record.line("the release begins: i-4 is ready as v2, i-1 drains")
        engines[0].fields["state"] = "draining"
        engines[0].register()
        back = asyncio.create_task(come_back(lost, link)) if trouble else None
        results = await asyncio.gather(*streams)
        taken, goes_on = 0, 0
        again = []
        for number, (request_id, last, is_whole) in enumerate(results):
            if is_whole or not last:
                continue
            taken += 1
            entry = others[number % len(others)]
            again.append(take_up(callers, entry, request_id, last))
        fresh = [begin(callers, others[n % len(others)]) for n in range(STREAMS)]
        outcome = await asyncio.gather(*again, *fresh)
        goes_on, begun = sum(outcome[:taken]), sum(outcome[taken:])
        record.line(f"{goes_on} of {taken} taken up go on, {begun} of {STREAMS} begin")
        if back is not None:
            await back
        if trouble and taken < 12:
            raise parts.CannotRunError("too few streams")
        return taken >= 12 and goes_on / taken < begun / STREAMS / 2
    finally:
        await asyncio.gather(*(entry.close() for entry in entries))
        if link is not None:
            link.close()
        for engine in engines:
            if hasattr(engine, "_server"):
                engine.close()
        store.close()


async def come_back(lost, link):
    await asyncio.sleep(DARK_S - RELEASE_AFTER_S)
    await lost.start()


async def first_try(record, front, number):
    """The first try of a stream: its id, the last event, whether it came whole."""
    request_id = f"{os.getpid():x}first{number:03x}"
    lines = (
        "POST /draft/x HTTP/1.1",
        f"Host: {parts.HOST}",
        f"X-Attempt-Id: {request_id}",
        "X-Deadline-Ms: 12000",
        f"Authorization: Bearer {parts.KEY}",
        "X-Model: m",
        f"X-Token-Count: {TOKENS[0]},{TOKENS[1]}",
        f"X-Prompt-Prefix: {0xF0000 + number:x}:{TOKENS[0]}",
        "Content-Length: 0",
    )
    last, is_whole = 0, False
    reader, writer = await asyncio.open_connection(*front)
    try:
        writer.write("\r\n".join((*lines, "", "")).encode())
        record.line(f"{request_id} /draft/x sent to front-1")
        await parts.read_head(reader)
        while True:
            size = int(await asyncio.wait_for(reader.readline(), GAP_S), 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                is_whole = True
                break
            for line in data.split(b"\n"):
                if line.startswith(b"id: "):
                    last = int(line[4:])
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        writer.close()
    record.line(f"{request_id} got events up to {last}, whole: {is_whole}")
    return request_id, last, is_whole


async def take_up(callers, entry, first, last):
    more = {"Last-Event-Id": str(last), "Resumes": first}
    _, answer = await callers.send(entry, "/draft/x", TOKENS, headers=more)
    return answer is not None and answer.status == 200


async def begin(callers, entry):
    _, answer = await callers.send(entry, "/draft/x", TOKENS)
    return answer is not None and answer.status == 200


if __name__ == "__main__":
    parts.main(FOLDER, case)
