"""Implements the transitions of ``orders.Attempt``.

An attempt has at most one write or send in progress, so an event is always
the result of the last action. The exception is ``DeadlinePassed``, which may
arrive at any time and only leads to an answer for the caller.
"""

import dataclasses

from lacewingdrum_coordination import orders
from lacewingdrum_state import orders as rows, states

_NO_ACTIONS: tuple[orders.Action, ...] = ()


def step(
    attempt: orders.Attempt,
    event: orders.Event,
    now_s: float,
    own: orders.OwnAttempts,
) -> orders.Step:
    """Process one event of an attempt.

    If the deadline has passed, the caller is answered before the event is
    handled, whatever the event is, unless the event proves that the order did
    not run.

    Args:
        attempt: the state before the event.
        event: the event.
        now_s: the time on the daemon's monotonic clock.
        own: the daemon's attempts of the same order.

    Returns:
        The state after the event, and the actions in order of execution.
    """
    replied = _NO_ACTIONS
    if now_s >= attempt.deadline_s and not _proves_not_run(event):
        attempt, replied = _expire(attempt)
    attempt, actions = _handle(attempt, event, now_s, own)
    return attempt, replied + actions


def _proves_not_run(event: orders.Event) -> bool:
    match event:
        case orders.SendEnded(orders.Unsent() | orders.RefusedNotStarted()):
            return True
    return False


def _handle(
    attempt: orders.Attempt,
    event: orders.Event,
    now_s: float,
    own: orders.OwnAttempts,
) -> orders.Step:
    match event:
        case orders.Started():
            return _end((attempt, _NO_ACTIONS)) if attempt.replied else _claim(attempt)
        case orders.DeadlinePassed():
            return _expire(attempt)
        case orders.SendEnded(outcome):
            return _on_send_ended(attempt, outcome)
        case orders.WriteFailed(may_have_applied):
            return _on_write_failed(attempt, may_have_applied, now_s)
        case orders.WriteReply():
            if attempt.phase is orders.Phase.CLAIMING:
                return _on_claim_reply(attempt, event, now_s, own)
            return _on_closing_write_reply(attempt, event)


def _row(attempt: orders.Attempt, state: states.OrderState) -> rows.OrderRow:
    answered = state is states.OrderState.ANSWERED
    return rows.OrderRow(
        order_id=attempt.order_id,
        state=state,
        attempt_id=attempt.attempt_id,
        fingerprint=attempt.fingerprint,
        answer=_stored_answer(attempt.answer) if answered else None,
    )


def _stored_answer(answer: rows.OrderAnswer | None) -> rows.OrderAnswer | None:
    if answer is None or len(answer.body) > orders.MAX_STORED_ANSWER_BYTES:
        return None
    return answer


def _reply(
    attempt: orders.Attempt, result: orders.OrderResult
) -> tuple[orders.Attempt, tuple[orders.Action, ...]]:
    if attempt.replied:
        return attempt, _NO_ACTIONS
    return dataclasses.replace(attempt, replied=True), (orders.Reply(result),)


def _reply_not_run(
    attempt: orders.Attempt, reason: orders.NotSentReason
) -> orders.Step:
    return _reply(attempt, orders.NotSent(states.Ran.NO, reason))


def _reply_may_have_run(
    attempt: orders.Attempt, reason: orders.NotSentReason
) -> orders.Step:
    return _reply(attempt, orders.NotSent(states.Ran.MAYBE, reason))


def _end(step_so_far: orders.Step) -> orders.Step:
    attempt, actions = step_so_far
    return dataclasses.replace(attempt, phase=orders.Phase.ENDED), actions


def _expire(attempt: orders.Attempt) -> orders.Step:
    if attempt.phase is orders.Phase.SENDING:
        return _reply_may_have_run(attempt, orders.NotSentReason.DEADLINE)
    return _reply_not_run(attempt, orders.NotSentReason.DEADLINE)


def _claim(attempt: orders.Attempt, delay_s: float = 0.0) -> orders.Step:
    attempt = dataclasses.replace(attempt, claim_writes=attempt.claim_writes + 1)
    row = _row(attempt, states.OrderState.DISPATCHED)
    return attempt, (orders.WriteRow(row, attempt.base_version, delay_s),)


def _may_still_send(attempt: orders.Attempt, now_s: float) -> bool:
    return not attempt.replied and now_s < attempt.deadline_s


def _on_claim_reply(
    attempt: orders.Attempt,
    reply: orders.WriteReply,
    now_s: float,
    own: orders.OwnAttempts,
) -> orders.Step:
    # Whether or not this claim was applied, the row's version is now past the
    # one that earlier claims of this attempt named, so none of those can be
    # applied later.
    attempt = dataclasses.replace(
        attempt, base_version=reply.row_version, claim_unresolved=False
    )
    if reply.applied or _is_own_claim(attempt, reply.row):
        if _may_still_send(attempt, now_s):
            return (
                dataclasses.replace(attempt, phase=orders.Phase.SENDING),
                (orders.Send(),),
            )
        return _release(attempt, orders.NotSentReason.DEADLINE)
    if reply.row_version == 0:
        return _retry_claim(attempt, now_s)
    if reply.row is None or reply.row.order_id != attempt.order_id:
        return _end(_reply_may_have_run(attempt, orders.NotSentReason.UNREADABLE_ROW))
    if reply.row.fingerprint != attempt.fingerprint:
        return _end(_reply_not_run(attempt, orders.NotSentReason.KEY_REUSED))
    return _on_claim_conflict(attempt, reply.row, now_s, own)


def _is_own_claim(attempt: orders.Attempt, row: rows.OrderRow | None) -> bool:
    return row == _row(attempt, states.OrderState.DISPATCHED)


def _on_claim_conflict(
    attempt: orders.Attempt,
    row: rows.OrderRow,
    now_s: float,
    own: orders.OwnAttempts,
) -> orders.Step:
    match row.state:
        case states.OrderState.ANSWERED if row.answer is not None:
            return _end(_reply(attempt, orders.Done(row.answer, replayed=True)))
        case states.OrderState.ANSWERED:
            reason = orders.NotSentReason.ANSWER_NOT_KEPT
            return _end(_reply(attempt, orders.NotSent(states.Ran.YES, reason)))
        case states.OrderState.NOT_RUN:
            return _retry_claim(attempt, now_s)
        case states.OrderState.DISPATCHED if row.attempt_id in own.unsent:
            return _retry_claim(attempt, now_s)
        case states.OrderState.DISPATCHED if row.attempt_id in own.sending:
            return _end(_reply_may_have_run(attempt, orders.NotSentReason.IN_PROGRESS))
        case states.OrderState.DISPATCHED:
            return _end(_reply_may_have_run(attempt, orders.NotSentReason.MAY_HAVE_RUN))


def _retry_claim(attempt: orders.Attempt, now_s: float) -> orders.Step:
    has_writes_left = attempt.claim_writes < orders.MAX_CLAIM_WRITES
    if has_writes_left and _may_still_send(attempt, now_s):
        return _claim(attempt)
    return _end(_reply_not_run(attempt, orders.NotSentReason.UNRESOLVED))


def _release(attempt: orders.Attempt, reason: orders.NotSentReason) -> orders.Step:
    """Give up the send and start to mark the row ``not_run``."""
    attempt, replied = _reply_not_run(attempt, reason)
    attempt = dataclasses.replace(
        attempt, phase=orders.Phase.RELEASING, failed_writes=0
    )
    return attempt, (*replied, _closing_write(attempt, delay_s=0.0))


def _record(attempt: orders.Attempt, answer: rows.OrderAnswer) -> orders.Step:
    attempt, replied = _reply(attempt, orders.Done(answer, replayed=False))
    attempt = dataclasses.replace(
        attempt, phase=orders.Phase.RECORDING, failed_writes=0, answer=answer
    )
    return attempt, (*replied, _closing_write(attempt, delay_s=0.0))


def _closing_write(attempt: orders.Attempt, delay_s: float) -> orders.WriteRow:
    recording = attempt.phase is orders.Phase.RECORDING
    state = states.OrderState.ANSWERED if recording else states.OrderState.NOT_RUN
    return orders.WriteRow(_row(attempt, state), attempt.base_version, delay_s)


def _on_closing_write_reply(
    attempt: orders.Attempt, reply: orders.WriteReply
) -> orders.Step:
    # If this attempt's own claim was applied late, the write is retried on
    # top of it. Any other row means that this write was applied, or that
    # another attempt wrote the row, so this attempt's claim can no longer be
    # applied.
    if not reply.applied and _is_own_claim(attempt, reply.row):
        attempt = dataclasses.replace(attempt, base_version=reply.row_version)
        return attempt, (_closing_write(attempt, delay_s=0.0),)
    return _end((attempt, _NO_ACTIONS))


def _on_send_ended(attempt: orders.Attempt, outcome: orders.SendOutcome) -> orders.Step:
    match outcome:
        case orders.Answered(answer):
            return _record(attempt, answer)
        case orders.RefusedNotStarted():
            return _release(attempt, orders.NotSentReason.RUNNER_REFUSED)
        case orders.Unsent():
            return _release(attempt, orders.NotSentReason.RUNNER_UNREACHED)
        case orders.AnswerLost():
            return _end(_reply_may_have_run(attempt, orders.NotSentReason.ANSWER_LOST))


def _on_write_failed(
    attempt: orders.Attempt, may_have_applied: bool, now_s: float
) -> orders.Step:
    attempt = dataclasses.replace(attempt, failed_writes=attempt.failed_writes + 1)
    if attempt.phase is not orders.Phase.CLAIMING:
        return attempt, (_closing_write(attempt, _backoff_s(attempt)),)
    claim_unresolved = attempt.claim_unresolved or may_have_applied
    attempt = dataclasses.replace(attempt, claim_unresolved=claim_unresolved)
    if not claim_unresolved:
        return _end(_reply_not_run(attempt, orders.NotSentReason.NO_TABLE))
    has_writes_left = attempt.claim_writes < orders.MAX_CLAIM_WRITES
    if has_writes_left and _may_still_send(attempt, now_s):
        return _claim(attempt, _backoff_s(attempt))
    return _release(attempt, orders.NotSentReason.UNRESOLVED)


def _backoff_s(attempt: orders.Attempt) -> float:
    doublings = min(attempt.failed_writes - 1, 10)
    return min(orders.FIRST_RETRY_DELAY_S * 2**doublings, orders.MAX_RETRY_DELAY_S)
