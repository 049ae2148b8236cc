"""Submits a document until it is settled whether it was accepted."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from result import Ok

from lacewingdrum_cli import daemon_client
from lacewingdrum_protocol import operators_api

ASK_AGAIN_S = 1.0
ErrorCode = operators_api.ErrorCode
Reason = daemon_client.FailureReason
Sleep = Callable[[float], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """The document was accepted as this version."""

    document: operators_api.DocumentAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class NotAccepted:
    """The document was surely not accepted."""

    failure: daemon_client.ClientFailure


@dataclasses.dataclass(frozen=True, slots=True)
class StillUnknown:
    """Whether the document was accepted could not be learned in time."""

    failure: daemon_client.ClientFailure


Outcome = Settled | NotAccepted | StillUnknown


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
    until_s = clock() + timeout_s
    may_have_landed = False
    while True:
        answer = await client.submit(service, call)
        if isinstance(answer, Ok):
            return Settled(answer.ok_value)
        failure = answer.err_value
        if _settles(failure, may_have_landed):
            return NotAccepted(failure)
        may_have_landed = may_have_landed or _may_have_landed(failure)
        if clock() + ASK_AGAIN_S > until_s:
            return StillUnknown(failure) if may_have_landed else NotAccepted(failure)
        await sleep(ASK_AGAIN_S)


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
    until_s = clock() + timeout_s
    while True:
        status = await client.status()
        if isinstance(status, Ok):
            found = _service(status.ok_value, accepted)
            if found is not None:
                return found
        if clock() + ASK_AGAIN_S > until_s:
            return None
        await sleep(ASK_AGAIN_S)


def _settles(failure: daemon_client.ClientFailure, may_have_landed: bool) -> bool:
    """Whether a failure proves that the document was not accepted."""
    if failure.reason is not Reason.REFUSED:
        return False
    if failure.code is ErrorCode.CONFLICT:
        return True
    # A refusal before the table was asked says nothing of an earlier try.
    if failure.code in daemon_client.TRIED_ELSEWHERE:
        return False
    return not may_have_landed


def _may_have_landed(failure: daemon_client.ClientFailure) -> bool:
    return failure.reason is Reason.LOST or failure.code is ErrorCode.UNSETTLED


def _service(
    status: operators_api.StatusAnswer, accepted: operators_api.DocumentAnswer
) -> operators_api.ServiceStatus | None:
    for item in status.services:
        if item.service == accepted.service and item.version >= accepted.version:
            return item if item.in_force_everywhere else None
    return None
