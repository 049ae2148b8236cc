"""A client of the operator port that tries daemons in turn."""

import dataclasses
import enum
import urllib.parse
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from lacewingdrum_protocol import operators_api
from lacewingdrum_state import decoding, fleet, ids
from lacewingdrum_transport import http_client, http_messages

CALL_TIMEOUT_S = 10.0
CONTENT_TYPE_HEADER = ("Content-Type", "application/json")

ErrorCode = operators_api.ErrorCode
RETRYABLE_CODES = (ErrorCode.NOT_READY, ErrorCode.STORE_DOWN, ErrorCode.UNSETTLED)

T = TypeVar("T", bound=msgspec.Struct)

_refusal_decoder = msgspec.json.Decoder(operators_api.ErrorAnswer)


class FailureReason(enum.Enum):
    """Why no daemon returned the requested answer."""

    NOT_SENT = "not_sent"
    LOST = "lost"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class ClientFailure:
    """Why a call failed.

    After ``NOT_SENT`` the daemon did not receive the call. After ``LOST`` it
    may have received the call, but no readable answer arrived. After
    ``REFUSED`` it answered with an error code, and ``answer`` is its answer.
    """

    reason: FailureReason
    detail: str
    answer: operators_api.ErrorAnswer | None = None

    @property
    def code(self) -> operators_api.ErrorCode | None:
        """The error code of the daemon's refusal, if there is one."""
        return self.answer.error.code if self.answer else None


class DaemonClient:
    """Calls the operator port of the configured daemons."""

    def __init__(
        self,
        http: http_client.HttpClient,
        daemons: tuple[fleet.Address, ...],
        credential: str,
    ) -> None:
        self._http = http
        self._daemons = daemons
        self._headers = (CONTENT_TYPE_HEADER, ("Authorization", f"Bearer {credential}"))

    async def document(
        self, service: str, version: int | None = None
    ) -> Result[operators_api.DocumentAnswer, ClientFailure]:
        """Return the given version of a document.

        Without ``version``, return the version in force.
        """
        path = _document_path(service)
        if version is not None:
            path += f"?version={version}"
        return await self._request("GET", path, b"", operators_api.DocumentAnswer)

    async def submit(
        self, service: str, call: operators_api.SubmitCall
    ) -> Result[operators_api.DocumentAnswer, ClientFailure]:
        """Submit a document.

        A repeated call with the same submission id returns the outcome of
        that submission.

        Args:
            service: the service's name.
            call: the text, its base version and the submission's id.

        Returns:
            The accepted version, or the failure.
        """
        body = msgspec.json.encode(call)
        path = _document_path(service)
        return await self._request("POST", path, body, operators_api.DocumentAnswer)

    async def status(self) -> Result[operators_api.StatusAnswer, ClientFailure]:
        """Return the status from the first daemon that answers."""
        path = operators_api.STATUS_PATH
        return await self._request("GET", path, b"", operators_api.StatusAnswer)

    async def explain(
        self, request_id: str
    ) -> Result[operators_api.ExplainAnswer, ClientFailure]:
        """Ask the daemons in turn for a request's log lines.

        The daemons are the configured ones, then those that the status lists
        with a state other than ``SILENT``. The first one that has lines ends
        the search.

        Args:
            request_id: the request to find.

        Returns:
            The lines of the first daemon that has some; else the first
            refusal, or the last failure if no daemon refused.
        """
        status = await self.status()
        daemons = list(self._daemons)
        if isinstance(status, Ok):
            daemons.extend(_operator_addresses(status.ok_value.vms))
        path = operators_api.EXPLAIN_PREFIX + urllib.parse.quote(request_id, "")
        failure = ClientFailure(FailureReason.NOT_SENT, "no daemon is configured")
        for daemon in dict.fromkeys(daemons):
            answer = await self._request_from(
                daemon, "GET", path, b"", operators_api.ExplainAnswer
            )
            if isinstance(answer, Ok):
                return answer
            if failure.reason is not FailureReason.REFUSED:
                failure = answer.err_value
        return Err(failure)

    async def _request(
        self, method: str, path: str, body: bytes, answer_type: type[T]
    ) -> Result[T, ClientFailure]:
        """Call the daemons in turn.

        Stop at the first daemon that succeeds or refuses with a code that is
        not in ``RETRYABLE_CODES``. If there is none, return the failure with
        the highest ``_report_rank``.
        """
        failures = []
        for daemon in self._daemons:
            answer = await self._request_from(daemon, method, path, body, answer_type)
            if isinstance(answer, Ok) or not _is_retryable(answer.err_value):
                return answer
            failure = answer.err_value
            detail = f"{daemon}: {failure.detail}"
            failures.append(dataclasses.replace(failure, detail=detail))
        return Err(max(failures, key=_report_rank))

    async def _request_from(
        self,
        daemon: fleet.Address,
        method: str,
        path: str,
        body: bytes,
        answer_type: type[T],
    ) -> Result[T, ClientFailure]:
        answer = await self._http.request(
            daemon, method, path, self._headers, body, CALL_TIMEOUT_S
        )
        if isinstance(answer, Err):
            error = answer.err_value
            may_have_been_sent = error.may_have_been_sent
            reason = (
                FailureReason.LOST if may_have_been_sent else FailureReason.NOT_SENT
            )
            detail = f"{error.reason.value} {error.detail}".strip()
            return Err(ClientFailure(reason, detail))
        return _decode_answer(answer.ok_value, answer_type)


def _decode_answer(
    response: http_messages.HttpResponse, answer_type: type[T]
) -> Result[T, ClientFailure]:
    detail = f"status {response.status} with a body that cannot be decoded"
    undecodable = ClientFailure(FailureReason.LOST, detail)
    if response.status == http_messages.STATUS_OK:
        answer = decoding.decode(msgspec.json.Decoder(answer_type), response.body)
        return answer.map_err(lambda _: undecodable)
    refusal = decoding.decode(_refusal_decoder, response.body)
    if isinstance(refusal, Err):
        return Err(undecodable)
    message = refusal.ok_value.error.message
    return Err(ClientFailure(FailureReason.REFUSED, message, refusal.ok_value))


def _is_retryable(failure: ClientFailure) -> bool:
    return failure.code is None or failure.code in RETRYABLE_CODES


def _report_rank(failure: ClientFailure) -> int:
    """Rank a failure; ``_request`` returns the one with the highest rank.

    Failures after which the call may have taken effect rank highest, then
    refusals, then calls that were not sent.
    """
    if failure.reason is FailureReason.LOST:
        return 3
    if failure.code is ErrorCode.UNSETTLED:
        return 2
    return 1 if failure.reason is FailureReason.REFUSED else 0


def _document_path(service: str) -> str:
    return operators_api.DOCUMENTS_PREFIX + urllib.parse.quote(service, "")


def _operator_addresses(vms: tuple[operators_api.VmStatus, ...]) -> list[fleet.Address]:
    addresses = []
    for vm in vms:
        host, _, port = vm.operator_address.rpartition(":")
        if vm.state is not operators_api.VmState.SILENT and port.isdigit():
            addresses.append(fleet.Address(host, int(port)))
    return addresses


def new_submit_call(
    text: str, base_version: int, submission_id: str = ""
) -> operators_api.SubmitCall:
    """Return a ``SubmitCall``, with a new submission id if none is given."""
    chosen_id = submission_id or ids.new_submission_id()
    return operators_api.SubmitCall(text, base_version, chosen_id)
