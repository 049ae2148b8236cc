from lacewingdrum_coordination import runner_roster_test
from lacewingdrum_gateway.serving import (
    active_request,
    attempt_ends,
    plans,
    retry_limits,
    routing_test,
)
from lacewingdrum_protocol import event_stream
from lacewingdrum_state import ids, states

ONE, OTHER = (runner_roster_test.entry(name) for name in ("e1", "e2"))


def request() -> active_request.ActiveRequest:
    routed = routing_test.large_request()
    events = event_stream.EventStream()
    return active_request.ActiveRequest(routed, None, None, events, 1)


def plan_at(entry) -> plans.Plan:
    return plans.Plan(entry, (OTHER,), (), 0, None, 100.0, 0.0, 2)


def test_attempt_that_was_not_sent_frees_no_further_runner_beyond_the_limit():
    not_connected = attempt_ends.AttemptEnd(
        states.AttemptState.UNSENT, attempt_ends.EndReason.NOT_CONNECTED
    )
    for end in (attempt_ends.evacuated(), not_connected):
        active = request()
        active.sent_to = {ONE.runner_id, ids.RunnerId("e0")}
        active.only_runner = ONE.runner_id
        retry_limits.apply_end(active, plan_at(ONE), end, False)
        assert active.only_runner == ONE.runner_id, end.reason
        assert ONE.runner_id in active.excluded


def test_attempt_that_was_not_sent_leaves_the_choice_below_the_limit():
    active = request()
    retry_limits.apply_end(active, plan_at(ONE), attempt_ends.evacuated(), False)
    assert active.only_runner is None and not active.sent_to
    assert retry_limits.may_retry(active, attempt_ends.evacuated(), 1.0)
