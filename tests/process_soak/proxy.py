"""A loopback proxy that resets connections, carries bytes in one direction only, or
goes silent."""

import asyncio
import socket
import struct

_RESET = struct.pack("ii", 1, 0)


class Proxy:
    """Carries connections to a target on loopback.

    :ivar cut_forth: bytes to the endpoint are lost, as long as it is set.
    :ivar cut_back: bytes of the endpoint are lost, as long as it is set.
    """

    def __init__(
        self, port: int, target_port: int, target_host: str = "127.0.0.1"
    ) -> None:
        self.port = port
        self.cut_forth = False
        self.cut_back = False
        self._target = (target_host, target_port)
        self._speaks = asyncio.Event()
        self._speaks.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def close(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_silent(self, silent: bool) -> None:
        """Hold all bytes and new connections back, or let them go on."""
        if silent:
            self._speaks.clear()
        else:
            self._speaks.set()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        far_writer = None
        try:
            await self._speaks.wait()
            far_reader, far_writer = await asyncio.open_connection(*self._target)
            self._writers.add(far_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._carry(reader, far_writer, True))
                group.create_task(self._carry(far_reader, writer, False))
        except (OSError, ExceptionGroup):
            _reset(writer)
            if far_writer is not None:
                _reset(far_writer)
        finally:
            self._writers -= {writer, far_writer}  # type: ignore[arg-type]
            self._tasks.discard(task)
            for each in (writer, far_writer):
                if each is not None:
                    each.close()

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forth: bool,
    ) -> None:
        lost = False
        while data := await reader.read(65_536):
            await self._speaks.wait()
            # A connection that has lost bytes carries no more of them.
            lost = lost or (self.cut_forth if forth else self.cut_back)
            if not lost:
                writer.write(data)
                await writer.drain()
        await self._speaks.wait()
        if not lost:
            writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()
