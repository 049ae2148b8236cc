"""Reads requests and writes answers of the stand-ins for runners."""

import asyncio
import contextlib
import dataclasses
import socket
import struct
import time

import h11

Headers = tuple[tuple[str, str], ...]

READ_BYTES = 65_536
# When the late second copy of an answer is sent.
SECOND_COPY_DELAY_S = 0.05
TRICKLE_INTERVAL_S = 0.15


# SO_LINGER with no time to linger: the connection is reset when it is closed.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as the runner received it.

    ``arrived_s`` is on the monotonic clock.
    """

    attempt_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    ran: bool
    arrived_s: float = dataclasses.field(default_factory=time.monotonic)


def format_head(headers: Headers, status: int = 200) -> bytes:
    """Return the head of an answer with exactly these headers."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"HTTP/1.1 {status} Any\r\n{lines}\r\n".encode()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset the connection, as a crashed machine does."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


async def write_copy_late(
    writer: asyncio.StreamWriter, headers: Headers, body: bytes
) -> None:
    """Write a whole answer again after a delay."""
    await asyncio.sleep(SECOND_COPY_DELAY_S)
    size = ("Content-Length", str(len(body)))
    writer.write(format_head((*headers, size)) + body)


async def trickle(
    connection: h11.Connection, writer: asyncio.StreamWriter, event: bytes
) -> None:
    """Write single bytes of an event that never becomes complete."""
    while True:
        for position in range(len(event) - 2):
            piece = event[position : position + 1]
            writer.write(connection.send(h11.Data(data=piece)) or b"")
            await writer.drain()
            await asyncio.sleep(TRICKLE_INTERVAL_S)
        event = b"x" * len(event)


async def read_request(
    connection: h11.Connection, reader: asyncio.StreamReader, interval_s: float = 0.0
) -> tuple[h11.Request | None, bytes]:
    """Read a request with its whole body; return None at the end.

    Args:
        connection: the HTTP state of the connection.
        reader: the connection.
        interval_s: how long to wait before each part of it.
    """
    request: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            await asyncio.sleep(interval_s)
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return request, body
        else:
            return None, b""


def helper_addresses(headers: dict[str, str]) -> list[str]:
    """Return the addresses of the engines that are named as helpers."""
    listed = headers.get("helpers", "")
    return [address.partition("/")[0] for address in listed.split(",")]


def respond(
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
    status: int,
    headers: Headers,
    body: bytes,
    is_close_delimited: bool = False,
) -> bool:
    """Write a whole answer and return whether the connection is reusable."""
    if is_close_delimited:
        writer.write(format_head(headers, status) + body)
        return False
    size = ("Content-Length", str(len(body)))
    head = h11.Response(status_code=status, headers=[*headers, size])
    data = connection.send(head) or b""
    data += connection.send(h11.Data(data=body)) or b""
    writer.write(data + (connection.send(h11.EndOfMessage()) or b""))
    return True


async def close_after_drain(writer: asyncio.StreamWriter) -> None:
    """Close the connection after the written data is flushed."""
    with contextlib.suppress(ConnectionError):
        if not writer.transport.is_closing():
            await writer.drain()
            writer.close()
            await writer.wait_closed()
