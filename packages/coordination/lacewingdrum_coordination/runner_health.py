"""What a daemon has seen of runners: how often they fail, which seem dead."""

import dataclasses
import math

from lacewingdrum_state import ids

HALF_LIFE_S = 4.0
PRIOR_TOTAL = 4.0
# An engine that refused to read for another one drains, as a rule; the list
# tells of that as soon as the store can be reached.
HELP_REFUSED_S = 5.0


@dataclasses.dataclass(slots=True)
class _Seen:
    failures: float = 0.0
    total: float = 0.0
    as_of_s: float = 0.0
    suspect_since_s: float | None = None
    heard_s: float = float("-inf")
    help_refused_s: float = float("-inf")


class RunnerHealth:
    """Failure shares that fade, and runners that could not be reached."""

    def __init__(self) -> None:
        self._seen: dict[ids.RunnerId, _Seen] = {}

    def note(self, runner_id: ids.RunnerId, failed: bool, now_s: float) -> None:
        """Args: an attempt's end at a runner that could be reached."""
        seen = self._faded(runner_id, now_s)
        seen.total += 1.0
        if failed:
            seen.failures += 1.0
        else:
            seen.suspect_since_s = None

    def suspect(self, runner_id: ids.RunnerId, now_s: float) -> bool:
        """Note that a runner did not answer at all.

        Args:
            runner_id: the runner.
            now_s: the time.

        Returns:
            Whether it was not suspected before.
        """
        seen = self._faded(runner_id, now_s)
        is_new = seen.suspect_since_s is None
        if is_new:
            seen.suspect_since_s = now_s
        return is_new

    def heard(self, runner_id: ids.RunnerId, now_s: float) -> None:
        """Args: runner_id: something came from it; now_s: the time."""
        seen = self._seen.setdefault(runner_id, _Seen(as_of_s=now_s))
        seen.heard_s = now_s

    def silent_s(self, runner_id: ids.RunnerId, now_s: float) -> float:
        """Returns: how long nothing has come from the runner at all."""
        seen = self._seen.get(runner_id)
        return now_s - seen.heard_s if seen is not None else float("inf")

    def refuse_help(self, runner_id: ids.RunnerId, now_s: float) -> bool:
        """Note that an engine would not read a part for another one.

        Args:
            runner_id: the engine.
            now_s: the time.

        Returns:
            Whether that is news.
        """
        is_new = self.helps(runner_id, now_s)
        seen = self._seen.setdefault(runner_id, _Seen(as_of_s=now_s))
        seen.help_refused_s = now_s
        return is_new

    def helps(self, runner_id: ids.RunnerId, now_s: float) -> bool:
        """Returns: whether an engine is expected to read for others."""
        seen = self._seen.get(runner_id)
        return seen is None or now_s - seen.help_refused_s >= HELP_REFUSED_S

    def clear(self, runner_id: ids.RunnerId) -> None:
        """Args: runner_id: could be reached again."""
        seen = self._seen.get(runner_id)
        if seen is not None:
            seen.suspect_since_s = None

    def is_suspect(self, runner_id: ids.RunnerId) -> bool:
        """Returns: whether the runner seems dead or cut off."""
        seen = self._seen.get(runner_id)
        return seen is not None and seen.suspect_since_s is not None

    @property
    def suspects(self) -> tuple[ids.RunnerId, ...]:
        """Runners that seem dead or cut off."""
        return tuple(
            runner_id
            for runner_id, seen in self._seen.items()
            if seen.suspect_since_s is not None
        )

    def failure_share(self, runner_id: ids.RunnerId, now_s: float) -> float:
        """Returns: the share of requests expected to fail there, 0 to 1."""
        if runner_id not in self._seen:
            return 0.0
        seen = self._faded(runner_id, now_s)
        return seen.failures / (seen.total + PRIOR_TOTAL)

    def forget(self, runner_id: ids.RunnerId) -> None:
        """Args: runner_id: is gone, or was born again."""
        self._seen.pop(runner_id, None)

    def _faded(self, runner_id: ids.RunnerId, now_s: float) -> _Seen:
        seen = self._seen.setdefault(runner_id, _Seen(as_of_s=now_s))
        factor = math.exp2(-max(now_s - seen.as_of_s, 0.0) / HALF_LIFE_S)
        seen.failures *= factor
        seen.total *= factor
        seen.as_of_s = now_s
        return seen
