"""Tracks runner failures, contacts, suspicions, pauses and refused help.

Only the pauses outlive the entry of a runner in the list.
"""

import dataclasses
import math

from lacewingdrum_coordination import runner_pauses
from lacewingdrum_state import ids

HALF_LIFE_S = 4.0
PRIOR_ATTEMPTS = 4.0
# An engine that refused to help another one is not asked again for this long.
# It is usually draining, and the runner list shows this as soon as the store
# can be reached.
HELP_REFUSAL_PAUSE_S = 5.0
# A suspected runner is taken for dead after so many failed probes in a row.
DEAD_PROBES = 2


@dataclasses.dataclass(slots=True)
class _RunnerObservations:
    failures: float = 0.0
    attempts: float = 0.0
    as_of_s: float = 0.0
    suspect_since_s: float | None = None
    failed_probe_count: int = 0
    is_unconnected: bool = False
    last_contact_s: float = float("-inf")
    help_refused_at_s: float = float("-inf")
    peer_paused_until_s: float = float("-inf")


class RunnerHealth:
    """Observations of runners; the failure counts decay with time."""

    def __init__(self) -> None:
        self.pauses = runner_pauses.RunnerPauses()
        self._by_runner: dict[ids.RunnerId, _RunnerObservations] = {}

    def record_attempt(
        self, runner_id: ids.RunnerId, failed: bool, now_s: float
    ) -> None:
        """Record the outcome of an attempt.

        A success also ends a suspicion.
        """
        observed = self._decayed(runner_id, now_s)
        observed.attempts += 1.0
        if failed:
            observed.failures += 1.0
        else:
            observed.suspect_since_s = None
            observed.failed_probe_count = 0

    def suspect(self, runner_id: ids.RunnerId, now_s: float) -> bool:
        """Suspect a runner because it did not answer at all.

        Args:
            runner_id: the runner.
            now_s: the current time.

        Returns:
            Whether the suspicion is new.
        """
        observed = self._decayed(runner_id, now_s)
        is_new = observed.suspect_since_s is None
        if is_new:
            observed.suspect_since_s = now_s
        return is_new

    def record_contact(self, runner_id: ids.RunnerId, now_s: float) -> None:
        """Record that something was received from a runner."""
        observed = self._by_runner.setdefault(
            runner_id, _RunnerObservations(as_of_s=now_s)
        )
        observed.last_contact_s = now_s
        observed.failed_probe_count = 0

    def silent_s(self, runner_id: ids.RunnerId, now_s: float) -> float:
        """Return the time since the last contact, or infinity without one."""
        observed = self._by_runner.get(runner_id)
        return now_s - observed.last_contact_s if observed is not None else float("inf")

    def record_help_refused(self, runner_id: ids.RunnerId, now_s: float) -> bool:
        """Record that an engine refused to prefill a part for another one.

        Args:
            runner_id: the engine.
            now_s: the current time.

        Returns:
            Whether it was expected to help until now.
        """
        is_new = self.may_help(runner_id, now_s)
        observed = self._by_runner.setdefault(
            runner_id, _RunnerObservations(as_of_s=now_s)
        )
        observed.help_refused_at_s = now_s
        return is_new

    def may_help(self, runner_id: ids.RunnerId, now_s: float) -> bool:
        """Return whether an engine is expected to prefill parts for others."""
        observed = self._by_runner.get(runner_id)
        return (
            observed is None
            or now_s - observed.help_refused_at_s >= HELP_REFUSAL_PAUSE_S
        )

    def record_peer_pause(
        self, runner_id: ids.RunnerId, until_s: float, now_s: float
    ) -> None:
        """Record that a runner wants no request from a peer for a while."""
        observed = self._by_runner.setdefault(
            runner_id, _RunnerObservations(as_of_s=now_s)
        )
        observed.peer_paused_until_s = max(observed.peer_paused_until_s, until_s)

    def is_paused_for_peers(self, runner_id: ids.RunnerId, now_s: float) -> bool:
        """Return whether a runner wants no request from some peer."""
        observed = self._by_runner.get(runner_id)
        return observed is not None and now_s < observed.peer_paused_until_s

    def clear_suspicion(self, runner_id: ids.RunnerId) -> None:
        """End the suspicion of a runner that could be reached again."""
        observed = self._by_runner.get(runner_id)
        if observed is not None:
            observed.suspect_since_s = None
            observed.failed_probe_count = 0

    def record_failed_probe(self, runner_id: ids.RunnerId) -> None:
        """Record that a suspected runner accepted no connection."""
        observed = self._by_runner.get(runner_id)
        if observed is not None:
            observed.failed_probe_count += 1
            observed.is_unconnected = True

    def record_unconnected(self, runner_id: ids.RunnerId, now_s: float) -> None:
        """Record that a runner accepted no connection for a request."""
        self._decayed(runner_id, now_s).is_unconnected = True

    def is_unconnected(self, runner_id: ids.RunnerId) -> bool:
        """Return whether the last connection to a runner failed."""
        observed = self._by_runner.get(runner_id)
        return observed is not None and observed.is_unconnected

    def take_unconnected(self, runner_id: ids.RunnerId) -> bool:
        """Return whether the last connection to a runner failed; forget it."""
        is_unconnected = self.is_unconnected(runner_id)
        if is_unconnected:
            self._by_runner[runner_id].is_unconnected = False
        return is_unconnected

    def is_unreachable(self, runner_id: ids.RunnerId) -> bool:
        """Return whether a runner accepts no connection, time and again."""
        observed = self._by_runner.get(runner_id)
        return observed is not None and observed.failed_probe_count >= DEAD_PROBES

    def clear_suspicions_since(self, since_s: float) -> None:
        """Forget suspicions since a time, and failures of these runners."""
        for observed in self._by_runner.values():
            suspect_since_s = observed.suspect_since_s
            if suspect_since_s is not None and suspect_since_s >= since_s:
                observed.suspect_since_s = None
                observed.failed_probe_count = 0
                observed.is_unconnected = False
                observed.failures = 0.0

    def is_suspect(self, runner_id: ids.RunnerId) -> bool:
        """Return whether the runner is suspected to be dead or unreachable."""
        observed = self._by_runner.get(runner_id)
        return observed is not None and observed.suspect_since_s is not None

    @property
    def suspects(self) -> tuple[ids.RunnerId, ...]:
        """Runners that are suspected to be dead or unreachable."""
        return tuple(
            runner_id
            for runner_id, observed in self._by_runner.items()
            if observed.suspect_since_s is not None
        )

    def failure_share(self, runner_id: ids.RunnerId, now_s: float) -> float:
        """Return the expected share of failing requests, from 0 to 1."""
        if runner_id not in self._by_runner:
            return 0.0
        observed = self._decayed(runner_id, now_s)
        return observed.failures / (observed.attempts + PRIOR_ATTEMPTS)

    def forget(self, runner_id: ids.RunnerId) -> None:
        """Drop what is known of a runner that is gone or was restarted."""
        self._by_runner.pop(runner_id, None)

    def _decayed(self, runner_id: ids.RunnerId, now_s: float) -> _RunnerObservations:
        observed = self._by_runner.setdefault(
            runner_id, _RunnerObservations(as_of_s=now_s)
        )
        factor = math.exp2(-max(now_s - observed.as_of_s, 0.0) / HALF_LIFE_S)
        observed.failures *= factor
        observed.attempts *= factor
        observed.as_of_s = now_s
        return observed
