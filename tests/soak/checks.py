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
# After so many crashes and this time, so many requests with what crashes
# runners may still reach them.
CRASHING_REQUESTS_MAX = 3
PART_CRASHES_KNOWN = 5
REQUEST_CRASHES_KNOWN = 3
CRASHES_KNOWN_S = 3.0
CRASHING_PREFIX = "bad"
# From this time after a runner named a limit, it may get in each window the
# limit times the factor, and the slack.
LIMIT_KNOWN_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedRequest:
    """One request as its caller saw it; status 0 means no response."""

    attempt_id: str
    gateway: int
    build: str
    credential: str
    sent_s: float
    ended_s: float
    limit_s: float
    status: int
    body: bytes
    receipt: str


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """A time span in which a runner named the requests a second it takes."""

    runner: platform_runner.PlatformRunner
    per_s: float
    from_s: float
    to_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerCut:
    """A time span in which some gateways were cut off from all runners."""

    gateways: frozenset[int]
    from_s: float
    to_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Disruption:
    """A time span in which a gateway was paused, killed or stopped."""

    gateway: int
    from_s: float
    to_s: float
    is_planned_stop: bool = False


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
        f"{arrival.attempt_id}: ran at {runner.runner_id} ({arrival.path}), "
        "but no caller sent it"
        for runner in runners
        for arrival in runner.arrivals
        if arrival.ran and arrival.attempt_id not in sent
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
    if request.status in NOT_RUN_STATUSES and ran:
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


def crashing_part_violations(
    engines: list[platform_runner.PlatformRunner], disruptions: list[Disruption]
) -> list[str]:
    """Check that few requests are sent with parts that crash engines.

    Args:
        engines: all engines of the soak.
        disruptions: when gateways were paused, killed or stopped; a part is
            not checked if that happened while its crashes became known.

    Returns:
        A line for each part that was sent too often.
    """
    arrivals_s: dict[str, list[float]] = {}
    for engine in engines:
        for arrival in engine.arrivals:
            for entry in arrival.headers.get("prompt-prefix", "").split(","):
                if entry.startswith(CRASHING_PREFIX):
                    arrivals_s.setdefault(entry, []).append(arrival.arrived_s)
    return _late_arrivals(engines, arrivals_s, disruptions, PART_CRASHES_KNOWN)


def crashing_request_violations(
    ledgers: list[platform_runner.PlatformRunner], disruptions: list[Disruption]
) -> list[str]:
    """Check that requests which crash plain runners are sent to few.

    Args:
        ledgers: all plain runners of the soak.
        disruptions: as for ``crashing_part_violations``.

    Returns:
        A line for each request that was sent too often.
    """
    arrivals_s: dict[str, list[float]] = {}
    for ledger in ledgers:
        for arrival in ledger.arrivals:
            name = arrival.body.decode()
            if name.startswith(CRASHING_PREFIX):
                arrivals_s.setdefault(name, []).append(arrival.arrived_s)
    return _late_arrivals(ledgers, arrivals_s, disruptions, REQUEST_CRASHES_KNOWN)


def _late_arrivals(
    runners: list[platform_runner.PlatformRunner],
    arrivals_s: dict[str, list[float]],
    disruptions: list[Disruption],
    crashes_known: int,
) -> list[str]:
    crashes_s = sorted(
        time_s for runner in runners for time_s in runner.crashes.times_s
    )
    found: list[str] = []
    for name, times_s in arrivals_s.items():
        under_s = [time_s for time_s in crashes_s if time_s >= min(times_s)]
        if len(under_s) < crashes_known:
            continue
        known_s = under_s[crashes_known - 1] + CRASHES_KNOWN_S
        was_disrupted = any(
            span.from_s < max(times_s) and span.to_s > min(times_s) - CRASHES_KNOWN_S
            for span in disruptions
        )
        later = sum(time_s > known_s for time_s in times_s)
        if later > CRASHING_REQUESTS_MAX and not was_disrupted:
            found.append(f"{name}: {later} requests after {crashes_known} crashes")
    return found


def limit_violations(
    named: list[NamedLimit], disruptions: list[Disruption]
) -> list[str]:
    """Check that runners get no more requests than they name.

    Args:
        named: the limits that runners named.
        disruptions: when gateways were paused, killed or stopped; a window is
            not checked if that happened in it or while the limit became known.

    Returns:
        A line for each limit that was not kept to.
    """
    found: list[str] = []
    for limit in named:
        allowed = LIMIT_FACTOR * limit.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        times_s = [
            arrival.arrived_s
            for arrival in limit.runner.arrivals
            if limit.from_s + LIMIT_KNOWN_S <= arrival.arrived_s <= limit.to_s
        ]
        for from_s in times_s:
            until_s = from_s + LIMIT_WINDOW_S
            count = sum(from_s <= time_s <= until_s for time_s in times_s)
            was_disrupted = any(
                span.from_s < until_s and span.to_s > from_s - LIMIT_KNOWN_S
                for span in disruptions
            )
            if count > allowed and not was_disrupted:
                name = limit.runner.runner_id
                found.append(f"{name}: {count} requests in 4 s, allowed {allowed}")
                break
    return found
