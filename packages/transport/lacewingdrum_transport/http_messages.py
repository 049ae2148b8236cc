"""Data classes of HTTP requests and responses, for client and server."""

import dataclasses

import msgspec

from lacewingdrum_state import ids, states

REQUEST_ID_HEADER = "Lacewingdrum-Request-Id"
RAN_HEADER = "Lacewingdrum-Ran"
RETRY_AFTER_HEADER = "Retry-After"
STATUS_OK = 200
STATUS_CONFLICT = 409

# These headers apply to one connection only, so the client and the server
# set their own and never forward them.
CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A completely received request.

    ``path`` is as sent, without percent-decoding, so that it can be
    forwarded. ``query`` is decoded; if a name is repeated, its last value is
    used. ``headers`` have lower-case names; the values of a repeated header
    are joined by commas. ``target`` is the request target as sent.
    ``received_s`` is when the first byte was received, on the server's clock.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    remote_address: str
    target: str = ""
    received_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str) -> str:
        """Return the first value of a header, or ``""``; case is ignored."""
        return header_value(self.headers, name)


def is_success(status: int) -> bool:
    """Return whether the status is 2xx."""
    return status // 100 == 2


def is_client_error(status: int) -> bool:
    """Return whether the status is 4xx."""
    return status // 100 == 4


def header_value(headers: Headers, name: str) -> str:
    """Return the first value of a header.

    Args:
        headers: names and values.
        name: the header's name; case is ignored.

    Returns:
        The value, or ``""`` if there is no such header.
    """
    wanted_name = name.lower()
    for present_name, value in headers:
        if present_name.lower() == wanted_name:
            return value
    return ""


def error_response(
    status: int,
    code: str,
    message: str,
    ran: states.Ran,
    retry_after_s: float = 0,
    request_id: ids.RequestId | None = None,
) -> HttpResponse:
    """Build the response to a request that was refused or has failed.

    Args:
        status: the HTTP status.
        code: the error code, for programs.
        message: the error text, for people.
        ran: whether the request may have run.
        retry_after_s: the delay after which a retry can succeed; 0 omits the
            header.
        request_id: the id that log lines of the request carry; a new one if
            None.

    Returns:
        A response with a JSON body and a request id.
    """
    headers = [
        ("Content-Type", "application/json"),
        (REQUEST_ID_HEADER, request_id or ids.new_request_id()),
        (RAN_HEADER, ran.value),
    ]
    if retry_after_s:
        headers.append((RETRY_AFTER_HEADER, f"{retry_after_s:g}"))
    error = {"error": {"code": code, "message": message}}
    return HttpResponse(status, tuple(headers), msgspec.json.encode(error))
