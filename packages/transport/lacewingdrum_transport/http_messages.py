"""HTTP requests and responses as plain data, for both sides."""

import dataclasses

import msgspec

from lacewingdrum_state import ids, states

REQUEST_ID_HEADER = "Lacewingdrum-Request-Id"
RAN_HEADER = "Lacewingdrum-Ran"
RETRY_AFTER_HEADER = "Retry-After"
STATUS_OK = 200
STATUS_CONFLICT = 409

# These belong to one connection, so each side sets them itself.
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
    """A request received whole.

    ``path`` is as sent, without percent-decoding, so that it can be passed
    on; ``query`` is decoded, the last value of a repeated name counting.
    ``headers`` have lower-case names; repeated ones are joined by commas.
    ``target`` is the request target as sent; ``begun_s`` is when its first
    byte came, on the server's clock.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    remote_address: str
    target: str = ""
    begun_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole response."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str) -> str:
        """Args: name: in any case. Returns: its first value, or ``""``."""
        return header_value(self.headers, name)


def is_success(status: int) -> bool:
    """Returns: whether the status says that the request was done."""
    return status // 100 == 2


def is_client_error(status: int) -> bool:
    """Returns: whether the status blames the request."""
    return status // 100 == 4


def header_value(headers: Headers, name: str) -> str:
    """Find a header.

    Args:
        headers: names and values.
        name: the header's name in any case.

    Returns:
        The first value of that name, or ``""``.
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
    """Make the response for a request that never reached its handler's end.

    Args:
        status: the HTTP status.
        code: the error's code, for programs.
        message: the error's text, for people.
        ran: whether the request may have run.
        retry_after_s: when a later try can help; 0 leaves it out.
        request_id: of its log lines; a new one if None.

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
