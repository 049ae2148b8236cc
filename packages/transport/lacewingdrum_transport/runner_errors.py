"""What is known of a call to a runner that failed."""

import dataclasses
import enum

from result import Err

from lacewingdrum_protocol import runner_api
from lacewingdrum_transport import http_client

JSON_HEADERS = (("Content-Type", "application/json"),)
REFUSAL_BYTES_MAX = 65_536


class RunnerErrorReason(enum.Enum):
    """How far a call came; only the first two mean that it did not start.

    ``SILENT`` is a connection on which nothing comes any more, while the
    runner answers on others.
    """

    UNSENT = "unsent"
    REFUSED = "refused"
    LOST = "lost"
    MALFORMED = "malformed"
    TIMEOUT = "timeout"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerError:
    """Why a runner did not answer a call in full."""

    reason: RunnerErrorReason
    refusal: runner_api.RefusalReason | None = None
    detail: str = ""


def malformed(detail: str) -> Err[RunnerError]:
    """Args: detail: what was wrong. Returns: an answer that makes no sense."""
    return Err(RunnerError(RunnerErrorReason.MALFORMED, None, detail))


def from_client_error(error: http_client.HttpClientError) -> RunnerError:
    """Args: error: of the HTTP client. Returns: the same for a runner."""
    detail = f"{error.reason.value} {error.detail}"
    reason = RunnerErrorReason.LOST
    if not error.may_have_been_sent:
        reason = RunnerErrorReason.UNSENT
    elif error.reason is http_client.ClientErrorReason.TIMEOUT:
        reason = RunnerErrorReason.TIMEOUT
    elif error.reason is http_client.ClientErrorReason.MALFORMED:
        reason = RunnerErrorReason.MALFORMED
    return RunnerError(reason, None, detail)


def from_response(status: int, body: bytes) -> RunnerError:
    """Tell a refusal from every other answer.

    Args:
        status: the answer's status, other than 200.
        body: the answer's body.

    Returns:
        A refusal only if the runner says that the call was not started.
    """
    detail = f"status {status}"
    refusal = runner_api.parse_refusal(status, body)
    if refusal is None:
        return RunnerError(RunnerErrorReason.MALFORMED, None, detail)
    return RunnerError(RunnerErrorReason.REFUSED, refusal.reason, detail)
