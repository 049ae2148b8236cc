"""What goes on for callers that have ended their stream.

Work that may be repeated ends once a caller has left. One that has ended only
its own stream is served like any other.
"""

import asyncio

from lacewingdrum_gateway.serving import active_request
from lacewingdrum_state import configurations
from lacewingdrum_transport import caller_presence

# Callers that know no interim responses are taken to have left after this
# time. Runners may be at work for 0.5 s after a caller has left.
CALL_WORK_S = 0.25


def is_watched(active: active_request.ActiveRequest) -> bool:
    """Return whether a request ends with its caller, as orders do not."""
    return active.routed.route.is_retryable or active.routed.service.engine is not None


async def may_send(active: active_request.ActiveRequest) -> bool:
    """Return whether an attempt may begin, as its caller seems to wait."""
    responder = active.responder
    if not responder.input_ended.is_set() or active.is_caller_waiting:
        return True
    if responder.since_input_ended_s < _unknown_s(active):
        return True
    return await _ask(active)


async def has_left(active: active_request.ActiveRequest) -> bool:
    """Wait for the end of the caller's stream; return whether it has left."""
    responder = active.responder
    await responder.input_ended.wait()
    if responder.is_disconnected:
        return True
    if not _can_be_asked(active):
        await asyncio.sleep(_unknown_s(active) - responder.since_input_ended_s)
    return not await _ask(active)


async def _ask(active: active_request.ActiveRequest) -> bool:
    if not active.is_caller_waiting and _can_be_asked(active):
        active.is_caller_waiting = await caller_presence.is_waiting(active.responder)
    return active.is_caller_waiting


def _can_be_asked(active: active_request.ActiveRequest) -> bool:
    """Return whether a caller that has ended its stream may still wait.

    A daemon that has passed a request on closes only whole connections.
    """
    return active.responder.accepts_interim and not active.is_relayed


def _unknown_s(active: active_request.ActiveRequest) -> float:
    """Return how long work goes on while it is not known who has left.

    Streams seldom end in so short a time, and engines are costly.
    """
    if _can_be_asked(active):
        return caller_presence.UNKNOWN_MAX_S
    is_stream = active.routed.route.kind is configurations.RouteKind.STREAM
    if active.is_relayed or (is_stream and is_watched(active)):
        return 0.0
    return CALL_WORK_S
