"""Decodes bytes that other programs have written.

Such bytes may be anything. Each decoder is called here, so that whatever it
raises about its input costs only that input.
"""

from typing import Protocol, TypeVar

from result import Err, Ok, Result

Encoded = TypeVar("Encoded")
Encoded_contra = TypeVar("Encoded_contra", contravariant=True)
T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)


class Decoder(Protocol[Encoded_contra, T_co]):
    """A decoder of msgspec."""

    def decode(self, buf: Encoded_contra, /) -> T_co:
        """Return what the bytes contain, or raise."""


def decode(decoder: Decoder[Encoded, T], data: Encoded) -> Result[T, str]:
    """Decode bytes.

    Returns:
        What they contain, or why they could not be decoded.
    """
    try:
        return Ok(decoder.decode(data))
    except (ValueError, RecursionError) as error:
        # The errors of msgspec and those of broken UTF-8 are ValueErrors; a
        # decoder that meets too deep a nesting raises RecursionError, also in
        # fields that it skips.
        return Err(str(error))
