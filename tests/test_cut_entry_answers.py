"""Answers of other entries that stop in their head or body."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import yarl
from nose2.tools import params

from celerytrack.gateway.peer_requests import ENDPOINT_REACHED_STATUS, PeerClient
from celerytrack.gateway.relay_format import answered_headers
from celerytrack.ids import AccountId, EndpointId, EntryId, ServiceName
from celerytrack.origins.origin import StreamOrigin
from celerytrack.platform.rows import encode_shares
from celerytrack.prepaid import AccountClaim
from tests.cut_answers import (
    Cut,
    CutServer,
    End,
    Framing,
    body_begins,
    cuts,
    frame,
)
from tests.cut_callers import cut_fleet, make_working
from tests.gateway_fleet import Fleet
from tests.link_cuts import LinkState
from tests.raw_endpoints import RawAnswer, ask_raw, event
from tests.test_relays import _cut

AT_ONCE = 12
HEAD_STEP = 5
RESET_STEP = 23
PLAIN = b"good bytes"
STREAM = event(1) + event(2) + event(3)
ANSWERED = answered_headers(EndpointId("i-0"), StreamOrigin(ServiceName("s"), None))
PeerCall = Callable[[PeerClient, str], Awaitable[Any]]


async def _transfer(client: PeerClient, address: str) -> Any:
    return await client.request_transfer(address, AccountId("a"), 1_000)


async def _fetch_row(client: PeerClient, address: str) -> Any:
    return await client.fetch_row(address, EntryId("e@1"))


async def _query(client: PeerClient, address: str) -> Any:
    return await client.is_endpoint_reached(address, EndpointId("i-0"))


async def _peer_results(answer: bytes, call: PeerCall) -> list[tuple[Cut, Any]]:
    room = asyncio.Semaphore(AT_ONCE)

    async def ask(cut: Cut) -> tuple[Cut, Any]:
        async with room, CutServer(answer, cut) as server:
            client = PeerClient()
            try:
                return cut, await call(client, server.address)
            except Exception as exc:
                return cut, exc
            finally:
                await client.close()

    return await asyncio.gather(*map(ask, cuts(answer)))


ROW = encode_shares({AccountId("a"): AccountClaim(), AccountId("b"): AccountClaim()})


class CutPeerAnswerTest(unittest.TestCase):
    @params(
        *(
            (call, body, status, framing)
            for framing in Framing
            for call, body, status in (
                (_transfer, b'{"tokens": 900}', "200 OK"),
                (_fetch_row, ROW, "200 OK"),
            )
        ),
        (_query, b"", f"{ENDPOINT_REACHED_STATUS} No Content", Framing.CONNECTION),
    )
    def test_an_answer_that_stops_is_no_answer(
        self, call: PeerCall, body: bytes, status: str, framing: Framing
    ) -> None:
        """Tokens, a part of a row or an endpoint in reach were taken from a cut
        answer."""
        answer = frame(body, framing, status=status)
        results = asyncio.run(_peer_results(answer, call))
        self.assertEqual([(cut, got) for cut, got in results if got], [])


class Helper:
    """Stands between a gateway that is cut off and the entry that helps it."""

    def __init__(self, fleet: Fleet) -> None:
        self._session = fleet.gateways[0].peer_client.relay_session
        self._request = self._session.request
        self._session.request = self._redirected  # type: ignore[assignment,method-assign]
        self.server: CutServer | None = None

    async def _redirected(self, method: str, url: yarl.URL, **more: Any) -> Any:
        assert self.server is not None
        host, port = self.server.address.split(":")
        there = url.with_host(host).with_port(int(port))
        return await self._request(method, there, **more)


def _relayed(request_id: str, body: bytes, framing: Framing) -> bytes:
    headers = [f"{name}: {value}" for name, value in ANSWERED.items()]
    own = (f"X-Attempt-Id: {request_id}", "X-Response-Seal: seal")
    return frame(body, framing, *own, *headers)


def _places(answer: bytes, framing: Framing) -> list[Cut]:
    """Some places in the head, and each one behind it.

    Without a framing, the whole answer is one that may have broken off.
    """
    begins, size = body_begins(answer), len(answer)
    sizes = [*range(0, begins, HEAD_STEP), *range(begins, size)]
    if framing is Framing.CONNECTION:
        sizes.append(size)
    resets = [Cut(n, End.RESET) for n in range(0, size, RESET_STEP)]
    return [Cut(n, End.FIN) for n in sizes] + resets


async def _ask_each(
    path: str, body: bytes, framing: Framing
) -> tuple[list[tuple[Cut, RawAnswer, int]], RawAnswer]:
    """What the caller got, and how often the other entry was asked, with each cut; and
    what it got without one."""
    fleet, _ = cut_fleet(make_working(2), 2)
    results = []
    async with fleet:
        await _cut(fleet, [0], LinkState.RESET)
        helper = Helper(fleet)

        async def ask(
            request_id: str, cut: Cut, answer: bytes
        ) -> tuple[RawAnswer, int]:
            async with CutServer(answer, cut) as server:
                helper.server = server
                return await ask_raw(fleet, path, request_id), server.requests

        for number, cut in enumerate(_places(_relayed("r000", body, framing), framing)):
            request_id = f"r{number:03}"
            got = await ask(request_id, cut, _relayed(request_id, body, framing))
            results.append((cut, *got))
        whole = _relayed("last", body, Framing.CHUNKED)
        sound, _ = await ask("last", Cut(len(whole), End.FIN), whole)
    return results, sound


class CutRelayedAnswerTest(unittest.TestCase):
    @params(
        *(
            (path, body, framing)
            for framing in Framing
            for path, body in (
                ("/once/x", PLAIN),
                ("/plain/x", PLAIN),
                ("/stream/x", STREAM),
                ("/resume/x", STREAM),
            )
        )
    )
    def test_a_relayed_answer_that_stops_does_not_look_complete(
        self, path: str, body: bytes, framing: Framing
    ) -> None:
        """The caller got the beginning of another entry's answer as the whole, or a
        refusal of what may have run."""
        results, sound = asyncio.run(_ask_each(path, body, framing))
        complete = [(cut, got) for cut, got, _ in results if _looks_complete(got)]
        self.assertEqual(complete, [])
        unasked = [cut for cut, _, asked in results if not asked]
        self.assertEqual(unasked, [])
        if path.startswith(("/once", "/stream")):
            self.assertEqual({asked for _, _, asked in results}, {1})
        self.assertTrue(_looks_complete(sound))
        self.assertEqual(sound.body, body)

    @params(Framing.LENGTH, Framing.CHUNKED)
    def test_an_answer_with_a_framing_is_passed_on(self, framing: Framing) -> None:
        answer = asyncio.run(_ask_whole("/once/x", PLAIN, framing))
        self.assertEqual((answer.status, answer.body, answer.whole), (200, PLAIN, True))


async def _ask_whole(path: str, body: bytes, framing: Framing) -> RawAnswer:
    fleet, _ = cut_fleet(make_working(2), 2)
    async with fleet:
        await _cut(fleet, [0], LinkState.RESET)
        helper = Helper(fleet)
        answer = _relayed("r1", body, framing)
        async with CutServer(answer, Cut(len(answer), End.FIN)) as helper.server:
            return await ask_raw(fleet, path, "r1")


def _looks_complete(answer: RawAnswer) -> bool:
    """Whether it is a success, or a refusal of a request that did not run."""
    return answer.whole and answer.status != 502


if __name__ == "__main__":
    unittest.main()
