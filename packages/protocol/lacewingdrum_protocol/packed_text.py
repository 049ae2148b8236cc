"""Packs long texts for messages between daemons."""

import zlib

from result import Err, Ok, Result

# The fastest level; configurations repeat themselves.
LEVEL = 1
UNPACKED_MAX_BYTES = 64 * 1024 * 1024


def pack(text: bytes) -> bytes:
    """Return a text in fewer bytes."""
    return zlib.compress(text, LEVEL)


def unpack(packed: bytes) -> Result[bytes, str]:
    """Return the text that was packed.

    Returns:
        The text, or why it cannot be read: it is damaged, incomplete, or
        longer than any configuration.
    """
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(packed, UNPACKED_MAX_BYTES)
    except zlib.error as error:
        return Err(str(error))
    if not unpacker.eof:
        return Err("incomplete or too long")
    return Ok(text)
