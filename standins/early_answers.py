"""Answers uploads early: with a part and no length, before they are read."""

import asyncio
import enum
import re
import socket
import struct

READ_BYTES = 65_536
# So little of an upload fits between the two sides.
RECEIVE_BUFFER_BYTES = 16_384
# How long the server waits after the part, and after its end of the stream.
STEP_S = 0.1
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class End(enum.Enum):
    """How the connection of an early answer ends.

    ``CLOSE`` closes it with unread bytes. The others whose names begin with
    ``END`` end only the server's stream first; ``END_UNREAD`` does no more.
    """

    RESET = "reset"
    CLOSE = "close"
    END_THEN_RESET = "end_then_reset"
    END_THEN_READ = "end_then_read"
    END_UNREAD = "end_unread"
    SILENCE = "silence"


class EarlyAnswers:
    """A server that sends ``part`` once it has the head of a request."""

    def __init__(self, end: End, part: bytes) -> None:
        self._end = end
        self._part = part
        self._loop = asyncio.get_running_loop()
        self._listener = socket.socket()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str) -> int:
        """Listen at an address and return the port."""
        self._listener.setblocking(False)
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._listener.bind((host, 0))
        self._listener.listen()
        self._tasks.add(asyncio.ensure_future(self._accept()))
        port: int = self._listener.getsockname()[1]
        return port

    async def close(self) -> None:
        """Close the server and its connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._listener.close()

    async def _accept(self) -> None:
        while True:
            sock, _ = await self._loop.sock_accept(self._listener)
            self._tasks.add(asyncio.ensure_future(self._serve(sock)))

    async def _serve(self, sock: socket.socket) -> None:
        # Asyncio's streams would read on by themselves.
        with sock:
            received = b""
            while b"\r\n\r\n" not in received:
                byte = await self._loop.sock_recv(sock, 1)
                if not byte:
                    return
                received += byte
            await self._loop.sock_sendall(sock, _head(received) + self._part)
            await asyncio.sleep(STEP_S)
            await self._finish(sock)

    async def _finish(self, sock: socket.socket) -> None:
        if self._end.name.startswith("END"):
            sock.shutdown(socket.SHUT_WR)
        match self._end:
            case End.RESET:
                _reset(sock)
            case End.END_THEN_RESET:
                await asyncio.sleep(STEP_S)
                _reset(sock)
            case End.END_THEN_READ:
                while await self._loop.sock_recv(sock, READ_BYTES):
                    pass
            case End.END_UNREAD | End.SILENCE:
                await asyncio.Event().wait()


def _head(request: bytes) -> bytes:
    """Return the head of an answer, with the headers of a runner."""
    found = re.search(rb"(?i)\r\nattempt-id: (\S+)", request)
    name = found[1] if found else b""
    lines = (b"HTTP/1.1 200 OK", b"Attempt-Id: " + name, b"Response-Seal: early")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    sock.close()
