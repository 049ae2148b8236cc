"""An HTTP/1.1 client connection: requests out, events of responses in."""

import dataclasses
import enum
from collections.abc import Callable

import h11
from result import Err, Ok, Result

from lacewingdrum_state import fleet
from lacewingdrum_transport import byte_channel, http_messages, turn_budget

BYTES_PER_MIB = 1024 * 1024
# h11 gives this status to a head, or a line between chunks, without end.
_HEADER_TOO_LARGE_STATUS = 431
METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits for each address, connection and response.

    A connection is closed if sent data stays unacknowledged for
    ``unacknowledged_limit_ms``.
    """

    connections_per_address: int = 1024
    idle_per_address: int = 64
    idle_s: float = 15.0
    connect_timeout_s: float = 2.0
    unacknowledged_limit_ms: int = byte_channel.UNACKNOWLEDGED_LIMIT_MS
    header_bytes: int = 16_384
    body_bytes: int = 64 * BYTES_PER_MIB


class ClientErrorReason(enum.Enum):
    """Why a request got no response or an incomplete one."""

    CLOSED = "closed"
    CONNECT_FAILED = "connect_failed"
    CONNECT_TIMEOUT = "connect_timeout"
    INVALID_REQUEST = "invalid_request"
    LOST = "lost"
    MALFORMED = "malformed"
    POOL_EXHAUSTED = "pool_exhausted"
    TIMEOUT = "timeout"
    TOO_LARGE = "too_large"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True)
class HttpClientError:
    """Why a request failed.

    ``may_have_been_sent`` is False only if certainly no byte of the request
    was written to a connection.
    """

    reason: ClientErrorReason
    may_have_been_sent: bool
    detail: str = ""


class ClientConnection:
    """A connection to one address, with its h11 state.

    ``request_count`` is the number of requests that were sent on it.
    ``turns`` counts what it reads in a turn of the event loop.
    """

    def __init__(
        self,
        address: fleet.Address,
        channel: byte_channel.ByteChannel,
        header_bytes: int,
        clock: Callable[[], float],
    ) -> None:
        self.address = address
        self.channel = channel
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=header_bytes)
        self.clock = clock
        self.idle_since_s = 0.0
        self.idle_limit_s = float("inf")
        self.request_count = 0
        self.turns = turn_budget.ReadTurns()
        self._needs_data = False

    @property
    def reusable(self) -> bool:
        """Whether another request can be sent on the connection."""
        both_done = self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE
        return both_done and self.is_quiescent and not self.h11.trailing_data[0]

    @property
    def is_quiescent(self) -> bool:
        """Whether the channel is open and has no unread or unsent bytes."""
        channel = self.channel
        return not (channel.read_closed or channel.has_unread or channel.unsent_bytes)

    async def next_event(self, deadline_s: float) -> h11.Event | HttpClientError:
        """Wait for the next event of the response.

        Args:
            deadline_s: when to give up, as a time of the clock.

        Returns:
            The event, or why none was received.
        """
        while True:
            if self.turns.is_over and not await self.give_back(deadline_s):
                return _not_in_time()
            event = self.buffered_event()
            if event is not None:
                return event
            failure = await self._receive(deadline_s)
            if failure is not None:
                return failure

    async def give_back(self, deadline_s: float) -> bool:
        """Let the event loop serve other connections.

        Args:
            deadline_s: as for ``next_event``.

        Returns:
            False if it is over.
        """
        await self.turns.give_back()
        return self.clock() < deadline_s

    def buffered_event(self) -> h11.Event | HttpClientError | None:
        """Return the next event, or None if more data must be received."""
        if self._needs_data:
            # Without new data, h11 would parse the rest of its buffer again.
            return None
        self.turns.count()
        try:
            event = self.h11.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == _HEADER_TOO_LARGE_STATUS:
                return HttpClientError(ClientErrorReason.TOO_LARGE, True, str(error))
            lost = self.channel.read_closed and not self.channel.has_unread
            reason = ClientErrorReason.LOST if lost else ClientErrorReason.MALFORMED
            return HttpClientError(reason, True, str(error))
        if event is h11.NEED_DATA:
            self._needs_data = True
            return None
        if isinstance(event, h11.Event):
            return event
        return HttpClientError(ClientErrorReason.MALFORMED, True, "paused")

    async def _receive(self, deadline_s: float) -> HttpClientError | None:
        if not self.channel.has_unread:
            self.turns.reset()
        wait_s = max(deadline_s - self.clock(), 0.0)
        data = await self.channel.read(wait_s)
        if data is None:
            return _not_in_time()
        if not data and self.channel.end is not byte_channel.ChannelEnd.REMOTE_CLOSED:
            # Only the server itself can end a response by closing.
            detail = f"connection {self.channel.end.value}"
            return HttpClientError(ClientErrorReason.LOST, True, detail)
        if not data and self.h11.their_state is h11.SEND_RESPONSE:
            detail = "connection ended before the response"
            return HttpClientError(ClientErrorReason.LOST, True, detail)
        self.h11.receive_data(data)
        self._needs_data = False
        return None

    def send_request(
        self,
        head: h11.Request,
        body: bytes,
        on_part_taken: Callable[[], None] | None = None,
    ) -> Result[None, HttpClientError]:
        """Write a request.

        Args:
            head: the validated head, which states the length of the body.
            body: the complete body.
            on_part_taken: called when the server has taken a part of a long
                body, and more is to be sent.

        Returns:
            An error if nothing was written.
        """
        data = self.h11.send(head) or b""
        if body:
            self.h11.send(h11.Data(data=body))
        self.h11.send(h11.EndOfMessage())
        self.channel.on_part_taken = on_part_taken
        if self.channel.write_message(data, body):
            self.request_count += 1
            return Ok(None)
        detail = "connection ended before the request"
        return Err(HttpClientError(ClientErrorReason.LOST, False, detail))


def _not_in_time() -> HttpClientError:
    return HttpClientError(ClientErrorReason.TIMEOUT, True, "no data in time")


def build_request_head(
    address: fleet.Address,
    method: str,
    path: str,
    headers: http_messages.Headers,
    body: bytes,
) -> Result[h11.Request, HttpClientError]:
    """Build and validate the head of a request.

    Args:
        address: the value of the Host header unless ``headers`` has one.
        method: the HTTP method.
        path: the path with its query, percent-encoded.
        headers: names and values. Connection headers among them are replaced
            by the client's own.
        body: the complete body, for the Content-Length header.

    Returns:
        The head, or why it is not a valid request.
    """
    try:
        fields = [
            (name.encode("ascii"), value.encode("latin-1"))
            for name, value in headers
            if name.lower() not in http_messages.CONNECTION_HEADERS
        ]
        if not http_messages.header_value(headers, "host"):
            fields.insert(0, (b"host", str(address).encode("ascii")))
        if body or method in METHODS_WITH_BODY:
            fields.append((b"content-length", b"%d" % len(body)))
        target = path.encode("ascii")
        return Ok(h11.Request(method=method, target=target, headers=fields))
    except (h11.LocalProtocolError, UnicodeEncodeError) as error:
        reason = ClientErrorReason.INVALID_REQUEST
        return Err(HttpClientError(reason, False, str(error)))
