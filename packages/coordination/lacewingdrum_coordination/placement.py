"""Which order a runner needs so that it serves the desired model.

Runners that check the fencing number are ordered once with the holder's
number even if their model is right, so that a former holder's order is
refused from then on. Runners that ignore the number are read back again and
again and repaired, so that a former holder's order does not last.
"""

import dataclasses
import enum

from lacewingdrum_state import ids

READ_BACK_INTERVAL_S = 1.0


class Reason(enum.Enum):
    """Why a runner is ordered, or is not."""

    IN_PLACE = "in_place"
    OTHER_MODEL = "other_model"
    OLD_FENCING_NUMBER = "old_fencing_number"
    NEWER_HOLDER = "newer_holder"


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementOrder:
    """The order in force on a runner."""

    fencing_number: int
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What to do about one runner; ``must_order`` says whether to send."""

    reason: Reason
    must_order: bool


def decide(
    desired_model: str,
    fencing_number: ids.FencingNumber,
    checks_fencing: bool,
    current: PlacementOrder,
) -> Decision:
    """Decide about one runner.

    Args:
        desired_model: what the service's document asks for.
        fencing_number: the lease holder's.
        checks_fencing: whether the service's runners check the number.
        seen: what is in force on the runner.

    Returns:
        Whether to order it, and why.
    """
    if current.fencing_number > fencing_number:
        return Decision(Reason.NEWER_HOLDER, must_order=False)
    if current.model != desired_model:
        return Decision(Reason.OTHER_MODEL, must_order=True)
    if checks_fencing and current.fencing_number < fencing_number:
        return Decision(Reason.OLD_FENCING_NUMBER, must_order=True)
    return Decision(Reason.IN_PLACE, must_order=False)
