"""Answers of the log that stop in their head or body."""

import asyncio
import struct
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from nose2.tools import params
from returns.result import Result, Success

from celerytrack.logclient import LogClient
from celerytrack.platform.log_format import Batch, encode_keyed
from celerytrack.platform.store import StoreClient, Writer
from tests.cut_answers import Cut, CutServer, Framing, body_begins, cuts, frame

AT_ONCE = 12
WRITER = Writer("e", 1, 7)
APPENDED = b'{"offset": 12, "end": 13}'
PAGE = b'{"entries": [{"key": "k", "value": "dg==", "offset": 1}], "end": 2}'
RECORDS = [encode_keyed("k", b"v%d" % number) for number in range(3)]
READ = struct.pack(">QQ", 5, 0) + b"".join(RECORDS)

StoreCall = Callable[[StoreClient], Awaitable[Result[Any, Any]]]
LogCall = Callable[[LogClient], Awaitable[Result[Any, Any]]]


async def _append(store: StoreClient) -> Result[Any, Any]:
    return await store.append("keyed.t", "k", b"v", WRITER)


async def _set_epoch(store: StoreClient) -> Result[Any, Any]:
    return await store.set_epoch("keyed.t", WRITER)


async def _read(store: StoreClient) -> Result[Any, Any]:
    return await store.read("keyed.t", 2)


async def _newest(store: StoreClient) -> Result[Any, Any]:
    return await store.newest("keyed.t")


async def _end(store: StoreClient) -> Result[Any, Any]:
    return await store.end("keyed.t", "k")


async def _store_results(
    answer: bytes, call: StoreCall
) -> list[tuple[Cut, Result[Any, Any]]]:
    async def ask(cut: Cut) -> Result[Any, Any]:
        async with CutServer(answer, cut) as server:
            store = StoreClient(server.address)
            try:
                return await call(store)
            finally:
                await store.close()

    return await _of_each(cuts(answer), ask)


async def _log_results(
    answer: bytes, call: LogCall
) -> list[tuple[Cut, Result[Any, Any]]]:
    async def ask(cut: Cut) -> Result[Any, Any]:
        async with CutServer(answer, cut) as server:
            log = LogClient(server.address, "e")
            try:
                return await call(log)
            finally:
                await log.close()

    return await _of_each(cuts(answer), ask)


async def _of_each(
    places: list[Cut], ask: Callable[[Cut], Awaitable[Result[Any, Any]]]
) -> list[tuple[Cut, Result[Any, Any]]]:
    """What each place led to, a few at a time; an exception counts as a result."""
    room = asyncio.Semaphore(AT_ONCE)

    async def one(cut: Cut) -> tuple[Cut, Any]:
        async with room:
            try:
                return cut, await ask(cut)
            except Exception as exc:
                return cut, exc

    return await asyncio.gather(*map(one, places))


def _taken(results: list[tuple[Cut, Any]]) -> list[tuple[Cut, Any]]:
    """What was taken for an answer, or ended the caller's task."""
    return [
        (cut, result)
        for cut, result in results
        if isinstance(result, Success | Exception)
    ]


class CutStoreAnswerTest(unittest.TestCase):
    @params(
        *(
            (call, body, framing)
            for framing in Framing
            for call, body in (
                (_append, APPENDED),
                (_set_epoch, APPENDED),
                (_newest, PAGE),
                (_end, PAGE),
            )
        )
    )
    def test_an_answer_that_stops_is_no_answer(
        self, call: StoreCall, body: bytes, framing: Framing
    ) -> None:
        """An append, a new epoch or a read counted as done though the store's answer
        broke off."""
        results = asyncio.run(_store_results(frame(body, framing), call))
        self.assertEqual(_taken(results), [])

    @params(*Framing)
    def test_records_that_did_not_arrive_are_read_again(self, framing: Framing) -> None:
        """Records behind a break counted as read."""
        answer = frame(READ, framing)
        results = asyncio.run(_store_results(answer, _read))
        taken = _taken(results)
        if framing is not Framing.CONNECTION:
            self.assertEqual(taken, [])
        for cut, result in taken:
            batch: Batch = result.unwrap()
            arrived = answer[body_begins(answer) : cut.size]
            self.assertEqual(
                arrived, READ[:16] + b"".join(RECORDS[: len(batch.records)])
            )
            self.assertEqual(batch.next_offset, 2 + len(batch.records))


async def _own_append(log: LogClient) -> Result[Any, Any]:
    return await log.append("s", [{"a": 1}])


async def _own_read(log: LogClient) -> Result[Any, Any]:
    return await log.read("s", 2)


async def _own_last(log: LogClient) -> Result[Any, Any]:
    return await log.last("s")


class CutOwnLogAnswerTest(unittest.TestCase):
    @params(
        *(
            (call, body, status, framing)
            for framing in Framing
            for call, body, status in (
                (_own_append, b'{"first_offset": 4, "next_offset": 5}', "200 OK"),
                (_own_append, b'{"next_offset": 5}', "409 Conflict"),
                (
                    _own_read,
                    b'{"records": [[2, {}]], "next_offset": 3, "start_offset": 0}',
                    "200 OK",
                ),
                (_own_read, b'{"start_offset": 9}', "410 Gone"),
                (_own_last, b'{"offset": 7, "record": {}}', "200 OK"),
                (_own_last, b'{"next_offset": 0}', "404 Not Found"),
            )
        )
    )
    def test_an_answer_that_stops_is_no_answer(
        self, call: LogCall, body: bytes, status: str, framing: Framing
    ) -> None:
        """An append or a read counted as done though the log's answer broke off, or
        the task that waited for it ended."""
        answer = frame(body, framing, status=status)
        results = asyncio.run(_log_results(answer, call))
        self.assertEqual(_taken(results), [])


if __name__ == "__main__":
    unittest.main()
