"""Data classes of a replay: its plan and the outcome of each request."""

import dataclasses
from collections.abc import Callable

from lacewingdrum_coordination import decisions, prefixes
from standins import replay_policies, traces


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The trace, the load and the policy of one replay.

    Every ``restart_every_s``, all daemons are replaced by new ones without
    any state; 0 means never.
    """

    trace: traces.Trace
    load: float
    policy: replay_policies.PolicyName
    without_long: bool = False
    seed: int = 7
    decision_policy: decisions.Policy = decisions.DEFAULT_POLICY
    make_index: Callable[[], prefixes.PrefixIndex] = prefixes.PrefixIndex
    restart_every_s: float = 0.0


@dataclasses.dataclass(slots=True)
class RequestOutcome:
    """The outcome of one request; times are absolute."""

    row: traces.Row
    arrived_s: float
    deadline_s: float
    refusal: str = ""
    first_token_s: float | None = None
    finished_s: float | None = None
    expected_complete_s: float = 0.0
    runner_id: str = ""
