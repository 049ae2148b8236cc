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
    service_choice,
    service_room,
)
from lacewingdrum_gateway.peers import peer_table
from lacewingdrum_gateway.runners import runner_candidates, work_sync
from lacewingdrum_gateway.serving import engine_priority, plans
from lacewingdrum_state import configurations, ids, runner_entries

# The share of a request's worth that is lost if its first event is late.
LATE_LOSS_SHARE = 0.75
# The least time until the objective that attempts are planned with.
OBJECTIVE_LEFT_MIN_MS = 20.0
# A request is refused if it costs other requests more than this multiple of
# its own worth.
REFUSE_LOST_WORTH_RATIO = 1.4
# It gives way to arrivals of a more urgent rank from this multiple on.
YIELD_LOST_WORTH_RATIO = 0.25
# Prompts with a shorter prefill interfere too little to be refused.
REFUSE_PREFILL_MIN_MS = 500.0
# Cost in units of worth that is added to an engine if it is assigned to a
# silent daemon, because that daemon may be partitioned and still send work to
# the engine.
PEER_OWNED_COST = 0.4
HASH_RANGE = 1 << 64
CACHED_FILL_ORDERS_MAX = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class _CostedPlan:
    """A plan for engines with its total cost and the worth of the request.

    ``total_cost`` decides whether the request is refused. It is the expected
    lost worth plus a cost for prefill time on busy engines.
    """

    plan: plans.Plan
    total_cost: float
    worth: float
    is_too_costly: bool


class Planner:
    """Plans attempts from the known state of runners and their work."""

    def __init__(
        self,
        candidates: runner_candidates.RunnerCandidates,
        engine_work: engine_work_registry.EngineWorkRegistry,
        work_updates: work_sync.WorkSync,
        clock: Callable[[], float],
        rng: random.Random,
        peers: peer_table.PeerTable,
        measures_room: bool = False,
    ) -> None:
        self._measures_room = measures_room
        self._peers = peers
        self._owners = engine_owners.EngineOwners()
        self._work_updates = work_updates
        self.candidates = candidates
        self._engine_work = engine_work
        self._clock = clock
        self._rng = rng
        self._worth = request_worth.RequestWorth()
        self.in_flight: dict[ids.RunnerId, int] = {}
        self._fill_orders_group = ids.VmId("")
        self._fill_orders: dict[ids.RunnerId, float] = {}

    def stated_pass_ms(self, routed: plans.RoutedRequest, plan: plans.Plan) -> float:
        """Return the stated duration of a decode pass without prefill."""
        engine = routed.service.engine
        if engine is None:
            return float("inf")
        load = self._engine_work.load(plan.entry.runner_id)
        return engine_times.decode_pass_ms(engine, load.writers, load.context_tokens)

    def expected_pause_ms(self, routed: plans.RoutedRequest, plan: plans.Plan) -> float:
        """Return the pause between events that an engine's work explains."""
        runner_id = plan.entry.runner_id
        unread = self._engine_work.load(runner_id).unread.values()
        prefill_ms = sum(entry.work.read_ms for entry in unread)
        pass_ms = self.stated_pass_ms(routed, plan) + prefill_ms
        return pass_ms * self._work_updates.slowdown(runner_id)

    def prefill_backlog_s(self, plan: plans.Plan) -> float:
        """Return the prefill backlog of the decoding engine of a plan."""
        load = self._engine_work.load(plan.entry.runner_id)
        return load.backlog_ms(self._clock()) / 1_000

    def plan(
        self,
        routed: plans.RoutedRequest,
        excluded: set[ids.RunnerId],
        only_runner: ids.RunnerId | None = None,
        may_refuse: bool = True,
        over_share: str = "",
        is_known: bool = False,
    ) -> plans.Plan | plans.TooCostly | None:
        """Plan the next attempt of a request.

        Args:
            routed: the request.
            excluded: runners that must not be used after earlier attempts.
            only_runner: the only runner that the request may be sent to, or
                None if there is no such restriction.
            may_refuse: whether the request has not run and may be refused.
            over_share: its customer, if that is over its share, else empty.
            is_known: whether it has been planned before.

        Returns:
            The plan, ``TooCostly`` if other requests would lose too much
            worth, or None if no runner can serve the request.
        """
        entries = self.candidates.of_service(routed.service.name, excluded)
        if not entries:
            return None
        engine = routed.service.engine
        if engine is None or not routed.caller_headers.prompt_tokens:
            return self._plan_service(routed, entries, only_runner)
        if not excluded and not is_known:
            self._record_worth(routed, engine)
        planned = self._plan_engines(routed, engine, entries, only_runner, over_share)
        if planned is None:
            return None
        if may_refuse and planned.is_too_costly:
            return plans.TooCostly(
                planned.total_cost,
                planned.worth,
                planned.plan.first_event_ms,
                planned.plan,
            )
        return planned.plan

    def _fill_order(self, group_id: ids.VmId, runner_id: ids.RunnerId) -> float:
        """Return the place of an engine, 0 to 1, in a work group's fill order.

        Groups that do not exchange work reports use different orders, so that
        they fill different engines first.
        """
        if (
            group_id != self._fill_orders_group
            or len(self._fill_orders) > CACHED_FILL_ORDERS_MAX
        ):
            self._fill_orders_group = group_id
            self._fill_orders.clear()
        fill_order = self._fill_orders.get(runner_id)
        if fill_order is None:
            fill_order = (
                coordinators.stable_hash(f"{group_id}\x1f{runner_id}") / HASH_RANGE
            )
            self._fill_orders[runner_id] = fill_order
        return fill_order

    def _peer_owned_cost(self, entry: runner_entries.RunnerEntry) -> float:
        return (
            PEER_OWNED_COST
            if self._owners.is_owned_by_silent_peer(entry.runner_id)
            else 0.0
        )

    def _plan_service(
        self,
        routed: plans.RoutedRequest,
        entries: list[runner_entries.RunnerEntry],
        only_runner: ids.RunnerId | None,
    ) -> plans.Plan | None:
        now_s = self._clock()
        candidates = [
            service_choice.Candidate(
                entry,
                self.in_flight.get(entry.runner_id, 0),
                self.candidates.penalty(entry, 1.0, now_s),
            )
            for entry in entries
            if only_runner in (None, entry.runner_id)
        ]
        if not candidates:
            return None
        chosen = service_choice.choose(candidates, self._rng)
        return plans.Plan(
            entry=chosen.entry,
            helpers=(),
            work=(),
            helper_memory_tokens=0,
            priority=None,
            first_event_ms=routed.route.objective_ms,
            cost=chosen.cost,
            candidate_count=len(entries),
            cold_left_ms=self.candidates.cold_left_ms(chosen.entry),
            evacuated_count=self.candidates.evacuated_count(routed.service.name),
        )

    def _plan_engines(
        self,
        routed: plans.RoutedRequest,
        engine: configurations.EnginePerformanceModel,
        entries: list[runner_entries.RunnerEntry],
        only_runner: ids.RunnerId | None,
        over_share: str,
    ) -> _CostedPlan | None:
        now_s = self._clock()
        route, prompt_tokens = routed.route.name, routed.caller_headers.prompt_tokens
        objective_ms = routed.objective_ms
        worth = self._worth.estimate(engine, route, prompt_tokens)
        elapsed_ms = (now_s - routed.received_s) * 1_000
        demand = engine_costs.RequestNeeds(
            prompt_tokens=routed.caller_headers.prompt_tokens,
            answer_tokens=routed.caller_headers.answer_tokens,
            objective_left_ms=max(objective_ms - elapsed_ms, OBJECTIVE_LEFT_MIN_MS),
            pause_limit_ms=routed.route.pause_objective_ms or objective_ms,
            loss=worth * LATE_LOSS_SHARE,
        )
        work_group = self._peers.work_group()
        self._owners.update(work_group, self._peers.maybe_partitioned(now_s))
        if self.candidates.uses_all_engines:
            group_id = min(address for address, _ in self._peers.senders())
        else:
            group_id = min(work_group)
        candidates = [
            engine_costs.Candidate(
                entry,
                self._engine_work.load(entry.runner_id),
                self.candidates.penalty(entry, worth, now_s)
                + self._peer_owned_cost(entry),
                self._fill_order(group_id, entry.runner_id),
                max(
                    self._work_updates.slowdown(entry.runner_id),
                    self.candidates.slowdown(entry, now_s),
                ),
                only_runner in (None, entry.runner_id),
                self.candidates.may_help(entry, now_s),
            )
            for entry in entries
        ]
        # The request itself is left out: its retry is not a further arrival.
        arrivals = self._engine_work.arrivals(now_s, routed.caller_headers.attempt_id)
        choice = engine_choice.choose(
            engine, demand, candidates, arrivals, now_s, self._rng
        )
        if choice is None:
            return None
        total_cost = (
            choice.lost_worth
            + request_worth.WORTH_PER_PREFILL_MS * choice.weighted_prefill_ms
        )
        prefill_ms = engine_times.prefill_ms(engine, prompt_tokens, 1)
        is_large = prefill_ms > REFUSE_PREFILL_MIN_MS
        is_too_costly = is_large and total_cost > REFUSE_LOST_WORTH_RATIO * worth
        costs_urgent = is_large and total_cost > YIELD_LOST_WORTH_RATIO * worth
        costs_urgent = costs_urgent and bool(
            service_room.more_urgent(arrivals, routed.rank, "")
        )
        is_late = choice.first_event_ms > demand.objective_left_ms
        plan = plans.Plan(
            entry=choice.entries[0],
            helpers=choice.entries[1:],
            work=choice.work,
            helper_memory_tokens=choice.helper_memory_tokens,
            priority=engine_priority.of_request(routed),
            first_event_ms=choice.first_event_ms,
            cost=choice.lost_worth,
            candidate_count=len(entries),
            cold_left_ms=self.candidates.cold_left_ms(choice.entries[0]),
            evacuated_count=self.candidates.evacuated_count(routed.service.name),
            prefill_ms=prefill_ms,
            costs_urgent=costs_urgent,
            room=self._room(
                routed,
                engine,
                candidates,
                choice,
                arrivals,
                over_share,
                is_late or is_too_costly,
            ),
        )
        return _CostedPlan(plan, total_cost, worth, is_too_costly)

    def _record_worth(
        self,
        routed: plans.RoutedRequest,
        engine: configurations.EnginePerformanceModel,
    ) -> None:
        self._worth.record(
            engine,
            routed.route.name,
            routed.objective_ms,
            routed.caller_headers.prompt_tokens,
        )

    def _room(
        self,
        routed: plans.RoutedRequest,
        engine: configurations.EnginePerformanceModel,
        candidates: list[engine_costs.Candidate],
        choice: engine_choice.Choice,
        arrivals: list[engine_work_registry.Arrival],
        over_share: str,
        is_needed: bool,
    ) -> service_room.Room | None:
        """Return the room beside a choice, if any request may lack some."""
        if not self._measures_room:
            return None
        urgent = service_room.more_urgent(arrivals, routed.rank, over_share)
        if urgent:
            known = {item.entry.runner_id for item in candidates}
            urgent = [item for item in urgent if item.runner_id in known]
        if not urgent and not is_needed:
            return None
        planned = {part.runner_id for part in choice.work}
        return service_room.measure(
            engine, candidates, planned, urgent, routed.rank, self._clock()
        )
