"""Answers of runners that are no sound run of their request."""

import asyncio
import dataclasses
import enum
from collections.abc import Callable

import h11

from standins import platform_connection

EVENT_STREAM = "text/event-stream"
# How long written bytes may need until they have been read at the other end.
DELIVERY_S = 0.05


class Framing(enum.Enum):
    """What marks the end of an answer's body."""

    CHUNKS = "chunks"
    LENGTH = "length"
    CLOSE = "close"


def event(number: int) -> bytes:
    """Return an event as a sound runner sends it."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def events(*numbers: int) -> bytes:
    """Return events as a sound runner sends them."""
    return b"".join(map(event, numbers))


@dataclasses.dataclass(frozen=True, slots=True)
class OddAnswer:
    """One answer of a runner.

    ``body`` is a function of the last event that the caller has, 0 if none.
    An answer that is broken off has no proper end. ``content_type`` may be
    empty for none.
    """

    body: bytes | Callable[[int], bytes]
    status: int = 200
    content_type: str = EVENT_STREAM
    framing: Framing = Framing.CHUNKS
    is_sealed: bool = True
    says_not_run: bool = False
    is_broken_off: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RawAnswer:
    """The bytes of an answer, before the runner closes its connection.

    ``data`` is a function of the header lines that a sound answer begins with.
    """

    data: Callable[[bytes], bytes]


async def send_raw(
    writer: asyncio.StreamWriter,
    answer: RawAnswer,
    headers: platform_connection.Headers,
) -> None:
    """Send the bytes of an answer, which the runner's close is to follow."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    writer.write(answer.data(lines.encode()))
    await asyncio.sleep(DELIVERY_S)


async def send(
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
    answer: OddAnswer,
    id_headers: platform_connection.Headers,
    seal: tuple[str, str],
    last_event: int,
) -> bool:
    """Send an answer and return whether the connection is reusable.

    Args:
        connection: the HTTP state of the connection.
        writer: the connection.
        answer: the answer.
        id_headers: the headers that identify attempt and runner.
        seal: the header with the runner's receipt.
        last_event: the last event that the caller has, 0 if none.
    """
    body = answer.body if isinstance(answer.body, bytes) else answer.body(last_event)
    headers = id_headers
    if answer.content_type:
        headers += (("Content-Type", answer.content_type),)
    if answer.is_sealed:
        headers += (seal,)
    if answer.says_not_run:
        headers += (("Not-Executed", "1"),)
    if answer.framing is Framing.CLOSE:
        writer.write(platform_connection.format_head(headers, answer.status) + body)
    else:
        _write_framed(connection, writer, answer, headers, body)
    if answer.is_broken_off:
        await asyncio.sleep(DELIVERY_S)
        platform_connection.reset(writer)
    return answer.framing is not Framing.CLOSE and not answer.is_broken_off


def _write_framed(
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
    answer: OddAnswer,
    headers: platform_connection.Headers,
    body: bytes,
) -> None:
    framing = ("Transfer-Encoding", "chunked")
    if answer.framing is Framing.LENGTH:
        size_bytes = len(body) + answer.is_broken_off
        framing = ("Content-Length", str(size_bytes))
    head = h11.Response(status_code=answer.status, headers=[*headers, framing])
    data = connection.send(head) or b""
    if body:
        data += connection.send(h11.Data(data=body)) or b""
    if not answer.is_broken_off:
        data += connection.send(h11.EndOfMessage()) or b""
    writer.write(data)
