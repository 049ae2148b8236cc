"""Handles requests on the operator port: documents, status, explanations.

Operators have their own credential, which is compared by its digest.
"""

import hashlib
import hmac
import typing
import urllib.parse
from collections.abc import Callable

import msgspec
from result import Err

from lacewingdrum_coordination import documents, membership
from lacewingdrum_daemon import (
    document_status,
    document_sync,
    probes,
    settings as settings_types,
)
from lacewingdrum_protocol import document_text, operators_api, peer_messages
from lacewingdrum_runtime import decision_log
from lacewingdrum_state import decoding, documents as document_types, ids, states
from lacewingdrum_transport import http_messages, http_server

if typing.TYPE_CHECKING:
    from lacewingdrum_daemon import peering

BEARER_PREFIX = "Bearer "
RETRY_AFTER_S = 1
SUBMISSION_ID_CHARACTERS_MAX = 100

ErrorCode = operators_api.ErrorCode

_json_encoder = msgspec.json.Encoder()
_submit_decoder = msgspec.json.Decoder(operators_api.SubmitCall)


class OperatorHandler:
    """Answers the requests of operators; ``handle`` is the HTTP handler."""

    def __init__(
        self,
        sync: document_sync.DocumentSync,
        view: Callable[[], membership.View],
        decisions: decision_log.DecisionLog,
        peers: "peering.Peering",
        own_settings: settings_types.Settings,
        health: probes.Probes,
        clock: Callable[[], float],
    ) -> None:
        """Create the handler and subscribe to heartbeats.

        Args:
            sync: submits documents and provides those in force.
            view: returns the current view of the fleet.
            decisions: provides the log lines of a request.
            peers: delivers heartbeats.
            own_settings: this daemon's settings.
            health: answers health, readiness and metrics requests.
            clock: monotonic seconds.
        """
        self._document_sync = sync
        self._view = view
        self._decisions = decisions
        self._own_settings = own_settings
        self._health = health
        self._clock = clock
        self._status = document_status.DocumentStatus(
            own_settings.vm.vm_id, own_settings.vm.data_centre
        )
        peers.on_message(peer_messages.Heartbeat, self.on_heartbeat)

    def on_heartbeat(
        self, sender: ids.VmId, heartbeat: peer_messages.Heartbeat
    ) -> None:
        """Store a peer's heartbeat for the status."""
        self._status.record_heartbeat(sender, heartbeat, self._clock())

    async def handle(
        self, request: http_messages.HttpRequest, responder: http_server.Responder
    ) -> None:
        """Send the response to an operator's request."""
        await responder.send(await self.answer(request))

    async def answer(
        self, request: http_messages.HttpRequest
    ) -> http_messages.HttpResponse:
        """Return the response to an operator's request."""
        probe = self._health.answer(request)
        if probe is not None:
            return probe
        if not self._is_authorized(request.headers.get("authorization", "")):
            message = "the credential is not the operators'"
            return _error_response(ErrorCode.UNKNOWN_CREDENTIAL, message)
        path, method = request.path, request.method
        if path.startswith(operators_api.DOCUMENTS_PREFIX):
            name = path.removeprefix(operators_api.DOCUMENTS_PREFIX)
            service = ids.ServiceName(urllib.parse.unquote(name))
            if method == "POST":
                return await self._submit(service, request.body)
            if method == "GET":
                return await self._get_document(
                    service, request.query.get("version", "")
                )
        if method == "GET" and path == operators_api.STATUS_PATH:
            return _ok_response(self.status())
        if method == "GET" and path.startswith(operators_api.EXPLAIN_PREFIX):
            return self._explain(path.removeprefix(operators_api.EXPLAIN_PREFIX))
        return _error_response(ErrorCode.NOT_FOUND, "no such path or method here")

    def status(self) -> operators_api.StatusAnswer:
        """Return the status of this daemon, all documents and all VMs."""
        view = self._view()
        vms = self._status.vms(
            view.vms, self._document_sync.digests(), self._clock(), view.listed_since_s
        )
        return operators_api.StatusAnswer(
            self._own_settings.vm.vm_id,
            self._own_settings.vm.data_centre,
            self._document_sync.ready(),
            self._document_sync.may_admit(),
            document_status.service_statuses(vms),
            vms,
        )

    def _is_authorized(self, header: str) -> bool:
        if not header.startswith(BEARER_PREFIX):
            return False
        token = header.removeprefix(BEARER_PREFIX).strip()
        digest = hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
        return hmac.compare_digest(
            digest, self._own_settings.operators.credential_sha256
        )

    async def _submit(
        self, service: ids.ServiceName, body: bytes
    ) -> http_messages.HttpResponse:
        decoded = decoding.decode(_submit_decoder, body)
        if isinstance(decoded, Err):
            return _error_response(ErrorCode.MALFORMED, f"body: {decoded.err_value}")
        call = decoded.ok_value
        fault = _call_fault(call)
        if fault:
            return _error_response(ErrorCode.MALFORMED, fault)
        faults = _document_faults(service, call.text)
        if faults:
            message = f"the document has {len(faults)} faults"
            return _error_response(ErrorCode.DOCUMENT_FAULTY, message, faults=faults)
        submission_id = ids.SubmissionId(call.submission_id)
        base = ids.DocumentVersion(call.base_version)
        self._decisions.record(
            decision_log.DecisionEvent.DOCUMENT_SUBMITTED,
            None,
            service=service,
            base_version=base,
            submission_id=submission_id,
        )
        result = await self._document_sync.submit(
            service, base, submission_id, call.text
        )
        return self._submit_response(service, submission_id, result)

    def _submit_response(
        self,
        service: ids.ServiceName,
        submission_id: ids.SubmissionId,
        result: documents.SubmitResult,
    ) -> http_messages.HttpResponse:
        event = decision_log.DecisionEvent
        match result:
            case documents.Accepted(stored):
                kind, version = event.DOCUMENT_ACCEPTED, stored.version
                answer = _ok_response(operators_api.document_answer(stored))
            case documents.Conflict(current):
                kind = event.DOCUMENT_CONFLICT
                version = current.version if current else ids.DocumentVersion(0)
                answer = _conflict_response(current)
            case documents.Unresolved(_, version, _):
                kind = event.DOCUMENT_UNSETTLED
                message = (
                    "not known yet whether the submission was accepted; "
                    "ask again with the same submission id"
                )
                answer = _error_response(
                    ErrorCode.UNSETTLED, message, ran=states.Ran.MAYBE
                )
            case documents.Unavailable(detail):
                kind, version = event.DOCUMENT_UNSETTLED, ids.DocumentVersion(0)
                message = f"the table service cannot be reached: {detail}"
                answer = _error_response(ErrorCode.STORE_DOWN, message)
        self._decisions.record(
            kind,
            None,
            service=service,
            version=version,
            submission_id=submission_id,
            status=answer.status,
        )
        return answer

    async def _get_document(
        self, service: ids.ServiceName, version: str
    ) -> http_messages.HttpResponse:
        current = self._document_sync.in_force(service)
        if not version or (current and version == str(current.version)):
            if current is None and not self._document_sync.ready():
                message = "this daemon does not know the documents yet"
                return _error_response(ErrorCode.NOT_READY, message)
            if current is None:
                return _error_response(
                    ErrorCode.NOT_FOUND, "no document of this service"
                )
            return _ok_response(operators_api.document_answer(current))
        if not version.isascii() or not version.isdigit() or len(version) > 15:
            message = "version: a whole number is allowed"
            return _error_response(ErrorCode.MALFORMED, message)
        try:
            number = ids.DocumentVersion(int(version))
            found = await self._document_sync.read_version(service, number)
        except ConnectionError as error:
            return _error_response(ErrorCode.STORE_DOWN, str(error))
        if found is None:
            return _error_response(ErrorCode.NOT_FOUND, f"no version {version}")
        return _ok_response(operators_api.document_answer(found))

    def _explain(self, request_id: str) -> http_messages.HttpResponse:
        lines = self._decisions.lines(ids.RequestId(request_id))
        if not lines:
            message = "this daemon has no line of the request any more, or had none"
            return _error_response(ErrorCode.NOT_FOUND, message)
        answer = operators_api.ExplainAnswer(
            request_id, self._own_settings.vm.vm_id, lines
        )
        return _ok_response(answer)


def _call_fault(call: operators_api.SubmitCall) -> str:
    if call.base_version < 0:
        return "base_version: 0 or more is allowed"
    if not 1 <= len(call.submission_id) <= SUBMISSION_ID_CHARACTERS_MAX:
        return f"submission_id: 1 to {SUBMISSION_ID_CHARACTERS_MAX} characters allowed"
    return ""


def _document_faults(
    service: ids.ServiceName, text: str
) -> tuple[operators_api.FaultEntry, ...]:
    document, errors = document_text.parse(text)
    if document is not None and document.service != service:
        found = f'"{document.service}"'
        allowed = f'"{service}", the service submitted to'
        return (operators_api.FaultEntry(1, "service", found, allowed),)
    return tuple(
        operators_api.FaultEntry(error.line, error.key, error.found, error.allowed)
        for error in errors
    )


def _conflict_response(
    current: document_types.StoredDocument | None,
) -> http_messages.HttpResponse:
    if current is None:
        message = "the base is not the newest version; the newest cannot be read now"
        return _error_response(ErrorCode.CONFLICT, message)
    message = f"version {current.version} was accepted since"
    shown = operators_api.document_answer(current)
    return _error_response(ErrorCode.CONFLICT, message, current=shown)


def _ok_response(message: msgspec.Struct) -> http_messages.HttpResponse:
    headers = (
        ("Content-Type", "application/json"),
        (http_messages.REQUEST_ID_HEADER, ids.new_request_id()),
    )
    return http_messages.HttpResponse(200, headers, _json_encoder.encode(message))


def _error_response(
    code: operators_api.ErrorCode,
    message: str,
    *,
    faults: tuple[operators_api.FaultEntry, ...] = (),
    current: operators_api.DocumentAnswer | None = None,
    ran: states.Ran = states.Ran.NO,
) -> http_messages.HttpResponse:
    status = operators_api.HTTP_STATUS_BY_CODE[code]
    headers = [
        ("Content-Type", "application/json"),
        (http_messages.REQUEST_ID_HEADER, ids.new_request_id()),
        (http_messages.RAN_HEADER, ran.value),
    ]
    if status == 503:
        headers.append((http_messages.RETRY_AFTER_HEADER, str(RETRY_AFTER_S)))
    detail = operators_api.ErrorDetail(code, message)
    body = _json_encoder.encode(operators_api.ErrorAnswer(detail, faults, current))
    return http_messages.HttpResponse(status, tuple(headers), body)
