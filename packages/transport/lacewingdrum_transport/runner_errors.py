"""Errors of calls to runners: whether a failed call may have started."""

import dataclasses
import enum

from result import Err

from lacewingdrum_protocol import runner_api
from lacewingdrum_transport import http_client

JSON_HEADERS = (("Content-Type", "application/json"),)
REFUSAL_BYTES_MAX = 65_536
_INVALID_ANSWER_REASONS = (
    http_client.ClientErrorReason.MALFORMED,
    http_client.ClientErrorReason.TOO_LARGE,
)


class RunnerErrorReason(enum.Enum):
    """Why a call failed.

    ``UNSENT`` and ``REFUSED`` mean that the call did not start. After the
    other errors it may have started.
    ``SILENT`` means that no data arrives on the connection any more, although
    the runner answers on other connections.
    """

    UNSENT = "unsent"
    REFUSED = "refused"
    LOST = "lost"
    MALFORMED = "malformed"
    TIMEOUT = "timeout"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerError:
    """Why a runner did not answer a call completely."""

    reason: RunnerErrorReason
    refusal: runner_api.RefusalReason | None = None
    detail: str = ""


def malformed(detail: str) -> Err[RunnerError]:
    """Build the error for an invalid answer."""
    return Err(RunnerError(RunnerErrorReason.MALFORMED, None, detail))


def from_client_error(error: http_client.HttpClientError) -> RunnerError:
    """Convert an error of the HTTP client."""
    detail = f"{error.reason.value} {error.detail}"
    reason = RunnerErrorReason.LOST
    if not error.may_have_been_sent:
        reason = RunnerErrorReason.UNSENT
    elif error.reason is http_client.ClientErrorReason.TIMEOUT:
        reason = RunnerErrorReason.TIMEOUT
    elif error.reason in _INVALID_ANSWER_REASONS:
        reason = RunnerErrorReason.MALFORMED
    return RunnerError(reason, None, detail)


def from_response(status: int, body: bytes) -> RunnerError:
    """Convert an answer with another status than 200.

    Args:
        status: the answer's status.
        body: the answer's body.

    Returns:
        A refusal only if the runner states that the call was not started,
        otherwise a malformed answer.
    """
    detail = f"status {status}"
    refusal = runner_api.parse_refusal(status, body)
    if refusal is None:
        return RunnerError(RunnerErrorReason.MALFORMED, None, detail)
    return RunnerError(RunnerErrorReason.REFUSED, refusal.reason, detail)
