"""Sends the answers of the stand-ins for runners, whole or with a fault."""

import asyncio
import enum

import h11

from standins import platform_connection

Headers = platform_connection.Headers

# Events that a stream sends before its fault, and bytes of the next one.
EVENTS_BEFORE_FAULT = 2
# How long a sound runner that falls silent needs to go on.
PAUSE_S = 1.2
PARTIAL_BYTES = 7
CONTENT_TYPE = ("Content-Type", "text/event-stream")
# How long written bytes may need until they have been read at the other end.
DELIVERY_S = 0.05


class Fault(enum.Enum):
    """A fault of a runner in handling one request.

    The faults inside an answer differ in its end: ``ABORT_INSIDE_ANSWER``
    closes the connection, ``RESET_INSIDE_ANSWER`` resets it, and
    ``END_INSIDE_EVENT`` ends the answer properly after a part of an event.
    ``CLOSE_DELIMITED`` has neither a length nor chunks; so have
    ``CLOSE_BEFORE_EVENTS``, whose connection is closed right after the head,
    and ``CLOSE_INSIDE_EVENT``. ``PAUSE`` is no failure: the runner is silent
    for a while and goes on. The endless ones send bytes until the
    connection is closed at the other side: chunks of one byte, events of two
    bytes in chunks, empty lines without chunks, heads of
    many fields, or an event of short comments.
    """

    NONE = "none"
    SHED = "shed"
    OTHER_RUNNER = "other_runner"
    ERROR = "error"
    BUSY_WITHOUT_NOT_EXECUTED = "busy_without_word"
    ABORT_BEFORE_ANSWER = "cut_before_answer"
    ABORT_INSIDE_ANSWER = "cut_inside_answer"
    RESET_INSIDE_ANSWER = "reset_inside_answer"
    END_INSIDE_EVENT = "end_inside_event"
    CLOSE_BEFORE_EVENTS = "close_before_events"
    CLOSE_INSIDE_EVENT = "close_inside_event"
    SILENT = "no_bytes"
    NO_RECEIPT = "no_receipt"
    OTHER_ATTEMPT_ANSWER = "foreign_answer"
    EXTRA_BYTES = "extra_bytes"
    LATE_SECOND_COPY = "late_second_copy"
    TRICKLE = "trickle"
    PAUSE = "pause"
    CLOSE_DELIMITED = "unmarked_end"
    GARBLED = "garbled"
    HELPER_FAILED = "helper_failed"
    ENDLESS_HEAD = "endless_head"
    ENDLESS_STATUS = "endless_status"
    ENDLESS_HEADERS = "endless_headers"
    ENDLESS_LENGTH = "endless_length"
    ENDLESS_EXTENSION = "endless_extension"
    ENDLESS_TRAILERS = "endless_trailers"
    ENDLESS_SURPLUS = "endless_surplus"
    ENDLESS_INTERIM = "endless_interim"
    ENDLESS_BODY = "endless_body"
    ENDLESS_FAILURE = "endless_failure"
    ENDLESS_CHUNKS = "endless_chunks"
    ENDLESS_EVENTS = "endless_events"
    ENDLESS_LINES = "endless_lines"
    ENDLESS_FIELDS = "endless_fields"
    ENDLESS_COMMENT = "endless_comment"


class AnswerWriter:
    """Writes one successful answer.

    Args:
        connection: the HTTP state of the connection.
        writer: the connection.
        headers: the headers of the answer, without those of its framing.
        is_close_delimited: whether the answer has neither a length nor chunks.
    """

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        headers: Headers,
        is_close_delimited: bool,
    ) -> None:
        self.connection = connection
        self.writer = writer
        self.headers = headers
        self.is_close_delimited = is_close_delimited

    def start(self, framing: tuple[str, str]) -> None:
        """Write the head, with ``framing`` unless it is close-delimited."""
        if self.is_close_delimited:
            self.writer.write(platform_connection.format_head(self.headers))
            return
        head = h11.Response(status_code=200, headers=[*self.headers, framing])
        self.writer.write(self.connection.send(head) or b"")

    async def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if not self.is_close_delimited:
            data = self.connection.send(h11.Data(data=data)) or b""
        self.writer.write(data)
        await self.writer.drain()

    def finish(self) -> bool:
        """End the answer and return whether the connection is reusable."""
        if not self.is_close_delimited:
            self.writer.write(self.connection.send(h11.EndOfMessage()) or b"")
        return not self.is_close_delimited

    async def break_off(self, fault: Fault) -> bool:
        """End the answer inside its body as the fault says."""
        if fault is Fault.END_INSIDE_EVENT:
            return self.finish()
        if fault is Fault.RESET_INSIDE_ANSWER:
            await asyncio.sleep(DELIVERY_S)
            platform_connection.reset(self.writer)
        return False


FAULTS_INSIDE_ANSWER = frozenset(
    (
        Fault.ABORT_INSIDE_ANSWER,
        Fault.RESET_INSIDE_ANSWER,
        Fault.END_INSIDE_EVENT,
        Fault.CLOSE_INSIDE_EVENT,
    )
)
CLOSE_DELIMITED_STREAMS = frozenset(
    (Fault.CLOSE_DELIMITED, Fault.CLOSE_BEFORE_EVENTS, Fault.CLOSE_INSIDE_EVENT)
)


async def send_body(
    answer: AnswerWriter,
    body: bytes,
    fault: Fault,
    tasks: set[asyncio.Task[None]],
) -> bool:
    """Send an answer that is no stream.

    Args:
        answer: writes the answer.
        body: the whole body.
        fault: the fault of this answer.
        tasks: receives the task that sends a copy later.

    Returns:
        Whether the connection is reusable.
    """
    if fault is Fault.CLOSE_DELIMITED:
        answer.is_close_delimited = True
    if fault is Fault.PAUSE:
        await asyncio.sleep(PAUSE_S)
    answer.start(("Content-Length", str(len(body))))
    if fault in FAULTS_INSIDE_ANSWER:
        await answer.write(body[:PARTIAL_BYTES])
        if fault is Fault.END_INSIDE_EVENT:
            return False
        return await answer.break_off(fault)
    await answer.write(body)
    is_reusable = answer.finish()
    if fault is Fault.EXTRA_BYTES:
        answer.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
    if fault is Fault.LATE_SECOND_COPY:
        copy = platform_connection.write_copy_late(answer.writer, answer.headers, body)
        tasks.add(asyncio.ensure_future(copy))
    return is_reusable


async def send_events(
    answer: AnswerWriter,
    first: int,
    last: int,
    interval_s: float,
    fault: Fault,
) -> bool:
    """Send an answer that is a stream of events.

    Args:
        answer: writes the answer.
        first: the number of the first event.
        last: the number of the last event.
        interval_s: the time between two events.
        fault: the fault of this answer.

    Returns:
        Whether the connection is reusable.
    """
    answer.headers = (*answer.headers, CONTENT_TYPE)
    if fault in CLOSE_DELIMITED_STREAMS:
        answer.is_close_delimited = True
    answer.start(("Transfer-Encoding", "chunked"))
    if fault is Fault.CLOSE_BEFORE_EVENTS:
        return answer.finish()
    for number in range(first, last + 1):
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        if number == first + EVENTS_BEFORE_FAULT:
            if fault is Fault.PAUSE:
                await asyncio.sleep(PAUSE_S)
            if fault is Fault.TRICKLE:
                await platform_connection.trickle(
                    answer.connection, answer.writer, event
                )
            if fault in FAULTS_INSIDE_ANSWER:
                await answer.write(event[:PARTIAL_BYTES])
                return await answer.break_off(fault)
        await answer.write(event)
        await asyncio.sleep(interval_s)
    return answer.finish()
