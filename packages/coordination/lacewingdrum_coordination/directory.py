"""Indexes the documents in force by service, model and customer."""

import dataclasses
import hashlib
from collections.abc import Iterable

from lacewingdrum_state import documents, ids, states


@dataclasses.dataclass(frozen=True, slots=True)
class Directory:
    """The documents in force, indexed for looking up callers' requests."""

    services: dict[ids.ServiceName, documents.ServiceDocument]
    by_model: dict[str, ids.ServiceName]
    customers: dict[tuple[ids.ServiceName, str], documents.Customer]
    credentials: frozenset[str]


EMPTY = Directory({}, {}, {}, frozenset())


def build(service_documents: Iterable[documents.ServiceDocument]) -> Directory:
    """Build the index of documents.

    If two services state the same model, the first one in alphabetical order
    serves it.

    Args:
        service_documents: at most one document of each service.
    """
    services: dict[ids.ServiceName, documents.ServiceDocument] = {}
    by_model: dict[str, ids.ServiceName] = {}
    customers: dict[tuple[ids.ServiceName, str], documents.Customer] = {}
    for document in sorted(service_documents, key=lambda d: d.service):
        services[document.service] = document
        if document.service_type is states.ServiceType.MODEL:
            # A model service is found by its model's name and by its own.
            by_model.setdefault(document.model, document.service)
            by_model.setdefault(document.service, document.service)
        for customer in document.customers:
            customers[document.service, customer.credential_sha256] = customer
    credentials = frozenset(digest for _, digest in customers)
    return Directory(services, by_model, customers, credentials)


def credential_sha256(authorization: str) -> str | None:
    """Hash the bearer token of an ``Authorization`` header.

    Args:
        authorization: the header's value; empty if there was no header.

    Returns:
        The token's hex SHA-256, or ``None`` if there is no bearer token.
    """
    scheme, _, token = authorization.partition(" ")
    token = token.strip()
    if scheme.lower() != "bearer" or not token:
        return None
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


def prompt_kind(
    document: documents.ServiceDocument, prompt_tokens: int
) -> documents.RequestKind | None:
    """Return the first kind that allows a prompt of this length."""
    for kind in document.kinds:
        if prompt_tokens <= kind.max_prompt_tokens:
            return kind
    return None


def call_kind(
    document: documents.ServiceDocument, method: str, path: str
) -> documents.RequestKind | None:
    """Return the first kind whose methods and path prefix match."""
    for kind in document.kinds:
        method_matches = not kind.methods or method in kind.methods
        if method_matches and path.startswith(kind.path_prefix):
            return kind
    return None


def patience_ms(kind: documents.RequestKind, requested: str) -> int | None:
    """Return the patience of a request.

    Args:
        kind: the request's kind, which states the longest patience.
        requested: the caller's patience header in ms; empty if there was no
            header.

    Returns:
        The smaller of both, or ``None`` if the header is not a positive
        number.
    """
    if not requested:
        return kind.patience_ms
    if not requested.isascii() or not requested.isdigit() or len(requested) > 12:
        return None
    requested_ms = int(requested)
    if requested_ms == 0:
        return None
    return min(requested_ms, kind.patience_ms)
