"""How long work goes on for callers that have ended their stream.

A caller that closes its connection ends its stream too, and only a write would
show the difference. So work that may be repeated ends soon after it.
"""

import asyncio

from lacewingdrum_gateway.serving import active_request
from lacewingdrum_state import configurations

# Runners may be at work for 0.5 s after a caller has left.
CALL_WORK_S = 0.25


def is_watched(active: active_request.ActiveRequest) -> bool:
    """Return whether a request ends with its caller, as orders do not."""
    return active.routed.route.is_retryable or active.routed.service.engine is not None


def may_send(active: active_request.ActiveRequest) -> bool:
    """Return whether an attempt may begin, as its caller seems to wait."""
    responder = active.responder
    if not responder.input_ended.is_set():
        return True
    return responder.since_input_ended_s < _work_s(active)


async def wait_until_over(active: active_request.ActiveRequest) -> None:
    """Wait until open attempts are to end, since the caller may have left."""
    responder = active.responder
    await responder.input_ended.wait()
    if not responder.is_disconnected:
        await asyncio.sleep(_work_s(active) - responder.since_input_ended_s)


def _work_s(active: active_request.ActiveRequest) -> float:
    """Return how long work goes on after the end of the caller's stream.

    A daemon that has passed a request on closes only whole connections.
    Streams seldom end in so short a time, and engines are costly.
    """
    is_stream = active.routed.route.kind is configurations.RouteKind.STREAM
    if active.is_relayed or (is_stream and is_watched(active)):
        return 0.0
    return CALL_WORK_S
