"""Decides whether and where a request may be sent again after an attempt.

A route limits the number of runners that a request is sent to. A runner that
falls silent counts, as it may run the request. One that is known to have ended
or to be cut off does not.

A request that may run more than once can still go again to a runner whose
connection brought the answer of another request, because that runner itself is
healthy.
"""

from lacewingdrum_gateway.serving import active_request, attempt_ends, plans
from lacewingdrum_state import ids, states

# Includes attempts that did not reach a runner, which cost nothing but time.
ATTEMPTS_MAX = 8
# How often a request is sent again to a runner that it was sent to.
REPEATS_MAX = 2
RETRY_MIN_LEFT_S = 0.03


def may_start(active: active_request.ActiveRequest) -> bool:
    """Return whether an attempt may be made, beside those that are open."""
    if not active.events.is_resumable or active.may_crash_runners:
        return False
    if not active.race.attempts:
        return True
    return active.routed.route.is_retryable and _has_runners_left(active)


def apply_silence(
    active: active_request.ActiveRequest, plan: plans.Plan, is_suspect: bool
) -> None:
    """Restrict the next attempt while a silent one stays open.

    Args:
        active: the request.
        plan: the plan of the silent attempt.
        is_suspect: whether its runner is suspect now.
    """
    active.excluded.add(plan.entry.runner_id)
    active.sent_to.add(plan.entry.runner_id)
    active.only_runner = None
    if is_suspect:
        record_suspect(active, plan)


def record_suspect(active: active_request.ActiveRequest, plan: plans.Plan) -> None:
    """Record that the runner of an attempt is suspect.

    Args:
        active: the request.
        plan: the plan of the attempt.
    """
    active.suspects[plan.entry.runner_id] = plan.entry


def apply_end(
    active: active_request.ActiveRequest,
    plan: plans.Plan,
    end: attempt_ends.AttemptEnd,
    is_suspect: bool,
) -> ids.RunnerId | None:
    """Restrict the next attempt by how the last one ended.

    Args:
        active: the request.
        plan: the plan of the last attempt.
        end: the end of that attempt.
        is_suspect: whether the runner of the attempt is suspect now.

    Returns:
        The helper that refused to prefill its part, or None.
    """
    runner_id = plan.entry.runner_id
    if end.reason is not attempt_ends.EndReason.WITHHELD:
        active.excluded.add(runner_id)
    if end.state is not states.AttemptState.UNSENT:
        active.sent_to.add(runner_id)
    if end.reason is attempt_ends.EndReason.FOREIGN_ANSWER:
        active.repeat_at = runner_id
    if is_suspect:
        record_suspect(active, plan)
    helper = next((item for item in plan.helpers if item.address == end.at_fault), None)
    if helper is None:
        _release_choice(active, end)
        return None
    active.excluded.add(helper.runner_id)
    # The attempt failed because of its helper; the runner that the request was
    # sent to remains usable.
    active.excluded.discard(runner_id)
    if end.reason is not attempt_ends.EndReason.HELPER_FAILED:
        return None
    active.only_runner = None if _has_runners_left(active) else runner_id
    return helper.runner_id


def _release_choice(
    active: active_request.ActiveRequest, end: attempt_ends.AttemptEnd
) -> None:
    """Let the next attempt go to another runner, if there may be one."""
    if _has_runners_left(active):
        active.only_runner = None
        return
    if end.state is states.AttemptState.UNSENT and active.only_runner is not None:
        # An unsent attempt may always be followed by one, which must not go
        # to a further runner.
        return
    active.only_runner = None
    allow_repeat(active)


def apply_relay_end(
    active: active_request.ActiveRequest,
    end: attempt_ends.AttemptEnd,
    was_silent: bool,
) -> bool:
    """Count an attempt at a peer, and return whether another may follow.

    Args:
        active: the request.
        end: how the attempt ended; the peer may have sent it to a runner.
        was_silent: whether the attempt was counted when the peer fell silent.
    """
    if end.state is states.AttemptState.ANSWERED:
        return False
    if end.state is not states.AttemptState.UNKNOWN:
        return True
    if not was_silent:
        active.earlier_runner_count += 1
    return active.routed.route.is_retryable


def may_retry(
    active: active_request.ActiveRequest, end: attempt_ends.AttemptEnd, left_s: float
) -> bool:
    """Return whether a request may be sent again.

    Args:
        active: the request, after ``apply_end``.
        end: the end of its last attempt.
        left_s: the time until its deadline.
    """
    if active.attempt_count >= ATTEMPTS_MAX or left_s < RETRY_MIN_LEFT_S:
        return False
    if end.state is states.AttemptState.UNSENT:
        return True
    if not _has_runners_left(active) and active.only_runner is None:
        return False
    if end.state is states.AttemptState.REFUSED_BY_RUNNER:
        return True
    return active.routed.route.is_retryable


def needs_new_connection(
    active: active_request.ActiveRequest, runner_id: ids.RunnerId
) -> bool:
    """Return whether a request is to be sent on a connection of its own.

    A runner may write an earlier answer once more on a connection that is
    kept. For a request that it has had before, or that has no id, the id in
    the answer does not tell that answer from the one that is due.

    Args:
        active: the request.
        runner_id: the runner that it is sent to next.
    """
    return (
        not active.routed.route.is_retryable
        or not active.outgoing.attempt_id
        or runner_id in active.sent_to
        # Another daemon may have sent the request to this runner.
        or active.earlier_runner_count > 0
    )


def allow_repeat(active: active_request.ActiveRequest) -> bool:
    """Allow a healthy runner that the request was sent to once more.

    Args:
        active: a request for which no further runner may be asked or is left.

    Returns:
        Whether the next attempt goes to such a runner.
    """
    if (
        not active.routed.route.is_retryable
        or active.repeat_at is None
        or active.repeat_count >= REPEATS_MAX
    ):
        return False
    active.repeat_count += 1
    active.only_runner, active.repeat_at = active.repeat_at, None
    active.excluded.discard(active.only_runner)
    return True


def needs_lost_runner(active: active_request.ActiveRequest) -> bool:
    """Return whether a further runner may be asked only if one was lost."""
    return active.routed.route.is_retryable and not _has_runners_left(active)


def may_follow_loss(active: active_request.ActiveRequest) -> bool:
    """Return whether a request may go on elsewhere, as a runner was lost."""
    return active.attempt_count < ATTEMPTS_MAX and not needs_lost_runner(active)


def _has_runners_left(active: active_request.ActiveRequest) -> bool:
    """Return whether the request may be sent to a further runner."""
    # One runner that ended or was cut off is not counted.
    lost_count = min(len(active.lost_runners & active.sent_to), 1)
    runner_count = len(active.sent_to) - lost_count + active.earlier_runner_count
    return runner_count < active.routed.route.max_attempts
