"""Answers of the stand-ins for runners that send bytes without end."""

import asyncio

from standins import platform_connection
from standins.platform_answers import Fault

Headers = platform_connection.Headers

BLOCK = b"x" * 16_384
# An answer that nobody closes ends after so much, so that a test fails.
SENT_MAX_BYTES = 64 * 1024 * 1024
CHUNKED = ("Transfer-Encoding", "chunked")
# Single lines and fields, a declared length, and bytes after a whole answer.
PLACE_FAULTS = frozenset(
    (
        Fault.ENDLESS_STATUS,
        Fault.ENDLESS_HEADERS,
        Fault.ENDLESS_LENGTH,
        Fault.ENDLESS_EXTENSION,
        Fault.ENDLESS_TRAILERS,
        Fault.ENDLESS_SURPLUS,
    )
)
FAULTS = PLACE_FAULTS | frozenset(
    (
        Fault.ENDLESS_HEAD,
        Fault.ENDLESS_INTERIM,
        Fault.ENDLESS_BODY,
        Fault.ENDLESS_FAILURE,
        Fault.ENDLESS_CHUNKS,
        Fault.ENDLESS_EVENTS,
        Fault.ENDLESS_LINES,
        Fault.ENDLESS_FIELDS,
        Fault.ENDLESS_COMMENT,
    )
)


class EndlessAnswers:
    """Sends answers without end, and counts what was taken of them."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.closed_count = 0

    async def send(
        self, writer: asyncio.StreamWriter, headers: Headers, fault: Fault
    ) -> None:
        """Send without end until the other side closes the connection."""
        block = BLOCK
        match fault:
            case Fault.ENDLESS_HEAD:
                writer.write(platform_connection.format_head(headers)[:-2] + b"X-A: ")
            case Fault.ENDLESS_STATUS:
                writer.write(b"HTTP/1.1 200 ")
            case Fault.ENDLESS_HEADERS:
                block = b"X-A: a\r\n" * 2_048
                writer.write(platform_connection.format_head(headers)[:-2])
            case Fault.ENDLESS_LENGTH:
                length = ("Content-Length", "9" * 15)
                writer.write(platform_connection.format_head((*headers, length)))
            case Fault.ENDLESS_EXTENSION:
                head = platform_connection.format_head((*headers, CHUNKED))
                writer.write(head + b"1;")
            case Fault.ENDLESS_TRAILERS:
                block = b"X-A: a\r\n" * 2_048
                head = platform_connection.format_head((*headers, CHUNKED))
                writer.write(head + b"0\r\n")
            case Fault.ENDLESS_SURPLUS:
                length = ("Content-Length", "4")
                head = platform_connection.format_head((*headers, length))
                writer.write(head + b"done")
            case Fault.ENDLESS_INTERIM:
                block = b"HTTP/1.1 102 Processing\r\n\r\n" * 100
            case Fault.ENDLESS_BODY:
                writer.write(platform_connection.format_head(headers))
            case Fault.ENDLESS_FAILURE:
                writer.write(platform_connection.format_head(headers, 500))
            case Fault.ENDLESS_CHUNKS:
                block = b"1\r\nx\r\n" * 2_730
                writer.write(platform_connection.format_head((*headers, CHUNKED)))
            case Fault.ENDLESS_EVENTS:
                block = b"2\r\n\n\n\r\n" * 2_340
                writer.write(platform_connection.format_head((*headers, CHUNKED)))
            case Fault.ENDLESS_LINES:
                block = b"\n" * 16_384
                writer.write(platform_connection.format_head(headers))
            case Fault.ENDLESS_COMMENT:
                block = b":\n" * 8_192
                writer.write(platform_connection.format_head(headers))
            case Fault.ENDLESS_FIELDS:
                fields = b"a:\r\n" * 50_000
                block = b"HTTP/1.1 102 Processing\r\n" + fields + b"\r\n"
        try:
            for _ in range(SENT_MAX_BYTES // len(block)):
                writer.write(block)
                await writer.drain()
                self.sent_bytes += len(block)
                await asyncio.sleep(0)
        except ConnectionError:
            self.closed_count += 1
