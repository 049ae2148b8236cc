"""Sends one request of a caller and compares the answer byte for byte."""

import asyncio
import contextlib
import dataclasses
import enum
import json
import time

import msgspec
from result import Err

from lacewingdrum_protocol import callers_api, sse
from lacewingdrum_state import documents, fleet, states
from lacewingdrum_transport import http_client, http_messages
from standins import answers, plain_service

CLIENT_TIMEOUT_SLACK_S = 5.0
ANSWER_MARGIN_S = 0.1
# Delay that one host adds because callers, daemons and engines share it.
MEASURING_MARGIN_S = 0.4


class End(enum.Enum):
    """How a request ended, as its caller sees it.

    ``UNSENT`` means that the request did not reach a daemon.
    ``CONNECTION_LOST`` means that the connection broke, so the caller knows
    that it has no answer. ``WRONG`` means that the answer breaks a guarantee.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    UNSENT = "unsent"
    CONNECTION_LOST = "cut"
    WRONG = "wrong"


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionPlan:
    """A model request to send."""

    service: documents.ServiceDocument
    kind: documents.RequestKind
    token: str
    prompt: str
    max_tokens: int
    stream: bool

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt, as daemons count it."""
        return callers_api.prompt_tokens(self.prompt.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """A call of a plain service to send; only an order has a ``key``."""

    service: documents.ServiceDocument
    kind: documents.RequestKind
    token: str
    method: str
    path: str
    body: bytes = b""
    key: str = ""


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a caller received for one request.

    Times count from the start of the request; ``began_s`` is that start on
    the monotonic clock.
    """

    plan: CompletionPlan | ServicePlan
    daemon: str = ""
    end: End = End.CONNECTION_LOST
    request_id: str = ""
    status: int = 0
    code: str = ""
    ran: str = ""
    detail: str = ""
    first_token_s: float | None = None
    total_s: float = 0.0
    began_s: float = 0.0

    @property
    def deadline_s(self) -> float:
        """Latest allowed end of the request on the monotonic clock."""
        allowed_s = ANSWER_MARGIN_S + MEASURING_MARGIN_S
        return self.began_s + self.plan.kind.patience_ms / 1000 + allowed_s

    @property
    def is_refused(self) -> bool:
        """Whether the caller was answered that the request did not run."""
        return self.end is End.FAILED and self.ran == states.Ran.NO.value


async def complete(
    http: http_client.HttpClient, address: fleet.Address, plan: CompletionPlan
) -> Outcome:
    """Send a model request and check its answer.

    Args:
        http: the caller's connections.
        address: the address of a daemon for callers.
        plan: the request.

    Returns:
        The outcome of the request.
    """
    body = callers_api.CompletionBody(
        plan.service.model, plan.prompt, plan.max_tokens, plan.stream
    )
    headers = (
        ("Authorization", f"Bearer {plan.token}"),
        (callers_api.PATIENCE_HEADER, str(plan.kind.patience_ms)),
    )
    path = callers_api.COMPLETIONS_PATH
    outcome = Outcome(plan)
    data = msgspec.json.encode(body)
    received = await _exchange(http, address, "POST", path, headers, data, outcome)
    if received is None:
        return outcome
    expected = answers.answer_text(plan.prompt, 0, plan.max_tokens)
    if plan.stream:
        check_stream(received, expected, outcome)
    else:
        check_complete_answer(received, expected, outcome)
    return outcome


async def call_service(
    http: http_client.HttpClient, address: fleet.Address, plan: ServicePlan
) -> Outcome:
    """Send a call of a plain service and check its answer.

    Args:
        http: the caller's connections.
        address: the address of a daemon for callers.
        plan: the call.

    Returns:
        The outcome of the call.
    """
    headers = [("Authorization", f"Bearer {plan.token}")]
    if plan.key:
        headers.append(("Idempotency-Key", plan.key))
    path = f"{callers_api.SERVICES_PREFIX}{plan.service.service}{plan.path}"
    outcome = Outcome(plan)
    received = await _exchange(
        http, address, plan.method, path, tuple(headers), plan.body, outcome
    )
    if received is None:
        return outcome
    expected = plain_service.answer_to(plan.method, plan.path, plan.body)
    outcome.end = End.ANSWERED if received == expected else End.WRONG
    outcome.detail = "" if received == expected else f"other answer: {received[:80]!r}"
    return outcome


async def _exchange(
    http: http_client.HttpClient,
    address: fleet.Address,
    method: str,
    path: str,
    headers: http_messages.Headers,
    body: bytes,
    outcome: Outcome,
) -> bytes | None:
    """Send the request and read its answer.

    Returns:
        The complete body of an answer with status 200; otherwise None, and
        the end of ``outcome`` is set.
    """
    began_s = outcome.began_s = time.monotonic()
    try:
        return await _exchange_until(
            http, address, method, path, headers, body, outcome, began_s
        )
    finally:
        outcome.total_s = time.monotonic() - began_s


async def _exchange_until(
    http: http_client.HttpClient,
    address: fleet.Address,
    method: str,
    path: str,
    headers: http_messages.Headers,
    body: bytes,
    outcome: Outcome,
    began_s: float,
) -> bytes | None:
    timeout_at_s = (
        began_s + outcome.plan.kind.patience_ms / 1000 + CLIENT_TIMEOUT_SLACK_S
    )
    opened = await http.open(
        address, method, path, headers, body, timeout_at_s - time.monotonic()
    )
    if isinstance(opened, Err):
        error = opened.err_value
        outcome.end = End.CONNECTION_LOST if error.may_have_been_sent else End.UNSENT
        outcome.detail = f"{error.reason.value} {error.detail}"
        return None
    reader = opened.ok_value
    outcome.status = reader.status
    outcome.request_id = http_messages.header_value(
        reader.headers, callers_api.REQUEST_ID_HEADER
    )
    outcome.ran = http_messages.header_value(reader.headers, callers_api.RAN_HEADER)
    received = bytearray()
    with contextlib.closing(_BackgroundCloser(reader)):
        while True:
            part = await reader.read(timeout_at_s - time.monotonic())
            if isinstance(part, Err):
                outcome.end = End.CONNECTION_LOST
                outcome.detail = f"{part.err_value.reason.value} in the answer"
                return None
            if not part.ok_value:
                break
            if outcome.first_token_s is None:
                outcome.first_token_s = time.monotonic() - began_s
            received += part.ok_value
    if outcome.status == http_messages.STATUS_OK:
        return bytes(received)
    _parse_failure(bytes(received), outcome)
    return None


class _BackgroundCloser:
    """Closes a reader in a task, also when the calling task is cancelled."""

    def __init__(self, reader: http_client.ResponseReader) -> None:
        self._reader = reader

    def close(self) -> None:
        asyncio.get_running_loop().create_task(self._reader.close())


def _parse_failure(body: bytes, outcome: Outcome) -> None:
    try:
        outcome.code = json.loads(body)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        outcome.end = End.WRONG
        outcome.detail = f"status {outcome.status} without an error body"
        return
    has_ran_header = outcome.ran in {ran.value for ran in states.Ran}
    outcome.end = End.FAILED if has_ran_header and outcome.request_id else End.WRONG
    outcome.detail = outcome.code if has_ran_header else "a failure without its headers"


def check_complete_answer(received: bytes, expected: str, outcome: Outcome) -> None:
    """Set the end of a request that received an answer in one piece."""
    # The first byte of such an answer does not show when its first token
    # was decoded.
    outcome.first_token_s = None
    answer = msgspec.json.decode(received, type=callers_api.CompletionAnswer)
    is_expected = answer.choices[0].text == expected
    outcome.end = End.ANSWERED if is_expected else End.WRONG
    outcome.detail = "" if is_expected else "another text than the prompt's"


def check_stream(received: bytes, expected: str, outcome: Outcome) -> None:
    """Set the end of a request whose stream of events has ended."""
    texts = []
    is_done = False
    for data in sse.SseParser(max_event_bytes=1 << 24).feed(received):
        if data == callers_api.DONE_DATA:
            is_done = True
            continue
        event = json.loads(data)
        if "error" in event:
            outcome.end = End.FAILED
            outcome.code = event["error"]["code"]
            outcome.ran = event["error"].get("ran", "")
            outcome.detail = outcome.code
            break
        texts.append(event["choices"][0]["text"])
    text = "".join(texts)
    if is_done and text == expected:
        outcome.end = End.ANSWERED
    elif not expected.startswith(text):
        outcome.end = End.WRONG
        outcome.detail = "a stream with another text than the prompt's"
    elif is_done:
        outcome.end = End.WRONG
        outcome.detail = "a stream called whole that is not"
    elif outcome.end is not End.FAILED:
        outcome.detail = "a stream without its end"
