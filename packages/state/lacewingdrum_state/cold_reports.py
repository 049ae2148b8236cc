"""What is reported of runners that are cold."""

import dataclasses

from lacewingdrum_state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class ColdReport:
    """That an incarnation of a runner stays cold for ``left_ms``."""

    runner_id: ids.RunnerId
    born_ms: int
    left_ms: float
