"""Asks daemons, one after the other, until one answers."""

import dataclasses
import enum
import urllib.parse
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from lacewingdrum_protocol import operators_api
from lacewingdrum_state import fleet, ids
from lacewingdrum_transport import http_client, http_messages

CALL_TIMEOUT_S = 10.0
CONTENT_TYPE_HEADER = ("Content-Type", "application/json")

ErrorCode = operators_api.ErrorCode
RETRYABLE_CODES = (ErrorCode.NOT_READY, ErrorCode.STORE_DOWN, ErrorCode.UNSETTLED)

T = TypeVar("T", bound=msgspec.Struct)


class FailureReason(enum.Enum):
    """Why no daemon gave the answer asked for."""

    NOT_SENT = "not_sent"
    LOST = "lost"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class ClientFailure:
    """What went wrong; ``answer`` is a daemon's refusal.

    After ``NOT_SENT`` no daemon got the call; after ``LOST`` one may have.
    """

    reason: FailureReason
    detail: str
    answer: operators_api.ErrorAnswer | None = None

    @property
    def code(self) -> operators_api.ErrorCode | None:
        """The code of a daemon's refusal."""
        return self.answer.error.code if self.answer else None


class DaemonClient:
    """The operator's side of the operator port."""

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
        """Args: service, version (None: in force). Returns: the document."""
        path = _document_path(service)
        if version is not None:
            path += f"?version={version}"
        return await self._request("GET", path, b"", operators_api.DocumentAnswer)

    async def submit(
        self, service: str, call: operators_api.SubmitCall
    ) -> Result[operators_api.DocumentAnswer, ClientFailure]:
        """Submit a document; the same call may be made again.

        Args:
            service: the service.
            call: the text, its base and the submission's id.

        Returns:
            The accepted version, or why there is none.
        """
        body = msgspec.json.encode(call)
        path = _document_path(service)
        return await self._request("POST", path, body, operators_api.DocumentAnswer)

    async def status(self) -> Result[operators_api.StatusAnswer, ClientFailure]:
        """Returns: the status as the first daemon that answers sees it."""
        path = operators_api.STATUS_PATH
        return await self._request("GET", path, b"", operators_api.StatusAnswer)

    async def explain(
        self, request_id: str
    ) -> Result[operators_api.ExplainAnswer, ClientFailure]:
        """Look for a request's lines at every daemon.

        Args:
            request_id: the request.

        Returns:
            The lines of the daemon that has them.
        """
        status = await self.status()
        daemons = list(self._daemons)
        if isinstance(status, Ok):
            daemons.extend(_operator_addresses(status.ok_value.vms))
        path = operators_api.EXPLAIN_PREFIX + urllib.parse.quote(request_id, "")
        failure = ClientFailure(FailureReason.NOT_SENT, "no daemon is named")
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
        """Ask the daemons in turn; of several failures the gravest counts."""
        failures = []
        for daemon in self._daemons:
            answer = await self._request_from(daemon, method, path, body, answer_type)
            if isinstance(answer, Ok) or not _is_retryable(answer.err_value):
                return answer
            failure = answer.err_value
            detail = f"{daemon}: {failure.detail}"
            failures.append(dataclasses.replace(failure, detail=detail))
        return Err(max(failures, key=_uncertainty))

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
            may_be_sent = error.may_have_left
            reason = FailureReason.LOST if may_be_sent else FailureReason.NOT_SENT
            detail = f"{error.reason.value} {error.detail}".strip()
            return Err(ClientFailure(reason, detail))
        return _decoded(answer.ok_value, answer_type)


def _decoded(
    response: http_messages.HttpResponse, answer_type: type[T]
) -> Result[T, ClientFailure]:
    try:
        if response.status == 200:
            return Ok(msgspec.json.decode(response.body, type=answer_type))
        refusal = msgspec.json.decode(response.body, type=operators_api.ErrorAnswer)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        detail = f"status {response.status} with an unreadable body"
        return Err(ClientFailure(FailureReason.LOST, detail))
    message = refusal.error.message
    return Err(ClientFailure(FailureReason.REFUSED, message, refusal))


def _is_retryable(failure: ClientFailure) -> bool:
    return failure.code is None or failure.code in RETRYABLE_CODES


def _uncertainty(failure: ClientFailure) -> int:
    """Orders failures by how little they say of what was done."""
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
    """Args: as in ``SubmitCall``; an id is made where none is given."""
    chosen = submission_id or ids.new_submission_id()
    return operators_api.SubmitCall(text, base_version, chosen)
