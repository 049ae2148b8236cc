"""Distinct types for ids, so that type checks catch mixed-up ids."""

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
# Identifies a part of prompts that many requests may have in common.
PromptPart = NewType("PromptPart", str)
PromptParts = tuple[PromptPart, ...]
# The same for all copies of a request.
RequestFingerprint = NewType("RequestFingerprint", str)


def new_request_id() -> RequestId:
    """Return a random request id that is unique across daemons."""
    return RequestId("req-" + secrets.token_hex(10))


def new_attempt_id(request_id: RequestId, attempt_number: int) -> AttemptId:
    """Return the id of one attempt of a request.

    The replies to the attempt carry this id.

    Args:
        request_id: The request that the attempt belongs to.
        attempt_number: The attempt's number within the request, from 1.
    """
    return AttemptId(f"{request_id}.{attempt_number}")


def new_submission_id() -> SubmissionId:
    """Return a random id that identifies one submission."""
    return SubmissionId("sub-" + secrets.token_hex(10))
