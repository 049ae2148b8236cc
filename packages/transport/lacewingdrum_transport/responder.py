"""Sends the response to a request, complete or as a stream."""

import asyncio

import h11

from lacewingdrum_transport import byte_channel, http_messages

STATUSES_WITHOUT_BODY = frozenset((204, 304))
# Callers of older versions know neither chunks nor interim responses.
_VERSION_WITH_CHUNKS = b"1.1"


class ResponseOrderError(RuntimeError):
    """A second response was begun, or a part sent outside a begun one.

    None of its bytes were sent, and the response that was begun can go on.
    """


class Responder:
    """Sends the response to one request.

    The sending methods return False if the connection is lost, or the caller
    did not read for so long that it was aborted. They do not raise for that,
    since the handler may have to complete its work anyway. ``input_ended`` is
    set once the caller can send no more: it has left, or it has ended only
    its own stream and still reads. The methods raise ``ResponseOrderError``
    if they are called in a wrong order.
    ``allows_body`` is False for the response to a HEAD request.
    """

    def __init__(
        self,
        channel: byte_channel.ByteChannel,
        connection: h11.Connection,
        write_timeout_s: float,
        allows_body: bool,
    ) -> None:
        self.input_ended: asyncio.Event = channel.input_ended
        self.started = False
        self.finished = False
        self._channel = channel
        self._connection = connection
        self._write_timeout_s = write_timeout_s
        self._allows_body = allows_body
        self._close_after_response = False
        # Whether a body that is broken off differs from a complete one.
        self._is_self_delimited = True

    @property
    def is_disconnected(self) -> bool:
        """Whether the connection is lost, so that no answer can be sent."""
        return self._channel.is_lost

    @property
    def since_input_ended_s(self) -> float:
        """The time since the caller ended its stream; 0 if it has not."""
        return self._channel.since_input_ended_s

    @property
    def accepts_interim(self) -> bool:
        """Whether the caller knows interim responses, as of HTTP/1.1."""
        version = self._connection.their_http_version or b""
        return version >= _VERSION_WITH_CHUNKS

    def close_after_response(self) -> None:
        """Make this the last response, announced by ``Connection: close``."""
        self._close_after_response = True

    async def send(self, response: http_messages.HttpResponse) -> bool:
        """Send a complete response.

        Args:
            response: the response. Connection headers among its headers are
                replaced by the server's own.

        Returns:
            False if the connection is lost or the caller did not read in time.
        """
        headers = self._encode_headers(response.headers)
        if response.status not in STATUSES_WITHOUT_BODY:
            headers.append((b"content-length", b"%d" % len(response.body)))
        data = self._serialize_head(response.status, headers)
        body = response.body if self._allows_body else b""
        if body:
            self._connection.send(h11.Data(data=body))
        self._serialize_end()
        return await self._write_last(data, body)

    async def send_interim(self) -> bool:
        """Send an interim response, which a caller that waits ignores.

        Returns:
            False if the connection is lost or the caller did not read in time.
        """
        if self.started:
            raise ResponseOrderError("an interim response after the final one")
        interim = h11.InformationalResponse(status_code=100, headers=[])
        return await self._write(self._connection.send(interim) or b"")

    async def start_stream(
        self, status: int, headers: http_messages.Headers, first: bytes = b""
    ) -> bool:
        """Send the head of a response whose body is sent in parts.

        Args:
            status: the HTTP status.
            headers: names and values. Connection headers among them are
                replaced by the server's own.
            first: a first part of the body, sent in the same write.

        Returns:
            False if the connection is lost or the caller did not read in time.
        """
        data = self._serialize_head(status, self._encode_headers(headers))
        if first and self._allows_body:
            data += self._connection.send(h11.Data(data=first)) or b""
        return await self._write(data)

    async def write(self, data: bytes) -> bool:
        """Send a part of the body, and wait while the write buffer is full.

        Args:
            data: the part.

        Returns:
            False if the connection is lost or the caller did not read in time.
        """
        self._check_is_open()
        if not self._allows_body or not data:
            return not self.is_disconnected
        return await self._write(self._connection.send(h11.Data(data=data)) or b"")

    async def finish(self) -> bool:
        """End a streamed response cleanly.

        Returns:
            False if the connection is lost or the caller did not read in time.
        """
        self._check_is_open()
        return await self._write_last(self._serialize_end())

    async def flush(self) -> bool:
        """Wait until a complete response is written.

        Returns:
            False if the connection is lost or the caller did not read in time.
        """
        return await self._channel.flush(self._write_timeout_s) or self._abort_stalled()

    def abort(self) -> None:
        """Abort the connection, so that the caller sees no clean end."""
        if self._is_self_delimited:
            self._channel.abort()
        else:
            self._channel.reset()

    def _check_is_open(self) -> None:
        if not self.started or self.finished:
            raise ResponseOrderError("no response has begun, or it has ended")

    def _encode_headers(
        self, headers: http_messages.Headers
    ) -> list[tuple[bytes, bytes]]:
        encoded = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
            if name.lower() not in http_messages.CONNECTION_HEADERS
        ]
        if self._close_after_response:
            encoded.append((b"connection", b"close"))
        return encoded

    def _serialize_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> bytes:
        if self.started:
            raise ResponseOrderError(f"status {status} after a response has begun")
        # h11 raises here for an invalid head, before anything is sent.
        head = h11.Response(status_code=status, headers=headers)
        data = self._connection.send(head) or b""
        self.started = True
        self._allows_body = self._allows_body and status not in STATUSES_WITHOUT_BODY
        version = self._connection.their_http_version or b""
        self._is_self_delimited = version >= _VERSION_WITH_CHUNKS
        return data

    def _serialize_end(self) -> bytes:
        data = self._connection.send(h11.EndOfMessage()) or b""
        self.finished = True
        return data

    async def _write(self, data: bytes) -> bool:
        if not self._channel.write(data):
            return False
        return await self._channel.drain(self._write_timeout_s) or self._abort_stalled()

    async def _write_last(self, data: bytes, body: bytes = b"") -> bool:
        """Write, and wait until the kernel has accepted all bytes.

        The response is then complete even if the process ends afterwards.
        """
        if not self._channel.write_message(data, body):
            return False
        return await self.flush()

    def _abort_stalled(self) -> bool:
        # A caller that never reads would otherwise occupy memory forever.
        self.abort()
        return False
