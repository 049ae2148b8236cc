"""Decodes what peers send, and says what of it this build does not read.

Daemons of an earlier and of a later build run side by side during an upgrade.
What one does not know is skipped; that it was is worth a metric.
"""

import enum
import typing

import msgspec
from result import Err, Ok

from lacewingdrum_protocol import peer_messages

FRAME_COUNT = 2


class Unread(enum.Enum):
    """Why a message, or a part of it, is not read.

    ``CHANGED``: the kind is known, but a field has another type.
    ``MALFORMED``: it is no message of any build.
    """

    WIRE_VERSION = "wire_version"
    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_FIELDS = "unknown_fields"
    CHANGED = "changed"
    MALFORMED = "malformed"


class Received(msgspec.Struct, frozen=True):
    """What was read of a message, and why not all of it."""

    message: peer_messages.PeerMessage | None
    unread: Unread | None = None


class _AnyEnvelope(msgspec.Struct, array_like=True):
    """The frame of any build, whose body may be any list."""

    wire_version: int
    sender: str
    body: list[msgspec.Raw]


_KINDS = frozenset(
    body.__struct_config__.tag for body in typing.get_args(peer_messages.Body)
)
_envelope_decoder = msgspec.msgpack.Decoder(_AnyEnvelope)


def decode(frames: list[bytes]) -> Received:
    """Return what can be read of a message.

    Args:
        frames: the frames as received; the first names the connection.
    """
    if len(frames) != FRAME_COUNT:
        return Received(None, Unread.MALFORMED)
    data = frames[-1]
    match peer_messages.decode(data):
        case Ok(message):
            # All builds encode alike, so that fields which were dropped make
            # the message shorter.
            known = peer_messages.encode(message.sender, message.body)
            is_whole = len(known) >= len(data)
            return Received(message, None if is_whole else Unread.UNKNOWN_FIELDS)
        case Err():
            return Received(None, _find_reason(data))


def _find_reason(data: bytes) -> Unread:
    """Return why a message could not be decoded."""
    try:
        envelope = _envelope_decoder.decode(data)
        if envelope.wire_version != peer_messages.WIRE_VERSION:
            return Unread.WIRE_VERSION
        kind = msgspec.msgpack.decode(envelope.body[0], type=str)
    except (ValueError, IndexError, RecursionError):
        return Unread.MALFORMED
    return Unread.CHANGED if kind in _KINDS else Unread.UNKNOWN_KIND
