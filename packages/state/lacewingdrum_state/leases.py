"""The lease of the daemon that places model versions on runners."""

import dataclasses

from lacewingdrum_state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """The holder of a lease, as stored in the table.

    The holder increments ``counter`` at each renewal. The next holder
    increments ``fencing_number``, so that runners can refuse orders of an
    earlier holder.
    """

    holder: ids.VmId
    fencing_number: ids.FencingNumber
    counter: int
