"""A caller that records each byte of a body, and how the answer ended."""

import asyncio
import dataclasses

import h11

from standins import platform_site

READ_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """An answer as its caller received it.

    ``is_whole`` says whether it looks complete; one to HTTP/1.0 does if the
    connection ended without a reset.
    """

    status: int
    body: bytes
    is_whole: bool


async def call(
    site: platform_site.PlatformSite,
    path: str,
    attempt_id: str,
    headers: tuple[tuple[str, str], ...] = (),
    version: str = "1.1",
    on: platform_site.RunningGateway | None = None,
    ends_stream: bool = False,
) -> Received:
    """Send one request on a new connection, and read its answer to the end.

    Args:
        site: a running site.
        path: the path, with the query.
        attempt_id: the attempt id, which is also the body.
        headers: headers in addition to the usual ones.
        version: the version of HTTP.
        on: the gateway to call; None means the first one.
        ends_stream: whether the writing side is closed after the request.

    Returns:
        The answer; its status is 0 if the connection ended without one.
    """
    reader, writer = await send(site, path, attempt_id, headers, version, on)
    if ends_stream:
        writer.write_eof()
    try:
        return await _receive(reader)
    finally:
        writer.transport.abort()


class KeptCaller:
    """A caller that sends its requests one after another on a connection."""

    def __init__(
        self,
        site: platform_site.PlatformSite,
        on: platform_site.RunningGateway | None = None,
    ) -> None:
        self._site = site
        self._on = on
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        self._connection = None

    async def call(
        self, path: str, attempt_id: str, headers: tuple[tuple[str, str], ...] = ()
    ) -> Received:
        """Send a request, on a new connection if the last one has ended."""
        if self._connection is None:
            self._connection = await send(
                self._site, path, attempt_id, headers, on=self._on
            )
        else:
            self._connection[1].write(format_request(path, attempt_id, headers))
        received = await _receive(self._connection[0])
        if not received.is_whole or self._connection[0].at_eof():
            self.close()
        return received

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None


async def send(
    site: platform_site.PlatformSite,
    path: str,
    attempt_id: str,
    headers: tuple[tuple[str, str], ...] = (),
    version: str = "1.1",
    on: platform_site.RunningGateway | None = None,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send one request on a new connection, and return the connection."""
    running = on or site.gateways[0]
    address = running.gateway_settings.vm.caller_address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(format_request(path, attempt_id, headers, version))
    return reader, writer


def format_request(
    path: str,
    attempt_id: str,
    headers: tuple[tuple[str, str], ...] = (),
    version: str = "1.1",
) -> bytes:
    """Return the bytes of a request."""
    sent = (
        ("Host", "site.example"),
        ("Attempt-Id", attempt_id),
        ("Key", platform_site.CREDENTIAL),
        ("Content-Length", str(len(attempt_id))),
        *headers,
    )
    lines = "".join(f"{name}: {value}\r\n" for name, value in sent)
    # The attempt id as the body makes each request another one.
    return f"POST {path} HTTP/{version}\r\n{lines}\r\n{attempt_id}".encode()


async def _receive(reader: asyncio.StreamReader) -> Received:
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
    connection.send(h11.EndOfMessage())
    status, body = 0, b""
    while True:
        try:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(READ_BYTES))
        except (h11.RemoteProtocolError, ConnectionError):
            return Received(status, body, False)
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return Received(status, body, True)
        elif isinstance(event, h11.ConnectionClosed):
            return Received(status, body, False)
