"""Creates the daemons of a replay with the policy of its plan."""

import random

from lacewingdrum_state import documents, fleet, ids
from standins import replay_ours, replay_plan, replay_policies, traces

Dispatcher = replay_policies.Baseline | replay_ours.Ours


def make_dispatcher(
    plan: replay_plan.Plan,
    runners: tuple[fleet.Runner, ...],
    in_flight: replay_policies.InFlightCounts,
    number: int,
    data_centre: ids.DataCentre,
) -> Dispatcher:
    """Create the dispatcher of one daemon.

    Args:
        plan: The plan of the replay.
        runners: All runners of the fleet.
        in_flight: The attempts in flight of all daemons.
        number: The daemon's number, which seeds its random choices.
        data_centre: The daemon's data centre.

    Returns:
        A dispatcher that has received no load report yet.
    """
    rng = random.Random(plan.seed * 1_000 + number)
    delay_s = plan.trace.header.link_delay_s
    match plan.policy:
        case replay_policies.PolicyName.ROUND_ROBIN:
            return replay_policies.RoundRobin(runners, rng, delay_s)
        case replay_policies.PolicyName.FEWEST:
            return replay_policies.FewestInFlight(runners, rng, delay_s, in_flight)
        case replay_policies.PolicyName.SHORTEST:
            return replay_policies.ShortestWait(runners, rng, delay_s)
        case replay_policies.PolicyName.OURS:
            return _ours(plan, runners, rng, data_centre)


def _ours(
    plan: replay_plan.Plan,
    runners: tuple[fleet.Runner, ...],
    rng: random.Random,
    data_centre: ids.DataCentre,
) -> replay_ours.Ours:
    header: traces.Header = plan.trace.header
    weights = documents.Weights(
        header.weight_time_to_first_token, header.weight_short_slowdown
    )
    shares = {
        ids.CustomerId(f"c{number}"): share
        for number, share in enumerate(header.shares)
    }
    return replay_ours.Ours(
        runners,
        data_centre,
        rng,
        weights,
        plan.decision_policy,
        header.daemon_count,
        shares,
        plan.make_index(),
    )
