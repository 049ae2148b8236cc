"""The placement lease as the table keeps it."""

import dataclasses

from lacewingdrum_state import ids


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """Who holds a lease.

    The holder raises ``counter`` at each renewal; a successor raises
    ``fencing_number``.
    """

    holder: ids.VmId
    fencing_number: ids.FencingNumber
    counter: int
