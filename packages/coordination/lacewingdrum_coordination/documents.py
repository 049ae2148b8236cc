"""Document versions: how one is submitted, adopted and kept fresh."""

import dataclasses

from lacewingdrum_state import documents, ids


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The commit is confirmed."""

    stored: documents.StoredDocument


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The base is not the newest version; ``current`` is, where known."""

    current: documents.StoredDocument | None


@dataclasses.dataclass(frozen=True, slots=True)
class Unsettled:
    """Whether the submission was accepted is not known yet.

    The same submission id settles it when it is submitted again.
    """

    service: ids.ServiceName
    version: ids.DocumentVersion
    submission_id: ids.SubmissionId


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The table could not be reached; nothing was written."""

    detail: str


SubmitResult = Accepted | Conflict | Unsettled | Unavailable
