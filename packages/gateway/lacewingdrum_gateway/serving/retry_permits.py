"""Permits attempts by the retry allowance that all daemons share."""

from collections.abc import Callable

from lacewingdrum_coordination import retry_allowance
from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_gateway.serving import active_request
from lacewingdrum_runtime import decision_log, metrics

# The part of the allowance that streams use whose next event is late, though
# nothing has failed. The rest is kept for requests that have failed.
LATE_EVENTS_SHARE = 0.5


class RetryPermits:
    """Counts requests, and takes a retry for each further attempt."""

    def __init__(
        self,
        allowance: retry_allowance.RetryAllowance,
        peers: peer_table.PeerTable,
        clock: Callable[[], float],
        decisions: decision_log.DecisionLog,
        counts: metrics.Metrics,
    ) -> None:
        self._allowance = allowance
        self._peers = peers
        self._clock = clock
        self._decisions = decisions
        self._counts = counts

    def record_request(self, active: active_request.ActiveRequest) -> None:
        """Count a request, which adds to the allowance."""
        self._allowance.record_request(active.routed.service.name, self._clock())

    def lacks_retry(self, active: active_request.ActiveRequest) -> bool:
        """Return whether a retry was refused and would be again."""
        return active.is_retry_refused and not self._allowance.has_left(
            active.routed.service.name,
            self._peers.daemon_count,
            self._clock(),
            _usable_share(active),
        )

    def take(self, active: active_request.ActiveRequest) -> bool:
        """Return whether the next attempt is no retry, or one that is left."""
        is_retry = bool(active.sent_to) or active.may_have_run
        return not is_retry or self._take_retry(active)

    def _take_retry(self, active: active_request.ActiveRequest) -> bool:
        service = active.routed.service.name
        is_allowed = self._allowance.take(
            service, self._peers.daemon_count, self._clock(), _usable_share(active)
        )
        if not is_allowed and not active.is_retry_refused:
            # A silent request asks at each check; only the first refusal is
            # recorded.
            active.is_retry_refused = True
            self._counts.count("repeats_refused", reason="allowance")
            self._decisions.record(
                decision_log.DecisionEvent.REPEAT_REFUSED,
                active.request_id,
                reason="allowance",
                service=service,
                daemon_count=self._peers.daemon_count,
            )
        return is_allowed


def _usable_share(active: active_request.ActiveRequest) -> float:
    return LATE_EVENTS_SHARE if active.race.is_only_late else 1.0
