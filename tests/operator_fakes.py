"""Fakes of a daemon's operator port, its document sync and an HTTP client."""

import hashlib
import logging
import time
from collections.abc import Callable
from typing import Any, cast

from result import Err, Ok, Result

from lacewingdrum_coordination import documents, membership
from lacewingdrum_daemon import operators, probes, settings
from lacewingdrum_protocol import peer_messages
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import documents as document_types, fleet, ids
from lacewingdrum_transport import http_client, http_messages

CREDENTIAL = "operators-token"
SERVICE = ids.ServiceName("reader")
DATA_CENTRE = ids.DataCentre("north")
ADDRESS = fleet.Address("127.0.0.1", 8082)


def document(purpose: str) -> str:
    """Return the text of a valid document with the given purpose."""
    return f"""service = "reader"
service_type = "model"
model = "reader-large"
purpose = "{purpose}"

[[customers]]
customer = "one"
credential_sha256 = "{"0" * 64}"

[[kinds]]
kind = "short"
max_prompt_tokens = 4000
patience_ms = 1000
"""


def stored(
    text: str, version: int, submission_id: str = "sub-1"
) -> document_types.StoredDocument:
    """Return ``text`` as a stored version."""
    return document_types.StoredDocument(
        SERVICE,
        ids.DocumentVersion(version),
        ids.SubmissionId(submission_id),
        hashlib.sha256(text.encode()).hexdigest(),
        text,
    )


class FakeDocumentSync:
    """Fakes the document sync; if set, ``result`` overrides submit results."""

    def __init__(self) -> None:
        self.versions: list[document_types.StoredDocument] = []
        self.submissions: list[str] = []
        self.result: documents.SubmitResult | None = None
        self.is_ready = True

    def in_force(
        self, service: ids.ServiceName
    ) -> document_types.StoredDocument | None:
        """Return the newest version of ``SERVICE``."""
        return self.versions[-1] if self.versions and service == SERVICE else None

    def digests(self) -> tuple[peer_messages.DocumentVersionEntry, ...]:
        """Return the newest version's digest."""
        newest = self.in_force(SERVICE)
        if newest is None:
            return ()
        return (
            peer_messages.DocumentVersionEntry(SERVICE, newest.version, newest.digest),
        )

    def ready(self) -> bool:
        """Return ``is_ready``."""
        return self.is_ready

    def may_admit(self) -> bool:
        """Return true."""
        return True

    async def read_version(
        self, service: ids.ServiceName, version: ids.DocumentVersion
    ) -> document_types.StoredDocument | None:
        """Return the version if it exists."""
        found = [item for item in self.versions if item.version == version]
        return found[0] if found else None

    async def submit(
        self,
        service: ids.ServiceName,
        base_version: ids.DocumentVersion,
        submission_id: ids.SubmissionId,
        text: str,
    ) -> documents.SubmitResult:
        """Submit as against a table without faults and return the result."""
        self.submissions.append(submission_id)
        if self.result is not None:
            return self.result
        for item in self.versions:
            if item.submission_id == submission_id:
                return documents.Accepted(item)
        if base_version != len(self.versions):
            return documents.Conflict(self.in_force(service))
        accepted = stored(text, base_version + 1, submission_id)
        self.versions.append(accepted)
        return documents.Accepted(accepted)


class _FakePeering:
    def on_message(self, body_type: type, handler: Callable) -> None:
        """Ignore the handler; no message arrives."""


class FakeOperatorPort:
    """The operator port of a daemon without peers, called in process."""

    def __init__(self) -> None:
        self.document_sync = FakeDocumentSync()
        self.not_ready = ""
        self._decisions = decision_log.DecisionLog(
            logging.Logger("test"), time.monotonic
        )
        daemon_settings = settings.Settings(
            settings.VmSettings(ids.VmId("a"), DATA_CENTRE, "127.0.0.1", 0, 0, 0),
            settings.PlatformSettings(ADDRESS, ADDRESS, ADDRESS),
            settings.OperatorsSettings(hashlib.sha256(CREDENTIAL.encode()).hexdigest()),
        )
        vm = fleet.Vm(ids.VmId("a"), DATA_CENTRE, ADDRESS, ADDRESS, ids.Incarnation(1))
        readiness_probes = probes.Probes(lambda: self.not_ready, metrics.Metrics())
        self._operators = operators.OperatorHandler(
            cast(Any, self.document_sync),
            lambda: membership.View(vms=(vm,)),
            self._decisions,
            cast(Any, _FakePeering()),
            daemon_settings,
            readiness_probes,
            time.monotonic,
        )

    def record(self, request_id: ids.RequestId) -> None:
        """Record a decision about a request."""
        self._decisions.record(decision_log.DecisionEvent.ROUTED, request_id)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        token: str = CREDENTIAL,
        query: dict[str, str] | None = None,
    ) -> http_messages.HttpResponse:
        """Send one request and return the operator port's response."""
        headers = {"authorization": f"Bearer {token}"}
        request = http_messages.HttpRequest(
            method, path, query or {}, headers, body, "test"
        )
        return await self._operators.answer(request)


class FakeHttp:
    """Fakes the HTTP client with lost replies and unreachable daemons.

    The replies of the next ``lost_replies`` POST requests are lost after the
    request took effect. Connections to addresses in ``down`` fail.
    """

    def __init__(self, operator_port: FakeOperatorPort) -> None:
        self.operator_port = operator_port
        self.lost_replies = 0
        self.down: set[fleet.Address] = set()
        self.calls: list[str] = []

    async def request(
        self,
        address: fleet.Address,
        method: str,
        path: str,
        headers: http_messages.Headers,
        body: bytes,
        timeout_s: float,
    ) -> Result[http_messages.HttpResponse, http_client.HttpClientError]:
        """Return the operator port's response, or an error."""
        self.calls.append(f"{method} {path}")
        reason = http_client.ClientErrorReason
        if address in self.down:
            error = http_client.HttpClientError(reason.CONNECT_FAILED, False)
            return Err(error)
        path, _, query = path.partition("?")
        token = dict(headers)["Authorization"].removeprefix("Bearer ")
        pairs = dict([query.split("=")]) if query else {}
        response = await self.operator_port.call(method, path, body, token, pairs)
        if method == "POST" and self.lost_replies:
            self.lost_replies -= 1
            return Err(http_client.HttpClientError(reason.LOST, True))
        return Ok(response)

    async def close(self) -> None:
        """Do nothing; no connection is open."""
