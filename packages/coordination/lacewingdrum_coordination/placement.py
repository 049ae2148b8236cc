"""Decides whether a runner needs a placement order to serve a model.

A placement order tells a runner which model to serve. A runner that checks
the fencing number is sent one order with the lease holder's number even if it
already serves the desired model, so that it refuses orders of a former holder
from then on. A runner that ignores the number is read back periodically and
corrected, so that an order of a former holder does not stay in force.
"""

import dataclasses
import enum

from lacewingdrum_state import ids

READ_BACK_INTERVAL_S = 1.0


class Reason(enum.Enum):
    """Why a placement order is needed or not."""

    IN_PLACE = "in_place"
    OTHER_MODEL = "other_model"
    OLD_FENCING_NUMBER = "old_fencing_number"
    NEWER_HOLDER = "newer_holder"


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementOrder:
    """The placement order in force on a runner."""

    fencing_number: int
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether one runner must be sent a placement order, and why."""

    reason: Reason
    must_send_order: bool


def decide(
    desired_model: str,
    fencing_number: ids.FencingNumber,
    checks_fencing: bool,
    current: PlacementOrder,
) -> Decision:
    """Decide whether one runner needs a placement order.

    Args:
        desired_model: the model that the service's document asks for.
        fencing_number: the lease holder's fencing number.
        checks_fencing: whether the service's runners check the number.
        current: the placement order in force on the runner.

    Returns:
        Whether to send a placement order, and why.
    """
    if current.fencing_number > fencing_number:
        return Decision(Reason.NEWER_HOLDER, must_send_order=False)
    if current.model != desired_model:
        return Decision(Reason.OTHER_MODEL, must_send_order=True)
    if checks_fencing and current.fencing_number < fencing_number:
        return Decision(Reason.OLD_FENCING_NUMBER, must_send_order=True)
    return Decision(Reason.IN_PLACE, must_send_order=False)
