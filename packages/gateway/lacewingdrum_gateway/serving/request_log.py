"""Records how requests end, in the decision log and in the metrics."""

from collections.abc import Callable

from lacewingdrum_gateway import configuration_sync
from lacewingdrum_gateway.serving import active_request, outcomes
from lacewingdrum_runtime import decision_log, metrics
from lacewingdrum_state import ids, requests

# Requests that are cut are counted by the age of the configuration in whole
# seconds, up to this one.
CONFIGURATION_AGE_MAX_S = 5


class RequestLog:
    """Records the ends of requests with what callers saw of them."""

    def __init__(
        self,
        configurations: configuration_sync.ConfigurationSync,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._configurations = configurations
        self._clock = clock
        self._decisions = decisions
        self._counts = counts

    def record(
        self, active: active_request.ActiveRequest, outcome: outcomes.Outcome
    ) -> None:
        """Count and log how a request has ended."""
        routed = active.routed
        now_s = self._clock()
        elapsed_s = now_s - routed.received_s
        service = routed.service.name
        length = requests.length_class(routed.caller_headers.prompt_tokens)
        self._counts.count("requests", outcome=outcome.value, service=service)
        self._counts.time(metrics.Timing.COMPLETE, service, length, elapsed_s)
        first_ms = None
        if active.first_event_s is not None:
            first_s = active.first_event_s - routed.received_s
            first_ms = round(first_s * 1_000, 1)
            self._counts.time(metrics.Timing.FIRST_TOKEN, service, length, first_s)
        event = decision_log.DecisionEvent.FAILED
        if outcome is outcomes.Outcome.ANSWERED:
            event = decision_log.DecisionEvent.FINISHED
        configuration_age_s = self._configurations.age_s
        caller_ended = active.responder.input_ended.is_set()
        if outcome in outcomes.CUT_OUTCOMES and not caller_ended:
            self._counts.count(
                "cut_requests",
                outcome=outcome.value,
                configuration_age_s=_age_class(configuration_age_s),
            )
        self._decisions.record(
            event,
            ids.RequestId(active.outgoing.attempt_id),
            outcome=outcome,
            route=routed.route.name,
            customer=routed.customer.name if routed.customer else "",
            caller_ended=caller_ended,
            attempts=active.attempt_count,
            elapsed_ms=round(elapsed_s * 1_000, 1),
            first_event_ms=first_ms,
            events=active.events.event_count,
            longest_pause_ms=round(active.longest_pause_s * 1_000, 1),
            configuration_age_s=round(configuration_age_s, 3),
            **active.describe_answer_end(),
        )


def _age_class(age_s: float) -> str:
    """Return the age in whole seconds as a metric's label."""
    if age_s >= CONFIGURATION_AGE_MAX_S:
        return f"{CONFIGURATION_AGE_MAX_S}+"
    return str(int(age_s))
