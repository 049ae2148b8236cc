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

    Attributes:
        near_best_ratio: with ``near_best_s``, bounds the scores that count as
            near-best: the best score times this ratio, plus ``near_best_s``.
        near_best_s: see ``near_best_ratio``.
        remote_link_delay_s: assumed one-way delay to a runner in another data
            centre. The estimated times include it twice.
        remote_cost_s: added to the score of a runner in another data centre,
            but not to its estimated times.
        without_long_ratio: the number of runners that take no long prompts,
            as a multiple of the runners that short prompts keep busy.
        headroom_tokens: memory that mid and long prompts leave free on a
            runner for short ones.
        mid_prompt_penalty_s: added to the score of a runner that takes no
            long prompts, if the request has a mid prompt.
        patience_margin_ratio: the ratio of the time until the deadline that
            is left as a margin after the estimated completion.

    ``without_long_ratio`` and ``mid_prompt_penalty_s`` are multiplied by twice
    the service document's ``short_slowdown`` weight, so they apply unchanged
    at its default of 0.5.
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
    """The runner chosen for a request, and estimates for logging.

    ``estimates`` holds the estimate of the chosen runner and those of the
    best other candidates.

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
