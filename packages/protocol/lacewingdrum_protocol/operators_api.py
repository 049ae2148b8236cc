"""Messages between the command line and a daemon's operator port.

======================================  ====================================
POST /documents/<service>               ``SubmitCall``; answers
                                        ``DocumentAnswer`` when accepted
GET  /documents/<service>[?version=N]   answers ``DocumentAnswer``
GET  /status                            answers ``StatusAnswer``
GET  /explain/<request id>              answers ``ExplainAnswer``
======================================  ====================================

Every call carries ``Authorization: Bearer``. Any other status than 200 has
an ``ErrorAnswer``.
"""

import enum

import msgspec

from lacewingdrum_state import documents

DOCUMENTS_PREFIX = "/documents/"
STATUS_PATH = "/status"
EXPLAIN_PREFIX = "/explain/"


class ErrorCode(enum.Enum):
    """Why a daemon did not do what an operator asked."""

    MALFORMED = "malformed"
    UNKNOWN_CREDENTIAL = "unknown_credential"
    NOT_FOUND = "not_found"
    DOCUMENT_FAULTY = "document_faulty"
    CONFLICT = "conflict"
    UNSETTLED = "unsettled"
    STORE_DOWN = "store_down"
    NOT_READY = "not_ready"


STATUS_OF = {
    ErrorCode.MALFORMED: 400,
    ErrorCode.UNKNOWN_CREDENTIAL: 401,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.DOCUMENT_FAULTY: 422,
    ErrorCode.CONFLICT: 409,
    ErrorCode.UNSETTLED: 503,
    ErrorCode.STORE_DOWN: 503,
    ErrorCode.NOT_READY: 503,
}


class SubmitCall(msgspec.Struct, frozen=True):
    """Submits ``text`` as the version after ``base_version`` (0: none).

    The same ``submission_id`` again asks what became of the submission.
    """

    text: str
    base_version: int
    submission_id: str


class DocumentAnswer(msgspec.Struct, frozen=True):
    """One accepted version of a document."""

    service: str
    version: int
    submission_id: str
    digest: str
    text: str


class FaultEntry(msgspec.Struct, frozen=True):
    """One fault in a document's text."""

    line: int
    key: str
    found: str
    allowed: str


class ErrorDetail(msgspec.Struct, frozen=True):
    """The ``error`` member of a failure."""

    code: ErrorCode
    message: str


class ErrorAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """A failure; ``current`` is the newest version after a conflict."""

    error: ErrorDetail
    faults: tuple[FaultEntry, ...] = ()
    current: DocumentAnswer | None = None


class VmState(enum.Enum):
    """A VM as the answering daemon sees it."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"


class DocumentInForce(msgspec.Struct, frozen=True):
    """The version that one daemon acts on."""

    service: str
    version: int
    digest: str


class VmStatus(msgspec.Struct, frozen=True):
    """One VM and the documents it has in force, ``heard_age_ms`` ago.

    ``heard_age_ms`` is -1 for a VM that was never heard.
    """

    vm_id: str
    data_centre: str
    operator_address: str
    state: VmState
    heard_age_ms: int
    documents: tuple[DocumentInForce, ...] = ()


class DataCentreStatus(msgspec.Struct, frozen=True):
    """Which VMs of a data centre confirmed a service's newest version."""

    data_centre: str
    confirmed: tuple[str, ...]
    missing: tuple[str, ...]


class ServiceStatus(msgspec.Struct, frozen=True):
    """How far the newest version of a document has come.

    ``conflicting_digests`` would mean that two texts carry one version
    number, which must never be.
    """

    service: str
    version: int
    digest: str
    data_centres: tuple[DataCentreStatus, ...]
    in_force_everywhere: bool
    conflicting_digests: tuple[str, ...] = ()


class StatusAnswer(msgspec.Struct, frozen=True):
    """The answering daemon, all documents and all VMs, as it sees them."""

    vm_id: str
    data_centre: str
    ready: bool
    may_admit: bool
    services: tuple[ServiceStatus, ...]
    vms: tuple[VmStatus, ...]


class ExplainAnswer(msgspec.Struct, frozen=True):
    """The decision lines that a daemon still has of a request."""

    request_id: str
    vm_id: str
    lines: tuple[dict[str, object], ...]


def document_answer(stored: documents.StoredDocument) -> DocumentAnswer:
    """Args: stored: an accepted version. Returns: it as a message."""
    return DocumentAnswer(
        stored.service,
        stored.version,
        stored.submission_id,
        stored.digest,
        stored.text,
    )


def to_json(message: object) -> str:
    """Args: message: one of these. Returns: its JSON, indented."""
    return msgspec.json.format(msgspec.json.encode(message), indent=2).decode()
