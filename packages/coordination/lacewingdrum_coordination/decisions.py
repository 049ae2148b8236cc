"""Data types of routing decisions."""

import dataclasses
import enum

from lacewingdrum_coordination import estimates
from lacewingdrum_state import fleet

Estimate = estimates.Estimate


class Reason(enum.Enum):
    """Reason for the result of a routing decision.

    ``NO_MEMORY`` may no longer hold once other requests end; ``TOO_LARGE``
    always holds for the present runners.
    """

    NEAR_BEST = "near_best"
    CACHED_PREFIX = "cached_prefix"
    ONLY_CANDIDATE = "only_candidate"
    GROUP = "group"
    NO_RUNNER = "no_runner"
    NO_MEMORY = "no_memory"
    TOO_LARGE = "too_large"


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Constants of the routing decision.

    ``without_long_ratio`` is the number of runners that take no long prompts, as
    a multiple of the runners that short prompts keep busy.
    ``mid_prompt_penalty_s`` is added to the score of such a runner for a mid
    prompt. Both are multiplied by twice the service document's
    ``short_slowdown`` weight.
    """

    near_best_ratio: float = 1.05
    near_best_s: float = 0.02
    remote_link_delay_s: float = 0.005
    remote_cost_s: float = 0.005
    without_long_ratio: float = 2.0
    headroom_tokens: int = 40_000
    mid_prompt_penalty_s: float = 1.0
    patience_margin_ratio: float = 0.05


DEFAULT_POLICY = Policy()


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The runner chosen for a request, and the estimates considered.

    ``group`` holds the other runners that a prompt larger than one engine's
    memory needs, in the order of their ids. ``group_tokens`` holds the number
    of tokens for each of them.
    """

    runner: fleet.Runner | None
    group: tuple[fleet.Runner, ...]
    priority: int
    reason: Reason
    estimates: tuple[Estimate, ...]
    group_tokens: tuple[int, ...] = ()
    cached_tokens: int = 0

    @property
    def estimate(self) -> Estimate | None:
        """The estimate of the chosen runner, or None."""
        if self.runner is None:
            return None
        for each in self.estimates:
            if each.runner_id == self.runner.runner_id:
                return each
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Supply:
    """Prefill rate and backlog of a service's runners."""

    rate_tokens_per_s: float
    backlog_s: float
