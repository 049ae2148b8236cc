"""What is reported of runners that are cold."""

import dataclasses

from lacewingdrum_state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class ColdReport:
    """That an incarnation of a runner stays cold for ``left_ms``.

    ``seq`` counts the rows of the incarnation; it is None if no row says so.
    """

    runner_id: ids.RunnerId
    born_ms: int
    left_ms: float
    seq: int | None = None
