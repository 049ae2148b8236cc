"""Admission decision: whether a request can complete within its patience.

A request that cannot is refused at once, before any runner has worked on it.
The refusal states when a retry is more likely to succeed.
"""

import dataclasses
import enum
import random

from lacewingdrum_coordination import routing
from lacewingdrum_state import requests

PATIENCE_MARGIN_RATIO = 0.05
PATIENCE_MARGIN_S = 0.1
MIN_RETRY_AFTER_MS = 1_000
RETRY_JITTER_RATIO = 0.5
LOOP_LAG_LIMIT_S = 0.5


class RefusalReason(enum.Enum):
    """Reason why a request was not admitted."""

    PATIENCE = "patience"
    NO_RUNNER = "no_runner"
    NO_MEMORY = "no_memory"
    TOO_LARGE = "too_large"
    DAEMON_BUSY = "daemon_busy"
    OVERLOAD = "overload"


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was refused; a retry should wait ``retry_after_ms``."""

    reason: RefusalReason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pressure:
    """Load of the daemon and the service.

    Admission considers it in addition to the routing decision.

    ``shed`` states that the service's overload control sheds this request.
    ``drain_s`` is the time in which the queued work drains.
    """

    loop_lag_s: float = 0.0
    open_streams: int = 0
    stream_limit: int = 1_000
    shed: bool = False
    drain_s: float = 0.0


def decide(
    request: requests.Request,
    decision: routing.Decision,
    pressure: Pressure,
    now_s: float,
    rng: random.Random,
) -> Admitted | Refused:
    """Admit a request or refuse it at once.

    Args:
        request: the request.
        decision: the routing decision for it.
        pressure: the load of the daemon and of the service.
        now_s: current time.
        rng: random source that spreads the retries of refused callers.

    Returns:
        Admitted, or the refusal with the time of a retry.
    """
    if decision.runner is None:
        reason = _REFUSAL_REASON_OF.get(decision.reason, RefusalReason.NO_RUNNER)
        return Refused(reason, retry_after_ms(pressure.drain_s, rng))
    if pressure.open_streams >= pressure.stream_limit:
        return Refused(RefusalReason.DAEMON_BUSY, retry_after_ms(1.0, rng))
    if pressure.loop_lag_s > LOOP_LAG_LIMIT_S:
        return Refused(RefusalReason.DAEMON_BUSY, retry_after_ms(1.0, rng))
    if pressure.shed:
        drain_s = pressure.drain_s
        return Refused(RefusalReason.OVERLOAD, retry_after_ms(drain_s, rng))
    complete_s = _complete_s(decision) + pressure.loop_lag_s
    left_s = request.deadline_s - now_s
    usable_s = left_s - PATIENCE_MARGIN_S - left_s * PATIENCE_MARGIN_RATIO
    if complete_s > usable_s:
        drain_s = max(complete_s - usable_s, pressure.drain_s)
        return Refused(RefusalReason.PATIENCE, retry_after_ms(drain_s, rng))
    return Admitted()


def retry_after_ms(drain_s: float, rng: random.Random) -> int:
    """Return when a refused caller should retry.

    Args:
        drain_s: time in which the queued work drains.
        rng: random source that spreads the retries.

    Returns:
        The drain time, but at least one second, plus a random part of up to
        half of it.
    """
    base_ms = max(MIN_RETRY_AFTER_MS, int(drain_s * 1000))
    return base_ms + int(base_ms * RETRY_JITTER_RATIO * rng.random())


def _complete_s(decision: routing.Decision) -> float:
    assert decision.runner is not None
    for estimate in decision.estimates:
        if estimate.runner_id == decision.runner.runner_id:
            return estimate.complete_s
    return 0.0


_REFUSAL_REASON_OF = {
    routing.Reason.NO_MEMORY: RefusalReason.NO_MEMORY,
    routing.Reason.TOO_LARGE: RefusalReason.TOO_LARGE,
}
