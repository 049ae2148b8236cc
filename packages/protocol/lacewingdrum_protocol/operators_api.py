"""Messages between the command line and a daemon's operator port.

======================================  ====================================
POST /documents/<service>               takes ``SubmitCall``, returns
                                        ``DocumentAnswer`` when accepted
GET  /documents/<service>[?version=N]   returns ``DocumentAnswer``
GET  /status                            returns ``StatusAnswer``
GET  /explain/<request id>              returns ``ExplainAnswer``
======================================  ====================================

Every call carries ``Authorization: Bearer``. An answer with a status other
than 200 contains an ``ErrorAnswer``.
"""

import enum

import msgspec

from lacewingdrum_state import documents

DOCUMENTS_PREFIX = "/documents/"
STATUS_PATH = "/status"
EXPLAIN_PREFIX = "/explain/"


class ErrorCode(enum.Enum):
    """Why a daemon did not confirm an operator's call.

    ``UNSETTLED`` means that it is not known yet whether a submission was
    accepted. The other codes mean that the call was not carried out.
    """

    MALFORMED = "malformed"
    UNKNOWN_CREDENTIAL = "unknown_credential"
    NOT_FOUND = "not_found"
    DOCUMENT_FAULTY = "document_faulty"
    CONFLICT = "conflict"
    UNSETTLED = "unsettled"
    STORE_DOWN = "store_down"
    NOT_READY = "not_ready"


HTTP_STATUS_BY_CODE = {
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
    """Submits ``text`` as the version after ``base_version``.

    A ``base_version`` of 0 means that no version exists. A call that repeats
    a ``submission_id`` returns the outcome of that submission.
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
    """The ``error`` object of a failure."""

    code: ErrorCode
    message: str


class ErrorAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """A failure; after a conflict ``current`` is the newest version."""

    error: ErrorDetail
    faults: tuple[FaultEntry, ...] = ()
    current: DocumentAnswer | None = None


class VmState(enum.Enum):
    """The state of a VM from the view of the answering daemon."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"


class DocumentInForce(msgspec.Struct, frozen=True):
    """The document version that one daemon uses."""

    service: str
    version: int
    digest: str


class VmStatus(msgspec.Struct, frozen=True):
    """One VM and the documents that it had in force at the last contact.

    ``heard_age_ms`` is the time since the last contact, or -1 if there was
    none.
    """

    vm_id: str
    data_centre: str
    operator_address: str
    state: VmState
    heard_age_ms: int
    documents: tuple[DocumentInForce, ...] = ()


class DataCentreStatus(msgspec.Struct, frozen=True):
    """Which VMs of a data centre have confirmed a service's newest version."""

    data_centre: str
    confirmed: tuple[str, ...]
    missing: tuple[str, ...]


class ServiceStatus(msgspec.Struct, frozen=True):
    """Which VMs have the newest version of a service's document in force.

    ``conflicting_digests`` lists the digests of different texts with the
    same version number. This must never happen.
    """

    service: str
    version: int
    digest: str
    data_centres: tuple[DataCentreStatus, ...]
    in_force_everywhere: bool
    conflicting_digests: tuple[str, ...] = ()


class StatusAnswer(msgspec.Struct, frozen=True):
    """The answering daemon and its view of all documents and VMs.

    ``may_admit`` states whether its documents are fresh enough to admit
    requests.
    """

    vm_id: str
    data_centre: str
    ready: bool
    may_admit: bool
    services: tuple[ServiceStatus, ...]
    vms: tuple[VmStatus, ...]


class ExplainAnswer(msgspec.Struct, frozen=True):
    """The log lines that a daemon still has for a request's decisions."""

    request_id: str
    vm_id: str
    lines: tuple[dict[str, object], ...]


def document_answer(stored: documents.StoredDocument) -> DocumentAnswer:
    """Return an accepted version as a message."""
    return DocumentAnswer(
        stored.service,
        stored.version,
        stored.submission_id,
        stored.digest,
        stored.text,
    )


def to_json(message: object) -> str:
    """Return a message of this module as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(message), indent=2).decode()
