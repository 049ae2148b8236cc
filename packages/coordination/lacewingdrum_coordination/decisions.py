"""What a routing decision is made of."""

import dataclasses
import enum

from lacewingdrum_coordination import estimates
from lacewingdrum_state import fleet

Estimate = estimates.Estimate


class Reason(enum.Enum):
    """Why a decision came out as it did.

    ``NO_MEMORY`` can pass when others end; ``TOO_LARGE`` cannot.
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
    """Constants of the decision.

    ``no_long_ratio`` is the number of runners kept free of long prompts,
    in multiples of the short demand, and ``no_long_mid_penalty_s`` what a mid
    prompt pays in its score to go there. Both grow with the document's weight
    of the short slowdown.
    """

    near_best_ratio: float = 1.05
    near_best_s: float = 0.02
    remote_link_delay_s: float = 0.005
    remote_cost_s: float = 0.005
    no_long_ratio: float = 2.0
    headroom_tokens: int = 40_000
    no_long_mid_penalty_s: float = 1.0
    patience_margin_ratio: float = 0.05


DEFAULT_POLICY = Policy()


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The runner picked for a request, and what it was picked from.

    ``group`` holds the further runners whose memory a prompt above one
    engine's memory needs, in the order of their ids, and ``group_tokens``
    what each of them has to hold.
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
        """The estimate of the runner that was picked."""
        if self.runner is None:
            return None
        for each in self.estimates:
            if each.runner_id == self.runner.runner_id:
                return each
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Supply:
    """What a service's runners can do and have to do."""

    rate_tokens_per_s: float
    backlog_s: float
