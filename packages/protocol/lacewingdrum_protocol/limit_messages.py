"""Messages in which daemons tell each other of the limits of runners."""

import msgspec

from lacewingdrum_state import bounds


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What an incarnation of a runner said of its limit ``age_ms`` ago.

    ``per_s`` is None if it takes any number of requests a second.
    """

    runner_id: str
    born_ms: int
    per_s: bounds.NotNegative | None
    age_ms: bounds.AgeMs


class LimitNews(msgspec.Struct, frozen=True, array_like=True, tag="lim"):
    """Limits that runners have named or ended."""

    limits: tuple[LimitReport, ...]
