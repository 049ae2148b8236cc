"""Distinct types for ids, so that one kind cannot stand for another."""

import secrets
from typing import NewType

VmId = NewType("VmId", str)
DataCentre = NewType("DataCentre", str)
RunnerId = NewType("RunnerId", str)
ServiceName = NewType("ServiceName", str)
KindName = NewType("KindName", str)
CustomerId = NewType("CustomerId", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
SubmissionId = NewType("SubmissionId", str)
ReservationId = NewType("ReservationId", str)
DocumentVersion = NewType("DocumentVersion", int)
FencingNumber = NewType("FencingNumber", int)
Incarnation = NewType("Incarnation", int)


def new_request_id() -> RequestId:
    """Returns: a request id that no other daemon makes."""
    return RequestId("req-" + secrets.token_hex(10))


def new_attempt_id(request_id: RequestId, attempt_number: int) -> AttemptId:
    """Name one attempt of a request.

    Args:
        request_id: the request that the attempt serves.
        attempt_number: counts from 1 within the request.

    Returns:
        The id that the attempt's replies carry.
    """
    return AttemptId(f"{request_id}.{attempt_number}")


def new_submission_id() -> SubmissionId:
    """Returns: an id by which one submission is found again."""
    return SubmissionId("sub-" + secrets.token_hex(10))
