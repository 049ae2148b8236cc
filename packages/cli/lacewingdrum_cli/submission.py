"""Submits a document and retries until its outcome is known."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from result import Ok

from lacewingdrum_cli import daemon_client
from lacewingdrum_protocol import operators_api

RETRY_INTERVAL_S = 1.0
ErrorCode = operators_api.ErrorCode
FailureReason = daemon_client.FailureReason
Sleep = Callable[[float], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The document was accepted as this version."""

    document: operators_api.DocumentAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class NotAccepted:
    """The document was certainly not accepted."""

    failure: daemon_client.ClientFailure


@dataclasses.dataclass(frozen=True, slots=True)
class Unresolved:
    """The timeout elapsed, and the document may have been accepted."""

    failure: daemon_client.ClientFailure


Outcome = Accepted | NotAccepted | Unresolved


async def submit(
    client: daemon_client.DaemonClient,
    service: str,
    call: operators_api.SubmitCall,
    timeout_s: float,
    clock: Callable[[], float],
    sleep: Sleep = asyncio.sleep,
) -> Outcome:
    """Submit a document, and retry with the same id after a lost reply.

    Args:
        client: the client of the daemons.
        service: the service's name.
        call: the submission, which is the same in every attempt.
        timeout_s: how long attempts may be started, in seconds.
        clock: returns monotonic seconds.
        sleep: waits between attempts.

    Returns:
        The outcome of the submission.
    """
    deadline_s = clock() + timeout_s
    may_have_been_accepted = False
    while True:
        answer = await client.submit(service, call)
        if isinstance(answer, Ok):
            return Accepted(answer.ok_value)
        failure = answer.err_value
        if _proves_not_accepted(failure, may_have_been_accepted):
            return NotAccepted(failure)
        may_have_been_accepted = may_have_been_accepted or _may_have_been_accepted(
            failure
        )
        if clock() + RETRY_INTERVAL_S > deadline_s:
            return (
                Unresolved(failure) if may_have_been_accepted else NotAccepted(failure)
            )
        await sleep(RETRY_INTERVAL_S)


async def wait_in_force(
    client: daemon_client.DaemonClient,
    accepted: operators_api.DocumentAnswer,
    timeout_s: float,
    clock: Callable[[], float],
    sleep: Sleep = asyncio.sleep,
) -> operators_api.ServiceStatus | None:
    """Wait until every live daemon has this version or a later one in force.

    Args:
        client: the client of the daemons.
        accepted: the accepted version.
        timeout_s: how long the status is polled, in seconds.
        clock: returns monotonic seconds.
        sleep: waits between calls.

    Returns:
        The service's status, or None if the timeout elapsed first.
    """
    deadline_s = clock() + timeout_s
    while True:
        status = await client.status()
        if isinstance(status, Ok):
            found = _status_in_force(status.ok_value, accepted)
            if found is not None:
                return found
        if clock() + RETRY_INTERVAL_S > deadline_s:
            return None
        await sleep(RETRY_INTERVAL_S)


def _proves_not_accepted(
    failure: daemon_client.ClientFailure, may_have_been_accepted: bool
) -> bool:
    """Return whether a failure proves that the document was not accepted.

    A conflict proves it even if an earlier attempt may have been accepted:
    it means that the version after the base does not hold this submission,
    and that a late write of it fails (see ``lacewingdrum_coordination``).
    Other refusals are no proof after such an attempt.
    """
    if failure.reason is not FailureReason.REFUSED:
        return False
    if failure.code is ErrorCode.CONFLICT:
        return True
    # These codes do not show whether an earlier attempt was accepted: the
    # daemon may have answered without reading the documents in the table
    # service.
    if failure.code in daemon_client.RETRYABLE_CODES:
        return False
    return not may_have_been_accepted


def _may_have_been_accepted(failure: daemon_client.ClientFailure) -> bool:
    return failure.reason is FailureReason.LOST or failure.code is ErrorCode.UNSETTLED


def _status_in_force(
    status: operators_api.StatusAnswer, accepted: operators_api.DocumentAnswer
) -> operators_api.ServiceStatus | None:
    for item in status.services:
        if item.service == accepted.service and item.version >= accepted.version:
            return item if item.in_force_everywhere else None
    return None
