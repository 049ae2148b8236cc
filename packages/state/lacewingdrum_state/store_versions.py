"""Versions of the content of the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class StoreVersion:
    """A version of the store's content; a later one is greater.

    The store counts its versions up. If it returns from an older copy of
    itself, it begins a new era and gives out versions a second time.
    """

    era: int
    version: int


# Lower than each version that the store gives out.
NO_VERSION = StoreVersion(0, 0)
