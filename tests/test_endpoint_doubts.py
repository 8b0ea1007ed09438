"""Endpoints whose process may have ended, so that another may have its address."""

import asyncio
import random
import time
import unittest
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp import web
from nose2.tools import params

from celerytrack.answer_limits import DEFAULT_LIMITS
from celerytrack.gateway.connections import IncarnationConnections
from celerytrack.gateway.end_witness import Witness
from celerytrack.gateway.endpoint_doubts import EndpointDoubts
from celerytrack.gateway.peer_requests import PEER_REQUEST_TIMEOUT_S
from celerytrack.http_session import ConnectionEnd, GatedConnector, make_http_session
from celerytrack.ids import EndpointId, RequestId, ServiceName, Zone
from celerytrack.origins.memory import KEEP_S, StreamId
from celerytrack.origins.messages import EndpointEnded
from celerytrack.origins.origin import StreamOrigin
from celerytrack.origins.unresolved import UnresolvedOrigins
from celerytrack.routing.endpoint import Endpoint, Registration, RequestProfile
from celerytrack.routing.endpoints import DOUBT_S, EndpointPool, RegistrationChange
from tests.gateway_fleet import free_port

S = ServiceName("s")
ZONE = Zone("z")
OLD, NEW = "v1.1", "v1.2"
A = EndpointId("a")
LATE_S = PEER_REQUEST_TIMEOUT_S
Ask = Callable[[Endpoint, float], Awaitable[Witness]]


def registration(
    name: str = "a", version: str = OLD, born_ms: int = 0, port: int = 1
) -> Registration:
    return Registration(
        EndpointId(name),
        S,
        f"127.0.0.1:{port}",
        ZONE,
        8,
        False,
        born_ms=born_ms,
        version=version,
    )


def pool_of(*registrations: Registration) -> EndpointPool:
    pool = EndpointPool(ZONE, random.Random(1))
    for each in registrations:
        pool.register(each, 0.0)
    return pool


def choose(pool: EndpointPool, version: str, now_s: float = 1.0) -> str | None:
    profile = RequestProfile(S, (), StreamOrigin(S, version))
    choice = pool.choose(profile, 1.0, 100, [], now_s)
    return None if choice is None else choice.endpoint.endpoint_id


async def kept(endpoint: Endpoint, sign_s: float) -> Witness:
    """A connection of another entry lives on."""
    return Witness.KEPT


async def alone(endpoint: Endpoint, sign_s: float) -> Witness:
    return Witness.ALONE


async def none(endpoint: Endpoint, sign_s: float) -> Witness:
    """No other entry has a connection."""
    return Witness.NONE


async def ended(endpoint: Endpoint, sign_s: float) -> Witness:
    """Another entry saw a connection end at that time."""
    return Witness.ENDED


class OtherIncarnationTest(unittest.TestCase):
    @params(
        (registration(), registration(version=NEW), RegistrationChange.RESTARTED),
        (registration(), registration(), RegistrationChange.SAME),
        (registration(version=""), registration(), RegistrationChange.SAME),
        (registration(), registration(version=""), RegistrationChange.SAME),
        (
            registration(born_ms=5),
            registration(version=NEW, born_ms=5),
            RegistrationChange.SAME,
        ),
        (
            registration(born_ms=5),
            registration(born_ms=6),
            RegistrationChange.RESTARTED,
        ),
    )
    def test_another_version_without_a_time_of_birth_is_another_process(
        self, first: Registration, then: Registration, change: RegistrationChange
    ) -> None:
        """Connections and streams of one process were taken for those of the next."""
        self.assertIs(pool_of(first).register(then, 1.0), change)

    def test_a_version_that_changes_while_the_endpoint_runs_is_followed(self) -> None:
        """A stream went on at an endpoint that had changed its version."""
        pool = pool_of(registration(born_ms=5), registration("b", NEW, 5))
        pool.register(registration(version=NEW, born_ms=5), 1.0)
        self.assertIsNone(choose(pool, OLD))


class DoubtTest(unittest.TestCase):
    def test_a_stream_keeps_off_an_endpoint_in_doubt(self) -> None:
        """A stream went on at an endpoint that had come back as another version."""
        pool = pool_of(registration(), registration("b", NEW))
        pool.doubt(pool._endpoints[A], 1.0)
        self.assertIsNone(choose(pool, OLD))
        self.assertIsNone(pool.origin_at(A))
        pool.known_at_s = 1.0 + DOUBT_S
        self.assertEqual(choose(pool, OLD), "a")

    def test_a_doubt_outlives_a_log_that_is_away(self) -> None:
        """Old registrations were believed while the log could not be read."""
        pool = pool_of(registration(), registration("b", NEW))
        pool.doubt(pool._endpoints[A], 1.0)
        self.assertIsNone(choose(pool, OLD, now_s=100.0))

    def test_where_there_is_one_version_a_stream_goes_on(self) -> None:
        """A stream of a service with one version was refused for a doubt."""
        pool = pool_of(registration())
        pool.doubt(pool._endpoints[A], 1.0)
        self.assertEqual(choose(pool, OLD), "a")

    @params(([], "b"), (["b"], "a"))
    def test_a_new_stream_keeps_off_an_endpoint_in_doubt(
        self, tried: list[str], expected: str
    ) -> None:
        """Streams began where nothing could say what began them, and their take-ups
        were refused, while other endpoints had room."""
        pool = pool_of(registration(), registration("b", NEW))
        pool.doubt(pool._endpoints[A], 1.0)
        profile = RequestProfile(S, resumable=True)
        avoid = [EndpointId(name) for name in tried]
        for _ in range(20):
            choice = pool.choose(profile, 1.0, 100, avoid, 5.0)
            assert choice is not None
            self.assertEqual(choice.endpoint.endpoint_id, expected)

    def test_a_new_registration_ends_the_doubt(self) -> None:
        """An endpoint that came back was kept from streams of its own version."""
        pool = pool_of(registration(), registration("b", NEW))
        pool.doubt(pool._endpoints[A], 1.0)
        pool.register(registration(version=NEW), 1.5)
        self.assertEqual(pool.origin_at(A), StreamOrigin(S, NEW))

    def test_news_of_an_earlier_incarnation_doubt_no_later_one(self) -> None:
        """Late news kept streams from an endpoint that had registered again."""
        pool = pool_of(registration(born_ms=7))
        pool.doubt_incarnation(A, 5, 1.0)
        self.assertIsNotNone(pool.origin_at(A))
        pool.doubt_incarnation(A, 7, 1.0)
        self.assertIsNone(pool.origin_at(A))


class UnresolvedTest(unittest.TestCase):
    def test_streams_are_kept_until_their_origin_is_known(self) -> None:
        """A stream that began in doubt could not be taken up, or was kept for ever."""
        unresolved = UnresolvedOrigins()
        stream = StreamId(None, RequestId("r"))
        origin = StreamOrigin(S, NEW)
        unresolved.add(stream, A, 0.0)
        self.assertEqual(unresolved.pop_resolved(lambda _: None, 1.0), [])
        resolved = unresolved.pop_resolved(lambda _: origin, 2.0)
        self.assertEqual(resolved, [(stream, origin)])
        unresolved.add(stream, A, 0.0)
        unresolved.pop_resolved(lambda _: None, KEEP_S + 1)
        self.assertFalse(unresolved)


async def _serve(test: unittest.IsolatedAsyncioTestCase, port: int) -> web.ServerRunner:
    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/end":
            assert request.transport is not None
            request.transport.abort()
        if request.path == "/last":
            last = web.StreamResponse()
            last.force_close()
            await last.prepare(request)
            await last.write(b"part")
            assert request.transport is not None
            request.transport.close()
            return last
        return web.Response()

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    test.addAsyncCleanup(runner.cleanup)
    return runner


class WitnessTest(unittest.IsolatedAsyncioTestCase):
    async def _connections(self) -> IncarnationConnections:
        connections = IncarnationConnections(
            lambda: True, lambda: None, lambda announced: None, DEFAULT_LIMITS
        )
        self.addAsyncCleanup(connections.abort)
        connections._record_open()
        return connections

    @params((0.2, Witness.KEPT), (0.1, Witness.NONE), (-0.1, Witness.NONE))
    def test_a_connection_to_the_next_process_is_no_witness(
        self, sign_after_s: float, expected: Witness
    ) -> None:
        """A question that came late made a connection opened after the end look older
        than the end."""

        async def check() -> None:
            connections = await self._connections()
            sign_s = time.monotonic() + sign_after_s
            self.assertIs(connections.witness(sign_s, LATE_S), expected)

        asyncio.run(check())

    @params((LATE_S, Witness.ENDED), (-1.0, Witness.NONE), (1.0, Witness.NONE))
    def test_an_end_is_told_in_answer_to_a_late_question(
        self, late_s: float, expected: Witness
    ) -> None:
        """On busy entries the questions came late, and none told of its own end."""

        async def check() -> None:
            connections = await self._connections()
            connections._record_closed(ConnectionEnd.BY_PEER)
            sign_s = time.monotonic() + late_s
            self.assertIs(connections.witness(sign_s, LATE_S), expected)

        asyncio.run(check())


class SignTest(unittest.IsolatedAsyncioTestCase):
    @params(
        ("/end", [ConnectionEnd.BY_PEER]),
        ("/last", [ConnectionEnd.ANNOUNCED]),
        ("/ok", [ConnectionEnd.HERE]),
    )
    def test_who_ended_a_connection_is_known(
        self, path: str, expected: list[ConnectionEnd]
    ) -> None:
        """Connections that this entry closed were taken for signs of an end."""
        asyncio.run(self._end(path, expected))

    async def _end(self, path: str, expected: list[ConnectionEnd]) -> None:
        port, closed = free_port(), []
        await _serve(self, port)
        session = make_http_session(4.0)
        session._retry_connection = False
        assert isinstance(session.connector, GatedConnector)
        session.connector.watch(lambda: None, closed.append)
        try:
            async with session.get(f"http://127.0.0.1:{port}{path}") as answer:
                await answer.read()
        except aiohttp.ClientError:
            pass
        await session.close()
        await asyncio.sleep(0.05)
        self.assertEqual(closed, expected)

    async def _check(
        self, ports: tuple[int, int], reached: bool, ask: Ask = none
    ) -> tuple[EndpointPool, list[EndpointEnded]]:
        pool = pool_of(
            registration(port=ports[0]), registration("b", NEW, port=ports[1])
        )
        told: list[EndpointEnded] = []

        async def is_reached(endpoint: object) -> bool:
            return reached

        doubts = EndpointDoubts(pool, is_reached, told.append, random.Random(1), ask)
        doubts.record_sign(pool._endpoints[A], 1.0)
        await asyncio.gather(*doubts._checks)
        return pool, told

    async def test_a_process_that_lives_on_is_not_in_doubt(self) -> None:
        """A run that broke with its connection kept streams from its endpoint."""
        port = free_port()
        await _serve(self, port)
        pool, told = await self._check((port, free_port()), reached=True, ask=kept)
        self.assertEqual(choose(pool, OLD), "a")
        self.assertEqual(told, [])

    async def test_a_process_that_lives_on_is_not_in_doubt_at_the_only_entry(
        self,
    ) -> None:
        """A stream that broke with the last connection was cut though its endpoint
        lived: there is no other entry whose connections would show that."""
        port = free_port()
        await _serve(self, port)
        pool, told = await self._check((port, free_port()), reached=True, ask=alone)
        self.assertEqual(choose(pool, OLD), "a")
        self.assertEqual(told, [])

    @params((none, 0), (ended, 1))
    def test_a_new_connection_does_not_show_that_a_process_lives_on(
        self, ask: Ask, messages: int
    ) -> None:
        """A process that followed at once was taken for the one before; entries without
        a connection were not told of an end that two had seen."""

        async def check() -> None:
            port = free_port()
            await _serve(self, port)
            pool, told = await self._check((port, free_port()), reached=True, ask=ask)
            self.assertIsNone(choose(pool, OLD))
            self.assertEqual(len(told), messages)

        asyncio.run(check())

    async def test_a_sign_after_the_witness_is_checked_again(self) -> None:
        """An end during the answer of another entry was settled with the one before."""
        pool = pool_of(registration(), registration("b", NEW))
        endpoint = pool._endpoints[A]
        witnesses = [Witness.KEPT, Witness.ENDED]
        told: list[EndpointEnded] = []

        async def ask(asked: Endpoint, sign_s: float) -> Witness:
            if len(witnesses) == 2:
                await asyncio.sleep(0.01)
                doubts.record_sign(endpoint, time.monotonic())
            return witnesses.pop(0)

        async def is_reached(asked: Endpoint) -> bool:
            return True

        port = free_port()
        await _serve(self, port)
        pool.register(registration(port=port), 0.0)
        doubts = EndpointDoubts(pool, is_reached, told.append, random.Random(1), ask)
        doubts.record_sign(endpoint, time.monotonic())
        await asyncio.gather(*doubts._checks)
        self.assertIsNone(choose(pool, OLD))
        self.assertEqual(told, [EndpointEnded(A, 0)])

    async def test_one_version_needs_a_check_but_for_an_announced_end(self) -> None:
        """A stream whose answer ended with its connection could not go on."""
        port = free_port()
        await _serve(self, port)
        pool = pool_of(registration(port=port))
        doubts = EndpointDoubts(pool, None, None, random.Random(1), kept)  # type: ignore[arg-type]
        doubts.record_sign(pool._endpoints[A], 1.0, announced=True)
        self.assertIsNotNone(pool.origin_at(A))
        doubts.record_sign(pool._endpoints[A], 1.0)
        self.assertIsNone(pool.origin_at(A))
        await asyncio.gather(*doubts._checks)
        self.assertIsNotNone(pool.origin_at(A))

    async def test_a_sign_during_a_check_is_settled_with_it(self) -> None:
        """Two runs that broke shortly after each other left an endpoint in doubt."""
        port = free_port()
        await _serve(self, port)
        pool = pool_of(registration(port=port), registration("b", NEW))
        doubts = EndpointDoubts(pool, None, None, random.Random(1), kept)  # type: ignore[arg-type]
        doubts.record_sign(pool._endpoints[A], 1.0)
        doubts.record_sign(pool._endpoints[A], 1.05)
        await asyncio.gather(*doubts._checks)
        self.assertEqual(choose(pool, OLD), "a")

    async def test_news_of_an_end_outweigh_a_check(self) -> None:
        """A connection to the next process settled the doubt of the one before."""
        port = free_port()
        await _serve(self, port)
        pool = pool_of(registration(port=port), registration("b", NEW))
        doubts = EndpointDoubts(pool, None, None, random.Random(1), kept)  # type: ignore[arg-type]
        doubts.record_sign(pool._endpoints[A], 1.0)
        doubts.receive(EndpointEnded(A, 0), 1.01)
        await asyncio.gather(*doubts._checks)
        self.assertIsNone(choose(pool, OLD))

    @params((False, 1), (True, 0))
    def test_others_are_told_of_an_end_that_they_see_as_well(
        self, reached: bool, messages: int
    ) -> None:
        """Entries without a connection believed the registration of a process that had
        ended; one whose links were down said that of all endpoints."""

        async def check() -> None:
            pool, told = await self._check((free_port(), free_port()), reached)
            self.assertIsNone(choose(pool, OLD))
            self.assertEqual(len(told), messages)

        asyncio.run(check())

    async def test_others_are_told_of_an_end_after_which_another_process_has_begun(
        self,
    ) -> None:
        """Others reached the process that had come up at the address by then, so those
        without a connection took it for the one before."""
        port = free_port()
        pool = pool_of(registration(port=port), registration("b", NEW))
        told: list[EndpointEnded] = []

        async def is_reached(endpoint: object) -> bool:
            await _serve(self, port)
            return True

        doubts = EndpointDoubts(pool, is_reached, told.append, random.Random(1), none)
        doubts.record_sign(pool._endpoints[A], 1.0)
        await asyncio.gather(*doubts._checks)
        self.assertEqual(told, [EndpointEnded(A, 0)])
        self.assertIsNone(choose(pool, OLD))

    async def test_what_another_entry_saw_is_in_doubt_here(self) -> None:
        """A stream began at an endpoint that only others had seen end."""
        pool = pool_of(registration(), registration("b", NEW))
        doubts = EndpointDoubts(pool, None, None, random.Random(1), kept)  # type: ignore[arg-type]
        doubts.receive(EndpointEnded(A, 0), 1.0)
        self.assertIsNone(choose(pool, OLD))
