"""Baseline dispatch policies of a replay, one instance for each daemon."""

import dataclasses
import enum
import random

from lacewingdrum_coordination import prefixes, runner_projections
from lacewingdrum_state import fleet, ids, requests


class PolicyName(enum.Enum):
    """The policies of a replay; the values are printed in the tables."""

    ROUND_ROBIN = "round-robin"
    FEWEST = "fewest-in-flight"
    SHORTEST = "shortest-wait"
    OURS = "ours"


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where a request is sent; ``runner_id`` is None if it is refused.

    ``group`` lists the other runners that hold parts of the prompt, with the
    number of tokens that each holds.
    """

    runner_id: ids.RunnerId | None
    group: tuple[tuple[ids.RunnerId, int], ...] = ()
    priority: int = 0
    refusal: str = ""
    expected_complete_s: float = 0.0


REFUSED = Choice(None, refusal="no_memory")


class InFlightCounts:
    """The attempts in flight at each runner, known without delay.

    The counts include the attempts of all daemons.
    """

    def __init__(self, runner_ids: tuple[ids.RunnerId, ...]) -> None:
        self.counts = dict.fromkeys(runner_ids, 0)


class Baseline:
    """Base class of the simpler policies: handles load reports and groups.

    These policies use no priorities and no admission control. A prompt larger
    than an engine's memory is placed on the engines with the most free
    memory, since it could not run otherwise.
    """

    def __init__(
        self, runners: tuple[fleet.Runner, ...], rng: random.Random, link_delay_s: float
    ) -> None:
        self.rng = rng
        self.runner_ids = tuple(runner.runner_id for runner in runners)
        self.projections = {
            runner.runner_id: runner_projections.RunnerProjection(
                runner, link_delay_s, 0.0
            )
            for runner in runners
        }

    def observe(self, load: fleet.RunnerLoad) -> None:
        """Apply a load report."""
        self.projections[load.runner_id].observe(load)

    def observe_cache(
        self, runner_id: ids.RunnerId, changes: tuple[prefixes.BlockChange, ...]
    ) -> None:
        """Ignore cache events."""

    def sent(
        self, request: requests.Request, in_flight: requests.InFlightAttempt
    ) -> None:
        """Record an attempt that this daemon sent."""
        projection = self.projections[in_flight.runner_id]
        projection.sent(in_flight, 0, in_flight.prompt_tokens)

    def ended(self, in_flight: requests.InFlightAttempt, now_s: float) -> None:
        """Record the end of an attempt."""
        self.projections[in_flight.runner_id].ended(in_flight.attempt_id)

    def choose(
        self,
        request: requests.Request,
        now_s: float,
        refusing: frozenset[ids.RunnerId],
    ) -> Choice:
        """Return the runner or group for a request."""
        capacity = max(
            projection.kv_capacity_tokens for projection in self.projections.values()
        )
        if request.total_tokens > capacity:
            return self._choose_group(request, refusing)
        return Choice(self.pick(request, now_s))

    def pick(self, request: requests.Request, now_s: float) -> ids.RunnerId:
        """Return the runner for a request that fits on one engine."""
        raise NotImplementedError

    def _choose_group(
        self, request: requests.Request, refusing: frozenset[ids.RunnerId]
    ) -> Choice:
        by_free_tokens = sorted(
            (
                projection
                for runner_id, projection in self.projections.items()
                if runner_id not in refusing
            ),
            key=lambda projection: -projection.free_tokens(),
        )
        lead, *others = by_free_tokens
        needed = request.total_tokens - lead.kv_capacity_tokens
        group = []
        for projection in others:
            part = min(needed, projection.free_tokens())
            if needed <= 0 or part <= 0:
                break
            group.append((projection.runner.runner_id, part))
            needed -= part
        if needed > 0:
            return REFUSED
        return Choice(lead.runner.runner_id, tuple(group))


class RoundRobin(Baseline):
    """Cycles through the runners, starting at a random one in each daemon."""

    _next: int | None = None

    def pick(self, request: requests.Request, now_s: float) -> ids.RunnerId:
        """Return the next runner of the cycle."""
        if self._next is None:
            self._next = self.rng.randrange(len(self.runner_ids))
        self._next = (self._next + 1) % len(self.runner_ids)
        return self.runner_ids[self._next]


class FewestInFlight(Baseline):
    """Picks the runner with the fewest attempts of all daemons.

    The counts are exact and have no delay.
    """

    def __init__(
        self,
        runners: tuple[fleet.Runner, ...],
        rng: random.Random,
        link_delay_s: float,
        in_flight: InFlightCounts,
    ) -> None:
        super().__init__(runners, rng, link_delay_s)
        self._in_flight = in_flight

    def pick(self, request: requests.Request, now_s: float) -> ids.RunnerId:
        """Return one of the runners with the fewest attempts in flight."""
        counts = self._in_flight.counts
        fewest = min(counts.values())
        return self.rng.choice(
            [key for key, count in counts.items() if count == fewest]
        )


class ShortestWait(Baseline):
    """Picks the shortest projected wait, with one queue for all prompts."""

    def pick(self, request: requests.Request, now_s: float) -> ids.RunnerId:
        """Return one of the runners whose wait is close to the shortest."""
        waits = {}
        for runner_id, projection in self.projections.items():
            waits[runner_id] = (
                sum(projection.queued_tokens(now_s)) / projection.prefill_tokens_per_s
            )
        bound_s = min(waits.values()) * 1.05 + 0.02
        return self.rng.choice(
            [key for key, wait_s in waits.items() if wait_s <= bound_s]
        )
