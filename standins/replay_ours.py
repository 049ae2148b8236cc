"""The product's own policy, as a replayed daemon runs it."""

import random

from lacewingdrum_coordination import admission, routing
from lacewingdrum_state import documents, fleet, ids, requests
from standins import replay_policies


class Ours:
    """Router and admission of one daemon."""

    def __init__(
        self,
        runners: tuple[fleet.Runner, ...],
        data_centre: ids.DataCentre,
        rng: random.Random,
        weights: documents.Weights,
        policy: routing.Policy,
    ) -> None:
        self._rng = rng
        self._weights = weights
        self._router = routing.Router(data_centre, rng, policy)
        self._router.set_runners(runners)

    def observe(self, load: fleet.RunnerLoad) -> None:
        """Take in a load report."""
        self._router.observe_load(load)

    def sent(self, request: requests.Request, in_flight: requests.InFlight) -> None:
        """Note an attempt that this daemon sent."""
        self._router.sent(request, in_flight)

    def ended(self, in_flight: requests.InFlight, now_s: float) -> None:
        """Note an attempt's end."""
        self._router.ended(in_flight.attempt_id, now_s)

    def choose(self, request: requests.Request, now_s: float) -> replay_policies.Choice:
        """Returns: the runner or group for a request, or the refusal."""
        decision = self._router.choose(request, self._weights, now_s, frozenset())
        pressure = admission.Pressure()
        answer = admission.decide(request, decision, pressure, now_s, self._rng)
        match answer:
            case admission.Refused(reason=reason):
                return replay_policies.Choice(None, refusal=reason.value)
            case admission.Admitted():
                return self._sendable(request, decision)

    def _sendable(
        self, request: requests.Request, decision: routing.Decision
    ) -> replay_policies.Choice:
        assert decision.runner is not None
        runner_id = decision.runner.runner_id
        complete_s = next(
            estimate.complete_s
            for estimate in decision.estimates
            if estimate.runner_id == runner_id
        )
        group = self._router.group_parts(request, decision)
        return replay_policies.Choice(
            runner_id, group, decision.priority, "", complete_s
        )
