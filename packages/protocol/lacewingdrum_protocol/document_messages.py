"""Documents as peers tell each other of them."""

from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import documents, ids


def digest(stored: documents.StoredDocument) -> peer_messages.Digest:
    """Args: stored: a version. Returns: what heartbeats say of it."""
    return peer_messages.Digest(stored.service, stored.version, stored.digest)


def push(stored: documents.StoredDocument) -> peer_messages.DocumentPush:
    """Args: stored: a version. Returns: the message that passes it on."""
    return peer_messages.DocumentPush(
        stored.service,
        stored.version,
        stored.submission_id,
        stored.digest,
        stored.text,
    )


def stored_document(body: peer_messages.DocumentPush) -> documents.StoredDocument:
    """Args: body: as received. Returns: the version that it passes on."""
    return documents.StoredDocument(
        service=ids.ServiceName(body.service),
        version=ids.DocumentVersion(body.version),
        submission_id=ids.SubmissionId(body.submission_id),
        digest=body.digest,
        text=body.text,
    )
