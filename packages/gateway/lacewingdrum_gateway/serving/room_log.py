"""Logs and counts requests that are put off, or refused for want of room."""

from collections.abc import Callable

from lacewingdrum_coordination import customer_shares, short_room
from lacewingdrum_gateway.serving import active_request, plans
from lacewingdrum_runtime import decision_log, metrics


class RoomLog:
    """Says which requests pay while room is short, and why."""

    def __init__(
        self,
        shares: customer_shares.CustomerShares,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._shares = shares
        self._clock = clock
        self._decisions = decisions
        self._counts = counts

    def record_put_off(
        self,
        active: active_request.ActiveRequest,
        planned: plans.Plan | plans.TooCostly,
        put_off: short_room.PutOff,
    ) -> None:
        """Log that a request is put off for the first time."""
        self._counts.count("put_off_requests", route=active.routed.route.name)
        wait_ms = (put_off.until_s - self._clock()) * 1_000
        self._decisions.record(
            decision_log.DecisionEvent.PUT_OFF,
            active.request_id,
            at_most_ms=round(wait_ms),
            **self._fields(active, planned, put_off.reason),
        )

    def refusal_fields(
        self,
        active: active_request.ActiveRequest,
        planned: plans.Plan | plans.TooCostly,
        reason: short_room.Reason,
    ) -> dict[str, object]:
        """Count a refusal and return the fields of its log line."""
        self._counts.count(
            "room_refusals", route=active.routed.route.name, reason=reason.value
        )
        return self._fields(active, planned, reason)

    def _fields(
        self,
        active: active_request.ActiveRequest,
        planned: plans.Plan | plans.TooCostly,
        reason: short_room.Reason,
    ) -> dict[str, object]:
        """Return log fields: what the request wants, and what is known."""
        routed, now_s = active.routed, self._clock()
        plan = planned.plan if isinstance(planned, plans.TooCostly) else planned
        share = self._shares.share(routed.customer_digest, now_s)
        fields: dict[str, object] = {
            "reason": reason.value,
            "route": routed.route.name,
            "rank": routed.rank,
            "has_returned": active.has_returned,
            "offered_share": round(share.offered_ratio, 3),
            "prompt_tokens": routed.caller_headers.prompt_tokens,
            "first_expected_ms": round(plan.first_event_ms),
            "age_ms": round((now_s - routed.received_s) * 1_000),
            "put_off_ms": round(active.put_off_s * 1_000),
        }
        if share.granted_ratio is not None:
            fields["granted_share"] = round(share.granted_ratio, 3)
        if isinstance(planned, plans.TooCostly):
            fields["lost"] = round(planned.lost_worth, 2)
            fields["worth"] = round(planned.worth, 2)
        if plan.room is not None:
            fields["work_ahead_ms"] = round(plan.room.work_ahead_ms)
            fields["free_slots"] = plan.room.free_slots
            fields["expected_urgent"] = round(plan.room.expected_arrivals, 1)
            fields["taken_ratio"] = round(plan.room.taken_ratio, 2)
        return fields
