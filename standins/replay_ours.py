"""The product's own dispatch policy, as a daemon of a replay runs it."""

import random

from lacewingdrum_coordination import admission, overload, prefixes, routing
from lacewingdrum_state import documents, fleet, ids, requests
from standins import replay_policies


class Ours:
    """The router, overload control and admission of one daemon."""

    def __init__(
        self,
        runners: tuple[fleet.Runner, ...],
        data_centre: ids.DataCentre,
        rng: random.Random,
        weights: documents.Weights,
        policy: routing.Policy,
        daemon_count: int,
        shares: dict[ids.CustomerId, float],
        prefix_index: prefixes.PrefixIndex | None = None,
    ) -> None:
        self._rng = rng
        self._weights = weights
        self._router = routing.Router(data_centre, rng, policy, prefix_index)
        self._router.set_runners(runners)
        self._overload = overload.OverloadControl()
        self._daemon_count = daemon_count
        self._shares = shares

    def observe(self, load: fleet.RunnerLoad) -> None:
        """Apply a load report."""
        self._router.observe_load(load)

    def observe_cache(
        self, runner_id: ids.RunnerId, changes: tuple[prefixes.BlockChange, ...]
    ) -> None:
        """Apply cache events."""
        self._router.observe_cache(runner_id, changes)

    def sent(
        self, request: requests.Request, in_flight: requests.InFlightAttempt
    ) -> None:
        """Record an attempt that this daemon sent."""
        self._router.sent(request, in_flight)

    def ended(self, in_flight: requests.InFlightAttempt, now_s: float) -> None:
        """Record the end of an attempt."""
        self._router.ended(in_flight.attempt_id, now_s)

    def choose(
        self,
        request: requests.Request,
        now_s: float,
        refusing: frozenset[ids.RunnerId],
    ) -> replay_policies.Choice:
        """Return the runner or group for a request, or the refusal."""
        supply = self._router.supply(request.service)
        share = self._shares[request.customer]
        overload_result = self._overload.evaluate(
            request, share, supply, self._daemon_count, now_s
        )
        decision = self._router.choose(request, self._weights, now_s, refusing)
        pressure = admission.Pressure(
            shed=overload_result.shed, drain_s=overload_result.drain_s
        )
        answer = admission.decide(request, decision, pressure, now_s, self._rng)
        match answer:
            case admission.Refused(reason=reason):
                return replay_policies.Choice(None, refusal=reason.value)
            case admission.Admitted():
                return _choice_of(decision)


def _choice_of(decision: routing.Decision) -> replay_policies.Choice:
    assert decision.runner is not None and decision.estimate is not None
    members = (runner.runner_id for runner in decision.group)
    return replay_policies.Choice(
        decision.runner.runner_id,
        tuple(zip(members, decision.group_tokens, strict=True)),
        decision.priority,
        "",
        decision.estimate.complete_s,
    )
