"""Answers requests that get no route, customer, service or time."""

from lacewingdrum_coordination import route_table
from lacewingdrum_gateway import configuration_sync
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import ids, requests, states
from lacewingdrum_transport import http_messages, responder as responders

FAULT_STATUSES = {
    route_table.RouteFault.NO_ROUTE: 404,
    route_table.RouteFault.NO_CUSTOMER: 401,
}


class UnroutedAnswers:
    """Refuses requests before any attempt, and records why."""

    def __init__(
        self,
        configuration_updates: configuration_sync.ConfigurationSync,
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._configurations = configuration_updates
        self._decisions = decisions
        self._counts = counts

    async def answer_unavailable(
        self,
        caller_headers: requests.CallerHeaders,
        responder: responders.Responder,
        reason: str,
        retry_s: float,
    ) -> None:
        """Answer that the request has not run and may be retried later."""
        self._record_refusal(caller_headers, reason)
        message = f"not run: {reason}"
        await responder.send(
            http_messages.error_response(
                503,
                reason,
                message,
                states.Ran.NO,
                retry_s,
                ids.RequestId(caller_headers.attempt_id),
            )
        )

    async def answer_route_fault(
        self,
        caller_headers: requests.CallerHeaders,
        responder: responders.Responder,
        fault: route_table.RouteFault,
    ) -> None:
        """Answer that no route or no customer matches the request."""
        self._record_refusal(caller_headers, fault.value)
        message = f"not allowed by the configuration: {fault.value}"
        await responder.send(
            http_messages.error_response(
                FAULT_STATUSES[fault],
                fault.value,
                message,
                states.Ran.NO,
                request_id=ids.RequestId(caller_headers.attempt_id),
            )
        )

    def _record_refusal(
        self, caller_headers: requests.CallerHeaders, reason: str
    ) -> None:
        self._counts.count("requests", outcome=reason, service="")
        self._decisions.record(
            decision_log.DecisionEvent.REFUSED,
            ids.RequestId(caller_headers.attempt_id),
            reason=reason,
            configuration_version=self._configurations.version,
        )
