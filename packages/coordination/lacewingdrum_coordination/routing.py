"""Routing decision: chooses the runner that serves a request.

The estimated time to first token on a runner counts only work at the
request's own priority or a higher one. One of the near-best runners is chosen
at random, because several daemons decide on the basis of the same delayed
load reports. Long prompts are not sent to some of the runners; the number of
these runners follows the demand of short prompts.

The daemon ``lacewingdrumd`` uses this module; the gateway uses
``engine_choice``.
"""

import random
from collections.abc import Iterable, Sequence

from lacewingdrum_coordination import (
    decisions,
    estimates,
    groups,
    outliers,
    pools,
    prefixes,
    priorities,
    request_priorities,
    runner_projections,
    selection,
)
from lacewingdrum_state import documents, fleet, ids, requests, states

Reason = decisions.Reason
Policy = decisions.Policy
Estimate = estimates.Estimate
Decision = decisions.Decision
Supply = decisions.Supply
MAX_PENDING_CHOICES = 1_000


_Projection = runner_projections.RunnerProjection


class Router:
    """Chooses among the runners that one daemon knows."""

    def __init__(
        self,
        data_centre: ids.DataCentre,
        rng: random.Random,
        policy: Policy = decisions.DEFAULT_POLICY,
        prefix_index: prefixes.PrefixIndex | None = None,
    ):
        """Create a router without runners.

        Args:
            data_centre: this daemon's data centre.
            rng: random source for the choice among near-best runners.
            policy: constants of the decision.
            prefix_index: an empty index to use instead of a new
                ``PrefixIndex``.
        """
        self._data_centre = data_centre
        self._rng = rng
        self._policy = policy
        self._projections: dict[ids.RunnerId, _Projection] = {}
        self._pools: dict[ids.ServiceName, pools.RunnerPool] = {}
        self._ejections: dict[ids.ServiceName, outliers.Ejections] = {}
        self._prefixes = prefix_index or prefixes.PrefixIndex()
        self._pending_choices: dict[ids.RequestId, tuple[int, prefixes.Hits]] = {}
        self._runner_of_attempt: dict[ids.AttemptId, ids.RunnerId] = {}

    def set_runners(self, runners: Iterable[fleet.Runner]) -> None:
        """Replace the known runners by those of the membership view.

        Args:
            runners: all runners; only live ones get new requests.
        """
        projections: dict[ids.RunnerId, _Projection] = {}
        by_service: dict[ids.ServiceName, list[_Projection]] = {}
        for runner in runners:
            projection = self._projections.get(runner.runner_id)
            if (
                projection is None
                or projection.runner.incarnation != runner.incarnation
            ):
                self._prefixes.forget(runner.runner_id)
                projection = _Projection(runner, self._link_delay_s(runner), 0.0)
            projection.runner = runner
            projections[runner.runner_id] = projection
            if runner.state is states.MemberState.LIVE:
                by_service.setdefault(runner.service, []).append(projection)
        for runner_id in self._projections.keys() - projections.keys():
            self._prefixes.forget(runner_id)
        self._projections = projections
        for service in self._pools.keys() | by_service.keys():
            self._set_pool(service, by_service.get(service, []))

    def _set_pool(self, service: ids.ServiceName, members: list[_Projection]) -> None:
        self._pools.setdefault(service, pools.RunnerPool()).set_runners(members)
        ejections = self._ejections.setdefault(service, outliers.Ejections())
        ejections.set_runners(
            tuple(projection.runner.runner_id for projection in members)
        )

    def observe_load(self, load: fleet.RunnerLoad) -> None:
        """Apply a load report sent by a runner or its coordinator."""
        projection = self._projections.get(load.runner_id)
        if projection is None:
            return
        projection.observe(load)
        service = projection.runner.service
        if service in self._pools:
            self._pools[service].observe_load(load)

    def observe_cache(
        self, runner_id: ids.RunnerId, changes: Sequence[prefixes.BlockChange]
    ) -> None:
        """Apply the cache events of a runner."""
        if runner_id in self._projections:
            self._prefixes.observe(runner_id, changes)

    def observe_peer_attempts(
        self, in_flight: Iterable[requests.InFlightAttempt]
    ) -> None:
        """Count attempts that peers sent and reported to the coordinator."""
        for entry in in_flight:
            projection = self._projections.get(entry.runner_id)
            if projection is not None:
                priority = priorities.of_prompt(entry.prompt_tokens)
                projection.sent(entry, priority, entry.prompt_tokens)

    def ejections(self, service: ids.ServiceName) -> outliers.Ejections:
        """Return the ejection state of a service.

        Callers report measured rates, failures and successes to it.
        """
        return self._ejections.setdefault(service, outliers.Ejections())

    def sent(
        self, request: requests.Request, in_flight: requests.InFlightAttempt
    ) -> None:
        """Count an attempt that this daemon sent to a runner."""
        default_priority = priorities.of_prompt(request.prompt_tokens)
        priority, cached = self._pending_choices.pop(
            request.request_id, (default_priority, prefixes.NO_HITS)
        )
        projection = self._projections.get(in_flight.runner_id)
        if projection is None:
            return
        work = in_flight.prompt_tokens - cached.tokens(in_flight.runner_id)
        projection.sent(in_flight, priority, max(1, work))
        self._runner_of_attempt[in_flight.attempt_id] = in_flight.runner_id
        self._prefixes.sent(in_flight.runner_id, request.block_hashes)
        pool = self._pools.get(request.service)
        if pool is not None:
            pool.demand.record_work(
                default_priority, work, request.worth, in_flight.sent_s
            )

    def ended(self, attempt_id: ids.AttemptId, now_s: float) -> None:
        """Remove an attempt that was answered, refused or cancelled."""
        runner_id = self._runner_of_attempt.pop(attempt_id, None)
        if runner_id is None:
            return
        projection = self._projections.get(runner_id)
        if projection is not None:
            projection.ended(attempt_id)

    def free_tokens(self, runner_id: ids.RunnerId) -> int:
        """Return a runner's free KV cache tokens, 0 if it is unknown."""
        projection = self._projections.get(runner_id)
        return 0 if projection is None else projection.free_tokens()

    def supply(self, service: ids.ServiceName) -> Supply:
        """Return the prefill rate and the backlog of a service's runners."""
        pool = self._pools.get(service)
        if pool is None:
            return Supply(0.0, 0.0)
        return Supply(pool.rate_tokens_per_s(), pool.backlog_s())

    def choose(
        self,
        request: requests.Request,
        weights: documents.Weights,
        now_s: float,
        excluded: frozenset[ids.RunnerId] = frozenset(),
    ) -> Decision:
        """Choose a runner, or a group of runners, for a request.

        Args:
            request: the request.
            weights: the weights in the service document.
            now_s: current time.
            excluded: runners that must not get the request.

        Returns:
            The decision; its runner is None if no runner can serve the
            request.
        """
        priority = priorities.of_prompt(request.prompt_tokens)
        pool = self._pools.get(request.service)
        if pool is None:
            return Decision(None, (), priority, Reason.NO_RUNNER, ())
        cached = self._prefixes.lookup(request.block_hashes)
        unavailable = excluded | self.ejections(request.service).ejected(now_s)
        without_long_count = 0
        if priority == priorities.LONG:
            without_long_count = self._without_long_count(pool, weights, now_s)
        considered = pool.candidates(
            self._rng, priority, without_long_count, unavailable, cached
        )
        if not considered:
            return Decision(None, (), priority, Reason.NO_RUNNER, ())
        if all(
            projection.kv_capacity_tokens < request.total_tokens
            for projection in considered
        ):
            if groups.capacity_tokens(considered) < request.total_tokens:
                # The considered runners are too small together. All available
                # runners are considered instead, including those that take no
                # long prompts.
                considered = [
                    projection
                    for projection in pool.runners
                    if projection.runner.runner_id not in unavailable
                ]
            return self._choose_group(request, pool, considered, now_s)
        headroom_tokens = self._policy.headroom_tokens
        candidates = selection.filter_candidates(
            considered, request, priority, headroom_tokens, now_s
        )
        return self._choose_one(request, weights, pool, candidates, cached, now_s)

    def _choose_one(
        self,
        request: requests.Request,
        weights: documents.Weights,
        pool: pools.RunnerPool,
        candidates: list[_Projection],
        cached: prefixes.Hits,
        now_s: float,
    ) -> Decision:
        usable_s = self._usable_s(request, now_s)
        work = request_priorities.make_work(request, pool, now_s)
        times_s = selection.candidate_times_s(candidates, work, cached, now_s)
        is_late = min(complete_s for _, complete_s in times_s) > usable_s
        if is_late and request_priorities.may_raise(request, pool, now_s):
            work = request_priorities.make_work(request, pool, now_s, priorities.MID)
            times_s = selection.candidate_times_s(candidates, work, cached, now_s)
        scores = self._scores(candidates, times_s, weights, work.priority, pool, now_s)
        position = selection.pick(times_s, scores, usable_s, self._policy, self._rng)
        chosen = candidates[position]
        hit_tokens = cached.tokens(chosen.runner.runner_id)
        reason = Reason.NEAR_BEST
        if len(candidates) == 1:
            reason = Reason.ONLY_CANDIDATE
        elif hit_tokens:
            reason = Reason.CACHED_PREFIX
        self._store_choice(request.request_id, work.priority, cached)
        estimates_to_log = selection.logged_estimates(
            candidates, times_s, scores, position
        )
        return Decision(
            chosen.runner, (), work.priority, reason, estimates_to_log, (), hit_tokens
        )

    def _usable_s(self, request: requests.Request, now_s: float) -> float:
        """Return the time until the deadline, less a margin."""
        left_s = request.deadline_s - now_s
        return left_s * (1 - self._policy.patience_margin_ratio)

    def _scores(
        self,
        candidates: list[_Projection],
        times_s: list[tuple[float, float]],
        weights: documents.Weights,
        priority: int,
        pool: pools.RunnerPool,
        now_s: float,
    ) -> list[float]:
        without_long_count, penalty_s = 0, 0.0
        if priority == priorities.MID:
            without_long_count = self._without_long_count(pool, weights, now_s)
            # The factor 2 makes the default weight of 0.5 leave it unchanged.
            penalty_s = self._policy.mid_prompt_penalty_s * 2 * weights.short_slowdown
        return selection.scores(
            candidates, times_s, self._policy, without_long_count, penalty_s
        )

    def _choose_group(
        self,
        request: requests.Request,
        pool: pools.RunnerPool,
        considered: list[_Projection],
        now_s: float,
    ) -> Decision:
        work = request_priorities.make_work(request, pool, now_s)
        if groups.capacity_tokens(considered) < request.total_tokens:
            return Decision(None, (), work.priority, Reason.TOO_LARGE, ())
        plan = groups.plan(considered, request.total_tokens, now_s)
        if plan is None:
            return Decision(None, (), work.priority, Reason.NO_MEMORY, ())
        times_s = estimates.token_times_s(plan.lead, work, 0, now_s)
        is_late = times_s[1] > self._usable_s(request, now_s)
        if is_late and request_priorities.may_raise(request, pool, now_s):
            work = request_priorities.make_work(request, pool, now_s, priorities.MID)
            times_s = estimates.token_times_s(plan.lead, work, 0, now_s)
        self._store_choice(request.request_id, work.priority, prefixes.NO_HITS)
        return Decision(
            plan.lead.runner,
            tuple(self._projections[part.runner_id].runner for part in plan.parts),
            work.priority,
            Reason.GROUP,
            (Estimate(plan.lead.runner.runner_id, *times_s),),
            tuple(part.tokens for part in plan.parts),
        )

    def _without_long_count(
        self, pool: pools.RunnerPool, weights: documents.Weights, now_s: float
    ) -> int:
        short = pool.utilisation(priorities.SHORT, now_s)
        # The factor 2 makes the default weight of 0.5 leave it unchanged.
        ratio = self._policy.without_long_ratio * 2 * weights.short_slowdown
        return pool.without_long_runner_count(ratio, short)

    def _store_choice(
        self,
        request_id: ids.RequestId,
        priority: int,
        cached: prefixes.Hits,
    ) -> None:
        """Store the priority and cache hits until the request is sent."""
        self._pending_choices[request_id] = (priority, cached)
        if len(self._pending_choices) > MAX_PENDING_CHOICES:
            del self._pending_choices[next(iter(self._pending_choices))]

    def _link_delay_s(self, runner: fleet.Runner) -> float:
        if runner.data_centre == self._data_centre:
            return 0.0
        return self._policy.remote_link_delay_s
