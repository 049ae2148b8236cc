"""The placement lease, as stored in the table."""

import dataclasses

from lacewingdrum_state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """The holder of a lease.

    The holder increments ``counter`` at each renewal. The next holder
    increments ``fencing_number``.
    """

    holder: ids.VmId
    fencing_number: ids.FencingNumber
    counter: int
