"""Converts document versions to and from peer messages."""

from lacewingdrum_protocol import peer_messages
from lacewingdrum_state import documents, ids


def heartbeat_entry(
    stored: documents.StoredDocument,
) -> peer_messages.DocumentVersionEntry:
    """Return the entry of a document version in a heartbeat."""
    return peer_messages.DocumentVersionEntry(
        stored.service, stored.version, stored.digest
    )


def push(stored: documents.StoredDocument) -> peer_messages.DocumentPush:
    """Return the message that sends a version to a peer."""
    return peer_messages.DocumentPush(
        stored.service,
        stored.version,
        stored.submission_id,
        stored.digest,
        stored.text,
    )


def stored_document(body: peer_messages.DocumentPush) -> documents.StoredDocument:
    """Return the version that a received message contains."""
    return documents.StoredDocument(
        service=ids.ServiceName(body.service),
        version=ids.DocumentVersion(body.version),
        submission_id=ids.SubmissionId(body.submission_id),
        digest=body.digest,
        text=body.text,
    )
