"""Classifies how an attempt at a runner ended."""

import dataclasses
import enum

from lacewingdrum_state import fleet, requests, states
from lacewingdrum_transport import http_client, http_messages


class EndReason(enum.Enum):
    """Why an attempt ended without an answer to forward."""

    NOT_CONNECTED = "not_connected"
    REFUSED = "refused"
    OTHER_RUNNER = "other_runner"
    HELPER_FAILED = "helper_failed"
    NO_MEMORY = "no_memory"
    FAILED_STATUS = "failed_status"
    LOST = "lost"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    SILENT = "silent"
    FOREIGN_ANSWER = "foreign_answer"
    NO_RECEIPT = "no_receipt"
    UNREACHABLE = "unreachable"
    SUPERSEDED = "superseded"
    REPLACED = "replaced"
    EVACUATED = "evacuated"
    WITHHELD = "withheld"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The end of an attempt without a successful answer.

    ``state`` says whether the request may have run. ``answer`` is a failure
    that the runner answered; it is forwarded if no later attempt succeeds.
    ``at_fault`` is the address of the helper that failed, if known.
    """

    state: states.AttemptState
    reason: EndReason
    detail: str = ""
    answer: http_messages.HttpResponse | None = None
    at_fault: fleet.Address | None = None


def superseded() -> AttemptEnd:
    """Return the end of an attempt in whose place another one answers."""
    return AttemptEnd(states.AttemptState.UNKNOWN, EndReason.SUPERSEDED)


def evacuated(at_fault: fleet.Address | None = None) -> AttemptEnd:
    """Return the end of an attempt that an evacuation has kept from beginning.

    Args:
        at_fault: the helper in the evacuated data centre, if it is not the
            runner that the request would have been sent to.
    """
    return AttemptEnd(
        states.AttemptState.UNSENT, EndReason.EVACUATED, at_fault=at_fault
    )


def withheld() -> AttemptEnd:
    """Return the end of an attempt that was connected and may not begin."""
    return AttemptEnd(states.AttemptState.UNSENT, EndReason.WITHHELD)


def unreachable() -> AttemptEnd:
    """Return the end of a silent attempt whose runner cannot be reached."""
    return AttemptEnd(
        states.AttemptState.UNKNOWN,
        EndReason.UNREACHABLE,
        "silent, and no new connection is accepted",
    )


def replaced() -> AttemptEnd:
    """Return the end of an attempt whose runner was started again since."""
    return AttemptEnd(
        states.AttemptState.UNKNOWN,
        EndReason.REPLACED,
        "another incarnation is at its address",
    )


def open_failure(error: http_client.HttpClientError) -> AttemptEnd:
    """Return the end of an attempt that got no head of an answer."""
    detail = f"{error.reason.value} {error.detail}".strip()
    if error.reason is http_client.ClientErrorReason.WITHDRAWN:
        return withheld()
    if not error.may_have_been_sent:
        return AttemptEnd(states.AttemptState.UNSENT, EndReason.NOT_CONNECTED, detail)
    return _unknown_outcome(error, detail)


def body_failure(error: http_client.HttpClientError) -> AttemptEnd:
    """Return the end of an attempt whose answer body failed."""
    detail = f"in the body: {error.reason.value} {error.detail}".strip()
    return _unknown_outcome(error, detail)


def _unknown_outcome(error: http_client.HttpClientError, detail: str) -> AttemptEnd:
    """Return the end of a sent attempt without a complete answer."""
    reasons = {
        http_client.ClientErrorReason.TIMEOUT: EndReason.SILENT,
        http_client.ClientErrorReason.MALFORMED: EndReason.MALFORMED,
        http_client.ClientErrorReason.TOO_LARGE: EndReason.TOO_LARGE,
    }
    reason = reasons.get(error.reason, EndReason.LOST)
    return AttemptEnd(states.AttemptState.UNKNOWN, reason, detail)


def head_failure(
    attempt_id: str,
    status: int,
    answer_headers: requests.RunnerHeaders,
    is_first_on_connection: bool,
) -> AttemptEnd | None:
    """Return the end of the attempt if the head shows a failure.

    Args:
        attempt_id: the id that the request was sent with.
        status: the status of the answer.
        answer_headers: its headers.
        is_first_on_connection: whether its connection has carried no other
            request, so that a failure without an id can only mean this one.
    """
    unknown = states.AttemptState.UNKNOWN
    is_success = http_messages.is_success(status)
    names_attempt = answer_headers.attempt_id == attempt_id
    may_lack_id = is_first_on_connection and not is_success
    if not names_attempt and (answer_headers.attempt_id or not may_lack_id):
        return AttemptEnd(unknown, EndReason.FOREIGN_ANSWER, f"status {status}")
    if answer_headers.says_not_run and not is_success:
        reason = (
            EndReason.OTHER_RUNNER
            if answer_headers.is_other_runner
            else EndReason.REFUSED
        )
        if answer_headers.at_fault is not None:
            reason = EndReason.HELPER_FAILED
        return AttemptEnd(
            states.AttemptState.REFUSED_BY_RUNNER,
            reason,
            f"status {status}",
            at_fault=answer_headers.at_fault,
        )
    if is_success and (not answer_headers.has_receipt or answer_headers.is_encoded):
        return AttemptEnd(unknown, EndReason.NO_RECEIPT, f"status {status}")
    return None


def foreign_peer_answer(
    attempt_id: str, reader: http_client.ResponseReader, answer_attempt_id: str
) -> AttemptEnd | None:
    """Return the end of an attempt at a peer if the answer may be another's.

    Args:
        attempt_id: the id that the request was passed on with.
        reader: the answer. A peer names the request in its own answers.
        answer_attempt_id: the attempt that a runner's answer names, or empty.
    """
    named = answer_attempt_id or http_messages.header_value(
        reader.headers, http_messages.REQUEST_ID_HEADER
    )
    if named == attempt_id or reader.is_first_on_connection:
        return None
    return AttemptEnd(
        states.AttemptState.UNKNOWN,
        EndReason.FOREIGN_ANSWER,
        f"status {reader.status} of a peer",
    )
