"""Checks the records of callers and runners against the guarantees."""

import dataclasses

from standins import platform_runner

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Status of a request whose caller gave up before the time limit.
GIVEN_UP = -1
ORDER_PREFIX = "order"
STREAM_PREFIX = "ask"
LONG_STREAM_PREFIX = "digest"
EVENT_NUMBERS = range(1, 9)
# Allowed beyond a request's time limit, as the host runs other work too.
LATENESS_MAX_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedRequest:
    """One request as its caller saw it; status 0 means no response."""

    attempt_id: str
    gateway: int
    credential: str
    sent_s: float
    ended_s: float
    limit_s: float
    status: int
    body: bytes
    receipt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Disruption:
    """A time span in which a fault paused or stopped a gateway."""

    gateway: int
    from_s: float
    to_s: float


def violations(
    observed: list[ObservedRequest],
    runners: list[platform_runner.PlatformRunner],
    disruptions: list[Disruption],
) -> list[str]:
    """Check all requests against the guarantees.

    Args:
        observed: the requests as their callers saw them.
        runners: all runners of the soak, with the attempts that they ran.
        disruptions: when gateways were paused, killed or stopped.

    Returns:
        A line for each violation.
    """
    runs: dict[str, list[str]] = {}
    for runner in runners:
        for attempt_id in runner.runs:
            runs.setdefault(attempt_id, []).append(runner.runner_id)
    found: list[str] = []
    for request in observed:
        ran = runs.get(request.attempt_id, [])
        found.extend(_request_violations(request, ran, disruptions))
    sent = {request.attempt_id for request in observed}
    found.extend(
        f"{attempt_id}: ran, but no caller sent it"
        for attempt_id in runs
        if attempt_id not in sent
    )
    return found


def _request_violations(
    request: ObservedRequest, ran: list[str], disruptions: list[Disruption]
) -> list[str]:
    found: list[str] = []
    name = f"{request.attempt_id} at gateway {request.gateway}, {request.status}"
    is_order = request.attempt_id.startswith(ORDER_PREFIX)
    if is_order and len(ran) > 1:
        found.append(f"{name}: an order ran {len(ran)} times")
    if is_order and request.status in NOT_RUN_STATUSES and ran:
        found.append(f"{name}: reported as not run, but ran at {ran}")
    if request.status == 200:
        found.extend(f"{name}: {fault}" for fault in _answer_violations(request, ran))
    late_s = request.ended_s - request.sent_s - request.limit_s
    was_disrupted = any(
        span.gateway == request.gateway
        and span.from_s < request.ended_s
        and span.to_s > request.sent_s
        for span in disruptions
    )
    if late_s > LATENESS_MAX_S and not was_disrupted:
        found.append(f"{name}: answered {late_s:.2f} s after its time limit")
    return found


def _answer_violations(request: ObservedRequest, ran: list[str]) -> list[str]:
    if not request.receipt.endswith(f"-{request.attempt_id}"):
        return [f"the receipt is {request.receipt!r}"]
    if request.attempt_id.startswith((STREAM_PREFIX, LONG_STREAM_PREFIX)):
        whole = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in EVENT_NUMBERS)
        return [] if request.body == whole.encode() else ["events differ"]
    expected = {f"answer of {name} to {request.attempt_id}".encode() for name in ran}
    return [] if request.body in expected else [f"the body is {request.body!r}"]
