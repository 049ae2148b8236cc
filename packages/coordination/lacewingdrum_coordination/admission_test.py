"""Tests of admission."""

import random

from lacewingdrum_coordination import admission, routing
from lacewingdrum_state import fleet, ids, requests

RUNNER = fleet.Runner(
    ids.RunnerId("r1"),
    ids.ServiceName("s"),
    ids.DataCentre("d"),
    fleet.Address("127.0.0.1", 1),
    ids.Incarnation(1),
)


def decide(complete_s, patience_s, pressure=None, seed=1):
    request = requests.Request(
        ids.RequestId("q"),
        ids.ServiceName("s"),
        ids.CustomerId("c"),
        ids.KindName("k"),
        1_000,
        10,
        0.0,
        patience_s,
    )
    found = routing.Estimate(RUNNER.runner_id, complete_s / 2, complete_s)
    near = routing.Reason.NEAR_BEST
    decision = routing.Decision(RUNNER, (), 0, near, (found,))
    rng = random.Random(seed)
    pressure = pressure or admission.Pressure()
    return admission.decide(request, decision, pressure, 0.0, rng)


def test_requests_that_complete_within_patience_less_a_margin_are_admitted():
    assert decide(8.0, 10.0) == admission.Admitted()
    assert decide(9.9, 10.0).reason is admission.RefusalReason.PATIENCE


def test_retry_times_are_spread():
    times = {decide(40.0, 10.0, seed=seed).retry_after_ms for seed in range(50)}
    assert len(times) > 40
    assert min(times) >= 30_000
    assert max(times) <= 50_000


def test_requests_to_a_busy_daemon_and_shed_requests_are_refused():
    busy = admission.Pressure(open_streams=10, stream_limit=10)
    assert decide(1.0, 10.0, busy).reason is admission.RefusalReason.DAEMON_BUSY
    lagging = admission.Pressure(loop_lag_s=2.0)
    assert decide(1.0, 10.0, lagging).reason is admission.RefusalReason.DAEMON_BUSY
    shed = admission.Pressure(shed=True, drain_s=12.0)
    refused = decide(1.0, 10.0, shed)
    assert refused.reason is admission.RefusalReason.OVERLOAD
    assert refused.retry_after_ms >= 12_000
