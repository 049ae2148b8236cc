"""Plans attempts: chooses runners and helpers and estimates the time."""

import dataclasses
import random
from collections.abc import Callable

from lacewingdrum_coordination import (
    coordinators,
    engine_choice,
    engine_costs,
    engine_owners,
    engine_times,
    engine_work_registry,
    request_worth,
    runner_health,
    runner_roster,
    service_choice,
)
from lacewingdrum_gateway import peer_table, plans, work_sync
from lacewingdrum_state import configurations, ids, runner_entries

LATE_WORTH_SHARE = 0.75
OTHER_DATA_CENTRE_COST = 0.01
OBJECTIVE_MIN_MS = 20.0
DEFAULT_OBJECTIVE_MS = 1_000.0
# A request is refused if it costs other requests more than this multiple of
# its own worth.
REFUSE_LOST_WORTH_RATIO = 1.4
# Prompts with a shorter prefill interfere too little to be refused.
REFUSE_PREFILL_MIN_MS = 500.0
# Cost added to an engine that a daemon behind a possible partition owns, as
# that daemon may be using it.
PEER_OWNED_COST = 0.4
HASH_RANGE = 1 << 64
CACHED_PREFERENCES_MAX = 10_000
# Above this number, runners of other data centres are not considered.
CANDIDATES_MAX = 150
PRIORITY_MAX = 9
PRIORITY_STEP = 3
URGENT_OBJECTIVE_MS = 500.0
MIDDLE_OBJECTIVE_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _CostedPlan:
    """A plan for engines, the worth it costs in total and its own worth."""

    plan: plans.Plan
    lost_worth: float
    worth: float
    is_large: bool

    @property
    def is_too_costly(self) -> bool:
        return self.is_large and self.lost_worth > REFUSE_LOST_WORTH_RATIO * self.worth


class Planner:
    """Plans attempts from the known state of runners and their work."""

    def __init__(
        self,
        roster: runner_roster.RunnerRoster,
        health: runner_health.RunnerHealth,
        engine_work: engine_work_registry.EngineWorkRegistry,
        work_updates: work_sync.WorkSync,
        data_centre: ids.DataCentre,
        clock: Callable[[], float],
        rng: random.Random,
        peers: peer_table.PeerTable,
    ) -> None:
        self._peers = peers
        self._owners = engine_owners.EngineOwners()
        self._work_updates = work_updates
        self._roster = roster
        self._health = health
        self._engine_work = engine_work
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._worth = request_worth.RequestWorth()
        self.in_flight: dict[ids.RunnerId, int] = {}
        self._preferences_group = ids.VmId("")
        self._preferences: dict[ids.RunnerId, float] = {}

    def stated_pass_ms(self, target: plans.RequestTarget, plan: plans.Plan) -> float:
        """Return the stated duration of a decode pass without prefill."""
        engine = target.service.engine
        if engine is None:
            return float("inf")
        load = self._engine_work.load(plan.entry.runner_id)
        return engine_times.decode_pass_ms(engine, load.writers, load.context_tokens)

    def prefill_backlog_s(self, plan: plans.Plan) -> float:
        """Return the prefill backlog of the decoding engine of a plan."""
        load = self._engine_work.load(plan.entry.runner_id)
        return load.backlog_ms(self._clock()) / 1_000

    def plan(
        self,
        target: plans.RequestTarget,
        tried: set[ids.RunnerId],
        only_runner: ids.RunnerId | None = None,
        may_refuse: bool = True,
    ) -> plans.Plan | plans.TooCostly | None:
        """Plan the next attempt of a request.

        Args:
            target: the request.
            tried: runners that are excluded after an earlier attempt.
            only_runner: the only runner that the request may be sent to, or
                None if there is no such restriction.
            may_refuse: whether the request has not run and may be refused.

        Returns:
            The plan, ``TooCostly`` if other requests would lose too much
            worth, or None if no runner can serve the request.
        """
        entries = self._candidate_runners(target.service.name, tried)
        if not entries:
            return None
        engine = target.service.engine
        if engine is None or not target.caller_headers.prompt_tokens:
            return self._plan_service(target, entries)
        planned = self._plan_engines(target, engine, entries, tried, only_runner)
        if planned is None:
            return None
        if may_refuse and planned.is_too_costly:
            return plans.TooCostly(
                planned.lost_worth, planned.worth, planned.plan.first_event_ms
            )
        return planned.plan

    def _candidate_runners(
        self, service: ids.ServiceName, tried: set[ids.RunnerId]
    ) -> list[runner_entries.RunnerEntry]:
        """Return the untried runners, without suspects if any others exist."""
        listed = self._roster.of_service(service)
        untried = [entry for entry in listed if entry.runner_id not in tried]
        healthy = [
            entry for entry in untried if not self._health.is_suspect(entry.runner_id)
        ]
        if self._peers.shares_all_work and len(healthy) <= CANDIDATES_MAX:
            return healthy or untried
        # Either the work of daemons in other data centres is unknown here, or
        # there are too many runners to evaluate all of them.
        local = [entry for entry in healthy if entry.data_centre == self._data_centre]
        return local or healthy or untried

    def _penalty(
        self, entry: runner_entries.RunnerEntry, worth: float, now_s: float
    ) -> float:
        cost = worth * self._health.failure_share(entry.runner_id, now_s)
        if entry.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_COST
        return cost

    def _group_preference(self, group_id: ids.VmId, runner_id: ids.RunnerId) -> float:
        """Return the place of an engine, 0 to 1, in the order of a work group.

        Groups that do not share their work use different orders, so that they
        fill different engines first.
        """
        if (
            group_id != self._preferences_group
            or len(self._preferences) > CACHED_PREFERENCES_MAX
        ):
            self._preferences_group = group_id
            self._preferences.clear()
        preference = self._preferences.get(runner_id)
        if preference is None:
            preference = (
                coordinators.stable_hash(f"{group_id}\x1f{runner_id}") / HASH_RANGE
            )
            self._preferences[runner_id] = preference
        return preference

    def _peer_owned_cost(self, entry: runner_entries.RunnerEntry) -> float:
        return (
            PEER_OWNED_COST
            if self._owners.is_owned_by_silent_peer(entry.runner_id)
            else 0.0
        )

    def _plan_service(
        self, target: plans.RequestTarget, entries: list[runner_entries.RunnerEntry]
    ) -> plans.Plan | None:
        now_s = self._clock()
        candidates = [
            service_choice.Candidate(
                entry,
                self.in_flight.get(entry.runner_id, 0),
                self._penalty(entry, 1.0, now_s),
            )
            for entry in entries
        ]
        chosen = service_choice.choose(candidates, self._rng)
        return plans.Plan(
            entry=chosen.entry,
            helpers=(),
            work=(),
            helper_memory_tokens=0,
            priority=None,
            first_event_ms=target.route.objective_ms,
            cost=chosen.cost,
            candidate_count=len(entries),
        )

    def _plan_engines(
        self,
        target: plans.RequestTarget,
        engine: configurations.EnginePerformanceModel,
        entries: list[runner_entries.RunnerEntry],
        tried: set[ids.RunnerId],
        only_runner: ids.RunnerId | None,
    ) -> _CostedPlan | None:
        now_s = self._clock()
        route, prompt_tokens = target.route.name, target.caller_headers.prompt_tokens
        objective_ms = target.route.objective_ms or DEFAULT_OBJECTIVE_MS
        if not tried:
            self._worth.record(engine, route, objective_ms, prompt_tokens)
        worth = self._worth.estimate(engine, route, prompt_tokens)
        elapsed_ms = (now_s - target.begun_s) * 1_000
        demand = engine_costs.RequestNeeds(
            prompt_tokens=target.caller_headers.prompt_tokens,
            answer_tokens=target.caller_headers.answer_tokens,
            objective_left_ms=max(objective_ms - elapsed_ms, OBJECTIVE_MIN_MS),
            pause_limit_ms=target.route.pause_objective_ms or objective_ms,
            loss=worth * LATE_WORTH_SHARE,
        )
        work_group = self._peers.work_group()
        self._owners.update(work_group, self._peers.maybe_partitioned(now_s))
        group_id = min(work_group)
        candidates = [
            engine_costs.Candidate(
                entry,
                self._engine_work.load(entry.runner_id),
                self._penalty(entry, worth, now_s) + self._peer_owned_cost(entry),
                self._group_preference(group_id, entry.runner_id),
                self._work_updates.slowdown(entry.runner_id),
                only_runner in (None, entry.runner_id),
                self._health.may_help(entry.runner_id, now_s),
            )
            for entry in entries
        ]
        # The request itself is left out: its retry is not a further arrival.
        arrivals = self._engine_work.arrivals(now_s, target.caller_headers.attempt_id)
        choice = engine_choice.choose(
            engine, demand, candidates, arrivals, now_s, self._rng
        )
        if choice is None:
            return None
        lost_worth = (
            choice.lost_worth
            + request_worth.WORTH_PER_PREFILL_MS * choice.weighted_prefill_ms
        )
        plan = plans.Plan(
            entry=choice.entries[0],
            helpers=choice.entries[1:],
            work=choice.work,
            helper_memory_tokens=choice.helper_memory_tokens,
            priority=_priority(target, objective_ms),
            first_event_ms=choice.first_event_ms,
            cost=choice.lost_worth,
            candidate_count=len(entries),
        )
        is_large = (
            engine_times.prefill_ms(engine, prompt_tokens, 1) > REFUSE_PREFILL_MIN_MS
        )
        return _CostedPlan(plan, lost_worth, worth, is_large)


def _priority(target: plans.RequestTarget, objective_ms: float) -> int:
    """Return the priority for the engine; 0 is the most urgent."""
    rank = target.route.priority
    if target.customer is not None and target.customer.priority is not None:
        rank = target.customer.priority
    objective_rank = 2
    if objective_ms <= URGENT_OBJECTIVE_MS:
        objective_rank = 0
    elif objective_ms <= MIDDLE_OBJECTIVE_MS:
        objective_rank = 1
    return min(rank * PRIORITY_STEP + objective_rank, PRIORITY_MAX)
