"""The value of a daemon's row in the store's table of daemons."""

from typing import Annotated

import msgspec
from result import Err

from lacewingdrum_state import bounds, decoding

# Rows of earlier builds are only the incarnation, and are not renewed.
UNSTATED_TERM_S = 600.0
TERM_MAX_S = 86_400


class DaemonRowValue(msgspec.Struct, frozen=True):
    """What a daemon writes; its row may be removed a term after a renewal."""

    incarnation: bounds.Count
    term_s: Annotated[int, msgspec.Meta(ge=1, le=TERM_MAX_S)]


_decoder = msgspec.json.Decoder(DaemonRowValue)


def encode(incarnation: int, term_s: float) -> bytes:
    """Return the value of a row.

    Args:
        incarnation: the incarnation of the daemon.
        term_s: how long the row lasts without renewal.
    """
    return msgspec.json.encode(
        DaemonRowValue(incarnation, min(int(term_s), TERM_MAX_S))
    )


def term_s(value: bytes) -> float:
    """Return how long a row lasts without renewal.

    Args:
        value: the value of the row, of any build.
    """
    decoded = decoding.decode(_decoder, value)
    if isinstance(decoded, Err):
        return UNSTATED_TERM_S
    return float(decoded.ok_value.term_s)
