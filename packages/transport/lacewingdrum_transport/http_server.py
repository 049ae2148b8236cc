"""An HTTP/1.1 server on h11 and asyncio, with one task per connection."""

import asyncio
import contextlib
import logging
import socket
import time
from collections.abc import Awaitable, Callable

import h11
from result import Err, Ok

from lacewingdrum_state import states
from lacewingdrum_transport import (
    byte_budget,
    byte_channel,
    connection_end,
    http_messages,
    request_reader,
    responder as responders,
)

HttpRequest = http_messages.HttpRequest
HttpResponse = http_messages.HttpResponse
Responder = responders.Responder
ServerLimits = request_reader.ServerLimits
Handler = Callable[[HttpRequest, Responder], Awaitable[None]]

ACCEPT_BACKLOG = 1024
# Turns of the event loop from an accepted socket to its connection.
ACCEPT_TURNS = 4

_logger = logging.getLogger(__name__)


class HttpServer:
    """Accepts connections and passes their requests to a handler.

    The server itself answers requests that are malformed, too large or too
    slow; they never reach the handler.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._handler = handler
        self._limits = limits or ServerLimits()
        self._clock = clock
        self._budget = byte_budget.ByteBudget(self._limits.held_body_bytes)
        self._server: asyncio.Server | None = None
        self._tasks: dict[asyncio.Task[None], byte_channel.ByteChannel] = {}
        self._busy: set[byte_channel.ByteChannel] = set()
        # Requests without a whole answer; None while a request is being read.
        self._unanswered: dict[byte_channel.ByteChannel, Responder | None] = {}
        self._no_busy_connections = asyncio.Event()
        self._no_busy_connections.set()
        self._leaving = False
        self._is_closing = False

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._tasks)

    @property
    def busy_count(self) -> int:
        """The number of requests between first byte and end of response."""
        return len(self._busy)

    async def start(
        self, host: str, port: int, listener: socket.socket | None = None
    ) -> int:
        """Bind the address and accept connections.

        Args:
            host: the IP address to bind.
            port: the port; with 0 the system chooses one.
            listener: a socket that already listens there, to be used instead.

        Returns:
            The bound port.

        Raises:
            OSError: the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        if listener is None:
            self._server = await loop.create_server(
                self._new_channel, host, port, backlog=ACCEPT_BACKLOG
            )
        else:
            self._server = await loop.create_server(
                self._new_channel, sock=listener, backlog=ACCEPT_BACKLOG
            )
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def set_limits(self, limits: ServerLimits) -> None:
        """Set the limits.

        Open connections continue to use the limits on headers, bodies and
        idle time with which they were opened.
        """
        self._limits = limits
        self._budget.set_limit(limits.held_body_bytes)

    def set_leaving(self) -> None:
        """Close each connection after its requests that have been received."""
        self._leaving = True

    async def stop_accepting(self) -> None:
        """Stop accepting connections; open ones continue."""
        if self._server is None:
            return
        loop = asyncio.get_running_loop()
        for listener in self._server.sockets:
            loop.remove_reader(listener.fileno())
        # asyncio drops connections that a closed server is just accepting.
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        self._server.close()

    async def close(self, grace_s: float = 0.0) -> int:
        """Wait for requests in progress, then close all connections.

        Requests that are still in progress then are interrupted. Their
        handlers can send a last answer for a moment; the server sends one
        where a handler has sent none.

        Args:
            grace_s: how long to wait.

        Returns:
            The number of requests that were interrupted.
        """
        self.set_leaving()
        await self.stop_accepting()
        if self._busy and grace_s > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(grace_s):
                    await self._no_busy_connections.wait()
        self._is_closing = True
        serving = tuple(self._tasks)
        # Tasks that have just been created begin, so that they can answer.
        await asyncio.sleep(0)
        interrupted_count = len(self._unanswered)
        for task in serving:
            task.cancel()
        await self._wait_for_tasks(connection_end.LAST_ANSWER_MAX_S)
        for task, channel in self._tasks.items():
            task.cancel()
            channel.abort()
        if self._tasks:
            await asyncio.wait(tuple(self._tasks))
        return interrupted_count

    async def _wait_for_tasks(self, timeout_s: float) -> None:
        """Wait for all tasks, also of connections accepted meanwhile."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while self._tasks and (left_s := deadline_s - loop.time()) > 0:
            await asyncio.wait(tuple(self._tasks), timeout=left_s)

    def _new_channel(self) -> byte_channel.ByteChannel:
        return byte_channel.ByteChannel(self._on_connected)

    def _on_connected(self, channel: byte_channel.ByteChannel) -> None:
        is_full = len(self._tasks) >= self._limits.connections
        if self._is_closing:
            coroutine = self._refuse_leaving(channel)
        elif is_full:
            coroutine = self._refuse(channel)
        else:
            coroutine = self._serve(channel)
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks[task] = channel
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        channel = self._tasks.pop(task)
        self._set_busy(channel, False)
        self._unanswered.pop(channel, None)
        if task.cancelled():
            channel.abort()
            return
        error = task.exception()
        if error is not None:
            _logger.error("connection task failed", exc_info=error)
        channel.close()

    def _set_busy(self, channel: byte_channel.ByteChannel, busy: bool) -> None:
        if busy:
            self._busy.add(channel)
            self._no_busy_connections.clear()
            return
        self._busy.discard(channel)
        if not self._busy:
            self._no_busy_connections.set()

    def _new_h11_connection(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )

    async def _refuse(self, channel: byte_channel.ByteChannel) -> None:
        reason = request_reader.RequestErrorReason.OVERLOADED
        error = request_reader.RequestError(reason, "too many connections")
        timeout_s = self._limits.write_timeout_s
        await connection_end.refuse(
            channel, self._new_h11_connection(), error, timeout_s
        )
        # Connections that are being refused count too. From twice the limit
        # on, they are closed without discarding the caller's further data.
        if len(self._tasks) < 2 * self._limits.connections:
            await connection_end.linger(channel)

    async def _refuse_leaving(self, channel: byte_channel.ByteChannel) -> None:
        await connection_end.refuse_unread(channel, self._new_h11_connection())
        await connection_end.linger(channel)

    async def _serve(self, channel: byte_channel.ByteChannel) -> None:
        connection = self._new_h11_connection()
        try:
            await self._serve_requests(channel, connection)
        except asyncio.CancelledError:
            await self._send_last_answer(channel, connection)
            raise
        except Exception:
            if channel in self._unanswered and not self._unanswered[channel]:
                await connection_end.fail_unread(channel, connection)
            raise

    async def _serve_requests(
        self, channel: byte_channel.ByteChannel, connection: h11.Connection
    ) -> None:
        reader = request_reader.RequestReader(
            channel, connection, self._limits, self._budget, self._clock
        )
        while await reader.wait_for_request():
            self._set_busy(channel, True)
            self._unanswered[channel] = None
            try:
                reusable = await self._serve_one(channel, connection, reader)
            finally:
                reader.release()
            del self._unanswered[channel]
            if self._is_closing:
                return
            if not reusable:
                await connection_end.linger(channel)
                return
            connection.start_next_cycle()
            if not connection.trailing_data[0]:
                self._set_busy(channel, False)

    async def _serve_one(
        self,
        channel: byte_channel.ByteChannel,
        connection: h11.Connection,
        reader: request_reader.RequestReader,
    ) -> bool:
        """Serve a request; return whether another one may follow it."""
        match await reader.read():
            case Ok(request):
                await self._handle(channel, connection, request)
                done = connection.our_state is h11.DONE
                return done and connection.their_state is h11.DONE
            case Err(error):
                await connection_end.refuse(
                    channel, connection, error, self._limits.write_timeout_s
                )
        return False

    async def _handle(
        self,
        channel: byte_channel.ByteChannel,
        connection: h11.Connection,
        request: HttpRequest,
    ) -> None:
        allows_body = request.method != "HEAD"
        timeout_s = self._limits.write_timeout_s
        responder = Responder(channel, connection, timeout_s, allows_body)
        self._unanswered[channel] = responder
        has_next = bool(connection.trailing_data[0]) or channel.has_unread
        if self._leaving and not has_next:
            responder.close_after_response()
        try:
            await self._handler(request, responder)
        except Exception:
            # The body is not logged, since it may contain a customer's prompt.
            _logger.exception("handler failed: %s %s", request.method, request.path)
        except BaseException:
            if responder.started and not responder.finished:
                responder.abort()
            raise
        if responder.finished:
            return
        if responder.started:
            responder.abort()
            return
        message = "the request failed inside the server"
        await responder.send(
            http_messages.error_response(500, "internal", message, states.Ran.MAYBE)
        )

    async def _send_last_answer(
        self, channel: byte_channel.ByteChannel, connection: h11.Connection
    ) -> None:
        """End a connection whose request is interrupted.

        A request that no handler has is refused. For one that a handler has
        left without an answer nothing is promised.
        """
        if channel not in self._unanswered and not channel.has_unread:
            return
        responder = self._unanswered.get(channel)
        if responder is None:
            await connection_end.refuse_unread(channel, connection)
        else:
            await connection_end.answer_interrupted(responder)
