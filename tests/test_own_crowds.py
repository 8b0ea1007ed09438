"""Crowds of callers on the own interface: an entry of its own process lives, stays
within its memory and descriptors, and goes on to serve ordinary callers."""

import asyncio
import gzip
import json
import resource
import unittest
from collections.abc import Iterator

from nose2.tools import params

from tests.crowds import (
    MIB,
    Crowd,
    answered,
    head,
    open_descriptors,
    resident_bytes,
    standing,
)
from tests.fleet import Fleet
from tests.small_fleet import (
    CALL_CLASS,
    ENTRY,
    HEADERS,
    STREAM_CLASS,
    ask_call,
    ask_stream,
    small_fleet,
    started,
)

BODY_BYTES = MIB
BUDGET_BYTES = 8 * MIB
GROWTH_BYTES = 40 * MIB
"""The budget, as much again for copies in use, 16 MiB for connections and what the
allocator keeps, and 8 MiB for the caches that an entry fills in use."""
DESCRIPTORS = 160
TOKENS = 20_000
BLANKS_BYTES = 200 * MIB
CHAT_PATH = "/v1/chat/completions"
CALL_PATH = f"/v1/services/{CALL_CLASS}"
BAD_KEY = {"Authorization": "Bearer nobody"}
BLANKS = gzip.compress(b" " * BLANKS_BYTES)


def _headers(headers: dict[str, str] = HEADERS) -> dict[str, str]:
    return {"Host": "entry", "Content-Type": "application/json", **headers}


def _short_body(path: str, headers: dict[str, str] = HEADERS) -> Iterator[bytes]:
    """A body that stops a byte before its end."""
    yield head(path, _headers(headers), f"Content-Length: {BODY_BYTES}")
    yield b" " * (BODY_BYTES - 1)


def _whole(path: str, body: bytes, more: str = "") -> Iterator[bytes]:
    yield head(path, _headers(), f"{more}Content-Length: {len(body)}")
    yield body


def _chat(**fields: object) -> bytes:
    return json.dumps(
        {"model": STREAM_CLASS, "messages": [], "max_tokens": 4, **fields}
    ).encode()


def _empty_lists() -> Iterator[bytes]:
    """A chat most of which is a list of empty lists."""
    return _whole(CHAT_PATH, _chat(extra=[[] for _ in range(BODY_BYTES // 8)]))


def _blanks() -> Iterator[bytes]:
    """A small body that unpacks to a large one."""
    return _whole(CHAT_PATH, BLANKS, "Content-Encoding: gzip\r\n")


def _long_answer() -> Iterator[bytes]:
    return _whole(CHAT_PATH, _chat(max_tokens=TOKENS))


def _unfinished_head() -> Iterator[bytes]:
    yield b"POST /v1/chat/completions HTTP/1.1\r\nHost: h"


def _nothing() -> Iterator[bytes]:
    yield b""


CROWDS = (
    Crowd("chats a byte short", 60, lambda: _short_body(CHAT_PATH)),
    Crowd("calls a byte short", 60, lambda: _short_body(CALL_PATH)),
    Crowd("unknown key", 60, lambda: _short_body(CHAT_PATH, BAD_KEY)),
    Crowd("lists of empty lists", 16, _empty_lists),
    Crowd("packed blanks", 16, _blanks),
    Crowd("streams unread", 100, _long_answer),
)
SILENT = (
    Crowd("heads that stop", 300, _unfinished_head),
    Crowd("silent connections", 300, _nothing),
)


def _fleet() -> Fleet:
    return small_fleet(0.00001, callers={"memory_bytes": BUDGET_BYTES})


async def _call(fleet: Fleet) -> int | None:
    return (await ask_call(fleet)).status


async def _stream(fleet: Fleet) -> int | None:
    outcome = await ask_stream(fleet, 4)
    return outcome.status if outcome.done else None


class OwnCrowdTest(unittest.TestCase):
    @params(*CROWDS)
    def test_a_crowd_stays_within_the_memory_and_others_are_served(
        self, crowd: Crowd
    ) -> None:
        """Callers that don't end their bodies, pack them, fill them with values or
        don't read their answers ended a process by its memory."""
        asyncio.run(self._check_memory(crowd))

    async def _check_memory(self, crowd: Crowd) -> None:
        async with started(_fleet()) as fleet:
            self.assertTrue(await answered(lambda: _call(fleet)))
            self.assertTrue(await answered(lambda: _stream(fleet)))
            process = fleet.procs[ENTRY]
            base_bytes = resident_bytes(process.pid)
            address = fleet.fleet.entry(ENTRY).address
            async with standing(crowd.members(address)):
                self.assertIsNone(process.poll())
                self.assertTrue(await answered(lambda: _call(fleet)), crowd.name)
                self.assertTrue(await answered(lambda: _stream(fleet)), crowd.name)
            growth_bytes = resident_bytes(process.pid, "VmHWM") - base_bytes
            self.assertLess(growth_bytes, GROWTH_BYTES, crowd.name)

    @params(*SILENT)
    def test_a_crowd_leaves_descriptors_to_others(self, crowd: Crowd) -> None:
        """Connections that say nothing held all descriptors, and nobody got in."""
        asyncio.run(self._check_descriptors(crowd))

    async def _check_descriptors(self, crowd: Crowd) -> None:
        fleet = _fleet()
        tuning = json.loads(fleet.settings_path.read_text())
        tuning["tuning"]["callers"]["descriptors"] = DESCRIPTORS
        fleet.settings_path.write_text(json.dumps(tuning))
        async with started(fleet):
            pid = fleet.procs[ENTRY].pid
            limit = (DESCRIPTORS, DESCRIPTORS)
            resource.prlimit(pid, resource.RLIMIT_NOFILE, limit)
            self.assertTrue(await answered(lambda: _call(fleet)))
            async with standing(crowd.members(fleet.fleet.entry(ENTRY).address)):
                self.assertIsNone(fleet.procs[ENTRY].poll())
                self.assertLess(open_descriptors(pid), DESCRIPTORS)
                self.assertTrue(await answered(lambda: _call(fleet)), crowd.name)


if __name__ == "__main__":
    unittest.main()
