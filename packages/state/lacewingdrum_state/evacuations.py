"""Evacuations of data centres, as operators order them."""

import dataclasses

from lacewingdrum_state import ids, store_versions


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """Whether a data centre is evacuated as of a version of the store.

    While it is, no request may begin at its runners. ``is_read`` is set if
    this is known from a read of the whole table, whose rows may be those of
    an older copy of the store; it is not set for a row seen as it changed.
    """

    data_centre: ids.DataCentre
    is_active: bool
    version: store_versions.StoreVersion
    is_read: bool = False
