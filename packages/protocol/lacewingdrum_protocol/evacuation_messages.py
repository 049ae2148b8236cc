"""Messages in which daemons tell each other of evacuated data centres."""

import msgspec

from lacewingdrum_state import bounds


class EvacuationReport(msgspec.Struct, frozen=True, array_like=True):
    """What the sender has known of a data centre for ``age_ms``.

    ``era`` and ``version`` are those of the store; ``is_read`` is set if it is
    known from a read of the whole table.
    """

    data_centre: str
    is_active: bool
    era: bounds.Era
    version: bounds.Count
    is_read: bool
    age_ms: bounds.AgeMs


class EvacuationNews(msgspec.Struct, frozen=True, array_like=True, tag="evac"):
    """Evacuations that have begun or ended.

    ``era_age_ms`` is how long the sender has known the newest era of the store
    that it knows, ``era``. ``is_whole`` is set in the answer to a request: the
    sender knows of no other data centre.
    """

    evacuations: tuple[EvacuationReport, ...]
    era: bounds.Era
    era_age_ms: bounds.AgeMs
    is_whole: bool = False


class EvacuationRequest(msgspec.Struct, frozen=True, array_like=True, tag="evaca"):
    """Requests all that the receiver knows, if it has read the table."""


Body = EvacuationNews | EvacuationRequest
