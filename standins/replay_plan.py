"""What is replayed, and what becomes of each request."""

import dataclasses
from collections.abc import Callable

from lacewingdrum_coordination import decisions, prefixes
from standins import replay_policies, traces


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One run: what is replayed, how fast, and against what.

    All daemons are replaced by new ones that know nothing each
    ``restart_every_s``; 0 is never.
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
    """What became of one request; times are absolute."""

    row: traces.Row
    arrived_s: float
    deadline_s: float
    refusal: str = ""
    first_token_s: float | None = None
    finished_s: float | None = None
    expected_complete_s: float = 0.0
    runner_id: str = ""
