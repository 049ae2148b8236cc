"""Messages between callers and a daemon, in the ``/v1/completions`` format."""

import enum
import math

import msgspec
import xxhash
from result import Err, Ok, Result

from lacewingdrum_state import decoding, states

COMPLETIONS_PATH = "/v1/completions"
SERVICES_PREFIX = "/services/"
REQUEST_ID_HEADER = "Lacewingdrum-Request-Id"
RAN_HEADER = "Lacewingdrum-Ran"
PATIENCE_HEADER = "lacewingdrum-patience-ms"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
DONE_DATA = b"[DONE]"

ESTIMATED_BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 256
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 32_768
IDEMPOTENCY_KEY_CHARACTERS_MAX = 200
DEFAULT_RETRY_AFTER_MS = 1_000
_BLOCK_BYTES = BLOCK_TOKENS * ESTIMATED_BYTES_PER_TOKEN


class ErrorCode(enum.Enum):
    """Why a request failed, as reported to the caller."""

    MALFORMED = "malformed"
    NOT_FOUND = "not_found"
    UNKNOWN_CREDENTIAL = "unknown_credential"
    CUSTOMER_NOT_SERVED = "customer_not_served"
    KIND_NOT_SERVED = "kind_not_served"
    KEY_MISSING = "idempotency_key_missing"
    KEY_REUSED = "idempotency_key_reused"
    ORDER_IN_PROGRESS = "order_in_progress"
    ORDER_MAY_HAVE_RUN = "order_may_have_run"
    ORDER_RAN = "order_ran"
    LIMIT_REACHED = "limit_reached"
    OVERLOADED = "overloaded"
    PROMPT_TOO_LARGE = "prompt_too_large"
    TOO_LATE = "too_late"
    NO_RUNNER = "no_runner"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    PATIENCE_OVER = "patience_over"
    CALLER_GONE = "caller_gone"
    RUNNER_LOST = "runner_lost"
    STORE_DOWN = "store_down"


HTTP_STATUS_BY_CODE = {
    ErrorCode.MALFORMED: 400,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.UNKNOWN_CREDENTIAL: 401,
    ErrorCode.CUSTOMER_NOT_SERVED: 403,
    ErrorCode.KIND_NOT_SERVED: 422,
    ErrorCode.KEY_MISSING: 400,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.ORDER_IN_PROGRESS: 409,
    ErrorCode.ORDER_MAY_HAVE_RUN: 409,
    ErrorCode.ORDER_RAN: 409,
    ErrorCode.LIMIT_REACHED: 429,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.PROMPT_TOO_LARGE: 503,
    ErrorCode.TOO_LATE: 503,
    ErrorCode.NO_RUNNER: 503,
    ErrorCode.NOT_READY: 503,
    ErrorCode.LEAVING: 503,
    ErrorCode.PATIENCE_OVER: 504,
    ErrorCode.CALLER_GONE: 502,
    ErrorCode.RUNNER_LOST: 502,
    ErrorCode.STORE_DOWN: 503,
}


class Failure(msgspec.Struct, frozen=True):
    """The final answer to a failed request.

    A ``retry_after_ms`` of 0 means that retrying later does not help.
    """

    code: ErrorCode
    message: str
    ran: states.Ran = states.Ran.NO
    retry_after_ms: int = 0


class ErrorDetail(msgspec.Struct, frozen=True):
    """The ``error`` object in the JSON body of a failure."""

    code: ErrorCode
    message: str
    ran: states.Ran


class ErrorBody(msgspec.Struct, frozen=True):
    """The JSON body of a failure."""

    error: ErrorDetail


class CompletionBody(msgspec.Struct, frozen=True):
    """The JSON body of a completion request."""

    model: str
    prompt: str
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False


class Choice(msgspec.Struct, frozen=True):
    """The text of an answer, complete or in part."""

    text: str
    finish_reason: str | None = None
    index: int = 0


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a complete answer."""

    prompt_tokens: int
    completion_tokens: int


class CompletionAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """An answer, or one event of a streamed answer."""

    id: str
    model: str
    choices: tuple[Choice, ...]
    usage: Usage | None = None


_json_encoder = msgspec.json.Encoder()
_completion_decoder = msgspec.json.Decoder(CompletionBody)


def parse_completion(body: bytes) -> Result[CompletionBody, Failure]:
    """Parse a completion request.

    Args:
        body: The request's body.

    Returns:
        The request, or a ``MALFORMED`` failure that describes the fault.
    """
    decoded = decoding.decode(_completion_decoder, body)
    if isinstance(decoded, Err):
        return Err(Failure(ErrorCode.MALFORMED, f"body: {decoded.err_value}"))
    parsed = decoded.ok_value
    if not 1 <= parsed.max_tokens <= MAX_TOKENS_LIMIT:
        message = (
            f"max_tokens: found {parsed.max_tokens}, allowed 1..{MAX_TOKENS_LIMIT}"
        )
        return Err(Failure(ErrorCode.MALFORMED, message))
    if not parsed.prompt:
        return Err(Failure(ErrorCode.MALFORMED, "prompt: found an empty string"))
    return Ok(parsed)


def prompt_tokens(prompt: bytes) -> int:
    """Estimate the number of tokens of a UTF-8 prompt from its bytes.

    The estimate is rounded up.
    """
    return -(-len(prompt) // ESTIMATED_BYTES_PER_TOKEN)


def block_hashes(prompt: bytes) -> tuple[int, ...]:
    """Hash the complete blocks of a prompt.

    Args:
        prompt: The prompt as UTF-8 text.

    Returns:
        A 64-bit hash for each complete block of ``BLOCK_TOKENS`` tokens. The
        hashes are chained, so that equal hashes mean that the prompts are
        equal up to the end of that block.
    """
    hashes = []
    chained = 0
    for start in range(0, len(prompt) - _BLOCK_BYTES + 1, _BLOCK_BYTES):
        block = prompt[start : start + _BLOCK_BYTES]
        chained = xxhash.xxh3_64_intdigest(block, seed=chained)
        hashes.append(chained)
    return tuple(hashes)


def failure_body(failure: Failure) -> bytes:
    """Return the JSON body of a failure."""
    detail = ErrorDetail(failure.code, failure.message, failure.ran)
    return _json_encoder.encode(ErrorBody(detail))


def failure_headers(failure: Failure, request_id: str) -> tuple[tuple[str, str], ...]:
    """Return the headers of a failure's response."""
    headers = [
        ("Content-Type", "application/json"),
        (REQUEST_ID_HEADER, request_id),
        (RAN_HEADER, failure.ran.value),
    ]
    if failure.retry_after_ms > 0:
        seconds = max(1, math.ceil(failure.retry_after_ms / 1000))
        headers.append(("Retry-After", str(seconds)))
    return tuple(headers)


def completion_answer(
    request_id: str, model: str, text: str, finish_reason: str, usage: Usage
) -> bytes:
    """Return the JSON body of a complete answer."""
    choice = Choice(text, finish_reason)
    return _json_encoder.encode(CompletionAnswer(request_id, model, (choice,), usage))


def stream_event(request_id: str, model: str, text: str, finish_reason: str) -> bytes:
    """Return the JSON data of one event of a streamed answer."""
    choice = Choice(text, finish_reason or None)
    return _json_encoder.encode(CompletionAnswer(request_id, model, (choice,)))


def stream_failure(failure: Failure) -> bytes:
    """Return the JSON data of the event that ends a failed stream."""
    return failure_body(failure)
