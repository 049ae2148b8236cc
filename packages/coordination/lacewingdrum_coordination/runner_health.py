"""What a daemon has seen of runners: how often they fail, which seem dead."""

import dataclasses
import math

from lacewingdrum_state import ids

HALF_LIFE_S = 4.0
PRIOR_ATTEMPTS = 4.0
# An engine that refused to read for another one drains, as a rule; the list
# tells of that as soon as the store can be reached.
HELP_REFUSED_S = 5.0


@dataclasses.dataclass(slots=True)
class _Observations:
    failures: float = 0.0
    attempts: float = 0.0
    as_of_s: float = 0.0
    suspect_since_s: float | None = None
    last_contact_s: float = float("-inf")
    help_refused_s: float = float("-inf")


class RunnerHealth:
    """Failure shares that fade, and runners that could not be reached."""

    def __init__(self) -> None:
        self._by_runner: dict[ids.RunnerId, _Observations] = {}

    def record_attempt(
        self, runner_id: ids.RunnerId, failed: bool, now_s: float
    ) -> None:
        """Args: an attempt's end at a runner that could be reached."""
        observed = self._decayed(runner_id, now_s)
        observed.attempts += 1.0
        if failed:
            observed.failures += 1.0
        else:
            observed.suspect_since_s = None

    def suspect(self, runner_id: ids.RunnerId, now_s: float) -> bool:
        """Note that a runner did not answer at all.

        Args:
            runner_id: the runner.
            now_s: the time.

        Returns:
            Whether it was not suspected before.
        """
        observed = self._decayed(runner_id, now_s)
        is_new = observed.suspect_since_s is None
        if is_new:
            observed.suspect_since_s = now_s
        return is_new

    def record_contact(self, runner_id: ids.RunnerId, now_s: float) -> None:
        """Args: runner_id: something came from it; now_s: the time."""
        observed = self._by_runner.setdefault(runner_id, _Observations(as_of_s=now_s))
        observed.last_contact_s = now_s

    def silent_s(self, runner_id: ids.RunnerId, now_s: float) -> float:
        """Returns: how long nothing has come from the runner at all."""
        observed = self._by_runner.get(runner_id)
        return now_s - observed.last_contact_s if observed is not None else float("inf")

    def record_help_refused(self, runner_id: ids.RunnerId, now_s: float) -> bool:
        """Note that an engine would not read a part for another one.

        Args:
            runner_id: the engine.
            now_s: the time.

        Returns:
            Whether that is news.
        """
        is_new = self.may_help(runner_id, now_s)
        observed = self._by_runner.setdefault(runner_id, _Observations(as_of_s=now_s))
        observed.help_refused_s = now_s
        return is_new

    def may_help(self, runner_id: ids.RunnerId, now_s: float) -> bool:
        """Returns: whether an engine is expected to read for others."""
        observed = self._by_runner.get(runner_id)
        return observed is None or now_s - observed.help_refused_s >= HELP_REFUSED_S

    def clear_suspicion(self, runner_id: ids.RunnerId) -> None:
        """Args: runner_id: could be reached again."""
        observed = self._by_runner.get(runner_id)
        if observed is not None:
            observed.suspect_since_s = None

    def is_suspect(self, runner_id: ids.RunnerId) -> bool:
        """Returns: whether the runner seems dead or cut off."""
        observed = self._by_runner.get(runner_id)
        return observed is not None and observed.suspect_since_s is not None

    @property
    def suspects(self) -> tuple[ids.RunnerId, ...]:
        """Runners that seem dead or cut off."""
        return tuple(
            runner_id
            for runner_id, observed in self._by_runner.items()
            if observed.suspect_since_s is not None
        )

    def failure_share(self, runner_id: ids.RunnerId, now_s: float) -> float:
        """Returns: the share of requests expected to fail there, 0 to 1."""
        if runner_id not in self._by_runner:
            return 0.0
        observed = self._decayed(runner_id, now_s)
        return observed.failures / (observed.attempts + PRIOR_ATTEMPTS)

    def forget(self, runner_id: ids.RunnerId) -> None:
        """Args: runner_id: is gone, or was born again."""
        self._by_runner.pop(runner_id, None)

    def _decayed(self, runner_id: ids.RunnerId, now_s: float) -> _Observations:
        observed = self._by_runner.setdefault(runner_id, _Observations(as_of_s=now_s))
        factor = math.exp2(-max(now_s - observed.as_of_s, 0.0) / HALF_LIFE_S)
        observed.failures *= factor
        observed.attempts *= factor
        observed.as_of_s = now_s
        return observed
