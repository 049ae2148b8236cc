"""The requests a second that runners take."""

import dataclasses

from lacewingdrum_state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerLimit:
    """What an incarnation of a runner said of its limit at ``at_s``.

    ``per_s`` is the number of requests a second that it takes from all daemons
    together, or None if it takes any number.
    """

    runner_id: ids.RunnerId
    born_ms: int
    per_s: float | None
    at_s: float
