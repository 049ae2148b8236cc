"""Submits a document until it is settled whether it was accepted."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from result import Ok

from lacewingdrum_cli import daemon_client
from lacewingdrum_protocol import operators_api

RETRY_INTERVAL_S = 1.0
ErrorCode = operators_api.ErrorCode
Reason = daemon_client.FailureReason
Sleep = Callable[[float], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The document was accepted as this version."""

    document: operators_api.DocumentAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class NotAccepted:
    """The document was surely not accepted."""

    failure: daemon_client.ClientFailure


@dataclasses.dataclass(frozen=True, slots=True)
class Unresolved:
    """Whether the document was accepted could not be learned in time."""

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
    """Submit, and after a lost reply ask again with the same id.

    Args:
        client: asks the daemons.
        service: the service.
        call: the submission; never changed between tries.
        timeout_s: how long to go on asking.
        clock: monotonic seconds.
        sleep: waits between tries.

    Returns:
        What became of the submission.
    """
    deadline_s = clock() + timeout_s
    may_be_accepted = False
    while True:
        answer = await client.submit(service, call)
        if isinstance(answer, Ok):
            return Accepted(answer.ok_value)
        failure = answer.err_value
        if _proves_not_accepted(failure, may_be_accepted):
            return NotAccepted(failure)
        may_be_accepted = may_be_accepted or _may_be_accepted(failure)
        if clock() + RETRY_INTERVAL_S > deadline_s:
            return Unresolved(failure) if may_be_accepted else NotAccepted(failure)
        await sleep(RETRY_INTERVAL_S)


async def wait_in_force(
    client: daemon_client.DaemonClient,
    accepted: operators_api.DocumentAnswer,
    timeout_s: float,
    clock: Callable[[], float],
    sleep: Sleep = asyncio.sleep,
) -> operators_api.ServiceStatus | None:
    """Wait until every live daemon has a version or a later one in force.

    Args:
        client: asks the daemons.
        accepted: the accepted version.
        timeout_s: how long to wait.
        clock: monotonic seconds.
        sleep: waits between looks.

    Returns:
        The service's status once that is so, or None.
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
    failure: daemon_client.ClientFailure, may_be_accepted: bool
) -> bool:
    """Whether a failure proves that the document was not accepted."""
    if failure.reason is not Reason.REFUSED:
        return False
    if failure.code is ErrorCode.CONFLICT:
        return True
    # A refusal before the table was asked says nothing of an earlier try.
    if failure.code in daemon_client.RETRYABLE_CODES:
        return False
    return not may_be_accepted


def _may_be_accepted(failure: daemon_client.ClientFailure) -> bool:
    return failure.reason is Reason.LOST or failure.code is ErrorCode.UNSETTLED


def _status_in_force(
    status: operators_api.StatusAnswer, accepted: operators_api.DocumentAnswer
) -> operators_api.ServiceStatus | None:
    for item in status.services:
        if item.service == accepted.service and item.version >= accepted.version:
            return item if item.in_force_everywhere else None
    return None
