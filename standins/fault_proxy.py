"""A loopback TCP proxy that injects faults into open connections."""

import asyncio
import contextlib
import dataclasses
import enum
import socket

from standins import platform_connection, ports

READ_BYTES = 65_536


class PathFault(enum.Enum):
    """A fault of the network path that a proxy stands for."""

    NONE = "none"
    DELAYED = "delayed"
    SILENT = "silent"
    ONE_WAY = "one_way"


@dataclasses.dataclass(slots=True)
class FaultProxy:
    """Forwards connections to one address, all under the same ``path_fault``.

    A connection that was silenced stays silent after the fault has ended, as
    on a network path that has lost the connection's state.
    """

    target_port: int
    delay_s: float = 0.1
    path_fault: PathFault = PathFault.NONE
    port: int = 0
    _server: asyncio.Server | None = None
    _held_port: socket.socket | None = None
    _writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)
    _silenced: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port, which ``port`` then holds."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        self._release_port()
        self.reset()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def stop_listening(self) -> None:
        """Refuse connections and reset all open ones, as a crash does."""
        if self._server is not None:
            self._server.close()
        self._release_port()
        self._held_port = ports.hold(self.port)
        self.reset()

    async def listen_again(self) -> None:
        """Listen on the same port as before."""
        self._release_port()
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)

    def _release_port(self) -> None:
        if self._held_port is not None:
            self._held_port.close()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in tuple(self._writers):
            platform_connection.reset(writer)

    def silence(self, path_fault: PathFault) -> None:
        """Set the fault; open connections stay silent after it has ended."""
        self.path_fault = path_fault
        self._silenced |= self._writers

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        if self.path_fault in (PathFault.SILENT, PathFault.ONE_WAY):
            self._silenced.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._forward(reader, writer)
        finally:
            writer.transport.abort()
            self._writers.discard(writer)
            self._silenced.discard(writer)
            self._tasks.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self.target_port
        )
        try:
            forward = asyncio.ensure_future(
                self._pump(reader, target_writer, writer, True)
            )
            backward = asyncio.ensure_future(
                self._pump(target_reader, writer, writer, False)
            )
            try:
                await asyncio.wait(
                    (forward, backward), return_when=asyncio.FIRST_COMPLETED
                )
                if backward.done() and backward.exception() is not None:
                    platform_connection.reset(writer)
                elif backward.done() and not writer.is_closing():
                    # The caller receives the last byte before the end.
                    await writer.drain()
                    writer.close()
                    await writer.wait_closed()
            finally:
                forward.cancel()
                backward.cancel()
                await asyncio.gather(forward, backward, return_exceptions=True)
        finally:
            target_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: asyncio.StreamWriter,
        is_to_target: bool,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if connection in self._silenced and not (
                self.path_fault is PathFault.ONE_WAY and is_to_target
            ):
                await asyncio.Event().wait()
            if self.path_fault is PathFault.DELAYED:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
