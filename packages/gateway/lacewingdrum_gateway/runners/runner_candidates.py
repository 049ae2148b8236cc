"""Selects the runners that a request may be sent to."""

from collections.abc import Callable

from lacewingdrum_coordination import (
    cold_limits,
    evacuation_register,
    runner_health,
    runner_limits,
    runner_roster,
)
from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_state import configurations, ids, runner_entries, units

# In units of worth.
OTHER_DATA_CENTRE_COST = 0.01
# The share of a request's worth that is added to the cost of a runner which
# wants no request from some peer.
PAUSED_FOR_PEERS_COST_SHARE = 0.4
# Above this number, runners of other data centres are not considered.
CANDIDATES_MAX = 150
# They are considered if the own data centre has less than this ratio of the
# runners that a data centre has on average.
LOCAL_RATIO_MIN = 0.5

_EvacuatedCount = tuple[
    frozenset[ids.DataCentre], tuple[runner_entries.RunnerEntry, ...], int
]


class RunnerCandidates:
    """The runners of each service that may get a request now."""

    def __init__(
        self,
        roster: runner_roster.RunnerRoster,
        health: runner_health.RunnerHealth,
        limits: runner_limits.RunnerLimits,
        cold: cold_limits.ColdLimits,
        peers: peer_table.PeerTable,
        data_centre: ids.DataCentre,
        clock: Callable[[], float],
        evacuations: evacuation_register.EvacuationRegister,
    ) -> None:
        self._roster = roster
        self._health = health
        self._limits = limits
        self._cold = cold
        self._peers = peers
        self._data_centre = data_centre
        self._clock = clock
        self._evacuations = evacuations
        # The count of each service, and what it was made from.
        self._evacuated_counts: dict[ids.ServiceName, _EvacuatedCount] = {}

    def pause_left_s(self, service: ids.ServiceName) -> float:
        """Return how long no runner of a service takes a request.

        Returns:
            The shortest time that is left; 0 if some runner takes requests,
            or if the service has no runner. An evacuation ends at no time
            that is known, so runners that it leaves out do not count.
        """
        now_s = self._clock()
        return min(
            (
                max(
                    self._health.pauses.left_s(entry, now_s),
                    self._limit_wait_s(entry, now_s),
                )
                for entry in self._roster.of_service(service)
                if not self.is_evacuated(entry)
            ),
            default=0.0,
        )

    @property
    def uses_all_engines(self) -> bool:
        """Whether the work on engines of all data centres is known here."""
        is_small_fleet = self._peers.exchanges_all_work_reports
        return is_small_fleet or bool(self._evacuations.active)

    def is_evacuated(self, entry: runner_entries.RunnerEntry) -> bool:
        """Return whether no request may begin at a runner's data centre."""
        return self._evacuations.is_evacuated(entry.data_centre)

    def evacuated_count(self, service: ids.ServiceName) -> int:
        """Return how many runners of a service evacuations leave out."""
        active = self._evacuations.active
        if not active:
            return 0
        listed = self._roster.of_service(service)
        counted = self._evacuated_counts.get(service)
        if counted is None or counted[0] is not active or counted[1] is not listed:
            counted = (active, listed, sum(map(self.is_evacuated, listed)))
            self._evacuated_counts[service] = counted
        return counted[2]

    def has_only_evacuated(self, service: ids.ServiceName) -> bool:
        """Return whether a service has runners, all of them evacuated."""
        evacuated_count = self.evacuated_count(service)
        return 0 < evacuated_count == len(self._roster.of_service(service))

    def _limit_wait_s(self, entry: runner_entries.RunnerEntry, now_s: float) -> float:
        """Return when a runner takes a further request from some daemon."""
        wait_s = self._limits.wait_s(entry, now_s)
        wait_s = min(wait_s, self._limits.interval_s(entry.runner_id))
        cold_wait_s = self._cold.wait_s(entry, now_s)
        return max(wait_s, min(cold_wait_s, self._cold.interval_s(entry)))

    def record_plan(self, entry: runner_entries.RunnerEntry) -> None:
        """Count a request that is planned now for a runner."""
        now_s = self._clock()
        self._limits.take(entry, now_s)
        self._cold.reserve(entry, now_s)

    def may_send(self, entry: runner_entries.RunnerEntry) -> bool:
        """Return whether a planned request may be sent now; count it if so.

        It may not if its runner has turned cold or was started again since,
        and this daemon has no request left that it may send.
        """
        newest = self._roster.get(entry.runner_id)
        is_older = newest is not None and newest.born_ms > entry.born_ms
        if is_older and self._cold.runners.has_limit(entry.service):
            return False
        now_s = self._clock()
        if self._health.take_unconnected(entry.runner_id):
            self._cold.record_reached(entry, now_s)
        return self._cold.take(entry, now_s)

    def delay_ms(
        self, service: configurations.Service, entry: runner_entries.RunnerEntry
    ) -> float:
        """Return the stated delay, one way, to a runner's data centre."""
        pair = frozenset((self._data_centre, entry.data_centre))
        for delay in service.delays:
            if delay.data_centres == pair:
                return delay.delay_ms
        return 0.0

    def may_help(self, entry: runner_entries.RunnerEntry, now_s: float) -> bool:
        """Return whether an engine is expected to prefill parts for others."""
        return (
            self._health.may_help(entry.runner_id, now_s)
            and not self._limits.is_limited(entry)
            and not self._cold.is_cold(entry, now_s)
        )

    def slowdown(self, entry: runner_entries.RunnerEntry, now_s: float) -> float:
        """Return how many times slower than stated a cold engine is."""
        return self._cold.slowdown(entry, now_s) if self._cold.has_any else 1.0

    def cold_left_ms(self, entry: runner_entries.RunnerEntry) -> int:
        """Return how long a runner stays cold; 0 if it is not."""
        cold = self._cold.runners.get(entry)
        left_s = cold.left_s(self._clock()) if cold is not None else 0.0
        return round(left_s * units.MS_PER_S)

    def of_service(
        self, service: ids.ServiceName, excluded: set[ids.RunnerId]
    ) -> list[runner_entries.RunnerEntry]:
        """Return the runners that are not excluded and take a request now.

        Suspects are included only if there are no others.
        """
        now_s = self._clock()
        has_limits = self._limits.has_any
        if has_limits:
            self._limits.set_daemons(self._peers.own_address, self._peers.senders())
        listed = self._roster.of_service(service)
        remaining = [
            entry
            for entry in listed
            if entry.runner_id not in excluded
            and not self.is_evacuated(entry)
            and not self._health.pauses.left_s(entry, now_s)
            and not (has_limits and self._limits.wait_s(entry, now_s))
        ]
        if self._cold.has_any:
            remaining = [
                entry for entry in remaining if self._cold.admits(entry, now_s)
            ]
        healthy = [
            entry for entry in remaining if not self._health.is_suspect(entry.runner_id)
        ]
        if self.uses_all_engines and len(healthy) <= CANDIDATES_MAX:
            return healthy or remaining
        # Either daemons in other data centres do not report their work here,
        # as they do in an evacuation, or there are too many runners to
        # evaluate all of them.
        local = [entry for entry in healthy if entry.data_centre == self._data_centre]
        if _is_few(local, healthy):
            return healthy or remaining
        return local

    def penalty(
        self, entry: runner_entries.RunnerEntry, worth: float, now_s: float
    ) -> float:
        """Return the cost of what is known against a runner.

        Args:
            entry: the runner.
            worth: the worth of the request.
            now_s: the current time.

        Returns:
            The cost in units of worth.
        """
        cost = worth * self._health.failure_share(entry.runner_id, now_s)
        if self._health.is_paused_for_peers(entry.runner_id, now_s):
            cost += worth * PAUSED_FOR_PEERS_COST_SHARE
        if entry.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_COST
        return cost


def _is_few(
    local: list[runner_entries.RunnerEntry],
    healthy: list[runner_entries.RunnerEntry],
) -> bool:
    """Return whether too few runners are left in the own data centre.

    They would get all of its requests while those of others have room.
    """
    data_centres = {entry.data_centre for entry in healthy}
    mean = len(healthy) / max(len(data_centres), 1)
    return not local or len(local) < LOCAL_RATIO_MIN * mean
