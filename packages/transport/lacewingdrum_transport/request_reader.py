"""Reads and validates HTTP requests, within the limits of the server.

Every fault of a request becomes a ``RequestError``, so that handlers receive
only complete, valid requests.
"""

import dataclasses
import enum
import urllib.parse
from collections.abc import Callable

import h11
from result import Err, Ok, Result

from lacewingdrum_transport import (
    byte_budget,
    byte_channel,
    http_messages,
    turn_budget,
)

BYTES_PER_MIB = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on the connections and requests of callers.

    ``held_body_bytes`` limits the total size of the request bodies of all
    connections. ``idle_timeout_s`` applies while no request has begun.
    """

    header_bytes: int = 16_384
    body_bytes: int = 16 * BYTES_PER_MIB
    held_body_bytes: int = 512 * BYTES_PER_MIB
    connections: int = 1024
    header_timeout_s: float = 10.0
    body_timeout_s: float = 60.0
    idle_timeout_s: float = 75.0
    write_timeout_s: float = 30.0


class RequestErrorReason(enum.Enum):
    """Why a request could not be read."""

    CLOSED = "closed"
    MALFORMED = "malformed"
    HEADER_TOO_LARGE = "header_too_large"
    BODY_TOO_LARGE = "body_too_large"
    TIMEOUT = "timeout"
    OVERLOADED = "overloaded"
    METHOD_NOT_ALLOWED = "method_not_allowed"


STATUS_OF_REASON = {
    RequestErrorReason.MALFORMED: 400,
    RequestErrorReason.METHOD_NOT_ALLOWED: 405,
    RequestErrorReason.TIMEOUT: 408,
    RequestErrorReason.BODY_TOO_LARGE: 413,
    RequestErrorReason.HEADER_TOO_LARGE: 431,
    RequestErrorReason.OVERLOADED: 503,
}


@dataclasses.dataclass(frozen=True, slots=True)
class RequestError:
    """Why a request could not be read; ``CLOSED`` needs no response."""

    reason: RequestErrorReason
    detail: str = ""


class RequestReader:
    """Reads the requests of one connection one after another."""

    def __init__(
        self,
        channel: byte_channel.ByteChannel,
        connection: h11.Connection,
        limits: ServerLimits,
        budget: byte_budget.ByteBudget,
        clock: Callable[[], float],
    ) -> None:
        self._channel = channel
        self._connection = connection
        self._limits = limits
        self._budget = budget
        self._clock = clock
        self._turns = turn_budget.ReadTurns()
        self._held_bytes = 0
        self._received_s = 0.0

    async def wait_for_request(self) -> bool:
        """Wait for the first byte of a request.

        Returns:
            False if the caller disconnected or the idle timeout expired.
        """
        if self._connection.trailing_data[0]:
            self._turns.count(turn_budget.FREE_EVENTS)
            if self._turns.is_over:
                await self._turns.give_back()
            self._received_s = self._clock()
            return True
        data = await self._read_channel(self._limits.idle_timeout_s)
        if not data:
            return False
        self._received_s = self._clock()
        self._connection.receive_data(data)
        return True

    async def read(self) -> Result[http_messages.HttpRequest, RequestError]:
        """Read a request whose first byte was received.

        Returns:
            The complete request, or why it could not be read.
        """
        try:
            return await self._read()
        except h11.RemoteProtocolError as error:
            return Err(_protocol_error(error))

    def release(self) -> None:
        """Return the size of the last request's body to the budget."""
        self._budget.release(self._held_bytes)
        self._held_bytes = 0

    async def _read(self) -> Result[http_messages.HttpRequest, RequestError]:
        deadline_s = self._clock() + self._limits.header_timeout_s
        head = await self._next_event(deadline_s)
        if isinstance(head, RequestError):
            return Err(head)
        if not isinstance(head, h11.Request):
            return Err(RequestError(RequestErrorReason.CLOSED))
        error = self._check_head(head)
        if error is not None:
            return Err(error)
        self._send_continue_if_expected()
        body = await self._read_body()
        if isinstance(body, RequestError):
            return Err(body)
        return _build_request(
            head, body, self._channel.remote_address, self._received_s
        )

    async def _next_event(self, deadline_s: float) -> h11.Event | RequestError:
        while True:
            if self._turns.is_over:
                await self._turns.give_back()
                if self._clock() >= deadline_s:
                    return _not_in_time()
            self._turns.count()
            event = self._connection.next_event()
            if event is h11.PAUSED:
                return RequestError(RequestErrorReason.MALFORMED, "paused")
            if event is not h11.NEED_DATA:
                assert isinstance(event, h11.Event)
                return event
            wait_s = deadline_s - self._clock()
            data = await self._read_channel(wait_s) if wait_s > 0 else None
            if data is None:
                return _not_in_time()
            self._connection.receive_data(data)

    async def _read_channel(self, timeout_s: float) -> bytes | None:
        if not self._channel.has_unread:
            self._turns.reset()
        return await self._channel.read(timeout_s)

    def _check_head(self, head: h11.Request) -> RequestError | None:
        # h11 limits the size of a head only if it arrives in several reads.
        # Each header line has 4 bytes more than its name and value: a colon,
        # a space and CRLF.
        head_bytes = len(head.target)
        head_bytes += sum(len(name) + len(value) + 4 for name, value in head.headers)
        if head_bytes > self._limits.header_bytes:
            return RequestError(RequestErrorReason.HEADER_TOO_LARGE, "header too large")
        if head.method == b"CONNECT":
            return RequestError(RequestErrorReason.METHOD_NOT_ALLOWED, "CONNECT")
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            detail = "both Transfer-Encoding and Content-Length"
            return RequestError(RequestErrorReason.MALFORMED, detail)
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._limits.body_bytes:
                return self._body_too_large()
        return None

    def _send_continue_if_expected(self) -> None:
        if self._connection.they_are_waiting_for_100_continue:
            interim_response = h11.InformationalResponse(status_code=100, headers=[])
            self._channel.write(self._connection.send(interim_response) or b"")

    async def _read_body(self) -> bytes | RequestError:
        deadline_s = self._clock() + self._limits.body_timeout_s
        body = bytearray()
        while True:
            event = await self._next_event(deadline_s)
            if isinstance(event, RequestError):
                return event
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                return RequestError(RequestErrorReason.CLOSED)
            error = self._acquire_body_bytes(len(event.data))
            if error is not None:
                return error
            body += event.data

    def _acquire_body_bytes(self, size_bytes: int) -> RequestError | None:
        if self._held_bytes + size_bytes > self._limits.body_bytes:
            return self._body_too_large()
        if not self._budget.acquire(size_bytes):
            detail = "too many request bodies held"
            return RequestError(RequestErrorReason.OVERLOADED, detail)
        self._held_bytes += size_bytes
        return None

    def _body_too_large(self) -> RequestError:
        detail = f"a body may have at most {self._limits.body_bytes} bytes"
        return RequestError(RequestErrorReason.BODY_TOO_LARGE, detail)


def _not_in_time() -> RequestError:
    detail = "the request did not come whole in time"
    return RequestError(RequestErrorReason.TIMEOUT, detail)


def _protocol_error(error: h11.RemoteProtocolError) -> RequestError:
    if error.error_status_hint == 431:
        return RequestError(RequestErrorReason.HEADER_TOO_LARGE, "header too large")
    # The message of h11 is not used, since it quotes bytes of the caller.
    return RequestError(RequestErrorReason.MALFORMED, "not valid HTTP/1.1")


def _build_request(
    head: h11.Request, body: bytes, remote_address: str, received_s: float
) -> Result[http_messages.HttpRequest, RequestError]:
    target = head.target.decode("ascii", "replace")
    path, _, query = target.partition("?")
    if not path.startswith("/"):
        return Err(RequestError(RequestErrorReason.MALFORMED, "target is no path"))
    try:
        pairs = urllib.parse.parse_qsl(query, keep_blank_values=True)
    except ValueError as error:
        return Err(RequestError(RequestErrorReason.MALFORMED, str(error)))
    headers: dict[str, str] = {}
    for raw_name, raw_value in head.headers:
        name = raw_name.decode("ascii")
        value = raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    request = http_messages.HttpRequest(
        method=head.method.decode("ascii"),
        path=path,
        query=dict(pairs),
        headers=headers,
        body=body,
        remote_address=remote_address,
        target=target,
        received_s=received_s,
    )
    return Ok(request)
