"""The routing decision: which runner gets a request.

The estimate of a runner's time to first token counts only the work that runs
before this request at its own priority. Among the runners near the best one
is picked at random, because several daemons decide on the same late reports.
"""

import dataclasses
import enum
import random
from collections.abc import Iterable

from lacewingdrum_coordination import priorities, runner_estimates
from lacewingdrum_state import documents, fleet, ids, requests, states


class Reason(enum.Enum):
    """Why a decision came out as it did."""

    NEAR_BEST = "near_best"
    ONLY_CANDIDATE = "only_candidate"
    GROUP = "group"
    NO_RUNNER = "no_runner"
    NO_MEMORY = "no_memory"


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Constants of the decision."""

    near_best_ratio: float = 1.05
    near_best_s: float = 0.02
    remote_link_delay_s: float = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """What a runner is thought to need for a request."""

    runner_id: ids.RunnerId
    first_token_s: float
    complete_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The runner picked for a request, and what it was picked from.

    ``group`` holds the further runners whose memory a prompt above one
    engine's memory needs, in the order of their ids.
    """

    runner: fleet.Runner | None
    group: tuple[fleet.Runner, ...]
    priority: int
    reason: Reason
    estimates: tuple[Estimate, ...]


class Router:
    """Decides on the runners that one daemon knows."""

    def __init__(
        self,
        data_centre: ids.DataCentre,
        rng: random.Random,
        policy: Policy = Policy(),
    ):
        """Start without runners.

        Args:
            data_centre: where this daemon is.
            rng: for the choice among near-best runners.
            policy: the constants.
        """
        self._data_centre = data_centre
        self._rng = rng
        self._policy = policy
        self._estimates: dict[ids.RunnerId, runner_estimates.RunnerEstimate] = {}
        self._by_service: dict[
            ids.ServiceName, list[runner_estimates.RunnerEstimate]
        ] = {}
        self._runner_of: dict[ids.AttemptId, ids.RunnerId] = {}

    def set_runners(self, runners: Iterable[fleet.Runner]) -> None:
        """Take over the fleet as the membership view has it.

        Args:
            runners: all runners; those that leave get no new work.
        """
        estimates: dict[ids.RunnerId, runner_estimates.RunnerEstimate] = {}
        by_service: dict[ids.ServiceName, list[runner_estimates.RunnerEstimate]] = {}
        for runner in runners:
            known = self._estimates.get(runner.runner_id)
            if known is None or known.runner.incarnation != runner.incarnation:
                known = runner_estimates.RunnerEstimate(
                    runner, self._link_delay_s(runner), 0.0
                )
            known.runner = runner
            estimates[runner.runner_id] = known
            if runner.state is states.MemberState.LIVE:
                by_service.setdefault(runner.service, []).append(known)
        self._estimates = estimates
        self._by_service = by_service

    def observe_load(self, load: fleet.RunnerLoad) -> None:
        """Take in a runner's report, from itself or from its home."""
        known = self._estimates.get(load.runner_id)
        if known is not None:
            known.observe(load)

    def sent(self, request: requests.Request, in_flight: requests.InFlight) -> None:
        """Count an attempt that was sent to a runner."""
        known = self._estimates.get(in_flight.runner_id)
        if known is None:
            return
        priority = priorities.of_prompt(request.prompt_tokens)
        known.sent(in_flight, priority, in_flight.prompt_tokens)
        self._runner_of[in_flight.attempt_id] = in_flight.runner_id

    def ended(self, attempt_id: ids.AttemptId, now_s: float) -> None:
        """Forget an attempt that was answered, refused or cancelled."""
        runner_id = self._runner_of.pop(attempt_id, None)
        if runner_id is None:
            return
        known = self._estimates.get(runner_id)
        if known is not None:
            known.ended(attempt_id)

    def choose(
        self,
        request: requests.Request,
        weights: documents.Weights,
        now_s: float,
        excluded: frozenset[ids.RunnerId] = frozenset(),
    ) -> Decision:
        """Pick a runner, or a group of them, for a request.

        Args:
            request: the request.
            weights: the service's weights of the measures.
            now_s: the present.
            excluded: runners that must not get it.

        Returns:
            The choice; without a runner where none can take it.
        """
        priority = priorities.of_prompt(request.prompt_tokens)
        live = [
            known
            for known in self._by_service.get(request.service, ())
            if known.runner.runner_id not in excluded
        ]
        if not live:
            return Decision(None, (), priority, Reason.NO_RUNNER, ())
        fitting = [
            known for known in live if known.kv_capacity_tokens >= request.total_tokens
        ]
        if not fitting:
            return self._choose_group(request, priority, now_s, live)
        return self._choose_one(request, priority, now_s, fitting)

    def group_parts(
        self, request: requests.Request, decision: Decision
    ) -> tuple[tuple[ids.RunnerId, int], ...]:
        """Share out a prompt's memory over a decision's group.

        Args:
            request: the request.
            decision: the decision on it.

        Returns:
            Tokens that each further runner has to hold, in order of ids;
            the lead holds the rest.
        """
        if decision.runner is None or not decision.group:
            return ()
        lead = self._estimates[decision.runner.runner_id]
        needed = request.total_tokens - lead.free_tokens()
        parts = []
        for runner in decision.group:
            part = min(needed, self._estimates[runner.runner_id].free_tokens())
            if part > 0:
                parts.append((runner.runner_id, part))
                needed -= part
        return tuple(parts)

    def _choose_one(
        self,
        request: requests.Request,
        priority: int,
        now_s: float,
        fitting: list[runner_estimates.RunnerEstimate],
    ) -> Decision:
        free = [
            known for known in fitting if known.free_tokens() >= request.total_tokens
        ]
        candidates = free or fitting
        estimates = tuple(
            self._estimate(known, request, priority, now_s) for known in candidates
        )
        best_s = min(estimate.first_token_s for estimate in estimates)
        bound_s = best_s * self._policy.near_best_ratio + self._policy.near_best_s
        near = [
            known
            for known, estimate in zip(candidates, estimates, strict=True)
            if estimate.first_token_s <= bound_s
        ]
        chosen = self._rng.choice(near)
        reason = Reason.ONLY_CANDIDATE if len(candidates) == 1 else Reason.NEAR_BEST
        return Decision(chosen.runner, (), priority, reason, estimates)

    def _choose_group(
        self,
        request: requests.Request,
        priority: int,
        now_s: float,
        live: list[runner_estimates.RunnerEstimate],
    ) -> Decision:
        """Take the emptiest engines until their memory holds the prompt."""
        by_free = sorted(
            live, key=lambda known: (-known.free_tokens(), known.runner.runner_id)
        )
        members: list[runner_estimates.RunnerEstimate] = []
        free_tokens = 0
        for known in by_free:
            members.append(known)
            free_tokens += max(0, known.free_tokens())
            if free_tokens >= request.total_tokens:
                break
        if free_tokens < request.total_tokens:
            return Decision(None, (), priority, Reason.NO_MEMORY, ())
        lead = min(members, key=lambda known: known.ahead_tokens(priority, now_s))
        rest = sorted(
            (known.runner for known in members if known is not lead),
            key=lambda runner: runner.runner_id,
        )
        estimate = self._estimate(lead, request, priority, now_s)
        return Decision(lead.runner, tuple(rest), priority, Reason.GROUP, (estimate,))

    def _estimate(
        self,
        known: runner_estimates.RunnerEstimate,
        request: requests.Request,
        priority: int,
        now_s: float,
    ) -> Estimate:
        work_tokens = known.ahead_tokens(priority, now_s) + request.prompt_tokens
        first_token_s = (
            work_tokens / known.prefill_tokens_per_s + 2 * known.link_delay_s
        )
        decode_s = request.max_tokens / known.decode_tokens_per_s
        return Estimate(known.runner.runner_id, first_token_s, first_token_s + decode_s)

    def _link_delay_s(self, runner: fleet.Runner) -> float:
        if runner.data_centre == self._data_centre:
            return 0.0
        return self._policy.remote_link_delay_s
