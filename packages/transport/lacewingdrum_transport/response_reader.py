"""Reads heads and bodies of responses and finds their ends."""

import enum
import re
from collections.abc import Callable

import h11
from result import Err, Ok, Result

from lacewingdrum_transport import (
    byte_channel,
    client_connection,
    event_allowance,
    http_messages,
)

# A pooled connection is not reused this close to the end of the server's
# keep-alive timeout.
KEEP_ALIVE_MARGIN_S = 0.6
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d{1,6})")
# HTTP defines no class of statuses above this; h11 refuses those below 100.
STATUS_MAX = 599
STATUSES_WITHOUT_BODY = frozenset((204, 304))
# A server may send some responses before the final one, but not without end.
INTERIM_RESPONSES_MAX = 16
ClientConnection = client_connection.ClientConnection
ClientErrorReason = client_connection.ClientErrorReason
HttpClientError = client_connection.HttpClientError


class AnswerEnd(enum.Enum):
    """What marks the end of a response's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION_CLOSE = "connection_close"


class ResponseReader:
    """A response whose head was received; its body is read in parts.

    ``answer_end`` says what marks the end of the body. ``channel_end`` says
    how the connection stood when the response ended.
    ``is_first_on_connection`` is False if the connection has carried an
    earlier request, to which this may be one more response.
    """

    def __init__(
        self,
        connection: ClientConnection,
        head: h11.Response,
        release: Callable[[ClientConnection, bool], None],
    ) -> None:
        self.status: int = head.status_code
        self.headers: http_messages.Headers = tuple(
            (name.decode("ascii"), value.decode("latin-1"))
            for name, value in head.headers
        )
        self.answer_end = answer_end(head)
        self.channel_end = byte_channel.ChannelEnd.OPEN
        self.is_first_on_connection = connection.request_count == 1
        self._connection = connection
        self._connection.idle_limit_s = _idle_limit_s(self.headers)
        self._release = release
        self._allowance = event_allowance.EventAllowance(connection.clock)
        self._ended = False
        self._error: HttpClientError | None = None

    @property
    def clock(self) -> Callable[[], float]:
        """The clock that deadlines refer to."""
        return self._connection.clock

    async def read(self, timeout_s: float) -> Result[bytes, HttpClientError]:
        """Wait for the next part of the body.

        Args:
            timeout_s: how long to wait for it.

        Returns:
            Data received so far, or ``b""`` at the clean end of the message.
        """
        connection = self._connection
        deadline_s = connection.clock() + timeout_s
        while not self._ended:
            event = await connection.next_event(deadline_s)
            if isinstance(event, h11.Data):
                return Ok(self._join_buffered_data(bytes(event.data)))
            if not await self._is_sure_end(deadline_s):
                detail = "connection ended before the request was received"
                event = HttpClientError(ClientErrorReason.LOST, True, detail)
            self._on_end(event)
        if self._error is not None:
            return Err(self._error)
        return Ok(b"")

    async def count_events(self, event_count: int) -> None:
        """Count the events within a part, and let others have their turn.

        An answer with far more events than bytes ends with an error.

        Args:
            event_count: the number of events.
        """
        turns = self._connection.turns
        turns.count(event_count)
        self._check_allowance(event_count, 0)
        if turns.is_over:
            await turns.give_back()

    async def close(self) -> None:
        """Release the connection; abort it if the message has not ended."""
        if not self._ended:
            self._finish(HttpClientError(ClientErrorReason.CLOSED, True, "closed here"))

    async def _is_sure_end(self, deadline_s: float) -> bool:
        """Return whether no reset can follow the end of the response.

        A server that ends its stream before it has the whole request may have
        broken off: what is still sent to it is then answered by a reset.
        """
        channel = self._connection.channel
        if self.answer_end is not AnswerEnd.CONNECTION_CLOSE:
            return True
        if channel.end is not byte_channel.ChannelEnd.REMOTE_CLOSED:
            return True
        return await channel.confirm_received(deadline_s - self._connection.clock())

    def _join_buffered_data(self, data: bytes) -> bytes:
        """Join the parts already received, to be forwarded in one write."""
        parts = [data]
        size_bytes = len(data)
        turns = self._connection.turns
        while not self._ended and not turns.is_over:
            event = self._connection.buffered_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size_bytes += len(event.data)
            elif event is None:
                break
            else:
                self._on_end(event)
        self._check_allowance(len(parts), size_bytes)
        return data if len(parts) == 1 else b"".join(parts)

    def _check_allowance(self, event_count: int, size_bytes: int) -> None:
        self._allowance.count(event_count, size_bytes)
        if self._allowance.is_exceeded and not self._ended:
            detail = "far more events than bytes"
            reason = ClientErrorReason.TOO_LARGE
            self._finish(HttpClientError(reason, True, detail))

    def _on_end(self, event: h11.Event | HttpClientError) -> None:
        if isinstance(event, h11.EndOfMessage):
            self._finish(None)
        elif isinstance(event, HttpClientError):
            self._finish(event)
        else:
            detail = "connection ended inside the response"
            self._finish(HttpClientError(ClientErrorReason.LOST, True, detail))

    def _finish(self, error: HttpClientError | None) -> None:
        self._ended = True
        self._error = error
        self.channel_end = self._connection.channel.end
        timed_out = error is not None and error.reason is ClientErrorReason.TIMEOUT
        self._release(self._connection, timed_out)


async def exchange(
    connection: ClientConnection,
    head: h11.Request,
    body: bytes,
    deadline_s: float,
    allow_close_delimited: bool,
    on_part_taken: Callable[[], None] | None = None,
) -> h11.Response | HttpClientError:
    """Send a request and wait for the head of its final response.

    Args:
        connection: an idle connection.
        head: the head of the request.
        body: its complete body.
        deadline_s: when to give up, as a time of the connection's clock.
        allow_close_delimited: as for ``HttpClient.open``.
        on_part_taken: as for ``HttpClient.open``.

    Returns:
        The head of the response, or why there is none.
    """
    send_result = connection.send_request(head, body, on_part_taken)
    if isinstance(send_result, Err):
        return send_result.err_value
    interim_count = 0
    while True:
        event = await connection.next_event(deadline_s)
        if isinstance(event, h11.InformationalResponse):
            interim_count += 1
            if interim_count <= INTERIM_RESPONSES_MAX:
                continue
            detail = "interim responses without end"
            return HttpClientError(ClientErrorReason.TOO_LARGE, True, detail)
        if isinstance(event, HttpClientError):
            return event
        if not isinstance(event, h11.Response):
            detail = "connection ended before the response"
            return HttpClientError(ClientErrorReason.LOST, True, detail)
        if event.status_code > STATUS_MAX:
            detail = f"status {event.status_code}"
            return HttpClientError(ClientErrorReason.MALFORMED, True, detail)
        self_delimited = is_self_delimited(head.method.decode(), event)
        if self_delimited or allow_close_delimited:
            return event
        detail = "a response without Content-Length or chunks has no sure end"
        return HttpClientError(ClientErrorReason.MALFORMED, True, detail)


def is_self_delimited(method: str, head: h11.Response) -> bool:
    """Return whether the response itself states where its body ends.

    Args:
        method: the request's method.
        head: the response's head.

    Returns:
        False if only the close of the connection ends the body, so that an
        interrupted response may look complete.
    """
    if method == "HEAD" or head.status_code in STATUSES_WITHOUT_BODY:
        return True
    return answer_end(head) is not AnswerEnd.CONNECTION_CLOSE


def answer_end(head: h11.Response) -> AnswerEnd:
    """Return what marks the end of a response's body, if it has one.

    Args:
        head: the response's head.
    """
    names = {name for name, _ in head.headers}
    if b"transfer-encoding" in names:
        if head.http_version >= b"1.1":
            return AnswerEnd.CHUNKS
        return AnswerEnd.CONNECTION_CLOSE
    if b"content-length" in names:
        return AnswerEnd.LENGTH
    return AnswerEnd.CONNECTION_CLOSE


def _idle_limit_s(headers: http_messages.Headers) -> float:
    """Return how long the server's headers let the connection stay idle."""
    timeout_match = _KEEP_ALIVE_TIMEOUT.search(
        http_messages.header_value(headers, "keep-alive")
    )
    return (
        float(timeout_match[1]) - KEEP_ALIVE_MARGIN_S if timeout_match else float("inf")
    )
