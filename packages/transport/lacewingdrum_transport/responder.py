"""Sends one response to a caller, whole or as a stream."""

import asyncio

import h11

from lacewingdrum_transport import byte_channel, http_messages

STATUSES_WITHOUT_BODY = frozenset((204, 304))


class Responder:
    """One request's way back.

    The sending methods return False when the caller has gone; nothing is
    raised for that, since the work behind a request may have to end anyway.
    """

    def __init__(
        self,
        channel: byte_channel.ByteChannel,
        connection: h11.Connection,
        write_timeout_s: float,
        with_body: bool,
    ) -> None:
        self.disconnected: asyncio.Event = channel.disconnected
        self.started = False
        self.finished = False
        self._channel = channel
        self._connection = connection
        self._write_timeout_s = write_timeout_s
        self._with_body = with_body
        self._close_connection_after = False

    def close_connection_after(self) -> None:
        """Announce and make this the connection's last response."""
        self._close_connection_after = True

    async def send(self, response: http_messages.HttpResponse) -> bool:
        """Send a whole response.

        Args:
            response: its connection headers are replaced by the server's.

        Returns:
            False when the caller has gone.
        """
        with_body = response.status not in STATUSES_WITHOUT_BODY
        headers = self._encode_headers(response.headers)
        if with_body:
            headers.append((b"content-length", b"%d" % len(response.body)))
        data = self._serialize_head(response.status, headers)
        if self._with_body and with_body and response.body:
            data += self._connection.send(h11.Data(data=response.body)) or b""
        data += self._serialize_end()
        return await self._write_last(data)

    async def start_stream(
        self, status: int, headers: http_messages.Headers, first: bytes = b""
    ) -> bool:
        """Send the head of a response whose body comes in parts.

        Args:
            status: the HTTP status.
            headers: its connection headers are replaced by the server's.
            first: a first part, which goes out in the same write.

        Returns:
            False when the caller has gone.
        """
        data = self._serialize_head(status, self._encode_headers(headers))
        if first and self._with_body:
            data += self._connection.send(h11.Data(data=first)) or b""
        return await self._write(data)

    async def write(self, data: bytes) -> bool:
        """Send a part of the body, and wait while the caller lags.

        Args:
            data: the part.

        Returns:
            False when the caller has gone.
        """
        if not self._with_body or not data:
            return not self.disconnected.is_set()
        return await self._write(self._connection.send(h11.Data(data=data)) or b"")

    async def finish(self) -> bool:
        """End a streamed response cleanly.

        Returns:
            False when the caller has gone.
        """
        return await self._write_last(self._serialize_end())

    def abort(self) -> None:
        """Cut the connection, so that no clean end is seen."""
        self._channel.abort()

    def _encode_headers(
        self, headers: http_messages.Headers
    ) -> list[tuple[bytes, bytes]]:
        encoded = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
            if name.lower() not in http_messages.CONNECTION_HEADERS
        ]
        if self._close_connection_after:
            encoded.append((b"connection", b"close"))
        return encoded

    def _serialize_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> bytes:
        # A head that h11 does not accept fails here, before anything is sent.
        head = h11.Response(status_code=status, headers=headers)
        data = self._connection.send(head) or b""
        self.started = True
        return data

    def _serialize_end(self) -> bytes:
        data = self._connection.send(h11.EndOfMessage()) or b""
        self.finished = True
        return data

    async def _write(self, data: bytes) -> bool:
        if self.disconnected.is_set() or not self._channel.write(data):
            return False
        return await self._channel.drain(self._write_timeout_s) or self._abort_stalled()

    async def _write_last(self, data: bytes) -> bool:
        """Write, and wait until nothing would be cut by the process's end."""
        if self.disconnected.is_set() or not self._channel.write(data):
            return False
        return await self._channel.flush(self._write_timeout_s) or self._abort_stalled()

    def _abort_stalled(self) -> bool:
        # A caller that takes nothing for so long would hold memory for good.
        self._channel.abort()
        return False
