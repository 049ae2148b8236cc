"""An HTTP/1.1 client on h11 and asyncio, with a pool for each address.

A connection returns to its pool only after a clean end of message. The client
never retries a request: its caller can see from ``may_have_been_sent`` whether
a retry is safe.
"""

import asyncio
import collections
import functools
import time
from collections.abc import Callable

from result import Err, Ok, Result

from lacewingdrum_state import fleet
from lacewingdrum_transport import (
    byte_channel,
    client_connection,
    connector,
    http_messages,
    response_reader,
)

AnswerEnd = response_reader.AnswerEnd
ClientErrorReason = client_connection.ClientErrorReason
ClientLimits = client_connection.ClientLimits
HttpClientError = client_connection.HttpClientError
ResponseReader = response_reader.ResponseReader
_Connection = client_connection.ClientConnection


class HttpClient:
    """Sends requests, and pools the connections to each address.

    ``last_connected_s`` is when a new connection was established last.
    """

    def __init__(
        self,
        limits: ClientLimits | None = None,
        clock: Callable[[], float] = time.monotonic,
        connect: connector.Connect = connector.connect,
    ) -> None:
        self.last_connected_s = float("-inf")
        self._limits = limits or ClientLimits()
        self._clock = clock
        self._open_connection = connect
        self._idle: dict[fleet.Address, list[_Connection]] = {}
        self._open_counts: collections.Counter[fleet.Address] = collections.Counter()
        self._in_use: set[_Connection] = set()
        self._closed = False

    async def request(
        self,
        address: fleet.Address,
        method: str,
        path: str,
        headers: http_messages.Headers = (),
        body: bytes = b"",
        timeout_s: float = 10.0,
        on_new_connection: bool = False,
        allow_close_delimited: bool = False,
    ) -> Result[http_messages.HttpResponse, HttpClientError]:
        """Send a request and read the complete response.

        Args:
            address: the address of the server.
            method: the HTTP method.
            path: the path with its query, percent-encoded.
            headers: names and values.
            body: the complete body.
            timeout_s: for the whole exchange.
            on_new_connection: as for ``open``.
            allow_close_delimited: as for ``open``.

        Returns:
            The response, or why the request failed.
        """
        deadline_s = self._clock() + timeout_s
        open_result = await self.open(
            address,
            method,
            path,
            headers,
            body,
            timeout_s,
            on_new_connection=on_new_connection,
            allow_close_delimited=allow_close_delimited,
        )
        if isinstance(open_result, Err):
            return open_result
        reader = open_result.ok_value
        try:
            return await self._read_response(reader, deadline_s)
        finally:
            await reader.close()

    async def open(
        self,
        address: fleet.Address,
        method: str,
        path: str,
        headers: http_messages.Headers = (),
        body: bytes = b"",
        timeout_s: float = 10.0,
        on_new_connection: bool = False,
        allow_close_delimited: bool = False,
        on_send: Callable[[], None] | None = None,
        may_send: Callable[[], bool] | None = None,
        connect_timeout_s: float = float("inf"),
        on_part_taken: Callable[[], None] | None = None,
    ) -> Result[ResponseReader, HttpClientError]:
        """Send a request and wait for the response's head.

        Args:
            address: the address of the server.
            method: the HTTP method.
            path: the path with its query, percent-encoded.
            headers: names and values.
            body: the complete body.
            timeout_s: how long to wait for the connection and the head.
            on_new_connection: open a new connection instead of reusing one.
            allow_close_delimited: accept a body whose end is the close of the
                connection. If the connection is reset, the response counts as
                lost.
            on_send: called before the first byte is sent.
            may_send: called before ``on_send``; nothing is sent if not.
            connect_timeout_s: how long to wait for the connection, if that is
                shorter than the client's limit.
            on_part_taken: called when the server has taken a part of a long
                body, and more is to be sent.

        Returns:
            The response, which the caller must close, or why the request
            failed.
        """
        deadline_s = self._clock() + timeout_s
        head = client_connection.build_request_head(
            address, method, path, headers, body
        )
        if isinstance(head, Err):
            return head
        connection: _Connection | HttpClientError | None = None
        if not on_new_connection:
            connection = self._take_idle(address)
        if connection is None:
            connect_s = min(timeout_s, connect_timeout_s)
            connection = await self._connect(address, connect_s)
        if isinstance(connection, HttpClientError):
            return Err(connection)
        is_handed_over = False
        failure: HttpClientError | None = None
        try:
            if may_send is not None and not may_send():
                is_handed_over = True
                self._keep_idle(connection)
                return Err(HttpClientError(ClientErrorReason.WITHDRAWN, False))
            if on_send is not None:
                on_send()
            answer = await response_reader.exchange(
                connection,
                head.ok_value,
                body,
                deadline_s,
                allow_close_delimited,
                on_part_taken,
            )
            if isinstance(answer, HttpClientError):
                failure = answer
                return Err(answer)
            is_handed_over = True
            return Ok(ResponseReader(connection, answer, self._release))
        finally:
            # Also if this task is cancelled, the connection must be closed
            # and no longer counted.
            if not is_handed_over:
                timed_out = failure is not None and (
                    failure.reason is ClientErrorReason.TIMEOUT
                )
                self._discard(connection, timed_out)

    async def close(self) -> None:
        """Abort all connections; later requests fail without being sent."""
        self._closed = True
        connections = list(self._in_use)
        for idle in self._idle.values():
            connections.extend(idle)
        self._idle.clear()
        for connection in connections:
            connection.channel.set_input_handler(None)
            connection.channel.abort()

    def close_idle(self, address: fleet.Address) -> None:
        """Close the pooled connections to ``address``."""
        for idle in self._idle.pop(address, []):
            self._close_connection(idle)

    def idle_count(self, address: fleet.Address) -> int:
        """Return the number of pooled connections to ``address``."""
        return len(self._idle.get(address, ()))

    async def _read_response(
        self, reader: ResponseReader, deadline_s: float
    ) -> Result[http_messages.HttpResponse, HttpClientError]:
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            part = await reader.read(deadline_s - self._clock())
            if isinstance(part, Err):
                return part
            data = part.ok_value
            if not data:
                break
            size_bytes += len(data)
            if size_bytes > self._limits.body_bytes:
                reason = ClientErrorReason.TOO_LARGE
                return Err(HttpClientError(reason, True, "response too large"))
            parts.append(data)
        body = b"".join(parts)
        return Ok(http_messages.HttpResponse(reader.status, reader.headers, body))

    def _take_idle(self, address: fleet.Address) -> _Connection | None:
        idle = self._idle.get(address)
        now_s = self._clock()
        while idle:
            connection = idle.pop()
            limit_s = min(self._limits.idle_s, connection.idle_limit_s)
            is_recent = now_s - connection.idle_since_s <= limit_s
            if connection.is_quiescent and is_recent:
                connection.channel.set_input_handler(None)
                self._in_use.add(connection)
                return connection
            self._close_connection(connection)
        return None

    async def _connect(
        self, address: fleet.Address, timeout_s: float
    ) -> _Connection | HttpClientError:
        if self._closed:
            return HttpClientError(ClientErrorReason.CLOSED, False, "client closed")
        self._close_expired()
        if self._open_counts[address] >= self._limits.connections_per_address:
            detail = f"{self._open_counts[address]} connections open"
            return HttpClientError(ClientErrorReason.POOL_EXHAUSTED, False, detail)
        self._open_counts[address] += 1
        channel: byte_channel.ByteChannel | None = None
        try:
            async with asyncio.timeout(min(timeout_s, self._limits.connect_timeout_s)):
                opened = await self._open_connection(self._new_channel, address)
                assert isinstance(opened, byte_channel.ByteChannel)
                channel = opened
        except TimeoutError:
            return HttpClientError(ClientErrorReason.CONNECT_TIMEOUT, False)
        except (OSError, OverflowError, UnicodeError) as error:
            reason = ClientErrorReason.CONNECT_FAILED
            return HttpClientError(reason, False, str(error))
        finally:
            if channel is None:
                self._decrement_open_count(address)
        self.last_connected_s = self._clock()
        header_bytes = self._limits.header_bytes
        connection = _Connection(address, channel, header_bytes, self._clock)
        self._in_use.add(connection)
        return connection

    def _new_channel(self) -> byte_channel.ByteChannel:
        return byte_channel.ByteChannel(
            unacknowledged_limit_ms=self._limits.unacknowledged_limit_ms,
            unsent_max_bytes=byte_channel.UNSENT_MAX_BYTES,
        )

    def _close_expired(self) -> None:
        """Close connections idle for too long, to any address."""
        oldest_s = self._clock() - self._limits.idle_s
        for address, idle in list(self._idle.items()):
            # The list is ordered by the time when a connection became idle.
            while idle and idle[0].idle_since_s < oldest_s:
                self._close_connection(idle.pop(0))
            if not idle:
                del self._idle[address]

    def _release(self, connection: _Connection, timed_out: bool) -> None:
        if not connection.reusable:
            self._discard(connection, timed_out)
            return
        connection.h11.start_next_cycle()
        self._keep_idle(connection)

    def _keep_idle(self, connection: _Connection) -> None:
        """Keep a connection on which the next request can be sent."""
        idle = self._idle.setdefault(connection.address, [])
        full = len(idle) >= self._limits.idle_per_address
        if self._closed or full or not connection.is_quiescent:
            self._discard(connection, False)
            return
        self._in_use.discard(connection)
        connection.idle_since_s = self._clock()
        idle.append(connection)
        # An idle connection that gets anything is of no use, and bytes without
        # end would fill its buffer.
        connection.channel.set_input_handler(
            functools.partial(self._close_idle, connection)
        )

    def _close_idle(self, connection: _Connection) -> None:
        self._idle[connection.address].remove(connection)
        self._close_connection(connection)

    def _discard(self, connection: _Connection, timed_out: bool) -> None:
        self._in_use.discard(connection)
        self._close_connection(connection)
        if timed_out:
            # The cause of the timeout, such as a broken network path, may
            # affect the idle connections to this address as well.
            self.close_idle(connection.address)

    def _close_connection(self, connection: _Connection) -> None:
        connection.channel.set_input_handler(None)
        connection.channel.abort()
        self._decrement_open_count(connection.address)

    def _decrement_open_count(self, address: fleet.Address) -> None:
        self._open_counts[address] -= 1
        if self._open_counts[address] <= 0:
            del self._open_counts[address]
