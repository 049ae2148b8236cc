"""Measures the costs of a routing decision and of its log line."""

import io
import logging
import random
import time

from lacewingdrum_coordination import routing
from lacewingdrum_runtime import decision_log
from lacewingdrum_state import documents, ids
from standins import slope_fit, slope_fleet

NOW_S = 100.0
RUNNER_SIZES = (20, 92, 275, 1_100)
CANDIDATE_SIZES = (5, 10, 20, 40)

Measured = slope_fit.Measured


def decisions() -> list[Measured]:
    """Return the costs of a routing decision and of its log line."""
    return [
        slope_fit.measure(
            "routing decision, short prompt, against the service's runners",
            "us",
            RUNNER_SIZES,
            _decision_us,
        ),
        slope_fit.measure(
            "log line of a decision, against candidates", "us", CANDIDATE_SIZES, _log_us
        ),
        slope_fit.measure(
            "log line of a decision, against candidates",
            "bytes",
            CANDIDATE_SIZES,
            _log_bytes,
            repeats=1,
        ),
    ]


def _decision_us(size: int) -> float:
    router = routing.Router(slope_fleet.data_centre(0), random.Random(1))
    runners = slope_fleet.runners(size, services=1)
    router.set_runners(runners)
    for runner in runners:
        router.observe_load(slope_fleet.load(runner, NOW_S - 0.5))
    request, weights = slope_fleet.request(), documents.Weights()
    return slope_fit.call_us(lambda: router.choose(request, weights, NOW_S))


def _log(stream: io.StringIO) -> decision_log.DecisionLog:
    logger = logging.Logger("slopes")
    handler = logging.StreamHandler(stream)
    handler.setFormatter(decision_log.json_formatter("entry-vm-0001", "region-00"))
    logger.addHandler(handler)
    return decision_log.DecisionLog(logger, time.monotonic)


def _record(log: decision_log.DecisionLog, size: int) -> None:
    estimates = [(f"runner-{index:05d}", 0.123456, 5.123456) for index in range(size)]
    log.record(
        decision_log.DecisionEvent.ROUTED,
        ids.new_request_id(),
        runner_id="runner-00001",
        reason="near_best",
        estimates=estimates,
    )


def _log_us(size: int) -> float:
    log = _log(io.StringIO())
    return slope_fit.call_us(lambda: _record(log, size))


def _log_bytes(size: int) -> float:
    stream = io.StringIO()
    _record(_log(stream), size)
    return len(stream.getvalue())
